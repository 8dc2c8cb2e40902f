//! Hybrid logical clock: stamps that order events over all processes.

use serde::{Deserialize, Serialize};

/// A point of the merged time line; later stamps compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Milliseconds since 1970.
    pub wall: u64,
    /// Order among stamps of the same millisecond.
    pub count: u32,
}

/// One process's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Makes the next stamp; `wall` is the process's own time in milliseconds.
    pub fn tick(&mut self, wall: u64) -> Stamp {
        self.last = if wall > self.last.wall {
            Stamp { wall, count: 0 }
        } else {
            Stamp {
                wall: self.last.wall,
                count: self.last.count + 1,
            }
        };
        self.last
    }

    /// Moves past a stamp that came with another process's message.
    pub fn observe(&mut self, stamp: Stamp) {
        self.last = self.last.max(stamp);
    }
}
