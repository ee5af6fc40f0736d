//! Tests of the settings: the program follows only its own configuration file, and its new contents after SIGHUP.

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::site::Site;
use support::*;

const NS_PER_MS: u64 = 1_000_000;

/// A request class: name, effect, and deadline in milliseconds.
type ClassSpec<'a> = (&'a str, &'a str, u64);

/// The default settings with these request classes.
fn settings_with_classes(classes: &[ClassSpec<'_>]) -> Value {
    let class_json = |(name, effect, deadline_ms): &ClassSpec<'_>| json!({"name": name, "effect": effect, "on-time-ns": deadline_ms * NS_PER_MS / 6, "hard-limit-ns": deadline_ms * NS_PER_MS, "dedup-scope": "all", "repeat-window-ns": 0, "value": 1.0});
    let mut settings: Value = serde_json::from_str(SETTINGS).expect("valid JSON");
    settings["lanes"] = classes.iter().map(class_json).collect();
    settings
}

fn default_settings() -> Value {
    serde_json::from_str(SETTINGS).expect("valid JSON")
}

/// The text of the configuration file with other settings.
fn config_text_with(site: &Site, settings: &Value) -> String {
    site.config.replace(SETTINGS, &settings.to_string())
}

/// Replaces the configuration file and sends SIGHUP to the program.
fn write_and_signal(site: &Site, text: &str) {
    std::fs::write(&site.config_path, text).expect("configuration file is written");
    site.program.signal("HUP");
}

/// Replaces the settings and waits until they are in effect, also for requests that are read from now on.
fn reload_and_wait(site: &Site, settings: &Value) {
    write_and_signal(site, &config_text_with(site, settings));
    site.program.wait_for_log("configuration changes applied");
}

/// Accepts the next attempt at a server and reads its request.
fn accept_attempt(site: &Site, index: usize) -> Peer {
    let mut server = Peer::accept(&site.servers[index]);
    assert!(
        server
            .read_line()
            .expect("a request is received")
            .starts_with("OPEN ")
    );
    server
}

/// Closes an attempt without an answer, so that it may have taken effect.
fn close_without_answer(server: Peer) {
    drop(server);
}

fn exchange_lines(client: &mut Peer, server: &mut Peer) {
    client.send("M 1\r\n");
    server.expect_line("M 1");
    server.send("A 1\r\n");
    client.expect_line("A 1");
}

fn assert_no_pending_attempt(site: &Site) {
    for server in &site.servers {
        server.set_nonblocking(true).expect("socket is open");
        assert!(server.accept().is_err(), "an unexpected attempt arrived");
    }
}

#[test]
fn applies_settings_of_two_different_deployments() {
    // Two classes, two tenants, two zones, two attempts, a retry delay.
    let mut first =
        settings_with_classes(&[("quick", "fragile", 700), ("bulk", "retryable", 9_000)]);
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
        accept_attempt(&site, 0).send("BUSY\r\n");
    }
    assert!(
        bulk.read_line()
            .expect("an answer is received")
            .starts_with("BUSY "),
        "an answer with a retry delay after two attempts"
    );
    let mut quick = site.open_client("quick", "");
    close_without_answer(accept_attempt(&site, 0));
    quick.expect_line("ERR");
    let (mut hung, started_at) = (site.open_client("quick", ""), Instant::now());
    let _silent = accept_attempt(&site, 0);
    hung.expect_line("ERR");
    let elapsed = started_at.elapsed();
    assert!(
        elapsed >= Duration::from_millis(500) && elapsed < Duration::from_millis(2_300),
        "rejected after {elapsed:?}, deadline is 700 ms"
    );
    assert_no_pending_attempt(&site);

    // One class, no tenants, no zones, one attempt, no retry delay.
    let mut second = settings_with_classes(&[("only", "dedup", 5_000)]);
    for absent in ["zones", "zone", "projects", "prices", "report"] {
        second
            .as_object_mut()
            .expect("value is an object")
            .remove(absent);
    }
    second["policy-limits"] = json!({"max-attempts": 1});
    second["rules"] = json!({"cold-share": 1.0, "cold-ns": 0, "tip-multiple": 0.5, "fall-ns": 0});
    let site = Site::start_with_settings(&second.to_string(), "shape-b", 1, &[]);
    site.open_client("quick", "").expect_line("ERR");
    let mut any = Peer::connect(site.address);
    any.send("OPEN c1 02 c=only,t=nobody,d=2500\r\n");
    accept_attempt(&site, 0).send("BUSY\r\n");
    any.expect_line("BUSY");
    let mut client = site.open_client("only", "");
    let mut server = accept_attempt(&site, 0);
    server.send("UP r1\r\n");
    client.expect_line("UP r1");
    exchange_lines(&mut client, &mut server);
    assert_no_pending_attempt(&site);
}

/// Requests in progress keep the effect of their class from before the reload.
#[test]
fn reload_replaces_classes_only_for_new_requests() {
    let site = Site::start("replaced", 1);
    let (mut client, mut server) = site.establish_connection();
    // Both attempts are in progress when the settings change: one class is not repeatable under the old settings, the
    // other not under the new ones.
    let mut once = site.open_client("once", "");
    let once_attempt = accept_attempt(&site, 0);
    let mut chat = site.open_client("chat", "");
    let chat_attempt = accept_attempt(&site, 0);
    // The classes change their order and exchange their effects.
    reload_and_wait(
        &site,
        &settings_with_classes(&[
            ("more", "retryable", 3_000),
            ("once", "retryable", 3_000),
            ("chat", "fragile", 3_000),
        ]),
    );
    close_without_answer(once_attempt);
    once.expect_line("ERR");
    close_without_answer(chat_attempt);
    chat.expect_line("ERR");
    assert_no_pending_attempt(&site);
    // New requests follow the new settings.
    let mut once = site.open_client("once", "");
    close_without_answer(accept_attempt(&site, 0));
    accept_attempt(&site, 0).send("UP r2\r\n");
    once.expect_line("UP r2");
    let mut chat = site.open_client("chat", "");
    close_without_answer(accept_attempt(&site, 0));
    chat.expect_line("ERR");
    let mut more = site.open_client("more", "");
    accept_attempt(&site, 0).send("UP r3\r\n");
    more.expect_line("UP r3");
    exchange_lines(&mut client, &mut server);
    assert_no_pending_attempt(&site);
}

/// Established connections and attempts in progress of a removed class or tenant are kept.
#[test]
fn rejects_requests_of_removed_classes_and_tenants() {
    let site = Site::start("gone", 1);
    let (mut client, mut server) = site.establish_connection();
    let mut pending = site.open_client("chat", "");
    let mut pending_attempt = accept_attempt(&site, 0);
    let mut settings = settings_with_classes(&[("once", "fragile", 3_000)]);
    settings["projects"] = json!([{"name": "bright", "share": 0.5}]);
    reload_and_wait(&site, &settings);
    site.open_client("chat", "").expect_line("ERR");
    site.open_client("once", "").expect_line("ERR");
    let mut bright = Peer::connect(site.address);
    bright.send("OPEN c1 02 c=once,t=bright,d=2500\r\n");
    let mut bright_server = accept_attempt(&site, 0);
    bright_server.send("UP r3\r\n");
    bright.expect_line("UP r3");
    // The attempt that was in progress is established.
    pending_attempt.send("UP r2\r\n");
    pending.expect_line("UP r2");
    exchange_lines(&mut pending, &mut pending_attempt);
    exchange_lines(&mut client, &mut server);
    // The class and its tenant return: nothing of the file in between remains.
    reload_and_wait(&site, &default_settings());
    let (mut returning, mut returning_server) = site.establish_connection();
    exchange_lines(&mut returning, &mut returning_server);
    exchange_lines(&mut client, &mut server);
    exchange_lines(&mut bright, &mut bright_server);
}

/// A request that has already used up the new limit is answered, and no request gets more attempts.
#[test]
fn reload_applies_new_attempt_limit() {
    let site = Site::start("attempts", 1);
    let mut client = site.open_client("chat", "");
    let pending_attempt = accept_attempt(&site, 0);
    let mut settings = default_settings();
    settings["policy-limits"]["max-attempts"] = json!(1);
    settings["policy-limits"]["retry-after"] = json!(false);
    reload_and_wait(&site, &settings);
    close_without_answer(pending_attempt);
    client.expect_line("ERR");
    let mut client = site.open_client("chat", "");
    accept_attempt(&site, 0).send("BUSY\r\n");
    client.expect_line("BUSY");
    assert_no_pending_attempt(&site);
}

/// Requests opened before the reload keep the old deadline.
#[test]
fn reload_applies_new_deadline_to_new_requests() {
    let site = Site::start("deadline", 1);
    let first_opened_at = Instant::now();
    let mut first = site.open_client("once", "");
    let _silent = accept_attempt(&site, 0);
    reload_and_wait(
        &site,
        &settings_with_classes(&[("chat", "retryable", 600), ("once", "fragile", 600)]),
    );
    let second_opened_at = Instant::now();
    let mut second = site.open_client("once", "");
    let _silent_too = accept_attempt(&site, 0);
    second.expect_line("ERR");
    assert!(
        second_opened_at.elapsed() < Duration::from_millis(2_000),
        "{:?}",
        second_opened_at.elapsed()
    );
    first.expect_line("ERR");
    // The client waits for 2.5 s, and the old deadline is 3 s.
    assert!(
        first_opened_at.elapsed() >= Duration::from_millis(2_300),
        "{:?}",
        first_opened_at.elapsed()
    );
}

#[test]
fn applies_last_of_two_consecutive_reloads() {
    let site = Site::start("twice", 1);
    let (mut client, mut server) = site.establish_connection();
    let second =
        settings_with_classes(&[("chat", "retryable", 3_000), ("second", "retryable", 3_000)]);
    let mut third =
        settings_with_classes(&[("third", "fragile", 3_000), ("chat", "retryable", 3_000)]);
    third["rules"]["cold-share"] = json!(0.5);
    write_and_signal(&site, &config_text_with(&site, &second));
    write_and_signal(&site, &config_text_with(&site, &third));
    // The file may be read once or twice; the last change is logged last.
    site.program.wait_for_log("rules");
    site.open_client("second", "").expect_line("ERR");
    let mut third = site.open_client("third", "");
    accept_attempt(&site, 0).send("UP r3\r\n");
    third.expect_line("UP r3");
    exchange_lines(&mut client, &mut server);
}

/// A truncated, invalid or missing file leaves the configuration unchanged.
#[test]
fn ignores_unreadable_file_and_reports_every_error() {
    let site = Site::start("half", 1);
    let (mut client, mut server) = site.establish_connection();
    let changed = settings_with_classes(&[("other", "retryable", 3_000)]);
    let valid_text =
        config_text_with(&site, &changed).replace("\"sockets\":256", "\"sockets\":300");
    let moved_text = valid_text.replace(&site.discovery.address.to_string(), "127.0.0.1:9");
    let mut invalid = changed.clone();
    invalid["lanes"][0]["effect"] = json!("sometimes");
    invalid["policy-limits"]
        .as_object_mut()
        .expect("value is an object")
        .remove("max-attempts");
    invalid["rules"]["fall-ns"] = json!("soon");
    let invalid = moved_text.replace(&changed.to_string(), &invalid.to_string());
    for truncated in [
        &moved_text[..moved_text.len() / 2],
        &moved_text[..moved_text.len() - 1],
        "",
        &format!("{moved_text}}}"),
    ] {
        write_and_signal(&site, truncated);
        site.program
            .wait_for_log("reload failed; current configuration kept");
    }
    write_and_signal(&site, &invalid);
    let log_line = site
        .program
        .wait_for_log("reload failed; current configuration kept");
    for fault in [
        "settings.lanes[0].effect: unknown effect",
        "settings.policy-limits.max-attempts: is missing",
        "settings.rules.fall-ns: invalid type",
    ] {
        assert!(
            log_line.contains(fault),
            "{fault} is missing from {log_line}"
        );
    }
    std::fs::remove_file(&site.config_path).expect("path exists");
    site.program.signal("HUP");
    site.program
        .wait_for_log("reload failed; current configuration kept");
    // Nothing of these files is in effect, neither the classes nor the address.
    site.open_client("other", "").expect_line("ERR");
    let (mut new_client, mut new_server) = site.establish_connection();
    exchange_lines(&mut new_client, &mut new_server);
    exchange_lines(&mut client, &mut server);
    // The complete file is applied once it exists.
    write_and_signal(&site, &valid_text);
    site.program.wait_for_log("configuration changes applied");
    site.open_client("chat", "").expect_line("ERR");
    let mut other = site.open_client("other", "");
    accept_attempt(&site, 0).send("UP r2\r\n");
    other.expect_line("UP r2");
    exchange_lines(&mut client, &mut server);
}

/// The other settings of the file are applied at once.
#[test]
fn reload_reports_settings_that_require_a_restart() {
    let site = Site::start("restart", 1);
    let mut settings = settings_with_classes(&[("chat", "fragile", 3_000)]);
    settings["discovery"] = json!("automatic");
    settings["policy-limits"]["may-probe"] = json!(true);
    settings["report"] = json!({"how": "on_probe", "names": ["x0"]});
    write_and_signal(&site, &config_text_with(&site, &settings));
    let log_line = site.program.wait_for_log("changes need a restart");
    assert!(
        log_line.contains("settings.discovery")
            && log_line.contains("settings.policy-limits.may-probe"),
        "{log_line}"
    );
    let mut chat = site.open_client("chat", "");
    close_without_answer(accept_attempt(&site, 0));
    chat.expect_line("ERR");
}

/// All clients are moved before the program may be killed.
#[test]
fn planned_restart_moves_clients_despite_short_deadlines() {
    let settings = settings_with_classes(&[("chat", "retryable", 600), ("once", "fragile", 500)]);
    let mut site = Site::start_with_settings(&settings.to_string(), "short", 1, &[]);
    let mut established: Vec<(Peer, Peer)> = (0..10).map(|_| site.establish_connection()).collect();
    let mut waiting = site.open_client("once", "");
    let _silent = accept_attempt(&site, 0);
    let signalled_at = Instant::now();
    site.program.signal("TERM");
    for (client, _) in &mut established {
        client.expect_line("MOVE");
        client.expect_end();
    }
    waiting.expect_line("ERR");
    // The program may be killed after the longest deadline plus 0.7 s.
    assert!(
        signalled_at.elapsed() < Duration::from_millis(1_300),
        "{:?}",
        signalled_at.elapsed()
    );
    assert!(site.program.exits_cleanly(), "the program exits by itself");
}

/// The settings in effect when the request is complete decide.
#[test]
fn request_split_by_reload_uses_new_settings() {
    let site = Site::start("cut", 1);
    let (mut removed_class_client, mut kept_class_client) =
        (Peer::connect(site.address), Peer::connect(site.address));
    removed_class_client.send("OPEN c1 02 c=chat,t=acme,d=25");
    kept_class_client.send("OPEN c2 02 c=on");
    reload_and_wait(
        &site,
        &settings_with_classes(&[("once", "retryable", 3_000)]),
    );
    removed_class_client.send("00,g=3\r\n");
    removed_class_client.expect_line("ERR");
    removed_class_client.expect_end();
    kept_class_client.send("ce,t=acme,d=2500,g=3\r\n");
    close_without_answer(accept_attempt(&site, 0));
    accept_attempt(&site, 0).send("UP r1\r\n");
    kept_class_client.expect_line("UP r1");
    assert_no_pending_attempt(&site);
}
