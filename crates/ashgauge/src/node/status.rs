//! Counters and state for operators and metrics.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::*;
use crate::member::MemberState;

/// Counters since the process started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    /// Requests that callers sent.
    pub arrived: u64,
    /// Requests whose first attempt was started.
    pub started: u64,
    /// Restarts of whole requests.
    pub restarted: u64,
    /// Stages replaced in the middle of a request.
    pub replaced: u64,
    /// Stage runs and service calls that had no answer.
    pub lost: u64,
    /// Answers that matched no stage run or service call in flight.
    pub dropped: u64,
    /// Stage runs that were answered.
    #[serde(rename = "orders")]
    pub stage_runs: u64,
    /// Tokens sent to callers.
    pub tokens: u64,
    /// Messages sent to other boxes.
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

/// State of an upstream as one box sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Whether the upstream takes new work.
    pub state: MemberState,
    /// Whether the upstream's last request failed.
    pub suspect: bool,
    /// Requests of this box in flight on the upstream.
    pub held: u32,
    /// Requests that this box may have in flight on the upstream.
    pub window: u32,
    /// Estimated round-trip time of the network, in microseconds.
    #[serde(rename = "link")]
    pub link_us: u64,
    /// Layers that the upstream holds, as `model:first-end`.
    pub holds: Vec<String>,
}

/// State of one box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the box.
    pub id: BoxId,
    /// Data centre of the box.
    pub data_centre: String,
    /// Whether the load balancer may send requests to the box.
    pub ready: bool,
    /// Whether the box is draining.
    pub draining: bool,
    /// Table version in force.
    pub version: Version,
    /// Requests in flight or waiting.
    pub inflight: usize,
    /// Waiting requests by route.
    pub waiting: BTreeMap<String, usize>,
    /// Term of the lease for orders, if this box holds it.
    #[serde(rename = "lease")]
    pub lease_term: Option<u64>,
    /// Upstreams in the member list.
    pub upstreams: Vec<UpstreamStatus>,
    /// Boxes that count as live.
    pub live: Vec<BoxId>,
    /// Counters.
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
    /// Returns the table in force with its version.
    pub fn table(&self) -> (Version, &Arc<Table>) {
        (self.policy.version, &self.table)
    }

    /// Returns the counters since the node was created.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Returns the tokens per second that this box may spend now for a rate-limited team.
    pub fn team_rate(&self, team: &str) -> f64 {
        self.rate_limits.rate(self.now, team)
    }

    /// Returns all boxes of the platform's member list.
    pub fn boxes(&self) -> &[crate::member::BoxEntry] {
        &self.member_list.boxes
    }

    /// Returns the node's state for operators.
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
            let suspect = self.upstream_stats.is_suspect(now, &u.id);
            let load = self.upstream_stats.get_mut(&u.id);
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
