//! Answers that are streams of events: passed on as they come, and repaired
//! when an engine of their chain is lost.

use std::rc::Rc;

use ashgauge::handoff::{End, Handoff, Next};
use ashgauge::routing::StreamRule;
use http_body_util::BodyExt;
use hyper::Response;
use platform::engine;

use super::desk::Desk;
use super::forward::{Admitted, finish, note_outcome, whole};
use super::open::{NotBegun, begin, head_of};
use super::pump;
use super::serve::Body;

/// Answers a request whose answer is a stream.
pub async fn answer(
    desk: Rc<Desk>,
    mut a: Admitted,
    mut handoff: Handoff,
    rule: StreamRule,
) -> Response<Body> {
    let mut avoid = Vec::new();
    let run = loop {
        match begin(&desk, &mut a, &mut handoff, &mut avoid, None).await {
            Ok(run) => break run,
            Err(NotBegun::NoChain | NotBegun::Denied) => {
                let end = handoff.end(desk.now());
                return finish(&desk, a, end);
            }
            Err(NotBegun::Failed(outcome, id, failure)) => {
                note_outcome(&desk, &a, &id, outcome);
                let now = desk.now();
                let next = desk.budget(&a.service.name, |b| handoff.after(now, outcome, b));
                match (next, failure) {
                    (Next::Again, _) => {}
                    (Next::PassOn, Some(failure)) => {
                        a.record.end("failed upstream");
                        return whole(failure);
                    }
                    (Next::End(end), _) => return finish(&desk, a, end),
                    (Next::PassOn, None) => return finish(&desk, a, End::Unknown),
                }
            }
        }
    };
    desk.metrics.first.observe(a.record.took().as_secs_f64());
    let mut head = Response::new(());
    let parts = head_of(&run.exchange);
    *head.status_mut() = parts.status;
    *head.headers_mut() = engine::answer_headers(&parts);
    let body = pump::start(desk, a, handoff, rule, run);
    head.map(|()| body.boxed_unsync())
}
