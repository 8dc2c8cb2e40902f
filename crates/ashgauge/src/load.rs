//! What a box has learned of each upstream: speed, link, queue and window.

use std::collections::HashMap;
use std::time::Duration;

use crate::chain::{Edge, Layer};
use crate::member::UpstreamId;

/// Weight of the newest sample in the learned times.
const GAIN: f64 = 0.1;

/// Step up of the link estimate when a sample lies above it; the step down is
/// a ninth of it, which settles near the 90th of 100.
const LINK_STEP: f64 = 0.09;

/// Time after which an unused link counts a third of its learned cost, so
/// that one that was slow is tried again.
const LINK_FADE: f64 = 20.0;

/// Share of queueing in an order's engine time under which a window grows.
const QUEUE_LOW: f64 = 0.5;

/// Share above which it shrinks.
const QUEUE_HIGH: f64 = 1.5;

const WINDOW_FIRST: f64 = 4.0;
const WINDOW_MOST: f64 = 512.0;
const LAYER_FIRST: f64 = 0.000_2;
const SUSPECT_FIRST: Duration = Duration::from_millis(250);
const SUSPECT_MOST: Duration = Duration::from_secs(2);

/// Engine's own account of one order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timing {
    /// From sending to the answer, on the box's clock.
    pub total: Duration,
    /// Time that the order waited in the engine.
    pub queued: Duration,
    /// Time that it ran.
    pub ran: Duration,
    /// Layers that it ran.
    pub layers: u32,
    /// Positions that it ran through them.
    pub positions: u32,
}

/// Mean of a time and its mean distance from it, as for retransmission timers
/// (RFC 6298).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Spread {
    mean: f64,
    far: f64,
}

impl Spread {
    pub(crate) fn learn(&mut self, x: f64) {
        if self.mean == 0.0 {
            *self = Spread {
                mean: x,
                far: x / 2.0,
            };
            return;
        }
        self.far += 0.25 * ((x - self.mean).abs() - self.far);
        self.mean += 0.125 * (x - self.mean);
    }

    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// A time that is seldom passed.
    fn late(&self) -> f64 {
        self.mean + 4.0 * self.far
    }
}

/// One upstream as this box sees it.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests of this box that hold a place on it.
    pub held: u32,
    window: f64,
    layer: f64,
    link: f64,
    ratio: f64,
    one: Spread,
    many: Spread,
    seen: Duration,
    until: Duration,
    fails: u32,
    probing: bool,
    /// Until when it wants no new work from this box.
    rest: Duration,
}

/// All upstreams as this box sees them.
#[derive(Debug, Default)]
pub struct Loads {
    map: HashMap<UpstreamId, Load>,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            held: 0,
            window: WINDOW_FIRST,
            layer: LAYER_FIRST,
            link: 0.0,
            ratio: 0.0,
            one: Spread::default(),
            many: Spread::default(),
            seen: Duration::ZERO,
            until: Duration::ZERO,
            fails: 0,
            probing: false,
            rest: Duration::ZERO,
        }
    }
}

impl Load {
    /// Requests that this box may hold on it.
    pub fn window(&self) -> u32 {
        self.window as u32
    }

    /// Learned time of the link both ways, in seconds, faded by disuse.
    pub fn link(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.seen).as_secs_f64();
        self.link * (-idle / LINK_FADE).exp()
    }

    fn is_open(&self, now: Duration) -> bool {
        if now < self.rest {
            return false;
        }
        if self.fails > 0 {
            return now >= self.until && !self.probing;
        }
        self.held < self.window()
    }

    fn learn(&mut self, now: Duration, t: &Timing) {
        self.learn_speed(t);
        let link = t.total.saturating_sub(t.queued + t.ran).as_secs_f64();
        self.learn_link(link);
        let ratio = t.queued.as_secs_f64() / t.ran.as_secs_f64().max(1e-6);
        self.ratio += GAIN * (ratio.min(10.0) - self.ratio);
        self.resize();
        self.seen = now;
        self.fails = 0;
        self.probing = false;
    }

    /// Orders of one position and of many differ in time for one layer, as
    /// engines run the positions of an order together.
    fn learn_speed(&mut self, t: &Timing) {
        let per_layer = t.ran.as_secs_f64() / f64::from(t.layers.max(1));
        let total = t.total.as_secs_f64();
        if t.positions > 1 {
            self.many.learn(total / f64::from(t.positions));
        } else if self.one.mean == 0.0 {
            self.layer = per_layer;
        } else {
            self.layer += GAIN * (per_layer - self.layer);
        }
        if t.positions <= 1 {
            self.one.learn(total);
        }
    }

    fn learn_link(&mut self, link: f64) {
        if self.link == 0.0 {
            self.link = link;
        } else if link > self.link {
            self.link += (link - self.link) * LINK_STEP * 2.0;
        } else {
            self.link -= (self.link - link) * LINK_STEP / 4.5;
        }
    }

    fn resize(&mut self) {
        let full = f64::from(self.held) + 1.0 >= self.window;
        if self.ratio < QUEUE_LOW && full {
            self.window = (self.window + 1.0 / self.window).min(WINDOW_MOST);
        } else if self.ratio > QUEUE_HIGH {
            self.window = (self.window - 1.0 / self.window).max(1.0);
        }
    }
}

impl Loads {
    /// Returns what is known of an upstream.
    pub fn get(&mut self, id: &UpstreamId) -> &mut Load {
        self.map.entry(id.clone()).or_default()
    }

    /// Returns true if the upstream may be given one more request.
    pub fn is_open(&self, now: Duration, id: &str) -> bool {
        self.map.get(id).is_none_or(|l| l.is_open(now))
    }

    /// Returns true if the last call failed and its time out is not over.
    pub fn is_suspect(&self, now: Duration, id: &str) -> bool {
        self.map
            .get(id)
            .is_some_and(|l| l.fails > 0 && now < l.until)
    }

    /// Returns true if the upstream wants no new work from this box.
    pub fn is_resting(&self, now: Duration, id: &str) -> bool {
        self.map.get(id).is_some_and(|l| now < l.rest)
    }

    /// Notes that the upstream wants no new work from this box for so long.
    pub fn note_rest(&mut self, now: Duration, id: &UpstreamId, rest: Duration) {
        let l = self.get(id);
        l.rest = l.rest.max(now.saturating_add(rest));
    }

    /// Counts one more request on the upstream.
    pub fn hold(&mut self, id: &UpstreamId) {
        let l = self.get(id);
        l.held += 1;
        l.probing = l.fails > 0;
    }

    /// Counts one request less.
    pub fn release(&mut self, id: &UpstreamId) {
        let l = self.get(id);
        l.held = l.held.saturating_sub(1);
        l.probing = false;
    }

    /// Learns from an order that was answered.
    pub fn learn(&mut self, now: Duration, id: &UpstreamId, timing: &Timing) {
        self.get(id).learn(now, timing);
    }

    /// Notes that an order failed; the upstream gets nothing for a while.
    pub fn fail(&mut self, now: Duration, id: &UpstreamId) {
        let l = self.get(id);
        let pause = SUSPECT_FIRST * 2u32.saturating_pow(l.fails.min(10));
        l.until = now + pause.min(SUSPECT_MOST);
        l.fails += 1;
        l.probing = false;
        l.window = (l.window / 2.0).max(1.0);
    }

    /// Cost of using the upstream for a range it holds.
    pub fn edge(&self, now: Duration, id: &UpstreamId, first: Layer, end: Layer) -> Edge {
        let fresh = Load::default();
        let l = self.map.get(id).unwrap_or(&fresh);
        let busy = f64::from(l.held) / l.window.max(1.0);
        Edge {
            place: 0,
            upstream: id.clone(),
            first,
            end,
            fixed: l.link(now),
            layer: l.layer * (1.0 + l.ratio + busy),
        }
    }

    /// Seconds that an order of one position takes, as learned.
    pub fn pace(&self, id: &str) -> f64 {
        self.map.get(id).map_or(0.0, |l| l.one.mean)
    }

    /// Time that an order of so many positions seldom takes, as learned;
    /// `None` if nothing was learned of such orders.
    pub fn late(&self, id: &str, positions: u32) -> Option<Duration> {
        let l = self.map.get(id)?;
        let late = match positions {
            0 | 1 => l.one.late(),
            n => (l.many.late() * f64::from(n)).max(l.one.late()),
        };
        (late > 0.0).then(|| Duration::from_secs_f64(late))
    }

    /// Forgets upstreams that are no longer listed and hold nothing.
    pub fn retain(&mut self, mut listed: impl FnMut(&str) -> bool) {
        self.map.retain(|id, l| l.held > 0 || listed(id));
    }

    /// Every upstream known, for status and metrics.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &Load)> {
        self.map.iter()
    }
}
