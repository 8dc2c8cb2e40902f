//! Permits for single requests, which one box gives for each upstream in need.

use std::collections::HashMap;
use std::time::Duration;

use super::{LimitReport, UpstreamLimits, Verdict};
use crate::ident::UpstreamKey;

/// Time since an upstream first named a limit before which nothing is given: what was sent
/// before it was heard of counts against it, and is often more than it takes.
const INITIAL_HOLD_TIME: Duration = Duration::from_secs(4);

/// What the box that gives may have saved up: some requests, and those of some seconds.
/// With what the next box may give while the first is thought to be lost, it stays below
/// half of what an upstream takes in four seconds, and five.
const PRIMARY_BURST: (f64, f64) = (3.0, 0.25);

/// The same for the next box, and for boxes that go by themselves.
const SECONDARY_BURST: (f64, f64) = (1.0, 0.1);

/// Part of the rate that the next box gives while the first one may be giving as well.
const SECONDARY_SHARE: f64 = 0.4;

/// How long to wait where nothing is given.
const STANDBY_WAIT: Duration = Duration::from_secs(1);

/// How long a bucket is kept that nobody asks of; it has been full for long then.
const BUCKET_TTL: Duration = Duration::from_secs(60);

/// What a box is among those that may give permits for an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IssuerRank {
    /// It goes first.
    Primary,
    /// One that goes before it is there, but did not answer some box.
    Secondary,
    /// More than one goes before it.
    Standby,
    /// It cannot hear the other boxes, which number so many with it.
    Isolated(u32),
}

impl IssuerRank {
    /// The place of a box before which so many others go that are there.
    pub fn from_preceding(others: usize) -> Self {
        match others {
            0 => IssuerRank::Primary,
            1 => IssuerRank::Secondary,
            _ => IssuerRank::Standby,
        }
    }

    /// Part of the rate that it gives.
    fn share(self) -> f64 {
        match self {
            IssuerRank::Primary => 1.0,
            IssuerRank::Secondary => SECONDARY_SHARE,
            IssuerRank::Standby => 0.0,
            IssuerRank::Isolated(boxes) => 1.0 / f64::from(boxes.max(1)),
        }
    }

    /// What it may save up, of a rate.
    fn burst(self, rate: f64) -> f64 {
        let (requests, seconds) = match self {
            IssuerRank::Primary | IssuerRank::Isolated(0 | 1) => PRIMARY_BURST,
            _ => SECONDARY_BURST,
        };
        requests + seconds * rate
    }
}

/// What this box gave for each upstream.
///
/// # Example
///
/// ```
/// use ashgauge::permit::{PermitBuckets, IssuerRank, LimitReport};
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let limit = LimitReport { key: 1, rate: Some(2.0), since_ms: 60_000, age_ms: 0 };
/// let mut grants = PermitBuckets::default();
/// let half = Duration::from_millis(500);
/// assert_eq!(grants.withdraw(second, &limit, 2.0, IssuerRank::Primary), Ok(()));
/// assert_eq!(grants.withdraw(second, &limit, 2.0, IssuerRank::Primary), Err(half));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PermitBuckets {
    buckets: HashMap<UpstreamKey, Bucket>,
}

/// Requests that may go to an upstream; below zero while it has had too many.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    permits: f64,
    updated: Duration,
    issued: u64,
}

impl PermitBuckets {
    /// Answers an ask by what this box knows, of which it is told first.
    pub fn decide(
        &mut self,
        now: Duration,
        limits: &UpstreamLimits,
        key: UpstreamKey,
        place: IssuerRank,
    ) -> Verdict {
        let (Some(told), Some(rate)) = (limits.report_of(now, key), limits.rate_of(key)) else {
            return Verdict::Unlimited;
        };
        match self.withdraw(now, &told, rate, place) {
            Ok(()) => Verdict::Granted,
            Err(wait) => Verdict::Wait(wait.as_millis().try_into().unwrap_or(u32::MAX)),
        }
    }

    /// Takes one permit for an upstream of this rate.
    ///
    /// # Errors
    ///
    /// Fails with the time after which there may be one.
    pub fn withdraw(
        &mut self,
        now: Duration,
        told: &LimitReport,
        rate: f64,
        place: IssuerRank,
    ) -> Result<(), Duration> {
        let named = now.saturating_sub(told.limited_for());
        // One from before the limit was named knows nothing of what was sent since.
        self.buckets
            .retain(|key, b| *key != told.key || b.updated >= named);
        let new = || Bucket::new(now, told, rate);
        let bucket = self.buckets.entry(told.key).or_insert_with(new);
        bucket.refill(now, place);
        bucket.set_rate(rate);
        bucket.withdraw(place)
    }

    /// Permits that were given for an upstream.
    pub fn issued(&self, key: UpstreamKey) -> u64 {
        self.buckets.get(&key).map_or(0, |b| b.issued)
    }

    /// Forgets buckets that nobody asks of.
    pub fn expire(&mut self, now: Duration) {
        self.buckets.retain(|_, b| now < b.updated + BUCKET_TTL);
    }
}

impl Bucket {
    fn new(now: Duration, told: &LimitReport, rate: f64) -> Self {
        let hold = INITIAL_HOLD_TIME
            .saturating_sub(told.limited_for())
            .as_secs_f64();
        Bucket {
            rate,
            permits: 1.0 - rate * hold,
            updated: now,
            issued: 0,
        }
    }

    /// Adds what the time brought.
    fn refill(&mut self, now: Duration, place: IssuerRank) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        let saved = self.permits + passed * self.rate * place.share();
        self.permits = saved.min(place.burst(self.rate));
        self.updated = self.updated.max(now);
    }

    /// Changes the rate. What was given at a higher one counts against a lower one.
    fn set_rate(&mut self, rate: f64) {
        let more = (self.rate - rate).max(0.0) * INITIAL_HOLD_TIME.as_secs_f64();
        let least = self.permits.min(-rate * INITIAL_HOLD_TIME.as_secs_f64());
        self.permits = (self.permits - more).max(least);
        self.rate = rate;
    }

    fn withdraw(&mut self, place: IssuerRank) -> Result<(), Duration> {
        if place == IssuerRank::Standby {
            return Err(STANDBY_WAIT);
        }
        if self.permits < 1.0 {
            let pace = self.rate * place.share();
            let wait = (1.0 - self.permits) / pace.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX));
        }
        self.permits -= 1.0;
        self.issued += 1;
        Ok(())
    }
}
