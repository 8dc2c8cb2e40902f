//! At most once for keyed requests, over all boxes.
//!
//! Keys hash to shards, one stored object each. A claim is a new entry in its
//! shard, committed by a conditional update on the shard's version. Whoever
//! commits first may send, and only once; everybody else learns of it. Claims
//! that arrive while a write is under way go together in the next one. Safety
//! rests on the versions alone: no lease takes part, and clocks only where a
//! key is dropped for its age.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::table::Version;

/// Seconds of keys that go to the same shards.
const SLICE_TIME: u64 = 10;

/// How long an idle shard's entries are remembered.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Seconds by which the clocks of boxes and callers may differ; a key that is
/// nearer to its end is refused, as another box may have dropped it.
const EXPIRY_MARGIN: u64 = 60;

/// Seconds by which a key's time may be ahead of a box's clock.
const EARLY_MARGIN: u64 = 30;

/// Writes that a calm shard may make in a row; on average it makes one each
/// interval.
const WRITES_SAVED: f64 = 3.0;

/// A shard's number.
pub type ShardId = u32;

/// Unique name of one try to claim, such as `box.incarnation.request`.
pub type ClaimId = String;

/// How far the request behind a claim came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It may have been sent.
    Taken,
    /// It ran to its end.
    Done,
    /// It did not run; the key is free again.
    NotRun,
}

/// One stored claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Who claimed it.
    pub id: ClaimId,
    /// How far it came.
    pub stage: Stage,
    /// When, in seconds since 1970.
    pub at: u64,
}

/// Stored form of a shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Entries {
    /// Claims by key.
    pub keys: BTreeMap<String, Entry>,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The asker holds the key and may send once.
    Granted,
    /// Another claim, named here, holds it and came so far.
    Held(ClaimId, Stage),
    /// The platform could not be asked; nothing was or will be sent.
    Unavailable,
}

/// What to do for the claims.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read a shard's object.
    Read(ShardId),
    /// Write it if it still has this version.
    Write(ShardId, Version, Entries),
    /// Tell a claim's verdict.
    Tell(ClaimId, Verdict),
}

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Written {
    /// It took effect and made this version.
    Done(Version),
    /// The object had another version.
    Conflict,
    /// Nobody knows; it may take effect even later.
    Unknown,
    /// The platform refused it before doing anything.
    Refused,
}

/// Settings of the claims.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of shards; the same on every box.
    pub shards: u32,
    /// How long a key is kept.
    pub keep: Duration,
    /// Least time between two writes of one shard.
    pub interval: Duration,
    /// How long a claim may wait for the platform.
    pub patience: Duration,
}

/// Claims of one box, over all shards.
#[derive(Debug)]
pub struct Claims {
    config: Config,
    shards: BTreeMap<ShardId, Shard>,
}

#[derive(Debug, Default)]
struct Shard {
    state: Option<(Version, Entries)>,
    busy: bool,
    sent: Vec<Ask>,
    asks: VecDeque<Ask>,
    finished: Vec<Note>,
    noting: Vec<Note>,
    last: Option<Duration>,
    /// Writes made beyond the rate of one each interval.
    ahead: f64,
    used: Duration,
}

#[derive(Clone, Debug)]
struct Note {
    key: String,
    id: ClaimId,
    stage: Stage,
}

#[derive(Clone, Debug)]
struct Ask {
    key: String,
    id: ClaimId,
    until: Duration,
}

/// Time at which a key was made, in seconds since 1970, if it is a UUID of
/// version 7 (RFC 9562).
///
/// # Example
///
/// ```
/// use ashgauge::claim::key_time;
///
/// assert_eq!(key_time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), Some(1_645_557_742));
/// assert_eq!(key_time("payslip-2026-11"), None);
/// ```
pub fn key_time(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let dashes = [8, 13, 18, 23].iter().all(|i| bytes.get(*i) == Some(&b'-'));
    if bytes.len() != 36 || !dashes || bytes[14] != b'7' {
        return None;
    }
    let high = u64::from_str_radix(key.get(0..8)?, 16).ok()?;
    let low = u64::from_str_radix(key.get(9..13)?, 16).ok()?;
    Some((high << 16 | low) / 1000)
}

impl Claims {
    /// Makes an empty set.
    pub fn new(config: Config) -> Self {
        Claims {
            config,
            shards: BTreeMap::new(),
        }
    }

    /// Shard of a key.
    ///
    /// Keys that carry their time go to shards of that time, which stay small;
    /// a shard is used again when its keys are older than they are kept. Other
    /// keys have shards of their own, which hold all of them.
    pub fn shard(&self, key: &str) -> ShardId {
        let name = key.rsplit('/').next().unwrap_or(key);
        let base = (xxh3_64(key.as_bytes()) % u64::from(self.config.shards)) as ShardId;
        let Some(made) = key_time(name) else {
            return base;
        };
        // One slice more than are in use, and one for clocks that differ.
        let slices = self.config.keep.as_secs() / SLICE_TIME + 2;
        let slice = (made / SLICE_TIME % slices) as ShardId;
        self.config.shards * (1 + slice) + base
    }

    /// Returns true if a key is so old that its claim may have been dropped.
    ///
    /// Only keys that carry their time can be judged; see [`key_time`].
    pub fn is_expired(&self, wall: u64, key: &str) -> bool {
        let oldest = wall.saturating_sub(self.config.keep.as_secs());
        key_time(key).is_some_and(|made| made <= oldest + EXPIRY_MARGIN)
    }

    /// Returns true if a key's time is still to come, so that its claim could
    /// be dropped before the key is too old.
    pub fn is_early(&self, wall: u64, key: &str) -> bool {
        key_time(key).is_some_and(|made| made > wall + EARLY_MARGIN)
    }

    /// Asks for a key.
    pub fn ask(&mut self, now: Duration, wall: u64, key: &str, id: &str) -> Vec<Step> {
        let until = now + self.config.patience;
        let shard = self.shard(key);
        let ask = Ask {
            key: key.into(),
            id: id.into(),
            until,
        };
        let s = self.shards.entry(shard).or_default();
        s.used = now;
        s.asks.push_back(ask);
        self.advance(now, wall, shard)
    }

    /// Notes how far a claimed request came; stored with the next write.
    pub fn finish(&mut self, key: &str, id: &str, stage: Stage) {
        let shard = self.shard(key);
        let s = self.shards.entry(shard).or_default();
        s.finished.push(Note {
            key: key.into(),
            id: id.into(),
            stage,
        });
    }

    /// Takes the answer to [`Step::Read`]; `None` if the platform gave none.
    pub fn read(
        &mut self,
        now: Duration,
        wall: u64,
        shard: ShardId,
        answer: Option<(Version, Entries)>,
    ) -> Vec<Step> {
        let Some(s) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        s.busy = false;
        let Some(state) = answer else {
            // Notes alone must not ask a silent platform over and over.
            s.ahead = s.writes_ahead(now, self.config.interval);
            s.last = Some(now);
            return self.give_up(now, shard, false);
        };
        // A stale read must not undo what a write of ours has shown.
        if s.state.as_ref().is_none_or(|(v, _)| *v <= state.0) {
            s.state = Some(state);
        }
        self.advance(now, wall, shard)
    }

    /// Takes the answer to [`Step::Write`].
    pub fn written(
        &mut self,
        now: Duration,
        wall: u64,
        shard: ShardId,
        entries: Entries,
        result: Written,
    ) -> Vec<Step> {
        let Some(s) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        s.busy = false;
        match result {
            Written::Done(version) => {
                s.state = Some((version, entries));
                s.noting.clear();
                s.recall();
            }
            Written::Conflict | Written::Unknown => {
                s.state = None;
                s.recall();
            }
            Written::Refused => {
                s.recall();
                return self.give_up(now, shard, true);
            }
        }
        self.advance(now, wall, shard)
    }

    /// Goes on with what waits, and gives up what has waited too long.
    pub fn tick(&mut self, now: Duration, wall: u64) -> Vec<Step> {
        self.shards.retain(|_, s| !s.is_idle(now));
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        let mut steps = Vec::new();
        for id in ids {
            steps.extend(self.give_up(now, id, true));
            steps.extend(self.advance(now, wall, id));
        }
        steps
    }

    /// Number of claims and final notes that wait to be stored.
    pub fn waiting(&self) -> usize {
        let of = |s: &Shard| s.asks.len() + s.sent.len() + s.finished.len();
        self.shards.values().map(of).sum()
    }

    /// Gives up asks: those whose time is over, or all if `late_only` is false.
    fn give_up(&mut self, now: Duration, shard: ShardId, late_only: bool) -> Vec<Step> {
        let Some(s) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        let mut steps = Vec::new();
        let lost = |a: &Ask| !late_only || a.until <= now;
        let (mut out, kept): (Vec<Ask>, Vec<Ask>) = s.asks.drain(..).partition(lost);
        s.asks = kept.into();
        out.extend(s.sent.extract_if(.., |a| a.until <= now));
        for ask in out {
            // A write whose answer is lost may have stored the claim, so it is
            // set free once the platform can be asked.
            s.finished.push(Note {
                key: ask.key,
                id: ask.id.clone(),
                stage: Stage::NotRun,
            });
            steps.push(Step::Tell(ask.id, Verdict::Unavailable));
        }
        steps
    }

    fn advance(&mut self, now: Duration, wall: u64, shard: ShardId) -> Vec<Step> {
        let Some(s) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        let idle = s.asks.is_empty() && s.finished.is_empty();
        if s.busy || idle {
            return Vec::new();
        }
        let pause = self.config.interval;
        if s.asks.is_empty() && s.last.is_some_and(|t| now < t + pause * 4) {
            return Vec::new();
        }
        let Some((version, entries)) = &s.state else {
            s.busy = true;
            return vec![Step::Read(shard)];
        };
        let (version, mut next) = (*version, entries.clone());
        let mut steps = s.settle(&next);
        if s.writes_ahead(now, pause) + 1.0 > WRITES_SAVED {
            return steps;
        }
        s.merge(&mut next, wall, self.config.keep);
        if s.sent.is_empty() && s.noting.is_empty() {
            return steps;
        }
        s.busy = true;
        s.ahead = s.writes_ahead(now, pause) + 1.0;
        s.last = Some(now);
        steps.push(Step::Write(shard, version, next));
        steps
    }
}

impl Shard {
    fn is_idle(&self, now: Duration) -> bool {
        let waits = self.asks.len() + self.sent.len() + self.finished.len() + self.noting.len();
        !self.busy && waits == 0 && now > self.used + IDLE_TIME
    }

    fn writes_ahead(&self, now: Duration, pause: Duration) -> f64 {
        let since = self.last.map_or(Duration::ZERO, |t| now.saturating_sub(t));
        (self.ahead - since.as_secs_f64() / pause.as_secs_f64().max(1e-3)).max(0.0)
    }

    /// Takes back what the last write carried, to be decided anew.
    fn recall(&mut self) {
        self.sent.drain(..).for_each(|a| self.asks.push_front(a));
        self.finished.append(&mut self.noting);
    }

    /// Answers the asks that the stored entries already decide.
    fn settle(&mut self, entries: &Entries) -> Vec<Step> {
        let mut steps = Vec::new();
        let notes = &self.finished;
        self.asks.retain(|ask| {
            let Some(e) = entries.keys.get(&ask.key) else {
                return true;
            };
            let note = notes.iter().find(|n| n.id == e.id);
            let stage = note.map_or(e.stage, |n| n.stage);
            let verdict = match stage {
                _ if e.id == ask.id => Verdict::Granted,
                Stage::NotRun => return true,
                stage => Verdict::Held(e.id.clone(), stage),
            };
            steps.push(Step::Tell(ask.id.clone(), verdict));
            false
        });
        steps
    }

    /// Writes waiting asks and final notes into the entries.
    fn merge(&mut self, entries: &mut Entries, wall: u64, keep: Duration) {
        // A note whose claim is not there is written all the same: the new
        // version makes sure that a delayed write of that claim fails.
        self.noting.append(&mut self.finished);
        for note in &self.noting {
            if let Some(e) = entries.keys.get_mut(&note.key)
                && e.id == note.id
            {
                e.stage = note.stage;
            }
        }
        let oldest = wall.saturating_sub(keep.as_secs());
        entries.keys.retain(|_, e| e.at >= oldest);
        for ask in std::mem::take(&mut self.asks) {
            let taken = entries.keys.get(&ask.key);
            if taken.is_some_and(|e| e.stage != Stage::NotRun) {
                // Two asks for one key in one batch: the second learns of the
                // first after the commit.
                self.asks.push_back(ask);
                continue;
            }
            let entry = Entry {
                id: ask.id.clone(),
                stage: Stage::Taken,
                at: wall,
            };
            entries.keys.insert(ask.key.clone(), entry);
            self.sent.push(ask);
        }
    }
}
