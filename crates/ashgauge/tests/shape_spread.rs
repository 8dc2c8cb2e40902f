//! Distribution of long prompts of many boxes over engines, simulated in virtual time.

mod engines;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::context::SelectionContext;
use ashgauge::cost;
use ashgauge::load_report::{self, FleetLoad, LoadReport, Scope};
use ashgauge::member::UpstreamId;
use ashgauge::registry::UpstreamRegistry;
use ashgauge::request_size::RequestSize;
use ashgauge::routing::Model;
use ashgauge::selection;
use ashgauge::upstream_state::UpstreamState;
use ashgauge::wan::WanUsage;
use engines::{context, model};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of boxes in the data centre.
const BOXES: usize = 24;

/// Delay of the load reports between boxes.
const AGE: Duration = Duration::from_millis(500);

/// Step of the virtual time. Boxes send load reports at each tenth step.
const TICK: Duration = Duration::from_millis(10);

/// Duration of a simulation.
const SIMULATED_TIME: Duration = Duration::from_secs(20);

/// A data centre whose boxes select engines for long prompts.
struct World {
    model: Model,
    request_size: RequestSize,
    boxes: Vec<(UpstreamRegistry, FleetLoad)>,
    /// Load reports in flight: arrival time, sending box, report.
    reports: VecDeque<(Duration, (usize, LoadReport))>,
    /// Running requests: end time, box, engine.
    running: VecDeque<(Duration, (usize, UpstreamId))>,
    /// Seconds of prefill in each engine's queue.
    queues: Vec<f64>,
    /// Requests that each engine received.
    request_counts: Vec<usize>,
    /// Seconds of prefill that each engine received.
    prefill_seconds: Vec<f64>,
    rng: SmallRng,
    now: Duration,
}

/// Takes the due items of a queue that is ordered by time.
fn take_due<T>(queue: &mut VecDeque<(Duration, T)>, now: Duration) -> Vec<T> {
    let due = queue.partition_point(|(at, _)| *at <= now);
    queue.drain(..due).map(|(_, item)| item).collect()
}

impl World {
    /// Creates boxes and engines with these accelerators; each engine holds the whole model.
    fn new(accelerators: &[&str], seed: u64) -> Self {
        let mut model = model();
        model.layers = 10;
        // Memory is plentiful, so that it does not influence the selection.
        model.token_mb = 0.02;
        let mut registry = UpstreamRegistry::default();
        for (n, accelerator) in accelerators.iter().enumerate() {
            let all = Some(selection::all_layers(model.layers));
            registry.put(engines::upstream(&n.to_string(), "a", accelerator, all, n));
        }
        World {
            request_size: RequestSize::clamped(
                model.typical_prompt * 8,
                model.typical_output,
                &model,
            ),
            model,
            boxes: (0..BOXES)
                .map(|_| (registry.clone(), FleetLoad::default()))
                .collect(),
            reports: VecDeque::new(),
            running: VecDeque::new(),
            queues: vec![0.0; accelerators.len()],
            request_counts: vec![0; accelerators.len()],
            prefill_seconds: vec![0.0; accelerators.len()],
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::from_secs(100),
        }
    }

    /// Memory of a request, in tokens times layers.
    fn tokens(&self) -> u64 {
        u64::from((self.request_size.prompt + self.request_size.output / 2) * self.model.layers)
    }

    /// Lets a box select an engine for a request that arrives there.
    fn receive(&mut self, at: usize) {
        let tokens = self.tokens();
        let (registry, fleet_load) = &mut self.boxes[at];
        let (wan_usage, data_centre) = (WanUsage::default(), Arc::from("a"));
        let context = SelectionContext {
            remote_interval: AGE,
            boxes: BOXES as f64,
            local_boxes: BOXES as f64,
            size: Some(self.request_size),
            now: self.now,
            ..context(registry, &wan_usage, fleet_load, &data_centre)
        };
        let (model, all) = (&self.model, selection::all_layers(self.model.layers));
        let chain = selection::select_chain(&context, model, all, &[], None, &mut self.rng);
        let id = chain.expect("a chain")[0].upstream.clone();
        let engine = registry.get(&id).expect("an engine");
        let prefill =
            cost::prefill_seconds(&context, model, engine, all.len(), self.request_size.prompt);
        registry.note_prefill(self.now, &id, prefill);
        registry.begin_request(&id, tokens);
        registry.begin_head(&id);
        let n: usize = id.parse().expect("a number");
        self.queues[n] += prefill;
        self.prefill_seconds[n] += prefill;
        self.request_counts[n] += 1;
        let end = self.now + Duration::from_secs(2);
        self.running.push_back((end, (at, id)));
    }

    /// Handles due events: requests end, and reports arrive.
    fn handle_due(&mut self) {
        let (now, tokens) = (self.now, self.tokens());
        for (at, id) in take_due(&mut self.running, now) {
            self.boxes[at].0.end_request(&id, tokens);
            self.boxes[at].0.end_head(&id);
        }
        for (from, report) in take_due(&mut self.reports, now) {
            let others = self.boxes.iter_mut().enumerate();
            for (_, (_, fleet_load)) in others.filter(|(at, _)| *at != from) {
                fleet_load.apply(now, report.clone());
            }
        }
    }

    /// Sends the load reports of all boxes.
    fn send_reports(&mut self) {
        for (n, (registry, _)) in self.boxes.iter().enumerate() {
            let used =
                |e: &UpstreamState| (load_report::upstream_key(&e.upstream.id), e.usage(self.now));
            let report = LoadReport {
                from: format!("box-{n}").into(),
                boot: 1,
                sequence: self.now.as_millis() as u64,
                scope: Scope::Own,
                boxes: 1,
                usage: registry.iter().map(used).collect(),
                suspects: Vec::new(),
                limits: Vec::new(),
                traffic: Default::default(),
                slow: Vec::new(),
            };
            self.reports.push_back((self.now + AGE, (n, report)));
        }
    }

    /// Simulates `rate` long prompts per second at random boxes. Returns the longest prefill queue
    /// of an engine, in seconds.
    fn simulate(&mut self, rate: f64) -> f64 {
        let (mut due, mut longest) = (0.0, 0.0f64);
        let ticks = (SIMULATED_TIME.as_millis() / TICK.as_millis()) as usize;
        for tick in 0..ticks {
            self.handle_due();
            due += rate * TICK.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let at = self.rng.random_range(0..BOXES);
                self.receive(at);
            }
            if tick % 10 == 0 {
                self.send_reports();
            }
            for queue in &mut self.queues {
                longest = longest.max(*queue);
                *queue = (*queue - TICK.as_secs_f64()).max(0.0);
            }
            self.now += TICK;
        }
        longest
    }

    /// Long prompts per second that keep the engines busy with prefill for this share of their
    /// time.
    fn rate(&self, share: f64) -> f64 {
        let registry = &self.boxes[0].0;
        let factor = |e: &UpstreamState| {
            let accelerator = e.upstream.accelerator.as_deref().expect("a card");
            1.0 / self.model.accelerators[accelerator].prefill_factor
        };
        let rate: f64 = registry.iter().map(factor).sum();
        share * rate * self.model.prefill_rate / f64::from(self.request_size.prompt)
    }

    /// Share of the requests that the busiest engine received.
    fn busiest(&self) -> f64 {
        let most = self.request_counts.iter().max().copied().unwrap_or(0);
        most as f64 / self.request_counts.iter().sum::<usize>() as f64
    }
}

/// Guards against herding: 24 boxes with load reports 0.5 s old all send long prompts to the
/// same one of the engines with the fastest prefill, until reports show its load.
#[test]
fn long_prompts_of_many_boxes_spread() {
    for seed in 0..3 {
        let mut world = World::new(&["large"; 4], seed);
        let longest = world.simulate(world.rate(0.5));
        let busiest = world.busiest();
        assert!(
            busiest <= 0.35,
            "{busiest} of them on one of four equal engines"
        );
        assert!(longest <= 1.5, "{longest} s of prefill queued");
    }
}

/// The same with one engine that has the fastest prefill, and 1.55 times the prompts that it
/// can process. Without a prefill factor it got nearly all of them.
#[test]
fn long_prompts_of_many_boxes_do_not_overload_the_fastest_engine() {
    for seed in 0..3 {
        let mut world = World::new(&["large", "medium", "medium", "medium"], seed);
        let longest = world.simulate(world.rate(0.8));
        let prefill_share = world.prefill_seconds[0] / SIMULATED_TIME.as_secs_f64();
        assert!(
            prefill_share <= 1.25,
            "{prefill_share} of its time in prefill"
        );
        assert!(longest <= 3.5, "{longest} s of prefill queued");
    }
}

/// Guards against a burst that no report shows yet: one long prompt at each of 24 boxes at
/// once is spread over equal engines by the cost jitter alone.
#[test]
fn burst_of_long_prompts_spreads_over_equal_engines() {
    let mut world = World::new(&["large"; 4], 1);
    (0..BOXES).for_each(|at| world.receive(at));
    let busiest = world.busiest();
    assert!(
        busiest <= 0.6,
        "{busiest} of them on one of four equal engines"
    );
}
