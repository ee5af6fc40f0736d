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
fn heard<T>(mut ask: impl FnMut() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let deadline = Instant::now() + Duration::from_secs(30);
    loop {
        match ask() {
            Err(StoreError::Unavailable) if Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(20))
            }
            answer => return answer,
        }
    }
}

fn begin() -> (Redis, Tenants) {
    let redis = Redis::start();
    let tenants =
        Tenants::new(&format!("redis://{}/", redis.address), Duration::ZERO).expect("an address");
    let made = heard(|| tenants.create(tenant()));
    assert!(
        matches!(made, Ok(_) | Err(StoreError::Exists)),
        "again, perhaps"
    );
    (redis, tenants)
}

#[test]
fn a_change_that_the_store_does_not_take_leaves_the_copy_that_serves_on() {
    let (redis, tenants) = begin();
    redis.goes_away(true);
    let changed = tenants.change("north", |tenant| tenant.connections = 9);
    assert_eq!(changed.map(drop), Err(StoreError::Unavailable));
    assert_eq!(tenants.get("north").map(|tenant| tenant.connections), Ok(5));
    assert!(tenants.is_store_unavailable());
}

#[test]
fn a_store_without_room_is_not_away_and_one_that_has_room_again_takes_the_change() {
    let (redis, tenants) = begin();
    redis.manner(RedisBehaviour::Full);
    let change = |tenant: &mut Tenant| tenant.connections = 9;
    assert_eq!(
        heard(|| tenants.change("north", change)).map(drop),
        Err(StoreError::WritesRefused)
    );
    assert!(!tenants.is_store_unavailable());
    assert_eq!(tenants.get("north").map(|tenant| tenant.connections), Ok(5));
    redis.manner(RedisBehaviour::Serve);
    assert_eq!(
        heard(|| tenants.change("north", change)).map(|tenant| tenant.connections),
        Ok(9)
    );
}
