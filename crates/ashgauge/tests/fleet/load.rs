//! Loads for the overload tests.

use std::ops::Range;

use super::{Caller, Scenario, TYPICAL};

/// Seconds at which the overload starts and ends.
pub const START: f64 = 2.0;
pub const END: f64 = 14.0;

/// Seconds in which the overload is in a steady state.
pub const STEADY: Range<f64> = 6.0..14.0;

/// Least allowed goodput, as a share of the engines' capacity.
pub const MIN_GOODPUT: f64 = 0.9;

/// Seconds within which service must be back to normal after an overload.
pub const RECOVERY_TIME: f64 = 1.0;

/// Fleet sizes, in boxes.
pub const BOXES: [usize; 4] = [1, 8, 86, 985];

/// Loads, as multiples of the engines' capacity.
pub const LOADS: [f64; 4] = [1.2, 2.0, 4.0, 10.0];

/// Sizes of requests that take 1.7 to 2.9 s where a typical one takes 2.3 s.
pub fn typical_size(draw: f64) -> (u32, u32) {
    let answer = f64::from(TYPICAL.1) * (0.74 + 0.52 * draw);
    (TYPICAL.0, answer as u32)
}

/// Callers of one team on one route, at all boxes, during the overload.
pub fn caller(boxes: usize, team: u32, route: u32, load_factor: f64) -> Caller {
    Caller {
        team,
        route,
        load_factor,
        boxes: 0..boxes,
        size: typical_size,
        span: START..END,
    }
}

/// Half of the engines' capacity throughout, and `load_factor` times the capacity during the
/// overload.
pub fn burst(boxes: usize, age: f64, load_factor: f64) -> Scenario {
    let mut before = caller(boxes, 1, 0, 0.5);
    before.span = 0.0..END + 6.0;
    Scenario {
        boxes,
        age,
        callers: vec![before, caller(boxes, 1, 0, load_factor - 0.5)],
        retries: false,
        sheds: true,
        faults: Vec::new(),
        end: END + 6.0,
        seed: 42,
    }
}
