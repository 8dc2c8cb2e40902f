//! Hybrid logical clock: stamps that order events over all processes.

use serde::{Deserialize, Serialize};

/// A point of the merged time line; later stamps compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp {
    /// Milliseconds since 1970.
    #[serde(rename = "wall")]
    pub wall_ms: u64,
    /// Order among stamps of the same millisecond.
    #[serde(rename = "count")]
    pub counter: u32,
}

/// One process's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    last: Timestamp,
}

impl Clock {
    /// Makes the next stamp; `wall` is the process's own time in milliseconds.
    pub fn tick(&mut self, wall: u64) -> Timestamp {
        self.last = if wall > self.last.wall_ms {
            Timestamp {
                wall_ms: wall,
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

    /// Moves past a stamp that came with another process's message.
    pub fn observe(&mut self, stamp: Timestamp) {
        self.last = self.last.max(stamp);
    }
}
