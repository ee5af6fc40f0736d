//! Effects of overrides on servers, connections and clients while they are in effect.

use std::time::{Duration, Instant};

use crate::balancer::{Site, log_timestamp, out_override_body, override_body};
use crate::support::*;

#[test]
fn server_out_gets_no_clients_until_override_expires() {
    let site = Site::start(2);
    let (_, mut connections) = site.establish_connections(6);
    let id = site.api.add_override(&out_override_body("s0", 60.0));
    let override_status = site
        .api
        .call("GET", &format!("/v1/overrides/{id}"), "")
        .body;
    let remaining = override_status["remaining_s"]
        .as_f64()
        .expect("value is a number");
    assert!(remaining > 0.0 && remaining <= 60.0, "{remaining}");
    assert_eq!(override_status["effects"]["platform"], "in effect");
    let row = site.api.server_row("s0");
    assert_eq!(
        (
            row["listed"]["state"].as_str(),
            row["effective"]["state"].as_str()
        ),
        (Some("ready"), Some("out"))
    );
    assert!(
        row["why"][0]
            .as_str()
            .is_some_and(|why| why.contains("maintenance")),
        "{row}"
    );
    let (servers_used, more_connections) = site.establish_connections(4);
    assert!(
        servers_used.iter().all(|number| *number == 1),
        "{servers_used:?}"
    );
    // Established connections stay. None is dropped before the end of the test, as the balancer avoids a server that breaks
    // connections off.
    connections.extend(more_connections);
    for (client, server) in &mut connections {
        client.send("M 1\r\n");
        server.expect_line("M 1");
        server.send("A 1\r\n");
        client.expect_line("A 1");
    }
    let due = site.api.expire_soon(id);
    let line = site
        .program()
        .wait_for_log(&format!("override expired id={id}"));
    let delay = log_timestamp(&line) - due;
    assert!((-0.002..0.6).contains(&delay), "{delay} {line}");
    assert!(
        line.contains("who=ada") && line.contains("why=maintenance"),
        "{line}"
    );
    assert!(site.api.overrides().is_empty());
    wait_for("the full weight of the server", || {
        (site.api.server_row("s0")["effective"]["weight"] == 1.0).then_some(())
    });
    let (servers_used, _more_connections) = site.establish_connections(8);
    assert!(
        servers_used.contains(&0),
        "the server gets connections again: {servers_used:?}"
    );
}

#[test]
fn override_survives_server_absence_move_and_restart() {
    let mut site = Site::start(2);
    let id = site.api.add_override(&out_override_body("s0", 60.0));
    let effect_on_platform = |site: &Site| {
        let override_status = site
            .api
            .call("GET", &format!("/v1/overrides/{id}"), "")
            .body;
        override_status["effects"]["platform"]
            .as_str()
            .expect("value is a string")
            .to_owned()
    };
    let (first, second) = (site.address(0), site.address(1));
    site.send_endpoint_list(false, &[("s0", first, "DELETED")]);
    assert_eq!(effect_on_platform(&site), "server not listed");
    // It returns at another address, as a new process; the other server stays listed.
    site.servers[0].1 = listener();
    let moved = site.address(0);
    site.send_endpoint_list(true, &[("s0", moved, "SERVING"), ("s1", second, "SERVING")]);
    assert_eq!(effect_on_platform(&site), "in effect");
    let (servers_used, _connections) = site.establish_connections(4);
    assert!(
        servers_used.iter().all(|number| *number == 1),
        "{servers_used:?}"
    );
    // An override may name a server that was never listed.
    let later = site
        .api
        .call("POST", "/v1/overrides", &out_override_body("s2", 60.0));
    assert_eq!(
        (later.status, later.body["effects"]["platform"].as_str()),
        (201, Some("server not listed"))
    );
    site.servers.push(("s2".into(), listener()));
    let third = site.address(2);
    site.send_endpoint_list(false, &[("s2", third, "SERVING")]);
    assert_eq!(site.api.server_row("s2")["effective"]["state"], "out");
    let (servers_used, _more_connections) = site.establish_connections(4);
    assert!(
        servers_used.iter().all(|number| *number == 1),
        "{servers_used:?}"
    );
}

/// An override that would leave no ready server is rejected unless forced, and is judged again with each endpoint list.
#[test]
fn override_that_leaves_no_server_needs_force() {
    let mut site = Site::start(2);
    let first = site.api.add_override(&out_override_body("s0", 60.0));
    let refused = site
        .api
        .call("POST", "/v1/overrides", &out_override_body("s1", 60.0));
    assert_eq!(refused.status, 409);
    assert!(
        refused.body["error"]
            .as_str()
            .is_some_and(|error| error.contains("no ready server")),
        "{}",
        refused.body
    );
    assert_eq!(site.api.overrides().len(), 1);
    let forced = out_override_body("s1", 60.0).replace("\"who\"", "\"force\":true,\"who\"");
    let second = site.api.add_override(&forced);
    site.program().wait_for_log(
        "overrides leave no ready server in some zones what=\"no ready server in the whole farm\"",
    );
    assert!(site.api.call("GET", "/v1/farm", "").body["warnings"][0].is_string());
    // A new client gets a retry delay in the end, and no server gets its request.
    let answer = site
        .open_client("north")
        .read_line()
        .expect("an answer line");
    assert!(answer.starts_with("BUSY "), "{answer}");
    assert_eq!(
        site.api
            .call("DELETE", &format!("/v1/overrides/{second}"), "")
            .status,
        200
    );
    site.program()
        .wait_for_log("overrides leave a ready server in every zone again");
    // The override was harmless when it was added, and leaves no ready server once the other one is no longer listed.
    let second = site.address(1);
    site.send_endpoint_list(false, &[("s1", second, "DELETED")]);
    site.program().wait_for_log(
        "overrides leave no ready server in some zones what=\"no ready server in the whole farm\"",
    );
    site.send_endpoint_list(false, &[("s1", second, "SERVING")]);
    site.program()
        .wait_for_log("overrides leave a ready server in every zone again");
    assert_eq!(site.api.overrides()[0]["id"], first);
}

#[test]
fn returning_server_weight_ramps_up_in_steps() {
    let site = Site::start_with_overrides(2, "ramp_s = 2.0");
    let id = site.api.add_override(&out_override_body("s0", 60.0));
    assert_eq!(
        site.api
            .call("DELETE", &format!("/v1/overrides/{id}"), "")
            .status,
        200
    );
    let mut weights: Vec<f64> = Vec::new();
    let deadline = Instant::now() + TEST_TIMEOUT;
    while weights.last() != Some(&1.0) {
        assert!(Instant::now() < deadline, "{weights:?}");
        let row = site.api.server_row("s0");
        let weight = row["effective"]["weight"]
            .as_f64()
            .expect("value is a number");
        if weight < 1.0 {
            assert!(
                row["why"][0]
                    .as_str()
                    .is_some_and(|why| why.contains("ramping up after an override")),
                "{row}"
            );
        }
        if weights.last() != Some(&weight) {
            weights.push(weight);
        }
    }
    assert!(
        weights.is_sorted() && weights[0] <= 0.2 && weights.len() > 8,
        "{weights:?}"
    );
}

#[test]
fn out_override_moves_connections_at_requested_rate() {
    let site = Site::start(2);
    let (servers_used, mut connections) = site.establish_connections(20);
    let on_s0 = servers_used.iter().filter(|number| **number == 0).count();
    assert!(on_s0 >= 6, "{servers_used:?}");
    let started_at = Instant::now();
    let first = override_body(r#""kind":"out","server":"s0","moves_per_s":10"#, 60.0);
    site.api.add_override(&first);
    let mut moved = Vec::new();
    for ((client, _), _) in connections
        .iter_mut()
        .zip(&servers_used)
        .filter(|(_, number)| **number == 0)
    {
        client.expect_line("MOVE");
        client.expect_end();
        moved.push(started_at.elapsed());
    }
    let due = |count: usize| Duration::from_millis(100 * (count as u64 - 1));
    let last = moved.iter().max().expect("at least one connection moved");
    assert!(
        *last >= due(on_s0).saturating_sub(Duration::from_millis(50)),
        "{moved:?}"
    );
    for ((client, server), _) in connections
        .iter_mut()
        .zip(&servers_used)
        .filter(|(_, number)| **number == 1)
    {
        client.send("M 1\r\n");
        server.expect_line("M 1");
    }
}

/// With mode `prefer` a pinned group falls back to another server; with mode `strict` its clients are rejected instead.
#[test]
fn pinned_group_falls_back_or_is_rejected_by_mode() {
    let mut site = Site::start(3);
    let pin = |mode: &str, group: &str| {
        override_body(
            &format!(r#""kind":"pin","server":"s2","group":"{group}","mode":"{mode}""#),
            60.0,
        )
    };
    site.api.add_override(&pin("prefer", "north"));
    site.api.add_override(&pin("strict", "south"));
    let mut connections = Vec::new();
    for group in ["north", "south", "north", "south"] {
        let (server_index, client, server) = site.establish_connection(group);
        assert_eq!(server_index, 2, "{group}");
        connections.push((client, server));
    }
    // After a rejection a preferring group goes to another server, and a strict one to the same server again, with one attempt
    // at a time.
    for (group, goes_elsewhere) in [("north", true), ("south", false)] {
        let mut client = site.open_client(group);
        let (server_index, mut server) = site.accept_attempt();
        assert_eq!(server_index, 2);
        server.read_line().expect("an OPEN line");
        server.send("BUSY\r\n");
        server.expect_end();
        let (server_index, mut server) = site.accept_attempt();
        assert_eq!(server_index != 2, goes_elsewhere, "{group}");
        server.read_line().expect("an OPEN line");
        server.send("UP r1\r\n");
        client.expect_line("UP r1");
        connections.push((client, server));
    }
    // While the pinned server drains, clients of the strict group get a retry delay at once.
    let third = site.address(2);
    site.send_endpoint_list(false, &[("s2", third, "DRAINING")]);
    let effects: Vec<serde_json::Value> = site
        .api
        .overrides()
        .iter()
        .map(|row| row["effects"]["platform"].clone())
        .collect();
    assert_eq!(
        effects,
        ["server takes nothing new", "server takes nothing new"]
    );
    let (server_index, client, server) = site.establish_connection("north");
    assert_ne!(server_index, 2);
    connections.push((client, server));
    let asked_at = Instant::now();
    let mut client = site.open_client("south");
    let answer = client.read_line().expect("an answer line");
    let retry_after = answer
        .strip_prefix("BUSY ")
        .and_then(|millis| millis.parse::<u64>().ok());
    assert!(
        retry_after.is_some_and(|retry_after| retry_after <= 2_000),
        "{answer}"
    );
    assert!(
        asked_at.elapsed() < Duration::from_millis(300),
        "the client is rejected without delay"
    );
    // A pin of the group takes precedence over one of the tenant.
    let tenant = override_body(r#""kind":"pin","server":"s1","tenant":"acme""#, 60.0);
    site.api.add_override(&tenant);
    let (server_index, client, server) = site.establish_connection("west");
    assert_eq!(server_index, 1);
    connections.push((client, server));
    let mut client = site.open_client("south");
    assert!(
        client
            .read_line()
            .expect("an answer line")
            .starts_with("BUSY ")
    );
}

#[test]
fn two_balancers_expire_same_override_within_100_ms() {
    let (first_site, second_site) = (Site::start(1), Site::start(1));
    let at = std::time::SystemTime::now() + Duration::from_secs(3);
    let text = r#"{"kind":"weight","server":"s0","factor":0.5,"who":"ada","why":"both","expires_at":"AT"}"#;
    let text = text.replace("AT", &humantime::format_rfc3339_millis(at).to_string());
    first_site.api.add_override(&text);
    second_site.api.add_override(&text);
    let expired_at = |site: &Site| log_timestamp(&site.program().wait_for_log("override expired"));
    let (first, second) = (expired_at(&first_site), expired_at(&second_site));
    let due = at
        .duration_since(std::time::UNIX_EPOCH)
        .expect("clock is after 1970")
        .as_secs_f64();
    assert!(
        (first - second).abs() <= 0.1 && first - due < 0.1 && first >= due - 0.002,
        "{first} {second} {due}"
    );
}
