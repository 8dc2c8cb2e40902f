//! Notices that upstreams give in their answers, and how long these hold.
//!
//! A notice comes from the upstream itself and is newer than its entry in the store, so
//! changes of the entry do not revoke it.

use std::collections::HashMap;
use std::time::Duration;

use crate::member::UpstreamId;

/// How long a notice is kept after the upstream's entry has gone. Entries expire in an
/// outage of the store although their upstreams live, and return after it.
const NOTICE_TTL: Duration = Duration::from_secs(600);

/// Notices of one upstream.
///
/// # Example
///
/// ```
/// use ashgauge::notice::UpstreamNotice;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut notice = UpstreamNotice::default();
/// notice.extend_backoff(second, second * 3);
/// assert_eq!(notice.backoff(second * 2), Some(second * 2));
/// assert_eq!(notice.backoff(second * 4), None);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamNotice {
    leaving: bool,
    /// End of the time in which it accepts no requests from this box.
    backoff_until: Option<Duration>,
}

/// Notices of upstreams without an entry.
#[derive(Clone, Debug, Default)]
pub struct AbsentNotices {
    notices: HashMap<UpstreamId, KeptNotice>,
}

#[derive(Clone, Copy, Debug)]
struct KeptNotice {
    /// Start of the upstream's process that gave the notice, if known.
    started_ms: Option<u64>,
    notice: UpstreamNotice,
    until: Duration,
}

impl UpstreamNotice {
    /// Records that the upstream is leaving; returns whether that is new.
    pub fn set_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records that the upstream accepts no requests from this box for `duration`. A shorter
    /// backoff does not end a longer one.
    pub fn extend_backoff(&mut self, now: Duration, duration: Duration) {
        self.backoff_until = self.backoff_until.max(Some(now.saturating_add(duration)));
    }

    /// Returns whether the upstream is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns how much longer the upstream accepts no requests from this box.
    pub fn backoff(&self, now: Duration) -> Option<Duration> {
        let left = self.backoff_until?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns what still holds after a restart of the upstream. The backoff is kept: the
    /// answer that requested it may already come from the new process, as entries arrive
    /// later than answers.
    pub fn after_restart(self) -> Self {
        UpstreamNotice {
            leaving: false,
            ..self
        }
    }
}

impl AbsentNotices {
    /// Keeps the notice of an upstream whose entry has gone.
    pub fn insert(
        &mut self,
        now: Duration,
        id: &str,
        started_ms: Option<u64>,
        notice: UpstreamNotice,
    ) {
        self.notices.retain(|_, k| now < k.until);
        if notice == UpstreamNotice::default() {
            return;
        }
        let until = now + NOTICE_TTL;
        let kept = KeptNotice {
            started_ms,
            notice,
            until,
        };
        self.notices.insert(id.into(), kept);
    }

    /// Changes the notice of an upstream that answers although it has no entry.
    pub fn update<T>(
        &mut self,
        now: Duration,
        id: &str,
        change: impl FnOnce(&mut UpstreamNotice) -> T,
    ) -> T {
        let kept = self.notices.remove(id);
        let (started_ms, mut notice) =
            kept.map_or_else(Default::default, |k| (k.started_ms, k.notice));
        let result = change(&mut notice);
        self.insert(now, id, started_ms, notice);
        result
    }

    /// Removes and returns the notice of an upstream whose entry arrives.
    pub fn remove(&mut self, id: &str, started_ms: Option<u64>) -> UpstreamNotice {
        match self.notices.remove(id) {
            Some(k) if k.started_ms.is_none() || k.started_ms == started_ms => k.notice,
            Some(k) => k.notice.after_restart(),
            None => UpstreamNotice::default(),
        }
    }

    /// Returns the number of notices.
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    /// Returns whether there are no notices.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }
}
