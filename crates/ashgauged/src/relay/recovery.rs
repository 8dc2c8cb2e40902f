//! Budget for the recovery of stalled streams, for services that admit streams by class.
//! Streams of all other services are not limited.

use std::time::Duration;

use ashgauge::attempts::Attempts;
use ashgauge::member::UpstreamId;
use ashgauge::recovery::{self, HIGH_PRESSURE, LOW_PRESSURE, RecoveryAction};
use ashgauge::routing::ServiceId;
use rand::Rng;
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::log;
use super::pick;
use super::request::RoutedRequest;
use super::shared_state::SharedState;
use super::shedding;

/// Interval at which a stream that waits for budget tries again; a tenth of the time in
/// which a first event is due.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait before a request whose caller has received nothing is sent again: part of
/// the 500 ms in which a first event is due.
const MAX_RESEND_WAIT: Duration = Duration::from_millis(100);

/// Least time between two log lines about refused repairs; streams that wait try often.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Returns whether sending the request elsewhere repairs an answer that has begun, or
/// resends a request whose answer has not.
fn action_of(request: &RoutedRequest) -> RecoveryAction {
    match request.record.first_event.is_some() || request.client_request.last_event.is_some() {
        true => RecoveryAction::Repair,
        false => RecoveryAction::Resend,
    }
}

/// Takes budget to continue a stream elsewhere. Returns `false` if none is left.
pub fn take_budget(shared: &SharedState, request: &RoutedRequest) -> bool {
    request.class.is_none() || take_for(shared, &request.service.name, action_of(request))
}

/// Whether [`take_budget`] would find budget.
pub fn has_budget(shared: &SharedState, request: &RoutedRequest) -> bool {
    if request.class.is_none() {
        return true;
    }
    let (now, action) = (shared.now(), action_of(request));
    let service = &request.service.name;
    shedding::refresh_pressure(shared, service);
    shared
        .admissions
        .with(service, |s| s.recovery_budget.has_credit(now, action))
}

/// Takes budget for a stream that cannot continue where it is. Returns whether it continues
/// elsewhere now; without budget it does so at a random moment before `until`.
pub fn take_or_overdue(shared: &SharedState, request: &RoutedRequest, until: Duration) -> bool {
    if take_budget(shared, request) {
        return true;
    }
    let left = until.saturating_sub(shared.now());
    let sample = shared.rng().random_range(0.0..1.0);
    let moves = recovery::stops_waiting(left, POLL_INTERVAL, sample);
    if moves {
        count_use(shared, action_of(request), "overdue");
    }
    moves
}

/// Waits for budget to send a request again, but not for long.
pub async fn wait_for_budget(shared: &SharedState, request: &RoutedRequest) {
    let until = shared.now() + MAX_RESEND_WAIT;
    while !take_or_overdue(shared, request, until) {
        sleep(POLL_INTERVAL).await;
    }
}

/// Whether a request that an engine refused, and that has not run, is sent again. Under
/// high pressure that requires a second chain with capacity, and budget; otherwise its
/// caller has to come back.
pub fn may_resend(
    shared: &SharedState,
    request: &RoutedRequest,
    attempts: &Attempts,
    avoid: &[UpstreamId],
) -> bool {
    if request.class.is_none() {
        return true;
    }
    let is_high = pressure(shared, request) >= HIGH_PRESSURE;
    if is_high && !pick::has_capacity(shared, request, attempts, avoid) {
        count_use(shared, action_of(request), "no room");
        return false;
    }
    take_budget(shared, request) || !is_high
}

/// Takes budget for one check of an engine of a service. Returns `false` if none is left.
pub fn take_check(shared: &SharedState, service: &ServiceId) -> bool {
    take_for(shared, service, RecoveryAction::Check)
}

/// Whether the engines are so busy that checks which may be in vain are left out.
pub fn is_under_pressure(shared: &SharedState, request: &RoutedRequest) -> bool {
    request.class.is_some() && pressure(shared, request) > LOW_PRESSURE
}

/// Pressure on the engines of a request's service, as last computed.
fn pressure(shared: &SharedState, request: &RoutedRequest) -> f64 {
    let service = &request.service.name;
    shedding::refresh_pressure(shared, service);
    let now = shared.now();
    shared
        .admissions
        .with(service, |s| s.recovery_budget.pressure(now))
}

/// Takes budget for an action. Returns `false` if none is left.
fn take_for(shared: &SharedState, service: &ServiceId, action: RecoveryAction) -> bool {
    shedding::refresh_pressure(shared, service);
    let now = shared.now();
    let taken = shared
        .admissions
        .with(service, |s| s.recovery_budget.withdraw(now, action));
    count_use(shared, action, if taken { "taken" } else { "refused" });
    if !taken && action == RecoveryAction::Repair {
        log_refused_repair(shared, service);
    }
    taken
}

fn count_use(shared: &SharedState, action: RecoveryAction, result: &str) {
    let labels = [action.name(), result];
    shared.metrics.recovery.with_label_values(&labels).inc();
}

/// Logs that a repair has to wait, unless that was logged a moment ago.
fn log_refused_repair(shared: &SharedState, service: &ServiceId) {
    let now = shared.now();
    if !shared.admissions.take_log_slot(now, LOG_INTERVAL) {
        return;
    }
    let pressure = shared
        .admissions
        .with(service, |s| s.recovery_budget.pressure(now));
    let fields = json!({"service": &**service, "pressure": pressure});
    log::event(Level::Warn, "recovery", "repair waits", fields);
}
