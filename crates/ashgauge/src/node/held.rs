//! Requests that end the engines that run them.
//!
//! A box holds back by what it saw itself and what other boxes tell in their
//! heartbeats.

use super::*;
use crate::digest;
use crate::quarantine::{Audience, Lost, Report, is_proven, start_key};

impl Node {
    /// For how much longer a request of a team is held back, if it is.
    pub(super) fn held_back(&self, team: &Team, work: &Work) -> Option<Duration> {
        let digest = digest_of(team, work);
        self.quarantine.time_left(self.now, digest)
    }

    /// Lays the loss of the current stage's engine to the request, unless that had run
    /// well on it; returns whether the request is held back from now on.
    pub(super) fn blame(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let Phase::Running(flow) = &mut request.phase else {
            return false;
        };
        if flow.live().ran > 0 && is_proven(flow.placed, self.now) {
            return false;
        }
        let start = start_key(&flow.live().stage.upstream, None);
        let digest = digest_of(&request.team, &request.order.work);
        let holds = self.quarantine.note(self.now, Lost { digest, start });
        self.tell_news();
        holds
    }

    /// Ends a request that is held back from now on.
    pub(super) fn hold_back(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let left = self.held_back(&request.team, &request.order.work);
        self.note(Some(id), What::HeldBack);
        self.refuse(id, Kind::Held, "engines were lost under it", left);
    }

    /// Forgets losses under a request that ran to its end.
    pub(super) fn absolve(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            let digest = digest_of(&request.team, &request.order.work);
            self.quarantine.clear(digest);
        }
    }

    /// What the other boxes are to know, in turns if it is much.
    pub(super) fn losses(&self) -> Report {
        self.quarantine
            .report(self.now, self.stats.arrived, Audience::All)
    }

    pub(super) fn hear_losses(&mut self, report: &Report) {
        let news = self.quarantine.hear(self.now, report);
        if !news.is_empty() {
            self.tell_news();
        }
    }
}

/// The digest of a request's work; a team's keys count as one caller.
fn digest_of(team: &Team, work: &Work) -> digest::Digest {
    match work {
        Work::Generate { model, prompt, .. } => {
            let bytes: Vec<u8> = prompt.iter().flat_map(|v| v.to_le_bytes()).collect();
            digest::of(model, &team.id, &bytes)
        }
        Work::Call { path, body, .. } => digest::of(path, &team.id, body),
    }
}
