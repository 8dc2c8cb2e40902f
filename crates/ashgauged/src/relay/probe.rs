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
use ashgauge::entry::UpstreamState;
use ashgauge::member::UpstreamId;
use ashgauge::routing::{Service, ServiceId};
use platform::engine::{self, Report};
use rand::Rng;
use serde_json::json;
use spdlog::Level;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::desk::Desk;
use super::request::Admitted;
use super::state::probes::{Cached, cell, is_known};
use super::{gate, log, notice, recovery};

/// For a connection to come up; a healthy one takes under 2 ms. A machine without
/// power answers nothing, so each millisecond here is one more of pause for every
/// stream that it held: at 50 ms only one in ten of 157 resumed streams paused for
/// less than 243 ms, of 250 that may be.
const PROBE_TIME: Duration = Duration::from_millis(25);

/// How long a probe's result serves others that ask.
const SHARED_TIME: Duration = Duration::from_millis(200);

/// The same for a look after a connection broke: what was found before it says
/// nothing, and streams that break together share one look.
const LOST_SHARED: Duration = Duration::from_millis(20);

/// For an engine's report of its state.
const REPORT_TIME: Duration = Duration::from_millis(100);

/// How long an engine's report serves others that ask; it is some hundred
/// milliseconds old itself, and priced.
const REPORT_SHARED: Duration = Duration::from_millis(700);

/// Factor from which on an engine counts as slow.
const SLOW_LEAST: f64 = 1.5;

/// Finds the engines of a chain that take no connection.
///
/// Under pressure those need none that were heard after `since`, when what a request waits
/// for was due.
pub async fn find_dead(
    desk: &Rc<Desk>,
    a: &Admitted,
    stages: &[Stage],
    since: Duration,
) -> Vec<UpstreamId> {
    let mut probes = JoinSet::new();
    for id in to_check(desk, a, stages, since) {
        let desk = desk.clone();
        probes.spawn_local(async move {
            let alive = is_alive(&desk, &id).await;
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
fn to_check(desk: &Desk, a: &Admitted, stages: &[Stage], since: Duration) -> Vec<UpstreamId> {
    let mut ids: Vec<UpstreamId> = stages.iter().map(|s| s.upstream.clone()).collect();
    if a.class.is_none() {
        return ids;
    }
    let now = desk.now();
    let since = match recovery::is_pressed(desk, a) {
        true => since.max(now.saturating_sub(SHARED_TIME)),
        false => now,
    };
    let roster = desk.roster.borrow();
    let heard = |id: &UpstreamId| roster.get(id).and_then(UpstreamState::last_activity);
    ids.retain(|id| !roster.get(id).is_some_and(|e| e.is_active(now)) && heard(id) <= Some(since));
    // A lost one is among those that were heard longest ago; chains that lost the same
    // one are not to check their other engines in the same order.
    ids.sort_by_cached_key(|id| (heard(id), desk.rng().random::<u32>()));
    drop(roster);
    let alive = &desk.probes.alive;
    ids.retain(|id| may_look(desk, &a.service.name, alive, id, SHARED_TIME));
    ids
}

/// Whether there is an answer of an engine to share, or it may be asked for one; the
/// question then stands for all that ask meanwhile.
fn may_look<T>(
    desk: &Desk,
    service: &ServiceId,
    cached: &Cached<T>,
    id: &str,
    shared: Duration,
) -> bool {
    let now = desk.now();
    let Some(addr) = address(desk, id) else {
        // That it is gone is known without a connection.
        return true;
    };
    if is_known(cached, now, &addr, shared) {
        return true;
    }
    let may = recovery::take_check(desk, service);
    if may {
        cell(cached, now, &addr, shared);
    }
    may
}

/// Whether an engine is asked how it is. Under pressure only the first of a chain is: it
/// names the one that holds the chain up.
fn may_ask(desk: &Desk, a: &Admitted, n: usize, id: &str) -> bool {
    if a.class.is_none() {
        return true;
    }
    if n > 0 && recovery::is_pressed(desk, a) {
        return false;
    }
    let reports = &desk.probes.reports;
    may_look(desk, &a.service.name, reports, id, REPORT_SHARED)
}

/// Asks the engines of a chain how they are, and notes which are slow.
/// Returns the engine that the first one names as the cause of the silence of
/// the request.
pub async fn ask_engines(desk: &Rc<Desk>, a: &Admitted, stages: &[Stage]) -> Option<UpstreamId> {
    let id = a.ask.id.as_str();
    let mut asked = JoinSet::new();
    for (n, stage) in stages.iter().enumerate() {
        if !may_ask(desk, a, n, &stage.upstream) {
            continue;
        }
        let (desk, upstream) = (desk.clone(), stage.upstream.clone());
        asked.spawn_local(async move { (n, report(&desk, &upstream).await) });
    }
    let mut culprit = None;
    while let Some(answer) = asked.join_next().await {
        // A question neither panics nor is cancelled here.
        let Ok((n, Some(report))) = answer else {
            continue;
        };
        note_report(desk, &stages[n].upstream, &report);
        let mut stalled = report.stalled.iter().filter(|s| n == 0 && s.id == id);
        if let Some(stalled) = stalled.next() {
            let roster = desk.roster.borrow();
            culprit = roster
                .by_addr(&stalled.address)
                .map(|e| e.upstream.id.clone());
        }
    }
    culprit
}

fn note_report(desk: &Desk, id: &str, report: &Report) {
    if report.leaving {
        notice::note_leaving(desk, id);
    }
    let factor = report.time_factor.unwrap_or(1.0);
    let news = desk.roster.borrow_mut().note_slow(desk.now(), id, factor);
    if news && factor >= SLOW_LEAST {
        let fields = json!({"upstream": id, "factor": factor});
        log::line(Level::Info, "roster", "slow", fields);
    }
}

async fn report(desk: &Desk, id: &str) -> Option<Rc<Report>> {
    let addr = address(desk, id)?;
    let cell = cell(&desk.probes.reports, desk.now(), &addr, REPORT_SHARED);
    let ask = async {
        let report = engine::fetch_report(&desk.client, &addr, REPORT_TIME).await;
        report.ok().map(Rc::new)
    };
    cell.get_or_init(|| ask).await.clone()
}

/// Suspects an upstream if it takes no connection.
pub async fn check(desk: Rc<Desk>, id: UpstreamId) {
    if is_spared(&desk, &id) {
        return;
    }
    if !is_alive(&desk, &id).await {
        desk.suspect(&id, "named by another, no connection");
    }
}

/// Whether an upstream is not checked, as there are no checks left for its service.
fn is_spared(desk: &Desk, id: &str) -> bool {
    let roster = desk.roster.borrow();
    let Some(entry) = roster.get(id).filter(|e| !e.is_active(desk.now())) else {
        return false;
    };
    let service = entry.upstream.service.clone();
    drop(roster);
    let routing = desk.routing();
    let is_on = |s: &Arc<Service>| gate::is_on(desk, s);
    let is_on = routing.services.get(&service).is_some_and(is_on);
    is_on && !may_look(desk, &service, &desk.probes.alive, id, SHARED_TIME)
}

/// What a check of an engine that another box reports found.
pub enum Found {
    /// It accepts connections.
    Alive,
    /// It does not.
    Lost,
    /// It is not listed any more.
    Gone,
}

/// Whether the account of a service allows the check of an engine that another box
/// reports. The connection then stands for all that ask meanwhile.
pub fn may_check(desk: &Desk, service: &ServiceId, id: &str) -> bool {
    may_look(desk, service, &desk.probes.alive, id, LOST_SHARED)
}

/// Connects to an engine that another box reports, which [`may_check`] allowed.
///
/// What streams heard and what was found a moment ago is from before the other box's
/// connection failed, or may be: streams hear an engine up to 60 ms after such an event.
pub async fn check_reported(desk: &Desk, id: &str) -> Found {
    match takes_connection(desk, id, LOST_SHARED).await {
        true => Found::Alive,
        false if address(desk, id).is_none() => Found::Gone,
        false => Found::Lost,
    }
}

/// Whether a connection of this box to an address has just failed.
pub fn has_failed(desk: &Desk, addr: &str) -> bool {
    let alive = desk.probes.alive.borrow();
    let recent = alive.get(addr);
    let recent = recent.filter(|(at, _)| desk.now() < *at + SHARED_TIME);
    recent.is_some_and(|(_, cell)| cell.get() == Some(&false))
}

/// Whether an upstream whose connection just broke takes no other one.
///
/// That streams heard it a moment ago says nothing here. It takes nothing out of the
/// account: without it a stream loses an attempt for an engine that is lost.
pub async fn is_lost(desk: &Desk, id: &str) -> bool {
    !takes_connection(desk, id, LOST_SHARED).await
}

/// Whether an upstream takes a connection; one that is gone does not.
async fn is_alive(desk: &Desk, id: &str) -> bool {
    let heard = |e: &UpstreamState| e.is_active(desk.now());
    if desk.roster.borrow().get(id).is_some_and(heard) {
        return true;
    }
    takes_connection(desk, id, SHARED_TIME).await
}

/// Connects to an upstream, or goes by what was found less than `shared` ago.
async fn takes_connection(desk: &Desk, id: &str, shared: Duration) -> bool {
    let Some(addr) = address(desk, id) else {
        return false;
    };
    let cell = cell(&desk.probes.alive, desk.now(), &addr, shared);
    let probe = async {
        matches!(
            timeout(PROBE_TIME, TcpStream::connect(&addr)).await,
            Ok(Ok(_))
        )
    };
    *cell.get_or_init(|| probe).await
}

fn address(desk: &Desk, id: &str) -> Option<String> {
    let roster = desk.roster.borrow();
    roster.get(id).map(|e| e.upstream.addr.clone())
}
