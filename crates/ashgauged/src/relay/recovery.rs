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
use super::request::AdmittedRequest;
use super::shared_state::SharedState;

/// Interval at which a stream that waits for budget tries again; a tenth of the time in
/// which a first event is due.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait before a request is sent again whose caller has received nothing: part of
/// the 500 ms in which a first event is due.
const MAX_RESEND_WAIT: Duration = Duration::from_millis(100);

/// Least time between two log lines about refused repairs; streams that wait try often.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What it means for the caller that its request is sent elsewhere.
fn purpose_of(a: &AdmittedRequest) -> RecoveryAction {
    match a.record.first_event.is_some() || a.client_request.last_event.is_some() {
        true => RecoveryAction::Repair,
        false => RecoveryAction::Resend,
    }
}

/// Takes budget to continue a stream elsewhere. Returns `false` if none is left.
pub fn take_budget(shared: &SharedState, a: &AdmittedRequest) -> bool {
    a.class.is_none() || take_for(shared, &a.service.name, purpose_of(a))
}

/// Whether [`take_budget`] would find budget.
pub fn has_budget(shared: &SharedState, a: &AdmittedRequest) -> bool {
    let (now, what) = (shared.now(), purpose_of(a));
    let service = &a.service.name;
    a.class.is_none()
        || shared
            .admissions
            .with(service, |s| s.recovery_budget.has_credit(now, what))
}

/// Takes budget for a stream that cannot continue where it is. Returns whether it continues
/// elsewhere now; without budget it does so at a random moment before `until`.
pub fn take_or_overdue(shared: &SharedState, a: &AdmittedRequest, until: Duration) -> bool {
    if take_budget(shared, a) {
        return true;
    }
    let left = until.saturating_sub(shared.now());
    let draw = shared.rng().random_range(0.0..1.0);
    let goes = recovery::stops_waiting(left, POLL_INTERVAL, draw);
    if goes {
        count_use(shared, purpose_of(a), "overdue");
    }
    goes
}

/// Waits for budget to send a request again, but not for long.
pub async fn wait_for_budget(shared: &SharedState, a: &AdmittedRequest) {
    let until = shared.now() + MAX_RESEND_WAIT;
    while !take_or_overdue(shared, a, until) {
        sleep(POLL_INTERVAL).await;
    }
}

/// Whether a request that an engine refused, and that has not run, is sent again. Under
/// high pressure that requires a second chain with capacity, and budget; otherwise its
/// caller comes back.
pub fn may_resend(
    shared: &SharedState,
    a: &AdmittedRequest,
    handoff: &Attempts,
    avoid: &[UpstreamId],
) -> bool {
    if a.class.is_none() {
        return true;
    }
    let is_tight = pressure(shared, a) >= HIGH_PRESSURE;
    if is_tight && !pick::has_room(shared, a, handoff, avoid) {
        count_use(shared, purpose_of(a), "no room");
        return false;
    }
    take_budget(shared, a) || !is_tight
}

/// Takes budget for one check of an engine of a service. Returns `false` if none is left.
pub fn take_check(shared: &SharedState, service: &ServiceId) -> bool {
    take_for(shared, service, RecoveryAction::Check)
}

/// Whether the engines are so busy that checks which may be in vain are left out.
pub fn is_under_pressure(shared: &SharedState, a: &AdmittedRequest) -> bool {
    a.class.is_some() && pressure(shared, a) > LOW_PRESSURE
}

/// Pressure on the engines of a request's service, as last computed.
fn pressure(shared: &SharedState, a: &AdmittedRequest) -> f64 {
    let now = shared.now();
    shared
        .admissions
        .with(&a.service.name, |s| s.recovery_budget.pressure(now))
}

fn take_for(shared: &SharedState, service: &ServiceId, what: RecoveryAction) -> bool {
    let now = shared.now();
    let taken = shared
        .admissions
        .with(service, |s| s.recovery_budget.withdraw(now, what));
    count_use(shared, what, if taken { "taken" } else { "refused" });
    if !taken && what == RecoveryAction::Repair {
        log_refused_repair(shared, service);
    }
    taken
}

fn count_use(shared: &SharedState, what: RecoveryAction, result: &str) {
    let labels = [what.name(), result];
    shared.metrics.recovery.with_label_values(&labels).inc();
}

/// Logs that a repair has to wait, unless that was logged a moment ago.
fn log_refused_repair(shared: &SharedState, service: &ServiceId) {
    let now = shared.now();
    if !shared.admissions.may_log(now, LOG_INTERVAL) {
        return;
    }
    let pressure = shared
        .admissions
        .with(service, |s| s.recovery_budget.pressure(now));
    let fields = json!({"service": &**service, "pressure": pressure});
    log::event(Level::Warn, "recovery", "repair waits", fields);
}
