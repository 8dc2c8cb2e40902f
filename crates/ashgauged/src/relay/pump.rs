//! Copies a stream's events to its caller, and repairs the stream.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::chain::{self, Stage};
use ashgauge::events;
use ashgauge::handoff::{Handoff, Next, Outcome};
use ashgauge::member::UpstreamId;
use ashgauge::progress::Progress;
use ashgauge::roster::{Entry, Span};
use ashgauge::routing::{Model, StreamRule};
use ashgauge::silence::Silence;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use platform::engine::{self, Reply};
use serde_json::json;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout};

use super::desk::Desk;
use super::open::{Run, SILENT_MOST, begin, id_at, pick};
use super::pieces::Pieces;
use super::probe::{ask_engines, find_dead};
use super::request::{Admitted, Hold, note_outcome};
use super::serve::Broken;

/// Pieces that may wait for a slow caller.
const WAITING_MOST: usize = 64;

/// Bytes of an event that is not whole yet, at most.
const EVENT_MOST: usize = 1 << 20;

/// Repairs of one stream at most; each one lost an engine.
const REPAIRS_MOST: u32 = 6;

/// Least time between two notes that a chain's engines are there.
const HEAR_EVERY: Duration = Duration::from_millis(20);

/// Pause before a stream looks again for a way around engines that leave.
const LEAVE_EVERY: Duration = Duration::from_millis(500);

/// For an engine's answer to a change of the chain, which takes milliseconds.
const REPATH_TIME: Duration = Duration::from_millis(150);

/// Starts passing a stream's events on; the body ends the task when dropped.
pub fn start(desk: Rc<Desk>, a: Admitted, handoff: Handoff, rule: StreamRule, run: Run) -> Pieces {
    let (sender, pieces) = mpsc::channel(WAITING_MOST);
    let now = desk.now();
    let pump = Pump {
        last: a.ask.last_event,
        passed: false,
        buffer: BytesMut::new(),
        silence: Silence::new(now),
        told: Duration::ZERO,
        event_at: now,
        left: Vec::new(),
        leave_at: None,
        repairs: 0,
        broke: None,
        suspects: desk.suspects.subscribe(),
        sender,
        run,
        rule,
        handoff,
        a,
        desk,
    };
    let task = tokio::task::spawn_local(pump.run());
    Pieces { pieces, task }
}

/// Copies one stream.
struct Pump {
    desk: Rc<Desk>,
    a: Admitted,
    handoff: Handoff,
    rule: StreamRule,
    run: Run,
    sender: mpsc::Sender<Result<Bytes, Broken>>,
    suspects: watch::Receiver<u64>,
    /// Bytes of an event that is not whole yet.
    buffer: BytesMut,
    /// Id of the last whole event that the caller has.
    last: Option<u64>,
    /// Whether an event was passed on.
    passed: bool,
    /// How long nothing has come, and how long that is usual.
    silence: Silence,
    /// When the chain's engines were last noted as being there.
    told: Duration,
    /// When the last event was passed on.
    event_at: Duration,
    /// Engines that the stream left before their end, or tried to.
    left: Vec<UpstreamId>,
    /// When to look again for a way around engines that leave.
    leave_at: Option<Duration>,
    repairs: u32,
    /// When the last bytes before a repair came, until the next come.
    broke: Option<Duration>,
}

/// What a pump saw next.
enum Seen {
    Data(Bytes),
    End,
    Broken(String),
    Silence,
    Suspect,
    Deadline,
    Left,
}

/// Whether a stream goes on.
#[derive(PartialEq)]
enum Go {
    On,
    Done,
    Break(&'static str),
}

impl Pump {
    async fn run(mut self) {
        loop {
            let go = match self.next().await {
                Seen::Data(bytes) => self.take(bytes).await,
                Seen::End if self.buffer.is_empty() => Go::Done,
                Seen::End => self.resume("half an event at the end", false).await,
                Seen::Broken(cause) => self.broken(&cause).await,
                Seen::Silence => self.check().await,
                Seen::Suspect => self.leave_suspects().await,
                Seen::Deadline => Go::Break("late"),
                Seen::Left => return,
            };
            match go {
                Go::On => {}
                Go::Done => {
                    self.a.record.end("answered");
                    return;
                }
                Go::Break(why) => {
                    self.a.record.end(why);
                    // A caller that left does not miss it.
                    let _ = self.sender.send(Err(Broken)).await;
                    return;
                }
            }
        }
    }

    async fn next(&mut self) -> Seen {
        let silent = self.silent_at();
        let until = self.handoff.until();
        let now = self.desk.now();
        let leave = self.leave_at.unwrap_or(until);
        let wait = silent.min(until).min(leave).saturating_sub(now);
        let alarm = tokio::time::Instant::now() + wait;
        let body = self.run.exchange.response.body_mut();
        tokio::select! {
            biased;
            frame = body.frame() => match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Seen::Data(data),
                    Err(_) => Seen::Data(Bytes::new()),
                },
                Some(Err(e)) => Seen::Broken(e.to_string()),
                None => Seen::End,
            },
            () = self.sender.closed() => Seen::Left,
            Ok(()) = self.suspects.changed() => Seen::Suspect,
            () = sleep_until(alarm) => match self.desk.now() {
                now if now >= until => Seen::Deadline,
                now if now < silent && now >= leave => Seen::Suspect,
                _ => Seen::Silence,
            },
        }
    }

    /// When the stream counts as silent.
    fn silent_at(&self) -> Duration {
        let settings = self.desk.settings();
        let ms = Duration::from_millis;
        let (first, least) = (settings.timing.first_ms, settings.timing.silence_ms);
        self.silence.due(ms(first), ms(least))
    }

    /// Passes whole events on.
    async fn take(&mut self, bytes: Bytes) -> Go {
        let now = self.desk.now();
        self.silence.hear(now);
        self.hear_engines(now);
        if let Some(broke) = self.broke.take() {
            self.desk.metrics.gap.observe((now - broke).as_secs_f64());
        }
        self.buffer.extend_from_slice(&bytes);
        let whole = events::cut(&self.buffer);
        if whole.len == 0 {
            return match self.buffer.len() > EVENT_MOST {
                true => Go::Break("event too long"),
                false => Go::On,
            };
        }
        if !self.follows(whole.first) {
            return self.resume("events out of order", false).await;
        }
        let piece = self.buffer.split_to(whole.len).freeze();
        self.last = whole.last.or(self.last);
        self.note_pause(now);
        self.passed |= whole.count > 0;
        let left = self.handoff.left(now);
        match timeout(left, self.sender.send(Ok(piece))).await {
            Ok(Ok(())) => Go::On,
            Ok(Err(_)) => Go::Break("caller left"),
            Err(_) => Go::Break("late"),
        }
    }

    /// Notes that the chain's engines are there, for other streams' checks: more
    /// than half of all connections to engines were for these.
    fn hear_engines(&mut self, now: Duration) {
        if now < self.told + HEAR_EVERY {
            return;
        }
        self.told = now;
        let mut roster = self.desk.roster.borrow_mut();
        for stage in &self.run.stages {
            roster.hear(now, &stage.upstream);
        }
    }

    /// Notes the pause before an event, for the request's line.
    fn note_pause(&mut self, now: Duration) {
        let record = &mut self.a.record;
        match self.passed {
            true => record.pause = record.pause.max(now - self.event_at),
            false => record.first = Some(record.took()),
        }
        self.event_at = now;
    }

    /// Whether an event with this id comes next.
    fn follows(&self, first: Option<u64>) -> bool {
        match (self.last, first) {
            (Some(last), Some(first)) => first == last + 1,
            _ => true,
        }
    }

    async fn broken(&mut self, cause: &str) -> Go {
        self.a
            .record
            .step("stream broke", json!({"cause": cause, "last": self.last}));
        let dead = find_dead(&self.desk, &self.run.stages).await;
        dead.iter()
            .for_each(|id| self.desk.suspect(id, "no connection"));
        self.resume("broken", false).await
    }

    /// Looks for the cause of a silence.
    async fn check(&mut self) -> Go {
        self.silence.note_check();
        let dead = find_dead(&self.desk, &self.run.stages).await;
        if !dead.is_empty() {
            dead.iter()
                .for_each(|id| self.desk.suspect(id, "no connection"));
            return self.repair(dead).await;
        }
        if self.desk.now() >= self.silence.heard() + SILENT_MOST {
            return self.resume("silent", true).await;
        }
        match ask_engines(&self.desk, &self.run.stages, &self.a.ask.id).await {
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
    async fn leave_suspects(&mut self) -> Go {
        let now = self.desk.now();
        let lost = self.stages_where(|e, _| e.is_suspect(now));
        if !lost.is_empty() {
            return self.repair(lost).await;
        }
        self.leave_early().await;
        Go::On
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
            let held = e.upstream.layers.unwrap_or(Span { first: 0, end: 0 });
            let gives_up = held.first > stage.first || held.end < stage.end;
            gives_up || e.upstream.leaving
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
        self.left.extend(ends.iter().cloned());
        self.repath(&ends, stages, &text).await;
    }

    /// Engines of the chain, but for those that are gone, for which `is_so`.
    fn stages_where(&self, is_so: impl Fn(&Entry, &Stage) -> bool) -> Vec<UpstreamId> {
        let roster = self.desk.roster.borrow();
        let stages = self.run.stages.iter();
        let found = stages.filter(|s| roster.get(&s.upstream).is_some_and(|e| is_so(e, s)));
        found.map(|s| s.upstream.clone()).collect()
    }

    /// Whether the answer ends by itself before an engine that leaves does.
    fn ends_soon(&self) -> bool {
        let progress = Progress {
            answer: self.a.ask.answer,
            events: self.last.unwrap_or(0),
            pause: self.silence.pace(),
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
        let first = &self.run.stages[0].upstream;
        if lost.contains(first) {
            self.handoff.lose();
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
        let reply = engine::repath(client, &self.run.first, id, text, REPATH_TIME).await;
        let done = matches!(reply, Reply::Begun | Reply::Holds);
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
        if let Reply::Unfit(Some(addr)) = &reply
            && let Some(id) = id_at(&self.desk, addr)
        {
            let now = self.desk.now();
            self.desk.roster.borrow_mut().note_full(now, &id);
        }
        if !done {
            return false;
        }
        if let Some(model) = &self.a.service.model {
            let tokens = self.a.ask.prompt + self.a.ask.answer;
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
        let span = Span {
            first: stage.first,
            end: stage.end,
        };
        self.desk
            .choose_chain(&self.a.service.name, model, span, avoid, None)
    }

    /// Lets another chain go on behind the last event that was passed on.
    ///
    /// If that cannot be and `alive` says that the present answer may still
    /// go on, it is waited for.
    async fn resume(&mut self, why: &'static str, alive: bool) -> Go {
        match self.try_resume(why).await || alive {
            true => Go::On,
            false => Go::Break("broken"),
        }
    }

    /// As [`Pump::resume`]; returns whether it goes on elsewhere.
    async fn try_resume(&mut self, why: &str) -> bool {
        if !self.rule.resume || (self.last.is_none() && self.passed) {
            return false;
        }
        let mut avoid = vec![self.run.stages[0].upstream.clone()];
        let mut outcome = Outcome::Lost;
        loop {
            let now = self.desk.now();
            let handoff = &mut self.handoff;
            let service = &self.a.service.name;
            let next = self
                .desk
                .budget(service, |b| handoff.after(now, outcome, b));
            if next != Next::Again {
                return false;
            }
            let (desk, a) = (&self.desk, &mut self.a);
            let Ok(chosen) = pick(desk, a, &self.handoff, &avoid, true) else {
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
        (self.desk.now() - self.silence.heard()).as_millis() as u64
    }

    /// Counts the silence of the stream from now on.
    fn count_anew(&mut self) {
        self.broke.get_or_insert(self.silence.heard());
        self.silence.restart(self.desk.now());
    }
}
