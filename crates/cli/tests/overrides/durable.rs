//! Durability of overrides through restarts, kills, and failures of the store.

use crate::balancer::{Site, out_override_body, override_body};
use crate::support::*;

/// After a restart or a kill each override is back with its own expiry, and one that expired meanwhile stays expired.
#[test]
fn restart_restores_overrides_with_their_expiry() {
    let mut site = Site::start(2);
    let lasting_id = site.api.add_override(&out_override_body("s0", 60.0));
    let expiring_id = site.api.add_override(&override_body(
        r#""kind":"weight","server":"s1","factor":0.5"#,
        1.0,
    ));
    let before = site
        .api
        .call("GET", &format!("/v1/overrides/{lasting_id}"), "")
        .body;
    for signal in ["TERM", "KILL"] {
        site.restart(signal, |_| ());
        let after = site
            .api
            .call("GET", &format!("/v1/overrides/{lasting_id}"), "")
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
        let (servers_used, _connections) = site.establish_connections(2);
        assert!(
            servers_used.iter().all(|number| *number == 1),
            "the server that is out gets no connection after the restart: {servers_used:?}"
        );
    }
    // The second override expired while the program was down, or expires now.
    wait_for("the expiry of the override", || {
        (site.api.overrides().len() <= 1).then_some(())
    });
    assert_eq!(
        site.api
            .call("GET", &format!("/v1/overrides/{expiring_id}"), "")
            .status,
        404
    );
    // Its id is not used again.
    assert!(site.api.add_override(&out_override_body("s9", 60.0)) > expiring_id);
}

/// An override that was durable when the program was killed takes effect at the next start, even if it was never
/// acknowledged.
#[test]
fn durable_override_takes_effect_after_kill() {
    use beaconflow_overrides::{Draft, OverrideKind};
    use beaconflow_store::{OverrideStore, open};
    let mut site = Site::start(2);
    // The store as it is when the program is killed right after the durable write.
    site.restart("KILL", |site| {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("clock is after 1970");
        let now = u64::try_from(now.as_millis()).expect("time fits in 64 bits of milliseconds");
        let (mut store, _) = open(&site.store_path()).expect("store is not in use");
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
        store
            .put(&[draft.into_override(id, now)])
            .expect("write is durable");
    });
    let overrides = site.api.overrides();
    assert_eq!(
        (
            overrides.len(),
            overrides[0]["effects"]["platform"].as_str()
        ),
        (1, Some("in effect"))
    );
    let (servers_used, _connections) = site.establish_connections(4);
    assert!(
        servers_used.iter().all(|number| *number == 1),
        "{servers_used:?}"
    );
}

#[test]
fn acknowledged_overrides_survive_kill() {
    let mut site = Site::start(1);
    let api = Api {
        address: site.api.address,
        token: ADMIN_TOKEN,
    };
    let (id_sender, acknowledgements) = std::sync::mpsc::channel();
    let writer = std::thread::spawn(move || {
        for number in 0.. {
            let text = out_override_body(&format!("x{number}"), 60.0);
            // The program is killed during one of the calls.
            let Some(answer) = api.try_call("POST", "/v1/overrides", &text) else {
                return;
            };
            assert_eq!(answer.status, 201);
            id_sender
                .send(answer.body["id"].as_u64().expect("value is a number"))
                .expect("test still receives the ids");
        }
    });
    let mut acknowledged_ids: Vec<u64> = (0..20)
        .map(|_| {
            acknowledgements
                .recv_timeout(TEST_TIMEOUT)
                .expect("value is a number")
        })
        .collect();
    // A reload of the file during the changes does not disturb them.
    site.program().signal("HUP");
    site.program().wait_for_log("configuration is unchanged");
    acknowledged_ids.extend((0..20).map(|_| {
        acknowledgements
            .recv_timeout(TEST_TIMEOUT)
            .expect("value is a number")
    }));
    site.restart("KILL", |_| ());
    writer.join().expect("writer thread ends with the program");
    acknowledged_ids.extend(acknowledgements.try_iter());
    let restored_ids: Vec<u64> = site
        .api
        .overrides()
        .iter()
        .map(|row| row["id"].as_u64().expect("value is a number"))
        .collect();
    assert!(
        acknowledged_ids.iter().all(|id| restored_ids.contains(id)),
        "{acknowledged_ids:?} {restored_ids:?}"
    );
    assert!(
        restored_ids.len() <= acknowledged_ids.len() + 1,
        "at most one more, whose answer was lost"
    );
}

/// The program serves with a damaged store, one in use by another program, one of a newer schema, and a folder in its place.
#[test]
fn unreadable_store_does_not_stop_serving() {
    let mut site = Site::start(2);
    site.api.add_override(&out_override_body("s0", 60.0));
    // A damaged store is renamed and kept, and the program starts with an empty one.
    site.restart("TERM", |site| {
        std::fs::write(site.store_path(), "no store at all").expect("write succeeds")
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
    let names = std::fs::read_dir(site.folder.path()).expect("folder is readable");
    let names = names.map(|entry| {
        entry
            .expect("folder entry is readable")
            .file_name()
            .into_string()
            .expect("valid UTF-8")
    });
    let damaged_files: Vec<String> = names.filter(|name| name.contains("damaged")).collect();
    assert_eq!(damaged_files.len(), 1);
    assert_eq!(
        std::fs::read(site.folder.path().join(&damaged_files[0])).expect("damaged file is kept"),
        b"no store at all"
    );
    site.api.add_override(&out_override_body("s0", 60.0));
    // A store in use by another program is not opened.
    let mut open_store = None;
    site.restart("TERM", |site| {
        open_store = Some(beaconflow_store::open(&site.store_path()).expect("path is not in use"))
    });
    assert_store_unavailable(&site, "another program");
    drop(open_store);
    // A store with a newer program's schema is not read.
    let intact = std::fs::read(site.store_path()).expect("file exists");
    site.restart("TERM", |site| {
        let database = redb::Database::create(site.store_path()).expect("path is not in use");
        let writing = database.begin_write().expect("store is open");
        let about = redb::TableDefinition::<&str, u64>::new("about");
        writing
            .open_table(about)
            .expect("file exists")
            .insert("schema", beaconflow_store::SCHEMA + 1)
            .expect("write succeeds");
        writing.commit().expect("write is durable");
    });
    assert_store_unavailable(&site, "written by a newer program");
    site.restart("TERM", |site| {
        std::fs::write(site.store_path(), &intact).expect("write succeeds")
    });
    assert_eq!(
        site.api.overrides().len(),
        1,
        "the store of the current schema is read again"
    );
    site.restart("TERM", |site| {
        std::fs::rename(site.store_path(), site.folder.path().join("whole")).expect("file exists");
        std::fs::create_dir(site.store_path()).expect("path is not in use");
    });
    assert_store_unavailable(&site, "can't be opened");
    site.restart("TERM", |site| {
        std::fs::remove_dir(site.store_path()).expect("file exists");
        std::fs::rename(site.folder.path().join("whole"), site.store_path()).expect("file exists");
    });
    assert_eq!(
        site.api.overrides().len(),
        1,
        "the store is restored with its override"
    );
}

/// Checks that the API reports no store and the reason, that new overrides are rejected, and that the program serves.
fn assert_store_unavailable(site: &Site, expected_reason: &str) {
    let answer = site.api.call("GET", "/v1/overrides", "").body;
    assert_eq!(answer["kept"], false);
    assert!(
        answer["notes"][0]
            .as_str()
            .is_some_and(|note| note.contains(expected_reason)),
        "{answer}"
    );
    let refused = site
        .api
        .call("POST", "/v1/overrides", &out_override_body("s0", 60.0));
    assert_eq!(refused.status, 503);
    assert!(
        refused.body["error"]
            .as_str()
            .is_some_and(|error| error.contains(expected_reason)),
        "{}",
        refused.body
    );
    site.establish_connection("north");
}

/// With a store that it may only read, the program keeps no overrides, leaves the file unchanged, and serves.
#[test]
fn read_only_store_is_left_unchanged() {
    use std::fs::{Permissions, set_permissions};
    use std::os::unix::fs::PermissionsExt;
    let mut site = Site::start(2);
    site.api.add_override(&out_override_body("s0", 60.0));
    let mut program = site.program.take().expect("program is running");
    program.signal("TERM");
    program.wait_for_exit();
    let before = std::fs::read(site.store_path()).expect("file exists");
    let copy = tempfile::tempdir().expect("temporary folder is writable");
    set_permissions(copy.path(), Permissions::from_mode(0o755)).expect("permissions are changed");
    let binary = copy.path().join("beaconflow");
    for path in [&site.operator_path, &site.config_path] {
        set_permissions(path, Permissions::from_mode(0o444)).expect("permissions are changed");
    }
    set_permissions(site.store_path(), Permissions::from_mode(0o444))
        .expect("permissions are changed");
    set_permissions(site.folder.path(), Permissions::from_mode(0o555))
        .expect("permissions are changed");
    let program = Program::start_unprivileged(
        &binary,
        &["--operator", &site.operator_path],
        &[("LB_CONFIG", &site.config_path)],
    );
    let line = program.wait_for_log("override store unavailable; overrides are disabled");
    assert!(line.contains("denied"), "{line}");
    program.wait_for_log("administration API serves");
    site.program = Some(program);
    assert_store_unavailable(&site, "can't be opened");
    assert!(
        std::fs::read(site.store_path()).expect("file exists") == before,
        "the store is unchanged"
    );
    // The temporary folder can be removed only with write permission.
    set_permissions(site.folder.path(), Permissions::from_mode(0o755))
        .expect("permissions are changed");
}

#[test]
fn full_disk_rejects_change_and_keeps_state() {
    let site = Site::start(2);
    site.api.add_override(&out_override_body("s0", 60.0));
    // From here on no file of the program may grow, as on a full disk.
    let size = std::fs::metadata(site.store_path())
        .expect("file exists")
        .len();
    let limit = rustix::process::Rlimit {
        current: Some(size),
        maximum: Some(size),
    };
    let pid =
        rustix::process::Pid::from_raw(site.program().pid() as i32).expect("program is running");
    rustix::process::prlimit(Some(pid), rustix::process::Resource::Fsize, limit)
        .expect("parent may set the limit");
    let mut accepted = 1;
    let refused = loop {
        let answer = site.api.call(
            "POST",
            "/v1/overrides",
            &out_override_body(&format!("x{accepted}"), 60.0),
        );
        if answer.status != 201 {
            break answer;
        }
        accepted += 1;
        assert!(accepted < 5_000, "the store file did not have to grow");
    };
    assert_eq!(refused.status, 507, "{}", refused.body);
    assert!(
        refused.body["error"]
            .as_str()
            .is_some_and(|error| error.contains("nothing was changed"))
    );
    assert_eq!(
        site.api.overrides().len(),
        accepted,
        "earlier overrides stay in effect"
    );
    let (servers_used, _connections) = site.establish_connections(2);
    assert!(
        servers_used.iter().all(|number| *number == 1),
        "{servers_used:?}"
    );
}
