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
const SLICE_SECS: u64 = 10;

/// How long an idle shard's entries are remembered.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Seconds by which the clocks of boxes and callers may differ; a key that is
/// nearer to its end is refused, as another box may have dropped it.
const EXPIRY_MARGIN_SECS: u64 = 60;

/// Seconds by which a key's time may be ahead of a box's clock.
const EARLY_MARGIN_SECS: u64 = 30;

/// Writes that a calm shard may make in a row; on average it makes one each
/// interval.
const MAX_WRITE_BURST: f64 = 3.0;

/// A shard's number.
pub type ShardId = u32;

/// Unique name of one try to claim, such as `box.incarnation.request`.
pub type ClaimId = String;

/// How far the request behind a claim came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It may have been sent.
    #[serde(rename = "taken")]
    Claimed,
    /// It ran to its end.
    Done,
    /// It did not run; the key is free again.
    NotRun,
}

/// One stored claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredClaim {
    /// Who claimed it.
    pub id: ClaimId,
    /// How far it came.
    #[serde(rename = "stage")]
    pub state: ClaimState,
    /// When, in seconds since 1970.
    #[serde(rename = "at")]
    pub claimed_at: u64,
}

/// Stored form of a shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredShard {
    /// Claims by key.
    pub keys: BTreeMap<String, StoredClaim>,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The asker holds the key and may send once.
    Granted,
    /// Another claim, named here, holds it and came so far.
    Held(ClaimId, ClaimState),
    /// The platform could not be asked; nothing was or will be sent.
    Unavailable,
}

/// What to do for the claims.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Read a shard's object.
    Read(ShardId),
    /// Write it if it still has this version.
    Write(ShardId, Version, StoredShard),
    /// Tell a claim's verdict.
    Respond(ClaimId, ClaimResult),
}

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WriteResult {
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
    pub retention: Duration,
    /// Least time between two writes of one shard.
    pub write_interval: Duration,
    /// How long a claim may wait for the platform.
    pub timeout: Duration,
}

/// Claims of one box, over all shards.
#[derive(Debug)]
pub struct Claims {
    config: Config,
    shards: BTreeMap<ShardId, Shard>,
}

#[derive(Debug, Default)]
struct Shard {
    stored: Option<(Version, StoredShard)>,
    busy: bool,
    inflight: Vec<PendingClaim>,
    queue: VecDeque<PendingClaim>,
    updates: Vec<StateUpdate>,
    inflight_updates: Vec<StateUpdate>,
    last_write: Option<Duration>,
    /// Writes made beyond the rate of one each interval.
    write_debt: f64,
    last_used: Duration,
}

#[derive(Clone, Debug)]
struct StateUpdate {
    key: String,
    id: ClaimId,
    stage: ClaimState,
}

#[derive(Clone, Debug)]
struct PendingClaim {
    key: String,
    id: ClaimId,
    deadline: Duration,
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
    pub fn shard_of(&self, key: &str) -> ShardId {
        let name = key.rsplit('/').next().unwrap_or(key);
        let base = (xxh3_64(key.as_bytes()) % u64::from(self.config.shards)) as ShardId;
        let Some(made) = key_time(name) else {
            return base;
        };
        // One slice more than are in use, and one for clocks that differ.
        let slices = self.config.retention.as_secs() / SLICE_SECS + 2;
        let slice = (made / SLICE_SECS % slices) as ShardId;
        self.config.shards * (1 + slice) + base
    }

    /// Returns true if a key is so old that its claim may have been dropped.
    ///
    /// Only keys that carry their time can be judged; see [`key_time`].
    pub fn is_expired(&self, wall: u64, key: &str) -> bool {
        let oldest = wall.saturating_sub(self.config.retention.as_secs());
        key_time(key).is_some_and(|made| made <= oldest + EXPIRY_MARGIN_SECS)
    }

    /// Returns true if a key's time is still to come, so that its claim could
    /// be dropped before the key is too old.
    pub fn is_early(&self, wall: u64, key: &str) -> bool {
        key_time(key).is_some_and(|made| made > wall + EARLY_MARGIN_SECS)
    }

    /// Asks for a key.
    pub fn claim(&mut self, now: Duration, wall: u64, key: &str, id: &str) -> Vec<ClaimAction> {
        let until = now + self.config.timeout;
        let shard = self.shard_of(key);
        let ask = PendingClaim {
            key: key.into(),
            id: id.into(),
            deadline: until,
        };
        let s = self.shards.entry(shard).or_default();
        s.last_used = now;
        s.queue.push_back(ask);
        self.advance(now, wall, shard)
    }

    /// Notes how far a claimed request came; stored with the next write.
    pub fn update_state(&mut self, key: &str, id: &str, stage: ClaimState) {
        let shard = self.shard_of(key);
        let s = self.shards.entry(shard).or_default();
        s.updates.push(StateUpdate {
            key: key.into(),
            id: id.into(),
            stage,
        });
    }

    /// Takes the answer to [`ClaimAction::Read`]; `None` if the platform gave none.
    pub fn on_read(
        &mut self,
        now: Duration,
        wall: u64,
        shard: ShardId,
        answer: Option<(Version, StoredShard)>,
    ) -> Vec<ClaimAction> {
        let Some(s) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        s.busy = false;
        let Some(state) = answer else {
            // Notes alone must not ask a silent platform over and over.
            s.write_debt = s.write_debt_at(now, self.config.write_interval);
            s.last_write = Some(now);
            return self.fail_claims(now, shard, false);
        };
        // A stale read must not undo what a write of ours has shown.
        if s.stored.as_ref().is_none_or(|(v, _)| *v <= state.0) {
            s.stored = Some(state);
        }
        self.advance(now, wall, shard)
    }

    /// Takes the answer to [`ClaimAction::Write`].
    pub fn on_written(
        &mut self,
        now: Duration,
        wall: u64,
        shard: ShardId,
        entries: StoredShard,
        result: WriteResult,
    ) -> Vec<ClaimAction> {
        let Some(s) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        s.busy = false;
        match result {
            WriteResult::Done(version) => {
                s.stored = Some((version, entries));
                s.inflight_updates.clear();
                s.requeue();
            }
            WriteResult::Conflict | WriteResult::Unknown => {
                s.stored = None;
                s.requeue();
            }
            WriteResult::Refused => {
                s.requeue();
                return self.fail_claims(now, shard, true);
            }
        }
        self.advance(now, wall, shard)
    }

    /// Goes on with what waits, and gives up what has waited too long.
    pub fn tick(&mut self, now: Duration, wall: u64) -> Vec<ClaimAction> {
        self.shards.retain(|_, s| !s.is_idle(now));
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        let mut steps = Vec::new();
        for id in ids {
            steps.extend(self.fail_claims(now, id, true));
            steps.extend(self.advance(now, wall, id));
        }
        steps
    }

    /// Number of claims and final notes that wait to be stored.
    pub fn waiting_count(&self) -> usize {
        let of = |s: &Shard| s.queue.len() + s.inflight.len() + s.updates.len();
        self.shards.values().map(of).sum()
    }

    /// Gives up asks: those whose time is over, or all if `late_only` is false.
    fn fail_claims(&mut self, now: Duration, shard: ShardId, late_only: bool) -> Vec<ClaimAction> {
        let Some(s) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        let mut steps = Vec::new();
        let lost = |a: &PendingClaim| !late_only || a.deadline <= now;
        let (mut out, kept): (Vec<PendingClaim>, Vec<PendingClaim>) =
            s.queue.drain(..).partition(lost);
        s.queue = kept.into();
        out.extend(s.inflight.extract_if(.., |a| a.deadline <= now));
        for ask in out {
            // A write whose answer is lost may have stored the claim, so it is
            // set free once the platform can be asked.
            s.updates.push(StateUpdate {
                key: ask.key,
                id: ask.id.clone(),
                stage: ClaimState::NotRun,
            });
            steps.push(ClaimAction::Respond(ask.id, ClaimResult::Unavailable));
        }
        steps
    }

    fn advance(&mut self, now: Duration, wall: u64, shard: ShardId) -> Vec<ClaimAction> {
        let Some(s) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        let idle = s.queue.is_empty() && s.updates.is_empty();
        if s.busy || idle {
            return Vec::new();
        }
        let pause = self.config.write_interval;
        if s.queue.is_empty() && s.last_write.is_some_and(|t| now < t + pause * 4) {
            return Vec::new();
        }
        let Some((version, entries)) = &s.stored else {
            s.busy = true;
            return vec![ClaimAction::Read(shard)];
        };
        let (version, mut next) = (*version, entries.clone());
        let mut steps = s.resolve(&next);
        if s.write_debt_at(now, pause) + 1.0 > MAX_WRITE_BURST {
            return steps;
        }
        s.write_pending(&mut next, wall, self.config.retention);
        if s.inflight.is_empty() && s.inflight_updates.is_empty() {
            return steps;
        }
        s.busy = true;
        s.write_debt = s.write_debt_at(now, pause) + 1.0;
        s.last_write = Some(now);
        steps.push(ClaimAction::Write(shard, version, next));
        steps
    }
}

impl Shard {
    fn is_idle(&self, now: Duration) -> bool {
        let waits = self.queue.len()
            + self.inflight.len()
            + self.updates.len()
            + self.inflight_updates.len();
        !self.busy && waits == 0 && now > self.last_used + IDLE_TIMEOUT
    }

    fn write_debt_at(&self, now: Duration, pause: Duration) -> f64 {
        let since = self
            .last_write
            .map_or(Duration::ZERO, |t| now.saturating_sub(t));
        (self.write_debt - since.as_secs_f64() / pause.as_secs_f64().max(1e-3)).max(0.0)
    }

    /// Takes back what the last write carried, to be decided anew.
    fn requeue(&mut self) {
        self.inflight
            .drain(..)
            .for_each(|a| self.queue.push_front(a));
        self.updates.append(&mut self.inflight_updates);
    }

    /// Answers the asks that the stored entries already decide.
    fn resolve(&mut self, entries: &StoredShard) -> Vec<ClaimAction> {
        let mut steps = Vec::new();
        let notes = &self.updates;
        self.queue.retain(|ask| {
            let Some(e) = entries.keys.get(&ask.key) else {
                return true;
            };
            let note = notes.iter().find(|n| n.id == e.id);
            let stage = note.map_or(e.state, |n| n.stage);
            let verdict = match stage {
                _ if e.id == ask.id => ClaimResult::Granted,
                ClaimState::NotRun => return true,
                stage => ClaimResult::Held(e.id.clone(), stage),
            };
            steps.push(ClaimAction::Respond(ask.id.clone(), verdict));
            false
        });
        steps
    }

    /// Writes waiting asks and final notes into the entries.
    fn write_pending(&mut self, entries: &mut StoredShard, wall: u64, keep: Duration) {
        // A note whose claim is not there is written all the same: the new
        // version makes sure that a delayed write of that claim fails.
        self.inflight_updates.append(&mut self.updates);
        for note in &self.inflight_updates {
            if let Some(e) = entries.keys.get_mut(&note.key)
                && e.id == note.id
            {
                e.state = note.stage;
            }
        }
        let oldest = wall.saturating_sub(keep.as_secs());
        entries.keys.retain(|_, e| e.claimed_at >= oldest);
        for ask in std::mem::take(&mut self.queue) {
            let taken = entries.keys.get(&ask.key);
            if taken.is_some_and(|e| e.state != ClaimState::NotRun) {
                // Two asks for one key in one batch: the second learns of the
                // first after the commit.
                self.queue.push_back(ask);
                continue;
            }
            let entry = StoredClaim {
                id: ask.id.clone(),
                state: ClaimState::Claimed,
                claimed_at: wall,
            };
            entries.keys.insert(ask.key.clone(), entry);
            self.inflight.push(ask);
        }
    }
}
