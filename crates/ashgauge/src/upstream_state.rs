//! What a box has learned about one upstream by using it.
//!
//! This state is for requests that are handed on as a whole. [`crate::upstream_stats`] is for
//! those that a [`Node`](crate::node::Node) runs stage by stage.

use std::time::Duration;

use crate::load_report::Usage;
use crate::notice::UpstreamNotice;
use crate::upstream::Upstream;

/// How long an upstream that failed is excluded before it is tried again.
///
/// This is longer than the platform takes to drop the entry of an upstream that is gone
/// (three heartbeats of about a second), so a dead one is tried at most once.
const SUSPECT_DURATION: Duration = Duration::from_secs(4);

/// How long another box's report that an upstream is lost counts. That box repeats it in
/// each of its load reports for as long as it considers the upstream lost.
const PEER_SUSPECT_TTL: Duration = Duration::from_millis(1000);

/// How long an engine that does not hold what it announces is excluded; its entry is
/// renewed within about a second.
const STALE_DURATION: Duration = Duration::from_millis(1000);

/// How long an upstream that refused a connection gets no new requests. The refusal may be
/// temporary, and the requests that the upstream works on continue.
const UNREACHABLE_DURATION: Duration = Duration::from_millis(1000);

/// How long an upstream is avoided that had no capacity and named no time.
const FULL_DURATION: Duration = Duration::from_millis(300);

/// How long another box's report that an engine is slow counts. That box repeats it in each
/// of its load reports for as long as it holds.
const PEER_SLOW_TTL: Duration = Duration::from_millis(1000);

/// How long an event proves that the upstreams behind it are alive: a part of the silence
/// after which streams check their engines (100 ms).
const ACTIVITY_WINDOW: Duration = Duration::from_millis(60);

/// How long an engine's own report that it is slow counts; it is queried again if its
/// streams stay slow.
const SLOW_TTL: Duration = Duration::from_secs(3);

/// How long a broken run counts towards the end of its upstream. The platform drops the entry of
/// an upstream that has ended within this time.
const BROKEN_RUN_TTL: Duration = Duration::from_secs(4);

/// Maximum number of broken runs that are kept.
const MAX_BROKEN_RUNS: usize = 256;

/// Weight of the newest answer in the average latency.
const LATENCY_ALPHA: f64 = 0.2;

/// Weight of the newest outcome in the average failure rate.
const FAILURE_ALPHA: f64 = 0.25;

/// Time constant with which the failure rate decays. Without the decay an upstream that
/// gets no requests because of its failures would never be tried again. In the target
/// deployments upstreams fail for some seconds at a time.
const FAILURE_DECAY: Duration = Duration::from_secs(8);

/// How long an upstream that disappeared from the list during an outage of the store may
/// take to come back before it is removed; users specified this value.
const MISSING_GRACE: Duration = Duration::from_secs(2);

/// An upstream with what this box has learned about it.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// What it announces in its entry.
    pub upstream: Upstream,
    /// Requests of this box that are running on it.
    pub inflight: u32,
    /// Requests among them that this box sent to it directly; the others came from the
    /// preceding engine of their chain.
    pub head_requests: u32,
    /// Memory that the requests of this box hold there, in tokens times layers.
    pub token_layers: u64,
    /// Average latency of an answer, in seconds; 0 if unknown.
    pub latency_seconds: f64,
    /// Load that it last reported: requests running and waiting.
    pub reported_load: Option<(u32, u32)>,
    /// Average share of requests that failed, and when it was updated.
    failure_rate: (f64, Duration),
    /// When the last event arrived that it took part in.
    last_activity: Option<Duration>,
    /// When runs of this box on it broke, since it last answered.
    broken_runs: Vec<Duration>,
    /// Until when it is excluded, because it was marked as suspect or does not hold what it
    /// announces.
    suspect_until: Option<Duration>,
    /// Until when another box's report that it is lost counts.
    peer_suspect_until: Option<Duration>,
    full_until: Option<Duration>,
    /// Until when it gets no new requests, because it refused a connection.
    unreachable_until: Option<Duration>,
    /// Until when it gets no requests of this box, because it accepts no more from all
    /// boxes together.
    blocked_until: Option<Duration>,
    /// What it announced in its answers.
    pub(crate) notice: UpstreamNotice,
    /// Slowness factor that it reported to this box, and until when that counts.
    own_slow: Option<(f64, Duration)>,
    /// Slowness factor that it reported to other boxes, and until when that counts.
    peer_slow: Option<(f64, Duration)>,
    pub(crate) missing_since: Option<Duration>,
    /// Seconds of prompts left to read at a point in time, and that time.
    prefill_backlog: (f64, Duration),
}

impl UpstreamState {
    /// Returns whether it is neither leaving, missing nor suspect; see
    /// [`UpstreamState::accepts_requests`] for new requests.
    pub fn is_usable(&self, now: Duration) -> bool {
        !self.is_leaving() && !self.is_missing() && !self.is_suspect(now)
    }

    /// Returns whether it may get new requests at `now`.
    pub fn accepts_requests(&self, now: Duration) -> bool {
        self.is_usable(now) && self.backoff(now).is_none() && !self.is_unreachable(now)
    }

    /// Returns whether it is leaving, according to its entry or its answers.
    pub fn is_leaving(&self) -> bool {
        self.upstream.leaving || self.notice.is_leaving()
    }

    /// Returns whether its entry disappeared during an outage of the store, so that it may
    /// have left.
    pub fn is_missing(&self) -> bool {
        self.missing_since.is_some()
    }

    /// Returns whether it is excluded for now, because it was marked as suspect or does not
    /// hold what it announces.
    pub fn is_suspect(&self, now: Duration) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    /// Returns whether it refused a connection a moment ago; it may still work on the
    /// requests that it has.
    pub fn is_unreachable(&self, now: Duration) -> bool {
        self.unreachable_until.is_some_and(|until| now < until)
    }

    /// Returns the slowness factor that it reported lately to any box; 1 if it reported
    /// none.
    pub fn slowness(&self, now: Duration) -> f64 {
        let reported = [self.own_slow, self.peer_slow].into_iter().flatten();
        let valid = reported.filter(|(_, until)| now < *until);
        valid.map(|(factor, _)| factor).fold(1.0, f64::max)
    }

    /// Returns the slowness factor that it reported to this box, if it is slow.
    pub fn own_slowness(&self, now: Duration) -> Option<f64> {
        let reported = self.own_slow.filter(|(_, until)| now < *until);
        reported.map(|(factor, _)| factor).filter(|f| *f > 1.0)
    }

    /// Returns the recent share of requests that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let (share, at) = self.failure_rate;
        let age = now.saturating_sub(at).as_secs_f64();
        share * (-age / FAILURE_DECAY.as_secs_f64()).exp()
    }

    /// Returns how much of it the requests of this box use.
    pub fn usage(&self, now: Duration) -> Usage {
        Usage {
            requests: self.inflight,
            head_requests: self.head_requests,
            token_layers: self.token_layers.try_into().unwrap_or(u32::MAX),
            prefill_ms: (self.prefill_backlog(now) * 1e3) as u32,
        }
    }

    /// Returns the seconds that it still needs to read the prompts of this box.
    pub fn prefill_backlog(&self, now: Duration) -> f64 {
        let (seconds, at) = self.prefill_backlog;
        (seconds - now.saturating_sub(at).as_secs_f64()).max(0.0)
    }

    /// Returns whether an event that it took part in arrived within the last
    /// `ACTIVITY_WINDOW`.
    pub fn is_active(&self, now: Duration) -> bool {
        self.last_activity
            .is_some_and(|at| now < at + ACTIVITY_WINDOW)
    }

    /// Returns whether an event that it took part in was sent after `at`. An event may be read some
    /// time after it was sent.
    pub fn was_active_after(&self, at: Duration) -> bool {
        self.last_activity
            .is_some_and(|activity| activity > at + ACTIVITY_WINDOW)
    }

    /// Returns how many runs of this box on it broke lately, since it last answered.
    pub fn broken_runs(&self, now: Duration) -> u32 {
        let recent = |at: &&Duration| now < **at + BROKEN_RUN_TTL;
        self.broken_runs.iter().filter(recent).count() as u32
    }

    /// Returns when the last event arrived that it took part in.
    pub fn last_activity(&self) -> Option<Duration> {
        self.last_activity
    }

    /// Returns whether another box recently reported it as lost.
    pub fn is_peer_suspect(&self, now: Duration) -> bool {
        self.peer_suspect_until.is_some_and(|until| now < until) && !self.is_active(now)
    }

    /// Returns for how much longer it wants no requests from this box, as it asked.
    pub fn backoff(&self, now: Duration) -> Option<Duration> {
        self.notice.backoff(now)
    }

    /// Returns for how much longer nothing may be sent to it, because it accepts no more
    /// requests from all boxes together. Other engines may still pass requests on to it.
    pub fn blocked_for(&self, now: Duration) -> Option<Duration> {
        let left = self.blocked_until?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether it had no capacity a moment ago.
    pub fn is_full(&self, now: Duration) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Creates the state of an upstream that has not been used yet.
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
            broken_runs: Vec::new(),
            suspect_until: None,
            peer_suspect_until: None,
            full_until: None,
            unreachable_until: None,
            blocked_until: None,
            notice,
            own_slow: None,
            peer_slow: None,
            missing_since: None,
            prefill_backlog: (0.0, Duration::ZERO),
        }
    }

    /// Returns the state after a restart of the upstream. The requests that are counted on
    /// it are kept until they end; what was learned about the previous instance is dropped.
    pub(crate) fn after_restart(&self, upstream: Upstream) -> Self {
        UpstreamState {
            inflight: self.inflight,
            head_requests: self.head_requests,
            token_layers: self.token_layers,
            ..UpstreamState::new(upstream, self.notice.after_restart())
        }
    }

    /// Records that its entry disappeared during an outage of the store.
    pub(crate) fn mark_missing(&mut self, now: Duration) {
        self.missing_since.get_or_insert(now);
    }

    /// Returns whether it has been missing for longer than the grace period.
    pub(crate) fn is_expired(&self, now: Duration) -> bool {
        self.missing_since
            .is_some_and(|at| now >= at + MISSING_GRACE)
    }

    pub(crate) fn begin_request(&mut self, token_layers: u64) {
        self.inflight += 1;
        self.token_layers += token_layers;
    }

    pub(crate) fn end_request(&mut self, token_layers: u64) {
        self.inflight = self.inflight.saturating_sub(1);
        self.token_layers = self.token_layers.saturating_sub(token_layers);
    }

    pub(crate) fn note_prefill(&mut self, now: Duration, seconds: f64) {
        self.prefill_backlog = (self.prefill_backlog(now) + seconds, now);
    }

    pub(crate) fn record_latency(&mut self, now: Duration, took: Duration) {
        let sample = took.as_secs_f64();
        self.latency_seconds = match self.latency_seconds {
            0.0 => sample,
            old => old + LATENCY_ALPHA * (sample - old),
        };
        self.failure_rate = (self.failure_rate(now) * (1.0 - FAILURE_ALPHA), now);
        self.suspect_until = None;
        self.broken_runs.clear();
    }

    pub(crate) fn record_failure(&mut self, now: Duration) {
        let share = self.failure_rate(now);
        self.failure_rate = (share + FAILURE_ALPHA * (1.0 - share), now);
    }

    pub(crate) fn note_broken_run(&mut self, now: Duration) {
        self.broken_runs.retain(|at| now < *at + BROKEN_RUN_TTL);
        self.broken_runs.truncate(MAX_BROKEN_RUNS - 1);
        self.broken_runs.push(now);
    }

    pub(crate) fn note_activity(&mut self, now: Duration) {
        self.last_activity = Some(now);
    }

    pub(crate) fn note_peer_suspect(&mut self, now: Duration) {
        self.peer_suspect_until = Some(now + PEER_SUSPECT_TTL);
    }

    /// Excludes it for some time; returns whether it was not suspect before.
    pub(crate) fn mark_suspect(&mut self, now: Duration) -> bool {
        let new = !self.is_suspect(now);
        self.suspect_until = Some(now + SUSPECT_DURATION);
        new
    }

    /// Clears that it was marked as suspect, or as unreachable, at `since` or later.
    pub(crate) fn clear_suspect(&mut self, since: Duration) {
        self.suspect_until = self
            .suspect_until
            .filter(|until| *until < since + SUSPECT_DURATION);
        self.unreachable_until = self
            .unreachable_until
            .filter(|until| *until < since + UNREACHABLE_DURATION);
    }

    pub(crate) fn note_unreachable(&mut self, now: Duration) {
        self.unreachable_until = Some(now + UNREACHABLE_DURATION);
    }

    pub(crate) fn block(&mut self, now: Duration, duration: Duration) {
        self.blocked_until = Some(now.saturating_add(duration));
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

    /// Records a slowness factor; returns whether it changed notably.
    pub(crate) fn note_slow(&mut self, now: Duration, factor: f64) -> bool {
        let before = self.slowness(now);
        self.own_slow = Some((factor, now + SLOW_TTL));
        (factor - before).abs() > 0.5
    }

    pub(crate) fn note_stale(&mut self, now: Duration) {
        self.suspect_until = self.suspect_until.max(Some(now + STALE_DURATION));
    }
}
