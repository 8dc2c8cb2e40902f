//! What a box has learned of one upstream by using it.

use std::time::Duration;

use crate::load_report::Usage;
use crate::notice::UpstreamNotice;
use crate::upstream::Upstream;

/// How long an upstream that failed is left out before it is tried again.
///
/// Longer than the platform takes to drop the entry of one that is gone
/// (three heartbeats of a second or so), so that a dead one is tried once at
/// most.
const SUSPECT_DURATION: Duration = Duration::from_secs(4);

/// How long a box goes by another one's word that an upstream is lost; it is told
/// again with each word as long as that box thinks so.
const PEER_SUSPECT_TTL: Duration = Duration::from_millis(1000);

/// How long an engine that does not hold what it announces is left out; its
/// entry is renewed within about a second.
const STALE_DURATION: Duration = Duration::from_millis(1000);

/// How long an upstream that took no connection gets no new requests. It may only take
/// none for the moment, and those that it works on go on.
const UNREACHABLE_DURATION: Duration = Duration::from_millis(1000);

/// How long an upstream that had no room, and did not say for how long, is avoided.
const FULL_DURATION: Duration = Duration::from_millis(300);

/// How long a box goes by another one's word that an engine is slow; it is told again with
/// each word as long as that box knows it.
const PEER_SLOW_TTL: Duration = Duration::from_millis(1000);

/// How long something that came proves that the upstream behind it is there: a
/// part of the silence after which streams look for the cause (100 ms).
const ACTIVITY_WINDOW: Duration = Duration::from_millis(60);

/// How long an engine's word that it is slow counts; it is asked again when
/// its streams stay slow.
const SLOW_TTL: Duration = Duration::from_secs(3);

/// Weight of the newest answer in the learned time.
const LATENCY_ALPHA: f64 = 0.2;

/// Weight of the newest outcome in the learned share of failures.
const FAILURE_ALPHA: f64 = 0.25;

/// Time over which a learned share of failures fades: an upstream that gets no
/// requests for its failures must be tried again. The users' upstreams fail
/// for some seconds at a time.
const FAILURE_DECAY: Duration = Duration::from_secs(8);

/// How long an upstream that vanished from the list while the store was away
/// may take to come back before it counts as gone; the users' figure.
const MISSING_GRACE: Duration = Duration::from_secs(2);

/// An upstream with what this box has learned of it.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// What it announces.
    pub upstream: Upstream,
    /// Requests of this box that it works on.
    pub inflight: u32,
    /// Those of them that were sent to it; the others it got from an engine
    /// before it in their chain.
    pub head_requests: u32,
    /// Memory that the requests of this box hold there, in tokens times layers.
    pub token_layers: u64,
    /// Learned time of an answer, in seconds; 0 if unknown.
    pub latency_seconds: f64,
    /// Load that it last told: requests running and waiting.
    pub reported_load: Option<(u32, u32)>,
    /// Learned share of requests that failed, at a time.
    failure_rate: (f64, Duration),
    /// When it last had a part in something that came.
    last_activity: Option<Duration>,
    suspect_until: Option<Duration>,
    /// Until when another box's word that it is lost counts.
    peer_suspect_until: Option<Duration>,
    full_until: Option<Duration>,
    /// Until when it gets no new requests, as it took no connection.
    unreachable_until: Option<Duration>,
    /// Until when it gets no request of this box, as it takes no more from all of them.
    blocked_until: Option<Duration>,
    /// What it said in its answers.
    pub(crate) notice: UpstreamNotice,
    slow: Option<(f64, Duration)>,
    /// Other boxes' word on that, and until when it counts.
    peer_slow: Option<(f64, Duration)>,
    pub(crate) missing_since: Option<Duration>,
    /// Seconds of reading that it was given and that were not over at a time.
    prefill_backlog: (f64, Duration),
}

impl UpstreamState {
    /// Whether it may be used at `now`.
    pub fn is_usable(&self, now: Duration) -> bool {
        !self.is_leaving() && !self.is_missing() && !self.is_suspect(now)
    }

    /// Whether requests may go to it at `now`.
    pub fn takes_requests(&self, now: Duration) -> bool {
        self.is_usable(now) && self.backoff(now).is_none() && !self.is_unreachable(now)
    }

    /// Whether it is leaving, as its entry or its answers say.
    pub fn is_leaving(&self) -> bool {
        self.upstream.leaving || self.notice.is_leaving()
    }

    /// Whether its entry vanished while the store was away, so that it may have left.
    pub fn is_missing(&self) -> bool {
        self.missing_since.is_some()
    }

    /// Whether it failed a short while ago.
    pub fn is_suspect(&self, now: Duration) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    /// Whether it took no connection a moment ago; it may still work on what it has.
    pub fn is_unreachable(&self, now: Duration) -> bool {
        self.unreachable_until.is_some_and(|until| now < until)
    }

    /// Factor on the time of its work, as it told lately; 1 if it told nothing.
    pub fn slowness(&self, now: Duration) -> f64 {
        let told = [self.slow, self.peer_slow].into_iter().flatten();
        let counting = told.filter(|(_, until)| now < *until);
        counting.map(|(factor, _)| factor).fold(1.0, f64::max)
    }

    /// Factor on the time of its work by its own word to this box, if it is slow.
    pub fn own_slowness(&self, now: Duration) -> Option<f64> {
        let told = self.slow.filter(|(_, until)| now < *until);
        told.map(|(factor, _)| factor).filter(|f| *f > 1.0)
    }

    /// Learned share of requests that failed lately, 0 to 1.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let (share, at) = self.failure_rate;
        let age = now.saturating_sub(at).as_secs_f64();
        share * (-age / FAILURE_DECAY.as_secs_f64()).exp()
    }

    /// What this box has on it.
    pub fn usage(&self, now: Duration) -> Usage {
        Usage {
            requests: self.inflight,
            head_requests: self.head_requests,
            token_layers: self.token_layers.try_into().unwrap_or(u32::MAX),
            prefill_ms: (self.prefill_backlog(now) * 1e3) as u32,
        }
    }

    /// Seconds for which it has prompts of this box to read.
    pub fn prefill_backlog(&self, now: Duration) -> f64 {
        let (seconds, at) = self.prefill_backlog;
        (seconds - now.saturating_sub(at).as_secs_f64()).max(0.0)
    }

    /// Whether it had a part in something that came less than `HEARD_TIME` ago.
    pub fn is_active(&self, now: Duration) -> bool {
        self.last_activity
            .is_some_and(|at| now < at + ACTIVITY_WINDOW)
    }

    /// When it last had a part in something that came.
    pub fn last_activity(&self) -> Option<Duration> {
        self.last_activity
    }

    /// Whether another box has said lately that it is lost.
    pub fn is_peer_suspect(&self, now: Duration) -> bool {
        self.peer_suspect_until.is_some_and(|until| now < until) && !self.is_active(now)
    }

    /// How much longer it wants nothing from this box, by its own word.
    pub fn backoff(&self, now: Duration) -> Option<Duration> {
        self.notice.backoff(now)
    }

    /// How much longer nothing is to be sent to it, as it takes no more requests from all
    /// boxes together. It may still be led to by other engines.
    pub fn blocked_for(&self, now: Duration) -> Option<Duration> {
        let left = self.blocked_until?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether it had no room a moment ago.
    pub fn is_full(&self, now: Duration) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// An upstream that nothing is known of but what it says.
    pub(crate) fn new(upstream: Upstream, notice: UpstreamNotice) -> Self {
        UpstreamState {
            upstream,
            inflight: 0,
            head_requests: 0,
            token_layers: 0,
            latency_seconds: 0.0,
            failure_rate: (0.0, Duration::ZERO),
            reported_load: None,
            last_activity: None,
            suspect_until: None,
            peer_suspect_until: None,
            full_until: None,
            unreachable_until: None,
            blocked_until: None,
            notice,
            slow: None,
            peer_slow: None,
            missing_since: None,
            prefill_backlog: (0.0, Duration::ZERO),
        }
    }

    /// What is known once the upstream has started anew: what runs there ends as it was
    /// counted; what its start before did says nothing of it.
    pub(crate) fn after_restart(&self, upstream: Upstream) -> Self {
        UpstreamState {
            inflight: self.inflight,
            head_requests: self.head_requests,
            token_layers: self.token_layers,
            ..UpstreamState::new(upstream, self.notice.after_restart())
        }
    }

    /// Notes that its entry vanished while the store was away.
    pub(crate) fn mark_missing(&mut self, now: Duration) {
        self.missing_since.get_or_insert(now);
    }

    /// Whether it vanished and did not come back in time.
    pub(crate) fn is_expired(&self, now: Duration) -> bool {
        self.missing_since
            .is_some_and(|at| now >= at + MISSING_GRACE)
    }

    pub(crate) fn begin_request(&mut self, tokens: u64) {
        self.inflight += 1;
        self.token_layers += tokens;
    }

    pub(crate) fn end_request(&mut self, tokens: u64) {
        self.inflight = self.inflight.saturating_sub(1);
        self.token_layers = self.token_layers.saturating_sub(tokens);
    }

    pub(crate) fn note_prefill(&mut self, now: Duration, seconds: f64) {
        self.prefill_backlog = (self.prefill_backlog(now) + seconds, now);
    }

    pub(crate) fn record_latency(&mut self, now: Duration, took: Duration) {
        let seconds = took.as_secs_f64();
        self.latency_seconds = match self.latency_seconds {
            0.0 => seconds,
            old => old + LATENCY_ALPHA * (seconds - old),
        };
        self.failure_rate = (self.failure_rate(now) * (1.0 - FAILURE_ALPHA), now);
        self.suspect_until = None;
    }

    pub(crate) fn record_failure(&mut self, now: Duration) {
        let share = self.failure_rate(now);
        self.failure_rate = (share + FAILURE_ALPHA * (1.0 - share), now);
    }

    pub(crate) fn note_activity(&mut self, now: Duration) {
        self.last_activity = Some(now);
    }

    pub(crate) fn note_peer_suspect(&mut self, now: Duration) {
        self.peer_suspect_until = Some(now + PEER_SUSPECT_TTL);
    }

    /// Returns true if that is new.
    pub(crate) fn mark_suspect(&mut self, now: Duration) -> bool {
        let new = !self.is_suspect(now);
        self.suspect_until = Some(now + SUSPECT_DURATION);
        new
    }

    pub(crate) fn note_unreachable(&mut self, now: Duration) {
        self.unreachable_until = Some(now + UNREACHABLE_DURATION);
    }

    pub(crate) fn block(&mut self, now: Duration, time: Duration) {
        self.blocked_until = Some(now.saturating_add(time));
    }

    pub(crate) fn unblock(&mut self) {
        self.blocked_until = None;
    }

    pub(crate) fn note_full(&mut self, now: Duration) {
        self.full_until = Some(now + FULL_DURATION);
    }

    pub(crate) fn note_peer_slow(&mut self, now: Duration, factor: f64) {
        self.peer_slow = Some((factor, now + PEER_SLOW_TTL));
    }

    /// Returns true if that is news.
    pub(crate) fn note_slow(&mut self, now: Duration, factor: f64) -> bool {
        let before = self.slowness(now);
        self.slow = Some((factor, now + SLOW_TTL));
        (factor - before).abs() > 0.5
    }

    pub(crate) fn note_stale(&mut self, now: Duration) {
        self.suspect_until = self.suspect_until.max(Some(now + STALE_DURATION));
    }
}
