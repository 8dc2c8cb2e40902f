//! Retry budgets, which limit retries to a small share of first attempts.

use std::ops::Range;
use std::time::Duration;

/// Largest number of retries that may be saved up.
const MAX_CREDITS: f64 = 20.0;

/// Retry budget that earns a share of a retry with each first attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    credits: f64,
}

impl RetryBudget {
    /// Creates a budget of `share` retries for each first attempt, 0 to 1.
    pub fn new(share: f64) -> Self {
        RetryBudget {
            share,
            credits: MAX_CREDITS / 2.0,
        }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.credits = (self.credits + self.share).min(MAX_CREDITS);
    }

    /// Withdraws one retry; returns false if none is left.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.credits >= 1.0;
        if enough {
            self.credits -= 1.0;
        }
        enough
    }
}

/// Number of buckets in a window.
const WINDOW_BUCKETS: usize = 10;

/// Number of buckets in the longest span that is limited: a window that starts within a
/// bucket.
const SPAN_BUCKETS: usize = WINDOW_BUCKETS + 1;

/// Number of buckets that are kept: the longest span, and the window before it.
const KEPT_BUCKETS: usize = SPAN_BUCKETS + WINDOW_BUCKETS;

/// Share of the allowance that is used. The rest covers the resolution of the buckets,
/// and requests that cross the edge of a window in transit.
const USABLE_SHARE: f64 = 0.9;

/// Share of what is earned in a span that may be spent within it; the rest comes from the
/// window before. A larger share leaves more to a process that has just started, a
/// smaller one more for the loss of engines after a calm period.
const SPAN_SHARE: f64 = 0.5;

/// Smallest number of fleet-wide extra retries, for each square root of the number of
/// boxes, with which fractions of a retry are rounded at random. With fewer, the sum of
/// the random errors over all boxes might exceed what [`USABLE_SHARE`] leaves.
const MIN_ROUNDING_EXTRA: f64 = 28.0;

/// Retries that a fleet allows for one service in any window of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Length of the window.
    pub window: Duration,
    /// Retries for each first attempt, 0 to 1.
    pub ratio: f64,
    /// Additional retries in each window, over all boxes.
    pub extra: f64,
}

/// State of a box's share of the allowance in the present window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Retries earned by first attempts and by the box's share of the additional ones.
    pub earned: f64,
    /// Retries made.
    pub spent: f64,
    /// Retries that are still allowed.
    pub left: f64,
}

/// Retry budget of one box over a sliding window.
///
/// Each box keeps within its own share of the fleet's [`Allowance`], so boxes need not
/// communicate.
///
/// A process does not know what its predecessor spent. Therefore in any span of time a
/// process spends half of what it earns in the span, and half of what it earned in the
/// window before the span; a process that has just started earned nothing in the latter.
/// Whichever processes end and start in a window, together they spend the mean of what is
/// earned in it and in the window before, and each of the two is allowed.
///
/// In a large fleet a box's share may be less than one retry. It is rounded up or down at
/// random, once for each process, so that the fleet uses its allowance on average.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::retry::{Allowance, SlidingBudget};
///
/// let window = Duration::from_secs(10);
/// let allowance = Allowance { window, ratio: 0.0, extra: 20.0 };
/// let mut budget = SlidingBudget::new(allowance, Duration::ZERO, 0.0);
/// budget.set_boxes(4);
/// assert!(!budget.withdraw(Duration::ZERO));
/// assert!(budget.withdraw(window) && budget.withdraw(window));
/// ```
#[derive(Clone, Debug)]
pub struct SlidingBudget {
    allowance: Allowance,
    /// Number of boxes that share the additional retries, once known.
    boxes: Option<u32>,
    started: Duration,
    /// Fraction of a retry that is added before rounding down.
    rounding: f64,
    /// Buckets up to the present one, in a ring indexed by bucket number.
    buckets: [Bucket; KEPT_BUCKETS],
    /// Number of the present bucket.
    current_bucket: u64,
}

/// Counts of one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    first_attempts: f64,
    retries: f64,
}

impl SlidingBudget {
    /// Creates the budget of a process that started at `started`. `rounding`, drawn at
    /// random from 0 to 1, is added to the box's share before that is rounded down.
    pub fn new(allowance: Allowance, started: Duration, rounding: f64) -> Self {
        let mut budget = SlidingBudget {
            allowance,
            boxes: None,
            started,
            rounding,
            buckets: [Bucket::default(); KEPT_BUCKETS],
            current_bucket: 0,
        };
        budget.current_bucket = budget.bucket_number(started);
        budget
    }

    /// Sets the number of boxes that share the additional retries. Before it is known,
    /// none of these may be spent; afterwards they count from the start of the process.
    pub fn set_boxes(&mut self, boxes: u32) {
        self.boxes = Some(boxes.max(1));
    }

    /// Changes the allowance. What was spent stays counted. If the window's length
    /// changes, the budget restarts as for a process that starts now.
    pub fn set_allowance(&mut self, now: Duration, allowance: Allowance) {
        if allowance.window == self.allowance.window {
            self.allowance = allowance;
            return;
        }
        *self = SlidingBudget {
            boxes: self.boxes,
            ..SlidingBudget::new(allowance, now, self.rounding)
        };
    }

    /// Records a first attempt.
    pub fn deposit(&mut self, now: Duration) {
        self.advance(now).first_attempts += 1.0;
    }

    /// Withdraws one retry; returns false if none is left.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        if self.balance(now).left < 1.0 {
            return false;
        }
        self.advance(now).retries += 1.0;
        true
    }

    /// Returns what was earned and spent in the window that ends now.
    pub fn balance(&mut self, now: Duration) -> Balance {
        self.advance(now);
        let left = (1..=SPAN_BUCKETS).map(|buckets| self.span_left(now, buckets));
        Balance {
            earned: self.earned(now, 0..WINDOW_BUCKETS),
            spent: self.sum(0..WINDOW_BUCKETS, |bucket| bucket.retries),
            left: left.fold(f64::INFINITY, f64::min) + self.rounding(),
        }
    }

    /// Returns the retries that are still allowed in the span of so many buckets that
    /// ends now.
    fn span_left(&self, now: Duration, buckets: usize) -> f64 {
        let within = self.earned(now, 0..buckets);
        let before = self.earned(now, buckets..buckets + WINDOW_BUCKETS);
        let allowed = SPAN_SHARE * within + (1.0 - SPAN_SHARE) * before;
        allowed * USABLE_SHARE - self.sum(0..buckets, |bucket| bucket.retries)
    }

    /// Returns the fraction that is added before rounding down; 0 if the random errors of
    /// so many boxes might exceed the margin.
    fn rounding(&self) -> f64 {
        let min_extra = |boxes: u32| MIN_ROUNDING_EXTRA * f64::from(boxes).sqrt();
        match self.boxes {
            Some(boxes) if self.allowance.extra >= min_extra(boxes) => self.rounding,
            _ => 0.0,
        }
    }

    /// Returns the retries earned in some of the last buckets, where bucket 0 is the
    /// present one.
    fn earned(&self, now: Duration, buckets: Range<usize>) -> f64 {
        let first_attempts = self.sum(buckets.clone(), |bucket| bucket.first_attempts);
        let extra = self.boxes.map(|n| self.allowance.extra / f64::from(n));
        let time =
            self.running_time(now, buckets).as_secs_f64() / self.allowance.window.as_secs_f64();
        self.allowance.ratio * first_attempts + extra.unwrap_or(0.0) * time
    }

    /// Returns the time within some of the last buckets in which the process ran.
    fn running_time(&self, now: Duration, buckets: Range<usize>) -> Duration {
        let end = match buckets.start {
            0 => now,
            back => self.bucket_start(back - 1),
        };
        end.saturating_sub(self.started.max(self.bucket_start(buckets.end - 1)))
    }

    /// Returns the start time of the bucket that is `back` buckets before the present
    /// one.
    fn bucket_start(&self, back: usize) -> Duration {
        let number = self.current_bucket.saturating_sub(back as u64);
        Duration::from_nanos(number.saturating_mul(self.bucket_length().as_nanos() as u64))
    }

    fn sum(&self, buckets: Range<usize>, get: impl Fn(&Bucket) -> f64) -> f64 {
        let numbers = buckets.map_while(|back| self.current_bucket.checked_sub(back as u64));
        numbers
            .map(|number| get(&self.buckets[bucket_index(number)]))
            .sum()
    }

    /// Clears the buckets that are new; returns the present one.
    fn advance(&mut self, now: Duration) -> &mut Bucket {
        let number = self.bucket_number(now).max(self.current_bucket);
        let new = (self.current_bucket + 1..=number).rev().take(KEPT_BUCKETS);
        new.for_each(|new| self.buckets[bucket_index(new)] = Bucket::default());
        self.current_bucket = number;
        &mut self.buckets[bucket_index(number)]
    }

    fn bucket_number(&self, at: Duration) -> u64 {
        (at.as_nanos() / self.bucket_length().as_nanos()) as u64
    }

    fn bucket_length(&self) -> Duration {
        (self.allowance.window / WINDOW_BUCKETS as u32).max(Duration::from_millis(1))
    }
}

/// Returns the index of a bucket in the ring.
fn bucket_index(number: u64) -> usize {
    (number % KEPT_BUCKETS as u64) as usize
}
