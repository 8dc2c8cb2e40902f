//! Notifies the other boxes of engines that accept no connections, and checks those that
//! they report.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::hub::Role;
use ashgauge::member::{BoxId, UpstreamId};
use ashgauge::quarantine::{Audience, InstanceKey, instance_key};
use ashgauge::query::Datagram;
use ashgauge::routing::ServiceId;
use ashgauge::suspicion::MAX_SUSPECTS_SENT;
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::peers::Peers;
use super::probe::{self, ProbeResult};
use super::shared_state::{Peer, SharedState};
use super::{log, pack, shedding};

/// How long engines are gathered before the others are notified: those that are lost
/// together are found within milliseconds of each other.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// An engine that another box reports.
struct ReportedEngine {
    start: InstanceKey,
    id: UpstreamId,
    service: ServiceId,
    /// Whether this box checks it: it has streams there and does not suspect it yet.
    is_used: bool,
}

/// Notes an engine that this box suspects, if its own connection failed a moment ago.
pub fn note_suspect(desk: &SharedState, id: &str) {
    let roster = desk.registry.borrow();
    let Some(entry) = roster.get(id) else {
        return;
    };
    let upstream = &entry.upstream;
    if !sheds_streams(desk, &upstream.service) || !probe::failed_recently(desk, &upstream.addr) {
        return;
    }
    let start = instance_key(&upstream.id, upstream.started_ms);
    if desk.suspicions.borrow_mut().record_found(desk.now(), start) {
        desk.suspect_notify.notify_one();
    }
}

/// Takes what another box reports: a hub forwards it to those that do not hear that box,
/// and engines on which this one has streams are checked. The report itself makes none
/// suspect, as its sender may be cut off from engines that others reach.
pub fn handle_reports(desk: &Rc<SharedState>, from: &BoxId, starts: &[InstanceKey]) {
    let now = desk.now();
    let starts = &starts[..starts.len().min(MAX_SUSPECTS_SENT)];
    let audience = audience(desk, from);
    for reported in find_reported(desk, starts) {
        let start = reported.start;
        if desk
            .suspicions
            .borrow_mut()
            .record_report(now, start, audience)
        {
            desk.suspect_notify.notify_one();
        }
        let has_budget = || probe::may_check_reported(desk, &reported.service, &reported.id);
        let mut suspicions = desk.suspicions.borrow_mut();
        if reported.is_used && suspicions.begin_check(now, start, has_budget) {
            tokio::task::spawn_local(check_reported(desk.clone(), from.clone(), reported.id));
        } else {
            count_result(desk, "ignored");
        }
    }
}

/// Checks an engine that another box reports, and suspects it if it accepts no connection.
async fn check_reported(desk: Rc<SharedState>, from: BoxId, id: UpstreamId) {
    let found = probe::check_reported(&desk, &id).await;
    desk.suspicions.borrow_mut().end_check();
    match found {
        ProbeResult::Alive => count_result(&desk, "alive"),
        ProbeResult::Delisted => count_result(&desk, "ignored"),
        ProbeResult::Lost => {
            count_result(&desk, "confirmed");
            let fields = json!({"upstream": &*id, "from": &*from});
            log::event(Level::Warn, "roster", "told", fields);
            desk.mark_suspect(&id, "told by another, no connection");
        }
    }
}

/// Notifies the other boxes, as long as the process runs. What is lost of it is not sent
/// again: boxes find lost engines by their own streams as well.
pub async fn broadcast(desk: Rc<SharedState>, peers: Rc<Peers>) {
    loop {
        desk.suspect_notify.notified().await;
        sleep(BATCH_DELAY).await;
        loop {
            let told = desk.suspicions.borrow_mut().take_pending(desk.now());
            if told.is_empty() {
                break;
            }
            let to_all = told.iter().filter(|(_, to)| *to == Audience::All);
            let to_all = to_all.map(|(start, _)| *start).collect();
            let to_below = told.iter().map(|(start, _)| *start).collect();
            send(&desk, &peers, to_all, desk.report_targets()).await;
            send(&desk, &peers, to_below, desk.leaves()).await;
        }
    }
}

async fn send(desk: &SharedState, peers: &Peers, starts: Vec<InstanceKey>, to: Vec<(BoxId, Peer)>) {
    if starts.is_empty() || to.is_empty() {
        return;
    }
    let from = desk.settings().id.as_str().into();
    let Some(bytes) = pack::encode(&Datagram::Suspects(from, starts)) else {
        return;
    };
    for (_, peer) in to {
        peers.send(peer.addr, &bytes).await;
    }
}

/// Whom this box forwards a report to: a hub tells those that do not hear its sender.
fn audience(desk: &SharedState, from: &BoxId) -> Option<Audience> {
    if desk.role() != Role::Hub {
        return None;
    }
    let is_hub = desk.readers.borrow().ids.contains(from);
    Some(if is_hub {
        Audience::Downstream
    } else {
        Audience::All
    })
}

/// The engines among some starts whose service lets streams in by their class.
fn find_reported(desk: &SharedState, starts: &[InstanceKey]) -> Vec<ReportedEngine> {
    let (now, roster) = (desk.now(), desk.registry.borrow());
    let mut services: HashMap<ServiceId, bool> = HashMap::new();
    let mut found = Vec::new();
    for entry in roster.iter() {
        let upstream = &entry.upstream;
        let start = instance_key(&upstream.id, upstream.started_ms);
        if !starts.contains(&start) {
            continue;
        }
        let service = upstream.service.clone();
        let is_on = services
            .entry(service.clone())
            .or_insert_with(|| sheds_streams(desk, &service));
        if *is_on {
            found.push(ReportedEngine {
                start,
                id: upstream.id.clone(),
                service,
                is_used: entry.inflight > 0 && !entry.is_suspect(now),
            });
        }
    }
    found
}

fn sheds_streams(desk: &SharedState, service: &str) -> bool {
    let routing = desk.routing();
    let service = routing.services.get(service);
    service.is_some_and(|s| shedding::sheds_streams(desk, s))
}

fn count_result(desk: &SharedState, result: &str) {
    desk.metrics
        .reported_suspects
        .with_label_values(&[result])
        .inc();
}
