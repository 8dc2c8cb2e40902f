//! Repair of a stream: finds what stalls it, and routes it around engines that are lost or
//! leave.

use std::time::Duration;

use ashgauge::attempts::SendOutcome;
use ashgauge::chain::{self, Stage};
use ashgauge::member::UpstreamId;
use ashgauge::progress::Progress;
use ashgauge::routing::Model;
use ashgauge::slack::Slack;
use ashgauge::upstream::LayerRange;
use ashgauge::upstream_state::UpstreamState;
use platform::engine::{self, OrderReply};
use serde_json::json;
use tokio::time::sleep;

use super::super::egress;
use super::super::loss::{self, BrokenRun};
use super::super::open::{MAX_SILENCE, upstream_at};
use super::super::pick;
use super::super::probe::{find_unreachable, query_engines};
use super::super::reach;
use super::super::recovery;
use super::super::request::LoadGuard;
use super::super::select::ChainCriteria;
use super::resume::MAX_ALIVE_WAIT;
use super::{EventForwarder, ForwardState};

/// Maximum number of detours around lost or stalled engines in one stream; after that it
/// is not routed around leaving engines either.
const MAX_REPAIRS: u32 = 6;

/// Delay before a stream looks again for a way around engines that leave.
const LEAVE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of an engine's reply to a change of the chain, which takes milliseconds.
const REPATH_TIMEOUT: Duration = Duration::from_millis(150);

/// Time in which an engine that ends closes its listener, after it has closed a connection.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(20);

impl EventForwarder {
    /// Marks the engines that are lost as suspect after an answer broke off, and continues
    /// the stream elsewhere.
    pub(super) async fn handle_break(&mut self, cause: &str) -> ForwardState {
        self.request.record.log_step(
            "stream broke",
            json!({"cause": cause, "last": self.last_id}),
        );
        // Activity from before the break says nothing.
        let since = self.shared.now();
        let unreachable =
            find_unreachable(&self.shared, &self.request, &self.run.stages, since).await;
        for id in &unreachable {
            reach::mark_unreachable(&self.shared, id, "no connection").await;
        }
        if let Some(first_engine) = self.run.first_engine() {
            reach::confirm_failure(&self.shared, first_engine).await;
        }
        self.note_broken();
        self.check_loss().await;
        self.resume("broken", false).await
    }

    /// Handles the end of an answer. It is complete unless its engine is lost and it has no
    /// length or no event: without a length, an answer that was cut off ends in the same way.
    pub(super) async fn handle_end(&mut self) -> ForwardState {
        let is_framed = engine::is_framed(self.run.response.response.headers());
        if is_framed && self.run.event_count > 0 {
            return ForwardState::Done;
        }
        if !is_framed {
            sleep(LISTENER_CLOSE_DELAY).await;
        }
        if !self.check_loss().await {
            return ForwardState::Done;
        }
        self.note_broken();
        self.resume("ended with its engine", false).await
    }

    /// Records that the connection of the present run broke.
    fn note_broken(&mut self) {
        self.attempts.record_outcome(SendOutcome::Broken);
        if let Some(first_engine) = self.run.first_engine() {
            let now = self.shared.now();
            let mut registry = self.shared.registry.borrow_mut();
            registry.note_broken_run(now, first_engine);
        }
    }

    /// Looks for the cause of a silence; repairs the chain around a lost or stalled engine,
    /// or continues an overdue stream elsewhere.
    pub(super) async fn handle_silence(&mut self) -> ForwardState {
        self.silence.record_check();
        let due_at = self.silence.last_event() + Duration::from_secs_f64(self.silence.event_gap());
        let unreachable =
            find_unreachable(&self.shared, &self.request, &self.run.stages, due_at).await;
        if !unreachable.is_empty() {
            for id in &unreachable {
                reach::mark_unreachable(&self.shared, id, "no connection").await;
            }
            return match egress::is_needed(&self.shared, &self.request) {
                true => self.leave_cut_off().await,
                false => self.repair(unreachable).await,
            };
        }
        if self.is_overdue() && self.may_move() {
            return self.resume("silent", true).await;
        }
        match query_engines(&self.shared, &self.request, &self.run.stages).await {
            // A report lags; it may name an engine that the stream was already routed
            // around.
            Some(id) if self.run.stages.iter().any(|s| s.upstream == id) => {
                self.shared.mark_suspect(&id, "reported as stalled");
                self.repair(vec![id]).await
            }
            _ => ForwardState::Continue,
        }
    }

    /// Continues a silent stream through another box, once in a while until one is found.
    async fn leave_cut_off(&mut self) -> ForwardState {
        match self.may_repair() {
            true => self.resume("cut off", true).await,
            false => ForwardState::Continue,
        }
    }

    /// Checks whether the first engine is lost, and records it if so. Returns whether it is.
    async fn check_loss(&mut self) -> bool {
        let Some(broken_run) = self.broken_run() else {
            return false;
        };
        loss::check_loss(&self.shared, &self.request, broken_run).await
    }

    /// Repairs the chain if another stream found one of its engines lost, or routes the
    /// stream around engines that are about to leave.
    pub(super) async fn handle_upstream_change(&mut self) -> ForwardState {
        let now = self.shared.now();
        let lost = self.engines_where(|e, _| e.is_suspect(now));
        if !lost.is_empty() {
            return self.repair(lost).await;
        }
        // The stream had no budget yet to leave its silent engines.
        if self.request.class.is_some() && self.is_overdue() {
            return match self.may_move() {
                true => self.resume("silent", true).await,
                false => ForwardState::Continue,
            };
        }
        self.avoid_leaving().await;
        ForwardState::Continue
    }

    /// Whether nothing has arrived for so long that the stream continues elsewhere.
    fn is_overdue(&self) -> bool {
        self.shared.now() >= self.overdue_at()
    }

    /// When the stream becomes overdue. Another box first continues it elsewhere itself.
    fn overdue_at(&self) -> Duration {
        let max_silence = match self.run.first_engine() {
            Some(_) => MAX_SILENCE,
            None => egress::MAX_SILENCE,
        };
        self.silence.last_event() + max_silence
    }

    /// Whether a stream whose engines all answer is moved elsewhere now. It may continue by
    /// itself, so it waits for budget as long as that takes.
    fn may_move(&mut self) -> bool {
        let allowed = recovery::take_budget(&self.shared, &self.request);
        self.schedule_recheck(allowed);
        allowed
    }

    /// Whether a stream that cannot continue by itself is repaired or moved now. It waits
    /// for budget until it is overdue at most.
    fn may_repair(&mut self) -> bool {
        let allowed = recovery::take_or_overdue(&self.shared, &self.request, self.overdue_at());
        self.schedule_recheck(allowed);
        allowed
    }

    /// Schedules the next check of a stream whose service admits by class: after
    /// [`recovery::POLL_INTERVAL`] if it got no budget. Otherwise a check that is already
    /// scheduled is postponed until at least [`LEAVE_RETRY_INTERVAL`] from now.
    fn schedule_recheck(&mut self, allowed: bool) {
        if self.request.class.is_none() {
            return;
        }
        let now = self.shared.now();
        self.recheck_at = match allowed {
            true => self.recheck_at.map(|at| at.max(now + LEAVE_RETRY_INTERVAL)),
            false => Some(now + recovery::POLL_INTERVAL),
        };
    }

    /// Waits for budget for a stream whose answer has ended. Returns `false` if its caller
    /// leaves.
    pub(super) async fn wait_for_budget(&mut self) -> bool {
        while !self.may_repair() {
            tokio::select! {
                () = sleep(recovery::POLL_INTERVAL) => {}
                () = self.sender.closed() => return false,
            }
        }
        true
    }

    /// Routes the stream around engines that leave or release layers that it uses, while
    /// they still work. A stream that waits for their end breaks off, and delays their new
    /// orders until then.
    ///
    /// The first engine cannot be changed without another run. A stream that ends before an
    /// engine leaves stays on it; an engine that releases layers waits for the requests
    /// that use them.
    async fn avoid_leaving(&mut self) {
        self.recheck_at = None;
        if self.ends_soon() {
            return;
        }
        let mut leaving = self.engines_where(|e, stage| {
            let held = e.upstream.layers.unwrap_or(LayerRange { first: 0, end: 0 });
            let releases = held.first > stage.first || held.end < stage.end;
            releases || e.is_leaving()
        });
        let first_engine = self.run.first_engine().cloned();
        leaving.retain(|id| Some(id) != first_engine.as_ref() && !self.left_engines.contains(id));
        if leaving.is_empty() || self.repairs >= MAX_REPAIRS {
            return;
        }
        let crossings = self.shared.count_crossings(&self.run.stages);
        let detour = self.detour(&leaving);
        let detour = detour.filter(|(stages, _)| self.shared.count_crossings(stages) <= crossings);
        let Some((stages, encoded)) = detour else {
            self.recheck_at = Some(self.shared.now() + LEAVE_RETRY_INTERVAL);
            return;
        };
        if !recovery::take_budget(&self.shared, &self.request) {
            self.recheck_at = Some(self.shared.now() + LEAVE_RETRY_INTERVAL);
            return;
        }
        self.left_engines.extend(leaving.iter().cloned());
        self.repath(&leaving, stages, &encoded).await;
    }

    /// Engines of the chain for which `is_so` holds, without those that are no longer
    /// listed.
    fn engines_where(&self, is_so: impl Fn(&UpstreamState, &Stage) -> bool) -> Vec<UpstreamId> {
        let registry = self.shared.registry.borrow();
        let stages = self.run.stages.iter();
        let found = stages.filter(|s| registry.get(&s.upstream).is_some_and(|e| is_so(e, s)));
        found.map(|s| s.upstream.clone()).collect()
    }

    /// Whether the answer ends by itself before an engine that leaves does.
    fn ends_soon(&self) -> bool {
        let progress = Progress {
            answer_tokens: self.request.client_request.answer_tokens,
            events: self.last_id.unwrap_or(0),
            event_gap: self.silence.event_gap(),
        };
        let model = self.request.service.model.as_ref();
        let event_tokens = model.map_or(1, |m| m.event_tokens);
        progress.ends_within(event_tokens, self.shared.settings().drain_bound())
    }

    /// Routes the stream around lost engines, or continues it elsewhere.
    ///
    /// A detour through another data centre sends all tokens so far over the link between
    /// the data centres, which takes seconds if many streams lose the same engine. A whole
    /// chain elsewhere prefills them again in a fraction of that time.
    async fn repair(&mut self, lost: Vec<UpstreamId>) -> ForwardState {
        if !self.may_repair() {
            return ForwardState::Continue;
        }
        if self
            .run
            .first_engine()
            .is_some_and(|first| lost.contains(first))
        {
            if let Some(broken_run) = self.broken_run() {
                loss::check_loss(&self.shared, &self.request, broken_run).await;
            }
            return self.resume("first engine lost", true).await;
        }
        if self.repairs >= MAX_REPAIRS {
            return self.resume("repaired too often", true).await;
        }
        let Some((stages, encoded)) = self.detour(&lost) else {
            return self.resume("no detour", true).await;
        };
        let crossings = self.shared.count_crossings(&self.run.stages);
        let crosses = self.shared.count_crossings(&stages) > crossings;
        if crosses && self.try_resume("the detour crosses", MAX_ALIVE_WAIT).await {
            return ForwardState::Continue;
        }
        self.repairs += 1;
        if self.repath(&lost, stages, &encoded).await {
            return ForwardState::Continue;
        }
        self.resume("not led around", true).await
    }

    /// Orders the first engine to route the stream over another chain. Returns whether it
    /// does.
    async fn repath(&mut self, replaced: &[UpstreamId], stages: Vec<Stage>, encoded: &str) -> bool {
        let silent_ms = self.silent_ms();
        let (client, id) = (&self.shared.client, &self.request.client_request.id);
        let Some(first_engine) = self.run.first_engine() else {
            return false;
        };
        let first = (&**first_engine, self.run.first_addr.as_str());
        let reply = engine::order_repath(client, first, id, encoded, REPATH_TIMEOUT).await;
        let accepted = matches!(reply, OrderReply::Begun | OrderReply::Holds);
        let label = if accepted {
            "led around"
        } else {
            "not led around"
        };
        self.shared
            .metrics
            .repairs
            .with_label_values(&[label])
            .inc();
        let fields = json!({
            "lost": replaced.iter().map(|l| &**l).collect::<Vec<_>>(),
            "chain": encoded,
            "reply": format!("{reply:?}"),
            "last": self.last_id,
            "silent_ms": silent_ms,
        });
        self.request.record.log_step("repath", fields);
        if let OrderReply::Unfit(Some(addr)) = &reply
            && let Some(id) = upstream_at(&self.shared, addr)
        {
            let now = self.shared.now();
            self.shared.registry.borrow_mut().note_full(now, &id);
        }
        if !accepted {
            return false;
        }
        if let Some(model) = &self.request.service.model {
            let tokens = self.request.max_tokens();
            self.shared.note_transfers(model, &stages, tokens);
            let new = stages.iter().filter(|s| !self.run.stages.contains(s));
            let service = &self.request.service.name;
            self.shared.note_prefill(model, service, new, tokens);
        }
        self.run.load_guard =
            LoadGuard::for_chain(&self.shared, &stages, self.request.mean_tokens());
        self.run.stages = stages;
        self.restart_silence();
        true
    }

    /// The chain with the layers of the replaced engines given to others.
    fn detour(&self, replaced: &[UpstreamId]) -> Option<(Vec<Stage>, String)> {
        let model = self.request.service.model.as_ref()?;
        let mut stages: Vec<Stage> = Vec::new();
        for stage in &self.run.stages {
            if !replaced.contains(&stage.upstream) {
                stages.push(stage.clone());
                continue;
            }
            let mut avoid = replaced.to_vec();
            // An engine may appear only once in a chain.
            avoid.extend(self.run.stages.iter().map(|s| s.upstream.clone()));
            avoid.extend(stages.iter().map(|s| s.upstream.clone()));
            stages.extend(self.fill_range(model, stage, &avoid)?);
        }
        if !chain::covers(0, model.layers, &stages) {
            return None;
        }
        let (encoded, _) = self.shared.encode_chain(&stages)?;
        Some((stages, encoded))
    }

    /// Chooses engines for the layers of a replaced engine.
    fn fill_range(&self, model: &Model, stage: &Stage, avoid: &[UpstreamId]) -> Option<Vec<Stage>> {
        let layers = LayerRange {
            first: stage.first,
            end: stage.end,
        };
        // Without event ids there was no other run, so this one brought all events.
        let last_event = self.last_id.unwrap_or(self.run.event_count);
        let criteria = ChainCriteria {
            need: None,
            slack: Slack::Streaming,
            size: pick::request_size(&self.request, model, Some(last_event)),
        };
        self.shared
            .choose_chain(&self.request.service.name, model, layers, avoid, criteria)
    }

    /// The present run as a broken one, whose first engine may be lost; `None` if it is on
    /// another box, which checks its engines itself.
    pub(super) fn broken_run(&self) -> Option<BrokenRun> {
        Some(BrokenRun {
            upstream: self.run.first_engine()?.clone(),
            began: self.run.head_at,
            event_count: self.run.event_count,
            proven_safe: self.run.proven_safe,
        })
    }
}
