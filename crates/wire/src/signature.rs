//! Signatures with the fleet's shared secret.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::{Error, ErrorKind, Result};

/// The secret that all hosts of a fleet share.
#[derive(Clone)]
pub struct FleetSecret(Vec<u8>);

impl FleetSecret {
    /// Creates the secret from the settings' text.
    pub fn new(secret: &str) -> Self {
        Self(secret.as_bytes().to_vec())
    }

    /// Returns the HMAC-SHA-256 of an encoded batch.
    pub fn sign(&self, bytes: &[u8]) -> Vec<u8> {
        self.mac(bytes).map(|mac| mac.finalize().into_bytes().to_vec()).unwrap_or_default()
    }

    /// Checks the signature of an encoded batch in constant time.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Signature`] when the signature was made with another secret.
    pub fn verify(&self, bytes: &[u8], signature: &[u8]) -> Result<()> {
        let refused = || Error::new(ErrorKind::Signature, "not signed by this fleet");
        let mac = self.mac(bytes).ok_or_else(refused)?;
        mac.verify_slice(signature).map_err(|_| refused())
    }

    /// Returns `None` never: HMAC takes keys of any length. Without a code nothing verifies.
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
