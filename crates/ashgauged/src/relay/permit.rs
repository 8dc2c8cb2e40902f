//! Requests permits to send to upstreams that announce a rate limit, and issues them to
//! other boxes.

use std::net::SocketAddr;
use std::time::Duration;

use ashgauge::load_report::{self, UpstreamKey};
use ashgauge::member::{BoxId, UpstreamId};
use ashgauge::permit::{
    self, Issuer, IssuerRank, LimitReport, PermitReply, PermitRequest, Verdict,
};
use ashgauge::query::Datagram;
use ashgauge::routing::{Service, ServiceId};
use rand::Rng;
use serde_json::json;
use spdlog::Level;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::shared_state::SharedState;
use super::{log, messaging};

/// Timeout for another box's answer. An answer takes a millisecond or two, and longer on
/// a box that has used up its CPU quota.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);

/// Maximum number of boxes from which one permit is requested.
const MAX_ASKED_BOXES: u32 = 2;

/// Acquires a permit if the upstream needs one; without a permit the upstream is blocked
/// for a while and `false` is returned.
pub async fn acquire(shared: &SharedState, id: &UpstreamId) -> bool {
    let key = load_report::upstream_key(id);
    let report = shared.permits.limits.borrow().report_of(shared.now(), key);
    let Some(report) = report.filter(|t| t.rate.is_some()) else {
        return true;
    };
    let verdict = request_permit(shared, report).await;
    let result = match verdict {
        Some(Verdict::Granted) => "given",
        Some(Verdict::Unlimited) => "free",
        Some(Verdict::Wait(_)) => "refused",
        None => "no answer",
    };
    shared.metrics.permits.with_label_values(&[result]).inc();
    let Some(duration) = permit::block_time(verdict) else {
        return true;
    };
    shared
        .registry
        .borrow_mut()
        .block(shared.now(), id, duration);
    false
}

/// Requests a permit from the box that issues them for an upstream, which may be this
/// one, and from the next one if it does not answer; returns `None` if that one does not
/// answer either.
async fn request_permit(shared: &SharedState, report: LimitReport) -> Option<Verdict> {
    let mut unanswered = None;
    for _ in 0..MAX_ASKED_BOXES {
        match next_issuer(shared, report.key, unanswered.as_ref()) {
            Issuer::Local(rank) => return Some(decide(shared, report.key, rank)),
            Issuer::Remote(id) => match request_from(shared, &id, report).await {
                Some(verdict) => return Some(verdict),
                None => unanswered = Some(id),
            },
        }
    }
    None
}

fn next_issuer(shared: &SharedState, key: UpstreamKey, unanswered: Option<&BoxId>) -> Issuer {
    let (skipped_boxes, fleet_load) = (
        shared.permits.skipped_boxes.borrow(),
        shared.fleet_load.borrow(),
    );
    let (own, issuers) = (shared.settings().id.clone(), issuers_of(shared, key));
    let hears_from = |id: &BoxId| fleet_load.hears_from(id);
    permit::choose_issuer(
        shared.now(),
        &own,
        shared.fleet_size(),
        &issuers,
        &skipped_boxes,
        unanswered,
        hears_from,
    )
}

/// Returns the boxes that issue permits for an upstream, in order of preference.
fn issuers_of(shared: &SharedState, key: UpstreamKey) -> Vec<BoxId> {
    permit::issuer_order(key, &shared.permits.issuers.borrow())
}

async fn request_from(shared: &SharedState, to: &BoxId, report: LimitReport) -> Option<Verdict> {
    let id = shared.rng().random();
    let addr = shared.peers.borrow().get(to).map(|p| p.addr)?;
    let (sender, answer) = oneshot::channel();
    let request = PermitRequest {
        from: shared.settings().id.as_str().into(),
        id,
        limit: report,
    };
    shared.permits.register_pending(id, sender);
    messaging::send(shared, addr, &Datagram::AskPermit(request));
    let verdict = timeout(REPLY_TIMEOUT, answer).await;
    shared.permits.pending.borrow_mut().remove(&id);
    let mut skipped_boxes = shared.permits.skipped_boxes.borrow_mut();
    match verdict {
        Ok(Ok(verdict)) => {
            skipped_boxes.record_reply(to);
            Some(verdict)
        }
        // The sender is only dropped once it has been used.
        Ok(Err(_)) | Err(_) => {
            skipped_boxes.record_miss(shared.now(), to);
            None
        }
    }
}

/// Answers a permit request of another box.
pub fn handle_request(shared: &SharedState, request: PermitRequest, addr: SocketAddr) {
    merge_limits(shared, &request.from, &[request.limit]);
    let key = request.limit.key;
    let reply = PermitReply {
        from: shared.settings().id.as_str().into(),
        id: request.id,
        verdict: decide(shared, key, issuer_rank(shared, key)),
        limit: shared.permits.limits.borrow().report_of(shared.now(), key),
    };
    messaging::send(shared, addr, &Datagram::Permit(reply));
}

/// Handles another box's answer to a permit request.
pub fn handle_reply(shared: &SharedState, reply: PermitReply) {
    if let Some(report) = reply.limit {
        merge_limits(shared, &reply.from, &[report]);
    }
    if let Some(sender) = shared.permits.pending.borrow_mut().remove(&reply.id) {
        // The requester may have timed out.
        let _ = sender.send(reply.verdict);
    }
}

/// Merges the rate limits that another box reported.
pub fn merge_limits(shared: &SharedState, from: &BoxId, reports: &[LimitReport]) {
    let changed = shared
        .permits
        .limits
        .borrow_mut()
        .merge(shared.now(), reports);
    for key in &changed {
        let rate = shared.permits.limits.borrow().rate_of(*key);
        let id = upstream_of(shared, *key);
        let fields = json!({"upstream": id.as_deref(), "rate": rate, "from": &**from});
        log::event(Level::Info, "roster", "limit told", fields);
        if rate.is_none() {
            shared.registry.borrow_mut().unblock(*key);
        }
    }
    if !changed.is_empty() {
        update_gauge(shared);
    }
}

/// Sets the gauge of upstreams with a rate limit.
pub fn update_gauge(shared: &SharedState) {
    let count = shared.permits.limits.borrow().len();
    shared.metrics.limited_upstreams.set(count as i64);
}

/// Removes limits and grants that have expired.
pub fn expire(shared: &SharedState) {
    let now = shared.now();
    shared.permits.limits.borrow_mut().expire(now);
    shared.permits.buckets.borrow_mut().expire(now);
}

/// Returns the time after which a caller should retry whom a service's rate-limited
/// upstreams cannot serve, if the limits are the reason.
pub fn retry_after(shared: &SharedState, service: &Service) -> Option<Duration> {
    let wait = limit_wait(shared, service)?;
    let rate = blocked_rate(shared, &service.name)?;
    let now = shared.now();
    let mut schedule = shared.permits.schedule.borrow_mut();
    let rate_per_box = rate / f64::from(shared.fleet_size().max(1));
    Some(schedule.retry_after(now, &service.name, wait, rate_per_box))
}

/// Returns the time until a service's upstreams accept one more request, if rate limits
/// are the reason that they don't now.
pub fn limit_wait(shared: &SharedState, service: &Service) -> Option<Duration> {
    blocked_rate(shared, &service.name)?;
    shared.backoff_left(service)
}

/// Returns the total rate limit of a service's blocked upstreams, in requests per second.
fn blocked_rate(shared: &SharedState, service: &ServiceId) -> Option<f64> {
    let (registry, limits) = (shared.registry.borrow(), shared.permits.limits.borrow());
    let blocked = registry.of_service(service);
    let blocked = blocked.filter(|e| e.blocked_for(shared.now()).is_some());
    let rates = blocked.filter_map(|e| limits.rate(&e.upstream.id));
    Some(rates.sum()).filter(|rate| *rate > 0.0)
}

fn decide(shared: &SharedState, key: UpstreamKey, rank: IssuerRank) -> Verdict {
    let permits = &shared.permits;
    let mut buckets = permits.buckets.borrow_mut();
    buckets.decide(shared.now(), &permits.limits.borrow(), key, rank)
}

/// Returns the rank of this box among those that may issue permits for an upstream.
fn issuer_rank(shared: &SharedState, key: UpstreamKey) -> IssuerRank {
    let fleet_load = shared.fleet_load.borrow();
    let hears_from = |id: &BoxId| fleet_load.hears_from(id);
    permit::issuer_rank(&shared.settings().id, &issuers_of(shared, key), hears_from)
}

fn upstream_of(shared: &SharedState, key: UpstreamKey) -> Option<UpstreamId> {
    let registry = shared.registry.borrow();
    let mut all = registry.iter().map(|e| &e.upstream.id);
    all.find(|id| load_report::upstream_key(id) == key).cloned()
}
