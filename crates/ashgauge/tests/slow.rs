//! Slowness of engines as boxes report it to each other.

mod common;
mod engines;

use std::time::Duration;

use ashgauge::load_report::{self, FleetLoad, LoadReport, LoadSum};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against boxes that each learn of slow engines only by late streams of their own. With
/// two fifths of the engines twelve times as slow, each box found them one by one.
#[test]
fn slow_engine_is_known_to_boxes_that_did_not_use_it() {
    let mut found = engines::twins();
    found.note_slow(SECOND, "a1", 12.0);
    let slow = found.slow_upstreams(SECOND, |service| service == "model");
    let mut others = engines::twins();
    others.note_peer_slow(SECOND, &slow);
    assert_eq!(others.get("a1").expect("an engine").slowness(SECOND), 12.0);
    assert_eq!(others.get("a2").expect("an engine").slowness(SECOND), 1.0);
    // Slowness known only from reports is not reported again, or it would never expire.
    assert!(others.slow_upstreams(SECOND, |_| true).is_empty());
    assert_eq!(
        others.get("a1").expect("an engine").slowness(SECOND * 3),
        1.0
    );
}

/// Services that do not enable this report nothing.
#[test]
fn engines_of_other_services_are_not_reported() {
    let mut found = engines::twins();
    found.note_slow(SECOND, "a1", 12.0);
    assert!(found.slow_upstreams(SECOND, |_| false).is_empty());
}

/// Two boxes may have queried the same engine at different times.
#[test]
fn sum_keeps_the_larger_factor() {
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
