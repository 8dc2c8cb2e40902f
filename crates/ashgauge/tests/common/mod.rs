//! Helpers that several tests share.

// Each test target uses only some of the items.
#![allow(dead_code)]

use ashgauge::load_report::{LoadReport, Scope, UsageList};
use proptest::test_runner::{Config, RngSeed};
use rand::RngCore;

/// Proptest configuration with a fixed seed, so that each run tests the same cases.
pub fn seeded(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Builds the first load report of a box. It holds only the box's own usage of upstreams.
pub fn report(from: &str, usage: UsageList) -> LoadReport {
    LoadReport {
        from: from.into(),
        boot: 1,
        sequence: 1,
        scope: Scope::Own,
        boxes: 1,
        usage,
        suspects: Vec::new(),
        limits: Vec::new(),
        traffic: Default::default(),
        slow: Vec::new(),
    }
}

/// Random number generator that always returns the same number, so that a selection does
/// not depend on the order in which engines are visited.
pub struct Fixed(pub u64);

impl RngCore for Fixed {
    fn next_u32(&mut self) -> u32 {
        (self.0 >> 32) as u32
    }

    fn next_u64(&mut self) -> u64 {
        self.0
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        bytes.fill(self.0 as u8);
    }
}
