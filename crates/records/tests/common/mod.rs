//! What the tests of this package share.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns the usual settings with a fixed seed.
pub(crate) fn seeded() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
