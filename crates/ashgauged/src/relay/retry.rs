//! Whether a request is sent again, and the lines that say why a retry was taken or
//! refused.

use ashgauge::handoff::{Attempts, Decision, SendOutcome};
use serde_json::json;

use super::desk::Desk;
use super::request::Admitted;

/// Decides what follows after a send of a request that brought no good answer.
pub fn next(desk: &Desk, a: &Admitted, handoff: &mut Attempts, outcome: SendOutcome) -> Decision {
    handoff.decide(desk.now(), outcome, || take(desk, a))
}

/// Takes one retry out of the service's budget; returns false if none is left.
fn take(desk: &Desk, a: &Admitted) -> bool {
    let (now, service) = (desk.now(), &a.service.name);
    let before = desk.budgets.with(service, |window| window.balance(now));
    let taken = desk.budgets.with(service, |window| window.withdraw(now));
    let result = if taken { "taken" } else { "refused" };
    desk.metrics.retries.with_label_values(&[result]).inc();
    let fields = json!({
        "result": result,
        "service": &**service,
        "earned": before.earned,
        "spent": before.spent,
        "left": before.left,
        "boxes": desk.budgets.boxes(),
        "up_ms": desk.uptime().as_millis() as u64,
    });
    a.record.step("retry", fields);
    taken
}
