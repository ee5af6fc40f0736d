//! Valid and invalid transcripts over standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = r#"{"balancers":1,"discovery":"automatic","zone":0,"policy-limits":{"max-attempts":3,"retry-after":true,"max-retry-after-ns":1000000000,"connect-timeout-ns":100000000},"rules":{"cold-share":0.3,"cold-ns":8000000000,"tip-multiple":3.0,"fall-ns":2000000000},"lanes":[{"on-time-ns":300000000,"hard-limit-ns":1800000000,"effect":"retryable","value":1.0,"novel":[1]}],"novel-key":{"a":1}}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_beaconflow-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // The adapter may stop early on bad input, which closes the pipe.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

fn power_on() -> String {
    format!(
        "{{\"what\":\"TICK\",\"time-ns\":5}}\n\
         {{\"what\":\"POWER_ON\",\"balancer-id\":\"balancer/0\",\"nonce64\":9,\"setup\":{SETUP}}}\n\
         {{\"what\":\"TABLE\",\"list\":3,\"items\":[{{\"availability\":\"on\",\"server\":\"server-a\",\"share\":1}}]}}\n\
         {{\"what\":\"ANNOUNCE\",\"balancer-id\":\"balancer/0\",\"mode\":\"cached\",\"revision\":1,\"list\":3}}\n"
    )
}

/// The first batch of an instance, with these events at its end.
fn batch(events: &str) -> String {
    format!("{}{events}\n{{\"what\":\"FLUSH\"}}\n", power_on())
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("the output is UTF-8")
}

/// Runs invalid input; returns the single line on standard error.
fn error_of(input: &str) -> String {
    let output = run(input);
    assert_eq!(output.status.code(), Some(1));
    let message = String::from_utf8(output.stderr).expect("the output is UTF-8");
    assert_eq!(message.lines().count(), 1, "{message}");
    message
}

/// The end of input after a batch is not an error.
#[test]
fn empty_batch_is_answered() {
    let output = run("{\"what\":\"TICK\",\"time-ns\":1}\n{\"what\":\"FLUSH\"}\n");
    assert!(output.status.success());
    assert_eq!(stdout(&output), "{\"what\":\"FINISHED\"}\n");
}

#[test]
fn request_is_sent_to_the_listed_server() {
    let ask = r#"{"what":"ASK","balancer-id":"balancer/0","req":7,"give-up-at-ns":900000000,"grade":0,"resource":"k\u0041"}"#;
    let output = run(&batch(ask));
    assert!(output.status.success());
    let reply = stdout(&output);
    let expected = r#"{"what":"CALL_OUT","balancer-id":"balancer/0","req":7,"server":"server-a","allow-for-ns":200000000}"#;
    assert!(reply.lines().any(|line| line == expected), "{reply}");
    assert_eq!(reply.lines().last(), Some("{\"what\":\"FINISHED\"}"));
}

#[test]
fn every_event_is_accepted_for_ended_requests() {
    let events = [
        r#"{"what":"TAKEN_OVER","balancer-id":"balancer/0","req":8,"give-up-at-ns":900000000,"server":"server-a","grade":0}"#,
        r#"{"what":"HEARTBEAT","balancer-id":"balancer/0","req":8,"kind":1,"server":"server-a","send-no":0,"value":12.5}"#,
        r#"{"what":"HEARTBEAT","balancer-id":"balancer/0","req":8,"kind":2,"server":"server-a","send-no":0,"value":0.5}"#,
        r#"{"what":"ACK_FIRST","balancer-id":"balancer/0","req":99,"send-no":0,"server":"server-a","elapsed-ns":1}"#,
        r#"{"what":"RESULT","balancer-id":"balancer/0","req":99,"send-no":0,"server":"server-a","status":6,"elapsed-ns":1}"#,
        r#"{"what":"CLIENT_LEFT","balancer-id":"balancer/0","req":99}"#,
        r#"{"what":"DEADLINE_HIT","balancer-id":"balancer/0","mark":12345}"#,
        r#"{"what":"HEALTH_RESULT","balancer-id":"balancer/0","status":1,"elapsed-ns":1,"server":"server-a","gauge":{"x0":0.5}}"#,
        r#"{"what":"INBOX","balancer-id":"balancer/0","by":2,"payload":"6869"}"#,
        r#"{"what":"ANNOUNCE","balancer-id":"balancer/0","mode":"failed","revision":2}"#,
    ];
    let output = run(&batch(&events.join("\n")));
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(output.stderr.is_empty());
}

#[test]
fn unknown_event_is_skipped_with_a_message() {
    let unknown = r#"{"what":"WEATHER","balancer-id":"balancer/0"}"#;
    let output = run(&batch(unknown));
    assert!(output.status.success());
    let message = String::from_utf8(output.stderr).expect("the output is UTF-8");
    assert!(
        message.contains("line 5") && message.contains("WEATHER"),
        "{message}"
    );
}

/// The single error line gives the line number and the reason.
#[test]
fn invalid_input_ends_the_run() {
    let message = error_of("{\"what\":\"TICK\",\"time-ns\":1}\nnot json\n");
    assert!(message.contains("line 2"), "{message}");
    let message = error_of(&format!(
        "{}{{\"what\":\"ASK\",\"balancer-id\":\"balancer/0\",\"req\":1,\"grade\":0}}\n",
        power_on()
    ));
    assert!(
        message.contains("line 5") && message.contains("give-up-at-ns"),
        "{message}"
    );
    let message = error_of(&format!(
        "{}{{\"what\":\"ANNOUNCE\",\"balancer-id\":\"balancer/0\",\"mode\":\"full\",\"list\":4}}\n",
        power_on()
    ));
    assert!(message.contains("list 4"), "{message}");
    let message = error_of(
        "{\"what\":\"TICK\",\"time-ns\":1}\n{\"what\":\"KILLED\",\"balancer-id\":\"balancer/1\"}\n",
    );
    assert!(message.contains("never started"), "{message}");
    let message = error_of("{\"what\":\"TICK\",\"time-ns\":1}\n");
    assert!(message.contains("inside a batch"), "{message}");
}

#[test]
fn event_for_killed_instance_is_error() {
    let killed = r#"{"what":"KILLED","balancer-id":"balancer/0"}"#;
    let event = r#"{"what":"CLIENT_LEFT","balancer-id":"balancer/0","req":1}"#;
    let message = error_of(&format!("{}{killed}\n{event}\n", power_on()));
    assert!(message.contains("line 6"), "{message}");
}

#[test]
fn invalid_setting_is_reported_by_field() {
    let out_of_range = power_on().replace("\"cold-share\":0.3", "\"cold-share\":7");
    assert!(error_of(&out_of_range).contains("setup: rules.cold-share: must be"));
}

#[test]
fn restarted_instance_forgets_requests() {
    let adopted = r#"{"what":"TAKEN_OVER","balancer-id":"balancer/0","req":8,"give-up-at-ns":900000000,"server":"server-a","grade":0}"#;
    let killed = r#"{"what":"KILLED","balancer-id":"balancer/0"}"#;
    let reset = r#"{"what":"RESULT","balancer-id":"balancer/0","req":8,"send-no":0,"server":"server-a","status":6,"elapsed-ns":1}"#;
    let restart = power_on();
    let restart = restart
        .split_once('\n')
        .expect("the batch has more than one line")
        .1;
    let answer = r#"{"what":"REPORT_FAILURE","balancer-id":"balancer/0","req":8}"#;
    let without_restart = run(&batch(&format!("{adopted}\n{reset}")));
    assert!(stdout(&without_restart).contains(answer));
    let restarted = run(&batch(&format!("{adopted}\n{killed}\n{restart}{reset}")));
    assert!(
        restarted.status.success(),
        "{}",
        String::from_utf8_lossy(&restarted.stderr)
    );
    assert!(!stdout(&restarted).contains(answer));
}

/// A server that answers a probe without a load is used; one that fails the probe is not.
#[test]
fn probe_answered_without_load_does_not_exclude_the_server() {
    let outcomes = [
        (r#""status":1,"gauge":{"x0":0.2}"#, 1),
        (r#""status":1,"gauge":{"x0":0.95}"#, 0),
        (r#""status":1,"gauge":{"busy":0.2}"#, 1),
        (r#""status":1"#, 1),
        (r#""status":5"#, 0),
        (r#""status":4,"gauge":{"x0":0.2}"#, 0),
    ];
    for (outcome, attempts) in outcomes {
        let ask = r#"{"what":"ASK","balancer-id":"balancer/0","req":7,"give-up-at-ns":900000000,"grade":0}"#;
        let answer = format!(
            "{{\"what\":\"TICK\",\"time-ns\":6}}\n\
             {{\"what\":\"HEALTH_RESULT\",\"balancer-id\":\"balancer/0\",\"elapsed-ns\":1,\"server\":\"server-a\",{outcome}}}\n\
             {{\"what\":\"FLUSH\"}}\n"
        );
        let setup = batch(ask).replace(
            r#""max-attempts":3"#,
            r#""max-attempts":3,"may-probe":true"#,
        );
        let setup = setup.replace(r#""novel-key""#, r#""report":{"names":["x0"]},"novel-key""#);
        let output = stdout(&run(&format!("{setup}{answer}")));
        assert!(output.contains("\"TOUCH\""), "{output}");
        assert_eq!(
            output.matches("\"CALL_OUT\"").count(),
            attempts,
            "after {outcome}: {output}"
        );
    }
}
