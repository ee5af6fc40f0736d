//! The commands that people use, against the program and alone: words, tables, JSON and exit codes.

mod support;

use std::os::unix::fs::PermissionsExt;
use std::process::{Command, Output};

use support::*;

/// A program with an administration API and one server that stands in its file.
struct Site {
    program: Program,
    api: String,
    token: String,
    folder: tempfile::TempDir,
}

impl Site {
    fn start() -> Site {
        let folder = tempfile::tempdir().expect("a folder for temporary files");
        let (at, admin, server) = (
            reserve_address(),
            reserve_address(),
            listener().local_addr().expect("bound"),
        );
        let config = folder.path().join("config.json");
        let known = endpoint_list(
            1,
            true,
            &[("s0", server, "SERVING"), ("s1", server, "SERVING")],
        );
        std::fs::write(
            &config,
            support::platform_config(at, reserve_address(), &known, SETTINGS, 256),
        )
        .expect("room");
        let operator = folder.path().join("operator.toml");
        let text = format!(
            "[admin]\nlisten = \"{admin}\"\ntoken = \"{ADMIN_TOKEN}\"\n[overrides]\nfile = {:?}\n[log]\nform = \"json\"\n",
            folder.path().join("overrides.redb")
        );
        std::fs::write(&operator, text).expect("room");
        let token = folder.path().join("token");
        std::fs::write(&token, format!("{ADMIN_TOKEN}\n")).expect("room");
        let text = |path: &std::path::Path| path.to_str().expect("text").to_owned();
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

    /// Runs a command against the API.
    fn run(&self, words: &[&str]) -> Output {
        let mut all = words.to_vec();
        all.extend(["--api", &self.api, "--token-file", &self.token]);
        run(&all)
    }

    /// The same, which has to succeed; gives what it printed.
    fn prints(&self, words: &[&str]) -> String {
        let output = self.run(words);
        let said = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(0), "{words:?}: {said}");
        String::from_utf8(output.stdout).expect("text")
    }
}

fn run(words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_beaconflow"));
    command
        .args(words)
        .env_remove("BEACONFLOW_TOKEN")
        .env_remove("BEACONFLOW_API")
        .env_remove("BEACONFLOW_WHO");
    command.output().expect("the program starts")
}

/// Exit code, and what was printed to standard error.
fn ended(output: &Output) -> (Option<i32>, String) {
    (
        output.status.code(),
        String::from_utf8(output.stderr.clone()).expect("text"),
    )
}

#[test]
fn an_override_is_added_shown_changed_and_removed_by_commands() {
    let site = Site::start();
    assert!(
        site.prints(&["override", "list"])
            .contains("No override holds.")
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
    let added = site.prints(&add);
    // The log is JSON here, with fields of stable names.
    let line: serde_json::Value =
        serde_json::from_str(&site.program.wait_for_log("override created")).expect("JSON");
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
    let pinned = site.prints(&[&pinned[..], &["--why", "tests", "--json"]].concat());
    let pinned: serde_json::Value = serde_json::from_str(&pinned).expect("JSON");
    assert_eq!(
        (pinned["group"].as_str(), pinned["mode"].as_str()),
        (Some("north"), Some("strict"))
    );
    let listed = site.prints(&["override", "list"]);
    let rows: Vec<&str> = listed.lines().collect();
    assert!(
        rows[0].contains("LEFT") && rows[0].contains("EFFECT"),
        "{listed}"
    );
    assert!(
        rows[1].contains("1h 29m") && rows[2].contains("pin group north to s1, strict"),
        "{listed}"
    );
    let farm = site.prints(&["farm"]);
    assert!(
        farm.contains("ready 1.000") && farm.contains("ready 0.250") && farm.contains("slow disk"),
        "{farm}"
    );
    let extended = site.prints(&[
        "override",
        "extend",
        "1",
        "--for",
        "3h",
        "--revision",
        "1",
        "--json",
    ]);
    let extended: serde_json::Value = serde_json::from_str(&extended).expect("JSON");
    assert!(
        extended["remaining_s"]
            .as_f64()
            .is_some_and(|left| left > 10_000.0)
            && extended["revision"] == 2
    );
    // Late, unknown, faulty, conflicting: refused, each in words.
    let (code, said) = ended(&site.run(&["override", "remove", "1", "--revision", "1"]));
    assert!(code == Some(4) && said.contains("412"), "{said}");
    assert_eq!(ended(&site.run(&["override", "show", "99"])).0, Some(4));
    let wrong = [
        "override", "add", "weight", "s0", "0", "--for", "1h", "--who", "ada", "--why", "w",
    ];
    let (code, said) = ended(&site.run(&wrong));
    assert!(code == Some(4) && said.contains("factor"), "{said}");
    assert!(site.prints(&["override", "remove", "1"]).contains("ended"));
    assert!(!site.prints(&["override", "list"]).contains("slow disk"));
    let both = [
        "override", "add", "out", "s0", "--for", "1h", "--who", "ada", "--why", "w",
    ];
    site.prints(&both);
    let second: Vec<&str> = both
        .iter()
        .map(|word| if *word == "s0" { "s1" } else { word })
        .collect();
    let (code, said) = ended(&site.run(&second));
    assert!(
        code == Some(4) && said.contains("no ready server"),
        "{said}"
    );
    site.prints(&[&second[..], &["--force"]].concat());
    assert!(
        site.prints(&["farm"])
            .contains("warning: platform: overrides leave no ready server")
    );
}

#[test]
fn exit_codes_say_whose_fault_it_was() {
    let site = Site::start();
    assert_eq!(
        ended(&run(&["override", "list", "--api", &site.api])).0,
        Some(5),
        "no token"
    );
    let wrong = site.folder.path().join("wrong");
    std::fs::write(&wrong, "not the token at all").expect("room");
    let wrong = wrong.to_str().expect("text");
    assert_eq!(
        ended(&run(&[
            "override",
            "list",
            "--api",
            &site.api,
            "--token-file",
            wrong
        ]))
        .0,
        Some(5)
    );
    let nobody = reserve_address().to_string();
    assert_eq!(
        ended(&run(&[
            "farm",
            "--api",
            &nobody,
            "--token-file",
            &site.token
        ]))
        .0,
        Some(3)
    );
    assert_eq!(
        ended(&run(&["farm", "--token-file", "/no/such/file"])).0,
        Some(1)
    );
    assert_eq!(ended(&run(&["no-such-command"])).0, Some(2));
    assert_eq!(
        ended(&site.run(&["override", "add", "out", "s0", "--who", "a", "--why", "b"])).0,
        Some(2)
    );
    // A token is never an argument, where others on the machine would read it.
    assert_eq!(ended(&run(&["farm", "--token", ADMIN_TOKEN])).0, Some(2));
    for words in [
        &["--help"][..],
        &["override", "add", "--help"],
        &["completions", "bash"],
        &["--version"],
    ] {
        let output = run(words);
        assert!(
            output.status.success() && output.stdout.len() > 10,
            "{words:?}"
        );
    }
}

#[test]
fn check_names_every_fault_of_a_file_and_quotes_no_secret() {
    let folder = tempfile::tempdir().expect("a folder for temporary files");
    let check = |text: &str| {
        let path = folder.path().join("operator.toml");
        std::fs::write(&path, text).expect("room");
        let output = run(&["check", path.to_str().expect("text")]);
        (
            output.status.code(),
            String::from_utf8(output.stdout).expect("text"),
        )
    };
    let sample = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/nats.toml"
    ))
    .expect("it is there");
    let (code, said) = check(&sample);
    assert!(
        code == Some(1) && said.lines().count() == 1 && said.contains("admin.token"),
        "{said}"
    );
    assert_eq!(
        check(&sample.replace("CHANGE-ME", "a token of one's own")).0,
        Some(0)
    );
    let wrong = sample
        .replace("token = \"CHANGE-ME\"", "token = 7654321")
        .replace("listen = \"127.0.0.1:8222\"", "listen = \"0.0.0.0:8222\"")
        .replace("sockets = 4096", "sockets = -1\nsocket = 1")
        .replace("most_early = 65536", "most_early = 1")
        .replace("url = \"redis:", "url = \"http:")
        .replace("weight = 1.0 },\n]", "weight = 0.0, size = 3 },\n]")
        .replace("max-attempts = 6", "max-attempts = 0")
        .replace("cold-share = 0.13", "cold-share = 1.3")
        .replace(
            "[settings]",
            "[overrides]\nlongest_s = 0\nmost = 0\nramp_s = -1\nfile = 3\n[log]\nform = \"xml\"\n[settings]",
        );
    let (code, said) = check(&wrong);
    assert_eq!(code, Some(1));
    for field in [
        "admin.token",
        "admin.listen",
        "sockets",
        "socket: no such field",
        "wire.most_early",
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
        assert!(said.contains(field), "{field} is not in\n{said}");
    }
    assert!(!said.contains("7654321"), "{said}");
    let (code, said) = check("[admin\n");
    assert!(
        code == Some(1) && said.contains("line 1: not TOML"),
        "{said}"
    );
    assert_eq!(run(&["check", "/no/such/file"]).status.code(), Some(1));
}

#[test]
fn check_names_every_fault_of_the_fleets_sections() {
    let folder = tempfile::tempdir().expect("a folder for temporary files");
    let path = |name: &str| folder.path().join(name).to_str().expect("text").to_owned();
    let check = |text: &str| {
        std::fs::write(path("operator.toml"), text).expect("room");
        let output = run(&["check", &path("operator.toml")]);
        (
            output.status.code(),
            String::from_utf8(output.stdout).expect("text"),
        )
    };
    let sample = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/fleet.toml"
    ))
    .expect("it is there");
    let (code, said) = check(&sample);
    assert!(
        code == Some(1) && said.lines().count() == 1 && said.contains("fleet.key_file"),
        "{said}"
    );
    let private = |name: &str, text: &str| {
        std::fs::write(path(name), text).expect("room");
        std::fs::set_permissions(path(name), PermissionsExt::from_mode(0o600))
            .expect("its owner may");
    };
    private("key", &format!("{}\n", "0123456789abcdef".repeat(4)));
    private("short", "0123");
    private("text", "no key at all");
    let sound = sample.replace("/etc/beaconflow/fleet.key", &path("key"));
    let (code, said) = check(&sound);
    assert_eq!(code, Some(0), "{said}");
    let overrides = "[overrides]\nfile = \"/var/lib/beaconflow/gate-a.memory\"\n";
    for (field, from, to) in [
        ("fleet.name: 1 to 64", "\"gate-a\"", "\"gate a\""),
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
            folder.path().to_str().expect("text"),
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
            "fleet.previous_key_file: is key_file too",
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
        ("fleet.size: from 1", "size = 3", "size = 1001"),
        ("fleet.sise: no such field", "size = 3", "sise = 3"),
        (
            "fleet.site_size: is less",
            "size = 3",
            "size = 3\nsite_size = 2",
        ),
        (
            "fleet.site_size: from 1",
            "size = 3",
            "size = 3\nsite_size = 4\nother_sites = [\"b\"]",
        ),
        (
            "fleet.other_sites[1]: stands there twice",
            "size = 3",
            "size = 5\nother_sites = [\"b\", \"b\"]",
        ),
        (
            "fleet.other_sites[0]: is this site",
            "size = 3",
            "size = 4\nother_sites = [\"north\"]",
        ),
        (
            "fleet.other_sites[0]: 1 to",
            "size = 3",
            "size = 4\nother_sites = [\"a b\"]",
        ),
        ("fleet.borne", "size = 3", "size = 3\nborne = 0"),
        ("fleet.borne", "size = 3", "size = 3\nborne = \"many\""),
        ("fleet.clients", "size = 3", "size = 3\nclients = -1"),
        (
            "memory.path: is missing",
            "path = \"/var/lib/beaconflow/gate-a.memory\"",
            "",
        ),
        ("memory.path: names no file", "gate-a.memory", ".."),
        (
            "memory.path: is overrides.file",
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
        ("memory: has no meaning without", "[fleet]", "[fleets]"),
        ("edge: has no meaning without", "[fleet]", "[fleets]"),
        ("affinity: has no meaning without", "[fleet]", "[fleets]"),
    ] {
        assert!(sound.contains(from), "{from}");
        let (code, said) = check(&sound.replacen(from, to, 1));
        assert!(
            code == Some(1) && said.contains(field),
            "{field} is not in\n{said}"
        );
    }
    // All at once, each named.
    let wrong = sound
        .replace("size = 3", "size = 0")
        .replace("most_mb = 256", "most_mb = 0");
    let (_, said) = check(&wrong.replace("serial = 1", "serial = 0"));
    for field in ["fleet.size", "memory.most_mb", "affinity.serial"] {
        assert!(said.contains(field), "{field} is not in\n{said}");
    }
}

#[test]
fn the_door_is_shown_as_a_table_and_again_and_again() {
    let site = Site::start();
    let once = site.prints(&["admission"]);
    assert!(
        once.contains("platform: 0 of 4096 wait, 0 of 4096 KiB") && once.contains("WAIT P50"),
        "{once}"
    );
    let json: serde_json::Value =
        serde_json::from_str(&site.prints(&["admission", "--json"])).expect("JSON");
    assert_eq!(json["fronts"][0]["limits"]["queues"], 64, "{json}");
    // A live table ends with the program that it shows.
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
    let mut live = live.expect("it starts");
    let mut lines =
        std::io::BufRead::lines(std::io::BufReader::new(live.stdout.take().expect("piped")));
    let mut tables = 0;
    while tables < 3 {
        let line = lines.next().expect("it goes on").expect("text");
        tables += usize::from(line.contains("platform: 0 of 4096"));
    }
    drop(site.program);
    assert_eq!(
        live.wait().expect("it ends").code(),
        Some(3),
        "the API is not reached any more"
    );
}
