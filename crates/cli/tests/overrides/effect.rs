//! What overrides do to servers, connections and clients for as long as they hold.

use std::time::{Duration, Instant};

use crate::balancer::{Site, log_timestamp, out_override_body, override_body};
use crate::support::*;

#[test]
fn a_server_that_is_out_gets_nothing_new_and_comes_back_by_itself_when_its_time_is_up() {
    let site = Site::start(2);
    let (_, mut standing) = site.establish_connections(6);
    let id = site.api.add_override(&out_override_body("s0", 60.0));
    let shown = site
        .api
        .call("GET", &format!("/v1/overrides/{id}"), "")
        .body;
    let left = shown["remaining_s"].as_f64().expect("a number");
    assert!(left > 0.0 && left <= 60.0, "{left}");
    assert_eq!(shown["effects"]["platform"], "in effect");
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
    let (went, more) = site.establish_connections(4);
    assert!(went.iter().all(|number| *number == 1), "{went:?}");
    // What stands there stays. Nothing is let go before the end: a server that breaks connections off is left alone.
    standing.extend(more);
    for (client, server) in &mut standing {
        client.send("M 1\r\n");
        server.expect_line("M 1");
        server.send("A 1\r\n");
        client.expect_line("A 1");
    }
    let due = site.api.expire_soon(id);
    let said = site
        .program()
        .wait_for_log(&format!("override expired id={id}"));
    let late = log_timestamp(&said) - due;
    assert!((-0.002..0.6).contains(&late), "{late} {said}");
    assert!(
        said.contains("who=ada") && said.contains("why=maintenance"),
        "{said}"
    );
    assert!(site.api.overrides().is_empty());
    wait_for("its weight", || {
        (site.api.server_row("s0")["effective"]["weight"] == 1.0).then_some(())
    });
    let (went, _more) = site.establish_connections(8);
    assert!(went.contains(&0), "it is back: {went:?}");
}

#[test]
fn an_override_outlives_its_servers_absence_new_address_and_restart() {
    let mut site = Site::start(2);
    let id = site.api.add_override(&out_override_body("s0", 60.0));
    let effect = |site: &Site| {
        let shown = site
            .api
            .call("GET", &format!("/v1/overrides/{id}"), "")
            .body;
        shown["effects"]["platform"]
            .as_str()
            .expect("a word")
            .to_owned()
    };
    let (first, second) = (site.address(0), site.address(1));
    site.send_endpoint_list(false, &[("s0", first, "DELETED")]);
    assert_eq!(effect(&site), "server not listed");
    // It comes back elsewhere, as a new process; the other one is still there.
    site.servers[0].1 = listener();
    let moved = site.address(0);
    site.send_endpoint_list(true, &[("s0", moved, "SERVING"), ("s1", second, "SERVING")]);
    assert_eq!(effect(&site), "in effect");
    let (went, _standing) = site.establish_connections(4);
    assert!(went.iter().all(|number| *number == 1), "{went:?}");
    // One that was never listed.
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
    let (went, _more) = site.establish_connections(4);
    assert!(went.iter().all(|number| *number == 1), "{went:?}");
}

#[test]
fn what_would_leave_no_server_is_refused_unless_it_is_forced_and_judged_again_with_each_list() {
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
    site.program()
        .wait_for_log("overrides leave too little what=\"no ready server in the whole farm\"");
    assert!(site.api.call("GET", "/v1/farm", "").body["warnings"][0].is_string());
    // A client that comes now is told at the end when to come back, and no server hears of it.
    let answer = site.open_client("north").read_line().expect("an answer");
    assert!(answer.starts_with("BUSY "), "{answer}");
    assert_eq!(
        site.api
            .call("DELETE", &format!("/v1/overrides/{second}"), "")
            .status,
        200
    );
    site.program()
        .wait_for_log("a ready server everywhere again");
    // Sound as it was entered, harmful since the other server left the list.
    let second = site.address(1);
    site.send_endpoint_list(false, &[("s1", second, "DELETED")]);
    site.program()
        .wait_for_log("overrides leave too little what=\"no ready server in the whole farm\"");
    site.send_endpoint_list(false, &[("s1", second, "SERVING")]);
    site.program()
        .wait_for_log("a ready server everywhere again");
    assert_eq!(site.api.overrides()[0]["id"], first);
}

#[test]
fn a_server_that_is_back_is_brought_back_in_steps() {
    let site = Site::start_with_overrides(2, "ramp_s = 2.0");
    let id = site.api.add_override(&out_override_body("s0", 60.0));
    assert_eq!(
        site.api
            .call("DELETE", &format!("/v1/overrides/{id}"), "")
            .status,
        200
    );
    let mut seen: Vec<f64> = Vec::new();
    let until = Instant::now() + TEST_TIMEOUT;
    while seen.last() != Some(&1.0) {
        assert!(Instant::now() < until, "{seen:?}");
        let row = site.api.server_row("s0");
        let weight = row["effective"]["weight"].as_f64().expect("a number");
        if weight < 1.0 {
            assert!(
                row["why"][0]
                    .as_str()
                    .is_some_and(|why| why.contains("on its way back")),
                "{row}"
            );
        }
        if seen.last() != Some(&weight) {
            seen.push(weight);
        }
    }
    assert!(
        seen.is_sorted() && seen[0] <= 0.2 && seen.len() > 8,
        "{seen:?}"
    );
}

#[test]
fn standing_connections_are_moved_off_at_the_rate_that_was_asked_for() {
    let site = Site::start(2);
    let (went, mut standing) = site.establish_connections(20);
    let there = went.iter().filter(|number| **number == 0).count();
    assert!(there >= 6, "{went:?}");
    let begun = Instant::now();
    let first = override_body(r#""kind":"out","server":"s0","moves_per_s":10"#, 60.0);
    site.api.add_override(&first);
    let mut moved = Vec::new();
    for ((client, _), _) in standing
        .iter_mut()
        .zip(&went)
        .filter(|(_, number)| **number == 0)
    {
        client.expect_line("MOVE");
        client.expect_end();
        moved.push(begun.elapsed());
    }
    let due = |count: usize| Duration::from_millis(100 * (count as u64 - 1));
    let last = moved.iter().max().expect("some");
    assert!(
        *last >= due(there).saturating_sub(Duration::from_millis(50)),
        "{moved:?}"
    );
    for ((client, server), _) in standing
        .iter_mut()
        .zip(&went)
        .filter(|(_, number)| **number == 1)
    {
        client.send("M 1\r\n");
        server.expect_line("M 1");
    }
}

#[test]
fn a_pinned_group_goes_to_its_server_and_falls_back_or_is_refused_as_was_said() {
    let mut site = Site::start(3);
    let pin = |mode: &str, group: &str| {
        override_body(
            &format!(r#""kind":"pin","server":"s2","group":"{group}","mode":"{mode}""#),
            60.0,
        )
    };
    site.api.add_override(&pin("prefer", "north"));
    site.api.add_override(&pin("strict", "south"));
    let mut standing = Vec::new();
    for group in ["north", "south", "north", "south"] {
        let (went, client, server) = site.establish_connection(group);
        assert_eq!(went, 2, "{group}");
        standing.push((client, server));
    }
    // A refusal there sends the one elsewhere and has the other asked there again, never two at once.
    for (group, elsewhere) in [("north", true), ("south", false)] {
        let mut client = site.open_client(group);
        let (went, mut server) = site.accept_attempt();
        assert_eq!(went, 2);
        server.read_line().expect("an opening");
        server.send("BUSY\r\n");
        server.expect_end();
        let (went, mut server) = site.accept_attempt();
        assert_eq!(went != 2, elsewhere, "{group}");
        server.read_line().expect("an opening");
        server.send("UP r1\r\n");
        client.expect_line("UP r1");
        standing.push((client, server));
    }
    // Its server drains: the strict ones are told at once when to come back.
    let third = site.address(2);
    site.send_endpoint_list(false, &[("s2", third, "DRAINING")]);
    let effects: Vec<serde_json::Value> = site
        .api
        .overrides()
        .iter()
        .map(|one| one["effects"]["platform"].clone())
        .collect();
    assert_eq!(
        effects,
        ["server takes nothing new", "server takes nothing new"]
    );
    let (went, client, server) = site.establish_connection("north");
    assert_ne!(went, 2);
    standing.push((client, server));
    let asked = Instant::now();
    let mut client = site.open_client("south");
    let answer = client.read_line().expect("an answer");
    let after = answer
        .strip_prefix("BUSY ")
        .and_then(|millis| millis.parse::<u64>().ok());
    assert!(after.is_some_and(|after| after <= 2_000), "{answer}");
    assert!(
        asked.elapsed() < Duration::from_millis(300),
        "not held back"
    );
    // A tenant's pin stands behind its group's.
    let tenant = override_body(r#""kind":"pin","server":"s1","tenant":"acme""#, 60.0);
    site.api.add_override(&tenant);
    let (went, client, server) = site.establish_connection("west");
    assert_eq!(went, 1);
    standing.push((client, server));
    let mut client = site.open_client("south");
    assert!(client.read_line().expect("an answer").starts_with("BUSY "));
}

#[test]
fn two_balancers_end_the_same_override_within_a_tenth_of_a_second() {
    let (one, other) = (Site::start(1), Site::start(1));
    let at = std::time::SystemTime::now() + Duration::from_secs(3);
    let text = r#"{"kind":"weight","server":"s0","factor":0.5,"who":"ada","why":"both","expires_at":"AT"}"#;
    let text = text.replace("AT", &humantime::format_rfc3339_millis(at).to_string());
    one.api.add_override(&text);
    other.api.add_override(&text);
    let stamp = |site: &Site| log_timestamp(&site.program().wait_for_log("override expired"));
    let (first, second) = (stamp(&one), stamp(&other));
    let due = at
        .duration_since(std::time::UNIX_EPOCH)
        .expect("after 1970")
        .as_secs_f64();
    assert!(
        (first - second).abs() <= 0.1 && first - due < 0.1 && first >= due - 0.002,
        "{first} {second} {due}"
    );
}
