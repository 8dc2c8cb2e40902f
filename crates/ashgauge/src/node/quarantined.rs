//! Quarantine of requests that crash the engines that run them.
//!
//! A box quarantines a request for the losses that it saw itself and those that other
//! boxes report in their heartbeats.

use super::*;
use crate::digest;
use crate::quarantine::{Audience, InstanceLoss, LossReport, instance_key, is_safe_run};

impl Node {
    /// Returns how much longer a team's request stays in quarantine, if it is in
    /// quarantine.
    pub(super) fn quarantine_left(&self, team: &Team, work: &Work) -> Option<Duration> {
        let digest = work_digest(team, work);
        self.quarantine.time_left(self.now, digest)
    }

    /// Records the loss of the current stage's engine against the request, and returns
    /// whether the request is in quarantine from now on.
    ///
    /// The loss does not count if the stage had returned results and the request had run
    /// on its engines for long enough to be safe.
    pub(super) fn record_loss(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let Phase::Running(pipeline) = &mut request.phase else {
            return false;
        };
        if pipeline.active().positions_done > 0 && is_safe_run(pipeline.chosen_at, self.now) {
            return false;
        }
        let instance = instance_key(&pipeline.active().stage.upstream, None);
        let digest = work_digest(&request.team, &request.incoming.work);
        let quarantined = self
            .quarantine
            .record_loss(self.now, InstanceLoss { digest, instance });
        self.expedite_heartbeat();
        quarantined
    }

    /// Refuses a request that is in quarantine from now on.
    pub(super) fn refuse_quarantined(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let left = self.quarantine_left(&request.team, &request.incoming.work);
        self.record(Some(id), RecordKind::HeldBack);
        self.refuse(id, RefusalKind::Held, "engines were lost under it", left);
    }

    /// Removes the losses recorded against a request that ran to its end.
    pub(super) fn clear_losses(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            let digest = work_digest(&request.team, &request.incoming.work);
            self.quarantine.clear_losses(digest);
        }
    }

    /// Returns the report of losses and quarantined requests for the other boxes. If
    /// there are too many for one report, successive reports take turns.
    pub(super) fn loss_report(&self) -> LossReport {
        self.quarantine
            .report(self.now, self.stats.arrived, Audience::All)
    }

    pub(super) fn merge_losses(&mut self, report: &LossReport) {
        let news = self.quarantine.merge(self.now, report);
        if !news.is_empty() {
            self.expedite_heartbeat();
        }
    }
}

/// Returns the digest of a request's content and team. All API keys of a team count as
/// one caller.
fn work_digest(team: &Team, work: &Work) -> digest::Digest {
    match work {
        Work::Generate { model, prompt, .. } => {
            let bytes: Vec<u8> = prompt.iter().flat_map(|v| v.to_le_bytes()).collect();
            digest::request_digest(model, &team.id, &bytes)
        }
        Work::Call { path, body, .. } => digest::request_digest(path, &team.id, body),
    }
}
