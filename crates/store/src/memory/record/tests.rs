use super::*;

#[test]
fn what_other_programs_wrote_is_read_or_refused_but_never_misread() {
    let record = Record {
        kind: 3,
        subject: b"north".to_vec(),
        value: vec![0, 255],
        observed_at_ms: 7,
    };
    let (at, row) = read_entry(&entry(&Change::Keep(record.clone()))).expect("sound");
    let row = row.expect("kept");
    assert_eq!(read_row(&at, &row), Some(record.clone()));
    // A newer one with a field that is not known here: field 99, a varint. It is kept as it came.
    let newer = [row.as_slice(), &[0x98, 0x06, 0x01]].concat();
    assert_eq!(read_row(&at, &newer), Some(record));
    assert_eq!(read_row(b"\0\0\0", &row), None, "no kind");
    assert_eq!(read_row(&at, b"\xff\xff"), None);
    assert_eq!(read_entry(b"\xff\xff"), None);
    assert_eq!(read_entry(b""), None);
}
