//! Upstreams that are lost while they run a request.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::digest;
use ashgauge::member::UpstreamId;
use serde_json::json;

use super::desk::Desk;
use super::probe;
use super::request::Admitted;

/// A run that broke off, as its upstream may have been lost.
pub struct Loss {
    /// The upstream that the request was sent to.
    pub upstream: UpstreamId,
    /// When the request was sent, or the head of its answer came.
    pub began: Duration,
    /// Whole events that the run brought.
    pub events: u64,
}

impl Loss {
    /// A run that broke off before the head of an answer came.
    pub fn before_answer(upstream: &UpstreamId, began: Duration) -> Self {
        Loss {
            upstream: upstream.clone(),
            began,
            events: 0,
        }
    }
}

/// Looks whether the upstream of a run that broke off is lost, and notes it.
pub async fn look(desk: &Rc<Desk>, a: &Admitted, loss: Loss) {
    if !probe::is_lost(desk, &loss.upstream).await {
        return;
    }
    let run = desk.now().saturating_sub(loss.began);
    let events = if loss.events == 0 { "none" } else { "some" };
    desk.metrics.losses.with_label_values(&[events]).inc();
    let fields = json!({
        "upstream": &*loss.upstream,
        "digest": digest::text(a.digest),
        "run_ms": run.as_millis() as u64,
        "events": loss.events,
    });
    a.record.step("upstream lost", fields);
}
