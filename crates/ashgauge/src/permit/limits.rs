//! What is known of the limits that upstreams name.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ident::{self, UpstreamKey};

/// Least rate that is kept to, in requests a second. Only an answer tells that an
/// upstream takes more, so one that takes nothing is still asked now and then.
const MIN_RATE: f64 = 0.05;

/// How long it is told that an upstream names no limit any more; words of those that
/// have not heard of it come until then.
const REMOVED_TTL: Duration = Duration::from_secs(10);

/// How long a limit is kept that no answer has named again. Entries lapse though their
/// upstreams live, and come back; one that is gone for good is forgotten then.
const LIMIT_TTL: Duration = Duration::from_secs(600);

/// Change of a rate, as a share, that is worth a line.
const MIN_RATE_CHANGE: f64 = 0.01;

/// Least time between two lines on limits that cannot be read.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Upstreams of which a word tells at most, so that it fits in a datagram with the loads.
const MAX_REPORTS: usize = 1000;

/// What a box tells the others of one upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The upstream.
    pub key: UpstreamKey,
    /// Requests a second that it takes from all boxes; none if it names no limit any more.
    pub rate: Option<f32>,
    /// Milliseconds since it was first known to name one.
    pub since_ms: u32,
    /// Milliseconds since an answer last said so.
    pub age_ms: u32,
}

impl LimitReport {
    /// Time for which the upstream has named a limit.
    pub fn limited_for(&self) -> Duration {
        Duration::from_millis(self.since_ms.into())
    }
}

/// Requests a second that upstreams take; none of one that names no limit any more.
pub type LimitRates = BTreeMap<UpstreamKey, Option<f64>>;

/// What is known of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LimitRecord {
    rate: Option<f64>,
    since: Duration,
    /// As of when.
    as_of: Duration,
}

/// Limits that upstreams named, by their own answers and the other boxes' words. Of two
/// that contradict each other the later one holds.
///
/// # Example
///
/// ```
/// use ashgauge::permit::UpstreamLimits;
/// use std::time::Duration;
///
/// let ms = Duration::from_millis;
/// let mut limits = UpstreamLimits::default();
/// assert!(limits.record(ms(100), "e1", ms(50), Some(6.3)));
/// // This answer may have been made before the limit was named.
/// assert!(!limits.record(ms(120), "e1", ms(90), None));
/// assert_eq!(limits.rate("e1"), Some(6.3));
/// assert!(limits.record(ms(300), "e1", ms(200), None));
/// assert_eq!(limits.rate("e1"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimits {
    records: HashMap<UpstreamKey, LimitRecord>,
    /// When it was last told that one could not be read.
    last_logged: Option<Duration>,
}

impl UpstreamLimits {
    /// Notes what an upstream's answer to a request sent at `sent` says; returns whether
    /// that is news.
    pub fn record(&mut self, now: Duration, id: &str, sent: Duration, rate: Option<f64>) -> bool {
        let key = ident::upstream_key(id);
        let rate = rate.map(|r| r.max(MIN_RATE));
        let before = self.records.get(&key).copied();
        if rate.is_none() && before.is_none() {
            return false;
        }
        // It named no limit at some moment since the request went out.
        let at = if rate.is_some() { now } else { sent };
        let since = before.filter(|k| k.rate.is_some()).map_or(now, |k| k.since);
        self.update(
            key,
            LimitRecord {
                rate,
                since,
                as_of: at,
            },
        )
    }

    /// Whether a limit that cannot be read is worth a line: each answer may bring one.
    pub fn should_log(&mut self, now: Duration) -> bool {
        let may = self.last_logged.is_none_or(|at| now >= at + LOG_INTERVAL);
        if may {
            self.last_logged = Some(now);
        }
        may
    }

    /// Takes what another box told; returns the upstreams of which that is news.
    pub fn merge(&mut self, now: Duration, told: &[LimitReport]) -> Vec<UpstreamKey> {
        let ago = |ms: u32| now.saturating_sub(Duration::from_millis(ms.into()));
        let mut news = Vec::new();
        for told in told {
            let known = LimitRecord {
                rate: told.rate.map(|r| f64::from(r).max(MIN_RATE)),
                since: ago(told.since_ms),
                as_of: ago(told.age_ms),
            };
            let is_sound = known.rate.is_none_or(f64::is_finite);
            if is_sound && self.update(told.key, known) {
                news.push(told.key);
            }
        }
        news
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Duration) {
        self.records.retain(|_, k| {
            let most = match k.rate {
                Some(_) => LIMIT_TTL,
                None => REMOVED_TTL,
            };
            now < k.as_of + most
        });
    }

    /// Requests a second that an upstream takes from all boxes, if it names a limit.
    pub fn rate(&self, id: &str) -> Option<f64> {
        self.rate_of(ident::upstream_key(id))
    }

    /// The same by its key.
    pub fn rate_of(&self, key: UpstreamKey) -> Option<f64> {
        self.records.get(&key)?.rate
    }

    /// What is known of one upstream, to tell another box.
    pub fn report_of(&self, now: Duration, key: UpstreamKey) -> Option<LimitReport> {
        self.records.get(&key).map(|known| known.report(now, key))
    }

    /// What to tell the other boxes, ordered by upstream: the latest if there is too much.
    pub fn reports(&self, now: Duration) -> Vec<LimitReport> {
        let told = self
            .records
            .iter()
            .map(|(key, known)| known.report(now, *key));
        let mut told: Vec<LimitReport> = told.collect();
        if told.len() > MAX_REPORTS {
            told.select_nth_unstable_by_key(MAX_REPORTS, |t| t.age_ms);
            told.truncate(MAX_REPORTS);
        }
        told.sort_unstable_by_key(|t| t.key);
        told
    }

    /// What holds of each upstream, without its age.
    pub fn rates(&self) -> LimitRates {
        let rates = self.records.iter();
        rates.map(|(key, known)| (*key, known.rate)).collect()
    }

    /// Upstreams in need.
    pub fn len(&self) -> usize {
        self.records.values().filter(|k| k.rate.is_some()).count()
    }

    /// Whether no upstream is in need.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether it changes what holds.
    fn update(&mut self, key: UpstreamKey, new: LimitRecord) -> bool {
        let Some(old) = self.records.get(&key).copied() else {
            self.records.insert(key, new);
            return new.rate.is_some();
        };
        if new.as_of <= old.as_of {
            return false;
        }
        let both_named = old.rate.is_some() && new.rate.is_some();
        let since = if both_named {
            old.since.min(new.since)
        } else {
            new.since
        };
        self.records.insert(key, LimitRecord { since, ..new });
        match (old.rate, new.rate) {
            (Some(old), Some(new)) => (new - old).abs() > MIN_RATE_CHANGE * old,
            (old, new) => old != new,
        }
    }
}

impl LimitRecord {
    fn report(&self, now: Duration, key: UpstreamKey) -> LimitReport {
        let ms = |at: Duration| {
            let age = now.saturating_sub(at).as_millis();
            age.try_into().unwrap_or(u32::MAX)
        };
        LimitReport {
            key,
            rate: self.rate.map(|r| r as f32),
            since_ms: ms(self.since),
            age_ms: ms(self.as_of),
        }
    }
}
