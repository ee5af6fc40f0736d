//! Tenants: their records in the shared store, with a cache.
//!
//! The store is called on the threads of admissions and of the administration API, never on the
//! core's.

mod cache;
mod record;
mod repository;
mod store;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use argon2::password_hash::rand_core::{OsRng, RngCore};
use argon2::password_hash::{PasswordHash, PasswordHasher, PasswordVerifier, SaltString};
use argon2::{Algorithm, Argon2, Params, Version};
use cache::RevisionCache;
use crossbeam_channel::{Sender, bounded};
use record::{RecordState, Revision};
use repository::{CommitOutcome, Repository};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use store::Store;

/// Most attempts to commit a change while other changes of the same tenant are committed.
const MAX_COMMIT_ATTEMPTS: usize = 64;

/// Longest pause between two attempts. It does not grow: the other writers do not pause.
const MAX_COMMIT_BACKOFF: Duration = Duration::from_millis(2);
/// Most passwords queued for the hashing thread; further admissions block.
const MAX_PENDING_HASHES: usize = 64;

/// A tenant's record. It has no `Debug`, so that no log line can show its secrets.
#[derive(Clone, Serialize, Deserialize)]
pub struct Tenant {
    /// Name, which clients give as the user.
    pub name: String,
    /// Hash of the password that clients give.
    pub secret: String,
    /// Name of the request class.
    pub class: String,
    /// Most connections at this balancer.
    pub connections: usize,
    /// Weight in the admission queue, relative to other tenants.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Identity at the NATS servers.
    pub upstream: Identity,
    /// Fields of a newer version, which are written back unchanged.
    #[serde(flatten)]
    pub rest: BTreeMap<String, serde_json::Value>,
}

/// The share of a tenant whose record has none.
pub fn default_share() -> f64 {
    1.0
}

/// A tenant's identity at the NATS servers.
#[derive(Clone, Serialize, Deserialize)]
pub struct Identity {
    /// The user.
    pub user: String,
    /// The password.
    pub password: String,
}

/// Why a client is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitError {
    /// No tenant has these credentials.
    InvalidCredentials,
    /// The tenant has reached its limit of connections.
    TooManyConnections,
    /// The store is unavailable and the tenant is not cached.
    StoreUnavailable,
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store can't be reached.
    Unavailable,
    /// The store refuses writes because it is full or a replica. Reads still work.
    WritesRefused,
    /// A tenant of that name exists already.
    Exists,
    /// No tenant has that name, or its record can't be parsed.
    Missing,
    /// Another process has changed the record, and the store does not return that change yet.
    Conflict,
}

/// The tenants of a store.
pub struct Tenants {
    repository: Repository,
    max_cache_age: Duration,
    cache: RevisionCache,
    /// Digests of verified passwords by tenant, so that known clients need no Argon2 hash.
    verified: Mutex<BTreeMap<String, [u8; 32]>>,
    /// Key of those digests; new with each start.
    pepper: [u8; 32],
    /// The hashing thread, which verifies one password at a time: wrong passwords must not use up
    /// the core, and a hash needs more stack than a connection's thread has.
    password_checks: Sender<PasswordCheck>,
    open_connections: Arc<Mutex<BTreeMap<String, usize>>>,
}

/// A password to verify against a hash.
struct PasswordCheck {
    password: String,
    hash: String,
    answer: Sender<bool>,
}

/// Counts one connection of a tenant until it is dropped.
pub struct TenantSlot {
    name: String,
    open_connections: Arc<Mutex<BTreeMap<String, usize>>>,
}

impl Drop for TenantSlot {
    fn drop(&mut self) {
        let mut open_connections = lock(&self.open_connections);
        if let Some(count) = open_connections.get_mut(&self.name) {
            *count -= 1;
            if *count == 0 {
                open_connections.remove(&self.name);
            }
        }
    }
}

/// Locks a mutex, also a poisoned one: values are replaced as a whole, so that a panic leaves them
/// valid.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Tenants {
    /// Creates a client of the store at `url`. Records cached for longer than `max_cache_age` are
    /// read again.
    ///
    /// # Errors
    ///
    /// Fails if the URL is invalid or the hashing thread can't be started.
    pub fn new(url: &str, max_cache_age: Duration) -> Result<Tenants, String> {
        let client = redis::Client::open(url).map_err(|error| format!("store.url: {error}"))?;
        let mut pepper = [0; 32];
        OsRng.fill_bytes(&mut pepper);
        let (password_checks, checks) = bounded::<PasswordCheck>(MAX_PENDING_HASHES);
        let run = move || {
            for PasswordCheck {
                password,
                hash,
                answer,
            } in checks
            {
                let is_password_valid =
                    |hash| hasher().verify_password(password.as_bytes(), &hash).is_ok();
                // The client may have left.
                let _ = answer.send(PasswordHash::new(&hash).is_ok_and(is_password_valid));
            }
        };
        let thread = std::thread::Builder::new()
            .name("hashing".into())
            .spawn(run);
        thread.map_err(|error| format!("could not start the thread hashing: {error}"))?;
        Ok(Tenants {
            repository: Repository {
                store: Store {
                    client,
                    state: Mutex::default(),
                },
            },
            max_cache_age,
            cache: RevisionCache::default(),
            verified: Mutex::default(),
            pepper,
            password_checks,
            open_connections: Arc::default(),
        })
    }

    /// Admits a client by its credentials, within its tenant's limit.
    ///
    /// # Errors
    ///
    /// Returns why it is not admitted.
    pub fn admit(
        &self,
        name: &str,
        password: &str,
    ) -> Result<(Arc<Tenant>, TenantSlot), AdmitError> {
        if !is_name(name) {
            return Err(AdmitError::InvalidCredentials);
        }
        let tenant = match self.get(name) {
            Ok(tenant) => tenant,
            Err(StoreError::Missing) => return Err(AdmitError::InvalidCredentials),
            Err(_) => return Err(AdmitError::StoreUnavailable),
        };
        if !self.is_password_valid(&tenant, password) {
            return Err(AdmitError::InvalidCredentials);
        }
        self.take_slot(tenant)
    }

    /// Admits a client without a call to the store or a hash, if its tenant's record is fresh and
    /// its password was verified before. Returns `None` if [`Tenants::admit`] has to decide.
    pub fn admit_at_once(
        &self,
        name: &str,
        password: &str,
    ) -> Option<Result<(Arc<Tenant>, TenantSlot), AdmitError>> {
        if !is_name(name) {
            return Some(Err(AdmitError::InvalidCredentials));
        }
        let (revision, age) = self.cache.get(name)?;
        let tenant = revision.state.tenant()?;
        let is_verified = lock(&self.verified).get(name) == Some(&self.digest(&tenant, password));
        (age < self.max_cache_age && is_verified).then(|| self.take_slot(tenant))
    }

    /// Counts a connection of a tenant, within its limit.
    fn take_slot(&self, tenant: Arc<Tenant>) -> Result<(Arc<Tenant>, TenantSlot), AdmitError> {
        let mut open_connections = lock(&self.open_connections);
        let count = open_connections.entry(tenant.name.clone()).or_insert(0);
        if *count >= tenant.connections {
            return Err(AdmitError::TooManyConnections);
        }
        *count += 1;
        let slot = TenantSlot {
            name: tenant.name.clone(),
            open_connections: Arc::clone(&self.open_connections),
        };
        Ok((tenant, slot))
    }

    /// A tenant's record, from the cache while it is fresh or the store is unavailable.
    pub fn get(&self, name: &str) -> Result<Arc<Tenant>, StoreError> {
        if !is_name(name) {
            return Err(StoreError::Missing);
        }
        let cached = self.cache.get(name);
        // A removal is read again at once: another process may have created the tenant since.
        if let Some((revision, age)) = &cached
            && *age < self.max_cache_age
            && let Some(tenant) = revision.state.tenant()
        {
            return Ok(tenant);
        }
        let newest = match self.repository.read(name) {
            Ok(stored) => self.cache.merge(name, stored.revision),
            Err(error) => cached.map(|(revision, _)| revision).ok_or(error)?,
        };
        if newest.state.tenant().is_none() {
            lock(&self.verified).remove(name);
        }
        newest.state.tenant().ok_or(StoreError::Missing)
    }

    /// All records.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable.
    pub fn list(&self) -> Result<Vec<Arc<Tenant>>, StoreError> {
        let stored = self.repository.read_all()?;
        Ok(stored
            .into_iter()
            .filter_map(|(name, revision)| self.cache.merge(&name, revision).state.tenant())
            .collect())
    }

    /// Creates a tenant.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable, refuses writes or has a tenant of that name.
    pub fn create(&self, tenant: Tenant) -> Result<Arc<Tenant>, StoreError> {
        let tenant = Arc::new(tenant);
        self.commit(&tenant.name, |state| match state {
            RecordState::Absent | RecordState::Removed => {
                Ok(RecordState::Active(Arc::clone(&tenant)))
            }
            RecordState::Active(_) | RecordState::Unreadable => Err(StoreError::Exists),
        })?;
        Ok(tenant)
    }

    /// Changes a record. The change is applied to the newest revision, anew if another one was
    /// committed meanwhile, so that of two concurrent changes both are kept.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable, refuses writes or has no tenant of that name, or if the
    /// newest revision can't be read.
    pub fn change(
        &self,
        name: &str,
        change: impl Fn(&mut Tenant),
    ) -> Result<Arc<Tenant>, StoreError> {
        let committed = self.commit(name, |state| {
            let tenant = state.tenant().ok_or(StoreError::Missing)?;
            let mut tenant = Tenant::clone(&tenant);
            change(&mut tenant);
            Ok(RecordState::Active(Arc::new(tenant)))
        })?;
        committed.state.tenant().ok_or(StoreError::Missing)
    }

    /// Removes a tenant. Its open connections are kept; new ones are rejected.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable, refuses writes or has no tenant of that name, or if the
    /// newest revision can't be read.
    pub fn remove(&self, name: &str) -> Result<(), StoreError> {
        self.commit(name, |state| match state {
            RecordState::Active(_) | RecordState::Unreadable => Ok(RecordState::Removed),
            RecordState::Absent | RecordState::Removed => Err(StoreError::Missing),
        })?;
        lock(&self.verified).remove(name);
        Ok(())
    }

    /// Commits the state that `next` derives from the newest one. Admissions use the cached record
    /// until then.
    fn commit(
        &self,
        name: &str,
        next: impl Fn(&RecordState) -> Result<RecordState, StoreError>,
    ) -> Result<Revision, StoreError> {
        if !is_name(name) {
            return Err(StoreError::Missing);
        }
        let mut last_taken = 0;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            let stored = self.repository.read(name)?;
            let newest = self.cache.merge(name, stored.revision.clone());
            if newest.number < last_taken {
                return Err(StoreError::Conflict);
            }
            let revision = Revision {
                number: newest.number + 1,
                state: next(&newest.state)?,
            };
            match self.repository.commit(name, &stored, &revision)? {
                CommitOutcome::Committed => return Ok(self.cache.merge(name, revision)),
                CommitOutcome::NumberTaken => last_taken = revision.number,
            }
            std::thread::sleep(commit_backoff());
        }
        Err(StoreError::Conflict)
    }

    /// Number of open connections by tenant; tenants without any are left out.
    pub fn open_connections(&self) -> BTreeMap<String, usize> {
        lock(&self.open_connections).clone()
    }

    /// Whether the last call failed to reach the store.
    pub fn is_store_unavailable(&self) -> bool {
        lock(&self.repository.store.state)
            .unavailable_until
            .is_some()
    }

    /// Digest of a password that was verified against a tenant's hash.
    fn digest(&self, tenant: &Tenant, password: &str) -> [u8; 32] {
        let mut digest = Sha256::new();
        for part in [
            &self.pepper[..],
            tenant.secret.as_bytes(),
            password.as_bytes(),
        ] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        digest.finalize().into()
    }

    fn is_password_valid(&self, tenant: &Tenant, password: &str) -> bool {
        let digest = self.digest(tenant, password);
        if lock(&self.verified).get(&tenant.name) == Some(&digest) {
            return true;
        }
        let (answer, answered) = bounded(1);
        let check = PasswordCheck {
            password: password.to_owned(),
            hash: tenant.secret.clone(),
            answer,
        };
        let verified = self.password_checks.send(check).is_ok() && answered.recv().unwrap_or(false);
        if verified {
            lock(&self.verified).insert(tenant.name.clone(), digest);
        }
        verified
    }
}

/// A fully jittered pause, so that writers of one record do not keep colliding.
fn commit_backoff() -> Duration {
    let fraction = f64::from(OsRng.next_u32()) / f64::from(u32::MAX);
    MAX_COMMIT_BACKOFF.mul_f64(fraction)
}

/// Whether a text can be a tenant's name.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    (1..=64).contains(&text.len()) && text.bytes().all(allowed)
}

/// Argon2id with 8 MiB, a size that a small machine can afford.
fn hasher() -> Argon2<'static> {
    let params = Params::new(8 * 1024, 3, 1, None).expect("the parameters are in range");
    Argon2::new(Algorithm::Argon2id, Version::V0x13, params)
}

/// Hashes a password for a record.
///
/// # Errors
///
/// Fails if the password can't be hashed.
pub fn hash(password: &str) -> Result<String, argon2::password_hash::Error> {
    let salt = SaltString::generate(&mut OsRng);
    Ok(hasher()
        .hash_password(password.as_bytes(), &salt)?
        .to_string())
}
