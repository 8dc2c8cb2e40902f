//! Hybrid logical clock: timestamps that order the events of all processes.

use serde::{Deserialize, Serialize};

/// Timestamp of an event; later timestamps compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp {
    /// Wall-clock time, in milliseconds since 1970 (the Unix epoch).
    #[serde(rename = "wall")]
    pub wall_ms: u64,
    /// Logical counter that orders timestamps of the same millisecond.
    #[serde(rename = "count")]
    pub counter: u32,
}

/// Hybrid logical clock of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    last: Timestamp,
}

impl Clock {
    /// Returns the next timestamp; `wall_ms` is the process's own wall-clock time.
    pub fn tick(&mut self, wall_ms: u64) -> Timestamp {
        self.last = if wall_ms > self.last.wall_ms {
            Timestamp {
                wall_ms,
                counter: 0,
            }
        } else {
            Timestamp {
                wall_ms: self.last.wall_ms,
                counter: self.last.counter + 1,
            }
        };
        self.last
    }

    /// Moves the clock up to the timestamp of a message from another process.
    pub fn observe(&mut self, timestamp: Timestamp) {
        self.last = self.last.max(timestamp);
    }
}
