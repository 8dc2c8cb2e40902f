//! The retry allowance of a fleet while its processes are killed and restarted.

mod common;

use std::time::Duration;

use ashgauge::retry::{Allowance, SlidingBudget};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Window of the allowance.
const WINDOW: Duration = Duration::from_secs(10);

/// Time between two steps of a simulation.
const STEP: Duration = Duration::from_millis(100);

/// Number of steps in a window.
const WINDOW_STEPS: usize = 100;

/// Number of boxes of each fleet, and its extra retries per window.
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

/// Starts the process of a box that already knows the number of boxes.
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

    /// Kills and restarts a box.
    fn restart(&mut self, node: usize) {
        let boxes = self.boxes.len() as u32;
        let rounding = self.rng.random();
        self.boxes[node] = start(self.allowance, boxes, self.now, rounding);
    }

    fn restart_all(&mut self) {
        (0..self.boxes.len()).for_each(|node| self.restart(node));
    }

    /// Sends `requests` to random boxes. If they fail, each of them tries to withdraw one retry.
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

    /// Asserts that no window, whenever it ends, holds more retries than the fleet allows for the
    /// first tries in it, in the window before, or in the one half a window before.
    fn assert_within_allowance(&self) {
        let sum = |steps: &[f64], end: usize| -> f64 {
            steps[end.saturating_sub(WINDOW_STEPS)..end].iter().sum()
        };
        for end in 1..=self.retries.len() {
            let before = [0, WINDOW_STEPS / 2, WINDOW_STEPS]
                .map(|s| sum(&self.firsts, end.saturating_sub(s)));
            let firsts = before.into_iter().fold(0.0, f64::max);
            let allowed = self.allowance.ratio * firsts + self.allowance.extra;
            let retries = sum(&self.retries, end);
            assert!(
                retries <= allowed,
                "{retries} retries in step {end}, allowed {allowed}"
            );
        }
    }
}

/// Simulates two windows without failures, then two in which all requests fail and all boxes
/// are restarted at these steps.
fn fail_with_restarts(boxes: u32, extra: f64, restarts: &[usize]) -> Fleet {
    let mut fleet = Fleet::start(boxes, extra);
    let requests = boxes as usize / 2 + 10;
    (0..2 * WINDOW_STEPS).for_each(|_| fleet.step(requests, false));
    for step in 0..2 * WINDOW_STEPS {
        if restarts.contains(&step) {
            fleet.restart_all();
        }
        fleet.step(requests, true);
    }
    fleet
}

#[test]
fn restart_of_all_boxes_grants_no_new_retries() {
    for (boxes, extra) in SIZES {
        fail_with_restarts(boxes, extra, &[20]).assert_within_allowance();
    }
}

#[test]
fn repeated_restarts_grant_no_new_retries() {
    for (boxes, extra) in SIZES {
        fail_with_restarts(boxes, extra, &[10, 40, 70]).assert_within_allowance();
    }
}

/// After a restart, credits that were saved before count as spent, also for a fleet without
/// extra retries.
#[test]
fn restart_grants_no_new_retries_for_past_requests() {
    for (boxes, _) in SIZES {
        fail_with_restarts(boxes, 0.0, &[30]).assert_within_allowance();
    }
}

/// Boxes that are not restarted can use nearly all of their allowance.
#[test]
fn allowance_can_be_used() {
    let fleet = fail_with_restarts(7, 350.0, &[]);
    let start = 2 * WINDOW_STEPS;
    let spent: f64 = fleet.retries[start..start + WINDOW_STEPS].iter().sum();
    let earned: f64 = fleet.firsts[start..start + WINDOW_STEPS].iter().sum();
    let allowed = fleet.allowance.ratio * earned + fleet.allowance.extra;
    assert!(spent >= 0.8 * allowed, "{spent} of {allowed}");
    fleet.assert_within_allowance();
}

/// If the share of each box is less than one retry, the fleet still uses much of its
/// allowance, and no more than that.
#[test]
fn fractions_of_a_retry_are_used() {
    let mut fleet = Fleet::start(985, 1040.0);
    (0..2 * WINDOW_STEPS).for_each(|_| fleet.step(19, false));
    (0..WINDOW_STEPS).for_each(|_| fleet.step(19, true));
    let spent: f64 = fleet.retries[2 * WINDOW_STEPS..].iter().sum();
    let allowed = fleet.allowance.ratio * 1900.0 + fleet.allowance.extra;
    assert!(spent >= 0.5 * allowed, "{spent} of {allowed}");
    fleet.assert_within_allowance();
}

/// After a restart of all boxes the fleet can use its allowance again within two windows.
#[test]
fn allowance_can_be_used_again_after_a_restart() {
    let mut fleet = fail_with_restarts(7, 350.0, &[0]);
    (0..WINDOW_STEPS).for_each(|_| fleet.step(13, true));
    let last = &fleet.retries[fleet.retries.len() - WINDOW_STEPS..];
    let allowed = fleet.allowance.ratio * 13.0 * WINDOW_STEPS as f64 + fleet.allowance.extra;
    let spent: f64 = last.iter().sum();
    assert!(spent >= 0.8 * allowed, "{spent} of {allowed}");
    fleet.assert_within_allowance();
}

/// A box that does not know the number of boxes has no share of the extra retries. Once it
/// knows, it gets its share for the time since its start.
#[test]
fn box_without_a_box_count_takes_no_extra_retries() {
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

/// A change of the settings does not return spent retries.
#[test]
fn window_of_another_length_grants_no_new_retries() {
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

    /// Whichever boxes are restarted and when, the fleet keeps its allowance.
    #[test]
    fn restarts_of_any_boxes_grant_no_new_retries(
        steps in prop::collection::vec((0..40usize, any::<bool>(), any::<u8>()), 1..400),
        extra in 0.0..100.0f64,
    ) {
        let mut fleet = Fleet::start(5, extra);
        for (requests, fails, restarted) in steps {
            // One step in eight restarts some of the boxes.
            if restarted < 32 {
                (0..5).filter(|n| restarted >> n & 1 == 1).for_each(|n| fleet.restart(n));
            }
            fleet.step(requests, fails);
        }
        fleet.assert_within_allowance();
    }
}
