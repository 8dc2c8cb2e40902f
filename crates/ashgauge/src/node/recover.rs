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
        error: UpstreamError,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Running(pipeline) = &mut request.phase else {
            return;
        };
        let active = pipeline.active();
        if active.session != session || active.positions_done != start || active.sent_at.is_none() {
            return;
        }
        let upstream = active.stage.upstream.clone();
        match error {
            // The engine keeps the last output of a session, so sending the same run
            // again computes nothing twice if the first one arrived.
            UpstreamError::Lost(_) if active.resends == 0 => {
                active.resends = 1;
                let position = active.positions_done;
                self.record(Some(id), RecordKind::Resumed { upstream, position });
                self.send_run(id);
            }
            UpstreamError::Lost(cause) => self.lose_stage(id, &cause, true),
            // The connection broke and no new one can be opened: the engine is lost. Only
            // replacing it would send a request that crashes engines on to the next one.
            UpstreamError::NotSent(_) if active.resends == 1 && self.record_loss(id) => {
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
            RefusalReason::Busy => self.upstream_stats.record_failure(self.now, upstream),
            RefusalReason::NoSession | RefusalReason::NoLayers => {}
        }
        if let Some(rest) = rest {
            self.upstream_stats.note_backoff(self.now, upstream, rest);
        }
    }

    /// Handles silent stages and services as lost, and tries to replace the stages of
    /// stalled requests again.
    pub(super) fn tick_requests(&mut self) {
        let mut silent = Vec::new();
        let mut stalled = Vec::new();
        let mut calls = Vec::new();
        for (id, request) in &mut self.requests {
            let pipeline = match &mut request.phase {
                Phase::Running(pipeline) => pipeline,
                Phase::Calling(_, since) => {
                    if request.repeatable && self.now > *since + self.config.call_timeout {
                        calls.push((*id, request.attempt));
                    }
                    continue;
                }
                _ => continue,
            };
            if pipeline.stalled {
                stalled.push(*id);
                continue;
            }
            let active = pipeline.active();
            let positions = active.pending_inputs().len() as u32;
            let late = self
                .upstream_stats
                .late_after(&active.stage.upstream, positions);
            let stage_timeout = self.config.stage_timeout;
            let limit = match late {
                Some(late) => stage_timeout.max(late * SILENCE_FACTOR),
                None => stage_timeout * INITIAL_SILENCE_FACTOR,
            };
            if active.sent_at.is_some_and(|t| self.now > t + limit) {
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
        let may_repeat = request.repeatable || !request.maybe_ran;
        let Phase::Running(pipeline) = &mut request.phase else {
            return;
        };
        let active = pipeline.active();
        let sent_at = active.sent_at.take();
        let upstream = active.stage.upstream.clone();
        if let Some(sent_at) = sent_at {
            let (session, stage) = (active.session, active.stage.clone());
            pipeline.abandoned.push(AbandonedStage {
                session,
                stage,
                sent_at,
            });
        }
        if failed {
            self.upstream_stats.record_failure(self.now, &upstream);
        }
        self.stats.lost += 1;
        let record_kind = RecordKind::Lost {
            upstream: upstream.clone(),
            cause: cause.into(),
        };
        self.record(Some(id), record_kind);
        if !may_repeat {
            let message = "a stage was lost and the request may not be repeated";
            return self.refuse(id, RefusalKind::Broken, message, None);
        }
        self.replace_stage(id, Some(upstream));
    }

    /// Restores `maybe_ran` after a stage run that did not run, unless it was sent more
    /// than once.
    pub(super) fn reset_ran(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id)
            && let Phase::Running(pipeline) = &mut request.phase
            && pipeline.active().resends == 0
        {
            request.maybe_ran = pipeline.ran_before;
        }
    }

    /// Replaces the current stage by other stages for its layers.
    ///
    /// Restarts the request instead if its inputs are not kept any more or `strategy.replay` is
    /// off, and refuses it after [`MAX_REPLACEMENTS`]. Without suitable engines the request is
    /// stalled.
    pub(super) fn replace_stage(&mut self, id: RequestId, lost: Option<UpstreamId>) {
        let replay = self.config.strategy.replay;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Running(pipeline) = &mut request.phase else {
            return;
        };
        let active = &pipeline.stages[pipeline.current];
        let (first, end) = (active.stage.first, active.stage.end);
        if active.kept_from > 0 || !replay {
            return self.restart_request(id);
        }
        if pipeline.replacements >= MAX_REPLACEMENTS {
            let message = "too many stages were lost";
            return self.refuse(id, RefusalKind::Broken, message, Some(RETRY_AFTER));
        }
        let model = pipeline.model.clone();
        let chosen = self.choose_stages(&model, first, end, lost.as_ref(), true);
        let Some(stages) = chosen else {
            return self.mark_stalled(id, first, end);
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Running(pipeline) = &mut request.phase else {
            return;
        };
        pipeline.replacements += 1;
        pipeline.chosen_at = self.now;
        pipeline.stalled = false;
        let mut new_stages = Vec::new();
        for stage in &stages {
            let addr = upstream_addr(&self.members, &stage.upstream);
            new_stages.push(pipeline.new_stage(stage.clone(), addr));
        }
        let index = pipeline.current;
        let old = pipeline.stages.remove(index);
        for active in &mut new_stages {
            active.rebuild_count = old.positions_done.max(old.rebuild_count);
        }
        new_stages[0].kept_inputs = old.kept_inputs.clone();
        pipeline.stages.splice(index..index, new_stages);
        for stage in &stages {
            self.upstream_stats.acquire(&stage.upstream);
        }
        self.upstream_stats.release(&old.stage.upstream);
        self.cancel_session(id, old.session, &old.stage.upstream, &old.addr);
        self.stats.replaced += 1;
        let record_kind = RecordKind::Replaced {
            first,
            end,
            stages,
            replayed: old.positions_done as usize,
        };
        self.record(Some(id), record_kind);
        self.send_run(id);
    }

    pub(super) fn mark_stalled(&mut self, id: RequestId, first: Layer, end: Layer) {
        let mut newly_stalled = false;
        if let Some(request) = self.requests.get_mut(&id)
            && let Phase::Running(pipeline) = &mut request.phase
        {
            newly_stalled = !std::mem::replace(&mut pipeline.stalled, true);
        }
        if newly_stalled {
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
        if let Phase::Running(pipeline) = std::mem::replace(&mut request.phase, Phase::Waiting) {
            self.release_pipeline(id, &pipeline);
        }
        self.stats.restarted += 1;
        self.requeue(id);
        self.dispatch(&route);
    }
}
