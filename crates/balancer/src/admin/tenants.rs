//! Administration API: tenants of the NATS front.

use std::collections::BTreeMap;
use std::sync::Arc;

use beaconflow_settings::SiteSettings;
use serde::Deserialize;
use serde_json::{Value, json};
use tracing::info;

use super::parse;
use crate::front::nats::tenants::{
    Identity, StoreError, Tenant, Tenants, default_share, hash, is_name,
};
use crate::http::Reply;

/// Allowed lengths of a password, in bytes.
const PASSWORD_LENGTHS: std::ops::RangeInclusive<usize> = 12..=256;

/// Allowed values of a tenant's share.
const SHARE_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1e6;

/// The tenants, and the settings that define their classes.
type TenantContext = (Arc<Tenants>, Arc<SiteSettings>);

impl From<StoreError> for Reply {
    fn from(error: StoreError) -> Reply {
        match error {
            StoreError::Unavailable => Reply::error(503, "the tenant store is unavailable"),
            StoreError::WritesRefused => Reply::error(503, "the tenant store rejects writes"),
            StoreError::Exists => Reply::error(409, "a tenant of this name exists"),
            StoreError::Missing => Reply::error(404, "no tenant has this name"),
            StoreError::Conflict => Reply::error(
                503,
                "another process has changed the tenant, and the store returns old values; try again",
            ),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CreateTenant {
    name: String,
    password: String,
    class: String,
    connections: usize,
    #[serde(default = "default_share")]
    share: f64,
    upstream: Identity,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TenantPatch {
    class: Option<String>,
    connections: Option<usize>,
    share: Option<f64>,
    upstream: Option<Identity>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PasswordChange {
    password: String,
}

/// Lists all tenants.
pub(super) fn list((tenants, _): &TenantContext) -> Result<Reply, Reply> {
    let open = tenants.open_connections();
    let all: Vec<Value> = tenants
        .list()?
        .iter()
        .map(|tenant| tenant_json(tenant, &open))
        .collect();
    Ok(Reply::new(200, json!({ "tenants": all })))
}

/// Reads one tenant.
pub(super) fn read((tenants, _): &TenantContext, name: &str) -> Result<Reply, Reply> {
    Ok(Reply::new(
        200,
        tenant_json(&*tenants.get(name)?, &tenants.open_connections()),
    ))
}

/// Creates a tenant.
pub(super) fn create((tenants, settings): &TenantContext, body: &[u8]) -> Result<Reply, Reply> {
    let request: CreateTenant = parse(body)?;
    if !is_name(&request.name) {
        return Err(Reply::error(
            422,
            "name: must be 1 to 64 letters, digits, '-' or '_'",
        ));
    }
    check(
        settings,
        Some(&request.class),
        Some(request.connections),
        Some(request.share),
        Some(&request.upstream),
    )?;
    let secret = hash_password(&request.password)?;
    let CreateTenant {
        name,
        class,
        connections,
        share,
        upstream,
        ..
    } = request;
    let tenant = tenants.create(Tenant {
        name,
        secret,
        class,
        connections,
        share,
        upstream,
        rest: Default::default(),
    })?;
    info!(part = "audit", tenant = tenant.name, "tenant created");
    Ok(Reply::new(201, tenant_json(&tenant, &BTreeMap::new())))
}

/// Changes the given fields of a tenant and keeps the others.
pub(super) fn change(
    (tenants, settings): &TenantContext,
    name: &str,
    body: &[u8],
) -> Result<Reply, Reply> {
    let TenantPatch {
        class,
        connections,
        share,
        upstream,
    } = parse(body)?;
    check(
        settings,
        class.as_deref(),
        connections,
        share,
        upstream.as_ref(),
    )?;
    let changed = tenants.change(name, |tenant| {
        tenant.class = class.clone().unwrap_or_else(|| tenant.class.clone());
        tenant.connections = connections.unwrap_or(tenant.connections);
        tenant.share = share.unwrap_or(tenant.share);
        tenant.upstream = upstream.clone().unwrap_or_else(|| tenant.upstream.clone());
    })?;
    info!(part = "audit", tenant = name, "tenant changed");
    Ok(Reply::new(
        200,
        tenant_json(&changed, &tenants.open_connections()),
    ))
}

/// Removes a tenant.
pub(super) fn remove((tenants, _): &TenantContext, name: &str) -> Result<Reply, Reply> {
    tenants.remove(name)?;
    info!(part = "audit", tenant = name, "tenant removed");
    Ok(Reply::new(204, Value::Null))
}

/// Replaces a tenant's password.
pub(super) fn rotate(
    (tenants, _): &TenantContext,
    name: &str,
    body: &[u8],
) -> Result<Reply, Reply> {
    let request: PasswordChange = parse(body)?;
    let secret = hash_password(&request.password)?;
    tenants.change(name, |tenant| tenant.secret.clone_from(&secret))?;
    info!(part = "audit", tenant = name, "credentials rotated");
    Ok(Reply::new(204, Value::Null))
}

fn check(
    settings: &SiteSettings,
    class: Option<&str>,
    connections: Option<usize>,
    share: Option<f64>,
    upstream: Option<&Identity>,
) -> Result<(), Reply> {
    if class.is_some_and(|class| settings.class(class).is_none()) {
        return Err(Reply::error(422, "class: not defined in the settings"));
    }
    if share.is_some_and(|share| !SHARE_RANGE.contains(&share)) {
        return Err(Reply::error(422, "share: must be from 0.001 to 1000000"));
    }
    if connections == Some(0) {
        return Err(Reply::error(422, "connections: must be at least 1"));
    }
    if upstream.is_some_and(|identity| identity.user.len() > 256 || identity.password.len() > 256) {
        return Err(Reply::error(
            422,
            "upstream: user and password must be at most 256 bytes each",
        ));
    }
    Ok(())
}

fn hash_password(password: &str) -> Result<String, Reply> {
    if !PASSWORD_LENGTHS.contains(&password.len()) {
        return Err(Reply::error(422, "password: must be 12 to 256 bytes"));
    }
    hash(password).map_err(|_| Reply::error(500, "the password could not be hashed"))
}

/// A tenant in the API's format, without its secrets.
fn tenant_json(tenant: &Tenant, open: &BTreeMap<String, usize>) -> Value {
    json!({
        "name": tenant.name, "class": tenant.class, "connections": tenant.connections,
        "share": tenant.share,
        "open": open.get(&tenant.name).copied().unwrap_or(0), "upstream": { "user": tenant.upstream.user },
    })
}
