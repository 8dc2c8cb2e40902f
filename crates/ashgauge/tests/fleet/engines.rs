//! Engines that become slower as they fill, and are late past a bound.

/// Usual requests that the engines hold at once and still begin in time.
pub const BOUND: f64 = 800.0;

/// Multiple of the bound from which on engines refuse requests.
const FULL: f64 = 1.5;

/// Seconds that a usual request stays where there is no other.
const STAY: f64 = 1.1;

/// Longer stay at the bound, as a part of [`STAY`]: a pass takes 850 us, and 3.82 us more
/// for each of 180 requests.
pub const GROWTH: f64 = 0.81;

/// Work that begins in time each second at most, in usual requests.
pub const CAPACITY: f64 = BOUND / (STAY * (1.0 + GROWTH));

/// What became of a request that was sent to the engines.
pub enum Begin {
    InTime(f64),
    Late(f64),
    Refused,
}

/// All engines together.
#[derive(Default)]
pub struct Engines {
    used: f64,
}

impl Engines {
    /// Begins a request that holds so much memory; `InTime` and `Late` hold the seconds
    /// that a usual one stays.
    pub fn begin(&mut self, memory: f64) -> Begin {
        let share = self.used / BOUND;
        if share >= FULL {
            return Begin::Refused;
        }
        self.used += memory;
        let stay = STAY * (1.0 + GROWTH * share);
        match share <= 1.0 {
            true => Begin::InTime(stay),
            false => Begin::Late(stay),
        }
    }

    /// Frees the memory of a request.
    pub fn end(&mut self, memory: f64) {
        self.used -= memory;
    }
}
