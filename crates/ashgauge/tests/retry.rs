//! The fleet's retry allowance, over processes that are killed and started again.

mod common;

use std::time::Duration;

use ashgauge::retry::{Allowance, SlidingBudget};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Window of the allowance.
const WINDOW: Duration = Duration::from_secs(10);

/// Time between two steps of a fleet's life.
const STEP: Duration = Duration::from_millis(100);

/// Steps of a window.
const STEPS: usize = 100;

/// Boxes of fleets, and what these may take besides.
const SIZES: [(u32, f64); 4] = [(1, 20.0), (7, 200.0), (73, 330.0), (985, 1040.0)];

/// A fleet whose boxes share one allowance.
struct Fleet {
    allowance: Allowance,
    boxes: Vec<SlidingBudget>,
    rng: SmallRng,
    now: Duration,
    /// First tries in each step so far.
    firsts: Vec<f64>,
    /// Retries in each step so far.
    retries: Vec<f64>,
}

/// Starts the process of a box, which has counted all.
fn start(allowance: Allowance, boxes: u32, now: Duration, rounding: f64) -> SlidingBudget {
    let mut window = SlidingBudget::new(allowance, now, rounding);
    window.set_boxes(boxes);
    window
}

impl Fleet {
    fn start(boxes: u32, extra: f64) -> Self {
        let allowance = Allowance {
            window: WINDOW,
            ratio: 0.2,
            extra,
        };
        let mut rng = SmallRng::seed_from_u64(boxes.into());
        let windows = (0..boxes).map(|_| start(allowance, boxes, Duration::ZERO, rng.random()));
        Fleet {
            allowance,
            boxes: windows.collect(),
            rng,
            now: Duration::ZERO,
            firsts: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Kills a box and starts it again.
    fn restart(&mut self, node: usize) {
        let boxes = self.boxes.len() as u32;
        let rounding = self.rng.random();
        self.boxes[node] = start(self.allowance, boxes, self.now, rounding);
    }

    fn restart_all(&mut self) {
        (0..self.boxes.len()).for_each(|node| self.restart(node));
    }

    /// Lets `requests` arrive at any boxes; each of them that fails asks for
    /// one retry.
    fn step(&mut self, requests: usize, fails: bool) {
        self.now += STEP;
        let mut retries = 0;
        for _ in 0..requests {
            let at = self.rng.random_range(0..self.boxes.len());
            let node = &mut self.boxes[at];
            node.deposit(self.now);
            retries += usize::from(fails && node.withdraw(self.now));
        }
        self.firsts.push(requests as f64);
        self.retries.push(retries as f64);
    }

    /// Asserts that no window of any moment holds more retries than the fleet allows
    /// for the first tries in it, in the one before or in the one half a window before.
    fn assert_kept(&self) {
        let sum = |steps: &[f64], end: usize| -> f64 {
            steps[end.saturating_sub(STEPS)..end].iter().sum()
        };
        for end in 1..=self.retries.len() {
            let before = [0, STEPS / 2, STEPS].map(|s| sum(&self.firsts, end.saturating_sub(s)));
            let firsts = before.into_iter().fold(0.0, f64::max);
            let most = self.allowance.ratio * firsts + self.allowance.extra;
            let retries = sum(&self.retries, end);
            assert!(
                retries <= most,
                "{retries} retries in step {end}, allowed {most}"
            );
        }
    }
}

/// A window of calm, then all requests fail while all boxes are killed after these
/// steps.
fn fail_with_kills(boxes: u32, extra: f64, kills: &[usize]) -> Fleet {
    let mut fleet = Fleet::start(boxes, extra);
    let requests = boxes as usize / 2 + 10;
    (0..2 * STEPS).for_each(|_| fleet.step(requests, false));
    for step in 0..2 * STEPS {
        if kills.contains(&step) {
            fleet.restart_all();
        }
        fleet.step(requests, true);
    }
    fleet
}

#[test]
fn one_loss_of_all_boxes_grants_nothing_anew() {
    for (boxes, extra) in SIZES {
        fail_with_kills(boxes, extra, &[20]).assert_kept();
    }
}

#[test]
fn losses_in_series_grant_nothing_anew() {
    for (boxes, extra) in SIZES {
        fail_with_kills(boxes, extra, &[10, 40, 70]).assert_kept();
    }
}

/// What was saved before counts as spent, also where the fleet allows nothing besides.
#[test]
fn a_loss_grants_nothing_anew_for_requests() {
    for (boxes, _) in SIZES {
        fail_with_kills(boxes, 0.0, &[30]).assert_kept();
    }
}

/// Boxes that nobody restarts use nearly all of what they may.
#[test]
fn what_is_allowed_can_be_used() {
    let fleet = fail_with_kills(7, 350.0, &[]);
    let calm = 2 * STEPS;
    let spent: f64 = fleet.retries[calm..calm + STEPS].iter().sum();
    let earned: f64 = fleet.firsts[calm..calm + STEPS].iter().sum();
    let most = fleet.allowance.ratio * earned + fleet.allowance.extra;
    assert!(spent >= 0.8 * most, "{spent} of {most}");
    fleet.assert_kept();
}

/// Where each box has a part of less than a retry, the fleet uses a good part all the
/// same, and no more than it may.
#[test]
fn parts_of_a_retry_are_used() {
    let mut fleet = Fleet::start(985, 1040.0);
    (0..2 * STEPS).for_each(|_| fleet.step(19, false));
    (0..STEPS).for_each(|_| fleet.step(19, true));
    let spent: f64 = fleet.retries[2 * STEPS..].iter().sum();
    let most = fleet.allowance.ratio * 1900.0 + fleet.allowance.extra;
    assert!(spent >= 0.5 * most, "{spent} of {most}");
    fleet.assert_kept();
}

/// After a loss of all boxes they do so again within two windows.
#[test]
fn what_is_allowed_can_be_used_again_after_a_loss() {
    let mut fleet = fail_with_kills(7, 350.0, &[0]);
    (0..STEPS).for_each(|_| fleet.step(13, true));
    let last = &fleet.retries[fleet.retries.len() - STEPS..];
    let most = fleet.allowance.ratio * 13.0 * STEPS as f64 + fleet.allowance.extra;
    let spent: f64 = last.iter().sum();
    assert!(spent >= 0.8 * most, "{spent} of {most}");
    fleet.assert_kept();
}

/// A box that has not counted the others has no part of what is allowed besides, and
/// all of it since its start once it has.
#[test]
fn a_box_that_has_not_counted_takes_nothing_besides() {
    let allowance = Allowance {
        window: WINDOW,
        ratio: 0.0,
        extra: 100.0,
    };
    let mut window = SlidingBudget::new(allowance, Duration::ZERO, 0.0);
    assert!(!window.withdraw(WINDOW));
    window.set_boxes(10);
    let taken = (0..10).filter(|_| window.withdraw(WINDOW)).count();
    assert_eq!(taken, 4);
}

/// Other settings do not bring back what was spent.
#[test]
fn a_window_of_another_length_grants_nothing_anew() {
    let mut allowance = Allowance {
        window: WINDOW,
        ratio: 0.0,
        extra: 20.0,
    };
    let mut window = start(allowance, 1, Duration::ZERO, 0.0);
    let now = 2 * WINDOW;
    assert!((0..9).all(|_| window.withdraw(now)));
    allowance.window = WINDOW / 2;
    window.set_allowance(now, allowance);
    assert!(!window.withdraw(now));
    assert!(window.withdraw(now + WINDOW));
}

proptest! {
    #![proptest_config(common::seeded(256))]

    /// Whichever boxes are killed and when, the fleet keeps its allowance.
    #[test]
    fn restarts_of_any_boxes_grant_nothing_anew(
        steps in prop::collection::vec((0..40usize, any::<bool>(), any::<u8>()), 1..400),
        extra in 0.0..100.0f64,
    ) {
        let mut fleet = Fleet::start(5, extra);
        for (requests, fails, killed) in steps {
            // One step in eight kills some of the boxes.
            if killed < 32 {
                (0..5).filter(|n| killed >> n & 1 == 1).for_each(|n| fleet.restart(n));
            }
            fleet.step(requests, fails);
        }
        fleet.assert_kept();
    }
}
