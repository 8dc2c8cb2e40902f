//! Upstreams that are lost while they run a request.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::digest;
use ashgauge::member::UpstreamId;
use ashgauge::quarantine::{Lost, StartKey, start_key};
use serde_json::json;

use super::desk::Desk;
use super::request::Admitted;
use super::{probe, quarantine};

/// A run that broke off, as its upstream may have been lost.
pub struct Loss {
    /// The upstream that the request was sent to.
    pub upstream: UpstreamId,
    /// When the request was sent, or the head of its answer came.
    pub began: Duration,
    /// Whole events that the run brought.
    pub events: u64,
    /// Whether it has shown that the request does not end its upstream.
    pub proven: bool,
}

impl Loss {
    /// A run that broke off before the head of an answer came.
    pub fn before_answer(upstream: &UpstreamId, began: Duration) -> Self {
        Loss {
            upstream: upstream.clone(),
            began,
            events: 0,
            proven: false,
        }
    }
}

/// Looks whether the upstream of a run that broke off is lost, and notes it; returns
/// whether it is.
pub async fn look(desk: &Rc<Desk>, a: &Admitted, loss: Loss) -> bool {
    // Its entry may be gone after the look.
    let start = blamed(desk, &loss);
    if !probe::is_lost(desk, &loss.upstream).await {
        return false;
    }
    // Leaving lost engines out does not stop a request that ends them: it went on to
    // the next one with each repeat, to 30 of 39 engines.
    if let Some(start) = start {
        let digest = a.digest;
        quarantine::note(desk, Lost { digest, start });
    }
    log_loss(desk, a, &loss, start.is_some());
    true
}

/// The start of an upstream whose loss is laid to the request: unless the request had
/// run well before, or the upstream was to end anyway.
fn blamed(desk: &Desk, loss: &Loss) -> Option<StartKey> {
    let roster = desk.roster.borrow();
    let entry = roster.get(&loss.upstream)?;
    let upstream = &entry.upstream;
    let counts = !loss.proven && !upstream.leaving;
    counts.then(|| start_key(&upstream.id, upstream.born))
}

fn log_loss(desk: &Desk, a: &Admitted, loss: &Loss, counts: bool) {
    let run = desk.now().saturating_sub(loss.began);
    let events = if loss.events == 0 { "none" } else { "some" };
    desk.metrics.losses.with_label_values(&[events]).inc();
    let fields = json!({
        "upstream": &*loss.upstream,
        "digest": digest::text(a.digest),
        "run_ms": run.as_millis() as u64,
        "events": loss.events,
        "counts": counts,
    });
    a.record.step("upstream lost", fields);
}
