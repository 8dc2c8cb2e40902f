//! Whether a request is sent again, and the lines that say why or why not.

use ashgauge::handoff::{Handoff, Next, Outcome};
use ashgauge::retry::{Balance, Window};
use serde_json::json;

use super::desk::Desk;
use super::request::Admitted;

/// Decides what follows after a send of a request that brought no good answer.
pub fn next(desk: &Desk, a: &Admitted, handoff: &mut Handoff, outcome: Outcome) -> Next {
    handoff.after(desk.now(), outcome, || take(desk, a))
}

/// Takes one retry out of the service's budget; returns false if none is left.
fn take(desk: &Desk, a: &Admitted) -> bool {
    let (now, service) = (desk.now(), &a.service.name);
    let (balance, taken) = desk.budget(service, |budget: &mut Window| {
        (budget.balance(now), budget.take(now))
    });
    let label = if taken { "taken" } else { "refused" };
    desk.metrics.retries.with_label_values(&[label]).inc();
    note(desk, a, label, &balance);
    taken
}

fn note(desk: &Desk, a: &Admitted, result: &str, balance: &Balance) {
    let fields = json!({
        "result": result,
        "service": &*a.service.name,
        "earned": balance.earned,
        "spent": balance.spent,
        "left": balance.left,
        "boxes": desk.boxes(),
        "up_ms": desk.uptime().as_millis() as u64,
    });
    a.record.step("retry", fields);
}
