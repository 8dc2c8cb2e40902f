//! What upstreams say of themselves in their answers, and how long that holds.
//!
//! It is the upstream's own word to this box, newer than its entry in the store, so no
//! change of the entry takes it back.

use std::collections::HashMap;
use std::time::Duration;

use crate::member::UpstreamId;

/// How long a notice is kept after its upstream's entry is gone. Entries lapse in an
/// outage of the store though their upstreams live, and come back after it.
const NOTICE_TTL: Duration = Duration::from_secs(600);

/// What one upstream said.
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
    /// Until when it wants nothing from this box.
    backoff_until: Option<Duration>,
}

/// Notices of upstreams that have no entry.
#[derive(Clone, Debug, Default)]
pub struct AbsentNotices {
    notices: HashMap<UpstreamId, KeptNotice>,
}

#[derive(Clone, Copy, Debug)]
struct KeptNotice {
    /// The start that it is of, if that is known.
    started_ms: Option<u64>,
    notice: UpstreamNotice,
    until: Duration,
}

impl UpstreamNotice {
    /// Notes that the upstream is leaving; returns true if that is new.
    pub fn set_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Notes that the upstream wants nothing from this box for so long. A shorter rest
    /// does not end a longer one.
    pub fn extend_backoff(&mut self, now: Duration, rest: Duration) {
        self.backoff_until = self.backoff_until.max(Some(now.saturating_add(rest)));
    }

    /// Whether the upstream is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// How much longer the upstream wants nothing from this box.
    pub fn backoff(&self, now: Duration) -> Option<Duration> {
        let left = self.backoff_until?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// What still holds once the upstream has started anew. The answer that asked for
    /// rest may be of the new start, as entries come later than answers.
    pub fn after_restart(self) -> Self {
        UpstreamNotice {
            leaving: false,
            ..self
        }
    }
}

impl AbsentNotices {
    /// Keeps the notice of an upstream whose entry is gone.
    pub fn insert(&mut self, now: Duration, id: &str, born: Option<u64>, notice: UpstreamNotice) {
        self.notices.retain(|_, k| now < k.until);
        if notice == UpstreamNotice::default() {
            return;
        }
        let until = now + NOTICE_TTL;
        let kept = KeptNotice {
            started_ms: born,
            notice,
            until,
        };
        self.notices.insert(id.into(), kept);
    }

    /// Changes the notice of an upstream that answers though it has no entry.
    pub fn update<T>(
        &mut self,
        now: Duration,
        id: &str,
        change: impl FnOnce(&mut UpstreamNotice) -> T,
    ) -> T {
        let known = self.notices.remove(id);
        let (born, mut notice) = known.map_or_else(Default::default, |k| (k.started_ms, k.notice));
        let result = change(&mut notice);
        self.insert(now, id, born, notice);
        result
    }

    /// Takes back the notice of an upstream whose entry comes.
    pub fn remove(&mut self, id: &str, born: Option<u64>) -> UpstreamNotice {
        match self.notices.remove(id) {
            Some(k) if k.started_ms.is_none() || k.started_ms == born => k.notice,
            Some(k) => k.notice.after_restart(),
            None => UpstreamNotice::default(),
        }
    }

    /// Number of notices kept.
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }
}
