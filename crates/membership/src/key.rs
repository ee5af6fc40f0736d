//! The keys that datagrams are sealed with, and the files that they come from.

use std::fmt;
use std::io;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// A key has at least this many bytes.
pub const MIN_KEY_BYTES: usize = 32;
/// Of the keyed digest this many bytes travel.
pub(crate) const DIGEST_BYTES: usize = 16;
/// A key file is not read beyond this.
const MAX_KEY_FILE_BYTES: u64 = 4_096;

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
pub enum KeyError {
    /// The file cannot be read.
    Unreadable(PathBuf, io::Error),
    /// Others than the owner and the group may read the file; its mode is told.
    WorldReadable(PathBuf, u32),
    /// The file holds something else than hexadecimal digits, two a byte.
    NotHex(PathBuf),
    /// The key is too short; its length in bytes is told.
    TooShort(PathBuf, usize),
    /// The file is larger than any key.
    TooLarge(PathBuf),
}

impl fmt::Display for KeyError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, error) => {
                write!(
                    out,
                    "the key file {} cannot be read: {error}",
                    path.display()
                )
            }
            Self::WorldReadable(path, mode) => write!(
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
            Self::TooShort(path, bytes) => write!(
                out,
                "the key in {} has {bytes} bytes, at least {MIN_KEY_BYTES} are wanted (`openssl rand -hex 32`)",
                path.display()
            ),
            Self::TooLarge(path) => {
                write!(
                    out,
                    "the key file {} has over {MAX_KEY_FILE_BYTES} bytes: no key",
                    path.display()
                )
            }
        }
    }
}

impl std::error::Error for KeyError {}

impl Key {
    /// Takes a key as it is. `None` when it is too short.
    pub fn new(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < MIN_KEY_BYTES {
            return None;
        }
        let mac = Hmac::<Sha256>::new_from_slice(bytes).ok()?;
        let id_digest = mac
            .clone()
            .chain_update(b"beaconflow peers: name of the key")
            .finalize()
            .into_bytes();
        Some(Self {
            mac,
            id: u32::from_be_bytes([id_digest[0], id_digest[1], id_digest[2], id_digest[3]]),
        })
    }

    /// Reads a key file: hexadecimal digits, two a byte, [`SHORTEST_KEY`] bytes or more; blanks and line ends are
    /// passed over.
    ///
    /// # Errors
    /// When it cannot be read, everybody may read it, or it holds no key.
    pub fn read(path: &Path) -> Result<Self, KeyError> {
        let unreadable = |error| KeyError::Unreadable(path.into(), error);
        let file = std::fs::File::open(path).map_err(unreadable)?;
        let mode = file.metadata().map_err(unreadable)?.permissions().mode() & 0o7777;
        if mode & 0o007 != 0 {
            return Err(KeyError::WorldReadable(path.into(), mode));
        }
        let mut text = Vec::new();
        file.take(MAX_KEY_FILE_BYTES + 1)
            .read_to_end(&mut text)
            .map_err(unreadable)?;
        if text.len() as u64 > MAX_KEY_FILE_BYTES {
            return Err(KeyError::TooLarge(path.into()));
        }
        let bytes = from_hex(&text).ok_or_else(|| KeyError::NotHex(path.into()))?;
        Self::new(&bytes).ok_or_else(|| KeyError::TooShort(path.into(), bytes.len()))
    }

    pub(crate) fn digest(&self, version: u32, sealed: &[u8]) -> [u8; DIGEST_BYTES] {
        let full_digest = self
            .mac_for_version(version)
            .chain_update(sealed)
            .finalize()
            .into_bytes();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&full_digest[..DIGEST_BYTES]);
        digest
    }

    /// Whether the digest is this key's, found in a time that does not depend on where it differs.
    pub(crate) fn verify(&self, version: u32, sealed: &[u8], digest: &[u8]) -> bool {
        digest.len() == DIGEST_BYTES
            && self
                .mac_for_version(version)
                .chain_update(sealed)
                .verify_truncated_left(digest)
                .is_ok()
    }

    fn mac_for_version(&self, version: u32) -> Hmac<Sha256> {
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
