//! Detection of upstreams that are lost while they run a request.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::crashing_part::{LostRun, MAX_CRASHING_EVENTS};
use ashgauge::digest::{self, Digest};
use ashgauge::member::UpstreamId;
use ashgauge::quarantine::{InstanceKey, InstanceLoss, instance_key};
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::request::RoutedRequest;
use super::shared_state::SharedState;
use super::{log, probe, quarantine, reach};

/// Delays before an upstream that still accepted connections is checked again. A process
/// that ends closes its sockets one after the other: within milliseconds, but on a busy
/// machine later than 40 ms.
const RECHECK_DELAYS: [Duration; 3] = [
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(160),
];

/// Delay of the record of a loss whose run had written events: several times as long as boxes
/// take to tell each other of the other losses.
const WRITTEN_RUN_DELAY: Duration = Duration::from_millis(50);

/// A run that broke off, possibly because its upstream was lost.
pub struct BrokenRun {
    /// Upstream that the request was sent to.
    pub upstream: UpstreamId,
    /// When the request was sent, or the head of its answer arrived.
    pub began: Duration,
    /// Number of complete events that the run brought.
    pub event_count: u64,
    /// Whether the run has shown that the request does not crash its upstream.
    pub proven_safe: bool,
}

impl BrokenRun {
    /// Creates the record of a run that broke off before the head of an answer arrived.
    pub fn before_answer(upstream: &UpstreamId, began: Duration) -> Self {
        BrokenRun {
            upstream: upstream.clone(),
            began,
            event_count: 0,
            proven_safe: false,
        }
    }
}

/// A run of a request under which upstreams were lost, until it ends or has shown that the
/// request does not crash them.
///
/// Such runs go to separate upstreams if possible. Otherwise requests that were cut off
/// together would be lost together again, and the one that crashes upstreams could not be
/// told from the others.
pub struct SuspectRun {
    shared: Rc<SharedState>,
    upstream: UpstreamId,
}

/// Whether upstreams were lost under a request, or under a part of its prompt that no answer
/// was written on since.
pub fn is_suspect(shared: &SharedState, request: &RoutedRequest) -> bool {
    let quarantine = shared.quarantine.borrow();
    quarantine.has_losses(request.digest) || quarantine.has_suspect_part(&request.parts)
}

impl SuspectRun {
    /// Records that a request goes to an upstream, if others were lost under it.
    pub fn begin(
        shared: &Rc<SharedState>,
        request: &RoutedRequest,
        upstream: &UpstreamId,
    ) -> Option<Self> {
        if !is_suspect(shared, request) {
            return None;
        }
        shared.suspect_runs.borrow_mut().push(upstream.clone());
        Some(SuspectRun {
            shared: shared.clone(),
            upstream: upstream.clone(),
        })
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        let mut suspect_runs = self.shared.suspect_runs.borrow_mut();
        if let Some(index) = suspect_runs.iter().position(|id| *id == self.upstream) {
            suspect_runs.swap_remove(index);
        }
    }
}

/// What is recorded if the upstream is lost.
struct SuspectedLoss {
    /// Id of the attempt.
    id: String,
    digest: Digest,
    parts: Vec<Digest>,
    broken_run: BrokenRun,
    /// Instance whose loss is attributed to the request, if it is.
    instance: Option<InstanceKey>,
    /// Delays other sends of the request during the check.
    _check: Option<LossCheck>,
}

/// A check of an upstream whose loss would be attributed to a request. It ends when this is
/// dropped.
struct LossCheck {
    shared: Rc<SharedState>,
    loss: InstanceLoss,
}

impl LossCheck {
    fn begin(shared: &Rc<SharedState>, loss: InstanceLoss) -> Self {
        shared.quarantine.borrow_mut().begin_check(loss);
        let shared = shared.clone();
        LossCheck { shared, loss }
    }
}

impl Drop for LossCheck {
    fn drop(&mut self) {
        self.shared.quarantine.borrow_mut().end_check(self.loss);
        self.shared.check_notify.notify_waiters();
    }
}

/// Checks whether the upstream of a run that broke off is lost, and records it if so.
/// Returns whether it is lost, or out of reach of this box.
///
/// Such an upstream uses up no attempt. Otherwise requests that were cut off twice, as
/// another request crashed their engines or as the box lost its links to them one after the
/// other, would fail though other engines could continue them.
///
/// An upstream that still accepts connections is checked a few more times while the request
/// continues.
pub async fn check_loss(
    shared: &Rc<SharedState>,
    request: &RoutedRequest,
    broken_run: BrokenRun,
) -> bool {
    let digest = request.digest;
    // The upstream's entry may be gone after the check.
    let instance = blamed_instance(shared, &broken_run);
    let suspected = SuspectedLoss {
        id: request.client_request.id.clone(),
        digest,
        parts: request.parts.clone(),
        broken_run,
        instance,
        _check: instance
            .map(|instance| LossCheck::begin(shared, InstanceLoss { digest, instance })),
    };
    if is_lost(shared, &suspected.broken_run.upstream).await {
        suspected.confirm(shared);
        return true;
    }
    let is_out_of_reach = check_reach(shared, &suspected.broken_run.upstream).await;
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        for delay in RECHECK_DELAYS {
            sleep(delay).await;
            if is_lost(&shared, &suspected.broken_run.upstream).await {
                return suspected.confirm(&shared);
            }
        }
    });
    is_out_of_reach
}

/// Returns whether new connections to an upstream are closed at once. Other requests then go
/// elsewhere for a while, but the request is not blamed: other boxes may reach the upstream.
async fn check_reach(shared: &Rc<SharedState>, id: &UpstreamId) -> bool {
    let is_out_of_reach = probe::closes_connections(shared, id).await;
    if is_out_of_reach && reach::confirm_failure(shared, id).await {
        let now = shared.now();
        shared.registry.borrow_mut().note_unreachable(now, id);
    }
    is_out_of_reach
}

/// Whether an upstream is lost: it accepts no connection of this box, and others do.
async fn is_lost(shared: &Rc<SharedState>, id: &UpstreamId) -> bool {
    probe::is_lost(shared, id).await && reach::confirm_failure(shared, id).await
}

/// Instance of an upstream whose loss is attributed to the request; none if the request had
/// run safely before, or if the upstream was going to end anyway.
fn blamed_instance(shared: &SharedState, broken_run: &BrokenRun) -> Option<InstanceKey> {
    let registry = shared.registry.borrow();
    let state = registry.get(&broken_run.upstream)?;
    let upstream = &state.upstream;
    let is_attributed = !broken_run.proven_safe && !state.is_leaving();
    is_attributed.then(|| instance_key(&upstream.id, upstream.started_ms))
}

impl SuspectedLoss {
    /// Records the loss. That of a run which had written events is recorded a moment later: one
    /// that had not is more likely the cause, and may have been on another box.
    fn record(&self, shared: &Rc<SharedState>, instance: InstanceKey, run_ms: u32) {
        let digest = self.digest;
        let loss = InstanceLoss { digest, instance };
        if self.broken_run.event_count > MAX_CRASHING_EVENTS {
            let shared = shared.clone();
            tokio::task::spawn_local(async move {
                sleep(WRITTEN_RUN_DELAY).await;
                quarantine::record_loss(&shared, loss);
            });
            return;
        }
        if !self.parts.is_empty() {
            let parts = self.parts.clone();
            let run = LostRun {
                digest,
                instance,
                run_ms,
                parts,
            };
            quarantine::record_lost_run(shared, &run);
        }
        quarantine::record_loss(shared, loss);
    }

    /// Records that the upstream is lost. New tries go elsewhere at once, even if other
    /// streams recorded activity of it a moment ago.
    fn confirm(self, shared: &Rc<SharedState>) {
        let now = shared.now();
        shared
            .registry
            .borrow_mut()
            .note_unreachable(now, &self.broken_run.upstream);
        // `note_unreachable` alone does not stop a request that crashes engines: each retry
        // would crash another one. So the loss also counts towards its quarantine.
        let run_time = now.saturating_sub(self.broken_run.began);
        let run_ms = run_time.as_millis() as u32;
        if let Some(instance) = self.instance {
            self.record(shared, instance, run_ms);
        }
        let events = if self.broken_run.event_count == 0 {
            "none"
        } else {
            "some"
        };
        shared.metrics.lost_runs.with_label_values(&[events]).inc();
        let fields = json!({
            "id": self.id,
            "upstream": &*self.broken_run.upstream,
            "digest": digest::format_digest(self.digest),
            "run_ms": run_ms,
            "events": self.broken_run.event_count,
            "counts": self.instance.is_some(),
            "parts": self.parts.iter().map(|p| digest::format_digest(*p)).collect::<Vec<_>>(),
        });
        log::event(Level::Info, "request", "upstream lost", fields);
    }
}
