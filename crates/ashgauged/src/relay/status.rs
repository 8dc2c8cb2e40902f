//! A box's view of the fleet, for operators.

use std::collections::BTreeMap;
use std::time::Duration;

use ashgauge::digest;
use ashgauge::hub::Role;
use ashgauge::load_report;
use ashgauge::member::BoxId;
use ashgauge::permit::issuer_order;
use ashgauge::revision;
use serde::Serialize;

use super::levels::{self, LevelStatus};
use super::shared_state::SharedState;

/// What a box knows, and how old it is.
#[derive(Serialize)]
struct Status {
    id: String,
    data_centre: String,
    ready: bool,
    config_version: u64,
    /// Age of the last proof that this configuration is in force, in
    /// milliseconds; nothing before the first.
    config_age_ms: Option<u64>,
    store_away: bool,
    /// Whether this box reads the store itself.
    reads: bool,
    /// How often the store has come back from a copy.
    era: u64,
    /// What it counts the last of the changes as up to which everything is known.
    revision: u64,
    boxes: u32,
    /// Whom it tells its loads: every box, as a hub the other hubs and its boxes, or
    /// this hub.
    role: String,
    /// Boxes that read the store for the others.
    readers: Vec<String>,
    /// Boxes that ask this one, by data centre.
    informs: Vec<Informed>,
    /// Other boxes that told their loads a short while ago.
    boxes_heard: usize,
    inflight: usize,
    /// What the box has of the fleet's retries, by service.
    retries: Vec<RetryStatus>,
    /// Digests of requests that are held back, with the seconds that are left.
    held: Vec<(String, u64)>,
    /// Requests under which upstreams were lost that are not held back.
    suspects: usize,
    /// Upstreams that name a limit.
    limits: Vec<LimitStatus>,
    /// Levels of the services for which shedding is switched on.
    levels: Vec<LevelStatus>,
    upstreams: Vec<UpstreamStatus>,
}

/// An upstream that names how many requests a second it takes from all boxes.
#[derive(Serialize)]
struct LimitStatus {
    upstream: String,
    rate: f64,
    /// Boxes that give permits for it, the first first.
    givers: Vec<String>,
    /// Permits that this box gave.
    given: u64,
}

/// What the box has of the fleet's retries for one service in the present window.
#[derive(Serialize)]
struct RetryStatus {
    service: String,
    earned: f64,
    spent: f64,
    /// Those that it may still take.
    left: f64,
}

/// Boxes of one data centre that ask this one.
#[derive(Default, Serialize)]
struct Informed {
    data_centre: String,
    boxes: usize,
    /// Those that knew everything when they asked last.
    current: usize,
    /// Time since the one that has been silent longest asked, in milliseconds.
    oldest_ms: u64,
}

/// An upstream as this box sees it.
#[derive(Serialize)]
struct UpstreamStatus {
    id: String,
    service: String,
    addr: String,
    data_centre: String,
    /// First layer and layer after the last, if it holds any.
    layers: Option<(u32, u32)>,
    leaving: bool,
    /// How much longer it wants nothing from this box, in milliseconds.
    rest_ms: Option<u64>,
    /// Requests a second that it takes from all boxes, if it names that.
    limit: Option<f64>,
    suspect: bool,
    /// Factor on the time of its work.
    slowness: f64,
    /// Requests of this box on it.
    inflight: u32,
    /// Requests of the other boxes on it, as they told.
    others: u32,
    /// Learned time of an answer, in milliseconds.
    answer_ms: f64,
    /// Learned share of requests that failed.
    failures: f64,
}

fn held_requests(desk: &SharedState) -> Vec<(String, u64)> {
    let held = desk.quarantine.borrow().quarantined(desk.now());
    let text = |(digest, left): (u64, Duration)| (digest::format_digest(digest), left.as_secs());
    held.into_iter().map(text).collect()
}

fn retry_statuses(desk: &SharedState) -> Vec<RetryStatus> {
    let balances = desk.retry_budgets.balances(desk.now()).into_iter();
    let status = balances.map(|(service, balance)| RetryStatus {
        service: service.to_string(),
        earned: balance.earned,
        spent: balance.spent,
        left: balance.left,
    });
    status.collect()
}

fn limit_statuses(desk: &SharedState) -> Vec<LimitStatus> {
    let (roster, permits) = (desk.registry.borrow(), &desk.permits);
    let (limits, grants) = (permits.limits.borrow(), permits.grants.borrow());
    let named = roster.iter().filter_map(|e| {
        let (id, key) = (&e.upstream.id, load_report::upstream_key(&e.upstream.id));
        Some(LimitStatus {
            upstream: id.to_string(),
            rate: limits.rate_of(key)?,
            givers: to_strings(&issuer_order(key, &permits.givers.borrow())),
            given: grants.issued(key),
        })
    });
    named.collect()
}

fn to_strings(boxes: &[BoxId]) -> Vec<String> {
    boxes.iter().map(|id| id.to_string()).collect()
}

fn informed_boxes(desk: &SharedState) -> Vec<Informed> {
    let (now, covered) = (desk.now(), desk.mirror.borrow().covered());
    let (askers, peers) = (desk.pollers.borrow(), desk.peers.borrow());
    let mut places: BTreeMap<&str, Informed> = BTreeMap::new();
    for (id, asked) in askers.iter() {
        let Some(peer) = peers.get(id) else {
            continue;
        };
        let place = places.entry(&peer.data_centre).or_default();
        place.data_centre = peer.data_centre.to_string();
        place.boxes += 1;
        place.current += usize::from(asked.revision >= covered);
        let age = now.saturating_sub(asked.asked_at).as_millis() as u64;
        place.oldest_ms = place.oldest_ms.max(age);
    }
    places.into_values().collect()
}

fn role(desk: &SharedState) -> String {
    match desk.role() {
        Role::Peer => "tells all".into(),
        Role::Hub => "hub".into(),
        Role::Leaf(hub) => format!("tells {hub}"),
    }
}

/// Writes the status as JSON.
pub fn encode(desk: &SharedState) -> String {
    let now = desk.now();
    let settings = desk.settings();
    let roster = desk.registry.borrow();
    let shares = desk.fleet_load.borrow();
    let upstreams = roster.iter().map(|e| UpstreamStatus {
        id: e.upstream.id.to_string(),
        service: e.upstream.service.to_string(),
        addr: e.upstream.addr.clone(),
        data_centre: e.upstream.data_centre.to_string(),
        layers: e.upstream.layers.map(|l| (l.first, l.end)),
        leaving: e.is_leaving(),
        rest_ms: e.backoff(now).map(|r| r.as_millis() as u64),
        limit: desk.permits.limits.borrow().rate(&e.upstream.id),
        suspect: e.is_suspect(now),
        slowness: e.slowness(now),
        inflight: e.inflight,
        others: shares.others(&e.upstream.id).requests,
        answer_ms: e.latency_seconds * 1e3,
        failures: e.failure_rate(now),
    });
    let mut upstreams: Vec<_> = upstreams.collect();
    let key = |u: &UpstreamStatus| (u.service.clone(), u.data_centre.clone(), u.layers);
    upstreams.sort_by_cached_key(key);
    let status = Status {
        id: settings.id.clone(),
        data_centre: settings.data_centre.clone(),
        ready: desk.is_ready(),
        config_version: desk.routing.borrow().version,
        config_age_ms: desk
            .freshness
            .borrow()
            .age(now)
            .map(|a| a.as_millis() as u64),
        store_away: desk.store_down.get(),
        reads: *desk.reads_store.borrow(),
        era: revision::era(desk.mirror.borrow().covered()),
        revision: revision::count(desk.mirror.borrow().covered()),
        boxes: desk.fleet_size(),
        role: role(desk),
        readers: to_strings(&desk.readers.borrow().ids),
        informs: informed_boxes(desk),
        boxes_heard: shares.boxes(),
        inflight: desk.inflight.get(),
        retries: retry_statuses(desk),
        held: held_requests(desk),
        suspects: desk.quarantine.borrow().suspect_count(),
        limits: limit_statuses(desk),
        levels: levels::status(desk),
        upstreams,
    };
    match serde_json::to_string(&status) {
        Ok(text) => text,
        Err(e) => format!("{{\"error\": \"{e}\"}}"),
    }
}
