//! Limits that upstreams name.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ident::{self, UpstreamKey};

/// Smallest rate that is enforced, in requests a second. Only an answer shows that an
/// upstream accepts more, so an upstream that accepts nothing is still tried now and
/// then.
const MIN_RATE: f64 = 0.05;

/// How long the removal of a limit is reported. Reports by boxes that have not heard of
/// the removal may arrive until then.
const REMOVED_TTL: Duration = Duration::from_secs(10);

/// How long a limit is kept that no answer has confirmed. Entries of upstreams may expire
/// and return while the upstreams live; a limit of one that is gone for good is dropped
/// then.
const LIMIT_TTL: Duration = Duration::from_secs(600);

/// Smallest change of a rate, as a share, that is logged.
const MIN_RATE_CHANGE: f64 = 0.01;

/// Shortest time between two log lines on limits that cannot be parsed.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Largest number of upstreams in one message, so that it fits into a datagram with the
/// load report.
const MAX_REPORTS: usize = 1000;

/// Report on the limit of one upstream, as boxes exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Upstream.
    pub key: UpstreamKey,
    /// Requests a second that the upstream accepts from all boxes; none if it no longer
    /// names a limit.
    pub rate: Option<f32>,
    /// Milliseconds since the upstream was first known to name a limit.
    pub since_ms: u32,
    /// Milliseconds since an answer last confirmed it.
    pub age_ms: u32,
}

impl LimitReport {
    /// Returns how long the upstream has named a limit.
    pub fn limited_for(&self) -> Duration {
        Duration::from_millis(self.since_ms.into())
    }
}

/// Requests a second that upstreams accept; none for an upstream that no longer names a
/// limit.
pub type LimitRates = BTreeMap<UpstreamKey, Option<f64>>;

/// Knowledge of one upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LimitRecord {
    rate: Option<f64>,
    since: Duration,
    /// Time at which this was known to hold.
    as_of: Duration,
}

/// Limits of upstreams, from their own answers and from other boxes' reports. The newest
/// information counts.
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
/// // This answer may predate the limit.
/// assert!(!limits.record(ms(120), "e1", ms(90), None));
/// assert_eq!(limits.rate("e1"), Some(6.3));
/// assert!(limits.record(ms(300), "e1", ms(200), None));
/// assert_eq!(limits.rate("e1"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimits {
    records: HashMap<UpstreamKey, LimitRecord>,
    /// Time of the last log line on a limit that could not be parsed.
    last_logged: Option<Duration>,
}

impl UpstreamLimits {
    /// Records the limit in an upstream's answer to a request that was sent at `sent`;
    /// returns whether it differs noticeably from what was known.
    pub fn record(&mut self, now: Duration, id: &str, sent: Duration, rate: Option<f64>) -> bool {
        let key = ident::upstream_key(id);
        let rate = rate.map(|r| r.max(MIN_RATE));
        let previous = self.records.get(&key).copied();
        if rate.is_none() && previous.is_none() {
            return false;
        }
        // The upstream named no limit at some moment since the request was sent.
        let as_of = if rate.is_some() { now } else { sent };
        let since = previous
            .filter(|record| record.rate.is_some())
            .map_or(now, |record| record.since);
        self.update(key, LimitRecord { rate, since, as_of })
    }

    /// Returns whether to log a limit that cannot be parsed, as each answer may contain
    /// one.
    pub fn should_log(&mut self, now: Duration) -> bool {
        let is_due = self.last_logged.is_none_or(|at| now >= at + LOG_INTERVAL);
        if is_due {
            self.last_logged = Some(now);
        }
        is_due
    }

    /// Merges another box's reports; returns the upstreams whose limit changed
    /// noticeably.
    pub fn merge(&mut self, now: Duration, reports: &[LimitReport]) -> Vec<UpstreamKey> {
        let ago = |ms: u32| now.saturating_sub(Duration::from_millis(ms.into()));
        let mut changed = Vec::new();
        for report in reports {
            let record = LimitRecord {
                rate: report.rate.map(|r| f64::from(r).max(MIN_RATE)),
                since: ago(report.since_ms),
                as_of: ago(report.age_ms),
            };
            let is_valid = record.rate.is_none_or(f64::is_finite);
            if is_valid && self.update(report.key, record) {
                changed.push(report.key);
            }
        }
        changed
    }

    /// Drops outdated records.
    pub fn expire(&mut self, now: Duration) {
        self.records.retain(|_, record| {
            let ttl = match record.rate {
                Some(_) => LIMIT_TTL,
                None => REMOVED_TTL,
            };
            now < record.as_of + ttl
        });
    }

    /// Returns the requests a second that an upstream accepts from all boxes, if it names
    /// a limit.
    pub fn rate(&self, id: &str) -> Option<f64> {
        self.rate_of(ident::upstream_key(id))
    }

    /// Returns the same as [`UpstreamLimits::rate`], by the upstream's key.
    pub fn rate_of(&self, key: UpstreamKey) -> Option<f64> {
        self.records.get(&key)?.rate
    }

    /// Returns the report on one upstream for another box.
    pub fn report_of(&self, now: Duration, key: UpstreamKey) -> Option<LimitReport> {
        self.records.get(&key).map(|record| record.report(now, key))
    }

    /// Returns the reports for the other boxes, ordered by upstream. If there are too
    /// many, only the newest are returned.
    pub fn reports(&self, now: Duration) -> Vec<LimitReport> {
        let reports = self
            .records
            .iter()
            .map(|(key, record)| record.report(now, *key));
        let mut reports: Vec<LimitReport> = reports.collect();
        if reports.len() > MAX_REPORTS {
            reports.select_nth_unstable_by_key(MAX_REPORTS, |report| report.age_ms);
            reports.truncate(MAX_REPORTS);
        }
        reports.sort_unstable_by_key(|report| report.key);
        reports
    }

    /// Returns the present rate of each upstream, without its age.
    pub fn rates(&self) -> LimitRates {
        let rates = self.records.iter();
        rates.map(|(key, record)| (*key, record.rate)).collect()
    }

    /// Returns the number of upstreams that name a limit.
    pub fn len(&self) -> usize {
        self.records
            .values()
            .filter(|record| record.rate.is_some())
            .count()
    }

    /// Returns whether no upstream names a limit.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Updates a record; returns whether the limit changed noticeably.
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
