//! How sure a box may be of what it read last.

use std::collections::BTreeSet;
use std::time::Duration;

/// Revisions kept while one before them is missing.
const MAX_PENDING_REVISIONS: usize = 4096;

/// Time since a box's start within which others inform it, also where all boxes of a
/// large fleet start together.
const STARTUP_GRACE: Duration = Duration::from_millis(1500);

/// How long a request waits for a box that started `uptime` ago and knows nothing
/// yet.
///
/// Callers whose first try was cut when all boxes were lost have one more, which a
/// refusal would use up. A box that knows nothing after that time may never, and
/// refuses at once.
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

/// Age of a box's knowledge, counted from before it asked for it.
///
/// A store's answer shows the state at some moment between the question and
/// the answer, so only the moment of the question may be counted from. The
/// clock must go on while the process stands still.
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
    /// Makes one that holds for `most` after a question that was answered.
    pub fn new(most: Duration) -> Self {
        Freshness {
            max_age: most,
            asked_at: None,
        }
    }

    /// Changes how long it holds.
    pub fn set_max_age(&mut self, most: Duration) {
        self.max_age = most;
    }

    /// Notes that a question asked at `asked` was answered.
    pub fn confirm(&mut self, asked: Duration) {
        self.asked_at = self.asked_at.max(Some(asked));
    }

    /// Whether what is known may still be acted on at `now`.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= self.max_age)
    }

    /// Time since the last answered question; `None` before the first.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.asked_at.map(|at| now.saturating_sub(at))
    }
}

/// Which of a store's revisions a box has read.
///
/// A store counts all its changes in one number. Watches bring some of them;
/// a number that none brought may be a change that a watch has missed.
///
/// # Example
///
/// ```
/// use ashgauge::freshness::RevisionTracker;
///
/// let mut ledger = RevisionTracker::default();
/// ledger.mark_read_to(10);
/// ledger.mark_read(12);
/// assert!(!ledger.covers(12));
/// ledger.mark_read(11);
/// assert!(ledger.covers(12));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RevisionTracker {
    base: u64,
    pending: BTreeSet<u64>,
}

impl RevisionTracker {
    /// Notes that everything up to `revision` was read.
    pub fn mark_read_to(&mut self, revision: u64) {
        self.base = self.base.max(revision);
        self.absorb_pending();
    }

    /// Notes that the change with this number was read.
    pub fn mark_read(&mut self, revision: u64) {
        if revision > self.base && self.pending.len() < MAX_PENDING_REVISIONS {
            self.pending.insert(revision);
        }
        self.absorb_pending();
    }

    /// Whether every change up to `revision` was read.
    pub fn covers(&self, revision: u64) -> bool {
        revision <= self.base
    }

    /// Revision up to which every change was read.
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
