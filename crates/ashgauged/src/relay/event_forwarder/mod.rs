//! Forwards a stream's events to its caller; [`repair`] repairs the stream, and [`resume`]
//! continues it elsewhere.

mod event_buffer;
mod repair;
mod resume;

use std::rc::Rc;
use std::time::Duration;

use ashgauge::attempts::Attempts;
use ashgauge::crashing_part::{MAX_CRASHING_EVENTS, SOUND_RUN_TIME};
use ashgauge::member::UpstreamId;
use ashgauge::quarantine::is_safe_run;
use ashgauge::routing::StreamPolicy;
use ashgauge::silence::SilenceTimer;
use bytes::Bytes;
use http::ReadError;
use http_body_util::BodyExt;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;

use super::forecast;
use super::forward::ENDLESS;
use super::open::{MAX_SILENCE, Run};
use super::quarantine;
use super::record::ANSWERED;
use super::request::{RoutedRequest, count_answer};
use super::serve::AbortedBody;
use super::shared_state::SharedState;
use super::stream_body::StreamBody;
use event_buffer::EventBuffer;

/// Maximum number of chunks that are queued for a slow caller. Each is at most what is received at
/// a time.
const MAX_QUEUED_CHUNKS: usize = 8;

/// Least time between two records of activity of a chain's engines.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(20);

/// Starts to forward a stream's events. Dropping the body ends the task.
pub fn start(
    shared: Rc<SharedState>,
    request: RoutedRequest,
    attempts: Attempts,
    policy: StreamPolicy,
    run: Run,
) -> StreamBody {
    let (sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let now = shared.now();
    let forwarder = EventForwarder {
        last_id: request.client_request.last_event,
        has_forwarded: false,
        buffer: EventBuffer::new(&shared.memory.upstreams),
        silence: SilenceTimer::new(now),
        liveness_at: Duration::ZERO,
        event_at: now,
        left_engines: Vec::new(),
        recheck_at: None,
        repairs: 0,
        written: Duration::ZERO,
        broke_at: None,
        upstream_changes: shared.upstream_changes.subscribe(),
        stop: shared.stop.ended.subscribe(),
        sender,
        run,
        policy,
        attempts,
        request,
        shared,
    };
    let task = tokio::task::spawn_local(forwarder.run());
    StreamBody::new(chunks, task)
}

/// Forwards the events of one stream.
struct EventForwarder {
    shared: Rc<SharedState>,
    request: RoutedRequest,
    attempts: Attempts,
    policy: StreamPolicy,
    run: Run,
    sender: mpsc::Sender<Result<Bytes, AbortedBody>>,
    upstream_changes: watch::Receiver<u64>,
    /// Becomes true when the process ends.
    stop: watch::Receiver<bool>,
    buffer: EventBuffer,
    /// Id of the last complete event that the caller has.
    last_id: Option<u64>,
    /// Whether an event was forwarded.
    has_forwarded: bool,
    /// How long nothing has arrived, and how long that usually takes.
    silence: SilenceTimer,
    /// When activity of the chain's engines was last recorded.
    liveness_at: Duration,
    /// When the last event was forwarded.
    event_at: Duration,
    /// Engines that the stream was routed around, or tried to be, before they ended.
    left_engines: Vec<UpstreamId>,
    /// When to look again for a way around engines that leave, or for recovery budget.
    recheck_at: Option<Duration>,
    repairs: u32,
    /// For how long earlier runs wrote events, over all of them.
    written: Duration,
    /// When the last bytes before a repair arrived; reset when the next ones arrive.
    broke_at: Option<Duration>,
}

/// What a forwarder has to handle next.
enum StreamInput {
    Data(Bytes),
    End,
    Broken(String),
    Silence,
    UpstreamChange,
    Deadline,
    CallerLeft,
    Stop,
}

/// Whether a stream continues.
#[derive(PartialEq)]
enum ForwardState {
    Continue,
    Done,
    Abort(&'static str),
}

impl EventForwarder {
    async fn run(mut self) {
        loop {
            let state = match self.next_input().await {
                StreamInput::Data(bytes) => self.forward(bytes).await,
                StreamInput::End if self.buffer.is_empty() => self.handle_end().await,
                StreamInput::End => self.resume("half an event at the end", false).await,
                StreamInput::Broken(cause) => self.handle_break(&cause).await,
                StreamInput::Silence => self.handle_silence().await,
                StreamInput::UpstreamChange => self.handle_upstream_change().await,
                StreamInput::Deadline => ForwardState::Abort("late"),
                StreamInput::CallerLeft => return,
                StreamInput::Stop => ForwardState::Abort("stopped"),
            };
            match state {
                ForwardState::Continue => {}
                ForwardState::Done => {
                    let elapsed = self.request.record.elapsed();
                    self.shared
                        .note_duration(&self.request.service.name, elapsed);
                    if self.run.event_count > 0 {
                        quarantine::note_sound(&self.shared, &self.request);
                    }
                    self.request.record.end(ANSWERED);
                    return;
                }
                ForwardState::Abort(reason) => {
                    self.request.record.end(reason);
                    // A caller that left does not need the error.
                    let _ = self.sender.send(Err(AbortedBody)).await;
                    return;
                }
            }
        }
    }

    /// Waits for data, a change or the next deadline.
    async fn next_input(&mut self) -> StreamInput {
        let silence_deadline = self.silence_deadline();
        let deadline = self.attempts.deadline();
        let now = self.shared.now();
        let recheck = self.recheck_at.unwrap_or(deadline);
        let wait = silence_deadline
            .min(deadline)
            .min(recheck)
            .saturating_sub(now);
        let wake_at = tokio::time::Instant::now() + wait;
        let body = self.run.response.response.body_mut();
        tokio::select! {
            biased;
            frame = body.frame() => match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => StreamInput::Data(data),
                    Err(_) => StreamInput::Data(Bytes::new()),
                },
                Some(Err(e)) => StreamInput::Broken(e.to_string()),
                None => StreamInput::End,
            },
            () = self.sender.closed() => StreamInput::CallerLeft,
            Ok(()) = self.upstream_changes.changed() => StreamInput::UpstreamChange,
            Ok(_) = self.stop.wait_for(|ended| *ended) => StreamInput::Stop,
            () = sleep_until(wake_at) => match self.shared.now() {
                now if now >= deadline => StreamInput::Deadline,
                now if now < silence_deadline && now >= recheck => StreamInput::UpstreamChange,
                _ => StreamInput::Silence,
            },
        }
    }

    /// When the stream counts as silent.
    fn silence_deadline(&self) -> Duration {
        let settings = self.shared.settings();
        let ms = Duration::from_millis;
        let (first, min_silence) = (settings.timing.first_ms, settings.timing.silence_ms);
        match &self.run.estimate {
            Some(estimate) if !self.has_forwarded => {
                let first = estimate.silence_limit(ms(first));
                self.silence.next_check_within(first, first, MAX_SILENCE)
            }
            _ => self.silence.next_check(ms(first), ms(min_silence)),
        }
    }

    /// Forwards complete events.
    async fn forward(&mut self, bytes: Bytes) -> ForwardState {
        let now = self.shared.now();
        self.silence.record_event(now);
        self.note_liveness(now);
        if let Some(broke_at) = self.broke_at.take() {
            self.shared
                .metrics
                .repair_gap
                .observe((now - broke_at).as_secs_f64());
        }
        let complete = match self.buffer.push(&bytes) {
            Ok(complete) if complete.len == 0 => return ForwardState::Continue,
            Ok(complete) => complete,
            Err(ReadError::NoMemory) => return self.resume("no memory for an event", false).await,
            Err(_) => return self.leave_endless().await,
        };
        if !self.is_next_event(complete.first_id) {
            return self.resume("events out of order", false).await;
        }
        let chunk = self.buffer.take(&complete);
        self.last_id = complete.last_id.or(self.last_id);
        self.note_pause(now);
        if complete.count > 0 && !self.has_forwarded {
            self.learn_forecast(now);
        }
        self.has_forwarded |= complete.count > 0;
        self.run.event_count += complete.count as u64;
        self.request.has_sound_parts |= self.run.event_count > MAX_CRASHING_EVENTS;
        if complete.count > 0 {
            self.note_proven(now);
        }
        let time_left = self.attempts.time_left(now);
        let sending = self.sender.send(Ok(chunk));
        match self.shared.clock.within(time_left, sending).await {
            Some(Ok(())) => ForwardState::Continue,
            Some(Err(_)) => ForwardState::Abort("caller left"),
            None => ForwardState::Abort("late"),
        }
    }

    /// Continues a stream elsewhere whose upstream sends bytes without end that are no event.
    async fn leave_endless(&mut self) -> ForwardState {
        if let Some(first_engine) = self.run.first_engine() {
            self.shared.mark_suspect(first_engine, ENDLESS);
        }
        self.resume("event too long", false).await
    }

    /// Records that the chain's engines are active, for the checks of other streams: more
    /// than half of all connections to engines were for such checks.
    fn note_liveness(&mut self, now: Duration) {
        if now < self.liveness_at + LIVENESS_INTERVAL {
            return;
        }
        self.liveness_at = now;
        let mut registry = self.shared.registry.borrow_mut();
        for stage in &self.run.stages {
            registry.note_activity(now, &stage.upstream);
        }
    }

    /// Records the pause before an event, for the request's log line.
    fn note_pause(&mut self, now: Duration) {
        if !self.has_forwarded {
            count_answer(&self.shared, &self.request);
        }
        let record = &mut self.request.record;
        match self.has_forwarded {
            true => record.longest_pause = record.longest_pause.max(now - self.event_at),
            false => record.first_event = Some(record.elapsed()),
        }
        self.event_at = now;
    }

    /// Compares the time of the first event with its forecast. Events that a loss, a
    /// refusal or a repair has delayed are left out, as the forecast does not account for
    /// these.
    fn learn_forecast(&self, now: Duration) {
        let was_sent_once = self.request.record.sends.len() == 1
            && self.request.client_request.last_event.is_none();
        let was_repaired = self.repairs > 0 || !self.left_engines.is_empty();
        if let Some(estimate) = &self.run.estimate
            && was_sent_once
            && !was_repaired
        {
            forecast::calibrate(&self.shared, &self.request.service.name, estimate, now);
        }
    }

    /// Records once that the request does not crash its upstream. What earlier runs have written
    /// counts, as a request that crashes upstreams crashes each of them.
    fn note_proven(&mut self, now: Duration) {
        let run = &mut self.run;
        let first = *run.first_event.get_or_insert(now);
        if !run.parts_sound && now >= first + SOUND_RUN_TIME {
            run.parts_sound = true;
            quarantine::note_sound_parts(&self.shared, &self.request);
        }
        if !run.proven_safe && is_safe_run(first, now + self.written) {
            run.proven_safe = true;
            run.suspect_run = None;
            quarantine::note_sound(&self.shared, &self.request);
        }
    }

    /// Whether an event with this id comes next.
    fn is_next_event(&self, first: Option<u64>) -> bool {
        match (self.last_id, first) {
            (Some(last), Some(first)) => first == last + 1,
            _ => true,
        }
    }
}
