//! The keys that datagrams are sealed with, and the files that they come from.

use std::fmt;
use std::io;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// A key has at least this many bytes.
pub const SHORTEST_KEY: usize = 32;
/// Of the keyed digest this many bytes travel.
pub(crate) const DIGEST: usize = 16;
/// A key file is not read beyond this.
const LARGEST_FILE: u64 = 4_096;

/// A key that all processes of the fleet hold.
#[derive(Clone)]
pub struct Key {
    mac: Hmac<Sha256>,
    /// Tells keys apart, and nothing about them.
    pub(crate) id: u32,
}

impl fmt::Debug for Key {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "Key({:08x})", self.id)
    }
}

/// Why a key cannot be used.
#[derive(Debug)]
pub enum KeyFault {
    /// The file cannot be read.
    Unreadable(PathBuf, io::Error),
    /// Others than the owner and the group may read the file; its mode is told.
    Open(PathBuf, u32),
    /// The file holds something else than hexadecimal digits, two a byte.
    NotHex(PathBuf),
    /// The key is too short; its length in bytes is told.
    Short(PathBuf, usize),
    /// The file is larger than any key.
    Large(PathBuf),
}

impl fmt::Display for KeyFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, error) => {
                write!(
                    out,
                    "the key file {} cannot be read: {error}",
                    path.display()
                )
            }
            Self::Open(path, mode) => write!(
                out,
                "the key file {} may be read by everybody (mode {mode:04o}): `chmod o= {}`",
                path.display(),
                path.display()
            ),
            Self::NotHex(path) => {
                write!(
                    out,
                    "the key file {} has to hold hexadecimal digits only, two a byte",
                    path.display()
                )
            }
            Self::Short(path, bytes) => write!(
                out,
                "the key in {} has {bytes} bytes, at least {SHORTEST_KEY} are wanted (`openssl rand -hex 32`)",
                path.display()
            ),
            Self::Large(path) => {
                write!(
                    out,
                    "the key file {} has over {LARGEST_FILE} bytes: no key",
                    path.display()
                )
            }
        }
    }
}

impl std::error::Error for KeyFault {}

impl Key {
    /// Takes a key as it is. `None` when it is too short.
    pub fn new(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < SHORTEST_KEY {
            return None;
        }
        let mac = Hmac::<Sha256>::new_from_slice(bytes).ok()?;
        let name = mac
            .clone()
            .chain_update(b"beaconflow peers: name of the key")
            .finalize()
            .into_bytes();
        Some(Self {
            mac,
            id: u32::from_be_bytes([name[0], name[1], name[2], name[3]]),
        })
    }

    /// Reads a key file: hexadecimal digits, two a byte, [`SHORTEST_KEY`] bytes or more; blanks and line ends are
    /// passed over.
    ///
    /// # Errors
    /// When it cannot be read, everybody may read it, or it holds no key.
    pub fn read(path: &Path) -> Result<Self, KeyFault> {
        let unreadable = |error| KeyFault::Unreadable(path.into(), error);
        let file = std::fs::File::open(path).map_err(unreadable)?;
        let mode = file.metadata().map_err(unreadable)?.permissions().mode() & 0o7777;
        if mode & 0o007 != 0 {
            return Err(KeyFault::Open(path.into(), mode));
        }
        let mut text = Vec::new();
        file.take(LARGEST_FILE + 1)
            .read_to_end(&mut text)
            .map_err(unreadable)?;
        if text.len() as u64 > LARGEST_FILE {
            return Err(KeyFault::Large(path.into()));
        }
        let bytes = from_hex(&text).ok_or_else(|| KeyFault::NotHex(path.into()))?;
        Self::new(&bytes).ok_or_else(|| KeyFault::Short(path.into(), bytes.len()))
    }

    pub(crate) fn digest(&self, version: u32, sealed: &[u8]) -> [u8; DIGEST] {
        let whole = self
            .started(version)
            .chain_update(sealed)
            .finalize()
            .into_bytes();
        let mut digest = [0; DIGEST];
        digest.copy_from_slice(&whole[..DIGEST]);
        digest
    }

    /// Whether the digest is this key's, found in a time that does not depend on where it differs.
    pub(crate) fn fits(&self, version: u32, sealed: &[u8], digest: &[u8]) -> bool {
        digest.len() == DIGEST
            && self
                .started(version)
                .chain_update(sealed)
                .verify_truncated_left(digest)
                .is_ok()
    }

    fn started(&self, version: u32) -> Hmac<Sha256> {
        self.mac.clone().chain_update(version.to_be_bytes())
    }
}

/// The key that is sent with, and the one that is still taken while a key is changed.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Seals what is sent.
    pub current: Key,
    /// Is taken too: first all processes take the new key as this one, then send with it, then drop the old.
    pub other: Option<Key>,
}

impl Keys {
    /// One key alone.
    pub fn only(key: Key) -> Self {
        Self {
            current: key,
            other: None,
        }
    }

    pub(crate) fn with_id(&self, id: u32) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.current)
            .chain(self.other.as_ref())
            .filter(move |key| key.id == id)
    }
}

fn from_hex(text: &[u8]) -> Option<Vec<u8>> {
    let mut digits = text.iter().filter(|byte| !byte.is_ascii_whitespace());
    let mut bytes = Vec::new();
    while let Some(high) = digits.next() {
        let value = |digit: &u8| char::from(*digit).to_digit(16);
        bytes.push((value(high)? * 16 + value(digits.next()?)?) as u8);
    }
    Some(bytes)
}
