//! Tests of the assessment of servers by the site's evidence.

use super::*;

fn servers() -> BTreeMap<String, ListedServer> {
    let listed = |name: &str| ListedServer {
        instance_id: name.into(),
        host_port: None,
        zone: String::new(),
        machine_type: String::new(),
        cell: 0,
        lifecycle: ServerLifecycle::Serving,
        weight: 1.0,
        started_at_ms: 0,
    };
    ["s0", "s1", "s2", "s3", "s4"]
        .map(|name| (name.to_owned(), listed(name)))
        .into()
}

fn identity(name: &str) -> ServerIdentity {
    ServerIdentity {
        name: name.into(),
        started_at_ms: 0,
    }
}

#[test]
fn applies_evidence_after_isolation_until_server_recovers() {
    let (mut site, servers) = (SiteEvidence::default(), servers());
    let record_outcome = |site: &mut SiteEvidence, now, outcome| {
        health_from_outcome(outcome)
            .and_then(|health| site.record_own(now, "me", &identity("s1"), health));
    };
    let refused = Some(AttemptOutcome::ConnectFailed);
    record_outcome(&mut site, 1_000, refused);
    record_outcome(&mut site, 1_100, refused);
    assert_eq!(
        site.assess(1_200, &servers, (false, None), 0),
        None,
        "discovery decides while the site is linked"
    );
    let assessments = site
        .assess(1_200, &servers, (true, None), 0)
        .expect("the refusing server is skipped");
    assert_eq!(assessments.keys().collect::<Vec<_>>(), ["s1"]);
    assert!(assessments["s1"].skip_reason.is_some());
    // Servers that fail after the isolation are not assessed by this evidence any more.
    let report = site.record_own(1_300, "me", &identity("s2"), ServerHealth::Draining);
    assert!(report.is_some());
    assert_eq!(
        site.assess(1_300, &servers, (false, None), 0),
        None,
        "s1 is still skipped, s2 is not"
    );
    record_outcome(&mut site, 2_000, None);
    let recovering = site
        .assess(2_100, &servers, (false, None), 0)
        .expect("s1 recovers");
    assert!(recovering["s1"].skip_reason.is_none() && recovering["s1"].weight_factor < 0.5);
    assert_eq!(
        site.assess(60_000, &servers, (false, None), 0),
        Some(BTreeMap::new())
    );
}

#[test]
fn skips_unproven_servers_when_list_is_too_old() {
    let (mut site, servers) = (SiteEvidence::default(), servers());
    site.record_own(1_000, "me", &identity("s0"), ServerHealth::Healthy);
    site.servers_in_use.insert("s2".into());
    let assessments = site
        .assess(2_000, &servers, (true, Some("too old")), 0)
        .expect("servers without evidence of health are skipped");
    assert_eq!(assessments.keys().collect::<Vec<_>>(), ["s1", "s3", "s4"]);
    assert_eq!(assessments["s1"].skip_reason.as_deref(), Some("too old"));
}
