//! What upstreams say of themselves in their answers.

use hyper::http::response;
use platform::engine;
use serde_json::json;
use spdlog::Level;

use super::desk::Desk;
use super::log;

/// Takes in what the head of an upstream's answer says of it.
pub fn take(desk: &Desk, upstream: &str, head: &response::Parts) {
    let stays = |id| {
        let roster = desk.roster.borrow();
        roster.get(id).is_some_and(|e| !e.upstream.leaving)
    };
    if engine::is_leaving(head) && stays(upstream) {
        let fields = json!({"upstream": upstream});
        log::line(Level::Info, "roster", "says that it leaves", fields);
    }
    let rest = match engine::rest(head) {
        Ok(Some(rest)) => rest,
        Ok(None) => return,
        Err(text) => {
            let fields = json!({"upstream": upstream, "text": text});
            return log::line(Level::Warn, "roster", "rest cannot be read", fields);
        }
    };
    desk.roster
        .borrow_mut()
        .note_rest(desk.now(), upstream, rest);
    desk.metrics.rests.inc();
    let fields = json!({"upstream": upstream, "rest_ms": rest.as_millis() as u64});
    log::line(Level::Info, "roster", "asks for rest", fields);
}

/// Notes a send to an upstream that wants nothing from this box.
pub fn check_send(desk: &Desk, upstream: &str, id: &str) {
    let roster = desk.roster.borrow();
    let Some(left) = roster.get(upstream).and_then(|e| e.rest(desk.now())) else {
        return;
    };
    desk.metrics.rested.inc();
    let left = left.as_millis() as u64;
    let fields = json!({"id": id, "upstream": upstream, "left_ms": left});
    log::line(Level::Warn, "request", "sent at rest", fields);
}
