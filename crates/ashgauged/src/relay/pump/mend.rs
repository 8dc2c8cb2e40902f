//! Repairs a stream: finds out what holds it up, leads it around engines that are
//! lost or leave, or lets it go on over another chain.

use std::time::Duration;

use ashgauge::chain::{self, Stage};
use ashgauge::entry::UpstreamState;
use ashgauge::handoff::{Decision, SendOutcome};
use ashgauge::member::UpstreamId;
use ashgauge::progress::Progress;
use ashgauge::routing::Model;
use ashgauge::slack::Slack;
use ashgauge::upstream::LayerRange;
use platform::engine::{self, OrderReply};
use serde_json::json;
use tokio::time::sleep;

use super::super::loss::{self, Loss};
use super::super::open::{Run, SILENT_MOST, begin, id_at};
use super::super::pick::{self, pick_late};
use super::super::probe::{ask_engines, find_dead};
use super::super::recovery;
use super::super::request::{Hold, note_outcome};
use super::super::retry;
use super::super::select::Wish;
use super::{Go, Pump};

/// Repairs of one stream at most; each one lost an engine.
const REPAIRS_MOST: u32 = 6;

/// Pause before a stream looks again for a way around engines that leave.
const LEAVE_EVERY: Duration = Duration::from_millis(500);

/// For an engine's answer to a change of the chain, which takes milliseconds.
const REPATH_TIME: Duration = Duration::from_millis(150);

impl Pump {
    /// Notes which engines are lost after an answer broke off, and lets the stream
    /// go on elsewhere.
    pub(super) async fn broken(&mut self, cause: &str) -> Go {
        self.a
            .record
            .step("stream broke", json!({"cause": cause, "last": self.last}));
        // What was heard longer ago than a moment before it broke says nothing.
        let since = self.desk.now();
        let dead = find_dead(&self.desk, &self.a, &self.run.stages, since).await;
        dead.iter()
            .for_each(|id| self.desk.suspect(id, "no connection"));
        if loss::look(&self.desk, &self.a, self.loss()).await {
            self.handoff.record_lost();
        }
        self.resume("broken", false).await
    }

    /// An answer that ends is whole, unless it brought nothing and its engine is lost:
    /// without a length, one that was cut off ends in the same way.
    pub(super) async fn ended(&mut self) -> Go {
        if self.run.events > 0 || !loss::look(&self.desk, &self.a, self.loss()).await {
            return Go::Done;
        }
        self.handoff.record_lost();
        self.resume("ended without an event", false).await
    }

    /// Looks for the cause of a silence.
    pub(super) async fn check(&mut self) -> Go {
        self.silence.record_check();
        let due = self.silence.last_event() + Duration::from_secs_f64(self.silence.event_gap());
        let dead = find_dead(&self.desk, &self.a, &self.run.stages, due).await;
        if !dead.is_empty() {
            dead.iter()
                .for_each(|id| self.desk.suspect(id, "no connection"));
            return self.repair(dead).await;
        }
        if self.is_late() && self.may_leave() {
            return self.resume("silent", true).await;
        }
        match ask_engines(&self.desk, &self.a, &self.run.stages).await {
            // A report lags; it may name an engine that was led around already.
            Some(id) if self.run.stages.iter().any(|s| s.upstream == id) => {
                self.desk.suspect(&id, "reported as stalled");
                self.repair(vec![id]).await
            }
            _ => Go::On,
        }
    }

    /// Repairs the chain if another stream found one of its engines lost, or
    /// leads it away from engines that will soon be.
    pub(super) async fn leave_suspects(&mut self) -> Go {
        let now = self.desk.now();
        let lost = self.stages_where(|e, _| e.is_suspect(now));
        if !lost.is_empty() {
            return self.repair(lost).await;
        }
        // One that had no turn yet to leave its silent engines.
        if self.a.class.is_some() && self.is_late() {
            return match self.may_leave() {
                true => self.resume("silent", true).await,
                false => Go::On,
            };
        }
        self.leave_early().await;
        Go::On
    }

    /// Whether nothing has come for so long that the stream goes on elsewhere.
    fn is_late(&self) -> bool {
        self.desk.now() >= self.late_at()
    }

    fn late_at(&self) -> Duration {
        self.silence.last_event() + SILENT_MOST
    }

    /// Whether a stream whose engines all answer is led elsewhere now. It may go on by
    /// itself, so it waits for its turn as long as it takes.
    fn may_leave(&mut self) -> bool {
        let may = recovery::take(&self.desk, &self.a);
        self.look_again(may);
        may
    }

    /// The same for a stream that cannot go on by itself, which waits until it is late
    /// at most.
    fn may_repair(&mut self) -> bool {
        let may = recovery::take_until(&self.desk, &self.a, self.late_at());
        self.look_again(may);
        may
    }

    /// Has the stream looked at soon that has no turn.
    fn look_again(&mut self, may: bool) {
        if self.a.class.is_none() {
            return;
        }
        let now = self.desk.now();
        self.leave_at = match may {
            true => self.leave_at.map(|at| at.max(now + LEAVE_EVERY)),
            false => Some(now + recovery::LOOK_EVERY),
        };
    }

    /// Waits for the turn of a stream whose answer has ended; returns false if its caller
    /// leaves.
    async fn wait_turn(&mut self) -> bool {
        while !self.may_repair() {
            tokio::select! {
                () = sleep(recovery::LOOK_EVERY) => {}
                () = self.sender.closed() => return false,
            }
        }
        true
    }

    /// Leads the stream away from engines that leave or give up their part,
    /// while they still work: a stream that waits for their end breaks off, and
    /// holds up their new orders until then.
    ///
    /// The first engine cannot be changed without another run. A stream that
    /// will have ended before an engine leaves stays; one that gives up its part
    /// waits for what passes.
    async fn leave_early(&mut self) {
        self.leave_at = None;
        if self.ends_soon() {
            return;
        }
        let mut ends = self.stages_where(|e, stage| {
            let held = e.upstream.layers.unwrap_or(LayerRange { first: 0, end: 0 });
            let gives_up = held.first > stage.first || held.end < stage.end;
            gives_up || e.is_leaving()
        });
        let first = self.run.stages[0].upstream.clone();
        ends.retain(|id| *id != first && !self.left.contains(id));
        if ends.is_empty() || self.repairs >= REPAIRS_MOST {
            return;
        }
        let before = self.desk.count_crossings(&self.run.stages);
        let detour = self.detour(&ends);
        let detour = detour.filter(|(stages, _)| self.desk.count_crossings(stages) <= before);
        let Some((stages, text)) = detour else {
            self.leave_at = Some(self.desk.now() + LEAVE_EVERY);
            return;
        };
        if !recovery::take(&self.desk, &self.a) {
            self.leave_at = Some(self.desk.now() + LEAVE_EVERY);
            return;
        }
        self.left.extend(ends.iter().cloned());
        self.repath(&ends, stages, &text).await;
    }

    /// Engines of the chain, but for those that are gone, for which `is_so`.
    fn stages_where(&self, is_so: impl Fn(&UpstreamState, &Stage) -> bool) -> Vec<UpstreamId> {
        let roster = self.desk.roster.borrow();
        let stages = self.run.stages.iter();
        let found = stages.filter(|s| roster.get(&s.upstream).is_some_and(|e| is_so(e, s)));
        found.map(|s| s.upstream.clone()).collect()
    }

    /// Whether the answer ends by itself before an engine that leaves does.
    fn ends_soon(&self) -> bool {
        let progress = Progress {
            answer_tokens: self.a.ask.answer_tokens,
            events: self.last.unwrap_or(0),
            event_gap: self.silence.event_gap(),
        };
        let model = self.a.service.model.as_ref();
        let event_tokens = model.map_or(1, |m| m.event_tokens);
        progress.ends_within(event_tokens, self.desk.settings().drain_time())
    }

    /// Leads the stream around lost engines, or lets it go on elsewhere.
    ///
    /// A detour through another data centre sends all tokens so far over its
    /// pipe, which takes seconds if many streams lose the same engine; a whole
    /// chain elsewhere reads them anew in a fraction of that.
    async fn repair(&mut self, lost: Vec<UpstreamId>) -> Go {
        if !self.may_repair() {
            return Go::On;
        }
        let first = &self.run.stages[0].upstream;
        if lost.contains(first) {
            self.handoff.record_lost();
            loss::look(&self.desk, &self.a, self.loss()).await;
            return self.resume("first engine lost", true).await;
        }
        if self.repairs >= REPAIRS_MOST {
            return self.resume("repaired too often", true).await;
        }
        let Some((stages, text)) = self.detour(&lost) else {
            return self.resume("no detour", true).await;
        };
        let before = self.desk.count_crossings(&self.run.stages);
        let crosses = self.desk.count_crossings(&stages) > before;
        if crosses && self.try_resume("the detour crosses").await {
            return Go::On;
        }
        self.repairs += 1;
        if self.repath(&lost, stages, &text).await {
            return Go::On;
        }
        self.resume("not led around", true).await
    }

    /// Orders the first engine to lead the stream over another chain; returns
    /// whether it does.
    async fn repath(&mut self, lost: &[UpstreamId], stages: Vec<Stage>, text: &str) -> bool {
        let silent = self.silent_ms();
        let (client, id) = (&self.desk.client, &self.a.ask.id);
        let reply = engine::order_repath(client, &self.run.first, id, text, REPATH_TIME).await;
        let done = matches!(reply, OrderReply::Begun | OrderReply::Holds);
        let label = if done { "led around" } else { "not led around" };
        self.desk.metrics.repairs.with_label_values(&[label]).inc();
        let fields = json!({
            "lost": lost.iter().map(|l| &**l).collect::<Vec<_>>(),
            "chain": text,
            "reply": format!("{reply:?}"),
            "last": self.last,
            "silent_ms": silent,
        });
        self.a.record.step("repath", fields);
        if let OrderReply::Unfit(Some(addr)) = &reply
            && let Some(id) = id_at(&self.desk, addr)
        {
            let now = self.desk.now();
            self.desk.roster.borrow_mut().note_full(now, &id);
        }
        if !done {
            return false;
        }
        if let Some(model) = &self.a.service.model {
            let tokens = self.a.most_tokens();
            self.desk.note_crossings(model, &stages, tokens);
            let new = stages.iter().filter(|s| !self.run.stages.contains(s));
            let service = &self.a.service.name;
            self.desk.note_reading(model, service, new, tokens);
        }
        self.run.hold = Hold::chain(&self.desk, &stages, self.a.usual_tokens());
        self.run.stages = stages;
        self.count_anew();
        true
    }

    /// The chain with the lost engines' ranges given to others.
    fn detour(&self, lost: &[UpstreamId]) -> Option<(Vec<Stage>, String)> {
        let model = self.a.service.model.as_ref()?;
        let mut stages: Vec<Stage> = Vec::new();
        for stage in &self.run.stages {
            if !lost.contains(&stage.upstream) {
                stages.push(stage.clone());
                continue;
            }
            let mut avoid = lost.to_vec();
            // An engine may be named only once in a chain.
            avoid.extend(self.run.stages.iter().map(|s| s.upstream.clone()));
            avoid.extend(stages.iter().map(|s| s.upstream.clone()));
            stages.extend(self.fill(model, stage, &avoid)?);
        }
        if !chain::covers(0, model.layers, &stages) {
            return None;
        }
        let (text, _) = self.desk.chain_text(&stages)?;
        Some((stages, text))
    }

    fn fill(&self, model: &Model, stage: &Stage, avoid: &[UpstreamId]) -> Option<Vec<Stage>> {
        let span = LayerRange {
            first: stage.first,
            end: stage.end,
        };
        // Without ids there was no other run, so this one brought all events.
        let last = self.last.unwrap_or(self.run.events);
        let wish = Wish {
            need: None,
            slack: Slack::Streaming,
            shape: pick::shape(&self.a, model, Some(last)),
        };
        self.desk
            .choose_chain(&self.a.service.name, model, span, avoid, wish)
    }

    /// Lets another chain go on behind the last event that was passed on.
    ///
    /// If that cannot be and `alive` says that the present answer may still
    /// go on, it is waited for.
    pub(super) async fn resume(&mut self, why: &'static str, alive: bool) -> Go {
        if !alive && self.can_resume() && !self.wait_turn().await {
            return Go::Break("caller left");
        }
        match self.try_resume(why).await || alive {
            true => Go::On,
            false => Go::Break("broken"),
        }
    }

    /// The run as it stands, if its first engine is lost.
    fn loss(&self) -> Loss {
        Loss {
            upstream: self.run.stages[0].upstream.clone(),
            began: self.run.began,
            events: self.run.events,
            proven: self.run.proven,
        }
    }

    /// Whether another run may go on where this one stands.
    fn can_resume(&self) -> bool {
        self.rule.resumable && (self.last.is_some() || !self.passed)
    }

    /// As [`Pump::resume`]; returns whether it goes on elsewhere.
    async fn try_resume(&mut self, why: &str) -> bool {
        if !self.can_resume() {
            return false;
        }
        let mut avoid = vec![self.run.stages[0].upstream.clone()];
        let mut outcome = SendOutcome::Lost;
        loop {
            let next = retry::next(&self.desk, &self.a, &mut self.handoff, outcome);
            if next != Decision::Resend {
                return false;
            }
            let (desk, a) = (&self.desk, &mut self.a);
            let began = desk.now();
            let Ok(chosen) = pick_late(desk, a, &self.handoff, &avoid, self.last).await else {
                return false;
            };
            match begin(desk, a, &mut self.handoff, &mut avoid, self.last, chosen).await {
                Ok(run) => {
                    self.resumed(why, run);
                    return true;
                }
                Err(failed) => {
                    note_outcome(&self.desk, &self.a, &failed.upstream, failed.outcome);
                    outcome = failed.outcome;
                    if outcome == SendOutcome::Lost {
                        let loss = Loss::before_answer(&failed.upstream, began);
                        if loss::look(&self.desk, &self.a, loss).await {
                            self.handoff.record_lost();
                        }
                    }
                    recovery::wait_turn(&self.desk, &self.a).await;
                }
            }
        }
    }

    fn resumed(&mut self, why: &str, run: Run) {
        let resumed = self.desk.metrics.repairs.with_label_values(&["resumed"]);
        resumed.inc();
        let fields = json!({
            "why": why,
            "last": self.last,
            "first": run.first,
            "silent_ms": self.silent_ms(),
        });
        self.a.record.step("resumed", fields);
        self.run = run;
        self.buffer.clear();
        self.count_anew();
    }

    /// Milliseconds since something came, or since the last repair.
    fn silent_ms(&self) -> u64 {
        (self.desk.now() - self.silence.last_event()).as_millis() as u64
    }

    /// Counts the silence of the stream from now on.
    fn count_anew(&mut self) {
        self.broke.get_or_insert(self.silence.last_event());
        self.silence.reset(self.desk.now());
    }
}
