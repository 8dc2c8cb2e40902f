//! What the decisions of a box cost that hands requests on whole, by engines.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ashgauge::class::Class;
use ashgauge::context::SelectionContext;
use ashgauge::demand::{self, DemandMeter, DemandSource, Traffic};
use ashgauge::estimate::{Estimator, Observation};
use ashgauge::level::{self, AdmissionLevel};
use ashgauge::load_report::{self, FleetLoad, LoadReport, Scope, Usage, UsageList};
use ashgauge::placement::{self, PlacedEngine};
use ashgauge::pressure::{self, Pressure};
use ashgauge::registry::UpstreamRegistry;
use ashgauge::request_size::RequestSize;
use ashgauge::routing::{Accelerator, Model};
use ashgauge::selection;
use ashgauge::upstream::Upstream;
use ashgauge::wan::WanUsage;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::slopes::Point;

/// Engines of one service.
const ENGINES: [usize; 4] = [300, 1000, 3000, 6000];

/// Engines before which a level is reckoned.
const LEVEL_ENGINES: [usize; 5] = [86, 300, 1000, 3000, 6000];

/// Time between two levels.
const RECKON_EVERY: Duration = Duration::from_millis(50);

/// Age of what other boxes told, and time between two of their words.
const AGE: Duration = Duration::from_millis(500);

/// Demands that one word holds at most.
const DEMANDS: u32 = 64;

/// Data centres over which they are spread.
const PLACES: usize = 5;

/// Kinds of accelerators, with their part of a hundred engines.
const CARDS: [(&str, usize); 4] = [("large", 2), ("medium", 8), ("small", 45), ("tiny", 45)];

/// Chains that are chosen, and levels that are reckoned, for one figure.
const CHOICES: u32 = 20;

const MODEL: &str = "model";

/// Milliseconds of a plan for engines that hold nothing, and of one for the same
/// engines at rest.
pub fn plans() -> (Vec<Point>, Vec<Point>) {
    let model = model();
    let (mut first, mut rest) = (Vec::new(), Vec::new());
    for engines in ENGINES {
        let mut seats = seats(engines);
        let began = Instant::now();
        let ranges = placement::plan(&model, &seats);
        first.push((engines as f64, millis(began)));
        for (seat, range) in seats.iter_mut().zip(sorted(ranges)) {
            seat.layers = Some(range.layers);
        }
        let began = Instant::now();
        black_box(placement::plan(&model, &seats));
        rest.push((engines as f64, millis(began)));
    }
    (first, rest)
}

/// Milliseconds of choosing a chain over the whole model for a usual request, and for
/// one with a long prompt, by its own shape.
pub fn chains() -> (Vec<Point>, Vec<Point>) {
    let model = model();
    let long = RequestSize::clamped(4 * model.typical_prompt, model.typical_output, &model);
    let (mut usual, mut shaped) = (Vec::new(), Vec::new());
    for engines in ENGINES {
        usual.push((engines as f64, chain(&model, engines, None)));
        shaped.push((engines as f64, chain(&model, engines, Some(long))));
    }
    (usual, shaped)
}

fn chain(model: &Model, engines: usize, shape: Option<RequestSize>) -> f64 {
    let (pipes, shares, place) = (
        WanUsage::default(),
        FleetLoad::default(),
        Arc::from("place-0"),
    );
    let registry = registry(model, engines);
    let context = SelectionContext {
        size: shape,
        ..context(&registry, &pipes, &shares, &place)
    };
    let (all, mut rng) = (
        selection::all_layers(model.layers),
        SmallRng::seed_from_u64(1),
    );
    let began = Instant::now();
    for _ in 0..CHOICES {
        black_box(selection::select_chain(
            &context,
            model,
            all,
            &[],
            None,
            &mut rng,
        ));
    }
    millis(began) / f64::from(CHOICES)
}

/// Milliseconds of one level: pressure, sums of what boxes tell, and who is let in.
pub fn levels() -> Vec<Point> {
    let model = model();
    LEVEL_ENGINES
        .map(|engines| (engines as f64, level(&model, engines)))
        .to_vec()
}

fn level(model: &Model, engines: usize) -> f64 {
    let (pipes, place) = (WanUsage::default(), Arc::from("place-0"));
    let registry = registry(model, engines);
    let mut shares = FleetLoad::default();
    shares.apply(Duration::from_secs(100), word(&registry));
    let context = context(&registry, &pipes, &shares, &place);
    let own = flows();
    let (mut estimator, mut now) = (Estimator::default(), Duration::ZERO);
    let began = Instant::now();
    for _ in 0..CHOICES {
        let pressure = Pressure::from_context(&context, model);
        let flows = shares.traffic(&own);
        let service = demand::name_key(MODEL);
        let known = Observation {
            demands: flows.demands_of(service),
            pressure,
            completion_rate: flows.completion_rate(service),
            boxes: 2.0,
            age: AGE,
            report_interval: AGE,
            full_slowdown: pressure::full_slowdown(model, registry.iter().map(|e| &e.upstream)),
        };
        now += RECKON_EVERY;
        let estimate = estimator.estimate(now, &known);
        let allowed = level::allowed_rate(&estimate.pressure, estimate.completion_rate);
        estimator.record_allowed_rate(now, allowed);
        black_box(AdmissionLevel::new(&estimate.demands, allowed));
    }
    millis(began) / f64::from(CHOICES)
}

/// What a hub tells of all other boxes.
fn word(registry: &UpstreamRegistry) -> LoadReport {
    let busy = Usage {
        requests: 100,
        head_requests: 20,
        token_layers: 100_000,
        prefill_ms: 10,
    };
    let mut uses: UsageList = registry
        .iter()
        .map(|e| (load_report::upstream_key(&e.upstream.id), busy))
        .collect();
    uses.sort_unstable_by_key(|(key, _)| *key);
    LoadReport {
        from: "hub".into(),
        boot: 1,
        sequence: 1,
        scope: Scope::Local,
        boxes: 984,
        usage: uses,
        suspects: Vec::new(),
        limits: Vec::new(),
        traffic: flows(),
        slow: Vec::new(),
    }
}

/// As many demands as a word holds, of teams of three ranks.
fn flows() -> Traffic {
    let mut meter = DemandMeter::default();
    for n in 0..DEMANDS {
        let source = DemandSource {
            service: demand::name_key(MODEL),
            class: Class::new(Some(n % 3), 0, false),
            team: Some(n),
        };
        meter.record(Duration::ZERO, source, 1.0);
    }
    meter.record_completion(Duration::ZERO, demand::name_key(MODEL));
    meter.traffic(Duration::ZERO)
}

fn registry(model: &Model, engines: usize) -> UpstreamRegistry {
    let seats = seats(engines);
    let ranges = sorted(placement::plan(model, &seats));
    let mut registry = UpstreamRegistry::default();
    for (seat, range) in seats.into_iter().zip(ranges) {
        registry.put(Upstream {
            id: seat.id,
            started_ms: None,
            service: MODEL.into(),
            addr: "10.0.0.1:80".into(),
            data_centre: seat.data_centre,
            slots: 192,
            leaving: false,
            accelerator: Some(seat.accelerator),
            layers: Some(range.layers),
            models: Vec::new(),
        });
    }
    registry
}

fn context<'a>(
    registry: &'a UpstreamRegistry,
    pipes: &'a WanUsage,
    shares: &'a FleetLoad,
    place: &'a Arc<str>,
) -> SelectionContext<'a> {
    SelectionContext {
        registry,
        wan_usage: pipes,
        fleet_load: shares,
        service: MODEL,
        data_centre: place,
        remote_interval: Duration::from_millis(100),
        request_duration: Duration::from_secs(2),
        boxes: 1000.0,
        local_boxes: 200.0,
        simultaneous: false,
        size: None,
        now: Duration::from_secs(100),
    }
}

/// Ranges in the order of the seats.
fn sorted(mut ranges: Vec<placement::Assignment>) -> Vec<placement::Assignment> {
    ranges.sort_by(|a, b| a.id.cmp(&b.id));
    ranges
}

/// Engines in the order of their ids.
fn seats(engines: usize) -> Vec<PlacedEngine> {
    let kinds = CARDS.iter();
    let kinds = kinds.flat_map(|(card, part)| std::iter::repeat_n(*card, *part));
    let kinds: Vec<&str> = kinds.collect();
    let seat = |n: usize| PlacedEngine {
        id: format!("engine-{n:05}").into(),
        data_centre: format!("place-{}", n % PLACES).into(),
        accelerator: kinds[n / PLACES % kinds.len()].into(),
        layers: None,
        movable: true,
    };
    (0..engines).map(seat).collect()
}

fn model() -> Model {
    let card = |memory_mb, step_factor, read_factor| Accelerator {
        memory_mb,
        step_factor,
        prefill_factor: read_factor,
    };
    Model {
        layers: 80,
        layer_mb: 1750.0,
        token_mb: 0.59,
        slots: 192,
        step_time: Duration::from_micros(850),
        step_per_request: Duration::from_nanos(3820),
        event_tokens: 3,
        prefill_rate: 236_000.0,
        load_time: Duration::from_secs(14),
        parallel_loads: 6,
        typical_prompt: 772,
        typical_output: 140,
        activation_mb: 0.0295,
        wan_mb_s: 650.0,
        accelerators: [
            ("large".to_string(), card(72_000.0, 1.4, 1.0)),
            ("medium".to_string(), card(36_000.0, 3.1, 3.2)),
            ("small".to_string(), card(22_000.0, 16.0, 8.2)),
            ("tiny".to_string(), card(14_400.0, 15.0, 15.0)),
        ]
        .into(),
    }
}

fn millis(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}
