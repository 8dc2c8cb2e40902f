//! The loads of the tests of overload.

use std::ops::Range;

use super::{Caller, Run, USUAL};

/// Seconds at which an overload begins and ends.
pub const BEGIN: f64 = 2.0;
pub const END: f64 = 14.0;

/// Steady seconds of it.
pub const STEADY: Range<f64> = 6.0..14.0;

/// Least goodput, as a part of the most that engines can do.
pub const GOODPUT_LEAST: f64 = 0.9;

/// Seconds from an overload's end until all is as before.
pub const RECOVER: f64 = 1.0;

/// Sizes of fleets.
pub const BOXES: [usize; 4] = [1, 8, 86, 985];

/// Loads as multiples of what engines can do.
pub const LOADS: [f64; 4] = [1.2, 2.0, 4.0, 10.0];

/// Answers that take 1.7 to 2.9 s where a usual one takes 2.3 s.
pub fn usual(draw: f64) -> (u32, u32) {
    let answer = f64::from(USUAL.1) * (0.74 + 0.52 * draw);
    (USUAL.0, answer as u32)
}

pub fn caller(boxes: usize, team: u32, route: u32, times: f64) -> Caller {
    Caller {
        team,
        route,
        times,
        boxes: 0..boxes,
        size: usual,
        span: BEGIN..END,
    }
}

/// Half of what engines can do all the time, and more of the same for a while.
pub fn burst(boxes: usize, age: f64, times: f64) -> Run {
    let mut before = caller(boxes, 1, 0, 0.5);
    before.span = 0.0..END + 6.0;
    Run {
        boxes,
        age,
        callers: vec![before, caller(boxes, 1, 0, times - 0.5)],
        returns: false,
        sheds: true,
        faults: Vec::new(),
        end: END + 6.0,
        seed: 42,
    }
}
