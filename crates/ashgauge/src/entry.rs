//! What a box has learned of one upstream by using it.

use std::time::Duration;

use crate::notice::Notice;
use crate::share::Use;
use crate::upstream::Upstream;

/// How long an upstream that failed is left out before it is tried again.
///
/// Longer than the platform takes to drop the entry of one that is gone
/// (three heartbeats of a second or so), so that a dead one is tried once at
/// most.
const SUSPECT_TIME: Duration = Duration::from_secs(4);

/// How long a box goes by another one's word that an upstream is lost; it is told
/// again with each word as long as that box thinks so.
const RUMOUR_TIME: Duration = Duration::from_millis(1000);

/// How long an engine that does not hold what it announces is left out; its
/// entry is renewed within about a second.
const STALE_TIME: Duration = Duration::from_millis(1000);

/// How long an upstream that took no connection gets no new requests. It may only take
/// none for the moment, and those that it works on go on.
const SHUT_TIME: Duration = Duration::from_millis(1000);

/// How long an upstream that had no room, and did not say for how long, is avoided.
const FULL_TIME: Duration = Duration::from_millis(300);

/// How long a box goes by another one's word that an engine is slow; it is told again with
/// each word as long as that box knows it.
const SLOW_TOLD_TIME: Duration = Duration::from_millis(1000);

/// How long something that came proves that the upstream behind it is there: a
/// part of the silence after which streams look for the cause (100 ms).
const HEARD_TIME: Duration = Duration::from_millis(60);

/// How long an engine's word that it is slow counts; it is asked again when
/// its streams stay slow.
const SLOW_TIME: Duration = Duration::from_secs(3);

/// Weight of the newest answer in the learned time.
const LEARN: f64 = 0.2;

/// Weight of the newest outcome in the learned share of failures.
const LEARN_FAILURE: f64 = 0.25;

/// Time over which a learned share of failures fades: an upstream that gets no
/// requests for its failures must be tried again. The users' upstreams fail
/// for some seconds at a time.
const FAILURE_TIME: Duration = Duration::from_secs(8);

/// How long an upstream that vanished from the list while the store was away
/// may take to come back before it counts as gone; the users' figure.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// An upstream with what this box has learned of it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What it announces.
    pub upstream: Upstream,
    /// Requests of this box that it works on.
    pub inflight: u32,
    /// Those of them that were sent to it; the others it got from an engine
    /// before it in their chain.
    pub leads: u32,
    /// Memory that the requests of this box hold there, in tokens times layers.
    pub tokens: u64,
    /// Learned time of an answer, in seconds; 0 if unknown.
    pub seconds: f64,
    /// Load that it last told: requests running and waiting.
    pub load: Option<(u32, u32)>,
    /// Learned share of requests that failed, at a time.
    failing: (f64, Duration),
    /// When it last had a part in something that came.
    heard: Option<Duration>,
    suspect: Option<Duration>,
    /// Until when another box's word that it is lost counts.
    rumour: Option<Duration>,
    full: Option<Duration>,
    /// Until when it gets no new requests, as it took no connection.
    shut: Option<Duration>,
    /// Until when it gets no request of this box, as it takes no more from all of them.
    closed: Option<Duration>,
    /// What it said in its answers.
    pub(crate) notice: Notice,
    slow: Option<(f64, Duration)>,
    /// Other boxes' word on that, and until when it counts.
    slow_told: Option<(f64, Duration)>,
    pub(crate) missing: Option<Duration>,
    /// Seconds of reading that it was given and that were not over at a time.
    reading: (f64, Duration),
}

impl Entry {
    /// Whether it may be used at `now`.
    pub fn is_usable(&self, now: Duration) -> bool {
        !self.is_leaving() && !self.is_missing() && !self.is_suspect(now)
    }

    /// Whether requests may go to it at `now`.
    pub fn takes_requests(&self, now: Duration) -> bool {
        self.is_usable(now) && self.rest(now).is_none() && !self.is_shut(now)
    }

    /// Whether it is leaving, as its entry or its answers say.
    pub fn is_leaving(&self) -> bool {
        self.upstream.leaving || self.notice.is_leaving()
    }

    /// Whether its entry vanished while the store was away, so that it may have left.
    pub fn is_missing(&self) -> bool {
        self.missing.is_some()
    }

    /// Whether it failed a short while ago.
    pub fn is_suspect(&self, now: Duration) -> bool {
        self.suspect.is_some_and(|until| now < until)
    }

    /// Whether it took no connection a moment ago; it may still work on what it has.
    pub fn is_shut(&self, now: Duration) -> bool {
        self.shut.is_some_and(|until| now < until)
    }

    /// Factor on the time of its work, as it told lately; 1 if it told nothing.
    pub fn slowness(&self, now: Duration) -> f64 {
        let told = [self.slow, self.slow_told].into_iter().flatten();
        let counting = told.filter(|(_, until)| now < *until);
        counting.map(|(factor, _)| factor).fold(1.0, f64::max)
    }

    /// Factor on the time of its work by its own word to this box, if it is slow.
    pub fn found_slow(&self, now: Duration) -> Option<f64> {
        let told = self.slow.filter(|(_, until)| now < *until);
        told.map(|(factor, _)| factor).filter(|f| *f > 1.0)
    }

    /// Learned share of requests that failed lately, 0 to 1.
    pub fn failures(&self, now: Duration) -> f64 {
        let (share, at) = self.failing;
        let age = now.saturating_sub(at).as_secs_f64();
        share * (-age / FAILURE_TIME.as_secs_f64()).exp()
    }

    /// What this box has on it.
    pub fn used(&self, now: Duration) -> Use {
        Use {
            requests: self.inflight,
            leads: self.leads,
            tokens: self.tokens.try_into().unwrap_or(u32::MAX),
            reading: (self.backlog(now) * 1e3) as u32,
        }
    }

    /// Seconds for which it has prompts of this box to read.
    pub fn backlog(&self, now: Duration) -> f64 {
        let (seconds, at) = self.reading;
        (seconds - now.saturating_sub(at).as_secs_f64()).max(0.0)
    }

    /// Whether it had a part in something that came less than `HEARD_TIME` ago.
    pub fn was_heard(&self, now: Duration) -> bool {
        self.heard.is_some_and(|at| now < at + HEARD_TIME)
    }

    /// When it last had a part in something that came.
    pub fn heard_at(&self) -> Option<Duration> {
        self.heard
    }

    /// Whether another box has said lately that it is lost.
    pub fn is_rumoured(&self, now: Duration) -> bool {
        self.rumour.is_some_and(|until| now < until) && !self.was_heard(now)
    }

    /// How much longer it wants nothing from this box, by its own word.
    pub fn rest(&self, now: Duration) -> Option<Duration> {
        self.notice.rest(now)
    }

    /// How much longer nothing is to be sent to it, as it takes no more requests from all
    /// boxes together. It may still be led to by other engines.
    pub fn closed(&self, now: Duration) -> Option<Duration> {
        let left = self.closed?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether it had no room a moment ago.
    pub fn is_full(&self, now: Duration) -> bool {
        self.full.is_some_and(|until| now < until)
    }

    /// An upstream that nothing is known of but what it says.
    pub(crate) fn new(upstream: Upstream, notice: Notice) -> Self {
        Entry {
            upstream,
            inflight: 0,
            leads: 0,
            tokens: 0,
            seconds: 0.0,
            failing: (0.0, Duration::ZERO),
            load: None,
            heard: None,
            suspect: None,
            rumour: None,
            full: None,
            shut: None,
            closed: None,
            notice,
            slow: None,
            slow_told: None,
            missing: None,
            reading: (0.0, Duration::ZERO),
        }
    }

    /// What is known once the upstream has started anew: what runs there ends as it was
    /// counted; what its start before did says nothing of it.
    pub(crate) fn after_start(&self, upstream: Upstream) -> Self {
        Entry {
            inflight: self.inflight,
            leads: self.leads,
            tokens: self.tokens,
            ..Entry::new(upstream, self.notice.after_start())
        }
    }

    /// Notes that its entry vanished while the store was away.
    pub(crate) fn miss(&mut self, now: Duration) {
        self.missing.get_or_insert(now);
    }

    /// Whether it vanished and did not come back in time.
    pub(crate) fn is_over(&self, now: Duration) -> bool {
        self.missing.is_some_and(|at| now >= at + RETURN_TIME)
    }

    pub(crate) fn begin(&mut self, tokens: u64) {
        self.inflight += 1;
        self.tokens += tokens;
    }

    pub(crate) fn end(&mut self, tokens: u64) {
        self.inflight = self.inflight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens);
    }

    pub(crate) fn note_reading(&mut self, now: Duration, seconds: f64) {
        self.reading = (self.backlog(now) + seconds, now);
    }

    pub(crate) fn learn(&mut self, now: Duration, took: Duration) {
        let seconds = took.as_secs_f64();
        self.seconds = match self.seconds {
            0.0 => seconds,
            old => old + LEARN * (seconds - old),
        };
        self.failing = (self.failures(now) * (1.0 - LEARN_FAILURE), now);
        self.suspect = None;
    }

    pub(crate) fn fail(&mut self, now: Duration) {
        let share = self.failures(now);
        self.failing = (share + LEARN_FAILURE * (1.0 - share), now);
    }

    pub(crate) fn hear(&mut self, now: Duration) {
        self.heard = Some(now);
    }

    pub(crate) fn hear_rumour(&mut self, now: Duration) {
        self.rumour = Some(now + RUMOUR_TIME);
    }

    /// Returns true if that is new.
    pub(crate) fn suspect(&mut self, now: Duration) -> bool {
        let new = !self.is_suspect(now);
        self.suspect = Some(now + SUSPECT_TIME);
        new
    }

    pub(crate) fn note_shut(&mut self, now: Duration) {
        self.shut = Some(now + SHUT_TIME);
    }

    pub(crate) fn close(&mut self, now: Duration, time: Duration) {
        self.closed = Some(now.saturating_add(time));
    }

    pub(crate) fn open(&mut self) {
        self.closed = None;
    }

    pub(crate) fn note_full(&mut self, now: Duration) {
        self.full = Some(now + FULL_TIME);
    }

    pub(crate) fn hear_slow(&mut self, now: Duration, factor: f64) {
        self.slow_told = Some((factor, now + SLOW_TOLD_TIME));
    }

    /// Returns true if that is news.
    pub(crate) fn note_slow(&mut self, now: Duration, factor: f64) -> bool {
        let before = self.slowness(now);
        self.slow = Some((factor, now + SLOW_TIME));
        (factor - before).abs() > 0.5
    }

    pub(crate) fn note_stale(&mut self, now: Duration) {
        self.suspect = self.suspect.max(Some(now + STALE_TIME));
    }
}
