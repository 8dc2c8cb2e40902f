//! At-most-once execution of requests with an idempotency key, across all boxes.
//!
//! Keys are hashed to shards, and each shard is one stored object. A claim is a new entry in
//! its shard, committed by a write that is conditional on the shard's version. The box whose
//! claim is committed first may send the request, once; every other box is told of that
//! claim. Claims that arrive during a write are batched into the next one. Safety depends on
//! the object versions alone: no lease is involved, and clocks matter only for the expiry of
//! keys.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::table::Version;

/// Length of a time slice: keys that were made in the same slice share shards.
const SLICE_SECONDS: u64 = 10;

/// Time after which the state of an unused shard is dropped from memory.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Clock difference that is tolerated between boxes and callers; a key that is closer than
/// this to its expiry is refused, since another box may already have dropped its claim.
const EXPIRY_MARGIN_SECONDS: u64 = 60;

/// Maximum time by which a key's timestamp may be ahead of a box's clock.
const EARLY_MARGIN_SECONDS: u64 = 30;

/// Maximum burst of writes to a shard that was idle before; on average one write is allowed
/// in each write interval.
const MAX_WRITE_BURST: f64 = 3.0;

/// Number of a shard.
pub type ShardId = u32;

/// Unique name of one attempt to claim a key, such as `box.incarnation.request`; the
/// incarnation differs with every start of the box's process.
pub type ClaimId = String;

/// State of the request that a claim stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The key is claimed; the request may have been sent.
    #[serde(rename = "taken")]
    Claimed,
    /// The request was completed.
    Done,
    /// The request did not run; the key can be claimed again.
    NotRun,
}

/// A claim as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredClaim {
    /// Name of the claim.
    pub id: ClaimId,
    /// State of its request.
    #[serde(rename = "stage")]
    pub state: ClaimState,
    /// Time of the claim, in seconds since 1970 (the Unix epoch).
    #[serde(rename = "at")]
    pub claimed_at: u64,
}

/// Stored form of a shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredShard {
    /// Claims by key.
    pub keys: BTreeMap<String, StoredClaim>,
}

/// Result of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The key is claimed; the request may be sent, once.
    Granted,
    /// Another claim holds the key; carries its name and state.
    Held(ClaimId, ClaimState),
    /// The platform was not available; the request was not sent and will not be.
    Unavailable,
}

/// Action that the caller of [`Claims`] has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Read the stored object of a shard.
    Read(ShardId),
    /// Write a shard if the stored object still has this version.
    Write(ShardId, Version, StoredShard),
    /// Give a claim's result to the box that asked for it.
    Respond(ClaimId, ClaimResult),
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WriteResult {
    /// The write took effect; the object now has this version.
    Done(Version),
    /// The object had another version.
    Conflict,
    /// The result is unknown; the write may still take effect later.
    Unknown,
    /// The platform refused the write; it has no effect.
    Refused,
}

/// Settings of [`Claims`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of shards; the same on every box.
    pub shards: u32,
    /// How long claims are stored.
    pub retention: Duration,
    /// Minimum average time between two writes of the same shard.
    pub write_interval: Duration,
    /// Time within which the platform must have stored a claim.
    pub timeout: Duration,
}

/// Claims that one box processes, over all shards.
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
    /// Writes beyond the rate of one per write interval.
    write_debt: f64,
    last_used: Duration,
}

#[derive(Clone, Debug)]
struct StateUpdate {
    key: String,
    id: ClaimId,
    state: ClaimState,
}

#[derive(Clone, Debug)]
struct PendingClaim {
    key: String,
    id: ClaimId,
    deadline: Duration,
}

/// Returns the creation time of a key in seconds since 1970 (the Unix epoch), if it is a version 7
/// UUID (RFC 9562).
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
    /// Creates a set without claims.
    pub fn new(config: Config) -> Self {
        Claims {
            config,
            shards: BTreeMap::new(),
        }
    }

    /// Returns the shard of a key.
    ///
    /// Keys that contain a timestamp go to the shards of their time slice, so each of these
    /// shards stays small; it is reused once its keys are older than the retention time. All
    /// other keys share a separate set of shards.
    pub fn shard_of(&self, key: &str) -> ShardId {
        let name = key.rsplit('/').next().unwrap_or(key);
        let base = (xxh3_64(key.as_bytes()) % u64::from(self.config.shards)) as ShardId;
        let Some(created) = key_time(name) else {
            return base;
        };
        // One slice more than is in use, and one more for clock differences.
        let slices = self.config.retention.as_secs() / SLICE_SECONDS + 2;
        let slice = (created / SLICE_SECONDS % slices) as ShardId;
        self.config.shards * (1 + slice) + base
    }

    /// Returns whether a key is so old that its claim may have been dropped.
    ///
    /// Always false for keys without a timestamp; see [`key_time`].
    pub fn is_expired(&self, wall_secs: u64, key: &str) -> bool {
        let oldest = wall_secs.saturating_sub(self.config.retention.as_secs());
        key_time(key).is_some_and(|created| created <= oldest + EXPIRY_MARGIN_SECONDS)
    }

    /// Returns whether a key's timestamp lies in the future, so that its claim could be
    /// dropped before the key expires.
    pub fn is_early(&self, wall_secs: u64, key: &str) -> bool {
        key_time(key).is_some_and(|created| created > wall_secs + EARLY_MARGIN_SECONDS)
    }

    /// Starts to claim a key.
    pub fn claim(
        &mut self,
        now: Duration,
        wall_secs: u64,
        key: &str,
        id: &str,
    ) -> Vec<ClaimAction> {
        let deadline = now + self.config.timeout;
        let shard = self.shard_of(key);
        let claim = PendingClaim {
            key: key.into(),
            id: id.into(),
            deadline,
        };
        let s = self.shards.entry(shard).or_default();
        s.last_used = now;
        s.queue.push_back(claim);
        self.advance(now, wall_secs, shard)
    }

    /// Updates the state of a claimed request; it is stored with the next write.
    pub fn update_state(&mut self, key: &str, id: &str, state: ClaimState) {
        let shard = self.shard_of(key);
        let s = self.shards.entry(shard).or_default();
        s.updates.push(StateUpdate {
            key: key.into(),
            id: id.into(),
            state,
        });
    }

    /// Handles the result of [`ClaimAction::Read`]; `None` if the read failed.
    pub fn on_read(
        &mut self,
        now: Duration,
        wall_secs: u64,
        shard: ShardId,
        result: Option<(Version, StoredShard)>,
    ) -> Vec<ClaimAction> {
        let Some(s) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        s.busy = false;
        let Some(state) = result else {
            // Counted like a write, so that state updates alone do not lead to a tight loop of
            // failing reads.
            s.write_debt = s.write_debt_at(now, self.config.write_interval);
            s.last_write = Some(now);
            return self.fail_claims(now, shard, false);
        };
        // A stale read must not replace a newer version that an own write has made.
        if s.stored.as_ref().is_none_or(|(v, _)| *v <= state.0) {
            s.stored = Some(state);
        }
        self.advance(now, wall_secs, shard)
    }

    /// Handles the result of [`ClaimAction::Write`].
    pub fn on_written(
        &mut self,
        now: Duration,
        wall_secs: u64,
        shard: ShardId,
        stored: StoredShard,
        result: WriteResult,
    ) -> Vec<ClaimAction> {
        let Some(s) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        s.busy = false;
        match result {
            WriteResult::Done(version) => {
                s.stored = Some((version, stored));
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
        self.advance(now, wall_secs, shard)
    }

    /// Continues with queued claims, and fails those whose time is over.
    pub fn tick(&mut self, now: Duration, wall_secs: u64) -> Vec<ClaimAction> {
        self.shards.retain(|_, s| !s.is_idle(now));
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        let mut actions = Vec::new();
        for id in ids {
            actions.extend(self.fail_claims(now, id, true));
            actions.extend(self.advance(now, wall_secs, id));
        }
        actions
    }

    /// Returns the number of claims and state updates that wait to be stored.
    pub fn waiting_count(&self) -> usize {
        let count = |s: &Shard| s.queue.len() + s.inflight.len() + s.updates.len();
        self.shards.values().map(count).sum()
    }

    /// Fails claims: those past their deadline, or if `late_only` is false, all in the queue.
    fn fail_claims(&mut self, now: Duration, shard: ShardId, late_only: bool) -> Vec<ClaimAction> {
        let Some(s) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        let is_late = |claim: &PendingClaim| !late_only || claim.deadline <= now;
        let (mut expired, kept): (Vec<PendingClaim>, Vec<PendingClaim>) =
            s.queue.drain(..).partition(is_late);
        s.queue = kept.into();
        expired.extend(s.inflight.extract_if(.., |claim| claim.deadline <= now));
        for claim in expired {
            // A write whose response was lost may have stored the claim, so the key is
            // released once the platform is available again.
            s.updates.push(StateUpdate {
                key: claim.key,
                id: claim.id.clone(),
                state: ClaimState::NotRun,
            });
            actions.push(ClaimAction::Respond(claim.id, ClaimResult::Unavailable));
        }
        actions
    }

    fn advance(&mut self, now: Duration, wall_secs: u64, shard: ShardId) -> Vec<ClaimAction> {
        let Some(s) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        let idle = s.queue.is_empty() && s.updates.is_empty();
        if s.busy || idle {
            return Vec::new();
        }
        let interval = self.config.write_interval;
        if s.queue.is_empty() && s.last_write.is_some_and(|t| now < t + interval * 4) {
            return Vec::new();
        }
        let Some((version, stored)) = &s.stored else {
            s.busy = true;
            return vec![ClaimAction::Read(shard)];
        };
        let (version, mut next) = (*version, stored.clone());
        let mut actions = s.resolve(&next);
        if s.write_debt_at(now, interval) + 1.0 > MAX_WRITE_BURST {
            return actions;
        }
        s.apply_pending(&mut next, wall_secs, self.config.retention);
        if s.inflight.is_empty() && s.inflight_updates.is_empty() {
            return actions;
        }
        s.busy = true;
        s.write_debt = s.write_debt_at(now, interval) + 1.0;
        s.last_write = Some(now);
        actions.push(ClaimAction::Write(shard, version, next));
        actions
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

    fn write_debt_at(&self, now: Duration, interval: Duration) -> f64 {
        let since = self
            .last_write
            .map_or(Duration::ZERO, |t| now.saturating_sub(t));
        (self.write_debt - since.as_secs_f64() / interval.as_secs_f64().max(1e-3)).max(0.0)
    }

    /// Puts the claims and updates of the last write back into the queues.
    fn requeue(&mut self) {
        self.inflight
            .drain(..)
            .for_each(|claim| self.queue.push_front(claim));
        self.updates.append(&mut self.inflight_updates);
    }

    /// Answers the queued claims whose result follows from the stored shard.
    fn resolve(&mut self, stored: &StoredShard) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let updates = &self.updates;
        self.queue.retain(|claim| {
            let Some(e) = stored.keys.get(&claim.key) else {
                return true;
            };
            let update = updates.iter().find(|update| update.id == e.id);
            let state = update.map_or(e.state, |update| update.state);
            let result = match state {
                _ if e.id == claim.id => ClaimResult::Granted,
                ClaimState::NotRun => return true,
                state => ClaimResult::Held(e.id.clone(), state),
            };
            actions.push(ClaimAction::Respond(claim.id.clone(), result));
            false
        });
        actions
    }

    /// Applies the queued claims and state updates to the shard that will be written.
    fn apply_pending(&mut self, stored: &mut StoredShard, wall_secs: u64, retention: Duration) {
        // An update whose claim is not stored still causes a write: the new object version
        // makes a delayed write of that claim fail.
        self.inflight_updates.append(&mut self.updates);
        for update in &self.inflight_updates {
            if let Some(e) = stored.keys.get_mut(&update.key)
                && e.id == update.id
            {
                e.state = update.state;
            }
        }
        let oldest = wall_secs.saturating_sub(retention.as_secs());
        stored.keys.retain(|_, e| e.claimed_at >= oldest);
        for claim in std::mem::take(&mut self.queue) {
            let taken = stored.keys.get(&claim.key);
            if taken.is_some_and(|e| e.state != ClaimState::NotRun) {
                // Two claims of one key in one batch: the second is answered with the
                // first one's name after the commit.
                self.queue.push_back(claim);
                continue;
            }
            let entry = StoredClaim {
                id: claim.id.clone(),
                state: ClaimState::Claimed,
                claimed_at: wall_secs,
            };
            stored.keys.insert(claim.key.clone(), entry);
            self.inflight.push(claim);
        }
    }
}
