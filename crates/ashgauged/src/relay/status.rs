//! Status of a box for operators: its view of the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use ashgauge::digest;
use ashgauge::hub::Role;
use ashgauge::load_report;
use ashgauge::member::BoxId;
use ashgauge::permit::issuer_order;
use ashgauge::placement::covers_model;
use ashgauge::revision;
use ashgauge::routing::ServiceId;
use ashgauge::upstream_state::UpstreamState;
use serde::Serialize;

use super::levels::{self, LevelStatus};
use super::memory::{self, MemoryStatus};
use super::shared_state::SharedState;
use super::task::TaskStatus;

/// Status document: the data that a box has, and how old it is.
#[derive(Serialize)]
struct Status {
    id: String,
    data_centre: String,
    ready: bool,
    config_version: u64,
    /// Time since the configuration was last confirmed to be in force, in milliseconds;
    /// `null` before the first confirmation.
    config_age_ms: Option<u64>,
    /// Box from which the configuration came, or `store`; `null` before the first one.
    config_from: Option<String>,
    store_away: bool,
    /// Whether there is a service of which this box reaches no upstream.
    cut_off: bool,
    /// Services of which this box reaches no upstream.
    lost_services: Vec<ServiceId>,
    /// Whether this box reads the store itself.
    reads: bool,
    /// Number of restores of the store from a copy.
    era: u64,
    /// The store's revision, within the era, up to which all changes are known.
    revision: u64,
    boxes: u32,
    /// Recipients of its load reports: all boxes; for a hub, the other hubs and its
    /// leaves; for a leaf, its hub.
    role: String,
    /// Boxes that read the store for the others.
    readers: Vec<String>,
    /// Boxes that poll this one, by data centre.
    informs: Vec<PollerStatus>,
    /// Number of other boxes whose load was reported recently.
    boxes_heard: usize,
    inflight: usize,
    /// Memory for messages, by who sends them.
    memory: Vec<MemoryStatus>,
    /// Tasks that should last as long as the process.
    tasks: Vec<TaskStatus>,
    /// Services, and whether this box can serve them.
    services: Vec<ServiceStatus>,
    /// This box's share of the fleet's retries, by service.
    retries: Vec<RetryStatus>,
    /// Digests of quarantined requests, each with the seconds that are left.
    held: Vec<(String, u64)>,
    /// Number of requests during which upstreams were lost and that are not quarantined.
    suspects: usize,
    /// Upstreams that announce a rate limit.
    limits: Vec<LimitStatus>,
    /// Admission levels of the services for which shedding is enabled.
    levels: Vec<LevelStatus>,
    upstreams: Vec<UpstreamStatus>,
}

/// A service as this box can serve it.
#[derive(Serialize)]
struct ServiceStatus {
    service: String,
    /// Number of its upstreams.
    upstreams: usize,
    /// Number of those that may get new requests now.
    usable: usize,
    /// Number of those that hold no layers; 0 for a plain service.
    empty: usize,
    /// Whether usable upstreams hold each layer of its model; `null` for a plain service.
    whole: Option<bool>,
}

/// An upstream that announces how many requests per second it accepts from all boxes.
#[derive(Serialize)]
struct LimitStatus {
    upstream: String,
    rate: f64,
    /// Boxes that issue permits for it, in order of preference.
    givers: Vec<String>,
    /// Number of permits that this box has issued.
    given: u64,
}

/// This box's share of the fleet's retries for one service in the present window.
#[derive(Serialize)]
struct RetryStatus {
    service: String,
    earned: f64,
    spent: f64,
    /// Retries that are left.
    left: f64,
}

/// Boxes of one data centre that poll this one.
#[derive(Default, Serialize)]
struct PollerStatus {
    data_centre: String,
    boxes: usize,
    /// Boxes that knew everything when they last polled.
    current: usize,
    /// Time since the last query of the box that has been silent longest, in
    /// milliseconds.
    oldest_ms: u64,
}

/// An upstream as this box sees it.
#[derive(Serialize)]
struct UpstreamStatus {
    id: String,
    service: String,
    addr: String,
    data_centre: String,
    /// First layer and the layer after the last, if it holds any.
    layers: Option<(u32, u32)>,
    leaving: bool,
    /// Time left of the backoff that it requested, in milliseconds.
    rest_ms: Option<u64>,
    /// Requests per second that it accepts from all boxes, if it announces a limit.
    limit: Option<f64>,
    suspect: bool,
    /// Factor by which it is slower than normal.
    slowness: f64,
    /// Requests of this box in flight on it.
    inflight: u32,
    /// Requests of other boxes in flight on it, as they reported.
    others: u32,
    /// Estimated time to a response, in milliseconds.
    answer_ms: f64,
    /// Estimated share of failed requests.
    failures: f64,
}

fn service_statuses(shared: &SharedState) -> Vec<ServiceStatus> {
    let (now, registry) = (shared.now(), shared.registry.borrow());
    let routing = shared.routing();
    let mut services: Vec<_> = routing.services.values().collect();
    services.sort_by(|a, b| a.name.cmp(&b.name));
    let status = services.into_iter().map(|service| {
        let usable = || {
            let upstreams = registry.of_service(&service.name);
            upstreams.filter(|e| e.accepts_requests(now))
        };
        let model = service.model.as_ref().filter(|model| model.layers > 0);
        let is_empty = |e: &&UpstreamState| model.is_some() && e.upstream.layers.is_none();
        ServiceStatus {
            service: service.name.to_string(),
            upstreams: registry.of_service(&service.name).count(),
            usable: usable().count(),
            empty: usable().filter(is_empty).count(),
            whole: model.map(|model| {
                covers_model(model.layers, usable().filter_map(|e| e.upstream.layers))
            }),
        }
    });
    status.collect()
}

fn held_requests(shared: &SharedState) -> Vec<(String, u64)> {
    let held = shared.quarantine.borrow().quarantined(shared.now());
    let to_entry =
        |(digest, left): (u64, Duration)| (digest::format_digest(digest), left.as_secs());
    held.into_iter().map(to_entry).collect()
}

fn retry_statuses(shared: &SharedState) -> Vec<RetryStatus> {
    let balances = shared.retry_budgets.balances(shared.now()).into_iter();
    let status = balances.map(|(service, balance)| RetryStatus {
        service: service.to_string(),
        earned: balance.earned,
        spent: balance.spent,
        left: balance.left,
    });
    status.collect()
}

fn limit_statuses(shared: &SharedState) -> Vec<LimitStatus> {
    let (registry, permits) = (shared.registry.borrow(), &shared.permits);
    let (limits, buckets) = (permits.limits.borrow(), permits.buckets.borrow());
    let named = registry.iter().filter_map(|e| {
        let (id, key) = (&e.upstream.id, load_report::upstream_key(&e.upstream.id));
        Some(LimitStatus {
            upstream: id.to_string(),
            rate: limits.rate_of(key)?,
            givers: to_strings(&issuer_order(key, &permits.issuers.borrow())),
            given: buckets.issued(key),
        })
    });
    named.collect()
}

fn to_strings(boxes: &[BoxId]) -> Vec<String> {
    boxes.iter().map(|id| id.to_string()).collect()
}

fn poller_statuses(shared: &SharedState) -> Vec<PollerStatus> {
    let (now, covered) = (shared.now(), shared.mirror.borrow().covered());
    let (pollers, peers) = (shared.pollers.borrow(), shared.peers.borrow());
    let mut by_data_centre: BTreeMap<&str, PollerStatus> = BTreeMap::new();
    for (id, query) in pollers.iter() {
        let Some(peer) = peers.get(id) else {
            continue;
        };
        let status = by_data_centre.entry(&peer.data_centre).or_default();
        status.data_centre = peer.data_centre.to_string();
        status.boxes += 1;
        status.current += usize::from(query.revision >= covered);
        let age = now.saturating_sub(query.asked_at).as_millis() as u64;
        status.oldest_ms = status.oldest_ms.max(age);
    }
    by_data_centre.into_values().collect()
}

fn role(shared: &SharedState) -> String {
    match shared.role() {
        Role::Peer => "tells all".into(),
        Role::Hub => "hub".into(),
        Role::Leaf(hub) => format!("tells {hub}"),
    }
}

/// Encodes the status as JSON.
pub fn encode(shared: &SharedState) -> String {
    let now = shared.now();
    let settings = shared.settings();
    let registry = shared.registry.borrow();
    let fleet_load = shared.fleet_load.borrow();
    let upstreams = registry.iter().map(|e| UpstreamStatus {
        id: e.upstream.id.to_string(),
        service: e.upstream.service.to_string(),
        addr: e.upstream.addr.clone(),
        data_centre: e.upstream.data_centre.to_string(),
        layers: e.upstream.layers.map(|l| (l.first, l.end)),
        leaving: e.is_leaving(),
        rest_ms: e.backoff(now).map(|r| r.as_millis() as u64),
        limit: shared.permits.limits.borrow().rate(&e.upstream.id),
        suspect: e.is_suspect(now),
        slowness: e.slowness(now),
        inflight: e.inflight,
        others: fleet_load.usage_by_others(&e.upstream.id).requests,
        answer_ms: e.latency_seconds * 1e3,
        failures: e.failure_rate(now),
    });
    let mut upstreams: Vec<_> = upstreams.collect();
    let key = |u: &UpstreamStatus| (u.service.clone(), u.data_centre.clone(), u.layers);
    upstreams.sort_by_cached_key(key);
    let status = Status {
        id: settings.id.clone(),
        data_centre: settings.data_centre.clone(),
        ready: shared.is_ready(),
        config_version: shared.routing.borrow().version,
        config_age_ms: shared
            .freshness
            .borrow()
            .age(now)
            .map(|a| a.as_millis() as u64),
        config_from: shared
            .config_source
            .borrow()
            .as_ref()
            .map(|source| source.name().into()),
        store_away: shared.store_down.get(),
        cut_off: shared.reach.has_lost_service(),
        lost_services: shared
            .reach
            .connections
            .borrow()
            .lost_services()
            .cloned()
            .collect(),
        reads: *shared.reads_store.borrow(),
        era: revision::era(shared.mirror.borrow().covered()),
        revision: revision::count(shared.mirror.borrow().covered()),
        boxes: shared.fleet_size(),
        role: role(shared),
        readers: to_strings(&shared.readers.borrow().ids),
        informs: poller_statuses(shared),
        boxes_heard: fleet_load.boxes(),
        inflight: shared.inflight.get(),
        memory: memory::status(shared),
        tasks: shared.tasks.statuses(),
        services: service_statuses(shared),
        retries: retry_statuses(shared),
        held: held_requests(shared),
        suspects: shared.quarantine.borrow().suspect_count(),
        limits: limit_statuses(shared),
        levels: levels::status(shared),
        upstreams,
    };
    match serde_json::to_string(&status) {
        Ok(text) => text,
        Err(e) => format!("{{\"error\": \"{e}\"}}"),
    }
}
