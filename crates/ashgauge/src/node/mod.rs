//! State machine of one box. It takes events, updates its parts (queues, claims, table,
//! lease and others) and returns the actions to perform. It does no I/O itself.

mod admit;
mod call;
mod claims;
mod dispatch;
mod peers;
mod pipeline;
mod quarantined;
mod recover;
mod status;
mod store;
mod types;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::claim::{self, ClaimId, Claims};
use crate::clock::Clock;
use crate::editor::Editor;
use crate::lease::Lease;
use crate::limit::TeamLimits;
use crate::member::{BoxId, MemberList, Members, UpstreamId};
use crate::order::Orders;
use crate::policy::{Policy, Team};
use crate::quarantine::Quarantine;
use crate::queue::{Queue, RequestId};
use crate::record::{Record, RecordKind};
use crate::retry::RetryBudget;
use crate::table::{Table, Version};
use crate::upstream_stats::{DurationEstimate, UpstreamStatsMap};

use pipeline::Pipeline;

pub use status::{Stats, Status, UpstreamStatus};
pub use types::*;

/// Settings of a [`Node`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the box.
    pub id: BoxId,
    /// Incarnation of the box: a number that differs with every start of its process.
    pub incarnation: u64,
    /// Data centre of the box.
    pub data_centre: String,
    /// Address of the box-to-box port, as sent to peers.
    pub peer_addr: String,
    /// Box-to-box addresses of peers that are asked for the table if the platform is down
    /// at start.
    pub seeds: Vec<String>,
    /// Unix time at the node's time zero, in milliseconds since 1970.
    pub epoch_ms: u64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of requests at one time, including waiting ones.
    pub max_requests: usize,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Number of boxes that each heartbeat is sent to.
    pub fanout: usize,
    /// Minimum time without an answer before a stage counts as lost.
    pub stage_timeout: Duration,
    /// Time without an answer before a service call counts as lost. Applies only to
    /// repeatable requests.
    pub call_timeout: Duration,
    /// Maximum number of stage inputs kept for one request, over all its stages. Beyond
    /// it, inputs that only a replay would need are dropped.
    pub max_inputs: usize,
    /// Retries per first attempt, 0 to 1.
    pub retry_share: f64,
    /// Time without contact to the platform and to any peer after which the box is not
    /// ready.
    pub isolation_timeout: Duration,
    /// Time to live of the lease that permits a box to send orders to upstreams.
    pub lease_ttl: Duration,
    /// Settings of the claims on idempotency keys.
    pub claims: claim::Config,
    /// Strategy for choice, queueing and recovery; for comparison with simple baselines.
    pub strategy: Strategy,
}

/// Strategy for choice, queueing, rate limits and recovery.
///
/// The default is for production. The alternatives are simple baselines to measure
/// against.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Strategy {
    /// Choose the cheapest chain of engines; otherwise choose engines round-robin.
    pub cheapest: bool,
    /// Use weighted fair queueing; otherwise first come, first served.
    pub fair: bool,
    /// Borrow token rate from other boxes; otherwise use only this box's share.
    pub loans: bool,
    /// Replace a lost stage and replay its inputs; otherwise restart the whole request.
    pub replay: bool,
}

impl Default for Strategy {
    fn default() -> Self {
        Strategy {
            cheapest: true,
            fair: true,
            loans: true,
            replay: true,
        }
    }
}

impl Config {
    /// Returns the box name with its incarnation, unique over all boxes and process
    /// starts.
    pub fn instance_id(&self) -> String {
        format!("{}.{:x}", self.id, self.incarnation)
    }

    /// Creates settings with the daemon's defaults.
    pub fn new(id: &str, incarnation: u64) -> Self {
        Config {
            id: id.into(),
            incarnation,
            data_centre: String::new(),
            peer_addr: String::new(),
            seeds: Vec::new(),
            epoch_ms: 0,
            seed: incarnation,
            max_requests: 4096,
            heartbeat_interval: Duration::from_secs(3),
            fanout: 3,
            stage_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(5),
            max_inputs: 65_536,
            retry_share: 0.1,
            isolation_timeout: Duration::from_secs(30),
            lease_ttl: Duration::from_secs(5),
            claims: claim::Config {
                shards: 16,
                retention: Duration::from_secs(24 * 3600),
                write_interval: Duration::from_millis(200),
                timeout: Duration::from_secs(2),
            },
            strategy: Strategy::default(),
        }
    }
}

/// State of one box, driven by [`Node::handle`].
pub struct Node {
    config: Config,
    /// Time of the last event, counted from the start.
    now: Duration,
    clock: Clock,
    rng: SmallRng,
    /// Actions of the event that is being handled.
    actions: Vec<Action>,
    table: Arc<Table>,
    policy: Policy,
    /// Member list as the platform sent it.
    member_list: MemberList,
    members: Members,
    upstream_stats: UpstreamStatsMap,
    /// Waiting requests by route.
    queues: BTreeMap<String, Queue>,
    /// Seconds per generated token of running requests, by route.
    token_times: HashMap<String, DurationEstimate>,
    requests: BTreeMap<RequestId, Request>,
    /// Requests by the claim whose result they wait for.
    pending_claims: HashMap<ClaimId, RequestId>,
    /// Claims that were requested and then abandoned, with their keys and the time. No
    /// call is sent to an upstream under them.
    abandoned_claims: HashMap<ClaimId, (String, Duration)>,
    retry_budget: RetryBudget,
    rate_limits: TeamLimits,
    claims: Claims,
    /// Peers, with their addresses, that wait for the result of a claim made here.
    claim_askers: HashMap<ClaimId, (BoxId, String)>,
    editor: Editor,
    lease: Lease,
    orders: Orders,
    quarantine: Quarantine,
    control: ControlState,
    /// Counter for round-robin choices.
    rotation: usize,
    stats: Stats,
}

/// State of the contact with the platform and the peers.
#[derive(Debug, Default)]
struct ControlState {
    draining: bool,
    /// Time of the next heartbeats.
    next_heartbeat: Duration,
    /// Time of the last contact to the platform or a peer.
    last_contact: Option<Duration>,
    /// Whether a read of the table is in flight.
    reading_table: bool,
    /// Earliest time of the next read of the table.
    next_read: Duration,
    /// Newest table version that is known to exist.
    newest_version: Version,
    /// Whether peers were asked for their table version at start.
    peers_asked: bool,
    /// Peers that have not answered this question yet.
    awaited_peers: Vec<BoxId>,
    /// Time of the next check for loans that are due.
    next_loans: Duration,
}

/// An admitted request of a caller.
struct Request {
    incoming: IncomingRequest,
    team: Arc<Team>,
    route: String,
    /// Whether route and caller allow the request to run more than once.
    repeatable: bool,
    /// Time at which the request is refused unless it has ended.
    deadline: Duration,
    /// Estimated cost in tokens.
    cost: f64,
    /// Number of attempts started.
    attempt: u32,
    /// Whether an upstream may have run part of the request.
    maybe_ran: bool,
    /// Value of `maybe_ran` before the current service call was sent.
    ran_before: bool,
    claim: Option<Claim>,
    /// Generated tokens.
    tokens: Vec<StageValue>,
    /// Start of the first attempt.
    started_at: Duration,
    phase: Phase,
}

/// A request's claim on its idempotency key.
struct Claim {
    id: ClaimId,
    /// Earlier claim ids of this request that were abandoned. No call is sent under them.
    abandoned_ids: Vec<ClaimId>,
    /// Name and address of the box that owns the key, if it is another one and was asked.
    owner: Option<(BoxId, String)>,
    /// Time at which the claim was requested.
    asked_at: Duration,
}

/// Phase of a request.
enum Phase {
    /// Waits for the result of its claim.
    Claiming,
    /// Waits in the queue of its route.
    Waiting,
    /// Runs through the stages of a model.
    Running(Pipeline),
    /// Waits for a service that was called at this time.
    Calling(UpstreamId, Duration),
}

impl Request {
    /// Returns the maximum number of tokens still to be generated.
    fn tokens_left(&self) -> u32 {
        match &self.incoming.work {
            Work::Generate { max_tokens, .. } => {
                max_tokens.saturating_sub(self.tokens.len() as u32)
            }
            Work::Call { .. } => 0,
        }
    }

    /// Returns the outcome to report to the caller if the request ends without a result.
    fn outcome(&self) -> Outcome {
        if self.maybe_ran {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}

impl Node {
    /// Creates a node that has no table and no member list yet.
    pub fn new(config: Config) -> Self {
        Node {
            now: Duration::ZERO,
            clock: Clock::default(),
            rng: SmallRng::seed_from_u64(config.seed),
            actions: Vec::new(),
            table: Arc::default(),
            policy: Policy::default(),
            member_list: MemberList::default(),
            members: Members::default(),
            upstream_stats: UpstreamStatsMap::default(),
            queues: BTreeMap::new(),
            token_times: HashMap::new(),
            requests: BTreeMap::new(),
            pending_claims: HashMap::new(),
            abandoned_claims: HashMap::new(),
            retry_budget: RetryBudget::new(config.retry_share),
            rate_limits: TeamLimits::default(),
            claims: Claims::new(config.claims.clone()),
            claim_askers: HashMap::new(),
            editor: Editor::default(),
            lease: Lease::new(config.instance_id(), config.lease_ttl),
            orders: Orders::default(),
            quarantine: Quarantine::default(),
            control: ControlState::default(),
            rotation: 0,
            stats: Stats::default(),
            config,
        }
    }

    /// Handles one event that happened at `now`, counted from the node's start, and
    /// returns the actions to perform.
    ///
    /// `now` must not go back.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::RequestArrived(incoming) => self.on_request(incoming),
            Event::CallerGone(id) => self.on_caller_gone(id),
            Event::StageDone(result) => self.on_stage_done(result),
            Event::StageFailed(id, session, start, error) => {
                self.on_stage_failed(id, session, start, error)
            }
            Event::ServiceDone(id, attempt, response) => {
                self.on_service_done(id, attempt, response)
            }
            Event::ServiceFailed(id, attempt, error) => self.on_service_failed(id, attempt, error),
            Event::Read(key, answer) => self.on_read(key, answer),
            Event::Written(key, value, result) => self.on_written(key, value, result),
            Event::TableVersion(version) => self.on_table_version(version),
            Event::Listed(listing) => self.on_listing(listing),
            Event::Unchanged => self.control.last_contact = Some(self.now),
            Event::MessageReceived(envelope) => self.on_message(envelope),
            Event::SendFailed(to, message) => self.on_send_failed(&to, message),
            Event::Edit(waiter, edit) => {
                let actions = self.editor.push(self.now, waiter, edit);
                self.run_edit_actions(actions);
            }
            Event::OrderAnswered(id, term, reply) => self.on_order_reply(&id, term, reply),
            Event::Drain => self.drain(),
            Event::Tick => self.tick(),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the load balancer may send requests to this box: its table is up
    /// to date, the peers that it asked at start have answered or failed, it has contact
    /// to the platform or to a peer, and it is not draining.
    pub fn is_ready(&self, now: Duration) -> bool {
        let control = &self.control;
        let table_current =
            self.policy.version > 0 && self.policy.version >= control.newest_version;
        let peers_answered = control.peers_asked && control.awaited_peers.is_empty();
        let isolated = control
            .last_contact
            .is_none_or(|t| now > t + self.config.isolation_timeout);
        table_current && peers_answered && !isolated && !control.draining
    }

    /// Returns whether the node is draining and has no requests left.
    pub fn is_drained(&self) -> bool {
        self.control.draining && self.requests.is_empty()
    }

    /// Returns the number of requests in flight or waiting.
    pub fn inflight(&self) -> usize {
        self.requests.len()
    }

    fn tick(&mut self) {
        self.tick_store();
        self.tick_peers();
        self.tick_requests();
        self.expire_requests();
        self.dispatch_all();
    }

    fn wall_ms(&self) -> u64 {
        self.config.epoch_ms + self.now.as_millis() as u64
    }

    fn record(&mut self, request: Option<RequestId>, kind: RecordKind) {
        let record = Record {
            at: self.clock.tick(self.wall_ms()),
            box_id: self.config.id.clone(),
            request,
            kind,
        };
        self.actions.push(Action::Record(record));
    }
}
