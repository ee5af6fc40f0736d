//! The tenants' records in Redis.

use std::time::Duration;

use beaconflow_balancer::front::nats::tenants::{Identity, StoreError, Tenant, Tenants};
use beaconflow_contracts::redis::{Redis, RedisBehaviour};
use beaconflow_contracts::stores::{
    Durable, Emptied, Failed, Loss, Newer, Opened, Rows, Store, StoreFault, Subject, Traits,
};

const HASH: &str = "beaconflow:tenants";
/// What a newer program wrote, and this one does not know.
const NEWER: &str = "\"tier\":\"gold\"";

/// A server with tenants.
pub struct RedisTenants(Redis);

struct Open(Tenants);

impl RedisTenants {
    /// One that is empty.
    pub fn new() -> RedisTenants {
        RedisTenants(Redis::start())
    }
}

fn failed(error: StoreError) -> Failed {
    match error {
        StoreError::Exists | StoreError::Missing => Failed::Refused(format!("{error:?}")),
        error => Failed::Unable(format!("{error:?}")),
    }
}

fn name(key: u64) -> String {
    format!("t{key}")
}

/// The value is a tenant's user.
fn to_row(tenant: &Tenant) -> (u64, String) {
    (
        tenant.name[1..].parse().unwrap_or(u64::MAX),
        tenant.upstream.user.clone(),
    )
}

impl Store for Open {
    fn put(&mut self, rows: &Rows) -> Result<(), Failed> {
        for (key, value) in rows {
            let changed = self
                .0
                .change(&name(*key), |tenant| tenant.upstream.user.clone_from(value));
            match changed {
                Err(StoreError::Missing) => {
                    let upstream = Identity {
                        user: value.clone(),
                        password: String::new(),
                    };
                    self.0.create(Tenant {
                        name: name(*key),
                        secret: String::new(),
                        class: "gold".into(),
                        connections: 5,
                        share: 1.0,
                        upstream,
                        rest: Default::default(),
                    })
                }
                changed => changed,
            }
            .map_err(failed)?;
        }
        Ok(())
    }

    fn remove(&mut self, key: u64) -> Result<(), Failed> {
        self.0.remove(&name(key)).map_err(failed)
    }

    fn rows(&mut self) -> Result<Rows, Failed> {
        Ok(self.0.list().map_err(failed)?.iter().map(to_row).collect())
    }
}

impl Subject for RedisTenants {
    fn traits(&self) -> Traits {
        Traits {
            durable: Durable::ByServer,
            batches: false,
            exclusive: false,
            newer: Newer::Carried,
            wire: true,
        }
    }

    fn open(&self) -> Opened {
        let url = format!("redis://{}/", self.0.address);
        let tenants = Tenants::new(&url, Duration::ZERO).map_err(Failed::Unable)?;
        let mut open = Open(tenants);
        let rows = open.rows()?;
        Ok((Box::new(open), rows))
    }

    fn weather(&self, weather: StoreFault) {
        self.0.manner(match weather {
            StoreFault::Fair => RedisBehaviour::Serve,
            StoreFault::Full => RedisBehaviour::Full,
            StoreFault::ReadOnly => RedisBehaviour::ReadOnly,
            StoreFault::Slow => RedisBehaviour::Slow(Duration::from_millis(100)),
            StoreFault::Silent => RedisBehaviour::Silent,
            StoreFault::HalfAnswer => RedisBehaviour::HalfAnswer,
            StoreFault::Reset => RedisBehaviour::ResetOnce,
            StoreFault::Late => RedisBehaviour::Late,
            StoreFault::Loading => RedisBehaviour::Loading,
        });
    }

    fn cut_after(&self, writes: u64) {
        if writes == 0 {
            self.0.goes_away(true)
        } else {
            self.0.dies_after(writes)
        }
    }

    fn is_dark(&self) -> bool {
        self.0.is_away()
    }

    fn power_back(&self, loss: Loss) {
        if loss != Loss::Nothing {
            self.0.loses_the_last_write();
        }
        self.0.goes_away(false);
    }

    fn empty(&self, _: Emptied) {
        self.0.is_emptied();
    }

    fn newer_writes(&self) {
        if let Some(text) = self.0.field(HASH, "t1") {
            self.0
                .set_field(HASH, "t1", &text.replacen('{', &format!("{{{NEWER},"), 1));
        }
    }

    fn is_newer_intact(&self) -> bool {
        self.0
            .field(HASH, "t1")
            .is_some_and(|text| text.contains(NEWER))
    }
}
