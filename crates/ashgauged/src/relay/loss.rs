//! Upstreams that are lost while they run a request.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::digest::{self, Digest};
use ashgauge::member::UpstreamId;
use ashgauge::quarantine::{InstanceKey, InstanceLoss, instance_key};
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::desk::Desk;
use super::request::Admitted;
use super::{log, probe, quarantine};

/// Pauses before an upstream that was still there is looked at once more. A process that
/// ends closes its sockets one after the other: within milliseconds, but on a busy machine
/// later than 40 ms.
const AGAIN_AFTER: [Duration; 3] = [
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(160),
];

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

/// A run of a request under which upstreams were lost, until it ends or has shown that
/// the request does not end them.
///
/// Such runs go to upstreams of their own where that can be: those that were cut off
/// together would else be lost together again, and look alike.
pub struct Trial {
    desk: Rc<Desk>,
    upstream: UpstreamId,
}

impl Trial {
    /// Notes that a request goes to an upstream, if others were lost under it.
    pub fn begin(desk: &Rc<Desk>, digest: Digest, upstream: &UpstreamId) -> Option<Self> {
        if !desk.quarantine.borrow().is_suspect(digest) {
            return None;
        }
        desk.trials.borrow_mut().push(upstream.clone());
        Some(Trial {
            desk: desk.clone(),
            upstream: upstream.clone(),
        })
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let mut trials = self.desk.trials.borrow_mut();
        if let Some(at) = trials.iter().position(|id| *id == self.upstream) {
            trials.swap_remove(at);
        }
    }
}

/// What is to be noted if the upstream is lost.
struct Suspicion {
    /// Id of the try.
    id: String,
    digest: Digest,
    loss: Loss,
    /// The start that is laid to the request, if it is.
    start: Option<InstanceKey>,
    /// Holds other sends of the request up while it is looked into.
    _check: Option<Check>,
}

/// A check of an upstream that is laid to a request, until it is dropped.
struct Check {
    desk: Rc<Desk>,
    lost: InstanceLoss,
}

impl Check {
    fn begin(desk: &Rc<Desk>, lost: InstanceLoss) -> Self {
        desk.quarantine.borrow_mut().begin_check(lost);
        let desk = desk.clone();
        Check { desk, lost }
    }
}

impl Drop for Check {
    fn drop(&mut self) {
        self.desk.quarantine.borrow_mut().end_check(self.lost);
        self.desk.checked.notify_waiters();
    }
}

/// Looks whether the upstream of a run that broke off is lost, and notes it; returns
/// whether it is. A lost upstream takes no attempt away: those that a request cut off
/// twice by ending their engines would break though others could go on with them.
///
/// One that is still there is looked at some more times, while the request goes on.
pub async fn look(desk: &Rc<Desk>, a: &Admitted, loss: Loss) -> bool {
    let digest = a.digest;
    // Its entry may be gone after the look.
    let start = blamed(desk, &loss);
    let suspicion = Suspicion {
        id: a.ask.id.clone(),
        digest,
        loss,
        start,
        _check: start.map(|start| {
            Check::begin(
                desk,
                InstanceLoss {
                    digest,
                    instance: start,
                },
            )
        }),
    };
    if probe::is_lost(desk, &suspicion.loss.upstream).await {
        suspicion.confirm(desk);
        return true;
    }
    let desk = desk.clone();
    tokio::task::spawn_local(async move {
        for pause in AGAIN_AFTER {
            sleep(pause).await;
            if probe::is_lost(&desk, &suspicion.loss.upstream).await {
                return suspicion.confirm(&desk);
            }
        }
    });
    false
}

/// The start of an upstream whose loss is laid to the request: unless the request had
/// run well before, or the upstream was to end anyway.
fn blamed(desk: &Desk, loss: &Loss) -> Option<InstanceKey> {
    let roster = desk.roster.borrow();
    let entry = roster.get(&loss.upstream)?;
    let upstream = &entry.upstream;
    let counts = !loss.proven && !entry.is_leaving();
    counts.then(|| instance_key(&upstream.id, upstream.started_ms))
}

impl Suspicion {
    /// Notes that the upstream is lost. New tries go elsewhere at once, also if other
    /// streams heard it a moment ago.
    fn confirm(self, desk: &Rc<Desk>) {
        let now = desk.now();
        desk.roster
            .borrow_mut()
            .note_unreachable(now, &self.loss.upstream);
        // Leaving lost engines out does not stop a request that ends them: it goes on
        // to the next one with each repeat.
        if let Some(start) = self.start {
            let digest = self.digest;
            quarantine::note(
                desk,
                InstanceLoss {
                    digest,
                    instance: start,
                },
            );
        }
        let run = desk.now().saturating_sub(self.loss.began);
        let events = if self.loss.events == 0 {
            "none"
        } else {
            "some"
        };
        desk.metrics.losses.with_label_values(&[events]).inc();
        let fields = json!({
            "id": self.id,
            "upstream": &*self.loss.upstream,
            "digest": digest::format_digest(self.digest),
            "run_ms": run.as_millis() as u64,
            "events": self.loss.events,
            "counts": self.start.is_some(),
        });
        log::line(Level::Info, "request", "upstream lost", fields);
    }
}
