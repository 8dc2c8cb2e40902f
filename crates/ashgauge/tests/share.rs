//! Load reports that boxes send to each other.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use ashgauge::load_report::{self, FleetLoad, LoadReport, Usage, report_intervals};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn report(from: u32, boot: u64, number: u64, requests: u32) -> LoadReport {
    let used = Usage {
        requests,
        head_requests: requests / 2,
        token_layers: requests * 900,
        prefill_ms: requests,
    };
    LoadReport {
        boot,
        sequence: number,
        ..common::report(
            &format!("box-{from}"),
            vec![(load_report::upstream_key("e1"), used)],
        )
    }
}

/// Time between two reports to remote boxes, for this many peers.
fn remote_interval(others: usize) -> Duration {
    report_intervals(0, others).1
}

#[test]
fn later_report_replaces_the_one_before() {
    let mut fleet_load = FleetLoad::default();
    assert!(fleet_load.apply(SECOND, report(1, 7, 1, 10)));
    assert!(fleet_load.apply(SECOND, report(1, 7, 2, 4)));
    assert_eq!(fleet_load.usage_by_others("e1").requests, 4);
    assert_eq!(fleet_load.usage_by_others("e2"), Usage::default());
}

/// Datagrams may arrive out of order.
#[test]
fn late_report_is_dropped() {
    let mut fleet_load = FleetLoad::default();
    assert!(fleet_load.apply(SECOND, report(1, 7, 2, 4)));
    assert!(!fleet_load.apply(SECOND, report(1, 7, 1, 10)));
    assert!(!fleet_load.apply(SECOND, report(1, 7, 2, 10)));
    assert_eq!(fleet_load.usage_by_others("e1").requests, 4);
}

/// A restarted process numbers its reports from one again.
#[test]
fn reports_after_a_restart_are_accepted() {
    let mut fleet_load = FleetLoad::default();
    assert!(fleet_load.apply(SECOND, report(1, 7, 900, 10)));
    assert!(fleet_load.apply(SECOND, report(1, 8, 1, 2)));
    assert_eq!(fleet_load.usage_by_others("e1").requests, 2);
}

#[test]
fn silent_box_expires() {
    let mut fleet_load = FleetLoad::default();
    fleet_load.apply(SECOND, report(1, 7, 1, 10));
    fleet_load.apply(SECOND * 3, report(2, 7, 1, 5));
    fleet_load.expire(SECOND * 4, remote_interval(2));
    assert_eq!(fleet_load.boxes(), 1);
    assert_eq!(fleet_load.usage_by_others("e1").requests, 5);
}

/// Guards against traffic of a box that grows with the size of the fleet.
#[test]
fn reports_are_rarer_in_large_fleets() {
    for others in [1, 5, 58, 339, 2000] {
        let (local, remote) = report_intervals(others / 3, others);
        let sent = (others / 3) as f64 / local.as_secs_f64();
        let sent_remotely = others as f64 / remote.as_secs_f64();
        assert!(sent <= 251.0, "{sent} datagrams a second to {others}");
        assert!(
            sent_remotely <= 67.0,
            "{sent_remotely} datagrams a second away of {others}"
        );
    }
}

/// In a large fleet reports are rare, and a late one does not make a box silent.
#[test]
fn rare_reports_are_kept_longer() {
    let mut fleet_load = FleetLoad::default();
    fleet_load.apply(SECOND, report(1, 7, 1, 10));
    fleet_load.expire(SECOND * 8, remote_interval(339));
    assert_eq!(fleet_load.boxes(), 1);
    fleet_load.expire(SECOND * 8, remote_interval(5));
    assert_eq!(fleet_load.boxes(), 0);
}

proptest! {
    #![proptest_config(common::seeded(200))]

    /// With reports in any order, the sum is that of each box's last one.
    #[test]
    fn sum_is_that_of_the_last_reports(
        reports in prop::collection::vec((0..5u32, 0..40u64, 0..100u32), 0..60),
    ) {
        let mut fleet_load = FleetLoad::default();
        let mut last: HashMap<u32, (u64, u32)> = HashMap::new();
        for (from, number, requests) in reports {
            fleet_load.apply(SECOND, report(from, 1, number, requests));
            let known = last.entry(from).or_insert((number, requests));
            if number > known.0 {
                *known = (number, requests);
            }
        }
        let sum: u32 = last.values().map(|(_, requests)| requests).sum();
        prop_assert_eq!(fleet_load.usage_by_others("e1").requests, sum);
        prop_assert_eq!(fleet_load.usage_by_others("e1").token_layers, sum * 900);
        prop_assert_eq!(fleet_load.boxes(), last.len());
        fleet_load.expire(SECOND * 9, remote_interval(5));
        prop_assert_eq!(fleet_load.usage_by_others("e1"), Usage::default());
    }
}

/// Guards against an overflow where a hub sums the numbers of boxes that two reports stand for.
#[test]
fn absurd_numbers_of_boxes_do_not_overflow() {
    let mut fleet_load = FleetLoad::default();
    for from in 0..2 {
        let mut report = report(from, 7, 1, 10);
        report.boxes = u32::MAX;
        fleet_load.apply(SECOND, report);
    }
    let sum = fleet_load.fleet_sum(load_report::LoadSum::default());
    assert_eq!(sum.boxes, u32::MAX);
}

/// Guards against sums that overflow: once a box with absurd figures expired, the sums lacked
/// the load of all other boxes.
#[test]
fn largest_figures_of_one_box_leave_the_others_as_they_are() {
    let mut fleet_load = FleetLoad::default();
    fleet_load.apply(SECOND, report(1, 7, 1, 10));
    fleet_load.apply(SECOND, report(2, 7, 1, 20));
    let largest = Usage {
        requests: u32::MAX,
        head_requests: u32::MAX,
        token_layers: u32::MAX,
        prefill_ms: u32::MAX,
    };
    let mut absurd_report = report(3, 7, 1, 0);
    absurd_report.usage[0].1 = largest;
    fleet_load.apply(SECOND, absurd_report);
    assert_eq!(fleet_load.usage_by_others("e1"), largest);
    fleet_load.apply(SECOND, report(3, 7, 2, 5));
    let others = fleet_load.usage_by_others("e1");
    assert_eq!((others.requests, others.token_layers), (35, 35 * 900));
}
