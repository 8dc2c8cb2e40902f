//! The operators' configuration as the boxes use it: routes by host and path,
//! services, teams by key, bounds for clients.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::chain::Layer;
use crate::class::Priorities;

/// Name of a service.
pub type ServiceId = Arc<str>;

/// Version of a configuration; versions only rise.
pub type ConfigVersion = u64;

/// What a configuration allows, in one version.
#[derive(Clone, Debug, Default)]
pub struct RoutingConfig {
    /// Its version.
    pub version: ConfigVersion,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Arc<Service>>,
    /// Teams by key, if requests need one.
    keys: Option<HashMap<String, Arc<Team>>>,
    /// Ranks of the streams that compete for each service.
    priorities: HashMap<ServiceId, Priorities>,
    /// Bounds for clients.
    pub client_limits: ClientLimits,
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that it belongs to.
    pub host: String,
    /// Prefix of the path, beginning and ending with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Set if the answer is a stream of events.
    pub stream: Option<StreamPolicy>,
    /// Longest time that a request may be held.
    pub timeout: Duration,
    /// Time within which an answer is worth most; for a stream, its first
    /// event.
    pub target_latency: Duration,
    /// Rank, 0 goes first.
    pub priority: u32,
    /// Services with their weights.
    pub traffic_split: Vec<(ServiceId, f64)>,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub allow_anonymous: bool,
}

/// What holds for the events of a route's answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamPolicy {
    /// Whether another upstream may go on after the last event.
    pub resumable: bool,
    /// Longest pause between events that still counts as in time.
    pub max_pause: Duration,
}

/// A service, by what the configuration tells of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Connections that one upstream accepts over all boxes.
    pub max_connections: u32,
    /// Set if the upstreams are model engines.
    pub model: Option<Model>,
}

/// A model whose layers are spread over engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Layers; 0 if each engine holds the whole model.
    pub layers: Layer,
    /// Memory of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// Memory of one token's state over all layers, in megabytes.
    pub token_mb: f64,
    /// Requests that one engine accepts as a chain's first.
    pub slots: u32,
    /// Time of a step through all layers at speed 1.
    pub step_time: Duration,
    /// More time of a step for each request in it, at speed 1.
    pub step_per_request: Duration,
    /// Tokens that a request gets in one pass; an event of its answer holds as
    /// many.
    pub event_tokens: u32,
    /// Prompt tokens read in a second through all layers at speed 1.
    pub prefill_rate: f64,
    /// Time to load all layers of the model.
    pub load_time: Duration,
    /// Loads that run at a time without slowing each other.
    pub parallel_loads: u32,
    /// Tokens of a usual prompt.
    pub typical_prompt: u32,
    /// Tokens of a usual answer.
    pub typical_output: u32,
    /// Megabytes that one token's activation takes on a link.
    pub activation_mb: f64,
    /// Megabytes a second between two data centres, over all requests.
    pub wan_mb_s: f64,
    /// Kinds of accelerators.
    pub accelerators: HashMap<String, Accelerator>,
}

/// A kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Accelerator {
    /// Memory for weights and requests, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of a step.
    pub step_factor: f64,
    /// Factor on the time to read a prompt.
    pub prefill_factor: f64,
}

/// A team, as a key leads to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
    /// Its keys.
    pub keys: Vec<String>,
}

/// What clients may send, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub header_timeout: Duration,
    /// Time that a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Bounds until a configuration brings others.
    fn default() -> Self {
        ClientLimits {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What a request's key says.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// The key belongs to this team.
    Team(Arc<Team>),
    /// No key is needed.
    Anonymous,
    /// The key is missing, or no team has it.
    Denied,
}

impl RoutingConfig {
    /// Puts a configuration together; `teams` is `None` if no key is needed.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Option<Vec<Team>>,
        bounds: ClientLimits,
    ) -> Self {
        let ranks = priorities_by_service(&routes, teams.as_deref());
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s)));
        RoutingConfig {
            version,
            hosts,
            services: services.collect(),
            keys: teams.map(teams_by_key),
            priorities: ranks,
            client_limits: bounds,
        }
    }

    /// Finds the route with the longest prefix of `path` on `host`.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::routing::RoutingConfig;
    ///
    /// assert!(RoutingConfig::default().find_route("a.example", "/notes/1").is_none());
    /// ```
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Checks a request's key on a route.
    pub fn authorize(&self, route: &Route, key: Option<&str>) -> Access {
        let Some(keys) = &self.keys else {
            return Access::Anonymous;
        };
        match key.and_then(|k| keys.get(k)) {
            Some(team) => Access::Team(team.clone()),
            None if route.allow_anonymous => Access::Anonymous,
            None => Access::Denied,
        }
    }

    /// The ranks of the streams that compete for a service; `None` if no route brings it
    /// streams.
    pub fn priorities(&self, service: &str) -> Option<&Priorities> {
        self.priorities.get(service)
    }

    /// Whether requests need keys at all.
    pub fn requires_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Services that some route leads to.
    pub fn routed_services(&self) -> impl Iterator<Item = &ServiceId> {
        let routes = self.hosts.values().flatten();
        routes.flat_map(|r| r.traffic_split.iter().map(|(s, _)| s))
    }
}

impl Model {
    /// Requests of usual size for which a card has memory beside `held`
    /// layers; 0 for a kind that the configuration does not tell.
    pub fn request_capacity(&self, card: &str, held: Layer) -> f64 {
        let memory = self.accelerators.get(card).map_or(0.0, |c| c.memory_mb);
        let free = (memory - f64::from(held) * self.layer_mb).max(0.0);
        let share = f64::from(held) / f64::from(self.layers.max(1));
        let usual = f64::from(self.typical_prompt + self.typical_output) * self.token_mb * share;
        if usual > 0.0 {
            free / usual
        } else {
            f64::INFINITY
        }
    }

    /// Seconds of a step with `load` requests in it, at speed 1.
    ///
    /// Any times may stand in a configuration: what does not fit into a [`Duration`]
    /// counts as the longest one, as the plain operators panic then.
    pub(crate) fn step_seconds(&self, load: f64) -> f64 {
        let requests = Duration::try_from_secs_f64(load * self.step_per_request.as_secs_f64());
        let requests = requests.unwrap_or(Duration::MAX);
        self.step_time.saturating_add(requests).as_secs_f64()
    }
}

impl Route {
    /// Chooses a service by the route's weights.
    pub fn choose_service(&self, rng: &mut impl Rng) -> Option<&ServiceId> {
        let total: f64 = self.traffic_split.iter().map(|(_, w)| w).sum();
        let mut at = rng.random_range(0.0..1.0) * total;
        for (service, weight) in &self.traffic_split {
            if at < *weight {
                return Some(service);
            }
            at -= weight;
        }
        self.traffic_split.last().map(|(s, _)| s)
    }

    /// Whether a request that may have run may be sent again.
    pub fn is_retryable(&self) -> bool {
        self.stream.map_or(self.idempotent, |s| s.resumable)
    }
}

/// The ranks of the streams that compete for each service.
fn priorities_by_service(
    routes: &[Route],
    teams: Option<&[Team]>,
) -> HashMap<ServiceId, Priorities> {
    let mut by_team: Vec<Option<u32>> = teams
        .unwrap_or_default()
        .iter()
        .map(|t| t.priority)
        .collect();
    if teams.is_none() || routes.iter().any(|r| r.allow_anonymous) {
        by_team.push(None);
    }
    by_team.sort_unstable();
    by_team.dedup();
    let mut by_route: HashMap<ServiceId, Vec<u32>> = HashMap::new();
    for route in routes.iter().filter(|r| r.stream.is_some()) {
        for (service, _) in &route.traffic_split {
            by_route
                .entry(service.clone())
                .or_default()
                .push(route.priority);
        }
    }
    let ranks = by_route.into_iter();
    ranks
        .map(|(service, routes)| (service, Priorities::new(&by_team, &routes)))
        .collect()
}

fn teams_by_key(teams: Vec<Team>) -> HashMap<String, Arc<Team>> {
    let mut keys = HashMap::new();
    for team in teams {
        let team = Arc::new(team);
        for key in &team.keys {
            keys.insert(key.clone(), team.clone());
        }
    }
    keys
}
