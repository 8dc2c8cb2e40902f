//! Checks whether this box reaches any upstream of a service, after a connection to one has
//! failed.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::member::UpstreamId;
use ashgauge::reachability::MIN_ISOLATED;
use ashgauge::routing::ServiceId;
use ashgauge::upstream::Upstream;
use http::{Budget, Client};
use platform::engine;
use rand::seq::IndexedRandom;
use serde_json::json;
use spdlog::Level;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::dial;
use super::log;
use super::run_timeout::run_timeout;
use super::shared_state::SharedState;

/// Timeout of a probe, in time for which this process runs. A healthy upstream answers in about
/// 2 ms; a busy one of another data centre takes longer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest time of a probe on a box that lacks processor time.
const MAX_PROBE_TIME: Duration = Duration::from_secs(1);

/// How long the result of a check is shared with others that ask.
const MAX_CHECK_AGE: Duration = Duration::from_millis(100);

/// Interval between checks while the box is cut off.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Number of upstreams that a check probes.
const MAX_PROBES: usize = MIN_ISOLATED;

/// How long an answer of an upstream proves that its service is reached.
const PROOF_TTL: Duration = Duration::from_millis(250);

/// Records that an upstream did not accept a connection, and returns whether that says something
/// about the upstream. It does not if this box is isolated.
pub async fn confirm_failure(shared: &Rc<SharedState>, id: &UpstreamId) -> bool {
    let Some(service) = service_of(shared, id) else {
        return true;
    };
    let now = shared.now();
    shared
        .reach
        .connections
        .borrow_mut()
        .note_failed(now, &service, id);
    let is_reached = !shared.reach.is_cut_off(&service) && check(shared, &service).await;
    is_reached || !shared.reach.connections.borrow().is_isolated(&service)
}

/// Marks an upstream as suspect that did not accept a connection, unless this box is isolated.
pub async fn mark_unreachable(shared: &Rc<SharedState>, id: &UpstreamId, reason: &str) {
    if confirm_failure(shared, id).await {
        shared.mark_suspect(id, reason);
    }
}

/// Returns whether this box reaches a service: an upstream has answered a moment ago, or one
/// answers now.
pub async fn is_reached(shared: &Rc<SharedState>, service: &ServiceId) -> bool {
    if shared.reach.is_cut_off(service) {
        return false;
    }
    let reached_at = shared.reach.connections.borrow().reached_at(service);
    let is_proven = reached_at.is_some_and(|at| shared.now() < at + PROOF_TTL);
    is_proven || check(shared, service).await
}

/// Records that an upstream of a service answered on a connection of this box that was opened
/// at `opened`.
pub fn note_reached(shared: &SharedState, service: &ServiceId, opened: Duration) {
    let now = shared.now();
    let cut_off_time = shared
        .reach
        .connections
        .borrow_mut()
        .note_reached(now, service, opened);
    let Some(time) = cut_off_time else {
        return;
    };
    show_lost_services(shared);
    shared.egress.changed.notify_waiters();
    let fields = json!({"service": &**service, "ms": time.as_millis() as u64});
    log::event(Level::Warn, "reach", "upstreams reached again", fields);
}

/// Forgets the services that the configuration in force does not have.
pub fn forget_services(shared: &SharedState) {
    let routing = shared.routing();
    let is_kept = |service: &ServiceId| routing.services.contains_key(service);
    shared.reach.retain(is_kept);
    show_lost_services(shared);
}

fn service_of(shared: &SharedState, id: &str) -> Option<ServiceId> {
    let registry = shared.registry.borrow();
    registry.get(id).map(|e| e.upstream.service.clone())
}

/// Probes some upstreams of a service, unless that was done a moment ago; returns whether one is
/// reached.
async fn check(shared: &Rc<SharedState>, service: &ServiceId) -> bool {
    let check = shared.reach.check(shared.now(), service, MAX_CHECK_AGE);
    *check.get_or_init(|| probe_service(shared, service)).await
}

/// Probes some upstreams of a service, and returns `false` if this box is cut off from it. It
/// then is until one is reached again.
async fn probe_service(shared: &Rc<SharedState>, service: &ServiceId) -> bool {
    let untried = choose_probes(shared, service, true);
    let probes = match untried.is_empty() {
        true => choose_probes(shared, service, false),
        false => untried,
    };
    if reaches_any(shared, service, probes).await {
        return true;
    }
    let now = shared.now();
    let listed = shared.registry.borrow().of_service(service).count();
    let mut connections = shared.reach.connections.borrow_mut();
    let was_cut_off = connections.is_cut_off(service);
    if was_cut_off || !connections.conclude(now, service, listed) {
        return !was_cut_off;
    }
    let since = connections.cut_off_since(service).unwrap_or(now);
    drop(connections);
    clear_suspects(shared);
    show_lost_services(shared);
    let fields = json!({"service": &**service, "listed": listed});
    log::event(Level::Warn, "reach", "no upstream reached", fields);
    tokio::task::spawn_local(await_reached(shared.clone(), service.clone(), since));
    check_others(shared, service);
    false
}

/// Checks the services other than `lost`: a box that lost one has often lost all, and their first
/// requests then need not find out.
fn check_others(shared: &Rc<SharedState>, lost: &ServiceId) {
    let routing = shared.routing();
    for service in routing.services.keys().filter(|service| *service != lost) {
        let is_listed = shared
            .registry
            .borrow()
            .of_service(service)
            .next()
            .is_some();
        if !is_listed || shared.reach.is_cut_off(service) {
            continue;
        }
        let (shared, service) = (shared.clone(), service.clone());
        tokio::task::spawn_local(async move { check(&shared, &service).await });
    }
}

/// Takes back what was concluded about the upstreams of services from which this box turns out
/// to be isolated.
fn clear_suspects(shared: &SharedState) {
    let connections = shared.reach.connections.borrow();
    let mut registry = shared.registry.borrow_mut();
    let lost = connections.lost_services();
    for service in lost.filter(|service| connections.is_isolated(service)) {
        if let Some(since) = connections.cut_off_since(service) {
            registry.clear_suspects(service, since);
        }
    }
}

fn show_lost_services(shared: &SharedState) {
    let has_lost = shared.reach.has_lost_service();
    shared.metrics.cut_off.set(i64::from(has_lost));
}

/// Probes upstreams of a service again and again until one is reached. The box has been cut off
/// `since`.
async fn await_reached(shared: Rc<SharedState>, service: ServiceId, since: Duration) {
    let cut_off_since = || {
        let connections = shared.reach.connections.borrow();
        connections.cut_off_since(&service)
    };
    while cut_off_since() == Some(since) {
        // The first time at once: the box may have lacked processor time.
        let probes = choose_probes(&shared, &service, false);
        reaches_any(&shared, &service, probes).await;
        sleep(RECHECK_INTERVAL).await;
    }
}

/// An upstream that is probed.
struct Probe {
    id: UpstreamId,
    service: ServiceId,
    addr: String,
    is_engine: bool,
    health_path: Option<String>,
}

/// Chooses upstreams of a service at random, and of others if it has few; with `untried`, only
/// those that have not failed since one of their service was last reached.
fn choose_probes(shared: &SharedState, service: &ServiceId, untried: bool) -> Vec<Probe> {
    let (registry, connections) = (shared.registry.borrow(), shared.reach.connections.borrow());
    let listed = registry.iter().map(|e| &e.upstream);
    let listed = listed.filter(|u| !untried || !connections.has_failed(&u.service, &u.id));
    let (own, others): (Vec<_>, Vec<_>) = listed.partition(|u| u.service == *service);
    let all_own = registry.of_service(service).count();
    let mut rng = shared.rng();
    let own = own.choose_multiple(&mut *rng, MAX_PROBES);
    let others = others.choose_multiple(&mut *rng, MAX_PROBES.saturating_sub(all_own));
    let routing = shared.routing();
    let health_path = |u: &Upstream| routing.services.get(&u.service)?.health_path.as_deref();
    let probes = own.chain(others).map(|u| Probe::new(u, health_path(u)));
    probes.collect()
}

/// Runs all probes at once and records their results; returns whether an upstream of the service
/// is reached.
async fn reaches_any(shared: &SharedState, service: &ServiceId, probes: Vec<Probe>) -> bool {
    let opened = shared.now();
    let mut running = JoinSet::new();
    for probe in probes {
        running.spawn_local(async move { (probe.run().await, probe) });
    }
    while let Some(result) = running.join_next().await {
        // A probe neither panics nor is cancelled here.
        let Ok((reply, probe)) = result else {
            continue;
        };
        let is_reached = match reply {
            Reply::Answer => true,
            Reply::Silence => !shared.reach.is_cut_off(&probe.service),
            Reply::Failure => false,
        };
        if is_reached {
            note_reached(shared, &probe.service, opened);
        } else {
            let mut connections = shared.reach.connections.borrow_mut();
            connections.note_failed(shared.now(), &probe.service, &probe.id);
        }
        if is_reached && probe.service == *service {
            return true;
        }
    }
    false
}

/// Result of a probe.
enum Reply {
    /// The upstream answered.
    Answer,
    /// The connection is open, but nothing arrived. That may be the network or a busy upstream,
    /// so it neither begins nor ends the time for which a box is cut off.
    Silence,
    /// There is no connection, or it was closed.
    Failure,
}

impl Probe {
    fn new(upstream: &Upstream, health_path: Option<&str>) -> Self {
        Probe {
            id: upstream.id.clone(),
            service: upstream.service.clone(),
            addr: upstream.addr.clone(),
            is_engine: upstream.layers.is_some(),
            health_path: health_path.map(String::from),
        }
    }

    /// Probes the upstream over a new connection.
    async fn run(&self) -> Reply {
        if self.is_engine {
            let budget = Budget::new(engine::MAX_REPORT_BYTES);
            let client = Client::new(MAX_PROBE_TIME).with_limits(engine::MAX_REPORT_BYTES, budget);
            let report = engine::fetch_report(&client, &self.addr, MAX_PROBE_TIME);
            return Reply::from_result(run_timeout(PROBE_TIMEOUT, report).await);
        }
        match &self.health_path {
            Some(path) => self.check_health(path).await,
            None => {
                Reply::from_result(run_timeout(PROBE_TIMEOUT, dial::try_connect(&self.addr)).await)
            }
        }
    }

    /// Sends a health check, which an upstream answers in turn with its requests.
    async fn check_health(&self, path: &str) -> Reply {
        let connecting = dial::connect(&self.addr, MAX_PROBE_TIME);
        let Some(Ok(connection)) = run_timeout(PROBE_TIMEOUT, connecting).await else {
            return Reply::Failure;
        };
        let Ok(request) = engine::build_health_check(&self.addr, path) else {
            return Reply::Answer;
        };
        match run_timeout(PROBE_TIMEOUT, connection.send(request)).await {
            None => Reply::Silence,
            answer => Reply::from_result(answer),
        }
    }
}

impl Reply {
    /// Returns the reply to a probe that may have run out of time.
    fn from_result<T, E>(result: Option<Result<T, E>>) -> Self {
        match result {
            Some(Ok(_)) => Reply::Answer,
            Some(Err(_)) | None => Reply::Failure,
        }
    }
}
