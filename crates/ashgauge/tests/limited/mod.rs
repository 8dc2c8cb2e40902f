//! A fleet in virtual time before one upstream that names a limit, and the users' rule.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use ashgauge::load_report;
use ashgauge::member::BoxId;
use ashgauge::permit::{
    Issuer, PermitBuckets, SkippedBoxes, UpstreamLimits, Verdict, block_time, choose_issuer,
    issuer_order, issuer_rank,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The upstream in need.
pub const ID: &str = "e1";

/// The users' window, and the time in which a limit is to be heard of.
pub const WINDOW: f64 = 4.0;
pub const CONTACT: f64 = 3.0;

/// Time for which a box that was told something does not count yet.
pub const EXCUSED: f64 = 0.5;

/// When the limit is first named, and when a run ends.
pub const NAMED: f64 = 2.0;
pub const END: f64 = 30.0;

/// From a request's arrival to its answer.
pub const ANSWER: f64 = 0.08;

/// For the answer to an ask.
pub const REPLY: f64 = 0.04;

/// How long a box that was heard counts as there.
pub const HEARD: f64 = 2.0;

/// What befalls a box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Kill,
    Freeze,
    Cut,
}

/// A fault of one box, with when it begins and ends.
pub type Trouble = (usize, Fault, f64, f64);

#[derive(Clone, Debug)]
pub struct Run {
    pub boxes: usize,
    /// Requests a second that want to go to the upstream.
    pub demand: f64,
    /// Part of the boxes that have such requests.
    pub spread: f64,
    /// Rates that the upstream names, each with when; none of it when the limit ends.
    pub rates: Vec<(f64, Option<f64>)>,
    pub troubles: Vec<Trouble>,
    /// Part of the datagrams that are lost.
    pub lossy: f64,
    pub seed: u64,
}

#[derive(Default)]
pub struct Node {
    limits: UpstreamLimits,
    grants: PermitBuckets,
    passed: SkippedBoxes,
    closed: f64,
    told: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    Wanted(usize),
    Asked {
        from: usize,
        to: usize,
        ask: u64,
    },
    Replied {
        to: usize,
        ask: u64,
        verdict: Verdict,
    },
    Late {
        by: usize,
        giver: usize,
        ask: u64,
        again: bool,
    },
    Arrived {
        from: usize,
        sent: f64,
        knew: bool,
    },
    Answered {
        to: usize,
        sent: f64,
        rate: Option<f64>,
    },
    Words(usize),
}

/// A request that reached the upstream.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub time: f64,
    pub from: usize,
    /// Whether its box knew of a limit when it sent it.
    pub knew: bool,
}

pub struct World {
    pub run: Run,
    pub names: Vec<BoxId>,
    pub order: Vec<BoxId>,
    pub nodes: Vec<Node>,
    pub events: BinaryHeap<(Reverse<u64>, u64)>,
    pub payloads: Vec<Event>,
    /// The box that each ask went to.
    pub open: HashMap<u64, usize>,
    pub arrivals: Vec<Arrival>,
    pub rng: SmallRng,
    pub asks: u64,
    pub now: f64,
}

pub fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

impl World {
    pub fn new(run: &Run) -> Self {
        let names: Vec<BoxId> = (0..run.boxes).map(|n| format!("b{n}").into()).collect();
        // In a large fleet a few boxes give permits.
        let all = if run.boxes > 40 {
            &names[..10]
        } else {
            &names[..]
        };
        World {
            order: issuer_order(load_report::upstream_key(ID), all),
            nodes: names.iter().map(|_| Node::default()).collect(),
            names,
            run: run.clone(),
            events: BinaryHeap::new(),
            payloads: Vec::new(),
            open: Default::default(),
            arrivals: Vec::new(),
            rng: SmallRng::seed_from_u64(run.seed),
            asks: 0,
            now: 0.0,
        }
    }

    fn push(&mut self, time: f64, event: Event) {
        self.payloads.push(event);
        let number = self.payloads.len() as u64 - 1;
        self.events.push((Reverse((time * 1e6) as u64), number));
    }

    fn delay(&mut self) -> f64 {
        self.rng.random_range(0.0005..0.003)
    }

    fn is(&self, n: usize, fault: Fault) -> bool {
        let mut all = self.run.troubles.iter();
        all.any(|(b, f, from, to)| *b == n && *f == fault && *from <= self.now && self.now < *to)
    }

    fn is_up(&self, n: usize) -> bool {
        !self.is(n, Fault::Kill) && !self.is(n, Fault::Freeze)
    }

    /// Whether datagrams and requests between a box and anything else get through.
    fn reaches(&self, n: usize) -> bool {
        self.is_up(n) && !self.is(n, Fault::Cut)
    }

    /// Whether `other` told something a short while ago: it was in reach since.
    fn hears(&self, other: usize) -> bool {
        let silent = |t: &&Trouble| t.0 == other && t.2 <= self.now - HEARD && self.now < t.3;
        !self.run.troubles.iter().any(|t| silent(&t))
    }

    fn index(&self, id: &BoxId) -> usize {
        id[1..].parse().unwrap()
    }

    fn rate(&self, time: f64) -> Option<f64> {
        let named = self.run.rates.iter().rfind(|(from, _)| *from <= time);
        named.and_then(|(_, rate)| *rate)
    }

    pub fn play(mut self) -> Self {
        let wanting = ((self.run.boxes as f64 * self.run.spread) as usize).max(1);
        let mut time = 0.0;
        while time < END {
            time += -(1.0 - self.rng.random::<f64>()).ln() / self.run.demand;
            let n = self.rng.random_range(0..wanting);
            self.push(time, Event::Wanted(n));
        }
        let tellers = if self.run.boxes > 40 {
            1
        } else {
            self.run.boxes
        };
        for n in 0..tellers {
            let first = self.rng.random_range(0.0..0.1);
            self.push(first, Event::Words(n));
        }
        let ends: Vec<_> = self.run.troubles.clone();
        while let Some((Reverse(micros), number)) = self.events.pop() {
            let before = self.now;
            self.now = micros as f64 / 1e6;
            for (n, fault, _, to) in &ends {
                if *fault == Fault::Kill && before < *to && *to <= self.now {
                    self.nodes[*n] = Node {
                        told: self.nodes[*n].told,
                        ..Node::default()
                    };
                }
            }
            let event = self.payloads[number as usize];
            self.step(event);
        }
        self
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Wanted(n) => self.want(n),
            Event::Asked { from, to, ask } => self.asked(from, to, ask),
            Event::Replied { to, ask, verdict } => self.replied(to, ask, verdict),
            Event::Late {
                by,
                giver,
                ask,
                again,
            } => {
                if self.open.remove(&ask).is_some() {
                    let (now, id) = (at(self.now), self.names[giver].clone());
                    self.nodes[by].passed.record_miss(now, &id);
                    match again && self.reaches(by) {
                        true => self.ask(by, Some(giver)),
                        false => self.close(by, None),
                    }
                }
            }
            Event::Arrived { from, sent, knew } => {
                let time = self.now;
                self.arrivals.push(Arrival { time, from, knew });
                let rate = self.rate(self.now);
                let to = from;
                self.push(self.now + ANSWER, Event::Answered { to, sent, rate });
            }
            Event::Answered { to, sent, rate } => {
                if !self.reaches(to) {
                    return;
                }
                let now = at(self.now);
                self.nodes[to].limits.record(now, ID, at(sent), rate);
                if rate.is_some() {
                    self.nodes[to].told.get_or_insert(self.now);
                }
            }
            Event::Words(n) => self.tell(n),
        }
    }

    fn want(&mut self, n: usize) {
        if self.reaches(n) && self.now >= self.nodes[n].closed {
            self.ask(n, None);
        }
    }

    /// Asks for a permit if one is needed, and not the box that was `silent`.
    fn ask(&mut self, n: usize, silent: Option<usize>) {
        let (now, key) = (at(self.now), load_report::upstream_key(ID));
        let Some(told) = self.nodes[n]
            .limits
            .report_of(now, key)
            .filter(|t| t.rate.is_some())
        else {
            return self.send(n);
        };
        let boxes = self.run.boxes as u32;
        let hears = |id: &BoxId| self.hears(self.index(id));
        let node = &self.nodes[n];
        let silent = silent.map(|s| self.names[s].clone());
        match choose_issuer(
            now,
            &self.names[n],
            boxes,
            &self.order,
            &node.passed,
            silent.as_ref(),
            hears,
        ) {
            Issuer::Local(place) => {
                let Node { limits, grants, .. } = &mut self.nodes[n];
                let verdict = grants.decide(now, limits, told.key, place);
                self.judge(n, verdict);
            }
            Issuer::Remote(id) => {
                let to = self.index(&id);
                self.asks += 1;
                let ask = self.asks;
                self.open.insert(ask, to);
                let time = self.now + self.delay();
                if !self.rng.random_bool(self.run.lossy) {
                    self.push(time, Event::Asked { from: n, to, ask });
                }
                let (by, again) = (n, silent.is_none());
                self.push(
                    self.now + REPLY,
                    Event::Late {
                        by,
                        giver: to,
                        ask,
                        again,
                    },
                );
            }
        }
    }

    fn asked(&mut self, from: usize, to: usize, ask: u64) {
        if !self.reaches(to) || !self.reaches(from) {
            return;
        }
        let (now, key) = (at(self.now), load_report::upstream_key(ID));
        if let Some(told) = self.nodes[from].limits.report_of(now, key) {
            self.nodes[to].limits.merge(now, &[told]);
        }
        let place = issuer_rank(&self.names[to], &self.order, |id| {
            self.hears(self.index(id))
        });
        let Node { limits, grants, .. } = &mut self.nodes[to];
        let verdict = grants.decide(now, limits, key, place);
        if let Some(told) = self.nodes[to].limits.report_of(now, key) {
            self.nodes[from].limits.merge(now, &[told]);
        }
        let time = self.now + self.delay();
        if !self.rng.random_bool(self.run.lossy) {
            self.push(
                time,
                Event::Replied {
                    to: from,
                    ask,
                    verdict,
                },
            );
        }
    }

    fn replied(&mut self, to: usize, ask: u64, verdict: Verdict) {
        if !self.reaches(to) {
            return;
        }
        let Some(giver) = self.open.remove(&ask) else {
            return;
        };
        let giver = self.names[giver].clone();
        self.nodes[to].passed.record_reply(&giver);
        self.judge(to, verdict);
    }

    fn judge(&mut self, n: usize, verdict: Verdict) {
        match block_time(Some(verdict)) {
            None => self.send(n),
            Some(_) => self.close(n, Some(verdict)),
        }
    }

    fn close(&mut self, n: usize, verdict: Option<Verdict>) {
        let time = block_time(verdict).unwrap_or_default();
        self.nodes[n].closed = self.now + time.as_secs_f64();
    }

    fn send(&mut self, n: usize) {
        let (from, sent) = (n, self.now);
        let time = sent + self.delay();
        let limits = &self.nodes[n].limits;
        let knew = limits.rate(ID).is_some();
        self.push(time, Event::Arrived { from, sent, knew });
    }

    /// One box's words reach all others; in a large fleet those of all, by way of hubs.
    fn tell(&mut self, n: usize) {
        let is_large = self.run.boxes > 40;
        let every = if is_large { 0.7 } else { 0.1 };
        if self.now < END {
            self.push(self.now + every, Event::Words(n));
        }
        let now = at(self.now);
        let mut hub = UpstreamLimits::default();
        let tellers = if is_large {
            0..self.run.boxes
        } else {
            n..n + 1
        };
        for teller in tellers.filter(|t| self.reaches(*t)) {
            hub.merge(now, &self.nodes[teller].limits.reports(now));
        }
        let told = hub.reports(now);
        if told.is_empty() {
            return;
        }
        for other in 0..self.run.boxes {
            if self.reaches(other) && !self.rng.random_bool(self.run.lossy) {
                self.nodes[other].limits.merge(now, &told);
            }
        }
    }

    /// Whether a box was out of touch when it sent, or shortly before.
    fn is_excused(&self, n: usize, time: f64) -> bool {
        let mut all = self.run.troubles.iter();
        all.any(|(b, _, from, to)| *b == n && *from <= time && time < *to + CONTACT)
    }

    /// The first window in which boxes that were told sent more than is allowed.
    pub fn broken(&self) -> Option<String> {
        let counted: Vec<_> = self
            .arrivals
            .iter()
            .filter(|a| !self.is_excused(a.from, a.time))
            .collect();
        for (last, Arrival { time: end, .. }) in counted.iter().enumerate() {
            let Some(rate) = self.rate(*end) else {
                continue;
            };
            let changed = self.run.rates.iter().rfind(|(from, _)| from <= end);
            if changed.is_some_and(|(from, _)| *end < from + CONTACT) {
                continue;
            }
            let was_told = |n: usize| self.nodes[n].told.is_some_and(|t| t <= end - EXCUSED);
            let window = counted[..=last].iter().rev();
            let window = window.take_while(|a| a.time > end - WINDOW);
            let window: Vec<_> = window.filter(|a| was_told(a.from)).collect();
            // What came before any limit was known is in nobody's hands.
            let knew = window.iter().any(|a| a.knew);
            let (got, allowed) = (window.len() as f64, 1.5 * WINDOW * rate + 5.0);
            if got > allowed && knew {
                return Some(format!("{got} until {end:.2} s, allowed {allowed:.1}"));
            }
        }
        None
    }

    /// Part of what the limit allows that was used between two moments.
    pub fn used(&self, from: f64, to: f64) -> f64 {
        let got = self
            .arrivals
            .iter()
            .filter(|a| from <= a.time && a.time < to);
        let rate = self.rate(from).unwrap();
        got.count() as f64 / (rate * (to - from))
    }
}
