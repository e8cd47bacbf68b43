//! HMAC signatures with the fleet's shared secret.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::{Error, ErrorKind, Result};

/// The secret shared by all hosts of a fleet. Its `Debug` output does not reveal it.
#[derive(Clone)]
pub struct FleetSecret(Vec<u8>);

impl FleetSecret {
    /// Creates the secret from the text in the settings; its bytes are the HMAC key.
    pub fn new(secret: &str) -> Self {
        Self(secret.as_bytes().to_vec())
    }

    /// Returns the HMAC-SHA-256 of `bytes`.
    pub fn sign(&self, bytes: &[u8]) -> Vec<u8> {
        self.mac(bytes).map(|mac| mac.finalize().into_bytes().to_vec()).unwrap_or_default()
    }

    /// Checks that `signature` is the HMAC-SHA-256 of `bytes`, in constant time.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Signature`] when the signature does not match.
    pub fn verify(&self, bytes: &[u8], signature: &[u8]) -> Result<()> {
        let mismatch = || Error::new(ErrorKind::Signature, "not signed by this fleet");
        let mac = self.mac(bytes).ok_or_else(mismatch)?;
        mac.verify_slice(signature).map_err(|_| mismatch())
    }

    /// Never returns `None`, since HMAC accepts keys of any length. If it did, no signature would
    /// verify.
    fn mac(&self, bytes: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).ok()?;
        mac.update(bytes);
        Some(mac)
    }
}

impl std::fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}
