//! In-place decoding of protobuf fields. `prost` writes all records and reads the small and rare ones; the records
//! that a datagram holds many of are read here without copying and in bounded memory, whatever the input.

/// Content of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Field<'a> {
    /// An integer of variable or fixed length.
    Number(u64),
    /// A string, bytes or a nested message.
    Bytes(&'a [u8]),
}

impl<'a> Field<'a> {
    pub fn number(self) -> Option<u64> {
        if let Field::Number(number) = self {
            Some(number)
        } else {
            None
        }
    }

    pub fn bytes(self) -> Option<&'a [u8]> {
        if let Field::Bytes(bytes) = self {
            Some(bytes)
        } else {
            None
        }
    }
}

/// Iterates over the fields of a message as pairs of field number and content.
#[derive(Clone, Debug)]
pub(crate) struct Fields<'a>(pub &'a [u8]);

/// Error for bytes that are not a valid field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FieldError;

fn varint(bytes: &mut &[u8]) -> Option<u64> {
    let mut number = 0;
    for (at, byte) in bytes.iter().take(10).enumerate() {
        number |= u64::from(byte & 0x7f) << (7 * at);
        if byte & 0x80 == 0 {
            // Ten bytes hold 70 bits, so the last one may only add the 64th bit.
            let fits = at < 9 || *byte <= 1;
            *bytes = &bytes[at + 1..];
            return fits.then_some(number);
        }
    }
    None
}

fn split<'a>(bytes: &mut &'a [u8], at: usize) -> Option<&'a [u8]> {
    let (head, rest) = bytes.split_at_checked(at)?;
    *bytes = rest;
    Some(head)
}

fn field<'a>(bytes: &mut &'a [u8]) -> Option<(u32, Field<'a>)> {
    let tag = u32::try_from(varint(bytes)?).ok()?;
    let number = tag >> 3;
    let fixed = |bytes: &[u8]| {
        bytes
            .iter()
            .rev()
            .fold(0, |number, byte| number << 8 | u64::from(*byte))
    };
    let value = match tag & 7 {
        0 => Field::Number(varint(bytes)?),
        1 => Field::Number(fixed(split(bytes, 8)?)),
        2 => {
            let len = usize::try_from(varint(bytes)?).ok()?;
            Field::Bytes(split(bytes, len)?)
        }
        5 => Field::Number(fixed(split(bytes, 4)?)),
        _ => return None,
    };
    (number > 0).then_some((number, value))
}

impl<'a> Iterator for Fields<'a> {
    type Item = Result<(u32, Field<'a>), FieldError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.0.is_empty() {
            return None;
        }
        let decoded = field(&mut self.0);
        if decoded.is_none() {
            // The bytes after an invalid field cannot be decoded.
            self.0 = &[];
        }
        Some(decoded.ok_or(FieldError))
    }
}
