//! Tests of the command line, with and without a running program: messages, tables, JSON and exit codes.

mod support;

use std::os::unix::fs::PermissionsExt;
use std::process::{Command, Output};

use support::*;

/// A program with an administration API, whose configuration lists two names for one server address.
struct Site {
    program: Program,
    api: String,
    token: String,
    folder: tempfile::TempDir,
}

impl Site {
    fn start() -> Site {
        let folder = tempfile::tempdir().expect("temporary directory is created");
        let (address, admin, server) = (
            reserve_address(),
            reserve_address(),
            listener().local_addr().expect("listener is bound"),
        );
        let config = folder.path().join("config.json");
        let server_list = endpoint_list(
            1,
            true,
            &[("s0", server, "SERVING"), ("s1", server, "SERVING")],
        );
        std::fs::write(
            &config,
            support::platform_config(address, reserve_address(), &server_list, SETTINGS, 256),
        )
        .expect("file is written");
        let operator = folder.path().join("operator.toml");
        let text = format!(
            "[admin]\nlisten = \"{admin}\"\ntoken = \"{ADMIN_TOKEN}\"\n[overrides]\nfile = {:?}\n[log]\nform = \"json\"\n",
            folder.path().join("overrides.redb")
        );
        std::fs::write(&operator, text).expect("file is written");
        let token = folder.path().join("token");
        std::fs::write(&token, format!("{ADMIN_TOKEN}\n")).expect("file is written");
        let text = |path: &std::path::Path| path.to_str().expect("text is valid UTF-8").to_owned();
        let program = Program::start(
            &["--operator", &text(&operator)],
            &[("LB_CONFIG", &text(&config))],
        );
        program.wait_for_log("administration API serves");
        Site {
            program,
            api: admin.to_string(),
            token: text(&token),
            folder,
        }
    }

    /// Runs a command against the administration API.
    fn run(&self, args: &[&str]) -> Output {
        let mut all = args.to_vec();
        all.extend(["--api", &self.api, "--token-file", &self.token]);
        run(&all)
    }

    /// Runs a command that must succeed, and returns its standard output.
    fn run_successfully(&self, args: &[&str]) -> String {
        let output = self.run(args);
        let stderr = String::from_utf8(output.stderr).expect("text is valid UTF-8");
        assert_eq!(output.status.code(), Some(0), "{args:?}: {stderr}");
        String::from_utf8(output.stdout).expect("text is valid UTF-8")
    }
}

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_beaconflow"));
    command
        .args(args)
        .env_remove("BEACONFLOW_TOKEN")
        .env_remove("BEACONFLOW_API")
        .env_remove("BEACONFLOW_WHO");
    command.output().expect("program starts")
}

/// The exit code and the standard error output.
fn exit_code_and_stderr(output: &Output) -> (Option<i32>, String) {
    (
        output.status.code(),
        String::from_utf8(output.stderr.clone()).expect("text is valid UTF-8"),
    )
}

#[test]
fn override_commands_add_show_extend_and_remove() {
    let site = Site::start();
    assert!(
        site.run_successfully(&["override", "list"])
            .contains("No overrides are active.")
    );
    let add = [
        "override",
        "add",
        "weight",
        "s0",
        "0.25",
        "--for",
        "1h 30m",
        "--who",
        "ada",
        "--why",
        "slow disk",
    ];
    let added = site.run_successfully(&add);
    // The log form is JSON, whose field names are stable.
    let line: serde_json::Value =
        serde_json::from_str(&site.program.wait_for_log("override created")).expect("valid JSON");
    assert_eq!(
        (line["part"].as_str(), line["level"].as_str()),
        (Some("audit"), Some("info")),
        "{line}"
    );
    assert_eq!(
        (line["who"].as_str(), line["why"].as_str()),
        (Some("ada"), Some("slow disk")),
        "{line}"
    );
    assert!(
        line["id"] == 1
            && line["remaining_s"]
                .as_u64()
                .is_some_and(|left| (5_399..=5_400).contains(&left)),
        "{line}"
    );
    assert!(
        added.contains("weight s0 x 0.25") && added.contains("in effect"),
        "{added}"
    );
    let pinned = [
        "override", "add", "pin", "s1", "--group", "north", "--strict", "--for", "90s", "--who",
        "ada",
    ];
    let pinned = site.run_successfully(&[&pinned[..], &["--why", "tests", "--json"]].concat());
    let pinned: serde_json::Value = serde_json::from_str(&pinned).expect("valid JSON");
    assert_eq!(
        (pinned["group"].as_str(), pinned["mode"].as_str()),
        (Some("north"), Some("strict"))
    );
    let listed = site.run_successfully(&["override", "list"]);
    let rows: Vec<&str> = listed.lines().collect();
    assert!(
        rows[0].contains("LEFT") && rows[0].contains("EFFECT"),
        "{listed}"
    );
    assert!(
        rows[1].contains("1h 29m") && rows[2].contains("pin group north to s1, strict"),
        "{listed}"
    );
    let farm = site.run_successfully(&["farm"]);
    assert!(
        farm.contains("ready 1.000") && farm.contains("ready 0.250") && farm.contains("slow disk"),
        "{farm}"
    );
    let extended = site.run_successfully(&[
        "override",
        "extend",
        "1",
        "--for",
        "3h",
        "--revision",
        "1",
        "--json",
    ]);
    let extended: serde_json::Value = serde_json::from_str(&extended).expect("valid JSON");
    assert!(
        extended["remaining_s"]
            .as_f64()
            .is_some_and(|left| left > 10_000.0)
            && extended["revision"] == 2
    );
    // Outdated, unknown, invalid and conflicting changes are each rejected with a message.
    let (code, stderr) =
        exit_code_and_stderr(&site.run(&["override", "remove", "1", "--revision", "1"]));
    assert!(code == Some(4) && stderr.contains("412"), "{stderr}");
    assert_eq!(
        exit_code_and_stderr(&site.run(&["override", "show", "99"])).0,
        Some(4)
    );
    let wrong = [
        "override", "add", "weight", "s0", "0", "--for", "1h", "--who", "ada", "--why", "w",
    ];
    let (code, stderr) = exit_code_and_stderr(&site.run(&wrong));
    assert!(code == Some(4) && stderr.contains("factor"), "{stderr}");
    assert!(
        site.run_successfully(&["override", "remove", "1"])
            .contains("ended")
    );
    assert!(
        !site
            .run_successfully(&["override", "list"])
            .contains("slow disk")
    );
    let add_out = [
        "override", "add", "out", "s0", "--for", "1h", "--who", "ada", "--why", "w",
    ];
    site.run_successfully(&add_out);
    let add_out_second: Vec<&str> = add_out
        .iter()
        .map(|argument| if *argument == "s0" { "s1" } else { argument })
        .collect();
    let (code, stderr) = exit_code_and_stderr(&site.run(&add_out_second));
    assert!(
        code == Some(4) && stderr.contains("no ready server"),
        "{stderr}"
    );
    site.run_successfully(&[&add_out_second[..], &["--force"]].concat());
    assert!(
        site.run_successfully(&["farm"])
            .contains("warning: platform: overrides leave no ready server")
    );
}

#[test]
fn exit_code_identifies_cause_of_failure() {
    let site = Site::start();
    assert_eq!(
        exit_code_and_stderr(&run(&["override", "list", "--api", &site.api])).0,
        Some(5),
        "a token is missing"
    );
    let wrong_token = site.folder.path().join("wrong");
    std::fs::write(&wrong_token, "not the token at all").expect("file is written");
    let wrong_token = wrong_token.to_str().expect("text is valid UTF-8");
    assert_eq!(
        exit_code_and_stderr(&run(&[
            "override",
            "list",
            "--api",
            &site.api,
            "--token-file",
            wrong_token
        ]))
        .0,
        Some(5)
    );
    let unused_address = reserve_address().to_string();
    assert_eq!(
        exit_code_and_stderr(&run(&[
            "farm",
            "--api",
            &unused_address,
            "--token-file",
            &site.token
        ]))
        .0,
        Some(3)
    );
    assert_eq!(
        exit_code_and_stderr(&run(&["farm", "--token-file", "/no/such/file"])).0,
        Some(1)
    );
    assert_eq!(exit_code_and_stderr(&run(&["no-such-command"])).0, Some(2));
    assert_eq!(
        exit_code_and_stderr(
            &site.run(&["override", "add", "out", "s0", "--who", "a", "--why", "b"])
        )
        .0,
        Some(2)
    );
    // A token is not accepted as an argument, since other users of the machine can read arguments.
    assert_eq!(
        exit_code_and_stderr(&run(&["farm", "--token", ADMIN_TOKEN])).0,
        Some(2)
    );
    for args in [
        &["--help"][..],
        &["override", "add", "--help"],
        &["completions", "bash"],
        &["--version"],
    ] {
        let output = run(args);
        assert!(
            output.status.success() && output.stdout.len() > 10,
            "{args:?}"
        );
    }
}

#[test]
fn check_reports_every_error_without_quoting_secrets() {
    let folder = tempfile::tempdir().expect("temporary directory is created");
    let check = |text: &str| {
        let path = folder.path().join("operator.toml");
        std::fs::write(&path, text).expect("file is written");
        let output = run(&["check", path.to_str().expect("text is valid UTF-8")]);
        (
            output.status.code(),
            String::from_utf8(output.stdout).expect("text is valid UTF-8"),
        )
    };
    let sample = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/nats.toml"
    ))
    .expect("path exists");
    let (code, report) = check(&sample);
    assert!(
        code == Some(1) && report.lines().count() == 1 && report.contains("admin.token"),
        "{report}"
    );
    assert_eq!(
        check(&sample.replace("CHANGE-ME", "a token of one's own")).0,
        Some(0)
    );
    let invalid = sample
        .replace("token = \"CHANGE-ME\"", "token = 7654321")
        .replace("listen = \"127.0.0.1:8222\"", "listen = \"0.0.0.0:8222\"")
        .replace("sockets = 4096", "sockets = -1\nsocket = 1")
        .replace("most_early = 65536", "most_early = 1")
        .replace("silence_ms = 3000", "silence_ms = 5001")
        .replace("url = \"redis:", "url = \"http:")
        .replace("weight = 1.0 },\n]", "weight = 0.0, size = 3 },\n]")
        .replace("max-attempts = 6", "max-attempts = 0")
        .replace("cold-share = 0.13", "cold-share = 1.3")
        .replace(
            "[settings]",
            "[overrides]\nlongest_s = 0\nmost = 0\nramp_s = -1\nfile = 3\n[log]\nform = \"xml\"\n[settings]",
        );
    let (code, report) = check(&invalid);
    assert_eq!(code, Some(1));
    for field in [
        "admin.token",
        "admin.listen",
        "sockets",
        "socket: unknown field",
        "wire.most_early",
        "wire.silence_ms",
        "store.url",
        "farm.servers[1].weight",
        "farm.servers[1].size",
        "settings.policy-limits.max-attempts",
        "settings.rules.cold-share",
        "overrides.longest_s",
        "overrides.most",
        "overrides.ramp_s",
        "overrides.file",
        "log.form",
    ] {
        assert!(
            report.contains(field),
            "{field} is missing from the report:\n{report}"
        );
    }
    assert!(!report.contains("7654321"), "{report}");
    let (code, report) = check("[admin\n");
    assert!(
        code == Some(1) && report.contains("line 1: not TOML"),
        "{report}"
    );
    assert_eq!(run(&["check", "/no/such/file"]).status.code(), Some(1));
}

#[test]
fn check_reports_every_error_in_fleet_sections() {
    let folder = tempfile::tempdir().expect("temporary directory is created");
    let path = |name: &str| {
        folder
            .path()
            .join(name)
            .to_str()
            .expect("text is valid UTF-8")
            .to_owned()
    };
    let check = |text: &str| {
        std::fs::write(path("operator.toml"), text).expect("file is written");
        let output = run(&["check", &path("operator.toml")]);
        (
            output.status.code(),
            String::from_utf8(output.stdout).expect("text is valid UTF-8"),
        )
    };
    let sample = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/fleet.toml"
    ))
    .expect("path exists");
    let (code, report) = check(&sample);
    assert!(
        code == Some(1) && report.lines().count() == 1 && report.contains("fleet.key_file"),
        "{report}"
    );
    let write_private = |name: &str, text: &str| {
        std::fs::write(path(name), text).expect("file is written");
        std::fs::set_permissions(path(name), PermissionsExt::from_mode(0o600))
            .expect("permissions are set");
    };
    write_private("key", &format!("{}\n", "0123456789abcdef".repeat(4)));
    write_private("short", "0123");
    write_private("text", "no key at all");
    let valid = sample.replace("/etc/beaconflow/fleet.key", &path("key"));
    let (code, report) = check(&valid);
    assert_eq!(code, Some(0), "{report}");
    let overrides = "[overrides]\nfile = \"/var/lib/beaconflow/gate-a.memory\"\n";
    for (field, from, to) in [
        ("fleet.name: must be 1 to 64", "\"gate-a\"", "\"gate a\""),
        ("fleet.name: is missing", "name = \"gate-a\"", ""),
        ("fleet.site", "\"north\"", "\"\""),
        (
            "fleet.listen: is not a loopback",
            "\"127.0.0.1:7101\"    ",
            "\"10.0.0.1:7101\"    ",
        ),
        (
            "fleet.listen: needs a port",
            "\"127.0.0.1:7101\"    ",
            "\"127.0.0.1:0\"    ",
        ),
        ("fleet.listen", "\"127.0.0.1:7101\"    ", "7101"),
        (
            "fleet.advertise: is not a loopback",
            "# advertise = \"127.0.0.1",
            "advertise = \"10.0.0.1",
        ),
        (
            "fleet.advertise: needs a port",
            "# advertise = \"127.0.0.1:7201",
            "advertise = \"127.0.0.1:0",
        ),
        (
            "fleet.advertise",
            "# advertise = \"127.0.0.1:7201",
            "advertise = \"7201",
        ),
        ("fleet.key_file: the key in", &path("key"), &path("short")),
        ("fleet.key_file: the key file", &path("key"), &path("text")),
        (
            "fleet.key_file: the key file",
            &path("key"),
            folder.path().to_str().expect("text is valid UTF-8"),
        ),
        (
            "fleet.key_file: the key file",
            &path("key"),
            &path("operator.toml"),
        ),
        (
            "fleet.previous_key_file",
            "# previous_key_file",
            "previous_key_file",
        ),
        (
            "fleet.previous_key_file: is the same file as key_file",
            "# previous_key_file = \"/etc/beaconflow/old.key",
            &{ format!("previous_key_file = \"{}", path("key")) },
        ),
        (
            "fleet.peers[1]: is not a loopback",
            "\"127.0.0.1:7102\"",
            "\"10.0.0.1:7102\"",
        ),
        (
            "fleet.peers[2]: needs a port",
            "\"127.0.0.1:7103\"",
            "\"127.0.0.1:0\"",
        ),
        ("fleet.peers", "peers = [", "peers = [3, "),
        ("fleet.size: is less", "size = 3", "size = 2"),
        ("fleet.size: must be from 1", "size = 3", "size = 1001"),
        ("fleet.sise: unknown field", "size = 3", "sise = 3"),
        (
            "fleet.site_size: is less",
            "size = 3",
            "size = 3\nsite_size = 2",
        ),
        (
            "fleet.site_size: must be from 1",
            "size = 3",
            "size = 3\nsite_size = 4\nother_sites = [\"b\"]",
        ),
        (
            "fleet.other_sites[1]: is listed twice",
            "size = 3",
            "size = 5\nother_sites = [\"b\", \"b\"]",
        ),
        (
            "fleet.other_sites[0]: is the site of this process",
            "size = 3",
            "size = 4\nother_sites = [\"north\"]",
        ),
        (
            "fleet.other_sites[0]: must be 1 to",
            "size = 3",
            "size = 4\nother_sites = [\"a b\"]",
        ),
        ("fleet.borne", "size = 3", "size = 3\nborne = 0"),
        ("fleet.borne", "size = 3", "size = 3\nborne = \"many\""),
        (
            "fleet.overload_margin: must be from 0 to 10",
            "size = 3",
            "size = 3\noverload_margin = 10.5",
        ),
        (
            "fleet.overload_margin: must be from 0 to 10",
            "size = 3",
            "size = 3\noverload_margin = -1.0",
        ),
        ("fleet.clients", "size = 3", "size = 3\nclients = -1"),
        (
            "memory.path: is missing",
            "path = \"/var/lib/beaconflow/gate-a.memory\"",
            "",
        ),
        ("memory.path: has no file name", "gate-a.memory", ".."),
        (
            "memory.path: is the same file as overrides.file",
            "[edge]",
            &format!("{overrides}[edge]"),
        ),
        ("memory.most_mb", "most_mb = 256", "most_mb = 0"),
        ("memory.mots_mb", "most_mb = 256", "mots_mb = 256"),
        ("edge.on", "on = true\npatience", "on = 1\npatience"),
        ("edge.patience_s", "patience_s = 5", "patience_s = 0"),
        ("edge.trust_h", "trust_h = 24", "trust_h = -1"),
        ("edge.word", "\"automatic\"", "\"lost\""),
        ("edge.words", "word =", "words ="),
        ("affinity.on", "on = true\nmost", "on = 1\nmost"),
        ("affinity.most", "most = 1000000", "most = 0"),
        ("affinity.keep_s", "keep_s = 900", "keep_s = 1e9"),
        ("affinity.serial", "serial = 1", "serial = 0"),
        ("affinity.cereal", "serial = 1", "cereal = 1"),
        ("fleet: ", "[fleet]", "fleet = 3\n[fleets]"),
        ("memory: has no effect without", "[fleet]", "[fleets]"),
        ("edge: has no effect without", "[fleet]", "[fleets]"),
        ("affinity: has no effect without", "[fleet]", "[fleets]"),
    ] {
        assert!(valid.contains(from), "sample file does not contain {from}");
        let (code, report) = check(&valid.replacen(from, to, 1));
        assert!(
            code == Some(1) && report.contains(field),
            "{field} is missing from the report:\n{report}"
        );
    }
    // Several errors in one file are all reported.
    let invalid = valid
        .replace("size = 3", "size = 0")
        .replace("most_mb = 256", "most_mb = 0");
    let (_, report) = check(&invalid.replace("serial = 1", "serial = 0"));
    for field in ["fleet.size", "memory.most_mb", "affinity.serial"] {
        assert!(
            report.contains(field),
            "{field} is missing from the report:\n{report}"
        );
    }
}

#[test]
fn admission_command_prints_and_refreshes_table() {
    let site = Site::start();
    let table = site.run_successfully(&["admission"]);
    assert!(
        table.contains("platform: 0 of 4096 queued, 0 of 4096 KiB") && table.contains("WAIT P50"),
        "{table}"
    );
    let json: serde_json::Value =
        serde_json::from_str(&site.run_successfully(&["admission", "--json"])).expect("valid JSON");
    assert_eq!(json["fronts"][0]["limits"]["queues"], 64, "{json}");
    // The refreshing table ends when the program it queries exits.
    let mut command = Command::new(env!("CARGO_BIN_EXE_beaconflow"));
    command.args([
        "admission",
        "--every",
        "100ms",
        "--api",
        &site.api,
        "--token-file",
        &site.token,
    ]);
    let live = command
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::null())
        .spawn();
    let mut live = live.expect("command starts");
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(
        live.stdout.take().expect("standard output is piped"),
    ));
    let mut tables = 0;
    while tables < 3 {
        let line = lines
            .next()
            .expect("output continues")
            .expect("text is valid UTF-8");
        tables += usize::from(line.contains("platform: 0 of 4096"));
    }
    drop(site.program);
    assert_eq!(
        live.wait().expect("command exits").code(),
        Some(3),
        "the API is no longer reachable"
    );
}
