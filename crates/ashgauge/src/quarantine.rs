//! Requests that end the upstreams that run them, and are held back for it.
//!
//! The loss of an upstream says little of what ran on it, but a request under which
//! one upstream after the other is lost ends them. A caller sends it again at any box,
//! so boxes tell each other which upstreams were lost under which request: sets that
//! only grow, so reports may come late, twice and in any order.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::digest::Digest;

/// Upstreams lost under a request after which it is held back; the users' figure.
const MAX_LOSSES: usize = 3;

/// Time from a run's first event after which it has not ended its upstream. Requests
/// that do so took 3 to 96 ms from when they began to run; a longer time lays more
/// losses to requests that only ran beside them.
const SAFE_RUN_TIME: Duration = Duration::from_millis(500);

/// How long a request is held back before it is tried again, and how long a loss
/// counts: long against what a caller goes on for and operators need to look into it.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(3600);

/// Requests whose losses are kept, at 100 bytes or so each.
const MAX_SUSPECTS: usize = 4096;

/// Requests that are held back at most, at 30 bytes or so each.
const MAX_QUARANTINED: usize = 4096;

/// How long a box tells the others of a loss: several words to each, of which some
/// may be lost.
const GOSSIP_TIME: Duration = Duration::from_secs(14);

/// Losses in one report, the newest ones: 1 kB or so.
const MAX_REPORT_LOSSES: usize = 128;

/// Held requests in one report: 300 bytes or so.
const MAX_REPORT_HELD: usize = 32;

/// Losses that are kept to be told.
const MAX_GOSSIP_LOSSES: usize = 1024;

/// Number that stands for one start of an upstream.
pub type InstanceKey = u32;

/// An upstream was lost while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceLoss {
    /// The request.
    pub digest: Digest,
    /// The upstream's start that was lost.
    #[serde(rename = "start")]
    pub instance: InstanceKey,
}

/// A request that is held back, as one box tells it to others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The request.
    pub digest: Digest,
    /// For how much longer, in whole seconds, from the moment of telling.
    pub left_s: u32,
}

/// What one box tells the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Losses that it saw or heard of a short while ago.
    #[serde(rename = "lost")]
    pub losses: Vec<InstanceLoss>,
    /// Requests that are held back.
    pub held: Vec<QuarantinedRequest>,
}

/// The losses under one request.
#[derive(Clone, Debug)]
struct Suspect {
    instances: Vec<InstanceKey>,
    /// When the last was noted.
    last_loss: Duration,
}

/// What is known of requests that may end upstreams.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::quarantine::{instance_key, InstanceLoss, Quarantine};
///
/// let now = Duration::from_secs(1);
/// let mut quarantine = Quarantine::default();
/// for engine in ["e1", "e2", "e3"] {
///     assert!(quarantine.time_left(now, 7).is_none());
///     quarantine.record_loss(now, InstanceLoss { digest: 7, instance: instance_key(engine, None) });
/// }
/// assert!(quarantine.time_left(now, 7).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Digest, Suspect>,
    /// Until when each request is held back.
    quarantined: HashMap<Digest, Duration>,
    /// Losses that this box tells others.
    gossip: Vec<GossipLoss>,
    /// Losses that may be found any moment, one for each check of an upstream.
    checks: Vec<InstanceLoss>,
}

/// A loss that is told to others.
#[derive(Clone, Copy, Debug)]
struct GossipLoss {
    loss: InstanceLoss,
    /// Since when.
    since: Duration,
    /// Whom.
    audience: Audience,
}

/// Whom a box tells what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// All: those that tell each other, and those that it hands on to.
    All,
    /// Those only that hear of others by this box.
    Downstream,
}

/// The number of an upstream's start: its id, and when it was born if it says so.
pub fn instance_key(id: &str, born: Option<u64>) -> InstanceKey {
    xxh3_64_with_seed(id.as_bytes(), born.unwrap_or_default()) as InstanceKey
}

/// Whether a run that brought its first event at `first`, and one at `last`, has shown
/// that the request does not end its upstream.
pub fn is_safe_run(first: Duration, last: Duration) -> bool {
    last >= first + SAFE_RUN_TIME
}

impl Quarantine {
    /// Notes a loss that this box saw; returns whether the request is held back from
    /// now on.
    pub fn record_loss(&mut self, now: Duration, lost: InstanceLoss) -> bool {
        self.enqueue(now, lost, Audience::All);
        self.add_loss(now, lost)
    }

    /// Notes that a check of an upstream began: a run of the request broke off on it.
    pub fn begin_check(&mut self, lost: InstanceLoss) {
        self.checks.push(lost);
    }

    /// Notes that the check ended, whatever it found.
    pub fn end_check(&mut self, lost: InstanceLoss) {
        if let Some(at) = self.checks.iter().position(|check| *check == lost) {
            self.checks.swap_remove(at);
        }
    }

    /// Whether a request would be held back if all checks of its upstreams found them
    /// lost. Until they end it is sent nowhere: a process takes its time to end, and each
    /// send meanwhile may cost another one.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::quarantine::{instance_key, InstanceLoss, Quarantine};
    ///
    /// let lost = ["a", "b", "c"].map(|id| InstanceLoss { digest: 7, instance: instance_key(id, None) });
    /// let mut quarantine = Quarantine::default();
    /// lost.iter().for_each(|lost| quarantine.begin_check(*lost));
    /// assert!(quarantine.may_be_quarantined(7) && !quarantine.may_be_quarantined(8));
    /// quarantine.end_check(lost[0]);
    /// assert!(!quarantine.may_be_quarantined(7));
    /// ```
    pub fn may_be_quarantined(&self, digest: Digest) -> bool {
        let found = self.suspects.get(&digest);
        let mut starts = found.map_or_else(Vec::new, |s| s.instances.clone());
        for check in self.checks.iter().filter(|check| check.digest == digest) {
            if !starts.contains(&check.instance) {
                starts.push(check.instance);
            }
        }
        starts.len() >= MAX_LOSSES
    }

    /// Tells others what another box has told, as they do not hear it; returns
    /// whether there is something new to tell.
    pub fn forward(&mut self, now: Duration, report: &Report, to: Audience) -> bool {
        let is_told = |told: &GossipLoss, lost: &InstanceLoss| {
            told.loss == *lost && now < told.since + GOSSIP_TIME
        };
        let news = report.losses.iter();
        let news = news.filter(|lost| !self.gossip.iter().any(|told| is_told(told, lost)));
        let news: Vec<InstanceLoss> = news.copied().collect();
        news.iter().for_each(|lost| self.enqueue(now, *lost, to));
        !news.is_empty()
    }

    fn enqueue(&mut self, now: Duration, lost: InstanceLoss, to: Audience) {
        self.gossip.retain(|told| now < told.since + GOSSIP_TIME);
        if self.gossip.len() >= MAX_GOSSIP_LOSSES {
            self.gossip.remove(0);
        }
        let since = now;
        self.gossip.push(GossipLoss {
            loss: lost,
            since,
            audience: to,
        });
    }

    /// Takes what another box told; returns the requests that are held back from now
    /// on.
    pub fn merge(&mut self, now: Duration, report: &Report) -> Vec<Digest> {
        let mut news = Vec::new();
        for lost in &report.losses {
            if self.add_loss(now, *lost) {
                news.push(lost.digest);
            }
        }
        for held in &report.held {
            let left = Duration::from_secs(held.left_s.into());
            if self.quarantine(now, held.digest, left) {
                news.push(held.digest);
            }
        }
        news
    }

    /// Holds a request back for `left`; returns whether it was not.
    ///
    /// A time that boxes hand on never grows, as it is told in whole seconds that are
    /// left, so each hold lapses.
    pub fn quarantine(&mut self, now: Duration, digest: Digest, left: Duration) -> bool {
        let until = now + left.min(QUARANTINE_TIME);
        if until <= now {
            return false;
        }
        self.suspects.remove(&digest);
        let is_new = self.time_left(now, digest).is_none();
        if is_new && self.quarantined.len() >= MAX_QUARANTINED {
            evict_min(&mut self.quarantined, |until| *until);
        }
        let known = self.quarantined.entry(digest).or_insert(until);
        *known = until.max(*known);
        is_new
    }

    /// Forgets the losses under a request that an upstream has run well.
    pub fn clear_losses(&mut self, digest: Digest) {
        self.suspects.remove(&digest);
    }

    /// Whether upstreams were lost under a request that is not held back.
    pub fn is_suspect(&self, digest: Digest) -> bool {
        self.suspects.contains_key(&digest)
    }

    /// For how much longer a request is held back, if it is.
    pub fn time_left(&self, now: Duration, digest: Digest) -> Option<Duration> {
        let until = self.quarantined.get(&digest)?;
        let left = until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Requests that are held back, those with the most time left first.
    pub fn quarantined(&self, now: Duration) -> Vec<(Digest, Duration)> {
        let left = |(digest, until): (&Digest, &Duration)| (*digest, until.saturating_sub(now));
        let mut held: Vec<_> = self.quarantined.iter().map(left).collect();
        held.retain(|(_, left)| !left.is_zero());
        held.sort_unstable_by_key(|(digest, left)| (std::cmp::Reverse(*left), *digest));
        held
    }

    /// Requests under which upstreams were lost that are not held back.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// What the boxes of an audience are to know; of many held requests some, in
    /// turns by `turn`.
    pub fn report(&self, now: Duration, turn: u64, to: Audience) -> Report {
        let recent = self.gossip.iter().rev();
        let recent = recent.filter(|told| now < told.since + GOSSIP_TIME);
        let recent = recent.filter(|told| to == Audience::Downstream || told.audience == to);
        let held = self.quarantined(now);
        let skipped = (turn as usize).wrapping_mul(MAX_REPORT_HELD) % held.len().max(1);
        let told = held.iter().cycle().skip(skipped);
        let told = told.take(held.len().min(MAX_REPORT_HELD));
        Report {
            losses: recent
                .map(|told| told.loss)
                .take(MAX_REPORT_LOSSES)
                .collect(),
            held: told.map(QuarantinedRequest::new).collect(),
        }
    }

    /// Adds a loss to those of its request; returns whether that holds it back.
    fn add_loss(&mut self, now: Duration, lost: InstanceLoss) -> bool {
        if self.time_left(now, lost.digest).is_some() {
            return false;
        }
        if !self.suspects.contains_key(&lost.digest) && self.suspects.len() >= MAX_SUSPECTS {
            // What was lost under fewest and longest ago says least.
            evict_min(&mut self.suspects, |s| (s.instances.len(), s.last_loss));
        }
        let suspect = self.suspects.entry(lost.digest).or_insert(Suspect {
            instances: Vec::new(),
            last_loss: now,
        });
        if now >= suspect.last_loss + QUARANTINE_TIME {
            suspect.instances.clear();
        }
        if !suspect.instances.contains(&lost.instance) {
            suspect.instances.push(lost.instance);
            suspect.last_loss = now;
        }
        let holds = suspect.instances.len() >= MAX_LOSSES;
        holds && self.quarantine(now, lost.digest, QUARANTINE_TIME)
    }
}

impl QuarantinedRequest {
    fn new((digest, left): &(Digest, Duration)) -> Self {
        QuarantinedRequest {
            digest: *digest,
            left_s: left.as_secs().try_into().unwrap_or(u32::MAX),
        }
    }
}

impl Report {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.held.is_empty()
    }
}

/// Drops the entry with the least rank.
fn evict_min<V, R: Ord>(entries: &mut HashMap<Digest, V>, rank: impl Fn(&V) -> R) {
    let least = entries.iter().min_by_key(|(digest, v)| (rank(v), **digest));
    if let Some(digest) = least.map(|(digest, _)| *digest) {
        entries.remove(&digest);
    }
}
