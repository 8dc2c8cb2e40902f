//! Requests that wait at a box for room on the engines.
//!
//! Engines that are out of memory refuse requests, or throw out others and read
//! them anew, so what does not fit waits at the box: by rank, then those who
//! come back as they were told, and among them the teams take turns. It waits only as long as it is likely to be let in
//! soon; one that would wait longer is refused at once.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Weight of the newest gap in the learned time between two requests that were
/// let in.
const GAP_ALPHA: f64 = 0.1;

/// Longest gap that is learned from: a longer one means that nobody came.
const MAX_GAP: Duration = Duration::from_secs(1);

/// Share of memory up to which engines are filled before it is known at which
/// share they refuse; memory is counted by what requests are expected to use.
const INITIAL_FILL_LIMIT: f64 = 1.15;

/// Least and most that the learned share may become.
const FILL_LIMIT_RANGE: (f64, f64) = (0.7, 1.5);

/// Weight of the newest refusal in it.
const FILL_LIMIT_ALPHA: f64 = 0.05;

/// Part of the share at which engines refuse up to which they are filled: the
/// rest is for answers that become longer than expected, so that fewer requests
/// are thrown out and read anew.
const FILL_LIMIT_MARGIN: f64 = 0.95;

/// Order in the line: group, turn of the team, number.
type Position = (PriorityGroup, u64, u64);

/// Rank, 0 first, and whether the request is made for the first time.
type PriorityGroup = (u32, bool);

/// A request's place in the line.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket(Position);

/// The requests that wait for one service.
#[derive(Debug)]
pub struct AdmissionQueue {
    waiting: BTreeMap<Position, Arc<str>>,
    /// Next turn of each team that waits, by group.
    turns: HashMap<(PriorityGroup, Arc<str>), u64>,
    next_number: u64,
    /// Learned time between two requests that were let in, in seconds.
    mean_gap: f64,
    last_admission: Duration,
    fill_limit: f64,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        AdmissionQueue {
            waiting: BTreeMap::new(),
            turns: HashMap::new(),
            next_number: 0,
            mean_gap: 0.0,
            last_admission: Duration::ZERO,
            fill_limit: INITIAL_FILL_LIMIT,
        }
    }
}

impl AdmissionQueue {
    /// Adds a request of a team; 0 is the first rank. One that is made for the
    /// `first` time goes behind those that come back.
    pub fn enqueue(&mut self, rank: u32, first: bool, team: &Arc<str>) -> Ticket {
        let group = (rank, first);
        let same = self.waiting.keys().filter(|(g, ..)| *g == group);
        let current = same.map(|(_, turn, _)| *turn).min().unwrap_or(0);
        let turn = self.turns.entry((group, team.clone())).or_insert(current);
        let place = (group, (*turn).max(current), self.next_number);
        *turn = place.1 + 1;
        self.next_number += 1;
        self.waiting.insert(place, team.clone());
        Ticket(place)
    }

    /// Takes a request out, let in or not.
    pub fn remove(&mut self, ticket: &Ticket) {
        self.waiting.remove(&ticket.0);
        if self.waiting.is_empty() {
            self.turns.clear();
        }
    }

    /// Requests that go before this one.
    pub fn ahead(&self, ticket: &Ticket) -> usize {
        self.waiting.range(..ticket.0).count()
    }

    /// Requests that go before a new one of this rank that is made for the first
    /// time.
    pub fn ahead_of_new(&self, rank: u32) -> usize {
        self.waiting.range(..((rank + 1, false), 0, 0)).count()
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Notes that a request was let in.
    pub fn note_admitted(&mut self, now: Duration) {
        let gap = now
            .saturating_sub(self.last_admission)
            .min(MAX_GAP)
            .as_secs_f64();
        self.mean_gap = match self.mean_gap {
            0.0 => gap,
            old => old + GAP_ALPHA * (gap - old),
        };
        self.last_admission = now;
    }

    /// Time until a request with so many ahead of it is likely to be let in.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        Duration::from_secs_f64(self.mean_gap * (ahead + 1) as f64)
    }

    /// Share of their memory up to which engines are filled.
    pub fn fill_limit(&self) -> f64 {
        self.fill_limit
    }

    /// Learns from an engine that refused a request though this share of its
    /// memory was taken to be used.
    pub fn note_refused(&mut self, fullness: f64) {
        let (least, most) = FILL_LIMIT_RANGE;
        let seen = (fullness * FILL_LIMIT_MARGIN).clamp(least, most);
        self.fill_limit += FILL_LIMIT_ALPHA * (seen - self.fill_limit);
    }
}
