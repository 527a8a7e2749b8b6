//! Truncated hashes of keys and bodies.
//!
//! A key is hashed together with its customer, so that equal keys of two customers have different
//! hashes.

use std::fmt;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Holds the hash of a customer and its Idempotency-Key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHash(pub [u8; 16]);

impl KeyHash {
    /// Returns the hash of a key in the scope of its customer.
    pub fn of(customer: CustomerId, key: &str) -> Self {
        let mut digest = Sha256::new();
        digest.update(customer.0.to_be_bytes());
        digest.update(key.as_bytes());
        let bytes = digest.finalize();
        let mut hash = [0; 16];
        hash.copy_from_slice(&bytes[..16]);
        Self(hash)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "key{:032x}", u128::from_be_bytes(self.0))
    }
}

/// Holds the hash of a request's method, path and body.
///
/// It only detects a caller's mistake (another body under the same key), so eight bytes suffice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BodyHash(pub [u8; 8]);

impl BodyHash {
    /// Returns the hash of the parts, each preceded by its length, so that the same bytes divided
    /// differently have another hash.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut digest = Sha256::new();
        for part in parts {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        let bytes = digest.finalize();
        let mut hash = [0; 8];
        hash.copy_from_slice(&bytes[..8]);
        Self(hash)
    }
}
