//! Decides whether a request is retried, and logs why a retry was allowed or refused.

use std::rc::Rc;

use ashgauge::attempts::{Attempts, Decision, SendOutcome};
use serde_json::json;

use super::liveness;
use super::request::RoutedRequest;
use super::shared_state::SharedState;

/// Decides the next step after a send that brought no usable response.
pub async fn next_step(
    shared: &Rc<SharedState>,
    request: &mut RoutedRequest,
    attempts: &mut Attempts,
    outcome: SendOutcome,
) -> Decision {
    attempts.record_outcome(outcome);
    request.record.runs = attempts.runs().len();
    liveness::excuse_runs(shared, request, attempts).await;
    attempts.decide(shared.now(), outcome, || take_retry(shared, request))
}

/// Withdraws one retry from the service's budget; returns false if none is left.
fn take_retry(shared: &SharedState, request: &RoutedRequest) -> bool {
    let (now, service) = (shared.now(), &request.service.name);
    let balance = shared
        .retry_budgets
        .with(service, |window| window.balance(now));
    let taken = shared
        .retry_budgets
        .with(service, |window| window.withdraw(now));
    let result = if taken { "taken" } else { "refused" };
    shared.metrics.retries.with_label_values(&[result]).inc();
    let fields = json!({
        "result": result,
        "service": &**service,
        "earned": balance.earned,
        "spent": balance.spent,
        "left": balance.left,
        "boxes": shared.retry_budgets.boxes(),
        "up_ms": shared.uptime().as_millis() as u64,
    });
    request.record.log_step("retry", fields);
    taken
}
