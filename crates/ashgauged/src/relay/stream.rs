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
use super::egress::{self, EgressEnd, egress_failure};
use super::event_forwarder;
use super::loss::{self, BrokenRun};
use super::open::{response_head, start_run, start_run_elsewhere};
use super::pick::{PickError, pick_or_wait, pick_with_permit};
use super::recovery;
use super::request::{
    RoutedRequest, finish, note_outcome, refuse_no_capacity, refuse_overload, refuse_quarantined,
    upstream_response,
};
use super::retry;
use super::serve::Body;
use super::shared_state::SharedState;
use super::shedding;

/// Handles a request whose answer is a stream.
pub async fn handle_stream(
    shared: Rc<SharedState>,
    mut request: RoutedRequest,
    mut attempts: Attempts,
    policy: StreamPolicy,
) -> Response<Body> {
    // The other box decides whether there is capacity.
    if !egress::is_needed(&shared, &request) {
        request.admission = match shedding::admit(&shared, &mut request) {
            Ok(admission) => admission,
            Err(retry_after) => return refuse_overload(request, retry_after),
        };
    }
    let mut avoid = Vec::new();
    let mut capacity_wait = CapacityWait::new(&shared, &request);
    let mut leaves_box = false;
    let run = loop {
        if leaves_box || egress::is_needed(&shared, &request) {
            let last_event = request.client_request.last_event;
            let started = start_run_elsewhere(&shared, &mut request, &mut attempts, last_event);
            let failure = match started.await {
                Ok(run) => break run,
                Err(failure) => failure,
            };
            match egress_failure(&shared, &mut request, &mut attempts, failure).await {
                EgressEnd::Resend => continue,
                EgressEnd::Forward(response) => {
                    request.record.end("not served through another box");
                    return upstream_response(response);
                }
                EgressEnd::Fail(end) => return finish(&shared, request, end),
            }
        }
        // A request that may have run cannot be refused as not run, so it continues at
        // once.
        let may_have_run = attempts.may_have_run();
        if !may_have_run && !capacity_wait.wait(&request).await {
            return refuse_no_capacity(&shared, request);
        }
        let last_event = request.client_request.last_event;
        let chosen = match may_have_run {
            true => pick_or_wait(&shared, &request, &attempts, &avoid, last_event).await,
            false => {
                pick_with_permit(&shared, &request, &attempts, &avoid, false, last_event).await
            }
        };
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(PickError::AtLimit(_)) if may_have_run => {
                let end = attempts.failure(shared.now());
                return finish(&shared, request, end);
            }
            Err(PickError::AtLimit(wait)) if !capacity_wait.fits_deadline(wait) => {
                return refuse_no_capacity(&shared, request);
            }
            Err(PickError::NoCapacity | PickError::AtLimit(_)) => {
                capacity_wait.enqueue_for_capacity(&request);
                continue;
            }
            Err(PickError::Quarantined) => {
                return refuse_quarantined(&shared, request, may_have_run);
            }
            Err(PickError::NoChain) if egress::is_promising(&shared, &request) => {
                leaves_box = true;
                continue;
            }
            Err(PickError::NoChain | PickError::Denied) => {
                request
                    .record
                    .log_step("no chain", json!({"avoided": avoid.len()}));
                let end = attempts.failure(shared.now());
                return finish(&shared, request, end);
            }
        };
        capacity_wait.note_admitted();
        let began = shared.now();
        let failed = match start_run(
            &shared,
            &mut request,
            &mut attempts,
            &mut avoid,
            None,
            chosen,
        )
        .await
        {
            Ok(run) => break run,
            Err(failed) => failed,
        };
        note_outcome(&shared, &request, &failed.upstream, failed.outcome).await;
        if failed.outcome == SendOutcome::NotSent && egress::is_needed(&shared, &request) {
            attempts.retract_send();
            continue;
        }
        if failed.outcome.is_lost() {
            let broken_run = BrokenRun::before_answer(&failed.upstream, began);
            loss::check_loss(&shared, &request, broken_run).await;
        }
        let is_refused = !may_have_run && failed.outcome == SendOutcome::NotRun;
        if is_refused && !recovery::may_resend(&shared, &request, &attempts, &avoid) {
            let retry_after = shedding::retry_after(&shared, &request);
            return refuse_overload(request, retry_after);
        }
        let next = retry::next_step(&shared, &mut request, &mut attempts, failed.outcome).await;
        match (next, failed.error_response) {
            (Decision::Resend, _) if is_refused => {}
            (Decision::Resend, _) => recovery::wait_for_budget(&shared, &request).await,
            (Decision::Forward, Some(error_response)) => {
                request.record.end("failed upstream");
                return upstream_response(error_response);
            }
            (Decision::Fail(FailureKind::NotRun), _)
                if failed.outcome == SendOutcome::NotSent
                    && egress::is_promising(&shared, &request) =>
            {
                leaves_box = true;
            }
            (Decision::Fail(end), _) => return finish(&shared, request, end),
            (Decision::Forward, None) => return finish(&shared, request, FailureKind::Unknown),
        }
    };
    if let Some(admission) = &request.admission {
        admission.note_started();
    }
    shared
        .metrics
        .first_seconds
        .observe(request.record.elapsed().as_secs_f64());
    let mut head = Response::new(());
    let parts = response_head(&run.response);
    *head.status_mut() = parts.status;
    *head.headers_mut() = engine::answer_headers(&parts);
    let body = event_forwarder::start(shared, request, attempts, policy, run);
    head.map(|()| body.boxed_unsync())
}
