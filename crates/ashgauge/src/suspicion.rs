//! Engines that accept no connections, and the reports on them between boxes.
//!
//! A box that finds such an engine notifies the others, which check it with connections
//! of their own. Nothing here makes an engine suspect: a box that is cut off from an
//! engine must not make others abandon it.

use std::collections::HashMap;
use std::time::Duration;

use crate::quarantine::{Audience, InstanceKey};

/// Time in which an engine is not reported again, and is not checked again for another
/// box's report. Each box thus connects at most twice a second to an engine that others
/// falsely report.
pub const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Largest number of engines in one notification, which is then about 170 bytes.
pub const MAX_SUSPECTS_SENT: usize = 32;

/// Largest number of engines with an entry, at about 40 bytes each.
pub const MAX_ENTRIES: usize = 256;

/// Largest number of concurrent checks of reported engines.
pub const MAX_CHECKS: usize = 8;

/// Engines that a box has reported, forwarded or checked recently.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::quarantine::{instance_key, Audience};
/// use ashgauge::suspicion::SuspectReports;
///
/// let now = Duration::from_secs(1);
/// let instance = instance_key("e1", None);
/// let mut reports = SuspectReports::default();
/// assert!(reports.record_found(now, instance));
/// assert_eq!(reports.take_pending(now), [(instance, Audience::All)]);
/// // It was already reported.
/// assert!(!reports.record_found(now, instance));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SuspectReports {
    entries: HashMap<InstanceKey, Entry>,
    active_checks: usize,
}

/// State of one instance of an engine, which is one run of its process.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Time at which this box found it, or first received a report on it.
    reported: Option<Duration>,
    /// Boxes that are still to be notified.
    pending: Option<Audience>,
    /// Time of the last check for another box's report.
    checked: Option<Duration>,
}

impl SuspectReports {
    /// Records that this box found an engine that accepts no connections; returns whether
    /// there is something to send. If another box has just reported it, all boxes know
    /// already.
    pub fn record_found(&mut self, now: Duration, instance: InstanceKey) -> bool {
        self.record_entry(now, instance, Some(Audience::All))
    }

    /// Records another box's report of an engine; returns whether there is something to
    /// forward to `audience`.
    pub fn record_report(
        &mut self,
        now: Duration,
        instance: InstanceKey,
        audience: Option<Audience>,
    ) -> bool {
        self.record_entry(now, instance, audience)
    }

    /// Takes the reports that are to be sent now, the oldest first; at most
    /// [`MAX_SUSPECTS_SENT`].
    pub fn take_pending(&mut self, now: Duration) -> Vec<(InstanceKey, Audience)> {
        self.expire(now);
        let pending = self.entries.iter();
        let pending =
            pending.filter_map(|(instance, e)| Some((e.reported?, *instance, e.pending?)));
        let mut pending: Vec<_> = pending.collect();
        pending.sort_unstable_by_key(|(reported, instance, _)| (*reported, *instance));
        pending.truncate(MAX_SUSPECTS_SENT);
        let taken = pending
            .into_iter()
            .map(|(_, instance, audience)| (instance, audience));
        let taken: Vec<_> = taken.collect();
        for (instance, _) in &taken {
            if let Some(entry) = self.entries.get_mut(instance) {
                entry.pending = None;
            }
        }
        taken
    }

    /// Starts a check of an engine that another box has reported. It does so only if
    /// there was none for [`MIN_REPEAT_INTERVAL`], fewer than [`MAX_CHECKS`] are active,
    /// and `has_budget`, which is called last, returns true. Each check that starts must
    /// be ended by [`SuspectReports::end_check`].
    pub fn begin_check(
        &mut self,
        now: Duration,
        instance: InstanceKey,
        has_budget: impl FnOnce() -> bool,
    ) -> bool {
        if self.active_checks >= MAX_CHECKS {
            return false;
        }
        let Some(entry) = self.entry(now, instance) else {
            return false;
        };
        if is_recent(now, entry.checked) || !has_budget() {
            return false;
        }
        entry.checked = Some(now);
        self.active_checks += 1;
        true
    }

    /// Records that a check has ended.
    pub fn end_check(&mut self) {
        self.active_checks = self.active_checks.saturating_sub(1);
    }

    /// Returns the number of active checks.
    pub fn active_checks(&self) -> usize {
        self.active_checks
    }

    /// Returns the number of engines with an entry.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn record_entry(
        &mut self,
        now: Duration,
        instance: InstanceKey,
        audience: Option<Audience>,
    ) -> bool {
        let Some(entry) = self.entry(now, instance) else {
            return false;
        };
        if is_recent(now, entry.reported) {
            return false;
        }
        entry.reported = Some(now);
        entry.pending = audience;
        audience.is_some()
    }

    /// Returns the entry of an engine; `None` if there are too many others. Existing
    /// entries are not dropped for it, since a box that reports many engines could then
    /// have each of them reported again.
    fn entry(&mut self, now: Duration, instance: InstanceKey) -> Option<&mut Entry> {
        self.expire(now);
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&instance) {
            return None;
        }
        Some(self.entries.entry(instance).or_default())
    }

    /// Drops outdated entries. Reports that were not sent by then are too late to be of
    /// use.
    fn expire(&mut self, now: Duration) {
        self.entries
            .retain(|_, e| is_recent(now, e.reported) || is_recent(now, e.checked));
    }
}

fn is_recent(now: Duration, at: Option<Duration>) -> bool {
    at.is_some_and(|at| now < at + MIN_REPEAT_INTERVAL)
}
