//! Budgets that keep retries a small share of first tries.

use std::time::Duration;

/// Retries saved up at most.
const SAVED_MOST: f64 = 20.0;

/// Allows one retry for every so many first tries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    share: f64,
    saved: f64,
}

impl Budget {
    /// Makes a budget of `share` retries for each first try, 0 to 1.
    pub fn new(share: f64) -> Self {
        Budget {
            share,
            saved: SAVED_MOST / 2.0,
        }
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED_MOST);
    }

    /// Takes one retry out; returns false if none is left.
    pub fn take(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}

/// Parts that a window is counted in.
const PARTS: usize = 10;

/// Share of the allowance that is used; the rest covers the grain of the
/// parts and requests that cross the edge of a window on their way.
const MARGIN: f64 = 0.9;

/// What a fleet allows for one service in any window of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Length of the window.
    pub window: Duration,
    /// Retries for each first try, 0 to 1.
    pub ratio: f64,
    /// Retries besides, over all boxes.
    pub extra: f64,
    /// Boxes that share `extra`.
    pub boxes: u32,
}

/// What a box has of the allowance in the present window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// First tries.
    pub firsts: f64,
    /// Retries.
    pub spent: f64,
    /// Retries at most.
    pub most: f64,
}

/// Counts first tries and retries of one box in a sliding window.
///
/// Each box keeps within its own part of the fleet's [`Allowance`], so the
/// boxes need not speak to each other.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::retry::{Allowance, Window};
///
/// let window = Duration::from_secs(10);
/// let allowance = Allowance { window, ratio: 0.0, extra: 20.0, boxes: 8 };
/// let mut budget = Window::new(allowance);
/// assert!(budget.take(Duration::ZERO) && budget.take(Duration::ZERO));
/// assert!(!budget.take(window / 2));
/// assert!(budget.take(window * 2));
/// ```
#[derive(Clone, Debug)]
pub struct Window {
    allowance: Allowance,
    parts: [(f64, f64); PARTS + 1],
    at: u64,
}

impl Window {
    /// Makes an empty window.
    pub fn new(allowance: Allowance) -> Self {
        Window {
            allowance,
            parts: [(0.0, 0.0); PARTS + 1],
            at: 0,
        }
    }

    /// Changes the number of boxes that share the allowance.
    pub fn share_with(&mut self, boxes: u32) {
        self.allowance.boxes = boxes.max(1);
    }

    /// Changes what the fleet allows; what was spent stays counted.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Notes a first try.
    pub fn earn(&mut self, now: Duration) {
        self.advance(now).0 += 1.0;
    }

    /// Takes one retry out; returns false if none is left.
    pub fn take(&mut self, now: Duration) -> bool {
        let balance = self.balance(now);
        if balance.spent + 1.0 > balance.most {
            return false;
        }
        self.advance(now).1 += 1.0;
        true
    }

    /// What was earned and spent in the window that ends now.
    pub fn balance(&mut self, now: Duration) -> Balance {
        self.advance(now);
        let firsts = self.parts.iter().map(|p| p.0).sum();
        let spent = self.parts.iter().map(|p| p.1).sum();
        let a = &self.allowance;
        let most = a.ratio * firsts + a.extra / f64::from(a.boxes.max(1));
        Balance {
            firsts,
            spent,
            most: most * MARGIN,
        }
    }

    /// Clears the parts that have left the window; returns the current one.
    fn advance(&mut self, now: Duration) -> &mut (f64, f64) {
        let part = (self.allowance.window / PARTS as u32).max(Duration::from_millis(1));
        let at = (now.as_nanos() / part.as_nanos()) as u64;
        let steps = at.saturating_sub(self.at).min(PARTS as u64 + 1);
        for step in 1..=steps {
            let slot = (self.at + step) as usize % (PARTS + 1);
            self.parts[slot] = (0.0, 0.0);
        }
        self.at = self.at.max(at);
        if steps > PARTS as u64 {
            self.parts = [(0.0, 0.0); PARTS + 1];
        }
        &mut self.parts[self.at as usize % (PARTS + 1)]
    }
}
