use super::*;

#[test]
fn decodes_newer_rows_and_rejects_malformed_ones() {
    let record = Record {
        kind: 3,
        subject: b"north".to_vec(),
        value: vec![0, 255],
        observed_at_ms: 7,
    };
    let (key, row) = decode_entry(&encode_entry(&Change::Put(record.clone()))).expect("sound");
    let row = row.expect("kept");
    assert_eq!(decode_row(&key, &row), Some(record.clone()));
    // A newer one with a field that is not known here: field 99, a varint. It is kept as it came.
    let newer = [row.as_slice(), &[0x98, 0x06, 0x01]].concat();
    assert_eq!(decode_row(&key, &newer), Some(record));
    assert_eq!(decode_row(b"\0\0\0", &row), None, "no kind");
    assert_eq!(decode_row(&key, b"\xff\xff"), None);
    assert_eq!(decode_entry(b"\xff\xff"), None);
    assert_eq!(decode_entry(b""), None);
}
