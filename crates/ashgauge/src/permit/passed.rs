//! Boxes that are passed over, as they do not answer.

use std::collections::HashMap;
use std::time::Duration;

use crate::ident::BoxId;

/// Asks in a row without an answer after which a box is passed over: one datagram may be
/// lost, and a box that is only slow must not count as gone.
const MISSES_MOST: u32 = 2;

/// How long it is passed over before it is asked again; doubled each time.
const PASS_FIRST: Duration = Duration::from_secs(1);

/// Longest time for which it is passed over: boxes that are gone for good stay listed, and
/// one that comes back is needed again.
const PASS_MOST: Duration = Duration::from_secs(4);

/// Boxes that did not answer lately.
///
/// # Example
///
/// ```
/// use ashgauge::permit::Passed;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut passed = Passed::default();
/// passed.miss(second, &"b1".into());
/// assert!(!passed.holds(second, "b1"));
/// passed.miss(second, &"b1".into());
/// assert!(passed.holds(second, "b1"));
/// assert!(!passed.holds(second * 2, "b1"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Passed {
    boxes: HashMap<BoxId, Misses>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Misses {
    count: u32,
    /// How long it was passed over last.
    time: Duration,
    until: Duration,
}

impl Passed {
    /// Notes that a box did not answer.
    pub fn miss(&mut self, now: Duration, id: &BoxId) {
        let misses = self.boxes.entry(id.clone()).or_default();
        misses.count += 1;
        if misses.count >= MISSES_MOST {
            misses.time = (misses.time * 2).clamp(PASS_FIRST, PASS_MOST);
            misses.until = now + misses.time;
        }
    }

    /// Notes that a box answered.
    pub fn clear(&mut self, id: &str) {
        self.boxes.remove(id);
    }

    /// Whether a box is passed over.
    pub fn holds(&self, now: Duration, id: &str) -> bool {
        self.boxes.get(id).is_some_and(|m| now < m.until)
    }
}
