use super::*;

#[test]
fn decodes_newer_rows_and_rejects_malformed_ones() {
    let record = Record {
        kind: 3,
        subject: b"north".to_vec(),
        value: vec![0, 255],
        observed_at_ms: 7,
    };
    let (key, row) = decode_entry(&encode_entry(&Change::Put(record.clone())))
        .expect("the encoded entry decodes");
    let row = row.expect("an inserted record has a row");
    assert_eq!(decode_row(&key, &row), Some(record.clone()));
    // A newer row with an unknown field: field 99, a varint.
    let newer = [row.as_slice(), &[0x98, 0x06, 0x01]].concat();
    assert_eq!(decode_row(&key, &newer), Some(record));
    assert_eq!(
        decode_row(b"\0\0\0", &row),
        None,
        "a key of 3 bytes has no kind"
    );
    assert_eq!(decode_row(&key, b"\xff\xff"), None);
    assert_eq!(decode_entry(b"\xff\xff"), None);
    assert_eq!(decode_entry(b""), None);
}
