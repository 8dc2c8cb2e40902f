//! What upstreams say of themselves in their answers.

use std::time::Duration;

use ashgauge::share;
use hyper::http::response;
use platform::engine;
use serde_json::json;
use spdlog::Level;

use super::desk::Desk;
use super::{log, permit};

/// Takes in what the head of an upstream's answer says of it, to a request that went out
/// at `sent`.
pub fn take(desk: &Desk, upstream: &str, sent: Duration, head: &response::Parts) {
    take_limit(desk, upstream, sent, head);
    if engine::is_leaving(&head.headers) {
        note_leaving(desk, upstream);
    }
    let rest = match engine::requested_backoff(head) {
        Ok(Some(rest)) => rest,
        Ok(None) => return,
        Err(text) => {
            let fields = json!({"upstream": upstream, "text": text});
            return log::line(Level::Warn, "roster", "rest cannot be read", fields);
        }
    };
    let mut roster = desk.roster.borrow_mut();
    // An engine behind the first one of a chain asks by way of that.
    let named = engine::engine_at_fault(&head.headers).and_then(|addr| roster.by_addr(addr));
    let named = named.map(|e| e.upstream.id.clone());
    let now = desk.now();
    roster.note_backoff(now, upstream, rest);
    if let Some(id) = &named {
        roster.note_backoff(now, id, rest);
    }
    desk.metrics.rests.inc();
    let fields = json!({
        "upstream": upstream,
        "named": named.as_deref(),
        "rest_ms": rest.as_millis() as u64,
    });
    log::line(Level::Info, "roster", "asks for rest", fields);
}

/// Notes what an upstream takes from all boxes together. A refusal or a failure that names
/// nothing says nothing of that.
fn take_limit(desk: &Desk, upstream: &str, sent: Duration, head: &response::Parts) {
    let (now, mut limits) = (desk.now(), desk.permits.limits.borrow_mut());
    let rate = match engine::rate_limit(&head.headers) {
        Ok(None) if !head.status.is_success() => return,
        Ok(rate) => rate,
        Err(text) => {
            if limits.should_log(now) {
                let fields = json!({"upstream": upstream, "text": text});
                log::line(Level::Warn, "roster", "limit cannot be read", fields);
            }
            return;
        }
    };
    if limits.record(now, upstream, sent, rate) {
        let fields = json!({"upstream": upstream, "rate": rate});
        log::line(Level::Info, "roster", "names its limit", fields);
        if rate.is_none() {
            desk.roster
                .borrow_mut()
                .unblock(share::upstream_key(upstream));
        }
        drop(limits);
        permit::note_count(desk);
    }
}

/// Notes that an upstream's answer says that it leaves, so that nothing new goes there
/// and streams are led away, also while the store is down or its entry comes late.
pub fn note_leaving(desk: &Desk, upstream: &str) {
    if !desk.roster.borrow_mut().note_leaving(desk.now(), upstream) {
        return;
    }
    log::line(
        Level::Info,
        "roster",
        "says that it leaves",
        json!({"upstream": upstream}),
    );
    desk.wake_streams();
}

/// Counts a send to an upstream that names a limit, and notes one that wants nothing from
/// this box, as when it asked for that while the connection came up.
pub fn check_send(desk: &Desk, upstream: &str, id: &str) {
    if desk.permits.limits.borrow().rate(upstream).is_some() {
        desk.metrics.limited_sends.inc();
    }
    let roster = desk.roster.borrow();
    let Some(left) = roster.get(upstream).and_then(|e| e.backoff(desk.now())) else {
        return;
    };
    desk.metrics.rested.inc();
    let left = left.as_millis() as u64;
    let fields = json!({"id": id, "upstream": upstream, "left_ms": left});
    log::line(Level::Warn, "request", "sent at rest", fields);
}
