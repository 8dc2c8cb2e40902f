//! How much the box does for streams that are held up, where streams are let in by the
//! level. All others have what they need at once.

use std::time::Duration;

use ashgauge::handoff::Attempts;
use ashgauge::member::UpstreamId;
use ashgauge::recovery::{self, HIGH_PRESSURE, LOW_PRESSURE, RecoveryAction};
use ashgauge::routing::ServiceId;
use rand::Rng;
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::desk::Desk;
use super::log;
use super::pick;
use super::request::Admitted;

/// Time between two looks of a stream that waits for its turn; a tenth of the time in
/// which a first event is due.
pub const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Longest wait before a request of which the caller has nothing is sent again: a part
/// of the 500 ms in which a first event is due.
const RESEND_WAIT: Duration = Duration::from_millis(100);

/// Time between two lines on repairs that were refused; streams that wait ask often.
const LINE_EVERY: Duration = Duration::from_secs(1);

/// What sending a request elsewhere is for its caller.
fn use_of(a: &Admitted) -> RecoveryAction {
    match a.record.first.is_some() || a.ask.last_event.is_some() {
        true => RecoveryAction::Repair,
        false => RecoveryAction::Resend,
    }
}

/// Takes one use out of the account for a stream that is led elsewhere; returns false if
/// none is left.
pub fn take(desk: &Desk, a: &Admitted) -> bool {
    a.class.is_none() || take_from(desk, &a.service.name, use_of(a))
}

/// Whether [`take`] would find a use.
pub fn has(desk: &Desk, a: &Admitted) -> bool {
    let (now, what) = (desk.now(), use_of(a));
    let service = &a.service.name;
    a.class.is_none()
        || desk
            .gates
            .with(service, |s| s.account.has_credit(now, what))
}

/// Takes a turn of a stream that cannot go on where it is; returns whether it goes now.
/// Without a turn it goes at a moment before `until`.
pub fn take_until(desk: &Desk, a: &Admitted, until: Duration) -> bool {
    if take(desk, a) {
        return true;
    }
    let left = until.saturating_sub(desk.now());
    let draw = desk.rng().random_range(0.0..1.0);
    let goes = recovery::stops_waiting(left, LOOK_EVERY, draw);
    if goes {
        count(desk, use_of(a), "overdue");
    }
    goes
}

/// Waits for the turn of a request that is sent again, but not for long.
pub async fn wait_turn(desk: &Desk, a: &Admitted) {
    let until = desk.now() + RESEND_WAIT;
    while !take_until(desk, a, until) {
        sleep(LOOK_EVERY).await;
    }
}

/// Whether a request that an engine refused, and that has not run, is sent again. Under
/// pressure it needs a second chain with room and a turn; else its caller comes back.
pub fn may_resend(desk: &Desk, a: &Admitted, handoff: &Attempts, avoid: &[UpstreamId]) -> bool {
    if a.class.is_none() {
        return true;
    }
    let is_tight = pressure(desk, a) >= HIGH_PRESSURE;
    if is_tight && !pick::has_room(desk, a, handoff, avoid) {
        count(desk, use_of(a), "no room");
        return false;
    }
    take(desk, a) || !is_tight
}

/// Takes one check of an engine of a service; returns false if none is left.
pub fn take_check(desk: &Desk, service: &ServiceId) -> bool {
    take_from(desk, service, RecoveryAction::Check)
}

/// Whether the engines have so much to do that checks which may be in vain are left out.
pub fn is_pressed(desk: &Desk, a: &Admitted) -> bool {
    a.class.is_some() && pressure(desk, a) > LOW_PRESSURE
}

/// The pressure on the engines of a request's service, as it was last reckoned.
fn pressure(desk: &Desk, a: &Admitted) -> f64 {
    let now = desk.now();
    desk.gates
        .with(&a.service.name, |s| s.account.pressure(now))
}

fn take_from(desk: &Desk, service: &ServiceId, what: RecoveryAction) -> bool {
    let now = desk.now();
    let taken = desk.gates.with(service, |s| s.account.withdraw(now, what));
    count(desk, what, if taken { "taken" } else { "refused" });
    if !taken && what == RecoveryAction::Repair {
        note_refused(desk, service);
    }
    taken
}

fn count(desk: &Desk, what: RecoveryAction, result: &str) {
    let labels = [what.name(), result];
    desk.metrics.recovery.with_label_values(&labels).inc();
}

/// Writes a line about a repair that has to wait, unless there was one a moment ago.
fn note_refused(desk: &Desk, service: &ServiceId) {
    let now = desk.now();
    if !desk.gates.may_write(now, LINE_EVERY) {
        return;
    }
    let pressure = desk.gates.with(service, |s| s.account.pressure(now));
    let fields = json!({"service": &**service, "pressure": pressure});
    log::line(Level::Warn, "recovery", "repair waits", fields);
}
