//! The number with which the provider tells the holders of a duty apart.

use std::fmt;

use oleander_base::prelude::*;
use serde::Serialize;

use crate::store_version::StoreEra;

/// The bits of a token below the era.
const REVISION_BITS: u32 = 32;

/// A number that rises with each change of the holder of the duties.
///
/// It is made of the store's era and of the revision of the write that made the holder the holder. A
/// store that comes back from an older copy assigns revisions again; with the era in the upper bits, no
/// token is issued twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Returns the token of a holder.
    pub fn of(era: StoreEra, revision: Revision) -> Self {
        Self((era.0 << REVISION_BITS).saturating_add(revision.0))
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
