//! Copies a stream's events to its caller; [`mend`] repairs the stream.

mod mend;

use std::rc::Rc;
use std::time::Duration;

use ashgauge::events;
use ashgauge::handoff::Attempts;
use ashgauge::member::UpstreamId;
use ashgauge::quarantine::is_safe_run;
use ashgauge::routing::StreamPolicy;
use ashgauge::silence::SilenceTimer;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;

use super::desk::Desk;
use super::forecast;
use super::open::{Run, SILENT_MOST};
use super::pieces::Pieces;
use super::request::Admitted;
use super::serve::Broken;

/// Pieces that may wait for a slow caller.
const WAITING_MOST: usize = 64;

/// Bytes of an event that is not whole yet, at most.
const EVENT_MOST: usize = 1 << 20;

/// Least time between two notes that a chain's engines are there.
const HEAR_EVERY: Duration = Duration::from_millis(20);

/// Starts passing a stream's events on; the body ends the task when dropped.
pub fn start(
    desk: Rc<Desk>,
    a: Admitted,
    handoff: Attempts,
    rule: StreamPolicy,
    run: Run,
) -> Pieces {
    let (sender, pieces) = mpsc::channel(WAITING_MOST);
    let now = desk.now();
    let pump = Pump {
        last: a.ask.last_event,
        passed: false,
        buffer: BytesMut::new(),
        silence: SilenceTimer::new(now),
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
    handoff: Attempts,
    rule: StreamPolicy,
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
    silence: SilenceTimer,
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
                Seen::End if self.buffer.is_empty() => self.ended().await,
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
                    let took = self.a.record.took();
                    self.desk.note_stay(&self.a.service.name, took);
                    if self.run.events > 0 {
                        self.desk
                            .quarantine
                            .borrow_mut()
                            .clear_losses(self.a.digest);
                    }
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
        let until = self.handoff.deadline();
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
        match &self.run.estimate {
            Some(estimate) if !self.passed => {
                let first = estimate.patience(ms(first));
                self.silence.next_check_within(first, first, SILENT_MOST)
            }
            _ => self.silence.next_check(ms(first), ms(least)),
        }
    }

    /// Passes whole events on.
    async fn take(&mut self, bytes: Bytes) -> Go {
        let now = self.desk.now();
        self.silence.record_event(now);
        self.hear_engines(now);
        if let Some(broke) = self.broke.take() {
            self.desk.metrics.gap.observe((now - broke).as_secs_f64());
        }
        self.buffer.extend_from_slice(&bytes);
        let whole = events::scan_complete(&self.buffer);
        if whole.len == 0 {
            return match self.buffer.len() > EVENT_MOST {
                true => Go::Break("event too long"),
                false => Go::On,
            };
        }
        if !self.follows(whole.first_id) {
            return self.resume("events out of order", false).await;
        }
        let piece = self.buffer.split_to(whole.len).freeze();
        self.last = whole.last_id.or(self.last);
        self.note_pause(now);
        if whole.count > 0 && !self.passed {
            self.learn_forecast(now);
        }
        self.passed |= whole.count > 0;
        self.run.events += whole.count as u64;
        if whole.count > 0 {
            self.prove(now);
        }
        let left = self.handoff.time_left(now);
        let sending = self.sender.send(Ok(piece));
        match self.desk.clock.within(left, sending).await {
            Some(Ok(())) => Go::On,
            Some(Err(_)) => Go::Break("caller left"),
            None => Go::Break("late"),
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
            roster.note_activity(now, &stage.upstream);
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

    /// Compares the time of the first event with its forecast. A loss, a refusal or a
    /// repair makes an event late that the forecast knows nothing of.
    fn learn_forecast(&self, now: Duration) {
        let was_sent_once = self.a.record.sends.len() == 1 && self.a.ask.last_event.is_none();
        let was_repaired = self.repairs > 0 || !self.left.is_empty();
        if let Some(estimate) = &self.run.estimate
            && was_sent_once
            && !was_repaired
        {
            forecast::learn(&self.desk, &self.a.service.name, estimate, now);
        }
    }

    /// Notes once that the request does not end its upstream.
    fn prove(&mut self, now: Duration) {
        let run = &mut self.run;
        let first = run.first_event.get_or_insert(now);
        if !run.proven && is_safe_run(*first, now) {
            run.proven = true;
            run.trial = None;
            self.desk
                .quarantine
                .borrow_mut()
                .clear_losses(self.a.digest);
        }
    }

    /// Whether an event with this id comes next.
    fn follows(&self, first: Option<u64>) -> bool {
        match (self.last, first) {
            (Some(last), Some(first)) => first == last + 1,
            _ => true,
        }
    }
}
