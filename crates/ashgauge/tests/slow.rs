//! Engines that say that they are slow, as boxes tell each other.

mod common;
mod engines;

use std::time::Duration;

use ashgauge::load_report::{self, FleetLoad, LoadReport, LoadSum};

const SECOND: Duration = Duration::from_secs(1);

/// With two fifths of the engines twelve times as slow each box once found out by its own
/// late streams, engine by engine.
#[test]
fn slow_engine_is_known_to_boxes_that_did_not_use_it() {
    let mut found = engines::twins();
    found.note_slow(SECOND, "a1", 12.0);
    let slow = found.slow_upstreams(SECOND, |service| service == "model");
    let mut others = engines::twins();
    others.note_peer_slow(SECOND, &slow);
    assert_eq!(others.get("a1").expect("an engine").slowness(SECOND), 12.0);
    assert_eq!(others.get("a2").expect("an engine").slowness(SECOND), 1.0);
    // What was only heard is not told again, or it would never end.
    assert!(others.slow_upstreams(SECOND, |_| true).is_empty());
    assert_eq!(
        others.get("a1").expect("an engine").slowness(SECOND * 3),
        1.0
    );
}

/// Deployments that do not ask for it tell nothing.
#[test]
fn engines_of_other_services_are_not_told() {
    let mut found = engines::twins();
    found.note_slow(SECOND, "a1", 12.0);
    assert!(found.slow_upstreams(SECOND, |_| false).is_empty());
}

/// Two boxes asked the same engine at different moments.
#[test]
fn larger_factor_counts_in_a_sum() {
    let mut fleet_load = FleetLoad::default();
    let key = load_report::upstream_key("a1");
    for (n, factor) in [30, 120].into_iter().enumerate() {
        let report = LoadReport {
            slow: vec![(key, factor)],
            ..common::report(&format!("box-{n}"), Vec::new())
        };
        assert!(fleet_load.apply(SECOND, report));
    }
    assert_eq!(fleet_load.fleet_sum(LoadSum::default()).slow, [(key, 120)]);
}
