//! Tests of the formats of log lines.

use super::*;

fn sample_record() -> LogRecord {
    LogRecord {
        part: "audit".into(),
        message: "override created".into(),
        fields: vec![
            ("id", 7.into()),
            ("who", "ada".into()),
            ("why", "a \"new\"\nsupply".into()),
            ("forced", false.into()),
            ("none", "".into()),
        ],
    }
}

#[test]
fn event_stays_on_one_line_whatever_its_fields_hold() {
    let now = Duration::from_millis(1_796_129_892_047);
    let text = sample_record().text(now, "info");
    assert_eq!(
        text,
        "1796129892.047 info audit override created id=7 who=ada why=\"a \\\"new\\\"\\nsupply\" forced=false none=\"\""
    );
    let json: Value =
        serde_json::from_str(&sample_record().json(now, "info")).expect("line is JSON");
    assert_eq!(
        (json["id"].as_u64(), json["why"].as_str()),
        (Some(7), Some("a \"new\"\nsupply"))
    );
    assert_eq!(json["time"], "2026-12-01T12:58:12.047Z");
}
