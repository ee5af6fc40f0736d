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
