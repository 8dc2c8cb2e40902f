//! Long prompts of many boxes, in virtual time.

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

/// Boxes of a data centre.
const HERD: usize = 24;

/// Age of the words that they have of each other.
const AGE: Duration = Duration::from_millis(500);

/// Step of the virtual time; boxes tell each other what they have at each tenth one.
const TICK: Duration = Duration::from_millis(10);

/// Virtual time of a test.
const RUN: Duration = Duration::from_secs(20);

/// A data centre whose boxes choose engines for long prompts.
struct World {
    model: Model,
    shape: RequestSize,
    boxes: Vec<(UpstreamRegistry, FleetLoad)>,
    /// Words on their way: when they arrive, from which box.
    words: VecDeque<(Duration, (usize, LoadReport))>,
    /// When requests end, of which box, on which engine.
    ends: VecDeque<(Duration, (usize, UpstreamId))>,
    /// Seconds for which each engine has prompts to read.
    queues: Vec<f64>,
    /// Requests that each engine got.
    taken: Vec<usize>,
    /// Seconds of reading that each engine got.
    given: Vec<f64>,
    rng: SmallRng,
    now: Duration,
}

/// What is due of a queue in the order of time.
fn take_due<T>(queue: &mut VecDeque<(Duration, T)>, now: Duration) -> Vec<T> {
    let due = queue.partition_point(|(at, _)| *at <= now);
    queue.drain(..due).map(|(_, item)| item).collect()
}

impl World {
    /// Boxes before engines of these kinds, each of which holds the whole model.
    fn new(accelerators: &[&str], seed: u64) -> Self {
        let mut model = model();
        model.layers = 10;
        // Memory is not what spreads them.
        model.token_mb = 0.02;
        let mut registry = UpstreamRegistry::default();
        for (n, accelerator) in accelerators.iter().enumerate() {
            let all = Some(selection::all_layers(model.layers));
            registry.put(engines::upstream(&n.to_string(), "a", accelerator, all, n));
        }
        World {
            shape: RequestSize::clamped(model.typical_prompt * 8, model.typical_output, &model),
            model,
            boxes: (0..HERD)
                .map(|_| (registry.clone(), FleetLoad::default()))
                .collect(),
            words: VecDeque::new(),
            ends: VecDeque::new(),
            queues: vec![0.0; accelerators.len()],
            taken: vec![0; accelerators.len()],
            given: vec![0.0; accelerators.len()],
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::from_secs(100),
        }
    }

    /// Memory that a request holds.
    fn tokens(&self) -> u64 {
        u64::from((self.shape.prompt + self.shape.output / 2) * self.model.layers)
    }

    /// Lets a box choose for a request that arrives there.
    fn arrive(&mut self, at: usize) {
        let tokens = self.tokens();
        let (registry, fleet_load) = &mut self.boxes[at];
        let (wan_usage, data_centre) = (WanUsage::default(), Arc::from("a"));
        let context = SelectionContext {
            remote_interval: AGE,
            boxes: HERD as f64,
            local_boxes: HERD as f64,
            size: Some(self.shape),
            now: self.now,
            ..context(registry, &wan_usage, fleet_load, &data_centre)
        };
        let (model, all) = (&self.model, selection::all_layers(self.model.layers));
        let chain = selection::select_chain(&context, model, all, &[], None, &mut self.rng);
        let id = chain.expect("a chain")[0].upstream.clone();
        let engine = registry.get(&id).expect("an engine");
        let read = cost::prefill_seconds(&context, model, engine, all.len(), self.shape.prompt);
        registry.note_prefill(self.now, &id, read);
        registry.begin_request(&id, tokens);
        registry.begin_head(&id);
        let n: usize = id.parse().expect("a number");
        self.queues[n] += read;
        self.given[n] += read;
        self.taken[n] += 1;
        let end = self.now + Duration::from_secs(2);
        self.ends.push_back((end, (at, id)));
    }

    /// Lets what is due happen: requests end, and words arrive.
    fn settle(&mut self) {
        let (now, tokens) = (self.now, self.tokens());
        for (at, id) in take_due(&mut self.ends, now) {
            self.boxes[at].0.end_request(&id, tokens);
            self.boxes[at].0.end_head(&id);
        }
        for (from, word) in take_due(&mut self.words, now) {
            let others = self.boxes.iter_mut().enumerate();
            for (_, (_, fleet_load)) in others.filter(|(at, _)| *at != from) {
                fleet_load.apply(now, word.clone());
            }
        }
    }

    /// Lets all boxes tell what they have.
    fn tell(&mut self) {
        for (n, (registry, _)) in self.boxes.iter().enumerate() {
            let used =
                |e: &UpstreamState| (load_report::upstream_key(&e.upstream.id), e.usage(self.now));
            let word = LoadReport {
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
            self.words.push_back((self.now + AGE, (n, word)));
        }
    }

    /// Plays `rate` long prompts a second at boxes drawn at random; returns the longest
    /// time that an engine had to read for.
    fn play(&mut self, rate: f64) -> f64 {
        let (mut due, mut longest) = (0.0, 0.0f64);
        let ticks = (RUN.as_millis() / TICK.as_millis()) as usize;
        for tick in 0..ticks {
            self.settle();
            due += rate * TICK.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let at = self.rng.random_range(0..HERD);
                self.arrive(at);
            }
            if tick % 10 == 0 {
                self.tell();
            }
            for queue in &mut self.queues {
                longest = longest.max(*queue);
                *queue = (*queue - TICK.as_secs_f64()).max(0.0);
            }
            self.now += TICK;
        }
        longest
    }

    /// Long prompts a second that keep the engines reading for this part of their time.
    fn rate(&self, part: f64) -> f64 {
        let registry = &self.boxes[0].0;
        let factor = |e: &UpstreamState| {
            let accelerator = e.upstream.accelerator.as_deref().expect("a card");
            1.0 / self.model.accelerators[accelerator].prefill_factor
        };
        let rate: f64 = registry.iter().map(factor).sum();
        part * rate * self.model.prefill_rate / f64::from(self.shape.prompt)
    }

    /// Part of the requests that the busiest engine got.
    fn busiest(&self) -> f64 {
        let most = self.taken.iter().max().copied().unwrap_or(0);
        most as f64 / self.taken.iter().sum::<usize>() as f64
    }
}

/// Guards against a herd: 24 boxes with words of 0.5 s age all send long prompts to one
/// of the engines that read fastest, until they hear of it.
#[test]
fn long_prompts_of_many_boxes_spread() {
    for seed in 0..3 {
        let mut world = World::new(&["large"; 4], seed);
        let longest = world.play(world.rate(0.5));
        let busiest = world.busiest();
        assert!(busiest <= 0.35, "{busiest} of them on one of four alike");
        assert!(longest <= 1.5, "{longest} s to read");
    }
}

/// The same where one engine reads fastest, and 1.55 times as much comes as it can read:
/// without a factor for reading it alone got nearly all.
#[test]
fn long_prompts_of_many_boxes_leave_the_fastest_reader() {
    for seed in 0..3 {
        let mut world = World::new(&["large", "medium", "medium", "medium"], seed);
        let longest = world.play(world.rate(0.8));
        let reads = world.given[0] / RUN.as_secs_f64();
        assert!(reads <= 1.25, "{reads} of its time to read");
        assert!(longest <= 3.5, "{longest} s to read");
    }
}

/// Guards against a burst that no word tells of yet: one long prompt at each of 24 boxes
/// at once is spread over like engines by the jitter alone.
#[test]
fn burst_of_long_prompts_spreads_over_like_engines() {
    let mut world = World::new(&["large"; 4], 1);
    (0..HERD).for_each(|at| world.arrive(at));
    let busiest = world.busiest();
    assert!(busiest <= 0.6, "{busiest} of them on one of four alike");
}
