//! Helpers shared by the tests of this crate.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns the default property-test configuration with a fixed seed.
pub(crate) fn seeded() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
