//! What is known of the limits that upstreams name.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ident::{self, UpstreamKey};

/// Least rate that is kept to, in requests a second. Only an answer tells that an
/// upstream takes more, so one that takes nothing is still asked now and then.
const RATE_LEAST: f64 = 0.05;

/// How long it is told that an upstream names no limit any more; words of those that
/// have not heard of it come until then.
const ENDED_TIME: Duration = Duration::from_secs(10);

/// How long a limit is kept that no answer has named again. Entries lapse though their
/// upstreams live, and come back; one that is gone for good is forgotten then.
const NAMED_TIME: Duration = Duration::from_secs(600);

/// Change of a rate, as a share, that is worth a line.
const NEWS_SHARE: f64 = 0.01;

/// Least time between two lines on limits that cannot be read.
const COMPLAIN_EVERY: Duration = Duration::from_secs(1);

/// Upstreams of which a word tells at most, so that it fits in a datagram with the loads.
const TOLD_MOST: usize = 1000;

/// What a box tells the others of one upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The upstream.
    pub key: UpstreamKey,
    /// Requests a second that it takes from all boxes; none if it names no limit any more.
    pub rate: Option<f32>,
    /// Milliseconds since it was first known to name one.
    pub since_ms: u32,
    /// Milliseconds since an answer last said so.
    pub age_ms: u32,
}

impl Told {
    /// Time for which the upstream has named a limit.
    pub fn known_for(&self) -> Duration {
        Duration::from_millis(self.since_ms.into())
    }
}

/// Requests a second that upstreams take; none of one that names no limit any more.
pub type Rates = BTreeMap<UpstreamKey, Option<f64>>;

/// What is known of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Known {
    rate: Option<f64>,
    since: Duration,
    /// As of when.
    at: Duration,
}

/// Limits that upstreams named, by their own answers and the other boxes' words. Of two
/// that contradict each other the later one holds.
///
/// # Example
///
/// ```
/// use ashgauge::permit::Limits;
/// use std::time::Duration;
///
/// let ms = Duration::from_millis;
/// let mut limits = Limits::default();
/// assert!(limits.note(ms(100), "e1", ms(50), Some(6.3)));
/// // This answer may have been made before the limit was named.
/// assert!(!limits.note(ms(120), "e1", ms(90), None));
/// assert_eq!(limits.rate("e1"), Some(6.3));
/// assert!(limits.note(ms(300), "e1", ms(200), None));
/// assert_eq!(limits.rate("e1"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limits {
    known: HashMap<UpstreamKey, Known>,
    /// When it was last told that one could not be read.
    complained: Option<Duration>,
}

impl Limits {
    /// Notes what an upstream's answer to a request sent at `sent` says; returns whether
    /// that is news.
    pub fn note(&mut self, now: Duration, id: &str, sent: Duration, rate: Option<f64>) -> bool {
        let key = ident::key(id);
        let rate = rate.map(|r| r.max(RATE_LEAST));
        let before = self.known.get(&key).copied();
        if rate.is_none() && before.is_none() {
            return false;
        }
        // It named no limit at some moment since the request went out.
        let at = if rate.is_some() { now } else { sent };
        let since = before.filter(|k| k.rate.is_some()).map_or(now, |k| k.since);
        self.learn(key, Known { rate, since, at })
    }

    /// Whether a limit that cannot be read is worth a line: each answer may bring one.
    pub fn may_complain(&mut self, now: Duration) -> bool {
        let may = self.complained.is_none_or(|at| now >= at + COMPLAIN_EVERY);
        if may {
            self.complained = Some(now);
        }
        may
    }

    /// Takes what another box told; returns the upstreams of which that is news.
    pub fn hear(&mut self, now: Duration, told: &[Told]) -> Vec<UpstreamKey> {
        let ago = |ms: u32| now.saturating_sub(Duration::from_millis(ms.into()));
        let mut news = Vec::new();
        for told in told {
            let known = Known {
                rate: told.rate.map(|r| f64::from(r).max(RATE_LEAST)),
                since: ago(told.since_ms),
                at: ago(told.age_ms),
            };
            let is_sound = known.rate.is_none_or(f64::is_finite);
            if is_sound && self.learn(told.key, known) {
                news.push(told.key);
            }
        }
        news
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Duration) {
        self.known.retain(|_, k| {
            let most = match k.rate {
                Some(_) => NAMED_TIME,
                None => ENDED_TIME,
            };
            now < k.at + most
        });
    }

    /// Requests a second that an upstream takes from all boxes, if it names a limit.
    pub fn rate(&self, id: &str) -> Option<f64> {
        self.rate_of(ident::key(id))
    }

    /// The same by its key.
    pub fn rate_of(&self, key: UpstreamKey) -> Option<f64> {
        self.known.get(&key)?.rate
    }

    /// What is known of one upstream, to tell another box.
    pub fn told_of(&self, now: Duration, key: UpstreamKey) -> Option<Told> {
        self.known.get(&key).map(|known| known.told(now, key))
    }

    /// What to tell the other boxes, ordered by upstream: the latest if there is too much.
    pub fn tell(&self, now: Duration) -> Vec<Told> {
        let told = self.known.iter().map(|(key, known)| known.told(now, *key));
        let mut told: Vec<Told> = told.collect();
        if told.len() > TOLD_MOST {
            told.select_nth_unstable_by_key(TOLD_MOST, |t| t.age_ms);
            told.truncate(TOLD_MOST);
        }
        told.sort_unstable_by_key(|t| t.key);
        told
    }

    /// What holds of each upstream, without its age.
    pub fn rates(&self) -> Rates {
        let rates = self.known.iter();
        rates.map(|(key, known)| (*key, known.rate)).collect()
    }

    /// Upstreams in need.
    pub fn len(&self) -> usize {
        self.known.values().filter(|k| k.rate.is_some()).count()
    }

    /// Whether no upstream is in need.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether it changes what holds.
    fn learn(&mut self, key: UpstreamKey, new: Known) -> bool {
        let Some(old) = self.known.get(&key).copied() else {
            self.known.insert(key, new);
            return new.rate.is_some();
        };
        if new.at <= old.at {
            return false;
        }
        let both_named = old.rate.is_some() && new.rate.is_some();
        let since = if both_named {
            old.since.min(new.since)
        } else {
            new.since
        };
        self.known.insert(key, Known { since, ..new });
        match (old.rate, new.rate) {
            (Some(old), Some(new)) => (new - old).abs() > NEWS_SHARE * old,
            (old, new) => old != new,
        }
    }
}

impl Known {
    fn told(&self, now: Duration, key: UpstreamKey) -> Told {
        let ms = |at: Duration| {
            let age = now.saturating_sub(at).as_millis();
            age.try_into().unwrap_or(u32::MAX)
        };
        Told {
            key,
            rate: self.rate.map(|r| r as f32),
            since_ms: ms(self.since),
            age_ms: ms(self.at),
        }
    }
}
