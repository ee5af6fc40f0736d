//! Settings that callers do not notice do not affect the decisions.

mod scenario;

use scenario::{PLAIN, SERVERS, run_adapter};

/// Batches between two answers of all servers; reports are older than their validity by then.
const BATCHES_BETWEEN_ANSWERS: usize = 40;

/// The scenario where servers may be probed, and answer with their load now and then.
fn transcript_with_probes() -> String {
    let answer = |server: &&str| {
        format!(
            "{{\"what\":\"HEALTH_RESULT\",\"balancer-id\":\"BALANCER\",\"status\":1,\"elapsed-ns\":1,\
             \"server\":\"{server}\",\"gauge\":{{\"x0\":0.3}}}}\n"
        )
    };
    let answers: String = SERVERS.iter().map(answer).collect();
    let transcript = PLAIN
        .transcript()
        .replace("\"max-attempts\"", "\"may-probe\":true,\"max-attempts\"");
    let batches = transcript
        .split_inclusive("{\"what\":\"FLUSH\"}\n")
        .enumerate();
    let batches = batches.map(
        |(index, batch)| match (index + 1) % BATCHES_BETWEEN_ANSWERS {
            0 => batch.replace(
                "{\"what\":\"FLUSH\"}\n",
                &format!("{answers}{{\"what\":\"FLUSH\"}}\n"),
            ),
            _ => batch.to_owned(),
        },
    );
    batches.collect()
}

/// The names say what a report contains; permission to probe is a setting of its own.
#[test]
fn names_of_reported_figures_do_not_affect_decisions() {
    let with_names = |names: &str| {
        let transcript = transcript_with_probes();
        let report = format!("\"report\":{{\"how\":\"on_probe\",\"names\":{names}}},\"prices\"");
        run_adapter(transcript.replace("\"prices\"", &report))
    };
    let plain = with_names("[\"x0\"]");
    assert!(
        plain.contains("\"TOUCH\""),
        "no server was probed:\n{plain}"
    );
    for names in ["[]", "[\"busy\"]", "[\"q\",\"x0\",\"x1\"]", "[\"x00\"]"] {
        assert_eq!(with_names(names), plain, "with the names {names}");
    }
}

/// Prices belong to the operators' accounts: traffic across zones costs callers nothing.
#[test]
fn prices_do_not_affect_decisions() {
    let transcript = PLAIN.transcript();
    let prices = "\"prices\":{\"cross-zone\":0.009}";
    assert!(transcript.contains(prices));
    let plain = PLAIN.decisions();
    for other in [
        "{}",
        "{\"cross-zone\":100.0}",
        "{\"cross-zone\":-1.0,\"moves\":5.0,\"probe\":\"dear\"}",
        "null",
    ] {
        let changed = transcript.replace(prices, &format!("\"prices\":{other}"));
        assert_eq!(run_adapter(changed), plain, "with the prices {other}");
    }
}

/// What the operators count for a request, and the time after which they count less, decide nothing.
#[test]
fn worth_and_wanted_time_do_not_affect_decisions() {
    let (transcript, plain) = (PLAIN.transcript(), PLAIN.decisions());
    for (key, present, others) in [
        ("value", ["1.0", "5.0", "2.0"], ["0.0", "100.0", "-1.0"]),
        (
            "on-time-ns",
            ["300000000", "500000000", "400000000"],
            ["1", "900000000000", "null"],
        ),
    ] {
        for other in others {
            let changed = present.iter().fold(transcript.clone(), |text, value| {
                let part = format!("\"{key}\":{value}");
                assert!(text.contains(&part), "the settings contain {part}");
                text.replace(&part, &format!("\"{key}\":{other}"))
            });
            assert_eq!(run_adapter(changed), plain, "with {other} as {key}");
        }
    }
    let bare = ["\"value\":1.0", "\"value\":5.0", "\"value\":2.0"];
    let without = bare
        .iter()
        .fold(transcript, |text, part| text.replace(part, "\"novel\":1"));
    assert_eq!(run_adapter(without), plain, "without a worth");
}
