//! Versions of what the key-value store holds.
//!
//! A store that comes back from a copy begins a new era and gives revisions out again, so a revision
//! orders changes only within its era. Whatever a gateway keeps from the store carries both
//! (docs/PLATFORM.md, "The store's era").

use std::fmt;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

/// An era of the store, which rises each time that the store comes back from a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A revision with its era, ordered by the era first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct StoreVersion {
    /// The era.
    pub era: StoreEra,
    /// The revision within the era.
    pub revision: Revision,
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
