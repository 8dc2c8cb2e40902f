//! What the property tests share.

use proptest::test_runner::{Config, RngSeed};

/// The same cases every run.
pub fn seeded(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        ..Config::default()
    }
}
