//! API keys that callers present. The tree stores only the hashes of their secrets.

use subtle::ConstantTimeEq;

use crate::hash::sha256;
use crate::ids::KeyId;

/// Number of random bytes in a key's secret.
pub const SECRET_BYTES: usize = 32;

const PREFIX: &str = "bk";

/// A key presented in a request, split into its parts.
#[derive(Clone, Copy, Debug)]
pub struct PresentedKey<'a> {
    /// Public part, which identifies the key.
    pub id: &'a str,
    secret: &'a str,
}

impl<'a> PresentedKey<'a> {
    /// Splits a presented text into its parts. Returns `None` when it does not have the form of a key.
    ///
    /// ```
    /// use burdock_model::ids::KeyId;
    /// use burdock_model::key::{hash_secret, format_key, PresentedKey};
    /// let id = KeyId::new("k1").unwrap();
    /// let text = format_key(&id, &[7; 32]);
    /// let key = PresentedKey::parse(&text).unwrap();
    /// assert!(key.matches(&hash_secret(&[7; 32])));
    /// assert!(!key.matches(&hash_secret(&[8; 32])));
    /// assert!(PresentedKey::parse("bk.k1").is_none());
    /// ```
    #[must_use]
    pub fn parse(text: &'a str) -> Option<Self> {
        let rest = text.strip_prefix(PREFIX)?.strip_prefix('.')?;
        let (id, secret) = rest.rsplit_once('.')?;
        if secret.len() != SECRET_BYTES * 2 {
            return None;
        }
        Some(Self { id, secret })
    }

    /// Compares the secret's hash with the stored one in constant time.
    #[must_use]
    pub fn matches(&self, stored: &[u8; 32]) -> bool {
        sha256(self.secret.as_bytes()).ct_eq(stored).into()
    }
}

/// Formats the text of a new key. It is shown to the operator once and never stored.
#[must_use]
pub fn format_key(id: &KeyId, secret: &[u8; SECRET_BYTES]) -> String {
    format!("{PREFIX}.{id}.{}", hex::encode(secret))
}

/// Returns the hash of a secret in the form that the tree stores.
#[must_use]
pub fn hash_secret(secret: &[u8; SECRET_BYTES]) -> [u8; 32] {
    sha256(hex::encode(secret).as_bytes())
}
