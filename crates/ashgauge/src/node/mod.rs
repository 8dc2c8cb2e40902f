//! One box: takes events, keeps the parts in step, returns actions.

mod admit;
mod call;
mod dispatch;
mod fleet;
mod flow;
mod held;
mod keyed;
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
use crate::limit::Limits;
use crate::load::{Loads, Spread};
use crate::member::{BoxId, Listing, Members, UpstreamId};
use crate::order::Orders;
use crate::policy::{Policy, Team};
use crate::quarantine::Quarantine;
use crate::queue::{Queue, RequestId};
use crate::record::{Record, What};
use crate::retry::Budget;
use crate::table::{Table, Version};

use flow::Flow;

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
    pub addr: String,
    /// Box-to-box addresses asked for the table if the platform is down.
    pub seeds: Vec<String>,
    /// Milliseconds since 1970 at node time zero.
    pub wall: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Most requests at one time, waiting ones included.
    pub requests: usize,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Boxes that each heartbeat goes to.
    pub fanout: usize,
    /// Least time before a silent stage counts as lost.
    pub silence: Duration,
    /// Time before a silent service counts as lost, if a second try is allowed.
    pub call_silence: Duration,
    /// Stage inputs kept for one request, over all its stages.
    pub keep: usize,
    /// Second tries per first try, 0 to 1.
    pub retries: f64,
    /// How long a box may hear neither the platform nor a peer.
    pub isolation: Duration,
    /// Time to live of the lease for orders.
    pub lease: Duration,
    /// Settings of the claims.
    pub claims: claim::Config,
    /// Ways of deciding, for comparison with plain baselines.
    pub tactics: Tactics,
}

/// Ways of deciding. The default is what a fleet should run; the others are
/// plain baselines to measure against.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tactics {
    /// Choose the cheapest chain; else take engines in turn.
    pub cheapest: bool,
    /// Weighted fair order; else first come, first served.
    pub fair: bool,
    /// Borrow rate from other boxes; else use the own share only.
    pub loans: bool,
    /// Replay a lost stage; else start the whole request anew.
    pub replay: bool,
}

impl Default for Tactics {
    fn default() -> Self {
        Tactics {
            cheapest: true,
            fair: true,
            loans: true,
            replay: true,
        }
    }
}

impl Config {
    /// The box with its incarnation, unique over all boxes and starts.
    pub fn owner(&self) -> String {
        format!("{}.{:x}", self.id, self.incarnation)
    }

    /// Makes settings with the defaults of the daemon.
    pub fn new(id: &str, incarnation: u64) -> Self {
        Config {
            id: id.into(),
            incarnation,
            data_centre: String::new(),
            addr: String::new(),
            seeds: Vec::new(),
            wall: 0,
            seed: incarnation,
            requests: 4096,
            heartbeat: Duration::from_secs(3),
            fanout: 3,
            silence: Duration::from_millis(500),
            call_silence: Duration::from_secs(5),
            keep: 65_536,
            retries: 0.1,
            isolation: Duration::from_secs(30),
            lease: Duration::from_secs(5),
            claims: claim::Config {
                shards: 16,
                keep: Duration::from_secs(24 * 3600),
                interval: Duration::from_millis(200),
                patience: Duration::from_secs(2),
            },
            tactics: Tactics::default(),
        }
    }
}

/// The decisions of one box.
pub struct Node {
    config: Config,
    now: Duration,
    clock: Clock,
    rng: SmallRng,
    out: Vec<Action>,
    table: Arc<Table>,
    policy: Policy,
    listing: Listing,
    members: Members,
    loads: Loads,
    queues: BTreeMap<String, Queue>,
    /// Seconds that a running request takes for each token it generates, by
    /// route.
    paces: HashMap<String, Spread>,
    requests: BTreeMap<RequestId, Request>,
    claiming: HashMap<ClaimId, RequestId>,
    /// Claims asked for and never to be sent under, with their keys.
    given_up: HashMap<ClaimId, (String, Duration)>,
    budget: Budget,
    limits: Limits,
    claims: Claims,
    asked_for: HashMap<ClaimId, (BoxId, String)>,
    editor: Editor,
    lease: Lease,
    orders: Orders,
    quarantine: Quarantine,
    fleet: Fleet,
    turn: usize,
    stats: Stats,
}

/// What the node remembers of its contact with platform and peers.
#[derive(Debug, Default)]
struct Fleet {
    draining: bool,
    heartbeat: Duration,
    heard: Option<Duration>,
    reading: bool,
    read_at: Duration,
    newest: Version,
    greeted: bool,
    awaited: Vec<BoxId>,
    renewed: Duration,
}

/// One request of a caller.
struct Request {
    order: Order,
    team: Arc<Team>,
    route: String,
    repeatable: bool,
    deadline: Duration,
    cost: f64,
    attempt: u32,
    /// Whether some upstream may have run a part of it.
    ran: bool,
    /// The same, before the current call went out.
    before: bool,
    claim: Option<Claim>,
    produced: Vec<Value>,
    began: Duration,
    phase: Phase,
}

/// A request's claim on its key.
struct Claim {
    id: ClaimId,
    /// Ids given up for this one; they are never sent under.
    dropped: Vec<ClaimId>,
    /// The box that was asked, if not this one.
    home: Option<(BoxId, String)>,
    asked: Duration,
}

enum Phase {
    Claiming,
    Waiting,
    Running(Flow),
    Calling(UpstreamId, Duration),
}

impl Request {
    /// Tokens that are still to be generated.
    fn left(&self) -> u32 {
        match &self.order.work {
            Work::Generate { most, .. } => most.saturating_sub(self.produced.len() as u32),
            Work::Call { .. } => 0,
        }
    }

    /// What a caller must be told if no result comes.
    fn outcome(&self) -> Outcome {
        if self.ran {
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
            out: Vec::new(),
            table: Arc::default(),
            policy: Policy::default(),
            listing: Listing::default(),
            members: Members::default(),
            loads: Loads::default(),
            queues: BTreeMap::new(),
            paces: HashMap::new(),
            requests: BTreeMap::new(),
            claiming: HashMap::new(),
            given_up: HashMap::new(),
            budget: Budget::new(config.retries),
            limits: Limits::default(),
            claims: Claims::new(config.claims.clone()),
            asked_for: HashMap::new(),
            editor: Editor::default(),
            lease: Lease::new(config.owner(), config.lease),
            orders: Orders::default(),
            quarantine: Quarantine::default(),
            fleet: Fleet::default(),
            turn: 0,
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
            Event::Arrive(order) => self.arrive(order),
            Event::Gone(id) => self.gone(id),
            Event::Ran(ran) => self.ran(ran),
            Event::RunFailed(id, session, start, fault) => {
                self.run_failed(id, session, start, fault)
            }
            Event::Called(id, attempt, called) => self.called(id, attempt, called),
            Event::CallFailed(id, attempt, fault) => self.call_failed(id, attempt, fault),
            Event::Read(object, answer) => self.read(object, answer),
            Event::Written(object, content, result) => self.written(object, content, result),
            Event::Watched(version) => self.see_version(version),
            Event::Listed(listing) => self.listed(listing),
            Event::Unchanged => self.fleet.heard = Some(self.now),
            Event::Heard(envelope) => self.heard(envelope),
            Event::SendFailed(to, message) => self.send_failed(&to, message),
            Event::Edit(ticket, edit) => {
                let steps = self.editor.push(self.now, ticket, edit);
                self.edit_steps(steps);
            }
            Event::Obeyed(id, term, reply) => self.obeyed(&id, term, reply),
            Event::Drain => self.drain(),
            Event::Tick => self.tick(),
        }
        std::mem::take(&mut self.out)
    }

    /// Returns true if the balancer may send requests to this box.
    pub fn is_ready(&self, now: Duration) -> bool {
        let f = &self.fleet;
        let knows = self.policy.version > 0 && self.policy.version >= f.newest;
        let greeted = f.greeted && f.awaited.is_empty();
        let alone = f.heard.is_none_or(|t| now > t + self.config.isolation);
        knows && greeted && !alone && !f.draining
    }

    /// Returns true once a draining node has nothing left to do.
    pub fn is_drained(&self) -> bool {
        self.fleet.draining && self.requests.is_empty()
    }

    /// Requests in flight or waiting.
    pub fn inflight(&self) -> usize {
        self.requests.len()
    }

    fn tick(&mut self) {
        self.tick_store();
        self.tick_fleet();
        self.tick_flows();
        self.expire();
        self.dispatch_all();
    }

    fn wall(&self) -> u64 {
        self.config.wall + self.now.as_millis() as u64
    }

    fn note(&mut self, request: Option<RequestId>, what: What) {
        let record = Record {
            at: self.clock.tick(self.wall()),
            node: self.config.id.clone(),
            request,
            what,
        };
        self.out.push(Action::Note(record));
    }
}
