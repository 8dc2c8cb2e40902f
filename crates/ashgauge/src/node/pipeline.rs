//! Runs one request through its stages, position by position.

use std::time::Duration;

use super::*;
use crate::chain::Stage;
use crate::member::UpstreamId;
use crate::upstream_stats::CallTiming;

/// Stages and progress of one running request.
pub(super) struct Pipeline {
    pub(super) model: String,
    pub(super) stages: Vec<ActiveStage>,
    /// Index of the stage that runs now.
    pub(super) current: usize,
    /// Last session id given to a stage.
    pub(super) last_session: SessionId,
    /// Number of stage replacements so far.
    pub(super) replacements: u32,
    /// Time at which stages were last chosen.
    pub(super) chosen_at: Duration,
    /// Value of the request's `maybe_ran` before the current stage run was sent.
    pub(super) ran_before: bool,
    /// Whether no engines were found to replace the current stage.
    pub(super) stalled: bool,
    /// Stages whose late answers may still arrive.
    pub(super) abandoned: Vec<AbandonedStage>,
}

/// A stage that was given up while a run was in flight.
pub(super) struct AbandonedStage {
    pub(super) session: SessionId,
    pub(super) stage: Stage,
    pub(super) sent_at: Duration,
}

/// One stage with the inputs passed to it.
pub(super) struct ActiveStage {
    pub(super) stage: Stage,
    pub(super) addr: String,
    pub(super) session: SessionId,
    /// Position of the first kept input.
    pub(super) kept_from: u32,
    /// Inputs that are kept, those already run included.
    pub(super) kept_inputs: Vec<StageValue>,
    /// Number of positions whose outputs were forwarded.
    pub(super) positions_done: u32,
    /// Number of positions that a replaced stage had forwarded. Running them again only
    /// rebuilds its state.
    pub(super) rebuild_count: u32,
    /// Time at which the run in flight was sent, if there is one.
    pub(super) sent_at: Option<Duration>,
    /// Number of times that the run was sent again, 0 or 1.
    pub(super) resends: u32,
}

impl Pipeline {
    /// Returns the stage that runs now.
    pub(super) fn active(&mut self) -> &mut ActiveStage {
        &mut self.stages[self.current]
    }

    /// Returns the number of inputs kept over all stages.
    pub(super) fn kept_count(&self) -> usize {
        self.stages.iter().map(|s| s.kept_inputs.len()).sum()
    }

    /// Creates a stage with a new session, without adding it to the pipeline.
    pub(super) fn new_stage(&mut self, stage: Stage, addr: String) -> ActiveStage {
        self.last_session += 1;
        ActiveStage {
            stage,
            addr,
            session: self.last_session,
            kept_from: 0,
            kept_inputs: Vec::new(),
            positions_done: 0,
            rebuild_count: 0,
            sent_at: None,
            resends: 0,
        }
    }

    /// Drops the inputs that were run already, which only a replay would need.
    fn trim_inputs(&mut self) {
        for s in &mut self.stages {
            let old = (s.positions_done - s.kept_from) as usize;
            s.kept_inputs.drain(..old);
            s.kept_from = s.positions_done;
        }
    }
}

impl ActiveStage {
    /// Returns the inputs that have not been run.
    pub(super) fn pending_inputs(&self) -> &[StageValue] {
        &self.kept_inputs[(self.positions_done - self.kept_from) as usize..]
    }

    /// Returns the position after the last input.
    pub(super) fn input_end(&self) -> u32 {
        self.kept_from + self.kept_inputs.len() as u32
    }
}

impl Node {
    pub(super) fn on_stage_done(&mut self, result: StageResult) {
        let Some(request) = self.requests.get_mut(&result.id) else {
            self.stats.dropped += 1;
            return;
        };
        let Phase::Running(pipeline) = &mut request.phase else {
            self.stats.dropped += 1;
            return;
        };
        let active = pipeline.active();
        if active.session != result.session {
            return self.on_late_result(&result);
        }
        let expected = active.sent_at.is_some()
            && active.positions_done == result.start
            && active.pending_inputs().len() == result.outputs.len();
        if !expected {
            self.stats.dropped += 1;
            let upstream = active.stage.upstream.clone();
            self.record(Some(result.id), RecordKind::Dropped { upstream });
            return;
        }
        let sent_at = active.sent_at.take().unwrap_or(self.now);
        let timing = stage_timing(self.now - sent_at, &active.stage, &result);
        let upstream = active.stage.upstream.clone();
        self.upstream_stats.record(self.now, &upstream, &timing);
        self.stats.stage_runs += 1;
        self.forward_result(result);
    }

    /// Drops the late answer of an abandoned stage, but records its timing, which tells
    /// how slow the upstream is.
    fn on_late_result(&mut self, result: &StageResult) {
        self.stats.dropped += 1;
        let Some(request) = self.requests.get(&result.id) else {
            return;
        };
        let Phase::Running(pipeline) = &request.phase else {
            return;
        };
        let Some(abandoned) = pipeline
            .abandoned
            .iter()
            .find(|stage| stage.session == result.session)
        else {
            return;
        };
        let timing = stage_timing(self.now - abandoned.sent_at, &abandoned.stage, result);
        let upstream = abandoned.stage.upstream.clone();
        self.upstream_stats.record(self.now, &upstream, &timing);
        self.record(Some(result.id), RecordKind::Dropped { upstream });
    }

    /// Releases the upstreams of a pipeline and cancels its sessions.
    pub(super) fn release_pipeline(&mut self, id: RequestId, pipeline: &Pipeline) {
        for active in &pipeline.stages {
            self.upstream_stats.release(&active.stage.upstream);
            self.cancel_session(id, active.session, &active.stage.upstream, &active.addr);
        }
    }

    pub(super) fn start_stages(&mut self, id: RequestId, stages: Vec<Stage>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Work::Generate { model, prompt, .. } = &request.incoming.work else {
            return self.refuse_rerouted(id);
        };
        if request.attempt == 0 {
            self.retry_budget.deposit();
            self.stats.started += 1;
            request.started_at = self.now;
        }
        request.attempt += 1;
        let mut pipeline = Pipeline {
            model: model.clone(),
            stages: Vec::new(),
            current: 0,
            // Session ids of earlier attempts must not be used again.
            last_session: request.attempt << 16,
            replacements: 0,
            chosen_at: self.now,
            ran_before: false,
            stalled: false,
            abandoned: Vec::new(),
        };
        let mut inputs = prompt.clone();
        inputs.extend(&request.tokens);
        for stage in &stages {
            let addr = upstream_addr(&self.members, &stage.upstream);
            let active = pipeline.new_stage(stage.clone(), addr);
            pipeline.stages.push(active);
            self.upstream_stats.acquire(&stage.upstream);
        }
        pipeline.stages[0].kept_inputs = inputs;
        request.phase = Phase::Running(pipeline);
        let attempt = request.attempt;
        self.record(Some(id), RecordKind::Chosen { attempt, stages });
        self.send_run(id);
    }

    /// Sends the current stage the inputs it has not run yet.
    pub(super) fn send_run(&mut self, id: RequestId) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.attempt;
        let Phase::Running(pipeline) = &mut request.phase else {
            return;
        };
        pipeline.ran_before = std::mem::replace(&mut request.maybe_ran, true);
        let model = pipeline.model.clone();
        let active = pipeline.active();
        active.sent_at = Some(now);
        let inputs = active.pending_inputs().to_vec();
        let run = StageRun {
            id,
            attempt,
            session: active.session,
            upstream: active.stage.upstream.clone(),
            addr: active.addr.clone(),
            model,
            first: active.stage.first,
            end: active.stage.end,
            start: active.positions_done,
            rebuild_count: (inputs.len() as u32)
                .min(active.rebuild_count.saturating_sub(active.positions_done)),
            inputs,
        };
        self.actions.push(Action::Run(run));
    }

    /// Forwards a stage's outputs to the next stage, or the token to the caller.
    fn forward_result(&mut self, result: StageResult) {
        let id = result.id;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Running(pipeline) = &mut request.phase else {
            return;
        };
        let active = pipeline.active();
        active.positions_done = active.input_end();
        active.resends = 0;
        if pipeline.current + 1 < pipeline.stages.len() {
            pipeline.current += 1;
            let next = pipeline.active();
            let known_inputs = (next.input_end() - result.start) as usize;
            next.kept_inputs.extend(&result.outputs[known_inputs..]);
        } else {
            let Some(token) = result.token else {
                return self.lose_stage(id, "no token from the last stage", false);
            };
            if self.emit_token(id, token) {
                return;
            }
        }
        self.limit_kept(id);
        self.send_run(id);
    }

    /// Sends the caller a token; returns whether it was the last.
    fn emit_token(&mut self, id: RequestId, token: Token) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return true;
        };
        let Work::Generate {
            prompt, max_tokens, ..
        } = &request.incoming.work
        else {
            return true;
        };
        let (prompt, max_tokens) = (prompt.len() as u32, *max_tokens);
        request.tokens.push(token.id);
        let generated = request.tokens.len() as u32;
        let last = token.end || generated >= max_tokens;
        if let Phase::Running(pipeline) = &mut request.phase {
            pipeline.current = 0;
            pipeline.stages[0].kept_inputs.push(token.id);
        }
        self.stats.tokens += 1;
        self.reply(id, ReplyPart::Token(token));
        if last {
            self.learn_token_time(id);
            self.clear_losses(id);
            self.reply(id, ReplyPart::End { prompt, generated });
            self.close_request(id, Outcome::Done, "done");
            self.dispatch_all();
        }
        last
    }

    /// Drops inputs that only a replay would need once too many are kept.
    fn limit_kept(&mut self, id: RequestId) {
        let max_inputs = self.config.max_inputs;
        if let Some(request) = self.requests.get_mut(&id)
            && let Phase::Running(pipeline) = &mut request.phase
            && pipeline.kept_count() > max_inputs
        {
            pipeline.trim_inputs();
        }
    }

    pub(super) fn cancel_session(
        &mut self,
        id: RequestId,
        session: SessionId,
        upstream: &UpstreamId,
        addr: &str,
    ) {
        self.actions.push(Action::Cancel {
            id,
            session,
            upstream: upstream.clone(),
            addr: addr.into(),
        });
    }
}

fn stage_timing(round_trip: Duration, stage: &Stage, result: &StageResult) -> CallTiming {
    CallTiming {
        round_trip,
        queued: result.queued,
        ran: result.ran,
        layers: stage.end - stage.first,
        positions: result.outputs.len() as u32,
    }
}

pub(super) fn upstream_addr(members: &Members, id: &str) -> String {
    members
        .upstream(id)
        .map_or(String::new(), |u| u.addr.clone())
}
