//! Queue of requests that wait at a box for memory on the engines.
//!
//! Engines that are out of memory refuse requests, or evict others and read their prompts
//! again. So requests that do not fit wait at the box: by priority, then retries before
//! first attempts, and round-robin by team among those. A request waits only if it is
//! likely to be admitted soon; otherwise it is refused at once.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Weight of the newest gap in the average time between two admissions.
const GAP_ALPHA: f64 = 0.1;

/// Longest gap that goes into the average: a longer one means that there were no requests.
const MAX_GAP: Duration = Duration::from_secs(1);

/// Share of memory up to which engines are filled until it is known at which share they
/// refuse requests. Memory is counted by what requests are expected to use.
const INITIAL_FILL_LIMIT: f64 = 1.15;

/// Minimum and maximum of the learned share.
const FILL_LIMIT_RANGE: (f64, f64) = (0.7, 1.5);

/// Weight of the newest refusal in the learned share.
const FILL_LIMIT_ALPHA: f64 = 0.05;

/// Factor on the share at which engines refuse, up to which they are filled. The rest is
/// kept for answers that become longer than expected, so that fewer requests are evicted
/// and read again.
const FILL_LIMIT_MARGIN: f64 = 0.95;

/// Position in the queue: priority group, turn of the team, number.
type Position = (PriorityGroup, u64, u64);

/// Priority, 0 first, and whether the request is a first attempt.
type PriorityGroup = (u32, bool);

/// Handle of a request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket(Position);

/// Requests that wait for one service.
#[derive(Debug)]
pub struct AdmissionQueue {
    waiting: BTreeMap<Position, Arc<str>>,
    /// Next turn of each waiting team, by group.
    turns: HashMap<(PriorityGroup, Arc<str>), u64>,
    next_number: u64,
    /// Average time between two admissions, in seconds.
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
    /// Adds a request of a team; priority 0 goes first. A first attempt (`is_first`) goes
    /// behind retries.
    pub fn enqueue(&mut self, priority: u32, is_first: bool, team: &Arc<str>) -> Ticket {
        let group = (priority, is_first);
        let group_positions = self.waiting.keys().filter(|(g, ..)| *g == group);
        let current = group_positions.map(|(_, turn, _)| *turn).min().unwrap_or(0);
        let turn = self.turns.entry((group, team.clone())).or_insert(current);
        let position = (group, (*turn).max(current), self.next_number);
        *turn = position.1 + 1;
        self.next_number += 1;
        self.waiting.insert(position, team.clone());
        Ticket(position)
    }

    /// Removes a request, whether it was admitted or not.
    pub fn remove(&mut self, ticket: &Ticket) {
        self.waiting.remove(&ticket.0);
        if self.waiting.is_empty() {
            self.turns.clear();
        }
    }

    /// Returns the number of requests before this one.
    pub fn ahead(&self, ticket: &Ticket) -> usize {
        self.waiting.range(..ticket.0).count()
    }

    /// Returns the number of requests before a new first attempt of this priority.
    pub fn ahead_of_new(&self, priority: u32) -> usize {
        self.waiting.range(..((priority + 1, false), 0, 0)).count()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a request was admitted.
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

    /// Returns the expected time until a request with `ahead` requests before it is
    /// admitted.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        Duration::from_secs_f64(self.mean_gap * (ahead + 1) as f64)
    }

    /// Returns the share of their memory up to which engines are filled.
    pub fn fill_limit(&self) -> f64 {
        self.fill_limit
    }

    /// Learns from an engine that refused a request at this estimated share of its memory.
    pub fn note_refused(&mut self, utilization: f64) {
        let (min, max) = FILL_LIMIT_RANGE;
        let sample = (utilization * FILL_LIMIT_MARGIN).clamp(min, max);
        self.fill_limit += FILL_LIMIT_ALPHA * (sample - self.fill_limit);
    }
}
