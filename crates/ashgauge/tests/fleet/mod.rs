//! A fleet of boxes in virtual time that lets requests in by the level.

// Each test uses a part of it.
#![allow(dead_code)]

pub mod engines;
pub mod load;
mod result;

use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::class::Class;
use ashgauge::demand::{self, DemandMeter, DemandSource, Traffic};
use ashgauge::estimate::{Estimator, Observation};
use ashgauge::hub;
use ashgauge::level::{self, AdmissionGate, AdmissionLevel};
use ashgauge::load_report::{self, FleetLoad, LoadReport, LoadSum, Scope, Usage};
use ashgauge::pressure::Pressure;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use engines::{BOUND, Begin, CAPACITY, Engines, GROWTH};

/// Seconds between two words of a box.
const TELL: f64 = 0.1;

/// Time between two levels of a box.
const RECKON: Duration = Duration::from_millis(50);

/// Seconds between two levels of a box to which no requests come.
const WATCH: f64 = 0.3;

/// Prompt and answer of a usual request, in tokens.
pub const USUAL: (u32, u32) = (800, 200);

/// Time that callers have.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Name of the one upstream that stands for all engines in words.
const ENGINES: &str = "engines";

/// Name of the service.
pub const SERVICE: &str = "model";

/// Tokens of prompt and answer, by a number from 0 to 1 at random.
pub type Size = fn(f64) -> (u32, u32);

/// Callers of one team on one route.
#[derive(Clone)]
pub struct Caller {
    pub team: u32,
    pub route: u32,
    /// Work that they ask for, as a multiple of what the engines can do.
    pub times: f64,
    /// Boxes by which they enter.
    pub boxes: Range<usize>,
    pub size: Size,
    /// Seconds at which they ask.
    pub span: Range<f64>,
}

/// What fails.
#[derive(Clone)]
pub enum Fault {
    /// Boxes die, with their requests.
    Die(Range<usize>),
    /// Boxes below this one and the others don't hear each other.
    Part(usize),
    /// No box hears another.
    Mute,
    /// All words arrive again.
    Heal,
    /// A box adds this to what it tells.
    Lie(usize, LoadSum),
}

/// A fleet and its load.
#[derive(Clone)]
pub struct Run {
    pub boxes: usize,
    /// Age of words when the next one comes, in seconds.
    pub age: f64,
    pub callers: Vec<Caller>,
    /// Whether refused callers come back once, as they are told.
    pub returns: bool,
    /// Whether the level decides; all requests are let in otherwise.
    pub sheds: bool,
    pub faults: Vec<(f64, Fault)>,
    /// Seconds at which the run ends.
    pub end: f64,
    pub seed: u64,
}

/// One request.
pub struct Seen {
    pub caller: usize,
    pub at: f64,
    pub work: f64,
    pub is_back: bool,
    /// Whether the level let it in.
    pub is_in: bool,
    /// When it ended after a begin in time.
    pub served: Option<f64>,
}

enum Event {
    Ask(usize),
    Return(usize, usize, (u32, u32)),
    End(usize, f64, usize, bool),
    Tell,
    Watch,
    Hear(Rc<Round>),
    Fault(Fault),
}

/// What all boxes told at one time.
struct Round {
    number: u64,
    parts: Vec<Option<LoadSum>>,
    total: LoadSum,
}

#[derive(Default)]
struct Node {
    meter: DemandMeter,
    gate: AdmissionGate,
    estimator: Estimator,
    shares: FleetLoad,
    reckoned: Option<Duration>,
    heard: u64,
    held: f64,
    count: u32,
    lie: Option<LoadSum>,
    is_dead: bool,
}

/// A fleet while it runs.
pub struct World {
    run: Run,
    /// Requests a second of each caller.
    rates: Vec<f64>,
    nodes: Vec<Node>,
    engines: Engines,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    now: Duration,
    rounds: u64,
    round: Option<(Duration, Rc<Round>)>,
    cut: Option<usize>,
    mute: bool,
    rng: SmallRng,
    pub seen: Vec<Seen>,
}

impl World {
    /// Plays a run to its end.
    pub fn play(run: &Run) -> World {
        let rate = |from: &Caller| from.times * CAPACITY / mean_work(from.size);
        let mut world = World {
            rates: run.callers.iter().map(rate).collect(),
            nodes: (0..run.boxes).map(|_| Node::default()).collect(),
            engines: Engines::default(),
            events: BTreeMap::new(),
            count: 0,
            now: Duration::ZERO,
            rounds: 0,
            round: None,
            cut: None,
            mute: false,
            rng: SmallRng::seed_from_u64(run.seed),
            seen: Vec::new(),
            run: run.clone(),
        };
        world.push(0.0, Event::Tell);
        world.push(0.0, Event::Watch);
        for (at, fault) in run.faults.clone() {
            world.push(at, Event::Fault(fault));
        }
        for (n, caller) in run.callers.iter().enumerate() {
            world.push(caller.span.start, Event::Ask(n));
        }
        while let Some(((at, _), event)) = world.events.pop_first() {
            if at.as_secs_f64() >= run.end {
                break;
            }
            world.now = at;
            world.step(event);
        }
        world
    }

    fn push(&mut self, after: f64, event: Event) {
        self.count += 1;
        let at = self.now + Duration::from_secs_f64(after);
        self.events.insert((at, self.count), event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Ask(caller) => self.ask(caller),
            Event::Return(caller, at_box, size) => self.arrive(caller, at_box, size, true),
            Event::End(at_box, memory, seen, in_time) => self.end(at_box, memory, seen, in_time),
            Event::Tell => self.tell(),
            Event::Watch => self.watch(),
            Event::Hear(round) => self.hear(round),
            Event::Fault(fault) => self.fail(fault),
        }
    }

    /// A new request, and the time of the next.
    fn ask(&mut self, caller: usize) {
        let from = self.run.callers[caller].clone();
        if self.now.as_secs_f64() >= from.span.end {
            return;
        }
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap = -draw.ln() / self.rates[caller];
        self.push(gap, Event::Ask(caller));
        let at_box = self.rng.random_range(from.boxes);
        let size = (from.size)(self.rng.random_range(0.0..1.0));
        self.arrive(caller, at_box, size, false);
    }

    fn arrive(&mut self, caller: usize, at_box: usize, size: (u32, u32), is_back: bool) {
        if self.nodes[at_box].is_dead {
            return;
        }
        let from = &self.run.callers[caller];
        let class = Class::new(Some(0), from.route, is_back);
        let (team, work) = (from.team, demand::relative_work(size, USUAL));
        let service = demand::name_key(SERVICE);
        let source = DemandSource {
            service,
            class,
            team: Some(team),
        };
        self.nodes[at_box].meter.record(self.now, source, work);
        self.reckon(at_box);
        let start = self.rng.random_range(0.0..1.0);
        let is_in = !self.run.sheds || self.nodes[at_box].gate.admit(class, team, start);
        self.seen.push(Seen {
            caller,
            at: self.now.as_secs_f64(),
            work,
            is_back,
            is_in,
            served: None,
        });
        if is_in {
            self.begin(at_box, size);
        } else if self.run.returns && !is_back {
            let after = level::retry_after(PATIENCE, self.rng.random_range(0.0..1.0));
            self.push(after.as_secs_f64(), Event::Return(caller, at_box, size));
        }
    }

    fn begin(&mut self, at_box: usize, (prompt, answer): (u32, u32)) {
        let held = |(prompt, answer): (u32, u32)| f64::from(prompt) + f64::from(answer) / 2.0;
        let memory = held((prompt, answer)) / held(USUAL);
        let (stay, in_time) = match self.engines.begin(memory) {
            Begin::InTime(stay) => (stay, true),
            Begin::Late(stay) => (stay, false),
            Begin::Refused => return,
        };
        self.nodes[at_box].held += memory;
        self.nodes[at_box].count += 1;
        let stay = stay * f64::from(answer) / f64::from(USUAL.1);
        let seen = self.seen.len() - 1;
        self.push(stay, Event::End(at_box, memory, seen, in_time));
    }

    fn end(&mut self, at_box: usize, memory: f64, seen: usize, in_time: bool) {
        let node = &mut self.nodes[at_box];
        if node.is_dead {
            return;
        }
        node.held -= memory;
        node.count -= 1;
        node.meter
            .record_completion(self.now, demand::name_key(SERVICE));
        self.engines.end(memory);
        if in_time {
            self.seen[seen].served = Some(self.now.as_secs_f64());
        }
    }

    /// What each box tells at this time arrives when it is as old as words get.
    fn tell(&mut self) {
        let now = self.now;
        let parts = self.nodes.iter_mut().map(|node| node.part(now));
        let parts: Vec<Option<LoadSum>> = parts.collect();
        self.rounds += 1;
        let round = Round {
            number: self.rounds,
            total: add(parts.iter().flatten()),
            parts,
        };
        self.push((self.run.age - TELL).max(0.0), Event::Hear(Rc::new(round)));
        self.push(TELL, Event::Tell);
    }

    /// Levels are reckoned also while no requests arrive, as a relay does.
    fn watch(&mut self) {
        (0..self.nodes.len()).for_each(|n| self.reckon(n));
        self.push(WATCH, Event::Watch);
    }

    /// Takes words in: in a small fleet each box hears each other one, in a large one
    /// each hears the sum of the others by a hub when it needs it.
    fn hear(&mut self, round: Rc<Round>) {
        if self.mute {
            return;
        }
        if !hub::is_full_mesh(self.run.boxes) {
            self.round = Some((self.now, round));
            return;
        }
        let side = |n: usize| self.cut.is_some_and(|cut| n < cut);
        for (n, node) in self.nodes.iter_mut().enumerate() {
            for (from, part) in round.parts.iter().enumerate() {
                if let Some(part) = part.as_ref().filter(|_| from != n && side(from) == side(n)) {
                    let id = format!("box-{from}").into();
                    let word = word(id, Scope::Own, round.number, part.clone());
                    node.shares.apply(self.now, word);
                }
            }
        }
    }

    fn reckon(&mut self, at_box: usize) {
        let (now, node) = (self.now, &mut self.nodes[at_box]);
        if node.reckoned.is_some_and(|at| now < at + RECKON) {
            return;
        }
        node.reckoned = Some(now);
        if let Some((at, round)) = self.round.as_ref().filter(|(_, r)| r.number > node.heard) {
            node.heard = round.number;
            let others = without(&round.total, round.parts[at_box].as_ref());
            let word = word("hub".into(), Scope::Local, round.number, others.truncated());
            node.shares.apply(*at, word);
        }
        let lag = Duration::from_secs_f64(self.run.age);
        node.shares.expire(now, lag);
        let level = node.level(now, self.run.boxes, lag);
        node.gate.set_level(now, level);
    }

    fn fail(&mut self, fault: Fault) {
        match fault {
            Fault::Die(boxes) => {
                for node in &mut self.nodes[boxes] {
                    node.is_dead = true;
                    self.engines.end(node.held);
                }
            }
            Fault::Part(cut) => self.cut = Some(cut),
            Fault::Mute => self.mute = true,
            Fault::Heal => (self.cut, self.mute) = (None, false),
            Fault::Lie(at_box, sum) => self.nodes[at_box].lie = Some(sum),
        }
    }
}

impl Node {
    /// What it tells.
    fn part(&mut self, now: Duration) -> Option<LoadSum> {
        if self.is_dead {
            return None;
        }
        let used = Usage {
            requests: self.count,
            head_requests: self.count,
            token_layers: (self.held * 1e3).max(0.0) as u32,
            prefill_ms: 0,
        };
        let own = LoadSum {
            boxes: 1,
            usage: vec![(load_report::upstream_key(ENGINES), used)],
            suspects: Vec::new(),
            traffic: self.meter.traffic(now).truncated(),
            slow: Vec::new(),
        };
        Some(self.lie.clone().unwrap_or(own))
    }

    /// The level by what it knows; boxes that it does not hear count as those it does.
    fn level(&mut self, now: Duration, boxes: usize, age: Duration) -> Option<AdmissionLevel> {
        let heard = self.shares.boxes() as f64;
        let unheard = self.shares.present_boxes(boxes as f64) / (heard + 1.0);
        let own = self.meter.traffic(now);
        let flows = self.shares.traffic(&own);
        let mut demands = flows.demands_of(demand::name_key(SERVICE));
        for (_, demand) in &mut demands {
            *demand = demand.scaled(unheard);
        }
        let others = self.shares.usage_by_others(ENGINES);
        let held = self.held + f64::from(others.token_layers) / 1e3;
        let pressure = Pressure {
            requests: (f64::from(self.count) + f64::from(others.head_requests)) * unheard,
            memory: held * unheard / BOUND,
            slots: 0.0,
        };
        let known = Observation {
            demands,
            pressure,
            completion_rate: flows.completion_rate(demand::name_key(SERVICE)) * unheard,
            boxes: self.shares.present_boxes(boxes as f64),
            age: age.mul_f64(heard / (heard + 1.0)),
            report_interval: Duration::from_secs_f64(TELL),
            full_slowdown: GROWTH,
        };
        let estimate = self.estimator.estimate(now, &known);
        let allowed = level::allowed_rate(&estimate.pressure, estimate.completion_rate);
        self.estimator.record_allowed_rate(now, allowed);
        AdmissionLevel::new(&estimate.demands, allowed)
    }
}

fn word(from: Arc<str>, scope: Scope, number: u64, sum: LoadSum) -> LoadReport {
    LoadReport {
        from,
        boot: 1,
        sequence: number,
        scope,
        boxes: sum.boxes,
        usage: sum.usage,
        suspects: Vec::new(),
        limits: Vec::new(),
        traffic: sum.traffic,
        slow: Vec::new(),
    }
}

/// The number that stands for the engines in words.
pub fn engines_key() -> load_report::UpstreamKey {
    load_report::upstream_key(ENGINES)
}

/// Mean work of a caller's requests.
fn mean_work(size: Size) -> f64 {
    let draws = (0..1000).map(|n| (f64::from(n) + 0.5) / 1000.0);
    draws
        .map(|draw| demand::relative_work(size(draw), USUAL))
        .sum::<f64>()
        / 1000.0
}

/// What some boxes have together.
fn add<'a>(parts: impl Iterator<Item = &'a LoadSum> + Clone) -> LoadSum {
    let mut used = Usage::default();
    parts
        .clone()
        .flat_map(|p| &p.usage)
        .for_each(|(_, u)| used.add(u));
    LoadSum {
        boxes: parts.clone().map(|p| p.boxes).sum(),
        usage: vec![(load_report::upstream_key(ENGINES), used)],
        suspects: Vec::new(),
        traffic: Traffic::sum(parts.map(|p| &p.traffic)),
        slow: Vec::new(),
    }
}

/// A sum without what one box told of itself.
fn without(sum: &LoadSum, part: Option<&LoadSum>) -> LoadSum {
    let mut rest = sum.clone();
    let Some(part) = part else {
        return rest;
    };
    rest.boxes -= part.boxes;
    rest.traffic = rest.traffic.minus(&part.traffic);
    for ((_, rest), (_, less)) in rest.usage.iter_mut().zip(&part.usage) {
        rest.head_requests = rest.head_requests.saturating_sub(less.head_requests);
        rest.token_layers = rest.token_layers.saturating_sub(less.token_layers);
    }
    rest
}
