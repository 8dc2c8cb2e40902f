//! Planned stop. From the signal on, the box takes only requests that are likely to end in time;
//! what still runs at the end gets a last answer before the process ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ashgauge::routing::Route;
use hyper::{Response, StatusCode};
use serde_json::json;
use spdlog::Level;
use tokio::time::{Instant, sleep};

use super::log;
use super::request::response_to;
use super::serve::Body;
use super::shared_state::SharedState;

/// How long the load balancer may still send callers here after the box has reported that
/// it is not ready. The balancer checks every second and removes the box after the second
/// negative answer. Later requests, on kept-alive connections, are refused.
const BALANCER_GRACE: Duration = Duration::from_millis(2600);

/// How long no request may be in flight before the process exits, so that the last
/// response has been written out.
const IDLE_GRACE: Duration = Duration::from_millis(150);

/// Time reserved between the last response and the moment at which the process is killed, and
/// its largest share of the whole time.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const KILL_MARGIN_SHARE: f64 = 0.25;

/// Time for the last answers of requests that still run.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);

/// Interval between checks whether the last request has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Whether a request was sent to an upstream or another box, so that it may have run. Clones
/// share the mark.
#[derive(Clone, Debug, Default)]
pub struct SentMark(Arc<AtomicBool>);

impl SentMark {
    /// Records that the request is about to be sent.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Returns the last answer to attempt `id`, which still runs: it may have run if it was sent.
    pub fn last_answer(&self, id: Option<&str>) -> Response<Body> {
        let (status, retry_after) = match self.0.load(Ordering::Relaxed) {
            true => (StatusCode::BAD_GATEWAY, None),
            false => (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::ZERO)),
        };
        response_to(id, status, retry_after)
    }
}

/// Returns whether a request that arrives now is likely to end before the process does. One whose
/// route has served none yet may take all of its `timeout`.
pub fn can_take(shared: &SharedState, route: &Route, timeout: Duration) -> bool {
    let Some(ends_at) = shared.stop.ends_at.get() else {
        return true;
    };
    let expected = shared.stop.upper_time(&route.name);
    let expected = expected.unwrap_or(timeout).min(timeout);
    !shared.stop.is_stopped.get() && shared.now() + expected <= ends_at
}

/// Forgets the routes that the configuration in force does not have.
pub fn forget_routes(shared: &SharedState) {
    let routing = shared.routing();
    shared.stop.retain_routes(|route| routing.has_route(route));
}

/// Shuts down: lets the requests in flight finish within the time that is left, and ends the
/// others.
pub async fn run(shared: &SharedState) {
    let started = Instant::now();
    let limit = time_limit(shared.settings().stop_timeout());
    let run_time = limit.saturating_sub(LAST_ANSWER_TIME.min(limit / 2));
    shared.stop.is_stopping.set(true);
    shared.stop.ends_at.set(Some(shared.now() + run_time));
    let fields = json!({
        "inflight": shared.inflight.get(),
        "ms_left": run_time.as_millis() as u64,
    });
    log::event(Level::Info, "box", "stopping", fields);
    sleep(BALANCER_GRACE.min(run_time)).await;
    shared.stop.is_stopped.set(true);
    wait_idle(shared, started + run_time).await;
    let ended = shared.inflight.get();
    shared.stop.ended.send_replace(true);
    if ended > 0 {
        wait_idle(shared, started + limit).await;
    }
    let fields = json!({
        "ended": ended,
        "cut": shared.inflight.get(),
        "ms": started.elapsed().as_millis() as u64,
    });
    log::event(Level::Info, "box", "stopped", fields);
    log::flush();
}

/// Returns the time from the signal until the process ends by itself.
fn time_limit(stop_timeout: Duration) -> Duration {
    stop_timeout - KILL_MARGIN.min(stop_timeout.mul_f64(KILL_MARGIN_SHARE))
}

/// Waits until no request has been in flight for [`IDLE_GRACE`], or until `until`.
async fn wait_idle(shared: &SharedState, until: Instant) {
    let mut last_busy = Instant::now();
    while last_busy.elapsed() < IDLE_GRACE && Instant::now() < until {
        sleep(POLL_INTERVAL).await;
        if shared.inflight.get() > 0 {
            last_busy = Instant::now();
        }
    }
}
