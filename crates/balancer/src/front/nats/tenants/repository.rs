//! The tenants' records in Redis.
//!
//! `beaconflow:tenant:NAME` is a hash with the committed revisions by number; the highest one
//! holds. A revision is committed by `HSETNX`, which succeeds for one writer and once. Superseded
//! revisions are emptied and keep their numbers for a while, so that a writer that is behind does
//! not find a number free again. A removal is a revision too, and stays.
//! `beaconflow:tenants` is a hash with the names and a published copy of each record; the copy may
//! lag behind.

use std::collections::BTreeMap;

use redis::{Commands, Connection, RedisResult};

use super::StoreError;
use super::record::Revision;
use super::store::{CallResult, Store};

/// The Redis hash with the published copy of each record by name.
const TENANTS_KEY: &str = "beaconflow:tenants";

/// Superseded revisions that keep their numbers. A writer that has read an older revision than
/// that takes a free number and must notice it.
const RESERVED_NUMBERS: u64 = 256;

/// The committed revisions by number. A superseded one is an empty text.
pub(super) type CommittedRevisions = BTreeMap<u64, String>;

/// The fields of a hash, as they are stored.
type Fields = BTreeMap<String, String>;

/// A tenant's record as it was read.
pub(super) struct StoredRecord {
    pub(super) revision: Revision,
    committed: CommittedRevisions,
    is_listed: bool,
}

/// How a commit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommitOutcome {
    /// The revision is stored.
    Committed,
    /// Another revision has the number.
    NumberTaken,
}

/// Access to the records.
pub(super) struct Repository {
    pub(super) store: Store,
}

/// The Redis hash with the committed revisions of a tenant.
fn revisions_key(name: &str) -> String {
    format!("beaconflow:tenant:{name}")
}

/// The committed revisions among the fields of a tenant's hash. Other fields are ignored.
fn committed_revisions(fields: Fields) -> CommittedRevisions {
    fields
        .into_iter()
        .filter_map(|(field, text)| Some((field.parse().ok()?, text)))
        .collect()
}

impl Repository {
    /// Reads a tenant's record.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable.
    pub(super) fn read(&self, name: &str) -> Result<StoredRecord, StoreError> {
        let (fields, published) = self.store.call(|store| {
            let mut pipeline = redis::pipe();
            pipeline.hgetall(revisions_key(name));
            pipeline.hget(TENANTS_KEY, name);
            pipeline.query::<(Fields, Option<String>)>(store)
        })?;
        let committed = committed_revisions(fields);
        Ok(StoredRecord {
            revision: Revision::newest(published.as_deref(), &committed),
            committed,
            is_listed: published.is_some(),
        })
    }

    /// Reads the newest revision of every tenant, by name.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable.
    pub(super) fn read_all(&self) -> Result<Vec<(String, Revision)>, StoreError> {
        let published = self
            .store
            .call(|store| store.hgetall::<_, Fields>(TENANTS_KEY))?;
        let committed = self.store.call(|store| read_committed(store, &published))?;
        Ok(published
            .into_iter()
            .zip(committed)
            .map(|((name, text), committed)| (name, Revision::newest(Some(&text), &committed)))
            .collect())
    }

    /// Commits a revision that follows `previous`, and publishes it.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable or refuses writes. The revision may be stored later then,
    /// unless another one has taken its number.
    pub(super) fn commit(
        &self,
        name: &str,
        previous: &StoredRecord,
        revision: &Revision,
    ) -> Result<CommitOutcome, StoreError> {
        if !previous.is_listed {
            self.list_name(name)?;
        }
        let (key, text) = (revisions_key(name), revision.to_json());
        let added = self.store.attempt(|store| {
            let was_added = store.hset_nx::<_, _, _, bool>(&key, revision.number, &text)?;
            let fields = store.hgetall::<_, Fields>(&key)?;
            Ok((was_added, committed_revisions(fields)))
        })?;
        let outcome = commit_outcome(&added, revision.number, &text)?;
        if outcome == CommitOutcome::Committed {
            self.publish(name, &text);
            self.discard_superseded(&key, &previous.committed, revision.number);
        }
        Ok(outcome)
    }

    /// Adds a name to the list before its first commit, so that no committed tenant is unlisted.
    fn list_name(&self, name: &str) -> Result<(), StoreError> {
        let placeholder = Revision::ABSENT.to_json();
        self.store
            .call(|store| store.hset_nx::<_, _, _, bool>(TENANTS_KEY, name, &placeholder))
            .map(drop)
    }

    /// Replaces the published copy. A failure is harmless, since the committed revision holds.
    fn publish(&self, name: &str, text: &str) {
        let _ = self
            .store
            .call(|store| store.hset::<_, _, _, ()>(TENANTS_KEY, name, text));
    }

    /// Empties the revisions that were superseded, and deletes those whose numbers need not be
    /// kept. A failure leaves them to the next commit.
    fn discard_superseded(&self, key: &str, committed: &CommittedRevisions, newest: u64) {
        for (number, text) in committed.range(..newest) {
            if number + RESERVED_NUMBERS <= newest {
                let _ = self
                    .store
                    .call(|store| store.hdel::<_, _, usize>(key, *number));
            } else if !text.is_empty() {
                let _ = self
                    .store
                    .call(|store| store.hset::<_, _, _, ()>(key, *number, ""));
            }
        }
    }
}

/// How an addition of a revision ended, which may have been tried twice.
fn commit_outcome(
    added: &CallResult<(bool, CommittedRevisions)>,
    number: u64,
    text: &str,
) -> Result<CommitOutcome, StoreError> {
    let (was_added, committed) = &added.value;
    let newest = committed.last_key_value().map_or(0, |(newest, _)| *newest);
    let was_number_discarded = newest >= number + RESERVED_NUMBERS;
    if was_number_discarded || !(*was_added || added.was_retried) {
        return Ok(CommitOutcome::NumberTaken);
    }
    if *was_added {
        return Ok(CommitOutcome::Committed);
    }
    // The first try, which got no answer, may have added it.
    match committed.get(&number).map(String::as_str) {
        Some(found) if found == text => Ok(CommitOutcome::Committed),
        Some("") | None => Err(StoreError::Conflict),
        Some(_) => Ok(CommitOutcome::NumberTaken),
    }
}

/// Reads the committed revisions of each listed tenant in one round trip.
fn read_committed(
    store: &mut Connection,
    published: &Fields,
) -> RedisResult<Vec<CommittedRevisions>> {
    if published.is_empty() {
        return Ok(Vec::new());
    }
    let mut pipeline = redis::pipe();
    for name in published.keys() {
        pipeline.hgetall(revisions_key(name));
    }
    let all = pipeline.query::<Vec<Fields>>(store)?;
    Ok(all.into_iter().map(committed_revisions).collect())
}
