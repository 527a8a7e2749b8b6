//! Lookup of the customer that an API key belongs to.
//!
//! Only hashes of keys are stored. The index finds candidates by the first bytes of the hash of
//! the presented key and compares the full hashes in constant time. The duration of the first step
//! can reveal only a part of the hash of a text that the attacker chose, and nothing about the
//! keys.

use std::collections::BTreeMap;

use oleander_base::prelude::*;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::data::{CustomerRecord, RecordSet};

/// The length of a SHA-256 hash in bytes.
const HASH_BYTES: usize = 32;

type KeyHash = [u8; HASH_BYTES];

/// An index of customers by the first bytes of their keys' hashes.
///
/// The index is derived from the customers, so it does not take part in comparisons: two sets with
/// the same customers are equal even if only one has an index.
#[derive(Debug, Clone, Default)]
pub struct KeyIndex {
    entries: Option<FastMap<u64, Vec<(KeyHash, CustomerId)>>>,
}

impl PartialEq for KeyIndex {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl KeyIndex {
    /// Builds the index of the customers' keys.
    pub fn build(customers: &BTreeMap<CustomerId, CustomerRecord>) -> Self {
        let mut entries: FastMap<u64, Vec<_>> = FastMap::default();
        for (id, hash) in hashes(customers) {
            entries
                .entry(first_bytes(&hash))
                .or_default()
                .push((hash, id));
        }
        Self {
            entries: Some(entries),
        }
    }
}

impl RecordSet {
    /// Returns the customer that an API key belongs to.
    pub fn customer_by_key(&self, key: &str) -> Option<CustomerId> {
        let presented: KeyHash = Sha256::digest(key.as_bytes()).into();
        match &self.key_index.entries {
            Some(entries) => {
                let candidates = entries.get(&first_bytes(&presented))?;
                find_matching(candidates.iter().copied(), &presented)
            }
            None => find_matching(
                hashes(&self.customers).map(|(id, hash)| (hash, id)),
                &presented,
            ),
        }
    }
}

/// Returns the hash of an API key in the form that records store.
pub fn hash_key(key: &str) -> String {
    let hash: KeyHash = Sha256::digest(key.as_bytes()).into();
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the customer with the presented hash.
///
/// Every candidate is compared, so that the duration does not depend on which one matches.
fn find_matching(
    candidates: impl Iterator<Item = (KeyHash, CustomerId)>,
    presented: &KeyHash,
) -> Option<CustomerId> {
    let mut found = None;
    for (hash, id) in candidates {
        if bool::from(hash.ct_eq(presented)) {
            found = Some(id);
        }
    }
    found
}

fn hashes(
    customers: &BTreeMap<CustomerId, CustomerRecord>,
) -> impl Iterator<Item = (CustomerId, KeyHash)> {
    customers.iter().flat_map(|(id, customer)| {
        let hashes = customer.key_hashes.iter();
        hashes.filter_map(|text| Some((*id, parse_hash(text)?)))
    })
}

fn parse_hash(text: &str) -> Option<KeyHash> {
    if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
        return None;
    }
    let mut hash = [0; HASH_BYTES];
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(hash)
}

fn first_bytes(hash: &KeyHash) -> u64 {
    u64::from_le_bytes(hash[..8].try_into().expect("a SHA-256 hash has 32 bytes"))
}
