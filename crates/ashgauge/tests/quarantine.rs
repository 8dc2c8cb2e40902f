//! Requests that end the upstreams that run them.

use std::time::Duration;

use ashgauge::digest::Digest;
use ashgauge::quarantine::{
    Audience, InstanceLoss, LossReport, QUARANTINE_TIME, Quarantine, QuarantinedRequest,
    instance_key, is_safe_run,
};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn lost(digest: Digest, engine: u32) -> InstanceLoss {
    InstanceLoss {
        digest,
        instance: instance_key(&format!("e{engine}"), None),
    }
}

fn report(lost: &[InstanceLoss]) -> LossReport {
    LossReport {
        losses: lost.to_vec(),
        quarantined: Vec::new(),
    }
}

/// Boxes see one loss each, so none alone sees three.
#[test]
fn losses_of_all_boxes_count() {
    let mut boxes = [(); 3].map(|()| Quarantine::default());
    for (n, own) in boxes.iter_mut().enumerate() {
        assert!(!own.record_loss(SECOND, lost(7, n as u32)));
    }
    let reports = boxes.each_ref().map(|b| b.report(SECOND, 0, Audience::All));
    for own in &mut boxes {
        let news: Vec<_> = reports.iter().flat_map(|r| own.merge(SECOND, r)).collect();
        assert_eq!(news, [7]);
        assert_eq!(own.time_left(SECOND, 7), Some(QUARANTINE_TIME));
        assert_eq!(own.time_left(SECOND, 8), None);
    }
}

/// Streams break together with the engine that they are on, and each box tells it.
#[test]
fn one_lost_engine_counts_once() {
    let mut own = Quarantine::default();
    for _ in 0..5 {
        assert!(!own.record_loss(SECOND, lost(7, 1)));
        assert!(
            own.merge(SECOND, &report(&[lost(7, 1), lost(7, 2)]))
                .is_empty()
        );
    }
    assert_eq!(own.time_left(SECOND, 7), None);
    assert!(own.record_loss(SECOND, lost(7, 3)));
}

/// While upstreams are checked, others would be lost to sends of the same request.
#[test]
fn checks_count_until_they_end() {
    let mut own = Quarantine::default();
    own.record_loss(SECOND, lost(7, 1));
    // Streams that break together check one engine at the same time.
    (0..3).for_each(|_| own.begin_check(lost(7, 2)));
    own.begin_check(lost(7, 1));
    assert!(!own.may_be_quarantined(7));
    own.begin_check(lost(7, 3));
    assert!(own.may_be_quarantined(7) && !own.may_be_quarantined(8));
    own.end_check(lost(7, 3));
    assert!(!own.may_be_quarantined(7));
}

/// An engine that starts again under its id is lost once more.
#[test]
fn each_start_of_an_engine_counts() {
    let mut own = Quarantine::default();
    let held = [None, Some(1), Some(2)].map(|born| {
        let start = instance_key("e1", born);
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
fn request_that_ran_well_begins_anew() {
    let mut own = Quarantine::default();
    own.record_loss(SECOND, lost(7, 1));
    own.record_loss(SECOND, lost(7, 2));
    own.clear_losses(7);
    assert!(!own.record_loss(SECOND, lost(7, 3)));
    assert_eq!(own.suspect_count(), 1);
}

#[test]
fn run_is_proven_by_the_time_that_it_brought_events() {
    let first = SECOND;
    assert!(!is_safe_run(first, first + SECOND / 10));
    assert!(is_safe_run(first, first + SECOND / 2));
}

/// Boxes that told each other on for ever what another one had told them would never
/// try the request again.
#[test]
fn hold_lapses_however_often_it_is_told() {
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
fn request_is_held_again_after_its_time() {
    let mut own = Quarantine::default();
    assert!(own.quarantine(SECOND, 7, QUARANTINE_TIME));
    let later = SECOND * 2 + QUARANTINE_TIME;
    assert_eq!(own.time_left(later, 7), None);
    let again = [4, 5, 6].map(|n| own.record_loss(later, lost(7, n)));
    assert_eq!(again, [false, false, true]);
    assert_eq!(own.time_left(later, 7), Some(QUARANTINE_TIME));
}

/// A box tells only so many at a time; those that started late must hear of all.
#[test]
fn all_held_requests_are_told_in_turns() {
    let (mut own, mut other) = (Quarantine::default(), Quarantine::default());
    for digest in 0..100 {
        own.quarantine(SECOND, digest, QUARANTINE_TIME);
    }
    for turn in 0..8 {
        other.merge(SECOND, &own.report(SECOND, turn, Audience::All));
    }
    assert_eq!(other.quarantined(SECOND).len(), 100);
}

/// A caller can make any number of bodies; what is known of most must not grow with it,
/// nor be pushed out by those that came once.
#[test]
fn memory_is_bounded_and_keeps_those_lost_most() {
    let mut own = Quarantine::default();
    own.record_loss(SECOND, lost(7, 1));
    own.record_loss(SECOND, lost(7, 2));
    for digest in 100..6_100 {
        own.record_loss(SECOND * 2, lost(digest, 1));
    }
    assert!(own.suspect_count() <= 4096, "{}", own.suspect_count());
    assert!(own.record_loss(SECOND * 3, lost(7, 3)));
    for digest in 0..6_000 {
        own.quarantine(SECOND, digest, QUARANTINE_TIME);
    }
    assert!(own.quarantined(SECOND).len() <= 4096);
}

/// What nobody should tell must not hold anything for ever.
#[test]
fn hold_that_is_told_is_bounded() {
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
    /// Reports come late, twice and in any order; all boxes come to the same.
    #[test]
    fn order_of_reports_does_not_matter(
        losses in prop::collection::vec((0u64..4, 0u32..5), 1..20),
        order in Just((0..40usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let losses: Vec<InstanceLoss> = losses.into_iter().map(|(d, e)| lost(d, e)).collect();
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

    /// No request is held back under which fewer than three starts were lost.
    #[test]
    fn fewer_losses_hold_nothing_back(
        losses in prop::collection::vec((0u64..50, 0u32..2), 0..200),
    ) {
        let mut own = Quarantine::default();
        for (digest, engine) in losses {
            prop_assert!(!own.record_loss(SECOND, lost(digest, engine)));
        }
        prop_assert!(own.quarantined(SECOND).is_empty());
    }
}

/// In a large fleet boxes hear of each other by hubs only.
#[test]
fn hub_hands_on_what_its_boxes_lose() {
    let mut hubs = [Quarantine::default(), Quarantine::default()];
    let mut leaf = Quarantine::default();
    let losses = [lost(7, 1), lost(7, 2), lost(7, 3)];
    let told = report(&losses);
    assert!(hubs[0].forward(SECOND, &told, Audience::All));
    // The other hub tells its boxes, and no hub.
    let told = hubs[0].report(SECOND, 0, Audience::All);
    assert!(hubs[1].forward(SECOND, &told, Audience::Leaves));
    assert!(hubs[1].report(SECOND, 0, Audience::All).is_empty());
    leaf.merge(SECOND, &hubs[1].report(SECOND, 0, Audience::Leaves));
    assert!(leaf.time_left(SECOND, 7).is_some());
    // What goes round ends.
    assert!(!hubs[1].forward(SECOND, &told, Audience::Leaves));
}
