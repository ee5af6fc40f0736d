//! What is kept of overrides through restarts, kills, and stores that fail.

use crate::balancer::{Site, out_override_body, override_body};
use crate::support::*;

#[test]
fn a_restart_brings_each_override_back_with_its_own_end_and_those_that_ended_meanwhile_stay_ended()
{
    let mut site = Site::start(2);
    let stays = site.api.add_override(&out_override_body("s0", 60.0));
    let ends = site.api.add_override(&override_body(
        r#""kind":"weight","server":"s1","factor":0.5"#,
        1.0,
    ));
    let before = site
        .api
        .call("GET", &format!("/v1/overrides/{stays}"), "")
        .body;
    for signal in ["TERM", "KILL"] {
        site.restart(signal, |_| ());
        let after = site
            .api
            .call("GET", &format!("/v1/overrides/{stays}"), "")
            .body;
        for field in [
            "expires_at",
            "created_at",
            "who",
            "why",
            "revision",
            "server",
        ] {
            assert_eq!(before[field], after[field], "{field} after {signal}");
        }
        assert!(after["remaining_s"].as_f64() < before["remaining_s"].as_f64());
        let (went, _standing) = site.establish_connections(2);
        assert!(
            went.iter().all(|number| *number == 1),
            "nothing went there before it was known: {went:?}"
        );
    }
    // The second one's time was up while the program was down, or is by now.
    wait_for("its end", || {
        (site.api.overrides().len() <= 1).then_some(())
    });
    assert_eq!(
        site.api
            .call("GET", &format!("/v1/overrides/{ends}"), "")
            .status,
        404
    );
    // Its number is not given again.
    assert!(site.api.add_override(&out_override_body("s9", 60.0)) > ends);
}

#[test]
fn what_was_durable_when_the_program_was_killed_is_in_effect_when_it_is_back() {
    use beaconflow_overrides::{Draft, OverrideKind};
    use beaconflow_store::{OverrideStore, open};
    let mut site = Site::start(2);
    // As a program leaves it that is killed after the durable write and before anything else.
    site.restart("KILL", |site| {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("after 1970");
        let now = u64::try_from(now.as_millis()).expect("before long");
        let (mut store, _) = open(&site.store_path()).expect("it is free");
        let kind = OverrideKind::Out {
            server: "s0".into(),
            moves_per_s: None,
        };
        let draft = Draft {
            kind,
            who: "ada".into(),
            why: "killed".into(),
            expires_at: now + 60_000,
        };
        let id = store.next_id();
        store.put(&[draft.into_override(id, now)]).expect("durable");
    });
    let all = site.api.overrides();
    assert_eq!(
        (all.len(), all[0]["effects"]["platform"].as_str()),
        (1, Some("in effect"))
    );
    let (went, _standing) = site.establish_connections(4);
    assert!(went.iter().all(|number| *number == 1), "{went:?}");
}

#[test]
fn whatever_was_acknowledged_before_a_kill_is_back_after_it() {
    let mut site = Site::start(1);
    let api = Api {
        address: site.api.address,
        token: ADMIN_TOKEN,
    };
    let (send, acknowledged) = std::sync::mpsc::channel();
    let writer = std::thread::spawn(move || {
        for number in 0.. {
            let text = out_override_body(&format!("x{number}"), 60.0);
            // The program is killed in the middle of some call.
            let Some(answer) = api.try_call("POST", "/v1/overrides", &text) else {
                return;
            };
            assert_eq!(answer.status, 201);
            send.send(answer.body["id"].as_u64().expect("a number"))
                .expect("somebody counts");
        }
    });
    let mut known: Vec<u64> = (0..20)
        .map(|_| acknowledged.recv_timeout(TEST_TIMEOUT).expect("a number"))
        .collect();
    // A file read anew in the middle of changes disturbs none of them.
    site.program().signal("HUP");
    site.program().wait_for_log("nothing has changed");
    known.extend((0..20).map(|_| acknowledged.recv_timeout(TEST_TIMEOUT).expect("a number")));
    site.restart("KILL", |_| ());
    writer.join().expect("it ended with the program");
    known.extend(acknowledged.try_iter());
    let back: Vec<u64> = site
        .api
        .overrides()
        .iter()
        .map(|one| one["id"].as_u64().expect("a number"))
        .collect();
    assert!(
        known.iter().all(|id| back.contains(id)),
        "{known:?} {back:?}"
    );
    assert!(
        back.len() <= known.len() + 1,
        "at most the one whose answer was lost"
    );
}

#[test]
fn a_store_that_cannot_be_read_never_stops_the_program_from_serving() {
    let mut site = Site::start(2);
    site.api.add_override(&out_override_body("s0", 60.0));
    // Damaged: kept aside, and an empty one begins.
    site.restart("TERM", |site| {
        std::fs::write(site.store_path(), "no store at all").expect("room")
    });
    let answer = site.api.call("GET", "/v1/overrides", "").body;
    assert_eq!(
        (
            answer["kept"].as_bool(),
            answer["overrides"].as_array().map(Vec::len)
        ),
        (Some(true), Some(0))
    );
    assert!(
        answer["notes"][0]
            .as_str()
            .is_some_and(|note| note.contains("kept as")),
        "{answer}"
    );
    let names = std::fs::read_dir(site.folder.path()).expect("a folder");
    let names = names.map(|entry| {
        entry
            .expect("an entry")
            .file_name()
            .into_string()
            .expect("text")
    });
    let aside: Vec<String> = names.filter(|name| name.contains("damaged")).collect();
    assert_eq!(aside.len(), 1);
    assert_eq!(
        std::fs::read(site.folder.path().join(&aside[0])).expect("kept"),
        b"no store at all"
    );
    site.api.add_override(&out_override_body("s0", 60.0));
    // In use by another program; a folder in its place; no folder at all.
    let mut held = None;
    site.restart("TERM", |site| {
        held = Some(beaconflow_store::open(&site.store_path()).expect("free"))
    });
    none_are_kept(&site, "another program");
    drop(held);
    // A newer program's.
    let whole = std::fs::read(site.store_path()).expect("there");
    site.restart("TERM", |site| {
        let database = redb::Database::create(site.store_path()).expect("free");
        let writing = database.begin_write().expect("open");
        let about = redb::TableDefinition::<&str, u64>::new("about");
        writing
            .open_table(about)
            .expect("there")
            .insert("schema", beaconflow_store::SCHEMA + 1)
            .expect("room");
        writing.commit().expect("durable");
    });
    none_are_kept(&site, "written by a newer program");
    site.restart("TERM", |site| {
        std::fs::write(site.store_path(), &whole).expect("room")
    });
    assert_eq!(site.api.overrides().len(), 1, "an older file is read again");
    site.restart("TERM", |site| {
        std::fs::rename(site.store_path(), site.folder.path().join("whole")).expect("there");
        std::fs::create_dir(site.store_path()).expect("free");
    });
    none_are_kept(&site, "can't be opened");
    site.restart("TERM", |site| {
        std::fs::remove_dir(site.store_path()).expect("there");
        std::fs::rename(site.folder.path().join("whole"), site.store_path()).expect("there");
    });
    assert_eq!(site.api.overrides().len(), 1, "what was kept all along");
}

/// The API says that none are kept and why; nothing is taken; the program serves.
fn none_are_kept(site: &Site, why: &str) {
    let answer = site.api.call("GET", "/v1/overrides", "").body;
    assert_eq!(answer["kept"], false);
    assert!(
        answer["notes"][0]
            .as_str()
            .is_some_and(|note| note.contains(why)),
        "{answer}"
    );
    let refused = site
        .api
        .call("POST", "/v1/overrides", &out_override_body("s0", 60.0));
    assert_eq!(refused.status, 503);
    assert!(
        refused.body["error"]
            .as_str()
            .is_some_and(|error| error.contains(why)),
        "{}",
        refused.body
    );
    site.establish_connection("north");
}

#[test]
fn a_store_that_may_only_be_read_is_left_as_it_is_and_the_program_serves() {
    use std::fs::{Permissions, set_permissions};
    use std::os::unix::fs::PermissionsExt;
    let mut site = Site::start(2);
    site.api.add_override(&out_override_body("s0", 60.0));
    let mut program = site.program.take().expect("it runs");
    program.signal("TERM");
    program.wait_for_exit();
    let before = std::fs::read(site.store_path()).expect("there");
    let copy = tempfile::tempdir().expect("a folder for temporary files");
    set_permissions(copy.path(), Permissions::from_mode(0o755)).expect("ours");
    let binary = copy.path().join("beaconflow");
    for path in [&site.operator_path, &site.config_path] {
        set_permissions(path, Permissions::from_mode(0o444)).expect("ours");
    }
    set_permissions(site.store_path(), Permissions::from_mode(0o444)).expect("ours");
    set_permissions(site.folder.path(), Permissions::from_mode(0o555)).expect("ours");
    let program = Program::start_unprivileged(
        &binary,
        &["--operator", &site.operator_path],
        &[("LB_CONFIG", &site.config_path)],
    );
    let said = program.wait_for_log("none are restored or kept");
    assert!(said.contains("denied"), "{said}");
    program.wait_for_log("administration API serves");
    site.program = Some(program);
    none_are_kept(&site, "can't be opened");
    assert!(
        std::fs::read(site.store_path()).expect("there") == before,
        "not a byte has changed"
    );
    // The folder is removed at the end.
    set_permissions(site.folder.path(), Permissions::from_mode(0o755)).expect("ours");
}

#[test]
fn a_disk_that_is_full_refuses_a_change_and_changes_nothing() {
    let site = Site::start(2);
    site.api.add_override(&out_override_body("s0", 60.0));
    // No file of the program may grow from here on, as on a disk without room.
    let size = std::fs::metadata(site.store_path()).expect("there").len();
    let limit = rustix::process::Rlimit {
        current: Some(size),
        maximum: Some(size),
    };
    let pid = rustix::process::Pid::from_raw(site.program().pid() as i32).expect("it runs");
    rustix::process::prlimit(Some(pid), rustix::process::Resource::Fsize, limit)
        .expect("its parent may");
    let mut taken = 1;
    let refused = loop {
        let answer = site.api.call(
            "POST",
            "/v1/overrides",
            &out_override_body(&format!("x{taken}"), 60.0),
        );
        if answer.status != 201 {
            break answer;
        }
        taken += 1;
        assert!(taken < 5_000, "the file never had to grow");
    };
    assert_eq!(refused.status, 507, "{}", refused.body);
    assert!(
        refused.body["error"]
            .as_str()
            .is_some_and(|error| error.contains("nothing was changed"))
    );
    assert_eq!(site.api.overrides().len(), taken, "those before it hold on");
    let (went, _standing) = site.establish_connections(2);
    assert!(went.iter().all(|number| *number == 1), "{went:?}");
}
