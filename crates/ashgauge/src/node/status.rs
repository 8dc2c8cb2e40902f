//! Counts and states that operators and metrics read.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::*;
use crate::member::MemberState;

/// Counts since the process started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    /// Requests that callers sent.
    pub arrived: u64,
    /// Requests of which a first try was made.
    pub started: u64,
    /// Whole second tries.
    pub restarted: u64,
    /// Stages replaced in the middle of a request.
    pub replaced: u64,
    /// Orders that brought no answer.
    pub lost: u64,
    /// Frames that matched no order.
    pub dropped: u64,
    /// Stage orders answered.
    #[serde(rename = "orders")]
    pub stage_runs: u64,
    /// Tokens given to callers.
    pub tokens: u64,
    /// Messages to other boxes.
    pub sent: u64,
    /// Reads of the platform's store.
    pub reads: u64,
    /// Writes to the platform's store.
    pub writes: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<String, u64>,
    /// Ended requests by outcome.
    pub ended: BTreeMap<String, u64>,
}

/// One upstream as a box sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name.
    pub id: UpstreamId,
    /// Whether it takes new work.
    pub state: MemberState,
    /// Whether its last order failed.
    pub suspect: bool,
    /// Requests of this box on it.
    pub held: u32,
    /// Requests this box may hold on it.
    pub window: u32,
    /// Learned link time both ways, in microseconds.
    #[serde(rename = "link")]
    pub link_us: u64,
    /// Layers it holds, as `model:first-end`.
    pub holds: Vec<String>,
}

/// One box as it sees itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name.
    pub id: BoxId,
    /// Data centre.
    pub data_centre: String,
    /// Whether the balancer may send requests here.
    pub ready: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// Table version in force.
    pub version: Version,
    /// Requests in flight or waiting.
    pub inflight: usize,
    /// Waiting requests by route.
    pub waiting: BTreeMap<String, usize>,
    /// Term of the lease for orders, if held here.
    #[serde(rename = "lease")]
    pub lease_term: Option<u64>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Boxes it would ask now.
    pub live: Vec<BoxId>,
    /// Counts.
    pub stats: Stats,
}

impl Stats {
    pub(super) fn count_refusal(&mut self, kind: RefusalKind) {
        *self.refused.entry(format!("{kind:?}")).or_default() += 1;
    }

    pub(super) fn count_end(&mut self, outcome: Outcome) {
        *self.ended.entry(format!("{outcome:?}")).or_default() += 1;
    }
}

impl Node {
    /// The table in force.
    pub fn table(&self) -> (Version, &Arc<Table>) {
        (self.policy.version, &self.table)
    }

    /// Counts since the node was made.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Tokens a second of a limited team that this box may spend now.
    pub fn team_rate(&self, team: &str) -> f64 {
        self.rate_limits.rate(self.now, team)
    }

    /// All boxes of the platform's list.
    pub fn boxes(&self) -> &[crate::member::BoxEntry] {
        &self.listing.boxes
    }

    /// The node's state as operators see it.
    pub fn status(&mut self, now: Duration) -> Status {
        self.now = self.now.max(now);
        let queues = self.queues.iter();
        Status {
            id: self.config.id.clone(),
            data_centre: self.config.data_centre.clone(),
            ready: self.is_ready(self.now),
            draining: self.control.draining,
            version: self.policy.version,
            inflight: self.requests.len(),
            waiting: queues.map(|(r, q)| (r.clone(), q.len())).collect(),
            lease_term: self.lease.term(self.now),
            upstreams: self.upstream_status(),
            live: self
                .members
                .live_boxes(self.now)
                .map(|b| b.id.clone())
                .collect(),
            stats: self.stats.clone(),
        }
    }

    fn upstream_status(&mut self) -> Vec<UpstreamStatus> {
        let now = self.now;
        let mut all = Vec::new();
        for u in self.members.upstreams() {
            let leaving = self.members.is_leaving(now, &u.id);
            let suspect = self.loads.is_suspect(now, &u.id);
            let load = self.loads.get_mut(&u.id);
            let holds = u.holds.iter();
            let holds = holds.map(|h| format!("{}:{}-{}", h.model, h.first, h.end));
            all.push(UpstreamStatus {
                id: u.id.clone(),
                state: if leaving {
                    MemberState::Leaving
                } else {
                    MemberState::Live
                },
                suspect,
                held: load.inflight,
                window: load.window(),
                link_us: (load.link_seconds(now) * 1e6) as u64,
                holds: holds.collect(),
            });
        }
        all
    }
}
