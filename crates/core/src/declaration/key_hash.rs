//! SHA-256 hashes of API keys, idempotency keys, requests and operator tokens.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{Error, ErrorKind};

const HASH_BYTES: usize = 32;

/// A SHA-256 hash. The proxy stores API keys and operator tokens only in this form.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes a key, a token or the content of a request.
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Returns the first eight bytes as a big-endian number.
    pub fn prefix(&self) -> u64 {
        self.0.iter().take(8).fold(0, |value, byte| (value << 8) | u64::from(*byte))
    }

    /// Returns the raw hash, most significant byte first.
    pub fn as_bytes(&self) -> &[u8; HASH_BYTES] {
        &self.0
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}

impl From<[u8; HASH_BYTES]> for KeyHash {
    fn from(bytes: [u8; HASH_BYTES]) -> Self {
        Self(bytes)
    }
}

impl TryFrom<String> for KeyHash {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let invalid = || {
            let allowed = "64 hexadecimal digits of a SHA-256 hash";
            Error::new(ErrorKind::BadName, "keys", format!("{} characters", text.len()), allowed)
        };
        if text.len() != HASH_BYTES * 2 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(invalid());
        }
        let mut bytes = [0; HASH_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = text.get(index * 2..index * 2 + 2).ok_or_else(invalid)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}
