//! Reports to the other boxes which engines accept no connections, and checks engines that
//! other boxes report.

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
use super::{codec, log, reach, shedding};

/// How long suspected engines are collected before they are reported: those that are lost
/// together are found within milliseconds of each other.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// An engine that another box reports.
struct ReportedEngine {
    instance: InstanceKey,
    id: UpstreamId,
    service: ServiceId,
    /// Whether this box checks it, as it has streams there and does not suspect it yet.
    is_used: bool,
}

/// Records an engine that this box suspects, if its own connection to it has just failed.
pub fn note_suspect(shared: &SharedState, id: &str) {
    let registry = shared.registry.borrow();
    let Some(entry) = registry.get(id) else {
        return;
    };
    let upstream = &entry.upstream;
    if !sheds_streams(shared, &upstream.service) || !probe::failed_recently(shared, &upstream.addr)
    {
        return;
    }
    let instance = instance_key(&upstream.id, upstream.started_ms);
    if shared
        .suspicions
        .borrow_mut()
        .record_found(shared.now(), instance)
    {
        shared.suspect_notify.notify_one();
    }
}

/// Handles a report of another box: a hub forwards it to the boxes that do not receive it
/// from the sender, and engines on which this box has streams are checked. The report
/// alone makes no engine suspect, as its sender may be cut off from engines that others
/// reach.
pub fn handle_reports(shared: &Rc<SharedState>, from: &BoxId, instances: &[InstanceKey]) {
    let now = shared.now();
    let instances = &instances[..instances.len().min(MAX_SUSPECTS_SENT)];
    let audience = audience(shared, from);
    for reported in find_reported(shared, instances) {
        let instance = reported.instance;
        if shared
            .suspicions
            .borrow_mut()
            .record_report(now, instance, audience)
        {
            shared.suspect_notify.notify_one();
        }
        let has_budget = || probe::reserve_reported_check(shared, &reported.service, &reported.id);
        let mut suspicions = shared.suspicions.borrow_mut();
        if reported.is_used && suspicions.begin_check(now, instance, has_budget) {
            tokio::task::spawn_local(check_reported(shared.clone(), from.clone(), reported.id));
        } else {
            count_result(shared, "ignored");
        }
    }
}

/// Checks an engine that another box reported, and marks it suspect if it accepts no
/// connection.
async fn check_reported(shared: Rc<SharedState>, from: BoxId, id: UpstreamId) {
    let found = probe::check_reported(&shared, &id).await;
    shared.suspicions.borrow_mut().end_check();
    match found {
        ProbeResult::Alive => count_result(&shared, "alive"),
        ProbeResult::Delisted => count_result(&shared, "ignored"),
        ProbeResult::Lost => {
            count_result(&shared, "confirmed");
            let fields = json!({"upstream": &*id, "from": &*from});
            log::event(Level::Warn, "roster", "told", fields);
            reach::mark_unreachable(&shared, &id, "told by another, no connection").await;
        }
    }
}

/// Sends reports to the other boxes as long as the process runs. Lost datagrams are not
/// sent again: boxes find lost engines through their own streams as well.
pub async fn broadcast(shared: Rc<SharedState>, peers: Rc<Peers>) {
    loop {
        shared.suspect_notify.notified().await;
        sleep(BATCH_DELAY).await;
        loop {
            let pending = shared.suspicions.borrow_mut().take_pending(shared.now());
            if pending.is_empty() {
                break;
            }
            let to_all = pending.iter().filter(|(_, to)| *to == Audience::All);
            let to_all = to_all.map(|(instance, _)| *instance).collect();
            let to_leaves = pending.iter().map(|(instance, _)| *instance).collect();
            send(&shared, &peers, to_all, shared.report_targets()).await;
            send(&shared, &peers, to_leaves, shared.leaves()).await;
        }
    }
}

async fn send(
    shared: &SharedState,
    peers: &Peers,
    instances: Vec<InstanceKey>,
    to: Vec<(BoxId, Peer)>,
) {
    if instances.is_empty() || to.is_empty() {
        return;
    }
    let from = shared.settings().id.as_str().into();
    let Some(bytes) = codec::encode(&Datagram::Suspects(from, instances)) else {
        return;
    };
    for (_, peer) in to {
        peers.send(peer.addr, &bytes).await;
    }
}

/// Returns the boxes to which this one forwards a report: a hub forwards to those that do
/// not receive it from the sender.
fn audience(shared: &SharedState, from: &BoxId) -> Option<Audience> {
    if shared.role() != Role::Hub {
        return None;
    }
    let is_hub = shared.readers.borrow().ids.contains(from);
    Some(if is_hub {
        Audience::Leaves
    } else {
        Audience::All
    })
}

/// Returns the engines among the given instances whose service admits streams by class.
fn find_reported(shared: &SharedState, instances: &[InstanceKey]) -> Vec<ReportedEngine> {
    let (now, registry) = (shared.now(), shared.registry.borrow());
    let mut services: HashMap<ServiceId, bool> = HashMap::new();
    let mut found = Vec::new();
    for entry in registry.iter() {
        let upstream = &entry.upstream;
        let instance = instance_key(&upstream.id, upstream.started_ms);
        if !instances.contains(&instance) {
            continue;
        }
        let service = upstream.service.clone();
        let sheds = services
            .entry(service.clone())
            .or_insert_with(|| sheds_streams(shared, &service));
        if *sheds {
            found.push(ReportedEngine {
                instance,
                id: upstream.id.clone(),
                service,
                is_used: entry.inflight > 0 && !entry.is_suspect(now),
            });
        }
    }
    found
}

fn sheds_streams(shared: &SharedState, service: &str) -> bool {
    let routing = shared.routing();
    let service = routing.services.get(service);
    service.is_some_and(|s| shedding::sheds_streams(shared, s))
}

fn count_result(shared: &SharedState, result: &str) {
    shared
        .metrics
        .reported_suspects
        .with_label_values(&[result])
        .inc();
}
