//! What a box has learned about each upstream: speed, network delay, queueing and window.
//!
//! These statistics are for a [`Node`](crate::node::Node), which runs each request stage by
//! stage. [`crate::upstream_state`] is for requests that are handed on as a whole.

use std::collections::HashMap;
use std::time::Duration;

use crate::chain::{Edge, Layer};
use crate::member::UpstreamId;

/// Weight of the newest sample in the averages.
const AVERAGE_ALPHA: f64 = 0.1;

/// Gain of the learned network delay. It rises with twice this share of the distance to a
/// higher sample, and falls with a ninth of that for a lower one, so that it settles well above
/// the mean (at the 90 % expectile of the samples).
const LINK_GAIN: f64 = 0.09;

/// Seconds after which the delay of an unused link counts only a third, so that a link that
/// was slow is tried again.
const LINK_DECAY_SECONDS: f64 = 20.0;

/// Ratio of queueing time to run time of a call below which the window grows.
const GROW_QUEUE_RATIO: f64 = 0.5;

/// Ratio above which it shrinks.
const SHRINK_QUEUE_RATIO: f64 = 1.5;

const INITIAL_WINDOW: f64 = 4.0;
const MAX_WINDOW: f64 = 512.0;
const INITIAL_LAYER_SECONDS: f64 = 0.000_2;
const INITIAL_SUSPECT_DURATION: Duration = Duration::from_millis(250);
const MAX_SUSPECT_DURATION: Duration = Duration::from_secs(2);

/// Duration of a call, a stage run or a service call, as the box and the engine measured it.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallTiming {
    /// Time from sending to the answer, by the clock of the box.
    pub round_trip: Duration,
    /// Time that the call waited in the engine.
    pub queued: Duration,
    /// Time that it ran in the engine.
    pub ran: Duration,
    /// Layers that it ran.
    pub layers: u32,
    /// Positions that it ran through these layers.
    pub positions: u32,
}

/// Mean of a duration and its mean deviation, as for retransmission timers (RFC 6298).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DurationEstimate {
    mean: f64,
    deviation: f64,
}

impl DurationEstimate {
    pub(crate) fn record(&mut self, sample: f64) {
        if self.mean == 0.0 {
            *self = DurationEstimate {
                mean: sample,
                deviation: sample / 2.0,
            };
            return;
        }
        self.deviation += 0.25 * ((sample - self.mean).abs() - self.deviation);
        self.mean += 0.125 * (sample - self.mean);
    }

    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns a duration that is seldom exceeded.
    fn upper_bound(&self) -> f64 {
        self.mean + 4.0 * self.deviation
    }
}

/// Statistics of one upstream, as this box sees it.
#[derive(Clone, Debug)]
pub struct UpstreamStats {
    /// Requests of this box that occupy a slot of its window.
    pub inflight: u32,
    window: f64,
    layer_seconds: f64,
    link_seconds: f64,
    queue_ratio: f64,
    single_position: DurationEstimate,
    per_position: DurationEstimate,
    last_answer: Duration,
    suspect_until: Duration,
    failures: u32,
    probing: bool,
    /// Until when it wants no new requests from this box.
    backoff_until: Duration,
}

/// Statistics of all upstreams, as this box sees them.
#[derive(Debug, Default)]
pub struct UpstreamStatsMap {
    by_id: HashMap<UpstreamId, UpstreamStats>,
}

impl Default for UpstreamStats {
    fn default() -> Self {
        UpstreamStats {
            inflight: 0,
            window: INITIAL_WINDOW,
            layer_seconds: INITIAL_LAYER_SECONDS,
            link_seconds: 0.0,
            queue_ratio: 0.0,
            single_position: DurationEstimate::default(),
            per_position: DurationEstimate::default(),
            last_answer: Duration::ZERO,
            suspect_until: Duration::ZERO,
            failures: 0,
            probing: false,
            backoff_until: Duration::ZERO,
        }
    }
}

impl UpstreamStats {
    /// Returns how many requests this box may have on it.
    pub fn window(&self) -> u32 {
        self.window as u32
    }

    /// Returns the learned round-trip delay of the network in seconds, which decays while
    /// the link is unused.
    pub fn link_seconds(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.last_answer).as_secs_f64();
        self.link_seconds * (-idle / LINK_DECAY_SECONDS).exp()
    }

    fn has_capacity(&self, now: Duration) -> bool {
        if now < self.backoff_until {
            return false;
        }
        if self.failures > 0 {
            return now >= self.suspect_until && !self.probing;
        }
        self.inflight < self.window()
    }

    fn record(&mut self, now: Duration, timing: &CallTiming) {
        self.record_speed(timing);
        let link = timing
            .round_trip
            .saturating_sub(timing.queued + timing.ran)
            .as_secs_f64();
        self.record_link(link);
        let ratio = timing.queued.as_secs_f64() / timing.ran.as_secs_f64().max(1e-6);
        self.queue_ratio += AVERAGE_ALPHA * (ratio.min(10.0) - self.queue_ratio);
        self.resize_window();
        self.last_answer = now;
        self.failures = 0;
        self.probing = false;
    }

    /// Records the speed of a call. Calls with one position and with several are measured
    /// separately, as engines run the positions of a call together.
    fn record_speed(&mut self, timing: &CallTiming) {
        let per_layer = timing.ran.as_secs_f64() / f64::from(timing.layers.max(1));
        let round_trip = timing.round_trip.as_secs_f64();
        if timing.positions > 1 {
            self.per_position
                .record(round_trip / f64::from(timing.positions));
        } else if self.single_position.mean == 0.0 {
            self.layer_seconds = per_layer;
        } else {
            self.layer_seconds += AVERAGE_ALPHA * (per_layer - self.layer_seconds);
        }
        if timing.positions <= 1 {
            self.single_position.record(round_trip);
        }
    }

    fn record_link(&mut self, link: f64) {
        if self.link_seconds == 0.0 {
            self.link_seconds = link;
        } else if link > self.link_seconds {
            self.link_seconds += (link - self.link_seconds) * LINK_GAIN * 2.0;
        } else {
            self.link_seconds -= (self.link_seconds - link) * LINK_GAIN / 4.5;
        }
    }

    fn resize_window(&mut self) {
        let full = f64::from(self.inflight) + 1.0 >= self.window;
        if self.queue_ratio < GROW_QUEUE_RATIO && full {
            self.window = (self.window + 1.0 / self.window).min(MAX_WINDOW);
        } else if self.queue_ratio > SHRINK_QUEUE_RATIO {
            self.window = (self.window - 1.0 / self.window).max(1.0);
        }
    }
}

impl UpstreamStatsMap {
    /// Returns the statistics of an upstream, which are created if there are none.
    pub fn get_mut(&mut self, id: &UpstreamId) -> &mut UpstreamStats {
        self.by_id.entry(id.clone()).or_default()
    }

    /// Returns whether the upstream may be given one more request.
    pub fn has_capacity(&self, now: Duration, id: &str) -> bool {
        self.by_id
            .get(id)
            .is_none_or(|stats| stats.has_capacity(now))
    }

    /// Returns whether the last call failed and the pause that follows is not over.
    pub fn is_suspect(&self, now: Duration, id: &str) -> bool {
        self.by_id
            .get(id)
            .is_some_and(|stats| stats.failures > 0 && now < stats.suspect_until)
    }

    /// Returns whether the upstream wants no new requests from this box.
    pub fn is_backing_off(&self, now: Duration, id: &str) -> bool {
        self.by_id
            .get(id)
            .is_some_and(|stats| now < stats.backoff_until)
    }

    /// Records that the upstream wants no new requests from this box for `backoff`.
    pub fn note_backoff(&mut self, now: Duration, id: &UpstreamId, backoff: Duration) {
        let stats = self.get_mut(id);
        stats.backoff_until = stats.backoff_until.max(now.saturating_add(backoff));
    }

    /// Counts a new request on the upstream.
    pub fn acquire(&mut self, id: &UpstreamId) {
        let stats = self.get_mut(id);
        stats.inflight += 1;
        stats.probing = stats.failures > 0;
    }

    /// Counts a request that ended on the upstream.
    pub fn release(&mut self, id: &UpstreamId) {
        let stats = self.get_mut(id);
        stats.inflight = stats.inflight.saturating_sub(1);
        stats.probing = false;
    }

    /// Records the timing of a call that was answered.
    pub fn record(&mut self, now: Duration, id: &UpstreamId, timing: &CallTiming) {
        self.get_mut(id).record(now, timing);
    }

    /// Records a call that failed; the upstream gets no requests for a while.
    pub fn record_failure(&mut self, now: Duration, id: &UpstreamId) {
        let stats = self.get_mut(id);
        let pause = INITIAL_SUSPECT_DURATION * 2u32.saturating_pow(stats.failures.min(10));
        stats.suspect_until = now + pause.min(MAX_SUSPECT_DURATION);
        stats.failures += 1;
        stats.probing = false;
        stats.window = (stats.window / 2.0).max(1.0);
    }

    /// Returns the cost of using the upstream for a range that it holds.
    pub fn edge(&self, now: Duration, id: &UpstreamId, first: Layer, end: Layer) -> Edge {
        let unused = UpstreamStats::default();
        let stats = self.by_id.get(id).unwrap_or(&unused);
        let busy = f64::from(stats.inflight) / stats.window.max(1.0);
        Edge {
            data_centre: 0,
            upstream: id.clone(),
            first,
            end,
            fixed_cost: stats.link_seconds(now),
            layer_cost: stats.layer_seconds * (1.0 + stats.queue_ratio + busy),
        }
    }

    /// Returns the average seconds that a call with one position takes.
    pub fn position_seconds(&self, id: &str) -> f64 {
        self.by_id
            .get(id)
            .map_or(0.0, |stats| stats.single_position.mean)
    }

    /// Returns the time that a call with so many positions seldom exceeds; `None` if nothing
    /// was measured that it could be estimated from.
    pub fn late_after(&self, id: &str, positions: u32) -> Option<Duration> {
        let stats = self.by_id.get(id)?;
        let late = match positions {
            0 | 1 => stats.single_position.upper_bound(),
            n => (stats.per_position.upper_bound() * f64::from(n))
                .max(stats.single_position.upper_bound()),
        };
        (late > 0.0).then(|| Duration::from_secs_f64(late))
    }

    /// Removes upstreams that are no longer listed and have no requests.
    pub fn retain(&mut self, mut listed: impl FnMut(&str) -> bool) {
        self.by_id
            .retain(|id, stats| stats.inflight > 0 || listed(id));
    }

    /// Iterates over all known upstreams, for status and metrics.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamStats)> {
        self.by_id.iter()
    }
}
