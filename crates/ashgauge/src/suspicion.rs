//! Engines that accept no connections, and what boxes tell each other of them.
//!
//! A box that finds such an engine notifies the others, which check it with connections of
//! their own. Nothing here makes an engine suspect: a box that is cut off from an engine
//! must not make others abandon it.

use std::collections::HashMap;
use std::time::Duration;

use crate::quarantine::{Audience, InstanceKey};

/// How long an engine that was told of is not told of again, and one that was checked is
/// not checked again for another box's report. Each box thus connects at most twice a
/// second to an engine that others falsely report.
pub const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Engines in one notification: 170 bytes or so.
pub const MAX_SUSPECTS_SENT: usize = 32;

/// Engines of which something is kept, at 40 bytes or so each.
pub const MAX_ENTRIES: usize = 256;

/// Checks of reported engines that are under way at one time.
pub const MAX_CHECKS: usize = 8;

/// What a box has sent, forwarded and checked a moment ago, by engine.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::quarantine::{instance_key, Audience};
/// use ashgauge::suspicion::SuspectReports;
///
/// let now = Duration::from_secs(1);
/// let lost = instance_key("e1", None);
/// let mut suspicions = SuspectReports::default();
/// assert!(suspicions.record_found(now, lost));
/// assert_eq!(suspicions.take_pending(now), [(lost, Audience::All)]);
/// // It was reported.
/// assert!(!suspicions.record_found(now, lost));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SuspectReports {
    entries: HashMap<InstanceKey, Entry>,
    active_checks: usize,
}

/// What was done about one start of an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// When this box found it, or first heard of it from another.
    reported: Option<Duration>,
    /// Whom to tell of it, until that is done.
    pending: Option<Audience>,
    /// When it was last checked for another box's report.
    checked: Option<Duration>,
}

impl SuspectReports {
    /// Notes an engine that this box found to accept no connections; returns whether there
    /// is something to send. One that another box has just told of is known to all.
    pub fn record_found(&mut self, now: Duration, start: InstanceKey) -> bool {
        self.record_entry(now, start, Some(Audience::All))
    }

    /// Notes that another box has told of an engine; returns whether there is something to
    /// forward to `audience`.
    pub fn record_report(
        &mut self,
        now: Duration,
        start: InstanceKey,
        audience: Option<Audience>,
    ) -> bool {
        self.record_entry(now, start, audience)
    }

    /// Takes out what is to be sent now, the oldest first; at most [`MAX_SUSPECTS_SENT`].
    pub fn take_pending(&mut self, now: Duration) -> Vec<(InstanceKey, Audience)> {
        self.expire(now);
        let waiting = self.entries.iter();
        let waiting = waiting.filter_map(|(start, e)| Some((e.reported?, *start, e.pending?)));
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort_unstable_by_key(|(told, start, _)| (*told, *start));
        waiting.truncate(MAX_SUSPECTS_SENT);
        let told = waiting.into_iter().map(|(_, start, to)| (start, to));
        let told: Vec<_> = told.collect();
        for (start, _) in &told {
            if let Some(entry) = self.entries.get_mut(start) {
                entry.pending = None;
            }
        }
        told
    }

    /// Begins a check of an engine that another box has told of, if there was none for
    /// [`MIN_REPEAT_INTERVAL`], few others are under way and `has_budget`, which is asked last.
    /// Each check that begins must be ended by [`SuspectReports::end_check`].
    pub fn begin_check(
        &mut self,
        now: Duration,
        start: InstanceKey,
        has_budget: impl FnOnce() -> bool,
    ) -> bool {
        if self.active_checks >= MAX_CHECKS {
            return false;
        }
        let Some(entry) = self.entry(now, start) else {
            return false;
        };
        if is_recent(now, entry.checked) || !has_budget() {
            return false;
        }
        entry.checked = Some(now);
        self.active_checks += 1;
        true
    }

    /// Notes that a check has ended.
    pub fn end_check(&mut self) {
        self.active_checks = self.active_checks.saturating_sub(1);
    }

    /// Checks that are under way.
    pub fn active_checks(&self) -> usize {
        self.active_checks
    }

    /// Engines of which something is kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn record_entry(
        &mut self,
        now: Duration,
        start: InstanceKey,
        audience: Option<Audience>,
    ) -> bool {
        let Some(entry) = self.entry(now, start) else {
            return false;
        };
        if is_recent(now, entry.reported) {
            return false;
        }
        entry.reported = Some(now);
        entry.pending = audience;
        audience.is_some()
    }

    /// The entry of an engine; none if there are too many others. Those that are there are
    /// not dropped for it: whoever reports many engines would have each told of anew.
    fn entry(&mut self, now: Duration, start: InstanceKey) -> Option<&mut Entry> {
        self.expire(now);
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&start) {
            return None;
        }
        Some(self.entries.entry(start).or_default())
    }

    /// Drops what was done too long ago to count. What is still to be sent by then comes
    /// too late to be of use.
    fn expire(&mut self, now: Duration) {
        self.entries
            .retain(|_, e| is_recent(now, e.reported) || is_recent(now, e.checked));
    }
}

fn is_recent(now: Duration, at: Option<Duration>) -> bool {
    at.is_some_and(|at| now < at + MIN_REPEAT_INTERVAL)
}
