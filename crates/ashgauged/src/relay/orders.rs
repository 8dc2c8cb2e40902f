//! Orders to engines to hold a range of layers.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::member::UpstreamId;
use ashgauge::pending::OrderState;
use ashgauge::placement::Assignment;
use ashgauge::upstream::LayerRange;
use platform::engine::{self, OrderReply, ReleaseMode, Report};
use serde_json::json;
use spdlog::Level;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::log;
use super::shared_state::SharedState;

/// Timeout of an engine's reply to an order, which takes milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of times that an order is sent.
const MAX_ORDER_TRIES: u32 = 4;

/// Delay before an order that got no reply is sent again. The engine may have taken it,
/// which its report then shows.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(1200);

/// Orders one engine to hold a range, and logs a warning if the engine does not announce it
/// in time.
pub async fn order_and_verify(
    shared: Rc<SharedState>,
    slots: Rc<Semaphore>,
    range: Assignment,
    release_mode: ReleaseMode,
    announce_time: Duration,
) {
    send_order(shared.clone(), &slots, range.clone(), release_mode).await;
    sleep(announce_time).await;
    let Some((addr, _)) = pending_order(&shared, &range) else {
        return;
    };
    let report = engine::fetch_report(&shared.client, &addr, ORDER_TIMEOUT).await;
    let fields = json!({
        "upstream": &*range.id,
        "layers": range.layers,
        "busy": report.as_ref().map(|r| r.busy).ok(),
        "orders": report.as_ref().map(|r| r.orders).ok(),
        "fault": report.err().map(|e| e.to_string()),
    });
    log::event(Level::Warn, "placement", "not shown", fields);
}

/// Orders one engine to hold a range, until the engine confirms it.
async fn send_order(
    shared: Rc<SharedState>,
    slots: &Semaphore,
    range: Assignment,
    release_mode: ReleaseMode,
) {
    let mut initial = None;
    for attempt in 1..=MAX_ORDER_TRIES {
        // The semaphore is never closed.
        let slot = slots.acquire().await;
        let Some((addr, held)) = pending_order(&shared, &range) else {
            return;
        };
        // The engine has carried out another box's order meanwhile, which is newer.
        let initial_layers = *initial.get_or_insert(held);
        if held.is_some() && held != initial_layers {
            return;
        }
        let holds_none = held.is_none();
        // An engine that holds no layers has mostly taken no order yet. Other engines, and
        // those that did not reply to an order, are asked for their number of orders.
        let orders = match holds_none && attempt == 1 {
            true => Some(0),
            false => match count_orders(&shared, &range, &addr).await {
                // The engine carries out an order, which is this one or a later one.
                OrderCount::Busy => return,
                OrderCount::Taken(orders) => Some(orders),
                OrderCount::Unknown => None,
            },
        };
        if let Some(orders) = orders {
            let client = &shared.client;
            let reply = engine::order_place(
                client,
                (&range.id, &addr),
                range.layers,
                release_mode,
                Some(orders),
                ORDER_TIMEOUT,
            );
            let reply = reply.await;
            log_reply(&shared, &range, attempt, &reply);
            if matches!(reply, OrderReply::Begun | OrderReply::Holds) {
                return;
            }
        }
        drop(slot);
        sleep(ORDER_RETRY_DELAY).await;
    }
}

/// What an engine reports of the orders that it has taken.
enum OrderCount {
    Taken(u64),
    Busy,
    Unknown,
}

/// Asks an engine whether it has taken an order; `None` if that cannot be told.
pub async fn fetch_order_state(shared: &SharedState, id: &UpstreamId) -> Option<OrderState> {
    let addr = {
        let registry = shared.registry.borrow();
        registry.get(id)?.upstream.addr.clone()
    };
    let report = engine::fetch_report(&shared.client, &addr, ORDER_TIMEOUT).await;
    let report = report.ok()?;
    if is_other_instance(shared, id, &report) {
        return None;
    }
    Some(match report {
        Report { busy: true, .. } => OrderState::Busy,
        Report { orders: 0, .. } => OrderState::NotTaken,
        _ => OrderState::Idle,
    })
}

/// Asks an engine how many orders it has taken.
async fn count_orders(shared: &SharedState, range: &Assignment, addr: &str) -> OrderCount {
    match engine::fetch_report(&shared.client, addr, ORDER_TIMEOUT).await {
        Ok(report) if is_other_instance(shared, &range.id, &report) => {
            let fields = json!({"upstream": &*range.id, "fault": "another engine has the address"});
            log::event(Level::Warn, "placement", "no report", fields);
            OrderCount::Unknown
        }
        Ok(report) if report.busy => OrderCount::Busy,
        Ok(report) => OrderCount::Taken(report.orders),
        Err(e) => {
            let fields = json!({"upstream": &*range.id, "fault": e.to_string()});
            log::event(Level::Warn, "placement", "no report", fields);
            OrderCount::Unknown
        }
    }
}

/// Whether a report comes from another engine, which has been given the address of one that is
/// gone. An order must not even reach it.
fn is_other_instance(shared: &SharedState, id: &str, report: &Report) -> bool {
    let registry = shared.registry.borrow();
    let listed = registry.get(id).and_then(|e| e.upstream.started_ms);
    matches!((listed, report.started_ms), (Some(listed), Some(reported)) if listed != reported)
}

/// Logs and counts an engine's reply to an order.
fn log_reply(shared: &SharedState, range: &Assignment, attempt: u32, reply: &OrderReply) {
    let accepted = matches!(reply, OrderReply::Begun | OrderReply::Holds);
    let label = if accepted { "taken" } else { "not taken" };
    shared.metrics.orders.with_label_values(&[label]).inc();
    let fields = json!({
        "upstream": &*range.id,
        "layers": range.layers,
        "attempt": attempt,
        "reply": format!("{reply:?}"),
    });
    log::event(Level::Info, "placement", "ordered", fields);
}

/// Address and held layers of an engine that has not announced the range yet.
fn pending_order(shared: &SharedState, range: &Assignment) -> Option<(String, Option<LayerRange>)> {
    let registry = shared.registry.borrow();
    let entry = registry.get(&range.id)?;
    let upstream = &entry.upstream;
    let announced = upstream.layers == Some(range.layers) || entry.is_leaving();
    (!announced).then(|| (upstream.addr.clone(), upstream.layers))
}
