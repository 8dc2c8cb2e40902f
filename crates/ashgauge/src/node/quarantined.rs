//! Requests that end the engines that run them.
//!
//! A box holds back by what it saw itself and what other boxes tell in their
//! heartbeats.

use super::*;
use crate::digest;
use crate::quarantine::{Audience, InstanceLoss, Report, instance_key, is_safe_run};

impl Node {
    /// For how much longer a request of a team is held back, if it is.
    pub(super) fn quarantine_left(&self, team: &Team, work: &Work) -> Option<Duration> {
        let digest = work_digest(team, work);
        self.quarantine.time_left(self.now, digest)
    }

    /// Lays the loss of the current stage's engine to the request, unless that had run
    /// well on it; returns whether the request is held back from now on.
    pub(super) fn record_loss(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let Phase::Running(flow) = &mut request.phase else {
            return false;
        };
        if flow.active().positions_done > 0 && is_safe_run(flow.placed_at, self.now) {
            return false;
        }
        let start = instance_key(&flow.active().stage.upstream, None);
        let digest = work_digest(&request.team, &request.incoming.work);
        let holds = self.quarantine.record_loss(
            self.now,
            InstanceLoss {
                digest,
                instance: start,
            },
        );
        self.expedite_heartbeat();
        holds
    }

    /// Ends a request that is held back from now on.
    pub(super) fn refuse_quarantined(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let left = self.quarantine_left(&request.team, &request.incoming.work);
        self.record(Some(id), RecordKind::HeldBack);
        self.refuse(id, RefusalKind::Held, "engines were lost under it", left);
    }

    /// Forgets losses under a request that ran to its end.
    pub(super) fn clear_losses(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            let digest = work_digest(&request.team, &request.incoming.work);
            self.quarantine.clear_losses(digest);
        }
    }

    /// What the other boxes are to know, in turns if it is much.
    pub(super) fn loss_report(&self) -> Report {
        self.quarantine
            .report(self.now, self.stats.arrived, Audience::All)
    }

    pub(super) fn merge_losses(&mut self, report: &Report) {
        let news = self.quarantine.merge(self.now, report);
        if !news.is_empty() {
            self.expedite_heartbeat();
        }
    }
}

/// The digest of a request's work; a team's keys count as one caller.
fn work_digest(team: &Team, work: &Work) -> digest::Digest {
    match work {
        Work::Generate { model, prompt, .. } => {
            let bytes: Vec<u8> = prompt.iter().flat_map(|v| v.to_le_bytes()).collect();
            digest::request_digest(model, &team.id, &bytes)
        }
        Work::Call { path, body, .. } => digest::request_digest(path, &team.id, body),
    }
}
