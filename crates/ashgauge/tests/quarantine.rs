//! Quarantine of requests that crash the upstreams that run them.

use std::time::Duration;

use ashgauge::digest::Digest;
use ashgauge::quarantine::{
    Audience, InstanceLoss, LossReport, QUARANTINE_TIME, Quarantine, QuarantinedRequest,
    instance_key, is_safe_run,
};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn loss(digest: Digest, engine: u32) -> InstanceLoss {
    InstanceLoss {
        digest,
        instance: instance_key(&format!("e{engine}"), None),
    }
}

fn report(loss: &[InstanceLoss]) -> LossReport {
    LossReport {
        losses: loss.to_vec(),
        quarantined: Vec::new(),
    }
}

/// Each box sees one loss, so none of them alone sees three.
#[test]
fn losses_of_all_boxes_are_counted() {
    let mut boxes = [(); 3].map(|()| Quarantine::default());
    for (n, own) in boxes.iter_mut().enumerate() {
        assert!(!own.record_loss(SECOND, loss(7, n as u32)));
    }
    let reports = boxes.each_ref().map(|b| b.report(SECOND, 0, Audience::All));
    for own in &mut boxes {
        let quarantined: Vec<_> = reports.iter().flat_map(|r| own.merge(SECOND, r)).collect();
        assert_eq!(quarantined, [7]);
        assert_eq!(own.time_left(SECOND, 7), Some(QUARANTINE_TIME));
        assert_eq!(own.time_left(SECOND, 8), None);
    }
}

/// Guards against counting one lost engine several times: all its streams break together, and
/// each box reports the loss.
#[test]
fn one_lost_engine_counts_once() {
    let mut own = Quarantine::default();
    for _ in 0..5 {
        assert!(!own.record_loss(SECOND, loss(7, 1)));
        assert!(
            own.merge(SECOND, &report(&[loss(7, 1), loss(7, 2)]))
                .is_empty()
        );
    }
    assert_eq!(own.time_left(SECOND, 7), None);
    assert!(own.record_loss(SECOND, loss(7, 3)));
}

/// Guards against losing more upstreams to the same request while the first ones are still
/// being checked.
#[test]
fn checks_count_until_they_end() {
    let mut own = Quarantine::default();
    own.record_loss(SECOND, loss(7, 1));
    // Streams that break together check the same engine at the same time.
    (0..3).for_each(|_| own.begin_check(loss(7, 2)));
    own.begin_check(loss(7, 1));
    assert!(!own.may_be_quarantined(7));
    own.begin_check(loss(7, 3));
    assert!(own.may_be_quarantined(7) && !own.may_be_quarantined(8));
    own.end_check(loss(7, 3));
    assert!(!own.may_be_quarantined(7));
}

/// A restarted engine has the same id, but its loss counts again.
#[test]
fn each_instance_of_an_engine_counts() {
    let mut own = Quarantine::default();
    let held = [None, Some(1), Some(2)].map(|started_ms| {
        let start = instance_key("e1", started_ms);
        own.record_loss(
            SECOND,
            InstanceLoss {
                digest: 7,
                instance: start,
            },
        )
    });
    assert_eq!(held, [false, false, true]);
}

#[test]
fn successful_run_clears_the_losses() {
    let mut own = Quarantine::default();
    own.record_loss(SECOND, loss(7, 1));
    own.record_loss(SECOND, loss(7, 2));
    own.clear_losses(7);
    assert!(!own.record_loss(SECOND, loss(7, 3)));
    assert_eq!(own.suspect_count(), 1);
}

#[test]
fn run_is_safe_after_it_sent_events_for_some_time() {
    let first = SECOND;
    assert!(!is_safe_run(first, first + SECOND / 10));
    assert!(is_safe_run(first, first + SECOND / 2));
}

/// Guards against boxes that pass on a quarantine to each other for ever, so that it never
/// expires.
#[test]
fn quarantine_expires_however_often_it_is_reported() {
    let mut boxes = [Quarantine::default(), Quarantine::default()];
    boxes[0].quarantine(Duration::ZERO, 7, QUARANTINE_TIME);
    let mut now = Duration::ZERO;
    while now < QUARANTINE_TIME {
        now += SECOND * 7 + SECOND / 3;
        let (left, right) = boxes.split_at_mut(1);
        left[0].merge(now, &right[0].report(now, 0, Audience::All));
        right[0].merge(now, &left[0].report(now, 0, Audience::All));
    }
    assert_eq!(boxes.map(|b| b.time_left(QUARANTINE_TIME, 7)), [None, None]);
}

#[test]
fn request_is_quarantined_again_after_expiry() {
    let mut own = Quarantine::default();
    assert!(own.quarantine(SECOND, 7, QUARANTINE_TIME));
    let later = SECOND * 2 + QUARANTINE_TIME;
    assert_eq!(own.time_left(later, 7), None);
    let again = [4, 5, 6].map(|n| own.record_loss(later, loss(7, n)));
    assert_eq!(again, [false, false, true]);
    assert_eq!(own.time_left(later, 7), Some(QUARANTINE_TIME));
}

/// A report holds a limited number of requests; boxes that started late must receive all.
#[test]
fn all_quarantined_requests_are_reported_in_turns() {
    let (mut own, mut other) = (Quarantine::default(), Quarantine::default());
    for digest in 0..100 {
        own.quarantine(SECOND, digest, QUARANTINE_TIME);
    }
    for turn in 0..8 {
        other.merge(SECOND, &own.report(SECOND, turn, Audience::All));
    }
    assert_eq!(other.quarantined(SECOND).len(), 100);
}

/// Guards against state that grows with the number of different bodies that a caller sends,
/// and against those bodies evicting the requests with the most losses.
#[test]
fn state_is_bounded_and_keeps_the_requests_with_the_most_losses() {
    let mut own = Quarantine::default();
    own.record_loss(SECOND, loss(7, 1));
    own.record_loss(SECOND, loss(7, 2));
    for digest in 100..6_100 {
        own.record_loss(SECOND * 2, loss(digest, 1));
    }
    assert!(own.suspect_count() <= 4096, "{}", own.suspect_count());
    assert!(own.record_loss(SECOND * 3, loss(7, 3)));
    for digest in 0..6_000 {
        own.quarantine(SECOND, digest, QUARANTINE_TIME);
    }
    assert!(own.quarantined(SECOND).len() <= 4096);
}

/// Guards against a report with an absurd time that quarantines a request for ever.
#[test]
fn reported_quarantine_time_is_bounded() {
    let mut own = Quarantine::default();
    let held = vec![QuarantinedRequest {
        digest: 7,
        left_s: u32::MAX,
    }];
    own.merge(
        SECOND,
        &LossReport {
            losses: vec![],
            quarantined: held,
        },
    );
    assert_eq!(own.time_left(SECOND, 7), Some(QUARANTINE_TIME));
}

proptest! {
    /// Reports arrive late, twice and in any order; all boxes reach the same state.
    #[test]
    fn order_of_reports_does_not_matter(
        losses in prop::collection::vec((0u64..4, 0u32..5), 1..20),
        order in Just((0..40usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let losses: Vec<InstanceLoss> = losses.into_iter().map(|(d, e)| loss(d, e)).collect();
        let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
        for one in &losses {
            first.record_loss(SECOND, *one);
        }
        for n in order {
            let one = losses[n % losses.len()];
            second.merge(SECOND, &report(&[one]));
        }
        for one in &losses {
            second.merge(SECOND, &report(&[*one]));
        }
        prop_assert_eq!(first.quarantined(SECOND), second.quarantined(SECOND));
        prop_assert_eq!(first.suspect_count(), second.suspect_count());
    }

    /// No request is quarantined with which fewer than three instances were lost.
    #[test]
    fn fewer_losses_quarantine_nothing(
        losses in prop::collection::vec((0u64..50, 0u32..2), 0..200),
    ) {
        let mut own = Quarantine::default();
        for (digest, engine) in losses {
            prop_assert!(!own.record_loss(SECOND, loss(digest, engine)));
        }
        prop_assert!(own.quarantined(SECOND).is_empty());
    }
}

/// In a large fleet boxes get reports of each other only through hubs.
#[test]
fn hub_forwards_the_losses_of_its_boxes() {
    let mut hubs = [Quarantine::default(), Quarantine::default()];
    let mut leaf = Quarantine::default();
    let losses = [loss(7, 1), loss(7, 2), loss(7, 3)];
    let received = report(&losses);
    assert!(hubs[0].forward(SECOND, &received, Audience::All));
    // The other hub reports it to its leaves, and to no hub.
    let received = hubs[0].report(SECOND, 0, Audience::All);
    assert!(hubs[1].forward(SECOND, &received, Audience::Leaves));
    assert!(hubs[1].report(SECOND, 0, Audience::All).is_empty());
    leaf.merge(SECOND, &hubs[1].report(SECOND, 0, Audience::Leaves));
    assert!(leaf.time_left(SECOND, 7).is_some());
    // A report that comes back is not forwarded again.
    assert!(!hubs[1].forward(SECOND, &received, Audience::Leaves));
}
