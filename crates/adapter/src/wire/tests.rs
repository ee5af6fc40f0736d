//! Tests of the wire's messages.

use super::write_fault;

#[test]
fn a_fault_is_one_line_of_json_whatever_its_text() {
    let mut out = Vec::new();
    write_fault(&mut out, "balancer/3", "index 7\nout of \"range\"");
    let line = String::from_utf8(out).expect("UTF-8");
    assert_eq!(line.matches('\n').count(), 1);
    let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(value["what"], "FAULT");
    assert_eq!(value["balancer-id"], "balancer/3");
    assert_eq!(value["body-text"], "index 7\nout of \"range\"");
}
