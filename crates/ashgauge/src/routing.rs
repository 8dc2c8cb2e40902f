//! Routing configuration as the boxes apply it: routes by host and path, services, teams by
//! key, and limits on clients.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::chain::Layer;
use crate::class::Priorities;

/// Name of a service.
pub type ServiceId = Arc<str>;

/// Version of a configuration; it only increases.
pub type ConfigVersion = u64;

/// One version of the routing configuration.
#[derive(Clone, Debug, Default)]
pub struct RoutingConfig {
    /// Version.
    pub version: ConfigVersion,
    /// Routes by host, longest path prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Arc<Service>>,
    /// Teams by key; `None` if requests need no key.
    keys: Option<HashMap<String, Arc<Team>>>,
    /// Priorities of the streams that compete for each service.
    priorities: HashMap<ServiceId, Priorities>,
    /// Limits on clients.
    pub client_limits: ClientLimits,
}

/// A route: which requests it matches, where they go and under which terms.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that it matches.
    pub host: String,
    /// Path prefix that it matches, with a leading and a trailing slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Policy for event streams; `None` if the answers are not streams.
    pub stream: Option<StreamPolicy>,
    /// Longest time that a request may take, from its arrival.
    pub timeout: Duration,
    /// Time within which an answer should arrive; for a stream, its first event.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services with their weights.
    pub traffic_split: Vec<(ServiceId, f64)>,
    /// Maximum number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests without a key are accepted.
    pub allow_anonymous: bool,
}

/// Policy for the event streams of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamPolicy {
    /// Whether another upstream may continue the stream after the last event.
    pub resumable: bool,
    /// Longest pause between two events that is still on time.
    pub max_pause: Duration,
}

/// A service, as the configuration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Maximum number of connections to one upstream from all boxes together.
    pub max_connections: u32,
    /// Path of the upstreams' health check, if they have one.
    pub health_path: Option<String>,
    /// Model, if the upstreams are model engines.
    pub model: Option<Model>,
}

/// A model whose layers are distributed over engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Number of layers; 0 if each engine holds the whole model.
    pub layers: Layer,
    /// Memory of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// Memory of one token's state (KV cache) over all layers, in megabytes.
    pub token_mb: f64,
    /// Requests that one engine accepts as the first engine of their chains.
    pub slots: u32,
    /// Time of a decode step through all layers on the reference accelerator, which has
    /// factor 1.
    pub step_time: Duration,
    /// Additional time of a step for each request in its batch, on the reference
    /// accelerator.
    pub step_per_request: Duration,
    /// Tokens that a request gets in one pass, which are sent as one event.
    pub event_tokens: u32,
    /// Prompt tokens read a second through all layers on the reference accelerator.
    pub prefill_rate: f64,
    /// Time to load all layers of the model.
    pub load_time: Duration,
    /// Number of loads that can run in parallel without slowing each other down.
    pub parallel_loads: u32,
    /// Prompt tokens of a typical request.
    pub typical_prompt: u32,
    /// Output tokens of a typical request.
    pub typical_output: u32,
    /// Megabytes that the activations of one token take on a link.
    pub activation_mb: f64,
    /// Bandwidth between two data centres for all requests together, in megabytes a second.
    pub wan_mb_s: f64,
    /// Kinds of accelerators, by name.
    pub accelerators: HashMap<String, Accelerator>,
}

/// A kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Accelerator {
    /// Memory for weights and requests, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of a decode step.
    pub step_factor: f64,
    /// Factor on the time to read a prompt.
    pub prefill_factor: f64,
}

/// A team that sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Priority, which comes before that of the route; `None` if only the route's counts.
    pub priority: Option<u32>,
    /// Its API keys.
    pub keys: Vec<String>,
}

/// Limits on what clients may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request head.
    pub header_timeout: Duration,
    /// Time that a connection may be idle between two requests.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits that apply until a configuration is loaded.
    fn default() -> Self {
        ClientLimits {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Result of checking a request's key.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// The key belongs to this team.
    Team(Arc<Team>),
    /// The request may go on without a team.
    Anonymous,
    /// The key is missing or unknown.
    Denied,
}

impl RoutingConfig {
    /// Builds a configuration; `teams` is `None` if requests need no key.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Option<Vec<Team>>,
        client_limits: ClientLimits,
    ) -> Self {
        let priorities = priorities_by_service(&routes, teams.as_deref());
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
            priorities,
            client_limits,
        }
    }

    /// Returns whether there is a route of this name.
    pub fn has_route(&self, name: &str) -> bool {
        let mut routes = self.hosts.values().flatten();
        routes.any(|route| route.name == name)
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

    /// Checks a request's key against a route.
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

    /// Returns the priorities of the streams that compete for a service; `None` if no route
    /// sends streams to it.
    pub fn priorities(&self, service: &str) -> Option<&Priorities> {
        self.priorities.get(service)
    }

    /// Returns whether requests need keys.
    pub fn requires_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the services that at least one route leads to.
    pub fn routed_services(&self) -> impl Iterator<Item = &ServiceId> {
        let routes = self.hosts.values().flatten();
        routes.flat_map(|r| r.traffic_split.iter().map(|(s, _)| s))
    }
}

impl Model {
    /// Returns how many typical requests fit into an accelerator's memory beside the
    /// weights of `held` layers; 0 for a kind that is not configured.
    pub fn request_capacity(&self, accelerator: &str, held: Layer) -> f64 {
        let memory_mb = self
            .accelerators
            .get(accelerator)
            .map_or(0.0, |a| a.memory_mb);
        let free_mb = (memory_mb - f64::from(held) * self.layer_mb).max(0.0);
        let share = f64::from(held) / f64::from(self.layers.max(1));
        let typical_mb = self.typical_tokens() * self.token_mb * share;
        if typical_mb > 0.0 {
            free_mb / typical_mb
        } else {
            f64::INFINITY
        }
    }

    /// Returns the tokens of a typical request, read and written.
    pub(crate) fn typical_tokens(&self) -> f64 {
        f64::from(self.typical_prompt) + f64::from(self.typical_output)
    }

    /// Returns the seconds of a decode step with `load` requests in its batch, on the
    /// reference accelerator.
    ///
    /// A configuration may hold any times. A time that does not fit into a [`Duration`]
    /// counts as the longest one, since the plain operators would panic.
    pub(crate) fn step_seconds(&self, load: f64) -> f64 {
        let batch_time = Duration::try_from_secs_f64(load * self.step_per_request.as_secs_f64());
        let batch_time = batch_time.unwrap_or(Duration::MAX);
        self.step_time.saturating_add(batch_time).as_secs_f64()
    }
}

impl Route {
    /// Chooses a service at random by the route's weights.
    pub fn choose_service(&self, rng: &mut impl Rng) -> Option<&ServiceId> {
        let total: f64 = self.traffic_split.iter().map(|(_, w)| w).sum();
        let mut point = rng.random_range(0.0..1.0) * total;
        for (service, weight) in &self.traffic_split {
            if point < *weight {
                return Some(service);
            }
            point -= weight;
        }
        self.traffic_split.last().map(|(s, _)| s)
    }

    /// Returns whether a request that may already have run may be sent again.
    pub fn is_retryable(&self) -> bool {
        self.stream.map_or(self.idempotent, |s| s.resumable)
    }
}

/// Returns the priorities of the streams that compete for each service.
fn priorities_by_service(
    routes: &[Route],
    teams: Option<&[Team]>,
) -> HashMap<ServiceId, Priorities> {
    let mut team_priorities: Vec<Option<u32>> = teams
        .unwrap_or_default()
        .iter()
        .map(|t| t.priority)
        .collect();
    if teams.is_none() || routes.iter().any(|r| r.allow_anonymous) {
        team_priorities.push(None);
    }
    team_priorities.sort_unstable();
    team_priorities.dedup();
    let mut route_priorities: HashMap<ServiceId, Vec<u32>> = HashMap::new();
    for route in routes.iter().filter(|r| r.stream.is_some()) {
        for (service, _) in &route.traffic_split {
            route_priorities
                .entry(service.clone())
                .or_default()
                .push(route.priority);
        }
    }
    let by_service = route_priorities.into_iter();
    by_service
        .map(|(service, routes)| (service, Priorities::new(&team_priorities, &routes)))
        .collect()
}

fn teams_by_key(teams: Vec<Team>) -> HashMap<String, Arc<Team>> {
    let mut by_key = HashMap::new();
    for team in teams {
        let team = Arc::new(team);
        for key in &team.keys {
            by_key.insert(key.clone(), team.clone());
        }
    }
    by_key
}
