//! Issues permits for single requests to upstreams that name a limit.

use std::collections::HashMap;
use std::time::Duration;

use super::{LimitReport, UpstreamLimits, Verdict};
use crate::ident::UpstreamKey;

/// Time for which nothing is issued after an upstream first named a limit. Requests sent
/// before the limit was known count against it, and are often more than the upstream
/// accepts.
const INITIAL_HOLD_TIME: Duration = Duration::from_secs(4);

/// Burst of the primary issuer: a number of requests, and the seconds of the rate on top
/// of them. Together with what the secondary issuer may grant while the primary is
/// believed to be lost, it stays below half of what an upstream accepts in four seconds,
/// plus five requests.
const PRIMARY_BURST: (f64, f64) = (3.0, 0.25);

/// Burst of the secondary issuer, and of boxes that cannot hear others.
const SECONDARY_BURST: (f64, f64) = (1.0, 0.1);

/// Share of the rate that the secondary issuer grants while the primary may be granting
/// as well.
const SECONDARY_SHARE: f64 = 0.4;

/// Time that a standby issuer tells boxes to wait.
const STANDBY_WAIT: Duration = Duration::from_secs(1);

/// How long an unused bucket is kept; it has been full for long by then.
const BUCKET_TTL: Duration = Duration::from_secs(60);

/// Rank of a box among those that may issue permits for an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IssuerRank {
    /// First in the order.
    Primary,
    /// One box before it is reachable, but did not reply to some box.
    Secondary,
    /// More than one box before it is reachable.
    Standby,
    /// It cannot hear the other boxes. Holds the number of boxes, itself included.
    Isolated(u32),
}

impl IssuerRank {
    /// Returns the rank of a box that has `preceding` reachable boxes before it.
    pub fn from_preceding(preceding: usize) -> Self {
        match preceding {
            0 => IssuerRank::Primary,
            1 => IssuerRank::Secondary,
            _ => IssuerRank::Standby,
        }
    }

    /// Returns the share of the rate that the box issues.
    fn share(self) -> f64 {
        match self {
            IssuerRank::Primary => 1.0,
            IssuerRank::Secondary => SECONDARY_SHARE,
            IssuerRank::Standby => 0.0,
            IssuerRank::Isolated(boxes) => 1.0 / f64::from(boxes.max(1)),
        }
    }

    /// Returns how many permits the box may save up at a rate.
    fn burst(self, rate: f64) -> f64 {
        let (requests, seconds) = match self {
            IssuerRank::Primary | IssuerRank::Isolated(0 | 1) => PRIMARY_BURST,
            _ => SECONDARY_BURST,
        };
        requests + seconds * rate
    }
}

/// Token buckets of permits, one for each upstream.
///
/// # Example
///
/// ```
/// use ashgauge::permit::{PermitBuckets, IssuerRank, LimitReport};
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let limit = LimitReport { key: 1, rate: Some(2.0), since_ms: 60_000, age_ms: 0 };
/// let mut buckets = PermitBuckets::default();
/// let half = Duration::from_millis(500);
/// assert_eq!(buckets.withdraw(second, &limit, 2.0, IssuerRank::Primary), Ok(()));
/// assert_eq!(buckets.withdraw(second, &limit, 2.0, IssuerRank::Primary), Err(half));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PermitBuckets {
    buckets: HashMap<UpstreamKey, Bucket>,
}

/// Bucket of permits for one upstream; below zero while the upstream has received too
/// many requests.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    permits: f64,
    updated: Duration,
    issued: u64,
}

impl PermitBuckets {
    /// Decides on a permit from `limits`, into which the requesting box's report must
    /// have been merged.
    pub fn decide(
        &mut self,
        now: Duration,
        limits: &UpstreamLimits,
        key: UpstreamKey,
        rank: IssuerRank,
    ) -> Verdict {
        let (Some(report), Some(rate)) = (limits.report_of(now, key), limits.rate_of(key)) else {
            return Verdict::Unlimited;
        };
        match self.withdraw(now, &report, rate, rank) {
            Ok(()) => Verdict::Granted,
            Err(wait) => Verdict::Wait(wait.as_millis().try_into().unwrap_or(u32::MAX)),
        }
    }

    /// Withdraws one permit for an upstream with this rate.
    ///
    /// # Errors
    ///
    /// Fails with the time after which there may be one.
    pub fn withdraw(
        &mut self,
        now: Duration,
        report: &LimitReport,
        rate: f64,
        rank: IssuerRank,
    ) -> Result<(), Duration> {
        let limited_since = now.saturating_sub(report.limited_for());
        // A bucket from before the limit was named does not count what was sent since.
        self.buckets
            .retain(|key, b| *key != report.key || b.updated >= limited_since);
        let new = || Bucket::new(now, report, rate);
        let bucket = self.buckets.entry(report.key).or_insert_with(new);
        bucket.refill(now, rank);
        bucket.set_rate(rate);
        bucket.withdraw(rank)
    }

    /// Returns the number of permits issued for an upstream.
    pub fn issued(&self, key: UpstreamKey) -> u64 {
        self.buckets.get(&key).map_or(0, |b| b.issued)
    }

    /// Drops unused buckets.
    pub fn expire(&mut self, now: Duration) {
        self.buckets.retain(|_, b| now < b.updated + BUCKET_TTL);
    }
}

impl Bucket {
    fn new(now: Duration, report: &LimitReport, rate: f64) -> Self {
        let hold = INITIAL_HOLD_TIME
            .saturating_sub(report.limited_for())
            .as_secs_f64();
        Bucket {
            rate,
            permits: 1.0 - rate * hold,
            updated: now,
            issued: 0,
        }
    }

    /// Adds the permits for the time that has passed.
    fn refill(&mut self, now: Duration, rank: IssuerRank) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        let permits = self.permits + passed * self.rate * rank.share();
        self.permits = permits.min(rank.burst(self.rate));
        self.updated = self.updated.max(now);
    }

    /// Changes the rate. If it falls, permits issued at the higher rate count against the
    /// lower one.
    fn set_rate(&mut self, rate: f64) {
        let excess = (self.rate - rate).max(0.0) * INITIAL_HOLD_TIME.as_secs_f64();
        let min = self.permits.min(-rate * INITIAL_HOLD_TIME.as_secs_f64());
        self.permits = (self.permits - excess).max(min);
        self.rate = rate;
    }

    fn withdraw(&mut self, rank: IssuerRank) -> Result<(), Duration> {
        if rank == IssuerRank::Standby {
            return Err(STANDBY_WAIT);
        }
        if self.permits < 1.0 {
            let issue_rate = self.rate * rank.share();
            let wait = (1.0 - self.permits) / issue_rate.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX));
        }
        self.permits -= 1.0;
        self.issued += 1;
        Ok(())
    }
}
