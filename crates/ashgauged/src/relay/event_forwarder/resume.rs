//! Continuation of a stream on another chain, or through another box.

use std::time::Duration;

use ashgauge::attempts::{Decision, SendOutcome};
use ashgauge::member::UpstreamId;
use serde_json::json;

use super::super::egress;
use super::super::loss::{self, BrokenRun};
use super::super::offers;
use super::super::open::{Run, start_run, start_run_elsewhere};
use super::super::pick::{ChosenChain, PickError, pick_or_wait};
use super::super::recovery;
use super::super::request::note_outcome;
use super::super::retry;
use super::{EventForwarder, ForwardState};

/// Longest wait of a stream that broke for a way to continue, while this box reaches no chain. Its
/// caller can no longer be told to come back later.
const MAX_BROKEN_WAIT: Duration = Duration::from_secs(1);

/// Longest wait for such a way of a stream whose present answer may still continue.
pub(super) const MAX_ALIVE_WAIT: Duration = Duration::from_millis(120);

/// How a stream may continue.
enum Continuation {
    /// On this chain.
    Chain(ChosenChain),
    /// On a run that another box has started.
    Started(Box<Run>),
    /// Perhaps after another try, as the other box did not answer.
    Lost,
}

impl EventForwarder {
    /// Continues the stream on another chain, after the last event that was forwarded.
    ///
    /// If that is not possible and `alive` says that the present answer may still continue,
    /// the stream waits for it.
    pub(super) async fn resume(&mut self, reason: &'static str, alive: bool) -> ForwardState {
        if !alive && self.can_resume() && !self.wait_for_budget().await {
            return ForwardState::Abort("caller left");
        }
        let max_wait = match alive {
            true => MAX_ALIVE_WAIT,
            false => MAX_BROKEN_WAIT,
        };
        match self.try_resume(reason, max_wait).await || alive {
            true => ForwardState::Continue,
            false => ForwardState::Abort("broken"),
        }
    }

    /// Whether another run may continue where this one stands.
    fn can_resume(&self) -> bool {
        self.policy.resumable && (self.last_id.is_some() || !self.has_forwarded)
    }

    /// Continues the stream on another chain as [`EventForwarder::resume`] does. If this box
    /// reaches no chain, waits for at most `max_wait` for a way. Returns whether it could.
    pub(super) async fn try_resume(&mut self, reason: &str, max_wait: Duration) -> bool {
        if !self.can_resume() {
            return false;
        }
        if let Some(helper) = self.run.helper {
            offers::withdraw(&self.shared, &self.request.service.name, helper);
        }
        let until = self.shared.now() + max_wait;
        let mut avoid: Vec<UpstreamId> = self.run.first_engine().into_iter().cloned().collect();
        let mut outcome = SendOutcome::Lost;
        loop {
            let (shared, request) = (&self.shared, &mut self.request);
            let next = retry::next_step(shared, request, &mut self.attempts, outcome).await;
            if next != Decision::Resend {
                return false;
            }
            let chosen = match self.find_continuation(&avoid, until).await {
                Some(Continuation::Chain(chosen)) => chosen,
                Some(Continuation::Started(run)) => {
                    self.adopt_run(reason, *run);
                    return true;
                }
                Some(Continuation::Lost) => continue,
                None => return false,
            };
            let (shared, request) = (&self.shared, &mut self.request);
            let began = shared.now();
            match start_run(
                shared,
                request,
                &mut self.attempts,
                &mut avoid,
                self.last_id,
                chosen,
            )
            .await
            {
                Ok(run) => {
                    self.adopt_run(reason, run);
                    return true;
                }
                Err(failed) => {
                    note_outcome(
                        &self.shared,
                        &self.request,
                        &failed.upstream,
                        failed.outcome,
                    )
                    .await;
                    outcome = failed.outcome;
                    if outcome.is_lost() {
                        let broken_run = BrokenRun::before_answer(&failed.upstream, began);
                        loss::check_loss(&self.shared, &self.request, broken_run).await;
                    }
                    recovery::wait_for_budget(&self.shared, &self.request).await;
                }
            }
        }
    }

    /// Finds a chain, or another box that continues the stream. Where upstreams do not accept
    /// this box's connections and no other box helps, waits until `until`.
    async fn find_continuation(
        &mut self,
        avoid: &[UpstreamId],
        until: Duration,
    ) -> Option<Continuation> {
        loop {
            let (shared, request) = (&self.shared, &mut self.request);
            if !egress::is_needed(shared, request) {
                let attempts = &self.attempts;
                match pick_or_wait(shared, request, attempts, avoid, self.last_id).await {
                    Ok(chosen) => return Some(Continuation::Chain(chosen)),
                    Err(PickError::NoChain) if egress::is_promising(shared, request) => {}
                    Err(_) => return None,
                }
            }
            let attempts = &mut self.attempts;
            match start_run_elsewhere(shared, request, attempts, self.last_id).await {
                Ok(run) => return Some(Continuation::Started(Box::new(run))),
                Err(egress::Failure::Lost) => return Some(Continuation::Lost),
                Err(egress::Failure::Refused(_) | egress::Failure::Failed(_)) => return None,
                Err(egress::Failure::Reached) => {}
                Err(egress::Failure::NoOffer) if shared.now() < until => {
                    offers::wait_change(shared).await;
                }
                Err(egress::Failure::NoOffer) => return None,
            }
        }
    }

    /// Replaces the broken run by the one that continues the stream.
    fn adopt_run(&mut self, reason: &str, run: Run) {
        let resumed = self.shared.metrics.repairs.with_label_values(&["resumed"]);
        resumed.inc();
        let fields = json!({
            "why": reason,
            "last": self.last_id,
            "first": run.first_addr,
            "silent_ms": self.silent_ms(),
        });
        self.request.record.log_step("resumed", fields);
        self.written += self.run.writing_time(self.event_at);
        let proven_safe = self.run.proven_safe;
        self.run = Run { proven_safe, ..run };
        self.buffer.clear();
        self.restart_silence();
    }

    /// Milliseconds since something arrived, or since the last repair.
    pub(super) fn silent_ms(&self) -> u64 {
        (self.shared.now() - self.silence.last_event()).as_millis() as u64
    }

    /// Measures the stream's silence from now on.
    pub(super) fn restart_silence(&mut self) {
        self.broke_at.get_or_insert(self.silence.last_event());
        self.silence.reset(self.shared.now());
    }
}
