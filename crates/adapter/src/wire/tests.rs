//! Tests of the messages on the wire.

use super::write_fault;

#[test]
fn fault_with_any_text_is_one_line() {
    let mut out = Vec::new();
    write_fault(&mut out, "balancer/3", "index 7\nout of \"range\"");
    let line = String::from_utf8(out).expect("the line is UTF-8");
    assert_eq!(line.matches('\n').count(), 1);
    let value: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
    assert_eq!(value["what"], "FAULT");
    assert_eq!(value["balancer-id"], "balancer/3");
    assert_eq!(value["body-text"], "index 7\nout of \"range\"");
}
