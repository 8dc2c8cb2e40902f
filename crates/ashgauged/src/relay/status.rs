//! A box's view of the fleet, for operators.

use std::time::Duration;

use ashgauge::digest;
use serde::Serialize;

use super::desk::Desk;

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
    /// Revision of the store up to which everything is known.
    revision: u64,
    boxes: u32,
    /// Other boxes that told their loads a short while ago.
    boxes_heard: usize,
    inflight: usize,
    /// Retries spent in the window, by service.
    retries: Vec<(String, f64)>,
    /// Digests of requests that are held back, with the seconds that are left.
    held: Vec<(String, u64)>,
    /// Requests under which upstreams were lost that are not held back.
    suspects: usize,
    upstreams: Vec<UpstreamStatus>,
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

fn held(desk: &Desk) -> Vec<(String, u64)> {
    let held = desk.quarantine.borrow().held(desk.now());
    let text = |(digest, left): (u64, Duration)| (digest::text(digest), left.as_secs());
    held.into_iter().map(text).collect()
}

/// Writes the status as JSON.
pub fn write(desk: &Desk) -> String {
    let now = desk.now();
    let settings = desk.settings();
    let roster = desk.roster.borrow();
    let shares = desk.shares.borrow();
    let upstreams = roster.all().map(|e| UpstreamStatus {
        id: e.upstream.id.to_string(),
        service: e.upstream.service.to_string(),
        addr: e.upstream.addr.clone(),
        data_centre: e.upstream.place.to_string(),
        layers: e.upstream.layers.map(|l| (l.first, l.end)),
        leaving: e.is_leaving(),
        rest_ms: e.rest(now).map(|r| r.as_millis() as u64),
        suspect: e.is_suspect(now),
        slowness: e.slowness(now),
        inflight: e.inflight,
        others: shares.others(&e.upstream.id).requests,
        answer_ms: e.seconds * 1e3,
        failures: e.failures(now),
    });
    let mut upstreams: Vec<_> = upstreams.collect();
    let key = |u: &UpstreamStatus| (u.service.clone(), u.data_centre.clone(), u.layers);
    upstreams.sort_by_cached_key(key);
    let status = Status {
        id: settings.id.clone(),
        data_centre: settings.data_centre.clone(),
        ready: desk.is_ready(),
        config_version: desk.routing.borrow().version,
        config_age_ms: desk.fresh.borrow().age(now).map(|a| a.as_millis() as u64),
        store_away: desk.store_away.get(),
        reads: *desk.reads.borrow(),
        revision: desk.mirror.borrow().covered(),
        boxes: desk.boxes(),
        boxes_heard: shares.boxes(),
        inflight: desk.inflight.get(),
        retries: desk.retries(),
        held: held(desk),
        suspects: desk.quarantine.borrow().suspects(),
        upstreams,
    };
    match serde_json::to_string(&status) {
        Ok(text) => text,
        Err(e) => format!("{{\"error\": \"{e}\"}}"),
    }
}
