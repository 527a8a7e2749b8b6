//! Customers by API key; only hashes of keys are kept.

use oleander_base::prelude::*;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::data::RecordSet;

impl RecordSet {
    /// Finds the customer that an API key belongs to, in time that does not depend on the key.
    pub fn customer_by_key(&self, key: &str) -> Option<CustomerId> {
        let hash = key_hash(key);
        let mut found = None;
        for (customer, record) in &self.customers {
            for known in &record.key_hashes {
                if bool::from(known.as_bytes().ct_eq(hash.as_bytes())) {
                    found = Some(*customer);
                }
            }
        }
        found
    }
}

/// Returns the form in which a record keeps an API key: lower-case hexadecimal SHA-256.
pub fn key_hash(key: &str) -> String {
    Sha256::digest(key.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
