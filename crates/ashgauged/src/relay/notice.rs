//! What upstreams say of themselves in their answers.

use std::time::Duration;

use ashgauge::load_report;
use hyper::http::response;
use platform::engine;
use serde_json::json;
use spdlog::Level;

use super::shared_state::SharedState;
use super::{log, permit};

/// Takes in what the head of an upstream's answer says of it, to a request that went out
/// at `sent`.
pub fn apply(shared: &SharedState, upstream: &str, sent: Duration, head: &response::Parts) {
    apply_limit(shared, upstream, sent, head);
    if engine::is_leaving(&head.headers) {
        note_leaving(shared, upstream);
    }
    let rest = match engine::requested_backoff(head) {
        Ok(Some(rest)) => rest,
        Ok(None) => return,
        Err(text) => {
            let fields = json!({"upstream": upstream, "text": text});
            return log::event(Level::Warn, "roster", "rest cannot be read", fields);
        }
    };
    let mut registry = shared.registry.borrow_mut();
    // An engine behind the first one of a chain asks by way of that.
    let named = engine::engine_at_fault(&head.headers).and_then(|addr| registry.by_addr(addr));
    let named = named.map(|e| e.upstream.id.clone());
    let now = shared.now();
    registry.note_backoff(now, upstream, rest);
    if let Some(id) = &named {
        registry.note_backoff(now, id, rest);
    }
    shared.metrics.backoffs.inc();
    let fields = json!({
        "upstream": upstream,
        "named": named.as_deref(),
        "rest_ms": rest.as_millis() as u64,
    });
    log::event(Level::Info, "roster", "asks for rest", fields);
}

/// Notes what an upstream takes from all boxes together. A refusal or a failure that names
/// nothing says nothing of that.
fn apply_limit(shared: &SharedState, upstream: &str, sent: Duration, head: &response::Parts) {
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
    if limits.record(now, upstream, sent, rate) {
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

/// Notes that an upstream's answer says that it leaves, so that nothing new goes there
/// and streams are led away, also while the store is down or its entry comes late.
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

/// Counts a send to an upstream that names a limit, and notes one that wants nothing from
/// this box, as when it asked for that while the connection came up.
pub fn count_send(shared: &SharedState, upstream: &str, id: &str) {
    if shared.permits.limits.borrow().rate(upstream).is_some() {
        shared.metrics.limited_sends.inc();
    }
    let registry = shared.registry.borrow();
    let Some(left) = registry.get(upstream).and_then(|e| e.backoff(shared.now())) else {
        return;
    };
    shared.metrics.backoff_sends.inc();
    let left = left.as_millis() as u64;
    let fields = json!({"id": id, "upstream": upstream, "left_ms": left});
    log::event(Level::Warn, "request", "sent at rest", fields);
}
