//! Handles what upstreams announce about themselves in their responses.

use std::time::Duration;

use ashgauge::load_report;
use hyper::http::response;
use platform::engine;
use serde_json::json;
use spdlog::Level;

use super::shared_state::SharedState;
use super::{log, permit};

/// Applies what the response head of an upstream announces; the request was sent at
/// `sent_at`.
pub fn apply(shared: &SharedState, upstream: &str, sent_at: Duration, head: &response::Parts) {
    apply_limit(shared, upstream, sent_at, head);
    if engine::is_leaving(&head.headers) {
        note_leaving(shared, upstream);
    }
    let backoff = match engine::requested_backoff(head) {
        Ok(Some(backoff)) => backoff,
        Ok(None) => return,
        Err(text) => {
            let fields = json!({"upstream": upstream, "text": text});
            return log::event(Level::Warn, "roster", "rest cannot be read", fields);
        }
    };
    let mut registry = shared.registry.borrow_mut();
    // A later engine of a chain sends its request for a backoff through the first one.
    let named_engine =
        engine::engine_at_fault(&head.headers).and_then(|addr| registry.by_addr(addr));
    let named_engine = named_engine.map(|e| e.upstream.id.clone());
    let now = shared.now();
    registry.note_backoff(now, upstream, backoff);
    if let Some(id) = &named_engine {
        registry.note_backoff(now, id, backoff);
    }
    shared.metrics.backoffs.inc();
    let fields = json!({
        "upstream": upstream,
        "named": named_engine.as_deref(),
        "rest_ms": backoff.as_millis() as u64,
    });
    log::event(Level::Info, "roster", "asks for rest", fields);
}

/// Records the rate limit that an upstream announces for all boxes together. A refusal or
/// failure without a limit says nothing about it.
fn apply_limit(shared: &SharedState, upstream: &str, sent_at: Duration, head: &response::Parts) {
    let (now, mut limits) = (shared.now(), shared.permits.limits.borrow_mut());
    let rate = match engine::rate_limit(&head.headers) {
        Ok(None) if !head.status.is_success() => return,
        Ok(rate) => rate,
        Err(text) => {
            if limits.should_log(now) {
                let fields = json!({"upstream": upstream, "text": text});
                log::event(Level::Warn, "roster", "limit cannot be read", fields);
            }
            return;
        }
    };
    if limits.record(now, upstream, sent_at, rate) {
        let fields = json!({"upstream": upstream, "rate": rate});
        log::event(Level::Info, "roster", "names its limit", fields);
        if rate.is_none() {
            shared
                .registry
                .borrow_mut()
                .unblock(load_report::upstream_key(upstream));
        }
        drop(limits);
        permit::update_gauge(shared);
    }
}

/// Records that an upstream has announced in a response that it is leaving, so that no
/// new requests go there and streams move away, even while the store is down or its entry
/// is late.
pub fn note_leaving(shared: &SharedState, upstream: &str) {
    if !shared
        .registry
        .borrow_mut()
        .note_leaving(shared.now(), upstream)
    {
        return;
    }
    log::event(
        Level::Info,
        "roster",
        "says that it leaves",
        json!({"upstream": upstream}),
    );
    shared.notify_streams();
}

/// Counts a send to an upstream with a rate limit, and logs a send to an upstream in a
/// backoff, which happens if the upstream requested it while the connection was set up.
pub fn count_send(shared: &SharedState, upstream: &str, id: &str) {
    if shared.permits.limits.borrow().rate(upstream).is_some() {
        shared.metrics.limited_sends.inc();
    }
    let registry = shared.registry.borrow();
    let Some(remaining) = registry.get(upstream).and_then(|e| e.backoff(shared.now())) else {
        return;
    };
    shared.metrics.backoff_sends.inc();
    let remaining = remaining.as_millis() as u64;
    let fields = json!({"id": id, "upstream": upstream, "left_ms": remaining});
    log::event(Level::Warn, "request", "sent at rest", fields);
}
