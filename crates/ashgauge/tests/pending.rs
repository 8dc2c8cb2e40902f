//! Ranges that were ordered and do not show yet.

use std::time::Duration;

use ashgauge::pending::PendingAssignments;
use ashgauge::placement::Assignment;
use ashgauge::upstream::LayerRange;

const SECOND: Duration = Duration::from_secs(1);

fn range(id: &str, first: u32, end: u32) -> Assignment {
    Assignment {
        id: id.into(),
        layers: LayerRange { first, end },
    }
}

/// Each round gave the ranges of earlier ones their whole time anew. While
/// rounds followed each other, an engine that was lost over its order, or
/// forgot it, was never given another.
#[test]
fn range_that_is_told_on_and_on_lapses_in_its_time() {
    let mut boxes = [PendingAssignments::default(), PendingAssignments::default()];
    boxes[0].add(Duration::ZERO, &[range("e1", 0, 4)], SECOND * 5);
    for second in 1..5 {
        let now = SECOND * second;
        let told = boxes[(second as usize + 1) % 2].snapshot(now);
        boxes[second as usize % 2].merge(now, &told);
        boxes.iter_mut().for_each(|b| b.expire(now));
    }
    assert!(boxes.iter().all(|b| b.layers("e1").is_some()));
    boxes.iter_mut().for_each(|b| b.expire(SECOND * 5));
    assert!(boxes.iter().all(|b| b.layers("e1").is_none()));
}

#[test]
fn own_order_goes_before_what_others_tell() {
    let mut old = PendingAssignments::default();
    old.add(Duration::ZERO, &[range("e1", 0, 4)], SECOND * 5);
    let mut own = PendingAssignments::default();
    own.add(SECOND, &[range("e1", 8, 12)], SECOND * 5);
    own.merge(SECOND, &old.snapshot(SECOND));
    assert_eq!(own.layers("e1"), Some(LayerRange { first: 8, end: 12 }));
}

#[test]
fn range_that_shows_is_no_longer_waited_for() {
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
