//! Records read where they lie. `prost` writes them and reads what is small and seldom; what a datagram holds many of is
//! read here without a copy, and in bounded memory whatever it holds.

/// A field's contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Field<'a> {
    /// A number, of variable or fixed length.
    Number(u64),
    /// Text, bytes or a record.
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

/// The fields of a record in turn: the number of each and what it holds.
#[derive(Clone, Debug)]
pub(crate) struct Fields<'a>(pub &'a [u8]);

/// Bytes that are no field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FieldError;

fn varint(bytes: &mut &[u8]) -> Option<u64> {
    let mut number = 0;
    for (at, byte) in bytes.iter().take(10).enumerate() {
        number |= u64::from(byte & 0x7f) << (7 * at);
        if byte & 0x80 == 0 {
            // Ten bytes hold 70 bits: the last one may only add the 64th.
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
        let read = field(&mut self.0);
        if read.is_none() {
            // Nothing can be told from what follows.
            self.0 = &[];
        }
        Some(read.ok_or(FieldError))
    }
}
