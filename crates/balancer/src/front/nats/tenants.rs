//! Tenants: their records in the shared store, with a cache.
//!
//! The store is called on the threads of admissions and of the administration API, never on the
//! core's.

mod store;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use argon2::password_hash::rand_core::{OsRng, RngCore};
use argon2::password_hash::{PasswordHash, PasswordHasher, PasswordVerifier, SaltString};
use argon2::{Algorithm, Argon2, Params, Version};
use crossbeam_channel::{Sender, bounded};
use redis::Commands;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use store::{CallResult, Store};

/// The Redis hash with the tenants' records by name.
const TENANTS_KEY: &str = "beaconflow:tenants";
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
}

struct CachedTenant {
    tenant: Arc<Tenant>,
    read_at: Instant,
}

/// The tenants of a store.
pub struct Tenants {
    store: Store,
    max_cache_age: Duration,
    cache: Mutex<BTreeMap<String, CachedTenant>>,
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
            store: Store {
                client,
                state: Mutex::default(),
            },
            max_cache_age,
            cache: Mutex::default(),
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
            Err(StoreError::Unavailable) => return Err(AdmitError::StoreUnavailable),
            Err(StoreError::Exists | StoreError::Missing | StoreError::WritesRefused) => {
                return Err(AdmitError::InvalidCredentials);
            }
        };
        if !self.is_password_valid(&tenant, password) {
            return Err(AdmitError::InvalidCredentials);
        }
        let mut open_connections = lock(&self.open_connections);
        let count = open_connections.entry(name.to_owned()).or_insert(0);
        if *count >= tenant.connections {
            return Err(AdmitError::TooManyConnections);
        }
        *count += 1;
        Ok((
            tenant,
            TenantSlot {
                name: name.to_owned(),
                open_connections: Arc::clone(&self.open_connections),
            },
        ))
    }

    /// A tenant's record, from the cache while it is fresh or the store is unavailable.
    pub fn get(&self, name: &str) -> Result<Arc<Tenant>, StoreError> {
        let cached = lock(&self.cache)
            .get(name)
            .map(|cached| (Arc::clone(&cached.tenant), cached.read_at.elapsed()));
        if let Some((tenant, age)) = &cached
            && *age < self.max_cache_age
        {
            return Ok(Arc::clone(tenant));
        }
        match self.read(name) {
            Ok(tenant) => Ok(self.update_cache(tenant)),
            Err(StoreError::Missing) => {
                self.remove_from_cache(name);
                Err(StoreError::Missing)
            }
            Err(error) => cached.map(|(tenant, _)| tenant).ok_or(error),
        }
    }

    /// A tenant's record as stored.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable or has no tenant of that name.
    fn read(&self, name: &str) -> Result<Tenant, StoreError> {
        let text = self
            .store
            .call(|store| store.hget::<_, _, Option<String>>(TENANTS_KEY, name))?;
        text.and_then(|text| serde_json::from_str(&text).ok())
            .ok_or(StoreError::Missing)
    }

    /// All records.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable.
    pub fn list(&self) -> Result<Vec<Tenant>, StoreError> {
        let all = self
            .store
            .call(|store| store.hgetall::<_, BTreeMap<String, String>>(TENANTS_KEY))?;
        Ok(all
            .values()
            .filter_map(|text| serde_json::from_str(text).ok())
            .collect())
    }

    /// Creates a tenant.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable, refuses writes or has a tenant of that name.
    pub fn create(&self, tenant: Tenant) -> Result<Arc<Tenant>, StoreError> {
        let text = to_json(&tenant);
        let CallResult {
            value: was_created,
            was_retried,
        } = self
            .store
            .attempt(|store| store.hset_nx::<_, _, _, bool>(TENANTS_KEY, &tenant.name, &text))?;
        // A first try without an answer may have created the record.
        let is_own_record = !was_created
            && was_retried
            && self
                .read(&tenant.name)
                .is_ok_and(|found| to_json(&found) == text);
        if was_created || is_own_record {
            Ok(self.update_cache(tenant))
        } else {
            Err(StoreError::Exists)
        }
    }

    /// Changes a record. Of two concurrent changes the later one is kept.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable, refuses writes or has no tenant of that name.
    pub fn change(
        &self,
        name: &str,
        change: impl FnOnce(&mut Tenant),
    ) -> Result<Arc<Tenant>, StoreError> {
        // Admissions use the cached record until the change is stored.
        let mut tenant = self.read(name)?;
        change(&mut tenant);
        self.store
            .call(|store| store.hset::<_, _, _, ()>(TENANTS_KEY, name, to_json(&tenant)))?;
        Ok(self.update_cache(tenant))
    }

    /// Removes a tenant. Its open connections are kept; new ones are rejected.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable, refuses writes or has no tenant of that name.
    pub fn remove(&self, name: &str) -> Result<(), StoreError> {
        let CallResult {
            value: removed,
            was_retried,
        } = self
            .store
            .attempt(|store| store.hdel::<_, _, usize>(TENANTS_KEY, name))?;
        self.remove_from_cache(name);
        // A first try without an answer may have removed it.
        if removed == 0 && !was_retried {
            Err(StoreError::Missing)
        } else {
            Ok(())
        }
    }

    /// Number of open connections by tenant; tenants without any are left out.
    pub fn open_connections(&self) -> BTreeMap<String, usize> {
        lock(&self.open_connections).clone()
    }

    /// Whether the last call failed to reach the store.
    pub fn is_store_unavailable(&self) -> bool {
        lock(&self.store.state).unavailable_until.is_some()
    }

    fn update_cache(&self, tenant: Tenant) -> Arc<Tenant> {
        let tenant = Arc::new(tenant);
        let cached = CachedTenant {
            tenant: Arc::clone(&tenant),
            read_at: Instant::now(),
        };
        lock(&self.cache).insert(tenant.name.clone(), cached);
        tenant
    }

    fn remove_from_cache(&self, name: &str) {
        lock(&self.cache).remove(name);
        lock(&self.verified).remove(name);
    }

    fn is_password_valid(&self, tenant: &Tenant, password: &str) -> bool {
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

fn to_json(tenant: &Tenant) -> String {
    serde_json::to_string(tenant).expect("a record of texts and numbers is JSON")
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
