//! Tenants: their records in the shared store, and the last known copy of each.
//!
//! The store is asked on the threads of connections and of the administration API, never on the core's.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use argon2::password_hash::rand_core::{OsRng, RngCore};
use argon2::password_hash::{PasswordHash, PasswordHasher, PasswordVerifier, SaltString};
use argon2::{Algorithm, Argon2, Params, Version};
use crossbeam_channel::{Sender, bounded};
use redis::{Commands, Connection, RedisError, RedisResult};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tracing::{info, warn};

/// The hash in the store that holds every tenant's record by name.
const RECORDS: &str = "beaconflow:tenants";
/// One call to the store may take so long.
const PATIENCE: Duration = Duration::from_millis(300);
/// After a failed call the store is left alone for so long. Guards against connections that each wait for a
/// store that is away.
const AWAY: Duration = Duration::from_secs(1);

/// Passwords that wait to be hashed; more wait at their connections.
const MOST_CLAIMS: usize = 64;

/// A tenant's record. It has no `Debug`, so that no log line can show its secrets.
#[derive(Clone, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, which its clients give as the user.
    pub name: String,
    /// The hash of the password that its clients give.
    pub secret: String,
    /// Its class, by the settings' name.
    pub class: String,
    /// Most connections at this balancer.
    pub connections: usize,
    /// Its part of the turns at the door, against the other tenants'.
    #[serde(default = "usual_share")]
    pub share: f64,
    /// Who it is to the NATS servers.
    pub upstream: Identity,
    /// What a newer program has written of it. Guards against a change here that would lose it.
    #[serde(flatten)]
    pub rest: BTreeMap<String, serde_json::Value>,
}

/// The share of a tenant whose record was written without one.
pub fn usual_share() -> f64 {
    1.0
}

/// Who a tenant is to the NATS servers.
#[derive(Clone, Serialize, Deserialize)]
pub struct Identity {
    /// The user.
    pub user: String,
    /// The password.
    pub password: String,
}

/// Why a client is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No tenant has these credentials.
    Unknown,
    /// The tenant has all the connections it may have.
    TooMany,
    /// The store is away and no copy of the tenant's record is held.
    StoreAway,
}

/// Why the store did not do what was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// It is away.
    Away,
    /// It takes no writing now: it has no room, or follows another. Reading goes on.
    TakesNothing,
    /// There is such a tenant already.
    Exists,
    /// There is no such tenant.
    Missing,
}

struct Copy {
    tenant: Arc<Tenant>,
    read_at: Instant,
}

/// All that is known of tenants here.
pub struct Tenants {
    store: Store,
    fresh: Duration,
    copies: Mutex<BTreeMap<String, Copy>>,
    /// Digests of passwords that have been proven, so that a herd of known clients costs no hashing.
    proven: Mutex<BTreeMap<String, [u8; 32]>>,
    /// For those digests; new with each start.
    pepper: [u8; 32],
    /// The thread that works hashes out, one at a time. Guards against wrong passwords that would take all of the
    /// one core, and against a hash on a connection's small stack, which it overflows.
    hashing: Sender<Claim>,
    open: Arc<Mutex<BTreeMap<String, usize>>>,
}

/// A password that claims to be the one of a hash, and where to say whether it is.
struct Claim {
    password: String,
    hash: String,
    answer: Sender<bool>,
}

/// Counts one connection of a tenant for as long as it lives.
pub struct Admitted {
    name: String,
    open: Arc<Mutex<BTreeMap<String, usize>>>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut open = lock(&self.open);
        if let Some(count) = open.get_mut(&self.name) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.name);
            }
        }
    }
}

/// What is held here is replaced whole, so that a panic elsewhere leaves it sound.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Tenants {
    /// The tenants of a store; their records are read anew when they are older than `fresh`.
    pub fn new(url: &str, fresh: Duration) -> Result<Tenants, String> {
        let client = redis::Client::open(url).map_err(|error| format!("store.url: {error}"))?;
        let mut pepper = [0; 32];
        OsRng.fill_bytes(&mut pepper);
        let (hashing, claims) = bounded::<Claim>(MOST_CLAIMS);
        let work = move || {
            for Claim {
                password,
                hash,
                answer,
            } in claims
            {
                let proves = |hash| hasher().verify_password(password.as_bytes(), &hash).is_ok();
                // A client that has left waits for no answer.
                let _ = answer.send(PasswordHash::new(&hash).is_ok_and(proves));
            }
        };
        let thread = std::thread::Builder::new()
            .name("hashing".into())
            .spawn(work);
        thread.map_err(|error| format!("thread hashing: {error}"))?;
        Ok(Tenants {
            store: Store {
                client,
                state: Mutex::default(),
            },
            fresh,
            copies: Mutex::default(),
            proven: Mutex::default(),
            pepper,
            hashing,
            open: Arc::default(),
        })
    }

    /// Admits a client by its credentials, within its tenant's limit.
    pub fn admit(&self, name: &str, password: &str) -> Result<(Arc<Tenant>, Admitted), Refusal> {
        if !is_name(name) {
            return Err(Refusal::Unknown);
        }
        let tenant = match self.get(name) {
            Ok(tenant) => tenant,
            Err(StoreError::Away) => return Err(Refusal::StoreAway),
            Err(StoreError::Exists | StoreError::Missing | StoreError::TakesNothing) => {
                return Err(Refusal::Unknown);
            }
        };
        if !self.proves(&tenant, password) {
            return Err(Refusal::Unknown);
        }
        let mut open = lock(&self.open);
        let count = open.entry(name.to_owned()).or_insert(0);
        if *count >= tenant.connections {
            return Err(Refusal::TooMany);
        }
        *count += 1;
        Ok((
            tenant,
            Admitted {
                name: name.to_owned(),
                open: Arc::clone(&self.open),
            },
        ))
    }

    /// A tenant's record: the copy held here while it is fresh or the store is away.
    pub fn get(&self, name: &str) -> Result<Arc<Tenant>, StoreError> {
        let held = lock(&self.copies)
            .get(name)
            .map(|copy| (Arc::clone(&copy.tenant), copy.read_at.elapsed()));
        if let Some((tenant, age)) = &held
            && *age < self.fresh
        {
            return Ok(Arc::clone(tenant));
        }
        match self.read(name) {
            Ok(tenant) => Ok(self.keep(tenant)),
            Err(StoreError::Missing) => {
                self.forget(name);
                Err(StoreError::Missing)
            }
            Err(error) => held.map(|(tenant, _)| tenant).ok_or(error),
        }
    }

    /// A tenant's record as it stands in the store.
    fn read(&self, name: &str) -> Result<Tenant, StoreError> {
        let text = self
            .store
            .call(|store| store.hget::<_, _, Option<String>>(RECORDS, name))?;
        text.and_then(|text| serde_json::from_str(&text).ok())
            .ok_or(StoreError::Missing)
    }

    /// All records.
    pub fn list(&self) -> Result<Vec<Tenant>, StoreError> {
        let all = self
            .store
            .call(|store| store.hgetall::<_, BTreeMap<String, String>>(RECORDS))?;
        Ok(all
            .values()
            .filter_map(|text| serde_json::from_str(text).ok())
            .collect())
    }

    /// Enters a new tenant.
    pub fn create(&self, tenant: Tenant) -> Result<Arc<Tenant>, StoreError> {
        let text = text_of(&tenant);
        let Done {
            value: entered,
            again,
        } = self
            .store
            .attempt(|store| store.hset_nx::<_, _, _, bool>(RECORDS, &tenant.name, &text))?;
        // The record may be there from the first attempt, whose answer did not come.
        let ours = !entered
            && again
            && self
                .read(&tenant.name)
                .is_ok_and(|found| text_of(&found) == text);
        if entered || ours {
            Ok(self.keep(tenant))
        } else {
            Err(StoreError::Exists)
        }
    }

    /// Changes a record; of two changes at once at two balancers, the later one holds.
    pub fn change(
        &self,
        name: &str,
        change: impl FnOnce(&mut Tenant),
    ) -> Result<Arc<Tenant>, StoreError> {
        // The copy stays meanwhile: it serves on if the store is away.
        let mut tenant = self.read(name)?;
        change(&mut tenant);
        self.store
            .call(|store| store.hset::<_, _, _, ()>(RECORDS, name, text_of(&tenant)))?;
        Ok(self.keep(tenant))
    }

    /// Removes a tenant. Its standing connections go on; it gets no new ones.
    pub fn remove(&self, name: &str) -> Result<(), StoreError> {
        let Done {
            value: removed,
            again,
        } = self
            .store
            .attempt(|store| store.hdel::<_, _, usize>(RECORDS, name))?;
        self.forget(name);
        // A first attempt, whose answer did not come, may have removed it.
        if removed == 0 && !again {
            Err(StoreError::Missing)
        } else {
            Ok(())
        }
    }

    /// Open connections of each tenant that has any.
    pub fn open(&self) -> BTreeMap<String, usize> {
        lock(&self.open).clone()
    }

    /// Whether the last call reached the store.
    pub fn store_is_away(&self) -> bool {
        lock(&self.store.state).away_until.is_some()
    }

    fn keep(&self, tenant: Tenant) -> Arc<Tenant> {
        let tenant = Arc::new(tenant);
        let copy = Copy {
            tenant: Arc::clone(&tenant),
            read_at: Instant::now(),
        };
        lock(&self.copies).insert(tenant.name.clone(), copy);
        tenant
    }

    fn forget(&self, name: &str) {
        lock(&self.copies).remove(name);
        lock(&self.proven).remove(name);
    }

    fn proves(&self, tenant: &Tenant, password: &str) -> bool {
        let mut digest = Sha256::new();
        for part in [
            &self.pepper[..],
            tenant.secret.as_bytes(),
            password.as_bytes(),
        ] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        let digest: [u8; 32] = digest.finalize().into();
        if lock(&self.proven).get(&tenant.name) == Some(&digest) {
            return true;
        }
        let (answer, answered) = bounded(1);
        let claim = Claim {
            password: password.to_owned(),
            hash: tenant.secret.clone(),
            answer,
        };
        let proven = self.hashing.send(claim).is_ok() && answered.recv().unwrap_or(false);
        if proven {
            lock(&self.proven).insert(tenant.name.clone(), digest);
        }
        proven
    }
}

fn text_of(tenant: &Tenant) -> String {
    serde_json::to_string(tenant).expect("a record of texts and numbers is JSON")
}

/// Whether a text can be a tenant's name.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    (1..=64).contains(&text.len()) && text.bytes().all(allowed)
}

/// Argon2id with 8 MiB, as much as a small machine can spare.
fn hasher() -> Argon2<'static> {
    let params = Params::new(8 * 1024, 3, 1, None).expect("the parameters are in range");
    Argon2::new(Algorithm::Argon2id, Version::V0x13, params)
}

/// The hash of a password, for a record.
pub fn hash(password: &str) -> Result<String, argon2::password_hash::Error> {
    let salt = SaltString::generate(&mut OsRng);
    Ok(hasher()
        .hash_password(password.as_bytes(), &salt)?
        .to_string())
}

/// Whether the store answered that it takes no writing.
fn takes_nothing(error: &RedisError) -> bool {
    matches!(
        error.code(),
        Some("OOM" | "READONLY" | "MISCONF" | "NOREPLICAS")
    )
}

struct Store {
    client: redis::Client,
    state: Mutex<StoreState>,
}

#[derive(Default)]
struct StoreState {
    connection: Option<Connection>,
    away_until: Option<Instant>,
}

/// What a call gave.
struct Done<T> {
    value: T,
    /// It was made twice, and the first attempt may have been heard.
    again: bool,
}

impl Store {
    fn call<T>(&self, run: impl Fn(&mut Connection) -> RedisResult<T>) -> Result<T, StoreError> {
        self.attempt(run).map(|done| done.value)
    }

    /// Makes a call on the one connection, which is opened as needed. A connection that broke since the last call
    /// is opened anew once, as a store that restarted breaks it.
    fn attempt<T>(
        &self,
        run: impl Fn(&mut Connection) -> RedisResult<T>,
    ) -> Result<Done<T>, StoreError> {
        let mut state = lock(&self.state);
        if state.away_until.is_some_and(|until| Instant::now() < until) {
            return Err(StoreError::Away);
        }
        let kept = state.connection.take();
        let was_kept = kept.is_some();
        let mut done = self.once(kept, &run);
        let again = was_kept && done.as_ref().is_err_and(|error| !takes_nothing(error));
        if again {
            done = self.once(None, &run);
        }
        let is_away = done.as_ref().is_err_and(|error| !takes_nothing(error));
        if !is_away && state.away_until.take().is_some() {
            info!(part = "store", "back");
        }
        match done {
            Ok((value, connection)) => {
                state.connection = Some(connection);
                Ok(Done { value, again })
            }
            // It is not away: guards against readers that are turned off while it has no room.
            Err(_) if !is_away => Err(StoreError::TakesNothing),
            Err(error) => {
                if state.away_until.is_none() {
                    // The kind alone: an error's text may quote what the store was sent.
                    warn!(part = "store", why = ?error.kind(), "away");
                }
                state.away_until = Some(Instant::now() + AWAY);
                Err(StoreError::Away)
            }
        }
    }

    fn once<T>(
        &self,
        kept: Option<Connection>,
        run: impl Fn(&mut Connection) -> RedisResult<T>,
    ) -> RedisResult<(T, Connection)> {
        let mut connection = match kept {
            Some(connection) => connection,
            None => self.client.get_connection_with_timeout(PATIENCE)?,
        };
        connection.set_read_timeout(Some(PATIENCE))?;
        connection.set_write_timeout(Some(PATIENCE))?;
        let value = run(&mut connection)?;
        Ok((value, connection))
    }
}
