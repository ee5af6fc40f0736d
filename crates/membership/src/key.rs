//! Keys that authenticate datagrams, and the files that hold them.

use std::fmt;
use std::io;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Minimum length of a key, in bytes.
pub const MIN_KEY_BYTES: usize = 32;
/// Length of the truncated digest in a datagram, in bytes.
pub(crate) const DIGEST_BYTES: usize = 16;
/// Maximum size of a key file, in bytes.
const MAX_KEY_FILE_BYTES: u64 = 4_096;

/// A secret shared by all processes of the fleet.
#[derive(Clone)]
pub struct Key {
    mac: Hmac<Sha256>,
    /// Identifies the key in datagrams without revealing anything about it.
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
    /// Users other than the owner and the group may access the file. The second value is the file's
    /// mode.
    WorldReadable(PathBuf, u32),
    /// The file contains something other than pairs of hexadecimal digits.
    NotHex(PathBuf),
    /// The key is too short. The second value is its length in bytes.
    TooShort(PathBuf, usize),
    /// The file exceeds the maximum size of a key file.
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
                "the key file {} is accessible to all users (mode {mode:04o}); run `chmod o= {}`",
                path.display(),
                path.display()
            ),
            Self::NotHex(path) => {
                write!(
                    out,
                    "the key file {} must contain only pairs of hexadecimal digits",
                    path.display()
                )
            }
            Self::TooShort(path, bytes) => write!(
                out,
                "the key in {} has {bytes} bytes; at least {MIN_KEY_BYTES} are required (`openssl rand -hex 32` generates a key)",
                path.display()
            ),
            Self::TooLarge(path) => {
                write!(
                    out,
                    "the key file {} is larger than {MAX_KEY_FILE_BYTES} bytes",
                    path.display()
                )
            }
        }
    }
}

impl std::error::Error for KeyError {}

impl Key {
    /// Creates a key from raw bytes, or `None` if there are fewer than [`MIN_KEY_BYTES`].
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

    /// Reads a key file: at least [`MIN_KEY_BYTES`] bytes as hexadecimal digits. Whitespace is
    /// ignored.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is accessible to all users, or contains no valid key.
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

    /// Whether the digest was made with this key. The comparison takes constant time.
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

/// The key for sending, and a second key that is accepted during a key rotation.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Seals sent datagrams; accepted for received ones.
    pub current: Key,
    /// Also accepted for received datagrams. A rotation has three steps: all processes accept the
    /// new key here, then send with it, then drop the old key.
    pub other: Option<Key>,
}

impl Keys {
    /// A single key, outside a rotation.
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
