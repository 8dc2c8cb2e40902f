//! Answers that are streams of events. Events are forwarded as they arrive, and the stream
//! is repaired if an engine of its chain is lost.

use std::rc::Rc;

use ashgauge::attempts::{Attempts, Decision, FailureKind, SendOutcome};
use ashgauge::routing::StreamPolicy;
use http_body_util::BodyExt;
use hyper::Response;
use platform::engine;
use serde_json::json;

use super::capacity_wait::CapacityWait;
use super::event_forwarder;
use super::loss::{self, BrokenRun};
use super::open::{response_head, start_run};
use super::pick::{PickError, pick_or_wait, pick_with_permit};
use super::recovery;
use super::request::{
    AdmittedRequest, finish, note_outcome, refuse_no_capacity, refuse_overload, refuse_quarantined,
    upstream_response,
};
use super::retry;
use super::serve::Body;
use super::shared_state::SharedState;
use super::shedding;

/// Handles a request whose answer is a stream.
pub async fn handle_stream(
    shared: Rc<SharedState>,
    mut a: AdmittedRequest,
    mut handoff: Attempts,
    rule: StreamPolicy,
) -> Response<Body> {
    a.admission = match shedding::admit(&shared, &mut a) {
        Ok(admission) => admission,
        Err(after) => return refuse_overload(a, after),
    };
    let mut avoid = Vec::new();
    let mut turn = CapacityWait::new(&shared, &a);
    let run = loop {
        // A request that may have run cannot be refused as not run, so it continues at
        // once.
        let may_have_run = handoff.may_have_run();
        if !may_have_run && !turn.wait(&a).await {
            return refuse_no_capacity(&shared, a);
        }
        let last = a.client_request.last_event;
        let chosen = match may_have_run {
            true => pick_or_wait(&shared, &a, &handoff, &avoid, last).await,
            false => pick_with_permit(&shared, &a, &handoff, &avoid, false, last).await,
        };
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(PickError::AtLimit(_)) if may_have_run => {
                let end = handoff.failure(shared.now());
                return finish(&shared, a, end);
            }
            Err(PickError::AtLimit(wait)) if !turn.fits_deadline(wait) => {
                return refuse_no_capacity(&shared, a);
            }
            Err(PickError::NoCapacity | PickError::AtLimit(_)) => {
                turn.wait_for_capacity(&a);
                continue;
            }
            Err(PickError::Quarantined) => return refuse_quarantined(&shared, a, may_have_run),
            Err(PickError::NoChain | PickError::Denied) => {
                a.record
                    .log_step("no chain", json!({"avoided": avoid.len()}));
                let end = handoff.failure(shared.now());
                return finish(&shared, a, end);
            }
        };
        turn.note_admitted();
        let began = shared.now();
        let failed = match start_run(&shared, &mut a, &mut handoff, &mut avoid, None, chosen).await
        {
            Ok(run) => break run,
            Err(failed) => failed,
        };
        note_outcome(&shared, &a, &failed.upstream, failed.outcome);
        if failed.outcome == SendOutcome::Lost {
            let loss = BrokenRun::before_answer(&failed.upstream, began);
            if loss::check_loss(&shared, &a, loss).await {
                handoff.record_lost();
            }
        }
        let is_refused = !may_have_run && failed.outcome == SendOutcome::NotRun;
        if is_refused && !recovery::may_resend(&shared, &a, &handoff, &avoid) {
            let after = shedding::retry_after(&shared, &a);
            return refuse_overload(a, after);
        }
        let next = retry::next_step(&shared, &a, &mut handoff, failed.outcome);
        match (next, failed.answer) {
            (Decision::Resend, _) if is_refused => {}
            (Decision::Resend, _) => recovery::wait_for_budget(&shared, &a).await,
            (Decision::Forward, Some(answer)) => {
                a.record.end("failed upstream");
                return upstream_response(answer);
            }
            (Decision::Fail(end), _) => return finish(&shared, a, end),
            (Decision::Forward, None) => return finish(&shared, a, FailureKind::Unknown),
        }
    };
    if let Some(admission) = &a.admission {
        admission.note_started();
    }
    shared
        .metrics
        .first_seconds
        .observe(a.record.elapsed().as_secs_f64());
    let mut head = Response::new(());
    let parts = response_head(&run.exchange);
    *head.status_mut() = parts.status;
    *head.headers_mut() = engine::answer_headers(&parts);
    let body = event_forwarder::start(shared, a, handoff, rule, run);
    head.map(|()| body.boxed_unsync())
}
