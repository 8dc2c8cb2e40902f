//! Answers that are streams of events: passed on as they come, and repaired
//! when an engine of their chain is lost.

use std::rc::Rc;

use ashgauge::handoff::{Attempts, Decision, FailureKind, SendOutcome};
use ashgauge::routing::StreamPolicy;
use http_body_util::BodyExt;
use hyper::Response;
use platform::engine;
use serde_json::json;

use super::desk::Desk;
use super::gate;
use super::loss::{self, Loss};
use super::open::{begin, head_of};
use super::pick::{NoWay, pick_late, pick_open};
use super::pump;
use super::recovery;
use super::request::{Admitted, finish, held_back, no_room, note_outcome, shed, whole};
use super::retry;
use super::serve::Body;
use super::turn::Turn;

/// Answers a request whose answer is a stream.
pub async fn answer(
    desk: Rc<Desk>,
    mut a: Admitted,
    mut handoff: Attempts,
    rule: StreamPolicy,
) -> Response<Body> {
    a.admission = match gate::admit(&desk, &mut a) {
        Ok(admission) => admission,
        Err(after) => return shed(a, after),
    };
    let mut avoid = Vec::new();
    let mut turn = Turn::new(&desk, &a);
    let run = loop {
        // One that may have run cannot be refused as not run; it goes on at once.
        let may_have_run = handoff.may_have_run();
        if !may_have_run && !turn.wait(&a).await {
            return no_room(&desk, a);
        }
        let last = a.ask.last_event;
        let chosen = match may_have_run {
            true => pick_late(&desk, &a, &handoff, &avoid, last).await,
            false => pick_open(&desk, &a, &handoff, &avoid, false, last).await,
        };
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(NoWay::Closed(_)) if may_have_run => {
                let end = handoff.failure(desk.now());
                return finish(&desk, a, end);
            }
            Err(NoWay::Closed(wait)) if !turn.has_time(wait) => return no_room(&desk, a),
            Err(NoWay::Crowded | NoWay::Closed(_)) => {
                turn.join(&a);
                continue;
            }
            Err(NoWay::Held) => return held_back(&desk, a, may_have_run),
            Err(NoWay::NoChain | NoWay::Denied) => {
                a.record.step("no chain", json!({"avoided": avoid.len()}));
                let end = handoff.failure(desk.now());
                return finish(&desk, a, end);
            }
        };
        turn.let_in();
        let began = desk.now();
        let failed = match begin(&desk, &mut a, &mut handoff, &mut avoid, None, chosen).await {
            Ok(run) => break run,
            Err(failed) => failed,
        };
        note_outcome(&desk, &a, &failed.upstream, failed.outcome);
        if failed.outcome == SendOutcome::Lost {
            let loss = Loss::before_answer(&failed.upstream, began);
            if loss::look(&desk, &a, loss).await {
                handoff.record_lost();
            }
        }
        let is_refused = !may_have_run && failed.outcome == SendOutcome::NotRun;
        if is_refused && !recovery::may_resend(&desk, &a, &handoff, &avoid) {
            let after = gate::back_after(&desk, &a);
            return shed(a, after);
        }
        let next = retry::next(&desk, &a, &mut handoff, failed.outcome);
        match (next, failed.answer) {
            (Decision::Resend, _) if is_refused => {}
            (Decision::Resend, _) => recovery::wait_turn(&desk, &a).await,
            (Decision::Forward, Some(answer)) => {
                a.record.end("failed upstream");
                return whole(answer);
            }
            (Decision::Fail(end), _) => return finish(&desk, a, end),
            (Decision::Forward, None) => return finish(&desk, a, FailureKind::Unknown),
        }
    };
    if let Some(admission) = &a.admission {
        admission.begin();
    }
    desk.metrics.first.observe(a.record.took().as_secs_f64());
    let mut head = Response::new(());
    let parts = head_of(&run.exchange);
    *head.status_mut() = parts.status;
    *head.headers_mut() = engine::answer_headers(&parts);
    let body = pump::start(desk, a, handoff, rule, run);
    head.map(|()| body.boxed_unsync())
}
