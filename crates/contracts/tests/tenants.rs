//! Cached tenant records while the tenant store is unavailable or full.

use std::time::{Duration, Instant};

use beaconflow_balancer::front::nats::tenants::{Identity, StoreError, Tenant, Tenants};
use beaconflow_contracts::redis::{Redis, RedisBehaviour};

fn tenant() -> Tenant {
    let upstream = Identity {
        user: "u".into(),
        password: String::new(),
    };
    let (name, secret, class) = ("north".into(), String::new(), "gold".into());
    Tenant {
        name,
        secret,
        class,
        connections: 5,
        share: 1.0,
        upstream,
        rest: Default::default(),
    }
}

/// Repeats a call while the store is unavailable, as it may time out on a loaded machine.
fn retry_while_unavailable<T>(
    mut call: impl FnMut() -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    let deadline = Instant::now() + Duration::from_secs(30);
    loop {
        match call() {
            Err(StoreError::Unavailable) if Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(20))
            }
            result => return result,
        }
    }
}

fn start_with_one_tenant() -> (Redis, Tenants) {
    let redis = Redis::start();
    let tenants = Tenants::new(&format!("redis://{}/", redis.address), Duration::ZERO)
        .expect("the URL of the fake server is valid");
    let created = retry_while_unavailable(|| tenants.create(tenant()));
    assert!(
        matches!(created, Ok(_) | Err(StoreError::Exists)),
        "the tenant was created, by this call or by an earlier attempt"
    );
    (redis, tenants)
}

/// A failed change must neither alter nor drop the cached tenant that is served while the store is unavailable.
#[test]
fn serves_cached_tenant_when_store_is_unavailable() {
    let (redis, tenants) = start_with_one_tenant();
    redis.set_unavailable(true);
    let changed = tenants.change("north", |tenant| tenant.connections = 9);
    assert_eq!(changed.map(drop), Err(StoreError::Unavailable));
    assert_eq!(tenants.get("north").map(|tenant| tenant.connections), Ok(5));
    assert!(tenants.is_store_unavailable());
}

/// A full store refuses writes but can be read, so it must not count as unavailable.
#[test]
fn accepts_change_when_store_has_room_again() {
    let (redis, tenants) = start_with_one_tenant();
    redis.set_behaviour(RedisBehaviour::Full);
    let change = |tenant: &mut Tenant| tenant.connections = 9;
    assert_eq!(
        retry_while_unavailable(|| tenants.change("north", change)).map(drop),
        Err(StoreError::WritesRefused)
    );
    assert!(!tenants.is_store_unavailable());
    assert_eq!(tenants.get("north").map(|tenant| tenant.connections), Ok(5));
    redis.set_behaviour(RedisBehaviour::Serve);
    assert_eq!(
        retry_while_unavailable(|| tenants.change("north", change))
            .map(|tenant| tenant.connections),
        Ok(9)
    );
}
