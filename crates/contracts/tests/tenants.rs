//! What the last known copies of tenants' records are good for while their store is away.

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

/// The answer of the store, which on a machine with much to do may have to be asked again.
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
    let tenants =
        Tenants::new(&format!("redis://{}/", redis.address), Duration::ZERO).expect("an address");
    let created = retry_while_unavailable(|| tenants.create(tenant()));
    assert!(
        matches!(created, Ok(_) | Err(StoreError::Exists)),
        "again, perhaps"
    );
    (redis, tenants)
}

#[test]
fn serves_cached_tenant_when_store_is_unavailable() {
    let (redis, tenants) = start_with_one_tenant();
    redis.set_unavailable(true);
    let changed = tenants.change("north", |tenant| tenant.connections = 9);
    assert_eq!(changed.map(drop), Err(StoreError::Unavailable));
    assert_eq!(tenants.get("north").map(|tenant| tenant.connections), Ok(5));
    assert!(tenants.is_store_unavailable());
}

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
