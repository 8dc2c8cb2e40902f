//! Layer ranges that were assigned to engines but are not listed yet.

use std::time::Duration;

use ashgauge::pending::{ANNOUNCE_LAG, OrderState, PendingAssignments};
use ashgauge::placement::Assignment;
use ashgauge::upstream::LayerRange;

const SECOND: Duration = Duration::from_secs(1);

fn range(id: &str, first: u32, end: u32) -> Assignment {
    Assignment {
        id: id.into(),
        layers: LayerRange { first, end },
    }
}

/// Guards against rounds that extend the expiry of ranges of earlier rounds. While rounds
/// followed each other, an engine that was lost with its order, or had forgotten it, never
/// got another one.
#[test]
fn range_that_is_passed_on_expires_in_time() {
    let mut boxes = [PendingAssignments::default(), PendingAssignments::default()];
    boxes[0].add(Duration::ZERO, &[range("e1", 0, 4)], SECOND * 5);
    for second in 1..5 {
        let now = SECOND * second;
        let snapshot = boxes[(second as usize + 1) % 2].snapshot(now);
        boxes[second as usize % 2].merge(now, &snapshot);
        boxes.iter_mut().for_each(|b| b.expire(now));
    }
    assert!(boxes.iter().all(|b| b.layers("e1").is_some()));
    boxes.iter_mut().for_each(|b| b.expire(SECOND * 5));
    assert!(boxes.iter().all(|b| b.layers("e1").is_none()));
}

#[test]
fn own_order_overrides_those_of_others() {
    let mut old = PendingAssignments::default();
    old.add(Duration::ZERO, &[range("e1", 0, 4)], SECOND * 5);
    let mut own = PendingAssignments::default();
    own.add(SECOND, &[range("e1", 8, 12)], SECOND * 5);
    own.merge(SECOND, &old.snapshot(SECOND));
    assert_eq!(own.layers("e1"), Some(LayerRange { first: 8, end: 12 }));
}

#[test]
fn listed_range_is_no_longer_pending() {
    let mut pending = PendingAssignments::default();
    pending.add(
        Duration::ZERO,
        &[range("e1", 0, 4), range("e2", 4, 8)],
        SECOND,
    );
    pending.retain(|id, _| id != "e1");
    assert_eq!(pending.layers("e1"), None);
    assert!(pending.layers("e2").is_some());
}

/// An engine that has carried out its order announces the layers a moment later.
#[test]
fn idle_engine_has_time_to_announce() {
    let mut pending = PendingAssignments::default();
    pending.adopt(Duration::ZERO, &[range("e1", 0, 4)], SECOND * 30);
    assert!(pending.due_checks(SECOND).is_empty());
    assert!(!pending.observe(SECOND * 2, "e1", OrderState::Idle));
    let almost = SECOND * 2 + ANNOUNCE_LAG - Duration::from_millis(1);
    assert!(!pending.observe(almost, "e1", OrderState::Idle));
    assert!(pending.observe(SECOND * 2 + ANNOUNCE_LAG, "e1", OrderState::Idle));
}

/// Guards against another order to an engine that still carries one out, for longer than loading
/// takes.
#[test]
fn busy_engine_stays_pending() {
    let mut pending = PendingAssignments::default();
    pending.add(Duration::ZERO, &[range("e1", 0, 4)], SECOND * 9);
    for second in 0..30 {
        let now = SECOND * second;
        for id in pending.due_checks(now) {
            pending.postpone_check(now, &id);
            assert!(!pending.observe(now, &id, OrderState::Busy));
        }
        pending.expire(now);
        assert!(pending.layers("e1").is_some(), "after {second} s");
    }
}
