//! What boxes tell each other of the load that they put on upstreams.
//!
//! A box knows its own requests; what an upstream has to bear is the sum over
//! all boxes. Each box tells its part every fraction of a second, so the sum is
//! known but for what changed since. A word that was lost is made good by the
//! next one, and of a box that falls silent the last word counts for some
//! seconds.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::member::BoxId;

/// Least time that a box's last word counts. Its streams end with it if it
/// died, and go on if it is only cut off from this one; words may be lost.
const KEEP_LEAST: Duration = Duration::from_secs(2);

/// Words of a box that may be lost before it counts as silent.
const LOST_MOST: u32 = 3;

/// Least time between two words: a small part of a request's time, at 10 small
/// datagrams a second for each other box.
const TELL_LEAST: Duration = Duration::from_millis(100);

/// Time between two words for each box of the own data centre: bounds what a
/// box sends there to 250 datagrams a second in a fleet of any size.
const TELL_NEAR: Duration = Duration::from_millis(4);

/// The same for the fleet, as which boxes elsewhere are told: bytes between
/// data centres are dear, and boxes there use these engines less. At 59 boxes
/// 0.19 GB crossed in a day of 45 s at 4 ms, some 0.05 GB at this.
const TELL_FAR: Duration = Duration::from_millis(15);

/// Longest time between two words that tell suspects: boxes find them out by
/// their own requests in a second or two.
const SUSPECTS_TIME: Duration = Duration::from_millis(350);

/// Number that stands for an upstream's id in a word.
pub type UpstreamKey = u32;

/// What one box, or all of them, have on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Use {
    /// Requests that it works on.
    pub requests: u32,
    /// Those of them that were sent to it by a box.
    pub leads: u32,
    /// Memory that they hold there, in tokens times layers.
    pub tokens: u32,
    /// Milliseconds for which it has prompts to read.
    pub reading: u32,
}

/// What a box tells: its part of every upstream's load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// The box that tells.
    pub from: BoxId,
    /// Start of its process, so that numbers may begin anew.
    pub boot: u64,
    /// Counts its words.
    pub number: u64,
    /// Upstreams that it uses.
    pub uses: Vec<(UpstreamKey, Use)>,
    /// Upstreams that it found to be lost; only in words that are told often.
    pub suspects: Vec<UpstreamKey>,
}

/// What was heard from the other boxes.
#[derive(Debug, Default)]
pub struct Shares {
    heard: HashMap<BoxId, Heard>,
    sums: HashMap<UpstreamKey, Use>,
}

#[derive(Debug)]
struct Heard {
    boot: u64,
    number: u64,
    at: Duration,
    uses: Vec<(UpstreamKey, Use)>,
}

/// Whether words that are told after this time tell suspects.
pub fn tells_suspects(time: Duration) -> bool {
    time <= SUSPECTS_TIME
}

/// The number that stands for an upstream.
pub fn key(id: &str) -> UpstreamKey {
    xxh3_64(id.as_bytes()) as UpstreamKey
}

/// Times between two words to the own data centre, with so many `near` boxes,
/// and to those elsewhere, in a fleet with so many `others`.
///
/// # Example
///
/// ```
/// use ashgauge::share::tell_times;
/// use std::time::Duration;
///
/// let (near, far) = tell_times(1, 5);
/// assert_eq!((near, far), (Duration::from_millis(100), Duration::from_millis(100)));
/// ```
pub fn tell_times(near: usize, others: usize) -> (Duration, Duration) {
    let each = |time: Duration, boxes: usize| {
        let time = time.saturating_mul(boxes.try_into().unwrap_or(u32::MAX));
        time.max(TELL_LEAST)
    };
    (each(TELL_NEAR, near), each(TELL_FAR, others))
}

impl Shares {
    /// Takes a word in; returns false if a later one was heard before.
    pub fn hear(&mut self, now: Duration, word: Word) -> bool {
        let known = self.heard.get(&word.from);
        let is_late = known.is_some_and(|k| k.boot == word.boot && k.number >= word.number);
        if is_late {
            return false;
        }
        let from: Arc<str> = word.from;
        self.forget(&from);
        for (key, more) in &word.uses {
            self.sums.entry(*key).or_default().add(more);
        }
        let heard = Heard {
            boot: word.boot,
            number: word.number,
            at: now,
            uses: word.uses,
        };
        self.heard.insert(from, heard);
        true
    }

    /// Forgets boxes that fell silent, in a fleet with so many `others`.
    pub fn expire(&mut self, now: Duration, others: usize) {
        let (_, far) = tell_times(0, others);
        let kept = KEEP_LEAST.max(far * LOST_MOST);
        let is_old = |h: &Heard| now >= h.at + kept;
        let silent = self.heard.iter().filter(|(_, h)| is_old(h));
        let silent: Vec<BoxId> = silent.map(|(id, _)| id.clone()).collect();
        silent.iter().for_each(|id| self.forget(id));
    }

    /// What all other boxes have on an upstream.
    pub fn others(&self, id: &str) -> Use {
        self.sums.get(&key(id)).copied().unwrap_or_default()
    }

    /// Boxes that were heard a short while ago.
    pub fn boxes(&self) -> usize {
        self.heard.len()
    }

    fn forget(&mut self, from: &str) {
        let Some(old) = self.heard.remove(from) else {
            return;
        };
        for (key, less) in &old.uses {
            if let Some(sum) = self.sums.get_mut(key) {
                sum.take(less);
            }
        }
        self.sums.retain(|_, sum| *sum != Use::default());
    }
}

impl Use {
    /// Adds another part of the load.
    pub fn add(&mut self, more: &Use) {
        self.requests = self.requests.saturating_add(more.requests);
        self.leads = self.leads.saturating_add(more.leads);
        self.tokens = self.tokens.saturating_add(more.tokens);
        self.reading = self.reading.saturating_add(more.reading);
    }

    fn take(&mut self, less: &Use) {
        self.requests = self.requests.saturating_sub(less.requests);
        self.leads = self.leads.saturating_sub(less.leads);
        self.tokens = self.tokens.saturating_sub(less.tokens);
        self.reading = self.reading.saturating_sub(less.reading);
    }
}
