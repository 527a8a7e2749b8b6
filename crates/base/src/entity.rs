//! Entity references: newtypes over integers.
//!
//! A reference is the 32-bit hash of the record's name. Every process computes the same reference
//! without coordination, and a message carries four bytes in place of a name. Two names with the
//! same hash cannot both be in use: the record check refuses the second one, and the operator
//! renames it (docs/DESIGN.md, "Names and references").

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

macro_rules! entity_reference {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the reference of the record with this name.
            pub fn from_name(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()) as u32)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{:08x}"), self.0)
            }
        }
    };
}

entity_reference!(
    /// A customer record.
    CustomerId, "customer"
);
entity_reference!(
    /// A request class record.
    ClassId, "class"
);
entity_reference!(
    /// A backend server record: a model engine or a server of a plain service.
    BackendId, "backend"
);
entity_reference!(
    /// A data centre.
    CentreId, "centre"
);
entity_reference!(
    /// A model, identified by its public name.
    ModelId, "model"
);
entity_reference!(
    /// An adapter of a model.
    AdapterId, "adapter"
);
entity_reference!(
    /// A planned stop record.
    StopId, "stop"
);

/// A pool: the backend servers of one model (or one plain service) in one data centre.
///
/// Each pool has one queue, and tier priority is guaranteed only within a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolId {
    /// The data centre.
    pub centre: CentreId,
    /// The model, or the plain service.
    pub model: ModelId,
}

impl fmt::Display for PoolId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.centre, self.model)
    }
}

/// A service tier; 0 is the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tier(pub u8);

impl Tier {
    /// The number of tiers that a deployment may define.
    pub const COUNT: usize = 16;

    /// Returns whether this tier outranks the other one.
    pub fn is_above(self, other: Self) -> bool {
        self.0 < other.0
    }
}

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "tier{}", self.0)
    }
}

/// A revision of the platform's key-value store, which alone orders the records.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
