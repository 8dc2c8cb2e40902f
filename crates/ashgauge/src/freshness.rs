//! Freshness of what a box has read from the store.

use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum number of revisions that are kept while an earlier one is missing.
const MAX_PENDING_REVISIONS: usize = 4096;

/// Time after a box's start within which other boxes bring it up to date, even if all boxes
/// of a large fleet start at the same time.
const STARTUP_GRACE: Duration = Duration::from_millis(1500);

/// Returns how long a request waits on a box that started `uptime` ago and has no data from
/// the store yet.
///
/// Callers whose first attempt was cut off when all boxes were lost have one more attempt,
/// which a refusal would use up. A box that still has no data after that time may never get
/// any, and refuses at once.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::freshness::startup_wait;
///
/// let ms = Duration::from_millis;
/// assert_eq!(startup_wait(ms(200)), ms(1300));
/// assert_eq!(startup_wait(ms(4000)), Duration::ZERO);
/// ```
pub fn startup_wait(uptime: Duration) -> Duration {
    STARTUP_GRACE.saturating_sub(uptime)
}

/// Age of a box's data, counted from when the box sent the query for it.
///
/// The store's answer shows the state at some time between the query and the answer, so the
/// age must be counted from the query. The clock that is used must not stop while the process
/// is suspended.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::freshness::Freshness;
///
/// let second = Duration::from_secs(1);
/// let mut fresh = Freshness::new(second * 3);
/// assert!(!fresh.is_fresh(second));
/// fresh.confirm(second);
/// assert!(fresh.is_fresh(second * 4));
/// assert!(!fresh.is_fresh(second * 4 + Duration::from_millis(1)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    max_age: Duration,
    asked_at: Option<Duration>,
}

impl Freshness {
    /// Creates a state in which data is fresh for `max_age` after an answered query was sent.
    pub fn new(max_age: Duration) -> Self {
        Freshness {
            max_age,
            asked_at: None,
        }
    }

    /// Changes the maximum age of fresh data.
    pub fn set_max_age(&mut self, max_age: Duration) {
        self.max_age = max_age;
    }

    /// Records that a query sent at `asked_at` was answered.
    pub fn confirm(&mut self, asked_at: Duration) {
        self.asked_at = self.asked_at.max(Some(asked_at));
    }

    /// Returns whether the data may still be used at `now`.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= self.max_age)
    }

    /// Returns when the last answered query was sent; `None` before the first.
    pub fn asked_at(&self) -> Option<Duration> {
        self.asked_at
    }

    /// Returns the time since the last answered query was sent; `None` before the first.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.asked_at.map(|at| now.saturating_sub(at))
    }
}

/// Tracks which of the store's revisions a box has read.
///
/// The store numbers all its changes with one counter. Watches deliver some of the changes; a
/// number that no watch has delivered may be a change that a watch has missed.
///
/// # Example
///
/// ```
/// use ashgauge::freshness::RevisionTracker;
///
/// let mut tracker = RevisionTracker::default();
/// tracker.mark_read_to(10);
/// tracker.mark_read(12);
/// assert!(!tracker.covers(12));
/// tracker.mark_read(11);
/// assert!(tracker.covers(12));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RevisionTracker {
    base: u64,
    pending: BTreeSet<u64>,
}

impl RevisionTracker {
    /// Marks all changes up to `revision` as read.
    pub fn mark_read_to(&mut self, revision: u64) {
        self.base = self.base.max(revision);
        self.absorb_pending();
    }

    /// Marks the change with this number as read.
    pub fn mark_read(&mut self, revision: u64) {
        if revision > self.base && self.pending.len() < MAX_PENDING_REVISIONS {
            self.pending.insert(revision);
        }
        self.absorb_pending();
    }

    /// Returns whether every change up to `revision` was read.
    pub fn covers(&self, revision: u64) -> bool {
        revision <= self.base
    }

    /// Returns the revision up to which every change was read.
    pub fn covered(&self) -> u64 {
        self.base
    }

    fn absorb_pending(&mut self) {
        self.pending = self.pending.split_off(&(self.base + 1));
        while self.pending.remove(&(self.base + 1)) {
            self.base += 1;
        }
    }
}
