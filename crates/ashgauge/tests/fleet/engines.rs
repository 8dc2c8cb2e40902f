//! Model of the engines: requests take longer as memory fills, and start late past a limit.

/// Number of typical requests that the engines hold at once and still start in time.
pub const ON_TIME_LIMIT: f64 = 800.0;

/// Multiple of the limit from which on engines refuse requests.
const REFUSAL_FACTOR: f64 = 1.5;

/// Seconds that a typical request takes on idle engines.
const BASE_DURATION: f64 = 1.1;

/// Extra duration at the limit, as a share of [`BASE_DURATION`]: a pass takes 850 us, and
/// 3.82 us more for each of 180 requests.
pub const FULL_SLOWDOWN: f64 = 0.81;

/// Largest throughput with starts in time, in typical requests per second.
pub const CAPACITY: f64 = ON_TIME_LIMIT / (BASE_DURATION * (1.0 + FULL_SLOWDOWN));

/// Result of sending a request to the engines.
pub enum StartResult {
    InTime(f64),
    Late(f64),
    Refused,
}

/// All engines of the fleet, modelled as one.
#[derive(Default)]
pub struct Engines {
    used: f64,
}

impl Engines {
    /// Starts a request that takes `memory`, in typical requests. `InTime` and `Late` hold the
    /// seconds that a typical request takes at this load.
    pub fn start_request(&mut self, memory: f64) -> StartResult {
        let share = self.used / ON_TIME_LIMIT;
        if share >= REFUSAL_FACTOR {
            return StartResult::Refused;
        }
        self.used += memory;
        let duration = BASE_DURATION * (1.0 + FULL_SLOWDOWN * share);
        match share <= 1.0 {
            true => StartResult::InTime(duration),
            false => StartResult::Late(duration),
        }
    }

    /// Frees the memory of a request that ended.
    pub fn end(&mut self, memory: f64) {
        self.used -= memory;
    }
}
