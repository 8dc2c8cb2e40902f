//! What boxes tell each other of their loads.

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

/// Time between two words where a box tells so many others.
fn lag(others: usize) -> Duration {
    report_intervals(0, others).1
}

#[test]
fn later_word_replaces_the_one_before() {
    let mut shares = FleetLoad::default();
    assert!(shares.apply(SECOND, report(1, 7, 1, 10)));
    assert!(shares.apply(SECOND, report(1, 7, 2, 4)));
    assert_eq!(shares.others("e1").requests, 4);
    assert_eq!(shares.others("e2"), Usage::default());
}

/// Datagrams overtake each other.
#[test]
fn word_that_comes_late_is_dropped() {
    let mut shares = FleetLoad::default();
    assert!(shares.apply(SECOND, report(1, 7, 2, 4)));
    assert!(!shares.apply(SECOND, report(1, 7, 1, 10)));
    assert!(!shares.apply(SECOND, report(1, 7, 2, 10)));
    assert_eq!(shares.others("e1").requests, 4);
}

/// A process that starts again counts its words from one.
#[test]
fn words_of_a_new_start_are_heard() {
    let mut shares = FleetLoad::default();
    assert!(shares.apply(SECOND, report(1, 7, 900, 10)));
    assert!(shares.apply(SECOND, report(1, 8, 1, 2)));
    assert_eq!(shares.others("e1").requests, 2);
}

#[test]
fn box_that_falls_silent_is_forgotten() {
    let mut shares = FleetLoad::default();
    shares.apply(SECOND, report(1, 7, 1, 10));
    shares.apply(SECOND * 3, report(2, 7, 1, 5));
    shares.expire(SECOND * 4, lag(2));
    assert_eq!(shares.boxes(), 1);
    assert_eq!(shares.others("e1").requests, 5);
}

/// What a box sends does not grow with the fleet.
#[test]
fn words_are_fewer_in_large_fleets() {
    for others in [1, 5, 58, 339, 2000] {
        let (near, far) = report_intervals(others / 3, others);
        let sent = (others / 3) as f64 / near.as_secs_f64();
        let away = others as f64 / far.as_secs_f64();
        assert!(sent <= 251.0, "{sent} datagrams a second to {others}");
        assert!(away <= 67.0, "{away} datagrams a second away of {others}");
    }
}

/// In a large fleet words come seldom, and one that is late is no silence.
#[test]
fn seldom_words_are_kept_for_longer() {
    let mut shares = FleetLoad::default();
    shares.apply(SECOND, report(1, 7, 1, 10));
    shares.expire(SECOND * 8, lag(339));
    assert_eq!(shares.boxes(), 1);
    shares.expire(SECOND * 8, lag(5));
    assert_eq!(shares.boxes(), 0);
}

proptest! {
    #![proptest_config(common::seeded(200))]

    /// Words in any order: the sum is that of each box's last one.
    #[test]
    fn sum_is_that_of_the_last_words(
        words in prop::collection::vec((0..5u32, 0..40u64, 0..100u32), 0..60),
    ) {
        let mut shares = FleetLoad::default();
        let mut last: HashMap<u32, (u64, u32)> = HashMap::new();
        for (from, number, requests) in words {
            shares.apply(SECOND, report(from, 1, number, requests));
            let known = last.entry(from).or_insert((number, requests));
            if number > known.0 {
                *known = (number, requests);
            }
        }
        let sum: u32 = last.values().map(|(_, requests)| requests).sum();
        prop_assert_eq!(shares.others("e1").requests, sum);
        prop_assert_eq!(shares.others("e1").token_layers, sum * 900);
        prop_assert_eq!(shares.boxes(), last.len());
        shares.expire(SECOND * 9, lag(5));
        prop_assert_eq!(shares.others("e1"), Usage::default());
    }
}

/// A hub adds up how many boxes others tell for; two large figures made it overflow.
#[test]
fn absurd_numbers_of_boxes_do_not_overflow() {
    let mut shares = FleetLoad::default();
    for from in 0..2 {
        let mut report = report(from, 7, 1, 10);
        report.boxes = u32::MAX;
        shares.apply(SECOND, report);
    }
    let sum = shares.fleet_sum(load_report::LoadSum::default());
    assert_eq!(sum.boxes, u32::MAX);
}

/// Guards against sums that overflowed: once a box that told absurd figures was forgotten,
/// the sums lacked what all others had told.
#[test]
fn largest_figures_of_one_box_leave_the_others_as_they_are() {
    let mut shares = FleetLoad::default();
    shares.apply(SECOND, report(1, 7, 1, 10));
    shares.apply(SECOND, report(2, 7, 1, 20));
    let most = Usage {
        requests: u32::MAX,
        head_requests: u32::MAX,
        token_layers: u32::MAX,
        prefill_ms: u32::MAX,
    };
    let mut absurd = report(3, 7, 1, 0);
    absurd.usage[0].1 = most;
    shares.apply(SECOND, absurd);
    assert_eq!(shares.others("e1"), most);
    shares.apply(SECOND, report(3, 7, 2, 5));
    let others = shares.others("e1");
    assert_eq!((others.requests, others.token_layers), (35, 35 * 900));
}
