//! What upstreams say of themselves in their answers, and how long that holds.
//!
//! It is the upstream's own word to this box, newer than its entry in the store, so no
//! change of the entry takes it back.

use std::collections::HashMap;
use std::time::Duration;

use crate::member::UpstreamId;

/// How long a notice is kept after its upstream's entry is gone. Entries lapse in an
/// outage of the store though their upstreams live, and come back after it.
const KEEP_TIME: Duration = Duration::from_secs(600);

/// What one upstream said.
///
/// # Example
///
/// ```
/// use ashgauge::notice::Notice;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut notice = Notice::default();
/// notice.note_rest(second, second * 3);
/// assert_eq!(notice.rest(second * 2), Some(second * 2));
/// assert_eq!(notice.rest(second * 4), None);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    leaving: bool,
    /// Until when it wants nothing from this box.
    rest: Option<Duration>,
}

/// Notices of upstreams that have no entry.
#[derive(Clone, Debug, Default)]
pub struct Absent {
    kept: HashMap<UpstreamId, Kept>,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    /// The start that it is of, if that is known.
    born: Option<u64>,
    notice: Notice,
    until: Duration,
}

impl Notice {
    /// Notes that the upstream is leaving; returns true if that is new.
    pub fn note_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Notes that the upstream wants nothing from this box for so long. A shorter rest
    /// does not end a longer one.
    pub fn note_rest(&mut self, now: Duration, rest: Duration) {
        self.rest = self.rest.max(Some(now.saturating_add(rest)));
    }

    /// Whether the upstream is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// How much longer the upstream wants nothing from this box.
    pub fn rest(&self, now: Duration) -> Option<Duration> {
        let left = self.rest?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// What still holds once the upstream has started anew. The answer that asked for
    /// rest may be of the new start, as entries come later than answers.
    pub fn after_start(self) -> Self {
        Notice {
            leaving: false,
            ..self
        }
    }
}

impl Absent {
    /// Keeps the notice of an upstream whose entry is gone.
    pub fn keep(&mut self, now: Duration, id: &str, born: Option<u64>, notice: Notice) {
        self.kept.retain(|_, k| now < k.until);
        if notice == Notice::default() {
            return;
        }
        let until = now + KEEP_TIME;
        let kept = Kept {
            born,
            notice,
            until,
        };
        self.kept.insert(id.into(), kept);
    }

    /// Changes the notice of an upstream that answers though it has no entry.
    pub fn change<T>(
        &mut self,
        now: Duration,
        id: &str,
        change: impl FnOnce(&mut Notice) -> T,
    ) -> T {
        let known = self.kept.remove(id);
        let (born, mut notice) = known.map_or_else(Default::default, |k| (k.born, k.notice));
        let result = change(&mut notice);
        self.keep(now, id, born, notice);
        result
    }

    /// Takes back the notice of an upstream whose entry comes.
    pub fn take(&mut self, id: &str, born: Option<u64>) -> Notice {
        match self.kept.remove(id) {
            Some(k) if k.born.is_none() || k.born == born => k.notice,
            Some(k) => k.notice.after_start(),
            None => Notice::default(),
        }
    }

    /// Number of notices kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}
