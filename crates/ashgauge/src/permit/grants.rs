//! Permits for single requests, which one box gives for each upstream in need.

use std::collections::HashMap;
use std::time::Duration;

use super::{Limits, Told, Verdict};
use crate::ident::UpstreamKey;

/// Time since an upstream first named a limit before which nothing is given: what was sent
/// before it was heard of counts against it, and is often more than it takes.
const HOLD_TIME: Duration = Duration::from_secs(4);

/// What the box that gives may have saved up: some requests, and those of some seconds.
/// With what the next box may give while the first is thought to be lost, it stays below
/// half of what an upstream takes in four seconds, and five.
const SAVED_FIRST: (f64, f64) = (3.0, 0.25);

/// The same for the next box, and for boxes that go by themselves.
const SAVED_NEXT: (f64, f64) = (1.0, 0.1);

/// Part of the rate that the next box gives while the first one may be giving as well.
const NEXT_SHARE: f64 = 0.4;

/// How long to wait where nothing is given.
const CLOSED_TIME: Duration = Duration::from_secs(1);

/// How long a bucket is kept that nobody asks of; it has been full for long then.
const KEEP_TIME: Duration = Duration::from_secs(60);

/// What a box is among those that may give permits for an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    /// It goes first.
    First,
    /// One that goes before it is there, but did not answer some box.
    Next,
    /// More than one goes before it.
    Behind,
    /// It cannot hear the other boxes, which number so many with it.
    Alone(u32),
}

impl Place {
    /// The place of a box before which so many others go that are there.
    pub fn behind(others: usize) -> Self {
        match others {
            0 => Place::First,
            1 => Place::Next,
            _ => Place::Behind,
        }
    }

    /// Part of the rate that it gives.
    fn share(self) -> f64 {
        match self {
            Place::First => 1.0,
            Place::Next => NEXT_SHARE,
            Place::Behind => 0.0,
            Place::Alone(boxes) => 1.0 / f64::from(boxes.max(1)),
        }
    }

    /// What it may save up, of a rate.
    fn saved_most(self, rate: f64) -> f64 {
        let (requests, seconds) = match self {
            Place::First | Place::Alone(0 | 1) => SAVED_FIRST,
            _ => SAVED_NEXT,
        };
        requests + seconds * rate
    }
}

/// What this box gave for each upstream.
///
/// # Example
///
/// ```
/// use ashgauge::permit::{Grants, Place, Told};
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let told = Told { key: 1, rate: Some(2.0), since_ms: 60_000, age_ms: 0 };
/// let mut grants = Grants::default();
/// let half = Duration::from_millis(500);
/// assert_eq!(grants.take(second, &told, 2.0, Place::First), Ok(()));
/// assert_eq!(grants.take(second, &told, 2.0, Place::First), Err(half));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Grants {
    buckets: HashMap<UpstreamKey, Bucket>,
}

/// Requests that may go to an upstream; below zero while it has had too many.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    level: f64,
    at: Duration,
    given: u64,
}

impl Grants {
    /// Answers an ask by what this box knows, of which it is told first.
    pub fn decide(
        &mut self,
        now: Duration,
        limits: &Limits,
        key: UpstreamKey,
        place: Place,
    ) -> Verdict {
        let (Some(told), Some(rate)) = (limits.told_of(now, key), limits.rate_of(key)) else {
            return Verdict::Free;
        };
        match self.take(now, &told, rate, place) {
            Ok(()) => Verdict::Given,
            Err(wait) => Verdict::Wait(wait.as_millis().try_into().unwrap_or(u32::MAX)),
        }
    }

    /// Takes one permit for an upstream of this rate.
    ///
    /// # Errors
    ///
    /// Fails with the time after which there may be one.
    pub fn take(
        &mut self,
        now: Duration,
        told: &Told,
        rate: f64,
        place: Place,
    ) -> Result<(), Duration> {
        let named = now.saturating_sub(told.known_for());
        // One from before the limit was named knows nothing of what was sent since.
        self.buckets
            .retain(|key, b| *key != told.key || b.at >= named);
        let new = || Bucket::new(now, told, rate);
        let bucket = self.buckets.entry(told.key).or_insert_with(new);
        bucket.advance(now, place);
        bucket.set_rate(rate);
        bucket.take(place)
    }

    /// Permits that were given for an upstream.
    pub fn given(&self, key: UpstreamKey) -> u64 {
        self.buckets.get(&key).map_or(0, |b| b.given)
    }

    /// Forgets buckets that nobody asks of.
    pub fn expire(&mut self, now: Duration) {
        self.buckets.retain(|_, b| now < b.at + KEEP_TIME);
    }
}

impl Bucket {
    fn new(now: Duration, told: &Told, rate: f64) -> Self {
        let hold = HOLD_TIME.saturating_sub(told.known_for()).as_secs_f64();
        Bucket {
            rate,
            level: 1.0 - rate * hold,
            at: now,
            given: 0,
        }
    }

    /// Adds what the time brought.
    fn advance(&mut self, now: Duration, place: Place) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let saved = self.level + passed * self.rate * place.share();
        self.level = saved.min(place.saved_most(self.rate));
        self.at = self.at.max(now);
    }

    /// Changes the rate. What was given at a higher one counts against a lower one.
    fn set_rate(&mut self, rate: f64) {
        let more = (self.rate - rate).max(0.0) * HOLD_TIME.as_secs_f64();
        let least = self.level.min(-rate * HOLD_TIME.as_secs_f64());
        self.level = (self.level - more).max(least);
        self.rate = rate;
    }

    fn take(&mut self, place: Place) -> Result<(), Duration> {
        if place == Place::Behind {
            return Err(CLOSED_TIME);
        }
        if self.level < 1.0 {
            let pace = self.rate * place.share();
            let wait = (1.0 - self.level) / pace.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX));
        }
        self.level -= 1.0;
        self.given += 1;
        Ok(())
    }
}
