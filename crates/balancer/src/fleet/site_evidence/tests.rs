use super::*;

fn farm() -> BTreeMap<String, ListedServer> {
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

fn seen(name: &str) -> ServerIdentity {
    ServerIdentity {
        name: name.into(),
        started_at_ms: 0,
    }
}

#[test]
fn evidence_counts_on_the_island_and_after_it_only_until_the_server_is_as_listed() {
    let (mut site, farm) = (SiteEvidence::default(), farm());
    let see = |site: &mut SiteEvidence, now, how| {
        health_from_outcome(how).and_then(|judged| site.record_own(now, "me", &seen("s1"), judged));
    };
    let refused = Some(AttemptOutcome::ConnectFailed);
    see(&mut site, 1_000, refused);
    see(&mut site, 1_100, refused);
    assert_eq!(
        site.assess(1_200, &farm, (false, None), 0),
        None,
        "discovery's word holds"
    );
    let parts = site
        .assess(1_200, &farm, (true, None), 0)
        .expect("passed over");
    assert_eq!(parts.keys().collect::<Vec<_>>(), ["s1"]);
    assert!(parts["s1"].skip_reason.is_some());
    // Others fall ill after the island: no more by this evidence.
    let other = site.record_own(1_300, "me", &seen("s2"), ServerHealth::Draining);
    assert!(other.is_some());
    assert_eq!(
        site.assess(1_300, &farm, (false, None), 0),
        None,
        "s1 still is, s2 is not"
    );
    see(&mut site, 2_000, None);
    let rises = site
        .assess(2_100, &farm, (false, None), 0)
        .expect("well again");
    assert!(rises["s1"].skip_reason.is_none() && rises["s1"].weight_factor < 0.5);
    assert_eq!(
        site.assess(60_000, &farm, (false, None), 0),
        Some(BTreeMap::new())
    );
}

#[test]
fn a_list_that_is_too_old_is_served_only_where_something_says_that_a_server_is_well() {
    let (mut site, farm) = (SiteEvidence::default(), farm());
    site.record_own(1_000, "me", &seen("s0"), ServerHealth::Healthy);
    site.servers_in_use.insert("s2".into());
    let parts = site
        .assess(2_000, &farm, (true, Some("too old")), 0)
        .expect("the rest is passed over");
    assert_eq!(parts.keys().collect::<Vec<_>>(), ["s1", "s3", "s4"]);
    assert_eq!(parts["s1"].skip_reason.as_deref(), Some("too old"));
}
