//! The section `[admission]`: limits of the admission queue and shares of accounts.

use std::collections::HashMap;
use std::time::Duration;

use beaconflow_admission::{Limits, QueueSize};

use super::section::Section;
use crate::core::AdmissionConfig;

/// Minimum size of a queue in bytes, so that at least one entry fits.
const MIN_QUEUE_BYTES: usize = 4_096;
/// Maximum number of queues per request class of an account.
const MAX_QUEUES: usize = 1_024;
/// Maximum number of queues among which a client's entry chooses.
const MAX_CHOICES: usize = 16;

/// Reads the section; missing fields have the defaults of [`AdmissionConfig`].
pub(super) fn admission(mut section: Section<'_>) -> AdmissionConfig {
    let default = AdmissionConfig::default();
    let limits = limits(&mut section, default.limits);
    let over_share_after = over_share_after(&mut section, default.over_share_after);
    let shares = section.section("shares").map(shares).unwrap_or_default();
    section.reject_unknown_fields();
    AdmissionConfig {
        limits,
        shares,
        over_share_after,
    }
}

fn limits(section: &mut Section<'_>, default: Limits) -> Limits {
    let all = bound(section, "", default.total);
    let account = bound(section, "account_", all);
    let queue_default = QueueSize {
        entries: account.entries.min(default.per_queue.entries),
        ..account
    };
    let queue = bound(section, "queue_", queue_default);
    let queues = section.optional("queues", default.queues_per_class);
    let choices = section.optional("hand", default.hand_size);
    section.error_if(
        "queues",
        !(1..=MAX_QUEUES).contains(&queues),
        "must be from 1 to 1024",
    );
    section.error_if(
        "hand",
        !(1..=queues.min(MAX_CHOICES)).contains(&choices),
        "must be from 1 to 16 and at most queues",
    );
    Limits {
        total: all,
        per_account: account,
        per_queue: queue,
        queues_per_class: queues,
        hand_size: choices,
    }
}

fn bound(section: &mut Section<'_>, prefix: &str, default: QueueSize) -> QueueSize {
    let (entries, bytes) = (format!("{prefix}entries"), format!("{prefix}bytes"));
    let bound = QueueSize {
        entries: section.optional(&entries, default.entries),
        bytes: section.optional(&bytes, default.bytes),
    };
    section.error_if(&entries, bound.entries == 0, "must be at least 1");
    section.error_if(
        &bytes,
        bound.bytes < MIN_QUEUE_BYTES,
        "must be at least 4096",
    );
    bound
}

fn over_share_after(section: &mut Section<'_>, default: Duration) -> Duration {
    let seconds: f64 = section.optional("over_share_s", default.as_secs_f64());
    if (1.0..=86_400.0).contains(&seconds) {
        return Duration::from_secs_f64(seconds);
    }
    section.error("over_share_s", "must be from 1 to 86400");
    default
}

fn shares(mut section: Section<'_>) -> HashMap<String, f64> {
    let names: Vec<String> = section.table.keys().cloned().collect();
    let mut shares = HashMap::new();
    for name in names {
        let share: Option<f64> = section.required(&name);
        let is_invalid = share.is_some_and(|share| !(0.001..=1e6).contains(&share));
        section.error_if(&name, is_invalid, "must be from 0.001 to 1000000");
        shares.extend(share.map(|share| (name, share)));
    }
    shares
}
