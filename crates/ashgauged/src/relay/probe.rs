//! Checks whether upstreams still accept connections.
//!
//! A crashed process refuses a connection at once, and a machine without power does not
//! answer. So a connection attempt shows within milliseconds which engine of a silent chain
//! is lost, while the engines' own reports lag by some hundred milliseconds. An engine that
//! took part in another stream's last event needs no connection attempt.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::chain::Stage;
use ashgauge::member::UpstreamId;
use ashgauge::routing::{Service, ServiceId};
use ashgauge::upstream_state::UpstreamState;
use platform::engine::{self, Report};
use rand::Rng;
use serde_json::json;
use spdlog::Level;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::request::RoutedRequest;
use super::shared_state::SharedState;
use super::state::probes::{ProbeCache, cached_cell, is_cached};
use super::{dial, log, notice, reach, recovery, shedding};

/// Timeout of a connection attempt; a healthy engine accepts it in under 2 ms. A machine
/// without power does not answer, so each millisecond here lengthens the pause of every
/// stream that it served: at 50 ms, only one in ten of 157 resumed streams paused for less
/// than 243 ms, of the 250 ms that are allowed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(25);

/// Longest time for which a probe's result is shared with others that ask.
const MAX_PROBE_AGE: Duration = Duration::from_millis(200);

/// [`MAX_PROBE_AGE`] for a probe after a connection broke. Earlier results say nothing
/// then, and streams that break together share one probe.
const MAX_RECHECK_AGE: Duration = Duration::from_millis(20);

/// Timeout of a request for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest time for which an engine's report is shared with others that ask. Reports are
/// some hundred milliseconds old themselves, and each request for one has a price.
const MAX_REPORT_AGE: Duration = Duration::from_millis(700);

/// Time factor from which on an engine counts as slow.
const MIN_SLOW_FACTOR: f64 = 1.5;

/// Returns the engines of a chain that accept no connection.
///
/// Engines with recent activity are not probed; under pressure that includes activity after
/// `since`, at most [`MAX_PROBE_AGE`] ago. `since` is when the event that the request waits
/// for was due. Engines for which there is no budget are not probed.
pub async fn find_unreachable(
    shared: &Rc<SharedState>,
    request: &RoutedRequest,
    stages: &[Stage],
    since: Duration,
) -> Vec<UpstreamId> {
    let mut probes = JoinSet::new();
    for id in engines_to_probe(shared, request, stages, since) {
        let shared = shared.clone();
        probes.spawn_local(async move {
            let is_alive = is_alive(&shared, &id).await;
            (id, is_alive)
        });
    }
    let mut unreachable = Vec::new();
    while let Some(probed) = probes.join_next().await {
        // A probe neither panics nor is cancelled here.
        if let Ok((id, false)) = probed {
            unreachable.push(id);
        }
    }
    unreachable
}

/// Returns the engines of a chain that are probed because they showed no recent activity.
fn engines_to_probe(
    shared: &SharedState,
    request: &RoutedRequest,
    stages: &[Stage],
    since: Duration,
) -> Vec<UpstreamId> {
    let mut ids: Vec<UpstreamId> = stages.iter().map(|s| s.upstream.clone()).collect();
    if request.class.is_none() {
        return ids;
    }
    let now = shared.now();
    let since = match recovery::is_under_pressure(shared, request) {
        true => since.max(now.saturating_sub(MAX_PROBE_AGE)),
        false => now,
    };
    let registry = shared.registry.borrow();
    let last_activity = |id: &UpstreamId| registry.get(id).and_then(UpstreamState::last_activity);
    ids.retain(|id| {
        !registry.get(id).is_some_and(|e| e.is_active(now)) && last_activity(id) <= Some(since)
    });
    // A lost engine is among those whose activity is longest ago. Chains that lost the same
    // engine should not probe their other engines in the same order.
    ids.sort_by_cached_key(|id| (last_activity(id), shared.rng().random::<u32>()));
    drop(registry);
    let cache = &shared.probes.reachable;
    ids.retain(|id| reserve_probe(shared, &request.service.name, cache, id, MAX_PROBE_AGE));
    ids
}

/// Takes budget for a query of an engine, unless there is a result to share. Returns whether
/// the engine may be queried. The result of the query is shared with all that ask meanwhile.
fn reserve_probe<T>(
    shared: &SharedState,
    service: &ServiceId,
    cache: &ProbeCache<T>,
    id: &str,
    max_age: Duration,
) -> bool {
    let now = shared.now();
    let Some(addr) = address(shared, id) else {
        // That the engine is gone is known without a connection.
        return true;
    };
    if is_cached(cache, now, &addr, max_age) {
        return true;
    }
    let allowed = recovery::take_check(shared, service);
    if allowed {
        cached_cell(cache, now, &addr, max_age);
    }
    allowed
}

/// Takes budget for a request for the report of an engine of a chain. Returns whether the
/// engine is asked. Under pressure only the first one is, which names the engine that stalls
/// the chain.
fn reserve_query(shared: &SharedState, request: &RoutedRequest, index: usize, id: &str) -> bool {
    if request.class.is_none() {
        return true;
    }
    if index > 0 && recovery::is_under_pressure(shared, request) {
        return false;
    }
    let cache = &shared.probes.reports;
    reserve_probe(shared, &request.service.name, cache, id, MAX_REPORT_AGE)
}

/// Queries the engines of a chain for their reports, and records which are slow. Returns
/// the engine that the first one names as the cause of the request's silence.
pub async fn query_engines(
    shared: &Rc<SharedState>,
    request: &RoutedRequest,
    stages: &[Stage],
) -> Option<UpstreamId> {
    let id = request.client_request.id.as_str();
    let mut queries = JoinSet::new();
    for (index, stage) in stages.iter().enumerate() {
        if !reserve_query(shared, request, index, &stage.upstream) {
            continue;
        }
        let (shared, upstream) = (shared.clone(), stage.upstream.clone());
        queries.spawn_local(async move { (index, fetch_report(&shared, &upstream).await) });
    }
    let mut cause = None;
    while let Some(answer) = queries.join_next().await {
        // A query neither panics nor is cancelled here.
        let Ok((index, Some(report))) = answer else {
            continue;
        };
        apply_report(shared, &stages[index].upstream, &report);
        let mut stalled = report.stalled.iter().filter(|s| index == 0 && s.id == id);
        if let Some(stalled) = stalled.next() {
            let registry = shared.registry.borrow();
            cause = registry
                .by_addr(&stalled.address)
                .map(|e| e.upstream.id.clone());
        }
    }
    cause
}

/// Records what an engine reports of itself: that it leaves, and how slow it is.
fn apply_report(shared: &SharedState, id: &str, report: &Report) {
    if report.leaving {
        notice::note_leaving(shared, id);
    }
    let factor = report.time_factor.unwrap_or(1.0);
    let is_new = shared
        .registry
        .borrow_mut()
        .note_slow(shared.now(), id, factor);
    if is_new && factor >= MIN_SLOW_FACTOR {
        let fields = json!({"upstream": id, "factor": factor});
        log::event(Level::Info, "roster", "slow", fields);
    }
}

/// Returns an engine's report, which may be up to [`MAX_REPORT_AGE`] old.
async fn fetch_report(shared: &SharedState, id: &str) -> Option<Rc<Report>> {
    let addr = address(shared, id)?;
    let cell = cached_cell(&shared.probes.reports, shared.now(), &addr, MAX_REPORT_AGE);
    let query = async {
        let report = engine::fetch_report(&shared.client, &addr, REPORT_TIMEOUT).await;
        report.ok().map(Rc::new)
    };
    cell.get_or_init(|| query).await.clone()
}

/// Marks an upstream as suspect if it accepts no connection.
pub async fn check_upstream(shared: Rc<SharedState>, id: UpstreamId) {
    if lacks_check_budget(&shared, &id) {
        return;
    }
    if !is_alive(&shared, &id).await {
        reach::mark_unreachable(&shared, &id, "named by another, no connection").await;
    }
}

/// Takes budget for the check of an upstream without recent activity, if its service admits
/// streams by class. Returns whether there was none left.
fn lacks_check_budget(shared: &SharedState, id: &str) -> bool {
    let registry = shared.registry.borrow();
    let Some(entry) = registry.get(id).filter(|e| !e.is_active(shared.now())) else {
        return false;
    };
    let service = entry.upstream.service.clone();
    drop(registry);
    let routing = shared.routing();
    let sheds = |s: &Arc<Service>| shedding::sheds_streams(shared, s);
    let sheds = routing.services.get(&service).is_some_and(sheds);
    sheds
        && !reserve_probe(
            shared,
            &service,
            &shared.probes.reachable,
            id,
            MAX_PROBE_AGE,
        )
}

/// Result of the check of an engine that another box reported.
pub enum ProbeResult {
    /// The engine accepts connections.
    Alive,
    /// The engine accepts no connection.
    Lost,
    /// The engine is no longer listed.
    Delisted,
}

/// Takes budget for the check of an engine that another box reported. Returns whether it may
/// be checked. The result of the connection attempt is shared with all that ask meanwhile.
pub fn reserve_reported_check(shared: &SharedState, service: &ServiceId, id: &str) -> bool {
    reserve_probe(
        shared,
        service,
        &shared.probes.reachable,
        id,
        MAX_RECHECK_AGE,
    )
}

/// Connects to an engine that another box reported and for whose check
/// [`reserve_reported_check`] took budget.
///
/// Recent activity and earlier probes do not count, as they may be from before the other
/// box's connection failed: streams record an engine as active up to 60 ms after such a
/// failure.
pub async fn check_reported(shared: &SharedState, id: &str) -> ProbeResult {
    match accepts_connections(shared, id, MAX_RECHECK_AGE).await {
        true => ProbeResult::Alive,
        false if address(shared, id).is_none() => ProbeResult::Delisted,
        false => ProbeResult::Lost,
    }
}

/// Whether a connection attempt of this box to an address has just failed.
pub fn failed_recently(shared: &SharedState, addr: &str) -> bool {
    let cache = shared.probes.reachable.borrow();
    let recent = cache.get(addr);
    let recent = recent.filter(|(at, _)| shared.now() < *at + MAX_PROBE_AGE);
    recent.is_some_and(|(_, cell)| cell.get() == Some(&false))
}

/// Whether an upstream whose connection just broke accepts no new one.
///
/// Recent activity on other streams says nothing here. The probe takes nothing from the
/// recovery budget: without it, a stream would use up an attempt for an engine that is
/// lost.
pub async fn is_lost(shared: &SharedState, id: &str) -> bool {
    !accepts_connections(shared, id, MAX_RECHECK_AGE).await
}

/// Whether new connections of this box to an upstream are closed at once, as by a middlebox that
/// does not reach it.
pub async fn closes_connections(shared: &SharedState, id: &str) -> bool {
    let Some(addr) = address(shared, id) else {
        return false;
    };
    let connecting = timeout(PROBE_TIMEOUT, dial::try_connect(&addr));
    matches!(connecting.await, Ok(Err(_)))
}

/// Whether another process has the address of an upstream whose connection has just ended. A
/// connection attempt does not show that.
pub async fn is_replaced(shared: &SharedState, service: &Service, id: &str) -> bool {
    let (Some(path), Some(addr)) = (&service.health_path, address(shared, id)) else {
        return false;
    };
    let asked = engine::is_other_instance(&shared.client, (id, &addr), path, REPORT_TIMEOUT);
    // An upstream without a free slot may not answer in time.
    asked.await.unwrap_or(false)
}

/// Whether an upstream accepts connections; one that is no longer listed does not.
async fn is_alive(shared: &SharedState, id: &str) -> bool {
    let is_active = |e: &UpstreamState| e.is_active(shared.now());
    if shared.registry.borrow().get(id).is_some_and(is_active) {
        return true;
    }
    accepts_connections(shared, id, MAX_PROBE_AGE).await
}

/// Connects to an upstream, or uses a result that is less than `max_age` old.
async fn accepts_connections(shared: &SharedState, id: &str, max_age: Duration) -> bool {
    let Some(addr) = address(shared, id) else {
        return false;
    };
    let cell = cached_cell(&shared.probes.reachable, shared.now(), &addr, max_age);
    let probe = async {
        matches!(
            timeout(PROBE_TIMEOUT, http::connect(&addr)).await,
            Ok(Ok(_))
        )
    };
    *cell.get_or_init(|| probe).await
}

/// Address of an upstream that is still listed.
fn address(shared: &SharedState, id: &str) -> Option<String> {
    let registry = shared.registry.borrow();
    registry.get(id).map(|e| e.upstream.addr.clone())
}

/// Whether an answer without a length, which ends with its connection, was cut off: its upstream
/// is lost, or another one has its address.
pub async fn is_gone(shared: &SharedState, service: &Service, id: &UpstreamId) -> bool {
    is_lost(shared, id).await || is_replaced(shared, service, id).await
}
