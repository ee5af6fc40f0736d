//! Stories of the settings: the program goes by its own configuration alone, and by a new one from SIGHUP on.

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::site::Site;
use support::*;

const MS: u64 = 1_000_000;

/// A class: its name, effect, and deadline in milliseconds.
type Lane<'a> = (&'a str, &'a str, u64);

/// The usual settings with these classes.
fn with_lanes(lanes: &[Lane<'_>]) -> Value {
    let lane = |(name, effect, deadline): &Lane<'_>| json!({"name": name, "effect": effect, "on-time-ns": deadline * MS / 6, "hard-limit-ns": deadline * MS, "dedup-scope": "all", "repeat-window-ns": 0, "value": 1.0});
    let mut settings: Value = serde_json::from_str(SETTINGS).expect("JSON");
    settings["lanes"] = lanes.iter().map(lane).collect();
    settings
}

fn usual() -> Value {
    serde_json::from_str(SETTINGS).expect("JSON")
}

/// The text of the configuration file with other settings.
fn file_with(site: &Site, settings: &Value) -> String {
    site.config.replace(SETTINGS, &settings.to_string())
}

/// Puts a file in the place of the configuration and tells the program.
fn reload(site: &Site, text: &str) {
    std::fs::write(&site.config_path, text).expect("the same folder");
    site.program.signal("HUP");
}

/// The same with other settings, and waits until they hold: for openings that are read from now on, too.
fn replace(site: &Site, settings: &Value) {
    reload(site, &file_with(site, settings));
    site.program.wait_for_log("taken over");
}

/// The next attempt at the first server: its opening has been heard.
fn attempt(site: &Site, at: usize) -> Peer {
    let mut server = Peer::accept(&site.servers[at]);
    assert!(server.read_line().expect("an opening").starts_with("OPEN "));
    server
}

/// Ends an attempt so that it may have run.
fn resets(server: Peer) {
    drop(server);
}

fn speaks(client: &mut Peer, server: &mut Peer) {
    client.send("M 1\r\n");
    server.expect_line("M 1");
    server.send("A 1\r\n");
    client.expect_line("A 1");
}

fn no_attempt_waits(site: &Site) {
    for server in &site.servers {
        server.set_nonblocking(true).expect("open");
        assert!(server.accept().is_err(), "one attempt more");
    }
}

#[test]
fn two_deployments_of_other_shapes_are_each_served_by_what_their_settings_say() {
    // Two classes, two tenants, two zones, two attempts, a time to come again.
    let mut first = with_lanes(&[("quick", "fragile", 700), ("bulk", "retryable", 9_000)]);
    first["zones"] = json!(["north", "south"]);
    first["projects"] = json!([{"name": "kiosk", "share": 0.3}, {"name": "acme", "share": 0.2}]);
    first["policy-limits"]["max-attempts"] = json!(2);
    let site = Site::start_with_settings(&first.to_string(), "shape-a", 1, &[]);
    site.open_client("chat", "").expect_line("ERR");
    let mut stranger = Peer::connect(site.address);
    stranger.send("OPEN c1 02 c=bulk,t=nobody,d=2500\r\n");
    stranger.expect_line("ERR");
    let mut bulk = site.open_client("bulk", "");
    for _ in 0..2 {
        attempt(&site, 0).send("BUSY\r\n");
    }
    assert!(
        bulk.read_line().expect("an answer").starts_with("BUSY "),
        "two attempts, and a time to come again"
    );
    let mut quick = site.open_client("quick", "");
    resets(attempt(&site, 0));
    quick.expect_line("ERR");
    let (mut hung, begun) = (site.open_client("quick", ""), Instant::now());
    let _silent = attempt(&site, 0);
    hung.expect_line("ERR");
    let took = begun.elapsed();
    assert!(
        took >= Duration::from_millis(500) && took < Duration::from_millis(2_300),
        "{took:?} of 700 ms"
    );
    no_attempt_waits(&site);

    // One class, no tenants, no zones, one attempt, no time to come again.
    let mut second = with_lanes(&[("only", "dedup", 5_000)]);
    for absent in ["zones", "zone", "projects", "prices", "report"] {
        second.as_object_mut().expect("an object").remove(absent);
    }
    second["policy-limits"] = json!({"max-attempts": 1});
    second["rules"] = json!({"cold-share": 1.0, "cold-ns": 0, "tip-multiple": 0.5, "fall-ns": 0});
    let site = Site::start_with_settings(&second.to_string(), "shape-b", 1, &[]);
    site.open_client("quick", "").expect_line("ERR");
    let mut any = Peer::connect(site.address);
    any.send("OPEN c1 02 c=only,t=nobody,d=2500\r\n");
    attempt(&site, 0).send("BUSY\r\n");
    any.expect_line("BUSY");
    let mut client = site.open_client("only", "");
    let mut server = attempt(&site, 0);
    server.send("UP r1\r\n");
    client.expect_line("UP r1");
    speaks(&mut client, &mut server);
    no_attempt_waits(&site);
}

#[test]
fn a_reload_replaces_effects_and_names_whole_and_what_is_under_way_keeps_its_own() {
    let site = Site::start("replaced", 1);
    let (mut client, mut server) = site.establish_connection();
    // Both are out when the settings change: one may not be repeated by the old ones, one not by the new ones.
    let mut once = site.open_client("once", "");
    let once_out = attempt(&site, 0);
    let mut chat = site.open_client("chat", "");
    let chat_out = attempt(&site, 0);
    // The other order, and each has the other's effect.
    replace(
        &site,
        &with_lanes(&[
            ("more", "retryable", 3_000),
            ("once", "retryable", 3_000),
            ("chat", "fragile", 3_000),
        ]),
    );
    resets(once_out);
    once.expect_line("ERR");
    resets(chat_out);
    chat.expect_line("ERR");
    no_attempt_waits(&site);
    // From now on the new ones hold.
    let mut once = site.open_client("once", "");
    resets(attempt(&site, 0));
    attempt(&site, 0).send("UP r2\r\n");
    once.expect_line("UP r2");
    let mut chat = site.open_client("chat", "");
    resets(attempt(&site, 0));
    chat.expect_line("ERR");
    let mut more = site.open_client("more", "");
    attempt(&site, 0).send("UP r3\r\n");
    more.expect_line("UP r3");
    speaks(&mut client, &mut server);
    no_attempt_waits(&site);
}

#[test]
fn new_openings_of_a_class_or_tenant_that_is_gone_are_refused_and_what_stands_stays() {
    let site = Site::start("gone", 1);
    let (mut client, mut server) = site.establish_connection();
    let mut under_way = site.open_client("chat", "");
    let mut out = attempt(&site, 0);
    let mut settings = with_lanes(&[("once", "fragile", 3_000)]);
    settings["projects"] = json!([{"name": "bright", "share": 0.5}]);
    replace(&site, &settings);
    site.open_client("chat", "").expect_line("ERR");
    site.open_client("once", "").expect_line("ERR");
    let mut bright = Peer::connect(site.address);
    bright.send("OPEN c1 02 c=once,t=bright,d=2500\r\n");
    let mut bright_server = attempt(&site, 0);
    bright_server.send("UP r3\r\n");
    bright.expect_line("UP r3");
    // What was out comes to stand.
    out.send("UP r2\r\n");
    under_way.expect_line("UP r2");
    speaks(&mut under_way, &mut out);
    speaks(&mut client, &mut server);
    // The class comes back, with its tenant: nothing of the file in between is left.
    replace(&site, &usual());
    let (mut again, mut again_server) = site.establish_connection();
    speaks(&mut again, &mut again_server);
    speaks(&mut client, &mut server);
    speaks(&mut bright, &mut bright_server);
}

#[test]
fn a_new_limit_of_attempts_answers_whoever_has_had_them_and_nobody_has_more() {
    let site = Site::start("attempts", 1);
    let mut client = site.open_client("chat", "");
    let out = attempt(&site, 0);
    let mut settings = usual();
    settings["policy-limits"]["max-attempts"] = json!(1);
    settings["policy-limits"]["retry-after"] = json!(false);
    replace(&site, &settings);
    resets(out);
    client.expect_line("ERR");
    let mut client = site.open_client("chat", "");
    attempt(&site, 0).send("BUSY\r\n");
    client.expect_line("BUSY");
    no_attempt_waits(&site);
}

#[test]
fn a_new_deadline_is_that_of_new_openings_and_who_came_before_keeps_the_old_one() {
    let site = Site::start("deadline", 1);
    let begun = Instant::now();
    let mut before = site.open_client("once", "");
    let _silent = attempt(&site, 0);
    replace(
        &site,
        &with_lanes(&[("chat", "retryable", 600), ("once", "fragile", 600)]),
    );
    let begun_after = Instant::now();
    let mut after = site.open_client("once", "");
    let _silent_too = attempt(&site, 0);
    after.expect_line("ERR");
    assert!(
        begun_after.elapsed() < Duration::from_millis(2_000),
        "{:?}",
        begun_after.elapsed()
    );
    before.expect_line("ERR");
    // Its client waits for 2.5 s, and the old deadline is 3 s.
    assert!(
        begun.elapsed() >= Duration::from_millis(2_300),
        "{:?}",
        begun.elapsed()
    );
}

#[test]
fn two_reloads_one_right_after_the_other_end_with_the_last_file() {
    let site = Site::start("twice", 1);
    let (mut client, mut server) = site.establish_connection();
    let second = with_lanes(&[("chat", "retryable", 3_000), ("second", "retryable", 3_000)]);
    let mut third = with_lanes(&[("third", "fragile", 3_000), ("chat", "retryable", 3_000)]);
    third["rules"]["cold-share"] = json!(0.5);
    reload(&site, &file_with(&site, &second));
    reload(&site, &file_with(&site, &third));
    // Read once or twice: what changes last is logged last.
    site.program.wait_for_log("rules");
    site.open_client("second", "").expect_line("ERR");
    let mut third = site.open_client("third", "");
    attempt(&site, 0).send("UP r3\r\n");
    third.expect_line("UP r3");
    speaks(&mut client, &mut server);
}

#[test]
fn a_file_that_is_half_written_wrong_or_gone_changes_nothing_and_tells_all_its_faults() {
    let site = Site::start("half", 1);
    let (mut client, mut server) = site.establish_connection();
    let changed = with_lanes(&[("other", "retryable", 3_000)]);
    let whole = file_with(&site, &changed).replace("\"sockets\":256", "\"sockets\":300");
    let moved = whole.replace(&site.discovery.address.to_string(), "127.0.0.1:9");
    let mut wrong = changed.clone();
    wrong["lanes"][0]["effect"] = json!("sometimes");
    wrong["policy-limits"]
        .as_object_mut()
        .expect("an object")
        .remove("max-attempts");
    wrong["rules"]["fall-ns"] = json!("soon");
    let wrong = moved.replace(&changed.to_string(), &wrong.to_string());
    for half in [
        &moved[..moved.len() / 2],
        &moved[..moved.len() - 1],
        "",
        &format!("{moved}}}"),
    ] {
        reload(&site, half);
        site.program.wait_for_log("present configuration kept");
    }
    reload(&site, &wrong);
    let said = site.program.wait_for_log("present configuration kept");
    for fault in [
        "settings.lanes[0].effect: unknown effect",
        "settings.policy-limits.max-attempts: is missing",
        "settings.rules.fall-ns: invalid type",
    ] {
        assert!(said.contains(fault), "{fault} is not in {said}");
    }
    std::fs::remove_file(&site.config_path).expect("it is there");
    site.program.signal("HUP");
    site.program.wait_for_log("present configuration kept");
    // Nothing of any of them holds: not the classes, and not the address.
    site.open_client("other", "").expect_line("ERR");
    let (mut again, mut again_server) = site.establish_connection();
    speaks(&mut again, &mut again_server);
    speaks(&mut client, &mut server);
    // The whole file is taken over once it is there.
    reload(&site, &whole);
    site.program.wait_for_log("taken over");
    site.open_client("chat", "").expect_line("ERR");
    let mut other = site.open_client("other", "");
    attempt(&site, 0).send("UP r2\r\n");
    other.expect_line("UP r2");
    speaks(&mut client, &mut server);
}

#[test]
fn a_way_of_lists_or_a_leave_to_probe_that_takes_a_restart_is_told_and_the_rest_is_taken_over() {
    let site = Site::start("restart", 1);
    let mut settings = with_lanes(&[("chat", "fragile", 3_000)]);
    settings["discovery"] = json!("automatic");
    settings["policy-limits"]["may-probe"] = json!(true);
    settings["report"] = json!({"how": "on_probe", "names": ["x0"]});
    reload(&site, &file_with(&site, &settings));
    let said = site.program.wait_for_log("takes a restart");
    assert!(
        said.contains("settings.discovery") && said.contains("settings.policy-limits.may-probe"),
        "{said}"
    );
    let mut chat = site.open_client("chat", "");
    resets(attempt(&site, 0));
    chat.expect_line("ERR");
}

#[test]
fn at_a_planned_restart_everybody_is_moved_before_the_program_may_be_killed_also_with_short_deadlines()
 {
    let settings = with_lanes(&[("chat", "retryable", 600), ("once", "fragile", 500)]);
    let mut site = Site::start_with_settings(&settings.to_string(), "short", 1, &[]);
    let mut standing: Vec<(Peer, Peer)> = (0..10).map(|_| site.establish_connection()).collect();
    let mut waiting = site.open_client("once", "");
    let _silent = attempt(&site, 0);
    let begun = Instant::now();
    site.program.signal("TERM");
    for (client, _) in &mut standing {
        client.expect_line("MOVE");
        client.expect_end();
    }
    waiting.expect_line("ERR");
    // It may be killed after the longest deadline and 0.7 s.
    assert!(
        begun.elapsed() < Duration::from_millis(1_300),
        "{:?}",
        begun.elapsed()
    );
    assert!(site.program.exits_cleanly(), "it leaves by itself");
}

#[test]
fn an_opening_that_is_cut_by_a_reload_is_read_by_the_settings_that_hold_when_it_is_whole() {
    let site = Site::start("cut", 1);
    let (mut gone, mut kept) = (Peer::connect(site.address), Peer::connect(site.address));
    gone.send("OPEN c1 02 c=chat,t=acme,d=25");
    kept.send("OPEN c2 02 c=on");
    replace(&site, &with_lanes(&[("once", "retryable", 3_000)]));
    gone.send("00,g=3\r\n");
    gone.expect_line("ERR");
    gone.expect_end();
    kept.send("ce,t=acme,d=2500,g=3\r\n");
    resets(attempt(&site, 0));
    attempt(&site, 0).send("UP r1\r\n");
    kept.expect_line("UP r1");
    no_attempt_waits(&site);
}
