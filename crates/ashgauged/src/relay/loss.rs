//! Upstreams that are lost while they run a request.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::digest;
use ashgauge::member::UpstreamId;
use ashgauge::quarantine::{Lost, start_key};
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

/// Looks whether the upstream of a run that broke off is lost, and notes it.
///
/// A loss is laid to the request, too, unless it had run well before.
pub async fn look(desk: &Rc<Desk>, a: &Admitted, loss: Loss) {
    // Its entry may be gone after the look.
    let born = desk
        .roster
        .borrow()
        .get(&loss.upstream)
        .and_then(|e| e.upstream.born);
    if !probe::is_lost(desk, &loss.upstream).await {
        return;
    }
    // Leaving lost engines out does not stop a request that ends them: it went on to
    // the next one with each repeat, to 30 of 39 engines.
    if !loss.proven {
        let start = start_key(&loss.upstream, born);
        quarantine::note(
            desk,
            Lost {
                digest: a.digest,
                start,
            },
        );
    }
    let run = desk.now().saturating_sub(loss.began);
    let events = if loss.events == 0 { "none" } else { "some" };
    desk.metrics.losses.with_label_values(&[events]).inc();
    let fields = json!({
        "upstream": &*loss.upstream,
        "digest": digest::text(a.digest),
        "run_ms": run.as_millis() as u64,
        "events": loss.events,
        "proven": loss.proven,
    });
    a.record.step("upstream lost", fields);
}
