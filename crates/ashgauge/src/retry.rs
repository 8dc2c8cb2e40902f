//! Budgets that keep retries a small share of first tries.

use std::ops::Range;
use std::time::Duration;

/// Retries saved up at most.
const MAX_CREDITS: f64 = 20.0;

/// Allows one retry for every so many first tries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    credits: f64,
}

impl RetryBudget {
    /// Makes a budget of `share` retries for each first try, 0 to 1.
    pub fn new(share: f64) -> Self {
        RetryBudget {
            share,
            credits: MAX_CREDITS / 2.0,
        }
    }

    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.credits = (self.credits + self.share).min(MAX_CREDITS);
    }

    /// Takes one retry out; returns false if none is left.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.credits >= 1.0;
        if enough {
            self.credits -= 1.0;
        }
        enough
    }
}

/// Parts that a window is counted in.
const WINDOW_BUCKETS: usize = 10;

/// Parts of the longest span that is bounded: a window that begins within a part.
const SPAN_BUCKETS: usize = WINDOW_BUCKETS + 1;

/// Parts that are kept: the longest span, and the window before it.
const KEPT_BUCKETS: usize = SPAN_BUCKETS + WINDOW_BUCKETS;

/// Share of the allowance that is used; the rest covers the grain of the
/// parts and requests that cross the edge of a window on their way.
const USABLE_SHARE: f64 = 0.9;

/// Share of what a span brings that may be spent within it; the rest comes from the
/// window before. A larger one leaves more to a process that has just started, a
/// smaller one more for engines that are lost after calm.
const SPAN_SHARE: f64 = 0.5;

/// Retries that the fleet must be allowed, for each square root of its boxes, for parts
/// of a retry to be rounded at random: the sum of that over all boxes then keeps within
/// what [`USABLE_SHARE`] leaves.
const MIN_ROUNDING_EXTRA: f64 = 28.0;

/// What a fleet allows for one service in any window of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Length of the window.
    pub window: Duration,
    /// Retries for each first try, 0 to 1.
    pub ratio: f64,
    /// Retries besides, over all boxes.
    pub extra: f64,
}

/// What a box has of the allowance in the present window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Retries that its first tries and its part of the rest brought.
    pub earned: f64,
    /// Retries that it took.
    pub spent: f64,
    /// Retries that it may still take.
    pub left: f64,
}

/// Counts first tries and retries of one box in a sliding window.
///
/// Each box keeps within its own part of the fleet's [`Allowance`], so the
/// boxes need not speak to each other.
///
/// A process that starts does not know what the one before it spent. So in any span of
/// time a process spends half of what the span brings, and half of what the window
/// before the span brought; one that has just started has seen nothing of the latter.
/// Whichever processes end and start in a window, together they spend the mean of what
/// it brings and of what the window before it brought, each of which is allowed.
///
/// In a large fleet a box's part may be less than one retry. It is rounded up or down at
/// random, once for each process, so that the fleet uses what it is allowed on average.
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
    /// Boxes that share what is allowed besides, once they are counted.
    boxes: Option<u32>,
    started: Duration,
    /// Part of a retry that is added before it is rounded down.
    rounding: f64,
    /// The parts up to the present one, each in the place of its number.
    buckets: [Bucket; KEPT_BUCKETS],
    /// Number of the present part.
    current_bucket: u64,
}

/// What a part of the time brought.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    first_tries: f64,
    retries: f64,
}

impl SlidingBudget {
    /// Makes the window of a process that started at `started`. What it adds to its part
    /// before that is rounded down, `rounding`, is drawn at random from 0 to 1.
    pub fn new(allowance: Allowance, started: Duration, rounding: f64) -> Self {
        let mut window = SlidingBudget {
            allowance,
            boxes: None,
            started,
            rounding,
            buckets: [Bucket::default(); KEPT_BUCKETS],
            current_bucket: 0,
        };
        window.current_bucket = window.bucket_number(started);
        window
    }

    /// Sets the number of boxes that share what is allowed besides. Before it is known,
    /// none of that may be spent; afterwards it counts from the start on.
    pub fn set_boxes(&mut self, boxes: u32) {
        self.boxes = Some(boxes.max(1));
    }

    /// Changes what the fleet allows. What was spent stays counted; in a window of
    /// another length, the box begins as a process does that starts now.
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

    /// Notes a first try.
    pub fn deposit(&mut self, now: Duration) {
        self.advance(now).first_tries += 1.0;
    }

    /// Takes one retry out; returns false if none is left.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        if self.balance(now).left < 1.0 {
            return false;
        }
        self.advance(now).retries += 1.0;
        true
    }

    /// What was earned and spent in the window that ends now.
    pub fn balance(&mut self, now: Duration) -> Balance {
        self.advance(now);
        let left = (1..=SPAN_BUCKETS).map(|parts| self.span_left(now, parts));
        Balance {
            earned: self.earned(now, 0..WINDOW_BUCKETS),
            spent: self.sum(0..WINDOW_BUCKETS, |part| part.retries),
            left: left.fold(f64::INFINITY, f64::min) + self.rounding(),
        }
    }

    /// Retries that may still be taken in the span of so many parts that ends now.
    fn span_left(&self, now: Duration, parts: usize) -> f64 {
        let within = self.earned(now, 0..parts);
        let before = self.earned(now, parts..parts + WINDOW_BUCKETS);
        let most = SPAN_SHARE * within + (1.0 - SPAN_SHARE) * before;
        most * USABLE_SHARE - self.sum(0..parts, |part| part.retries)
    }

    /// What is added to a part of a retry: nothing where random errors of so many boxes
    /// may be more than the margin.
    fn rounding(&self) -> f64 {
        let least = |boxes: u32| MIN_ROUNDING_EXTRA * f64::from(boxes).sqrt();
        match self.boxes {
            Some(boxes) if self.allowance.extra >= least(boxes) => self.rounding,
            _ => 0.0,
        }
    }

    /// Retries that some of the last parts brought, the present one being the first.
    fn earned(&self, now: Duration, parts: Range<usize>) -> f64 {
        let firsts = self.sum(parts.clone(), |part| part.first_tries);
        let extra = self.boxes.map(|n| self.allowance.extra / f64::from(n));
        let time =
            self.running_time(now, parts).as_secs_f64() / self.allowance.window.as_secs_f64();
        self.allowance.ratio * firsts + extra.unwrap_or(0.0) * time
    }

    /// Time of some of the last parts in which the process ran.
    fn running_time(&self, now: Duration, parts: Range<usize>) -> Duration {
        let end = match parts.start {
            0 => now,
            back => self.bucket_start(back - 1),
        };
        end.saturating_sub(self.started.max(self.bucket_start(parts.end - 1)))
    }

    /// When the part began that is so many parts back.
    fn bucket_start(&self, back: usize) -> Duration {
        let number = self.current_bucket.saturating_sub(back as u64);
        Duration::from_nanos(number.saturating_mul(self.bucket_length().as_nanos() as u64))
    }

    fn sum(&self, parts: Range<usize>, of: impl Fn(&Bucket) -> f64) -> f64 {
        let numbers = parts.map_while(|back| self.current_bucket.checked_sub(back as u64));
        numbers
            .map(|number| of(&self.buckets[bucket_index(number)]))
            .sum()
    }

    /// Clears the parts that are new; returns the present one.
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

/// Where a part is kept.
fn bucket_index(number: u64) -> usize {
    (number % KEPT_BUCKETS as u64) as usize
}
