//! Reads the settings from their form in a file. All errors are reported at once.

use std::collections::HashSet;

use beaconflow_policy::{
    DedupScope, DiscoveryMode, Limits, Nanos, RetrySafety, ServerRules, ZoneId,
};
use serde::{Deserialize, Deserializer, de};
use serde_json::Value;

use crate::fields::{ConfigErrors, ErrorCollector, Fields};
use crate::{NamedClass, SiteSettings, TenantShare};

/// Value of `discovery` for pushed lists.
const PUSHED_NAME: &str = "automatic";
/// Value of `discovery` for polled lists.
const POLLED_NAME: &str = "subscribe";

impl SiteSettings {
    /// Reads the settings from a value. `path` precedes the path of each error.
    ///
    /// # Errors
    ///
    /// Returns all missing and invalid fields.
    pub fn read(path: &str, value: &Value) -> Result<SiteSettings, ConfigErrors> {
        let errors = ErrorCollector::default();
        let site_settings = site_settings(Fields::new(value, path, &errors));
        errors.finish(site_settings)
    }
}

impl<'de> Deserialize<'de> for SiteSettings {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<SiteSettings, D::Error> {
        let value = Value::deserialize(deserializer)?;
        SiteSettings::read("", &value).map_err(de::Error::custom)
    }
}

fn site_settings(fields: Fields<'_>) -> Option<SiteSettings> {
    let balancers: Option<Option<u32>> = fields.optional_or_default("balancers");
    fields.error_if(
        "balancers",
        balancers == Some(Some(0)),
        "must be at least 1",
    );
    let rank = fields.optional_or_default("rank");
    let (zone, zones) = (
        fields.optional_or_default("zone").map(ZoneId),
        zones(fields),
    );
    let message_objectives: Option<Vec<Option<Nanos>>> = fields.object("family-info", |info| {
        info.optional_or_default("message-aim-ns")
    });
    let classes = named_classes(fields, message_objectives.as_deref().unwrap_or_default());
    let tenants = tenant_shares(fields);
    let (discovery, has_live_weights) = (discovery(fields), has_live_weights(fields));
    let limits = fields.required_object("policy-limits", limits);
    let rules = fields.required_object("rules", rules);
    Some(SiteSettings {
        balancers: balancers?,
        rank: rank?,
        zone: zone?,
        zones: zones?,
        classes: classes?,
        tenants: tenants?,
        discovery: discovery?,
        has_live_weights: has_live_weights?,
        limits: limits?,
        rules: rules?,
    })
}

fn zones(fields: Fields<'_>) -> Option<Vec<String>> {
    let zones: Vec<String> = fields.optional_or_default("zones")?;
    reject_duplicates(fields, "zones", zones.iter());
    Some(zones)
}

fn named_classes(
    fields: Fields<'_>,
    message_objectives: &[Option<Nanos>],
) -> Option<Vec<NamedClass>> {
    let mut classes = fields.required_list("lanes", named_class)?;
    fields.error_if(
        "lanes",
        classes.is_empty(),
        "must contain at least one class",
    );
    reject_duplicates(fields, "lanes", classes.iter().map(|class| &class.name));
    for (class, objective) in classes.iter_mut().zip(message_objectives) {
        class.message_latency_objective = objective.unwrap_or(0);
    }
    Some(classes)
}

fn named_class(fields: Fields<'_>) -> Option<NamedClass> {
    let name = fields.optional_or_default("name");
    let deadline = fields.required_if(
        "hard-limit-ns",
        |deadline| *deadline > 0,
        "must be more than 0",
    );
    let retry_safety = retry_safety(fields);
    Some(NamedClass {
        name: name?,
        deadline: deadline?,
        retry_safety: retry_safety?,
        message_latency_objective: 0,
    })
}

fn retry_safety(fields: Fields<'_>) -> Option<RetrySafety> {
    let effect: String = fields.required("effect")?;
    match effect.as_str() {
        "retryable" => Some(RetrySafety::Idempotent),
        "fragile" => Some(RetrySafety::NonIdempotent),
        "dedup" => {
            let (dedup_scope, window) = (dedup_scope(fields), fields.required("repeat-window-ns"));
            Some(RetrySafety::IdempotencyKey {
                dedup_scope: dedup_scope?,
                window: window?,
            })
        }
        other => {
            fields.error("effect", format!("unknown effect {other:?}"));
            None
        }
    }
}

/// The servers that discard repeated requests. An unknown value must not be read as all of them.
fn dedup_scope(fields: Fields<'_>) -> Option<DedupScope> {
    let scope: String = fields.required("dedup-scope")?;
    match scope.as_str() {
        "all" => Some(DedupScope::All),
        "zone" => Some(DedupScope::Zone),
        "cell" => Some(DedupScope::Cell),
        other => {
            fields.error("dedup-scope", format!("unknown scope {other:?}"));
            None
        }
    }
}

fn tenant_shares(fields: Fields<'_>) -> Option<Vec<TenantShare>> {
    let tenants = fields.list("projects", tenant_share)?;
    reject_duplicates(
        fields,
        "projects",
        tenants.iter().map(|tenant| &tenant.name),
    );
    Some(tenants)
}

fn tenant_share(fields: Fields<'_>) -> Option<TenantShare> {
    let (name, share) = (
        fields.optional_or_default("name"),
        fields.optional_or_default("share"),
    );
    let is_negative = matches!(share, Some(Some(share)) if share < 0.0);
    fields.error_if("share", is_negative, "must not be below 0");
    Some(TenantShare {
        name: name?,
        share: share?,
    })
}

fn discovery(fields: Fields<'_>) -> Option<DiscoveryMode> {
    let kind: String = fields.required("discovery")?;
    match kind.as_str() {
        PUSHED_NAME => Some(DiscoveryMode::Pushed),
        POLLED_NAME => Some(DiscoveryMode::Polled),
        other => {
            fields.error("discovery", format!("unknown discovery {other:?}"));
            None
        }
    }
}

fn has_live_weights(fields: Fields<'_>) -> Option<bool> {
    let kind: String = fields.optional_or_default("weight-kind")?;
    Some(kind == "live")
}

fn limits(fields: Fields<'_>) -> Option<Limits> {
    let max_attempts = fields.required_if(
        "max-attempts",
        |attempts| *attempts > 0,
        "must be at least 1",
    );
    let (sends_retry_after, max_retry_after) = (
        fields.optional_or_default("retry-after"),
        fields.optional_or_default("max-retry-after-ns"),
    );
    let (can_probe, connect_timeout) = (
        fields.optional_or_default("may-probe"),
        fields.optional_or_default("connect-timeout-ns"),
    );
    Some(Limits {
        max_attempts: max_attempts?,
        sends_retry_after: sends_retry_after?,
        max_retry_after: max_retry_after?,
        can_probe: can_probe?,
        connect_timeout: connect_timeout?,
    })
}

fn rules(fields: Fields<'_>) -> Option<ServerRules> {
    let is_valid_share = |share: &f64| *share > 0.0 && *share <= 1.0;
    let initial_capacity = fields.required_if(
        "cold-share",
        is_valid_share,
        "must be above 0 and at most 1",
    );
    let is_valid_multiple = |multiple: &f64| multiple.is_finite() && *multiple > 0.0;
    let overload_multiple =
        fields.required_if("tip-multiple", is_valid_multiple, "must be above 0");
    let (warm_up_time, overload_window) = (fields.required("cold-ns"), fields.required("fall-ns"));
    let list_max_age = fields.optional_or_default("ask-within-ns");
    Some(ServerRules {
        initial_capacity: initial_capacity?,
        warm_up_time: warm_up_time?,
        overload_multiple: overload_multiple?,
        overload_window: overload_window?,
        list_max_age: list_max_age?,
    })
}

/// Rejects duplicate names, of which only the first would be found. Entries without a name are
/// ignored.
fn reject_duplicates<'n>(fields: Fields<'_>, key: &str, names: impl Iterator<Item = &'n String>) {
    let mut known = HashSet::new();
    for (index, name) in names.enumerate() {
        if !name.is_empty() && !known.insert(name) {
            fields.error(
                &format!("{key}[{index}]"),
                format!("duplicate name {name:?}"),
            );
        }
    }
}
