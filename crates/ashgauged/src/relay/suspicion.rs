//! Notifies the other boxes of engines that accept no connections, and checks those that
//! they report.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::hub::Role;
use ashgauge::member::{BoxId, UpstreamId};
use ashgauge::quarantine::{Audience, InstanceKey, instance_key};
use ashgauge::question::Datagram;
use ashgauge::routing::ServiceId;
use ashgauge::suspicion::MAX_SUSPECTS_SENT;
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::desk::{Desk, Peer};
use super::peers::Peers;
use super::probe::{self, Found};
use super::{gate, log, pack};

/// How long engines are gathered before the others are notified: those that are lost
/// together are found within milliseconds of each other.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// An engine that another box reports.
struct Reported {
    start: InstanceKey,
    id: UpstreamId,
    service: ServiceId,
    /// Whether this box checks it: it has streams there and does not suspect it yet.
    is_used: bool,
}

/// Notes an engine that this box suspects, if its own connection failed a moment ago.
pub fn note(desk: &Desk, id: &str) {
    let roster = desk.roster.borrow();
    let Some(entry) = roster.get(id) else {
        return;
    };
    let upstream = &entry.upstream;
    if !is_on(desk, &upstream.service) || !probe::has_failed(desk, &upstream.addr) {
        return;
    }
    let start = instance_key(&upstream.id, upstream.started_ms);
    if desk.suspicions.borrow_mut().record_found(desk.now(), start) {
        desk.suspected.notify_one();
    }
}

/// Takes what another box reports: a hub forwards it to those that do not hear that box,
/// and engines on which this one has streams are checked. The report itself makes none
/// suspect, as its sender may be cut off from engines that others reach.
pub fn hear(desk: &Rc<Desk>, from: &BoxId, starts: &[InstanceKey]) {
    let now = desk.now();
    let starts = &starts[..starts.len().min(MAX_SUSPECTS_SENT)];
    let audience = audience(desk, from);
    for reported in find(desk, starts) {
        let start = reported.start;
        if desk
            .suspicions
            .borrow_mut()
            .record_report(now, start, audience)
        {
            desk.suspected.notify_one();
        }
        let has_budget = || probe::may_check(desk, &reported.service, &reported.id);
        let mut suspicions = desk.suspicions.borrow_mut();
        if reported.is_used && suspicions.begin_check(now, start, has_budget) {
            tokio::task::spawn_local(check(desk.clone(), from.clone(), reported.id));
        } else {
            count(desk, "ignored");
        }
    }
}

/// Checks an engine that another box reports, and suspects it if it accepts no connection.
async fn check(desk: Rc<Desk>, from: BoxId, id: UpstreamId) {
    let found = probe::check_reported(&desk, &id).await;
    desk.suspicions.borrow_mut().end_check();
    match found {
        Found::Alive => count(&desk, "alive"),
        Found::Gone => count(&desk, "ignored"),
        Found::Lost => {
            count(&desk, "confirmed");
            let fields = json!({"upstream": &*id, "from": &*from});
            log::line(Level::Warn, "roster", "told", fields);
            desk.suspect(&id, "told by another, no connection");
        }
    }
}

/// Notifies the other boxes, as long as the process runs. What is lost of it is not sent
/// again: boxes find lost engines by their own streams as well.
pub async fn tell(desk: Rc<Desk>, peers: Rc<Peers>) {
    loop {
        desk.suspected.notified().await;
        sleep(GATHER_TIME).await;
        loop {
            let told = desk.suspicions.borrow_mut().take_pending(desk.now());
            if told.is_empty() {
                break;
            }
            let to_all = told.iter().filter(|(_, to)| *to == Audience::All);
            let to_all = to_all.map(|(start, _)| *start).collect();
            let to_below = told.iter().map(|(start, _)| *start).collect();
            send(&desk, &peers, to_all, desk.listeners()).await;
            send(&desk, &peers, to_below, desk.leaves()).await;
        }
    }
}

async fn send(desk: &Desk, peers: &Peers, starts: Vec<InstanceKey>, to: Vec<(BoxId, Peer)>) {
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
fn audience(desk: &Desk, from: &BoxId) -> Option<Audience> {
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
fn find(desk: &Desk, starts: &[InstanceKey]) -> Vec<Reported> {
    let (now, roster) = (desk.now(), desk.roster.borrow());
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
            .or_insert_with(|| is_on(desk, &service));
        if *is_on {
            found.push(Reported {
                start,
                id: upstream.id.clone(),
                service,
                is_used: entry.inflight > 0 && !entry.is_suspect(now),
            });
        }
    }
    found
}

fn is_on(desk: &Desk, service: &str) -> bool {
    let routing = desk.routing();
    let service = routing.services.get(service);
    service.is_some_and(|s| gate::is_on(desk, s))
}

fn count(desk: &Desk, result: &str) {
    desk.metrics.heard.with_label_values(&[result]).inc();
}
