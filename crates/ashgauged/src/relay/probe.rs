//! Checks whether upstreams still take connections.
//!
//! A crashed process refuses a connection at once and a machine without power
//! does not answer, so a connection tells within milliseconds which engine of
//! a silent chain is lost; the engines' own reports lag some hundred. An engine
//! that had a part in another stream's last event needs no connection for that.

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
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::request::AdmittedRequest;
use super::shared_state::SharedState;
use super::state::probes::{ProbeCache, cached_cell, is_cached};
use super::{log, notice, recovery, shedding};

/// For a connection to come up; a healthy one takes under 2 ms. A machine without
/// power answers nothing, so each millisecond here is one more of pause for every
/// stream that it held: at 50 ms only one in ten of 157 resumed streams paused for
/// less than 243 ms, of 250 that may be.
const PROBE_TIMEOUT: Duration = Duration::from_millis(25);

/// How long a probe's result serves others that ask.
const MAX_PROBE_AGE: Duration = Duration::from_millis(200);

/// The same for a look after a connection broke: what was found before it says
/// nothing, and streams that break together share one look.
const MAX_RECHECK_AGE: Duration = Duration::from_millis(20);

/// For an engine's report of its state.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long an engine's report serves others that ask; it is some hundred
/// milliseconds old itself, and priced.
const MAX_REPORT_AGE: Duration = Duration::from_millis(700);

/// Factor from which on an engine counts as slow.
const MIN_SLOW_FACTOR: f64 = 1.5;

/// Finds the engines of a chain that take no connection.
///
/// Under pressure those need none that were heard after `since`, when what a request waits
/// for was due.
pub async fn find_unreachable(
    shared: &Rc<SharedState>,
    a: &AdmittedRequest,
    stages: &[Stage],
    since: Duration,
) -> Vec<UpstreamId> {
    let mut probes = JoinSet::new();
    for id in engines_to_probe(shared, a, stages, since) {
        let shared = shared.clone();
        probes.spawn_local(async move {
            let alive = is_alive(&shared, &id).await;
            (id, alive)
        });
    }
    let mut dead = Vec::new();
    while let Some(probed) = probes.join_next().await {
        // A probe neither panics nor is cancelled here.
        if let Ok((id, false)) = probed {
            dead.push(id);
        }
    }
    dead
}

/// The engines of a chain that are connected to, for want of a sign of them.
fn engines_to_probe(
    shared: &SharedState,
    a: &AdmittedRequest,
    stages: &[Stage],
    since: Duration,
) -> Vec<UpstreamId> {
    let mut ids: Vec<UpstreamId> = stages.iter().map(|s| s.upstream.clone()).collect();
    if a.class.is_none() {
        return ids;
    }
    let now = shared.now();
    let since = match recovery::is_under_pressure(shared, a) {
        true => since.max(now.saturating_sub(MAX_PROBE_AGE)),
        false => now,
    };
    let registry = shared.registry.borrow();
    let heard = |id: &UpstreamId| registry.get(id).and_then(UpstreamState::last_activity);
    ids.retain(|id| {
        !registry.get(id).is_some_and(|e| e.is_active(now)) && heard(id) <= Some(since)
    });
    // A lost one is among those that were heard longest ago; chains that lost the same
    // one are not to check their other engines in the same order.
    ids.sort_by_cached_key(|id| (heard(id), shared.rng().random::<u32>()));
    drop(registry);
    let alive = &shared.probes.reachable;
    ids.retain(|id| may_probe(shared, &a.service.name, alive, id, MAX_PROBE_AGE));
    ids
}

/// Whether there is an answer of an engine to share, or it may be asked for one; the
/// question then stands for all that ask meanwhile.
fn may_probe<T>(
    shared: &SharedState,
    service: &ServiceId,
    cached: &ProbeCache<T>,
    id: &str,
    max_age: Duration,
) -> bool {
    let now = shared.now();
    let Some(addr) = address(shared, id) else {
        // That it is gone is known without a connection.
        return true;
    };
    if is_cached(cached, now, &addr, max_age) {
        return true;
    }
    let may = recovery::take_check(shared, service);
    if may {
        cached_cell(cached, now, &addr, max_age);
    }
    may
}

/// Whether an engine is asked how it is. Under pressure only the first of a chain is: it
/// names the one that holds the chain up.
fn may_query(shared: &SharedState, a: &AdmittedRequest, n: usize, id: &str) -> bool {
    if a.class.is_none() {
        return true;
    }
    if n > 0 && recovery::is_under_pressure(shared, a) {
        return false;
    }
    let reports = &shared.probes.reports;
    may_probe(shared, &a.service.name, reports, id, MAX_REPORT_AGE)
}

/// Asks the engines of a chain how they are, and notes which are slow.
/// Returns the engine that the first one names as the cause of the silence of
/// the request.
pub async fn query_engines(
    shared: &Rc<SharedState>,
    a: &AdmittedRequest,
    stages: &[Stage],
) -> Option<UpstreamId> {
    let id = a.client_request.id.as_str();
    let mut asked = JoinSet::new();
    for (n, stage) in stages.iter().enumerate() {
        if !may_query(shared, a, n, &stage.upstream) {
            continue;
        }
        let (shared, upstream) = (shared.clone(), stage.upstream.clone());
        asked.spawn_local(async move { (n, fetch_report(&shared, &upstream).await) });
    }
    let mut culprit = None;
    while let Some(answer) = asked.join_next().await {
        // A question neither panics nor is cancelled here.
        let Ok((n, Some(report))) = answer else {
            continue;
        };
        apply_report(shared, &stages[n].upstream, &report);
        let mut stalled = report.stalled.iter().filter(|s| n == 0 && s.id == id);
        if let Some(stalled) = stalled.next() {
            let registry = shared.registry.borrow();
            culprit = registry
                .by_addr(&stalled.address)
                .map(|e| e.upstream.id.clone());
        }
    }
    culprit
}

fn apply_report(shared: &SharedState, id: &str, report: &Report) {
    if report.leaving {
        notice::note_leaving(shared, id);
    }
    let factor = report.time_factor.unwrap_or(1.0);
    let news = shared
        .registry
        .borrow_mut()
        .note_slow(shared.now(), id, factor);
    if news && factor >= MIN_SLOW_FACTOR {
        let fields = json!({"upstream": id, "factor": factor});
        log::event(Level::Info, "roster", "slow", fields);
    }
}

async fn fetch_report(shared: &SharedState, id: &str) -> Option<Rc<Report>> {
    let addr = address(shared, id)?;
    let cell = cached_cell(&shared.probes.reports, shared.now(), &addr, MAX_REPORT_AGE);
    let ask = async {
        let report = engine::fetch_report(&shared.client, &addr, REPORT_TIMEOUT).await;
        report.ok().map(Rc::new)
    };
    cell.get_or_init(|| ask).await.clone()
}

/// Suspects an upstream if it takes no connection.
pub async fn check_upstream(shared: Rc<SharedState>, id: UpstreamId) {
    if lacks_check_budget(&shared, &id) {
        return;
    }
    if !is_alive(&shared, &id).await {
        shared.mark_suspect(&id, "named by another, no connection");
    }
}

/// Whether an upstream is not checked, as there are no checks left for its service.
fn lacks_check_budget(shared: &SharedState, id: &str) -> bool {
    let registry = shared.registry.borrow();
    let Some(entry) = registry.get(id).filter(|e| !e.is_active(shared.now())) else {
        return false;
    };
    let service = entry.upstream.service.clone();
    drop(registry);
    let routing = shared.routing();
    let is_on = |s: &Arc<Service>| shedding::sheds_streams(shared, s);
    let is_on = routing.services.get(&service).is_some_and(is_on);
    is_on
        && !may_probe(
            shared,
            &service,
            &shared.probes.reachable,
            id,
            MAX_PROBE_AGE,
        )
}

/// What a check of an engine that another box reports found.
pub enum ProbeResult {
    /// It accepts connections.
    Alive,
    /// It does not.
    Lost,
    /// It is not listed any more.
    Delisted,
}

/// Whether the account of a service allows the check of an engine that another box
/// reports. The connection then stands for all that ask meanwhile.
pub fn may_check_reported(shared: &SharedState, service: &ServiceId, id: &str) -> bool {
    may_probe(
        shared,
        service,
        &shared.probes.reachable,
        id,
        MAX_RECHECK_AGE,
    )
}

/// Connects to an engine that another box reports, which [`may_check_reported`] allowed.
///
/// What streams heard and what was found a moment ago is from before the other box's
/// connection failed, or may be: streams hear an engine up to 60 ms after such an event.
pub async fn check_reported(shared: &SharedState, id: &str) -> ProbeResult {
    match accepts_connections(shared, id, MAX_RECHECK_AGE).await {
        true => ProbeResult::Alive,
        false if address(shared, id).is_none() => ProbeResult::Delisted,
        false => ProbeResult::Lost,
    }
}

/// Whether a connection of this box to an address has just failed.
pub fn failed_recently(shared: &SharedState, addr: &str) -> bool {
    let alive = shared.probes.reachable.borrow();
    let recent = alive.get(addr);
    let recent = recent.filter(|(at, _)| shared.now() < *at + MAX_PROBE_AGE);
    recent.is_some_and(|(_, cell)| cell.get() == Some(&false))
}

/// Whether an upstream whose connection just broke takes no other one.
///
/// That streams heard it a moment ago says nothing here. It takes nothing out of the
/// account: without it a stream loses an attempt for an engine that is lost.
pub async fn is_lost(shared: &SharedState, id: &str) -> bool {
    !accepts_connections(shared, id, MAX_RECHECK_AGE).await
}

/// Whether an upstream takes a connection; one that is gone does not.
async fn is_alive(shared: &SharedState, id: &str) -> bool {
    let heard = |e: &UpstreamState| e.is_active(shared.now());
    if shared.registry.borrow().get(id).is_some_and(heard) {
        return true;
    }
    accepts_connections(shared, id, MAX_PROBE_AGE).await
}

/// Connects to an upstream, or goes by what was found less than `shared` ago.
async fn accepts_connections(shared: &SharedState, id: &str, max_age: Duration) -> bool {
    let Some(addr) = address(shared, id) else {
        return false;
    };
    let cell = cached_cell(&shared.probes.reachable, shared.now(), &addr, max_age);
    let probe = async {
        matches!(
            timeout(PROBE_TIMEOUT, TcpStream::connect(&addr)).await,
            Ok(Ok(_))
        )
    };
    *cell.get_or_init(|| probe).await
}

fn address(shared: &SharedState, id: &str) -> Option<String> {
    let registry = shared.registry.borrow();
    registry.get(id).map(|e| e.upstream.addr.clone())
}
