//! Transcripts over standard input and output, good and bad.

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
    let mut stdin = child.stdin.take().expect("piped");
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

/// The first batch of an instance, with further events.
fn batch(events: &str) -> String {
    format!("{}{events}\n{{\"what\":\"FLUSH\"}}\n", power_on())
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

/// Runs input that must be refused; gives the one line on standard error.
fn refused(input: &str) -> String {
    let output = run(input);
    assert_eq!(output.status.code(), Some(1));
    let said = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(said.lines().count(), 1, "{said}");
    said
}

#[test]
fn an_empty_batch_is_answered_and_the_end_of_input_is_no_fault() {
    let output = run("{\"what\":\"TICK\",\"time-ns\":1}\n{\"what\":\"FLUSH\"}\n");
    assert!(output.status.success());
    assert_eq!(stdout(&output), "{\"what\":\"FINISHED\"}\n");
}

#[test]
fn a_request_goes_to_the_listed_server() {
    let ask = r#"{"what":"ASK","balancer-id":"balancer/0","req":7,"give-up-at-ns":900000000,"grade":0,"resource":"k\u0041"}"#;
    let output = run(&batch(ask));
    assert!(output.status.success());
    let reply = stdout(&output);
    let sent = r#"{"what":"CALL_OUT","balancer-id":"balancer/0","req":7,"server":"server-a","allow-for-ns":300000000}"#;
    assert!(reply.lines().any(|line| line == sent), "{reply}");
    assert_eq!(reply.lines().last(), Some("{\"what\":\"FINISHED\"}"));
}

#[test]
fn every_event_is_taken_also_for_requests_that_are_over() {
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
fn an_unknown_event_is_skipped_with_a_note() {
    let odd = r#"{"what":"WEATHER","balancer-id":"balancer/0"}"#;
    let output = run(&batch(odd));
    assert!(output.status.success());
    let said = String::from_utf8(output.stderr).expect("UTF-8");
    assert!(
        said.contains("line 5") && said.contains("WEATHER"),
        "{said}"
    );
}

#[test]
fn bad_input_ends_the_run_with_one_line_that_says_where_and_why() {
    let said = refused("{\"what\":\"TICK\",\"time-ns\":1}\nnot json\n");
    assert!(said.contains("line 2"), "{said}");
    let said = refused(&format!(
        "{}{{\"what\":\"ASK\",\"balancer-id\":\"balancer/0\",\"req\":1,\"grade\":0}}\n",
        power_on()
    ));
    assert!(
        said.contains("line 5") && said.contains("give-up-at-ns"),
        "{said}"
    );
    let said = refused(&format!(
        "{}{{\"what\":\"ANNOUNCE\",\"balancer-id\":\"balancer/0\",\"mode\":\"full\",\"list\":4}}\n",
        power_on()
    ));
    assert!(said.contains("list 4"), "{said}");
    let said = refused(
        "{\"what\":\"TICK\",\"time-ns\":1}\n{\"what\":\"KILLED\",\"balancer-id\":\"balancer/1\"}\n",
    );
    assert!(said.contains("never started"), "{said}");
    let said = refused("{\"what\":\"TICK\",\"time-ns\":1}\n");
    assert!(said.contains("inside a batch"), "{said}");
}

#[test]
fn a_killed_instance_is_gone_until_it_is_started_again() {
    let killed = r#"{"what":"KILLED","balancer-id":"balancer/0"}"#;
    let late = r#"{"what":"CLIENT_LEFT","balancer-id":"balancer/0","req":1}"#;
    let said = refused(&format!("{}{killed}\n{late}\n", power_on()));
    assert!(said.contains("line 6"), "{said}");
}

#[test]
fn settings_out_of_range_name_the_field() {
    let bad = power_on().replace("\"cold-share\":0.3", "\"cold-share\":7");
    assert!(refused(&bad).contains("setup: rules.cold-share: must be"));
}

#[test]
fn a_restarted_instance_knows_nothing_of_its_former_requests() {
    let former = r#"{"what":"TAKEN_OVER","balancer-id":"balancer/0","req":8,"give-up-at-ns":900000000,"server":"server-a","grade":0}"#;
    let killed = r#"{"what":"KILLED","balancer-id":"balancer/0"}"#;
    let broke = r#"{"what":"RESULT","balancer-id":"balancer/0","req":8,"send-no":0,"server":"server-a","status":6,"elapsed-ns":1}"#;
    let again = power_on();
    let again = again.split_once('\n').expect("more than a tick").1;
    let answer = r#"{"what":"REPORT_FAILURE","balancer-id":"balancer/0","req":8}"#;
    let kept = run(&batch(&format!("{former}\n{broke}")));
    assert!(stdout(&kept).contains(answer));
    let restarted = run(&batch(&format!("{former}\n{killed}\n{again}{broke}")));
    assert!(
        restarted.status.success(),
        "{}",
        String::from_utf8_lossy(&restarted.stderr)
    );
    assert!(!stdout(&restarted).contains(answer));
}
