//! Recovery from lost stages: detection, replacement and restart.

use std::time::Duration;

use super::pipeline::{AbandonedStage, upstream_addr};
use super::*;
use crate::chain::Layer;

/// Maximum number of stage replacements for one request.
const MAX_REPLACEMENTS: u32 = 16;

/// A silent stage counts as lost after this multiple of the time that its runs seldom
/// exceed.
const SILENCE_FACTOR: u32 = 2;

/// While an upstream has no statistics, a silent stage counts as lost after this multiple
/// of [`Config::stage_timeout`].
const INITIAL_SILENCE_FACTOR: u32 = 6;

/// `retry_after` of refusals when a lost stage cannot be replaced.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Node {
    pub(super) fn on_stage_failed(
        &mut self,
        id: RequestId,
        session: SessionId,
        start: u32,
        fault: UpstreamError,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Running(flow) = &mut request.phase else {
            return;
        };
        let live = flow.active();
        if live.session != session || live.positions_done != start || live.sent_at.is_none() {
            return;
        }
        let upstream = live.stage.upstream.clone();
        match fault {
            // The engine keeps the last output of a session, so sending the same run
            // again computes nothing twice if the first one arrived.
            UpstreamError::Lost(_) if live.resends == 0 => {
                live.resends = 1;
                let position = live.positions_done;
                self.record(Some(id), RecordKind::Resumed { upstream, position });
                self.send_run(id);
            }
            UpstreamError::Lost(cause) => self.lose_stage(id, &cause, true),
            // The connection broke and no new one can be opened: the engine is lost. Only
            // replacing it would send a request that crashes engines on to the next one.
            UpstreamError::NotSent(_) if live.resends == 1 && self.record_loss(id) => {
                self.refuse_quarantined(id)
            }
            UpstreamError::NotSent(cause) => {
                self.reset_ran(id);
                self.lose_stage(id, &cause, true);
            }
            UpstreamError::Refused { reason, rest } => {
                self.record_refusal(&upstream, reason, rest);
                self.reset_ran(id);
                self.lose_stage(id, &format!("{reason:?}"), false);
            }
        }
    }

    /// Updates the state of an upstream after a refusal.
    pub(super) fn record_refusal(
        &mut self,
        upstream: &UpstreamId,
        reason: RefusalReason,
        rest: Option<Duration>,
    ) {
        match reason {
            RefusalReason::Leaving => self.mark_leaving(upstream, "upstream"),
            RefusalReason::Busy => self.loads.record_failure(self.now, upstream),
            RefusalReason::NoSession | RefusalReason::NoLayers => {}
        }
        if let Some(rest) = rest {
            self.loads.note_backoff(self.now, upstream, rest);
        }
    }

    /// Handles silent stages and services as lost, and tries to replace the stages of
    /// stalled requests again.
    pub(super) fn tick_requests(&mut self) {
        let mut silent = Vec::new();
        let mut stalled = Vec::new();
        let mut calls = Vec::new();
        for (id, request) in &mut self.requests {
            let flow = match &mut request.phase {
                Phase::Running(flow) => flow,
                Phase::Calling(_, since) => {
                    if request.repeatable && self.now > *since + self.config.call_timeout {
                        calls.push((*id, request.attempt));
                    }
                    continue;
                }
                _ => continue,
            };
            if flow.stalled {
                stalled.push(*id);
                continue;
            }
            let live = flow.active();
            let positions = live.pending_inputs().len() as u32;
            let late = self.loads.late_after(&live.stage.upstream, positions);
            let silence = self.config.stage_timeout;
            let limit = match late {
                Some(late) => silence.max(late * SILENCE_FACTOR),
                None => silence * INITIAL_SILENCE_FACTOR,
            };
            if live.sent_at.is_some_and(|t| self.now > t + limit) {
                silent.push(*id);
            }
        }
        for id in silent {
            self.lose_stage(id, "silent", true);
        }
        for id in stalled {
            self.replace_stage(id, None);
        }
        for (id, attempt) in calls {
            self.on_service_failed(id, attempt, UpstreamError::Lost("silent".into()));
        }
    }

    /// Handles the loss of the current stage: replaces it, or refuses the request if it
    /// may not be repeated. `failed` tells whether the loss counts as a failure of the
    /// upstream.
    pub(super) fn lose_stage(&mut self, id: RequestId, cause: &str, failed: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stays = request.repeatable || !request.maybe_ran;
        let Phase::Running(flow) = &mut request.phase else {
            return;
        };
        let live = flow.active();
        let sent = live.sent_at.take();
        let upstream = live.stage.upstream.clone();
        if let Some(sent) = sent {
            let (session, stage) = (live.session, live.stage.clone());
            flow.abandoned.push(AbandonedStage {
                session,
                stage,
                sent_at: sent,
            });
        }
        if failed {
            self.loads.record_failure(self.now, &upstream);
        }
        self.stats.lost += 1;
        let what = RecordKind::Lost {
            upstream: upstream.clone(),
            cause: cause.into(),
        };
        self.record(Some(id), what);
        if !stays {
            let message = "a stage was lost and the request may not be repeated";
            return self.refuse(id, RefusalKind::Broken, message, None);
        }
        self.replace_stage(id, Some(upstream));
    }

    /// Restores `maybe_ran` after a stage run that did not run, unless it was sent more
    /// than once.
    pub(super) fn reset_ran(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id)
            && let Phase::Running(flow) = &mut request.phase
            && flow.active().resends == 0
        {
            request.maybe_ran = flow.ran_before;
        }
    }

    /// Replaces the current stage by other stages for its layers, or restarts the request
    /// if its inputs are not kept any more. Without suitable engines the request is
    /// stalled.
    pub(super) fn replace_stage(&mut self, id: RequestId, lost: Option<UpstreamId>) {
        let replay = self.config.strategy.replay;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Running(flow) = &mut request.phase else {
            return;
        };
        let live = &flow.stages[flow.current];
        let (first, end) = (live.stage.first, live.stage.end);
        if live.kept_from > 0 || !replay {
            return self.restart_request(id);
        }
        if flow.replacements >= MAX_REPLACEMENTS {
            let message = "too many stages were lost";
            return self.refuse(id, RefusalKind::Broken, message, Some(RETRY_AFTER));
        }
        let model = flow.model.clone();
        let chosen = self.choose_stages(&model, first, end, lost.as_ref(), true);
        let Some(stages) = chosen else {
            return self.mark_stalled(id, first, end);
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Running(flow) = &mut request.phase else {
            return;
        };
        flow.replacements += 1;
        flow.placed_at = self.now;
        flow.stalled = false;
        let mut news = Vec::new();
        for stage in &stages {
            let addr = upstream_addr(&self.members, &stage.upstream);
            news.push(flow.new_stage(stage.clone(), addr));
        }
        let at = flow.current;
        let old = flow.stages.remove(at);
        for live in &mut news {
            live.rebuild = old.positions_done.max(old.rebuild);
        }
        news[0].kept_inputs = old.kept_inputs.clone();
        flow.stages.splice(at..at, news);
        for stage in &stages {
            self.loads.acquire(&stage.upstream);
        }
        self.loads.release(&old.stage.upstream);
        self.cancel_session(id, old.session, &old.stage.upstream, &old.addr);
        self.stats.replaced += 1;
        let what = RecordKind::Replaced {
            first,
            end,
            stages,
            replayed: old.positions_done as usize,
        };
        self.record(Some(id), what);
        self.send_run(id);
    }

    pub(super) fn mark_stalled(&mut self, id: RequestId, first: Layer, end: Layer) {
        let mut news = false;
        if let Some(request) = self.requests.get_mut(&id)
            && let Phase::Running(flow) = &mut request.phase
        {
            news = !std::mem::replace(&mut flow.stalled, true);
        }
        if news {
            self.record(Some(id), RecordKind::Stalled { first, end });
        }
    }

    /// Restarts the whole request after the tokens already sent to the caller.
    pub(super) fn restart_request(&mut self, id: RequestId) {
        if !self.retry_budget.withdraw() {
            let message = "a stage was lost and the retry budget is used up";
            return self.refuse(id, RefusalKind::Broken, message, Some(RETRY_AFTER));
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let route = request.route.clone();
        if let Phase::Running(flow) = std::mem::replace(&mut request.phase, Phase::Waiting) {
            self.release_pipeline(id, &flow);
        }
        self.stats.restarted += 1;
        self.requeue(id);
        self.dispatch(&route);
    }
}
