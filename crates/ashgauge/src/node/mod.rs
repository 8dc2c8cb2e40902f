//! One box: takes events, keeps the parts in step, returns actions.

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

/// Settings of one node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the box.
    pub id: BoxId,
    /// Differs with every start of the process.
    pub incarnation: u64,
    /// Data centre of the box.
    pub data_centre: String,
    /// Address of the box-to-box port, told to peers.
    pub peer_addr: String,
    /// Box-to-box addresses asked for the table if the platform is down.
    pub seeds: Vec<String>,
    /// Milliseconds since 1970 at node time zero.
    pub epoch_ms: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Most requests at one time, waiting ones included.
    pub max_requests: usize,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Boxes that each heartbeat goes to.
    pub fanout: usize,
    /// Least time before a silent stage counts as lost.
    pub stage_timeout: Duration,
    /// Time before a silent service counts as lost, if a second try is allowed.
    pub call_timeout: Duration,
    /// Stage inputs kept for one request, over all its stages.
    pub max_inputs: usize,
    /// Second tries per first try, 0 to 1.
    pub retry_share: f64,
    /// How long a box may hear neither the platform nor a peer.
    pub isolation_timeout: Duration,
    /// Time to live of the lease for orders.
    pub lease_ttl: Duration,
    /// Settings of the claims.
    pub claims: claim::Config,
    /// Ways of deciding, for comparison with plain baselines.
    pub strategy: Strategy,
}

/// Ways of deciding. The default is what a fleet should run; the others are
/// plain baselines to measure against.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Strategy {
    /// Choose the cheapest chain; else take engines in turn.
    pub cheapest: bool,
    /// Weighted fair order; else first come, first served.
    pub fair: bool,
    /// Borrow rate from other boxes; else use the own share only.
    pub loans: bool,
    /// Replay a lost stage; else start the whole request anew.
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
    /// The box with its incarnation, unique over all boxes and starts.
    pub fn instance_id(&self) -> String {
        format!("{}.{:x}", self.id, self.incarnation)
    }

    /// Makes settings with the defaults of the daemon.
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

/// The decisions of one box.
pub struct Node {
    config: Config,
    now: Duration,
    clock: Clock,
    rng: SmallRng,
    actions: Vec<Action>,
    table: Arc<Table>,
    policy: Policy,
    listing: MemberList,
    members: Members,
    loads: UpstreamStatsMap,
    queues: BTreeMap<String, Queue>,
    /// Seconds that a running request takes for each token it generates, by
    /// route.
    token_times: HashMap<String, DurationEstimate>,
    requests: BTreeMap<RequestId, Request>,
    pending_claims: HashMap<ClaimId, RequestId>,
    /// Claims asked for and never to be sent under, with their keys.
    abandoned_claims: HashMap<ClaimId, (String, Duration)>,
    retry_budget: RetryBudget,
    rate_limits: TeamLimits,
    claims: Claims,
    claim_askers: HashMap<ClaimId, (BoxId, String)>,
    editor: Editor,
    lease: Lease,
    orders: Orders,
    quarantine: Quarantine,
    control: ControlState,
    rotation: usize,
    stats: Stats,
}

/// What the node remembers of its contact with platform and peers.
#[derive(Debug, Default)]
struct ControlState {
    draining: bool,
    next_heartbeat: Duration,
    last_contact: Option<Duration>,
    reading_table: bool,
    next_read: Duration,
    newest_version: Version,
    peers_asked: bool,
    awaited_peers: Vec<BoxId>,
    next_loans: Duration,
}

/// One request of a caller.
struct Request {
    incoming: IncomingRequest,
    team: Arc<Team>,
    route: String,
    repeatable: bool,
    deadline: Duration,
    cost: f64,
    attempt: u32,
    /// Whether some upstream may have run a part of it.
    maybe_ran: bool,
    /// The same, before the current call went out.
    ran_before: bool,
    claim: Option<Claim>,
    tokens: Vec<StageValue>,
    started_at: Duration,
    phase: Phase,
}

/// A request's claim on its key.
struct Claim {
    id: ClaimId,
    /// Ids given up for this one; they are never sent under.
    abandoned_ids: Vec<ClaimId>,
    /// The box that was asked, if not this one.
    home: Option<(BoxId, String)>,
    asked_at: Duration,
}

enum Phase {
    Claiming,
    Waiting,
    Running(Pipeline),
    Calling(UpstreamId, Duration),
}

impl Request {
    /// Tokens that are still to be generated.
    fn tokens_left(&self) -> u32 {
        match &self.incoming.work {
            Work::Generate {
                max_tokens: most, ..
            } => most.saturating_sub(self.tokens.len() as u32),
            Work::Call { .. } => 0,
        }
    }

    /// What a caller must be told if no result comes.
    fn outcome(&self) -> Outcome {
        if self.maybe_ran {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}

impl Node {
    /// Makes a node that knows nothing yet.
    pub fn new(config: Config) -> Self {
        Node {
            now: Duration::ZERO,
            clock: Clock::default(),
            rng: SmallRng::seed_from_u64(config.seed),
            actions: Vec::new(),
            table: Arc::default(),
            policy: Policy::default(),
            listing: MemberList::default(),
            members: Members::default(),
            loads: UpstreamStatsMap::default(),
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

    /// Takes one event that happened at `now`, counted from the node's start.
    ///
    /// `now` must not go back.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::RequestArrived(order) => self.on_request(order),
            Event::CallerGone(id) => self.on_caller_gone(id),
            Event::StageDone(ran) => self.on_stage_done(ran),
            Event::StageFailed(id, session, start, fault) => {
                self.on_stage_failed(id, session, start, fault)
            }
            Event::ServiceDone(id, attempt, called) => self.on_service_done(id, attempt, called),
            Event::ServiceFailed(id, attempt, fault) => self.on_service_failed(id, attempt, fault),
            Event::Read(object, answer) => self.on_read(object, answer),
            Event::Written(object, content, result) => self.on_written(object, content, result),
            Event::TableVersion(version) => self.on_table_version(version),
            Event::Listed(listing) => self.on_listing(listing),
            Event::Unchanged => self.control.last_contact = Some(self.now),
            Event::MessageReceived(envelope) => self.on_message(envelope),
            Event::SendFailed(to, message) => self.on_send_failed(&to, message),
            Event::Edit(ticket, edit) => {
                let steps = self.editor.push(self.now, ticket, edit);
                self.run_edit_steps(steps);
            }
            Event::OrderAnswered(id, term, reply) => self.on_order_reply(&id, term, reply),
            Event::Drain => self.drain(),
            Event::Tick => self.tick(),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns true if the balancer may send requests to this box.
    pub fn is_ready(&self, now: Duration) -> bool {
        let f = &self.control;
        let knows = self.policy.version > 0 && self.policy.version >= f.newest_version;
        let greeted = f.peers_asked && f.awaited_peers.is_empty();
        let alone = f
            .last_contact
            .is_none_or(|t| now > t + self.config.isolation_timeout);
        knows && greeted && !alone && !f.draining
    }

    /// Returns true once a draining node has nothing left to do.
    pub fn is_drained(&self) -> bool {
        self.control.draining && self.requests.is_empty()
    }

    /// Requests in flight or waiting.
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

    fn record(&mut self, request: Option<RequestId>, what: RecordKind) {
        let record = Record {
            at: self.clock.tick(self.wall_ms()),
            box_id: self.config.id.clone(),
            request,
            kind: what,
        };
        self.actions.push(Action::Record(record));
    }
}
