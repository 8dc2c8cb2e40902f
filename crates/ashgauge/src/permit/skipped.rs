//! Boxes that are skipped for permit requests because they do not reply.

use std::collections::HashMap;
use std::time::Duration;

use crate::ident::BoxId;

/// Consecutive requests without a reply after which a box is skipped. A datagram may be
/// lost, and a box that is only slow must not count as gone.
const MAX_MISSES: u32 = 2;

/// Time for which a box is skipped at first; it doubles each time.
const INITIAL_SKIP_TIME: Duration = Duration::from_secs(1);

/// Longest time for which a box is skipped. Boxes that are gone for good stay listed, and
/// one that returns is needed again.
const MAX_SKIP_TIME: Duration = Duration::from_secs(4);

/// Boxes that did not reply recently.
///
/// # Example
///
/// ```
/// use ashgauge::permit::SkippedBoxes;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut skipped = SkippedBoxes::default();
/// skipped.record_miss(second, &"b1".into());
/// assert!(!skipped.is_skipped(second, "b1"));
/// skipped.record_miss(second, &"b1".into());
/// assert!(skipped.is_skipped(second, "b1"));
/// assert!(!skipped.is_skipped(second * 2, "b1"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SkippedBoxes {
    boxes: HashMap<BoxId, Misses>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Misses {
    count: u32,
    /// Length of the last time for which the box was skipped.
    skip_time: Duration,
    skipped_until: Duration,
}

impl SkippedBoxes {
    /// Records that a box did not reply.
    pub fn record_miss(&mut self, now: Duration, id: &BoxId) {
        let misses = self.boxes.entry(id.clone()).or_default();
        misses.count += 1;
        if misses.count >= MAX_MISSES {
            misses.skip_time = (misses.skip_time * 2).clamp(INITIAL_SKIP_TIME, MAX_SKIP_TIME);
            misses.skipped_until = now + misses.skip_time;
        }
    }

    /// Records that a box replied.
    pub fn record_reply(&mut self, id: &str) {
        self.boxes.remove(id);
    }

    /// Returns whether a box is skipped.
    pub fn is_skipped(&self, now: Duration, id: &str) -> bool {
        self.boxes.get(id).is_some_and(|m| now < m.skipped_until)
    }
}
