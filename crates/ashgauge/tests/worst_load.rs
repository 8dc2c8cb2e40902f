//! Choices at the worst load: herds after a loss, engines that fill up or read
//! all the time.

mod common;
mod engines;

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::context::SelectionContext;
use ashgauge::cost;
use ashgauge::load_report::FleetLoad;
use ashgauge::member::UpstreamId;
use ashgauge::registry::UpstreamRegistry;
use ashgauge::routing::Accelerator;
use ashgauge::selection;
use ashgauge::upstream::LayerRange;
use ashgauge::upstream_state::UpstreamState;
use ashgauge::wan::WanUsage;
use engines::{BOXES, context, model, twins};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Words of 72 other boxes from before the loss, when these engines had nothing
/// to read.
fn heard_before() -> FleetLoad {
    let mut fleet_load = FleetLoad::default();
    for n in 0..72 {
        let report = common::report(&format!("box-{n}"), Vec::new());
        assert!(fleet_load.apply(Duration::from_secs(100), report));
    }
    fleet_load
}

/// Fleets over which a part is averaged. Engines are looked at in a random order, so that
/// of 300 fleets one sent 37 of 72 streams to one engine where 30 are usual.
const FLEETS: u64 = 20;

/// Boxes of a fleet.
const FLEET_BOXES: u64 = 24;

/// Part of the streams that the busiest of these engines gets on the average if each box of
/// a fleet leads so many streams of a lost engine elsewhere, before any hears of the others.
fn busiest_part(engines: [(&str, &str); 4], streams: usize, together: bool) -> f64 {
    let parts = (0..FLEETS).map(|fleet| {
        let seeds = fleet * FLEET_BOXES..(fleet + 1) * FLEET_BOXES;
        busiest_part_of(seeds, engines, streams, together)
    });
    parts.sum::<f64>() / FLEETS as f64
}

/// The same in one fleet, with a seed for each box.
fn busiest_part_of(
    seeds: Range<u64>,
    engines: [(&str, &str); 4],
    streams: usize,
    together: bool,
) -> f64 {
    let mut model = model();
    model.layers = 10;
    // The fastest kind by steps is not the fastest by reading.
    let kinds = [("writer", 2.4, 3.2), ("reader", 5.6, 2.7)];
    for (name, step_factor, prefill_factor) in kinds {
        let memory_mb = 72_000.0;
        let accelerator = Accelerator {
            memory_mb,
            step_factor,
            prefill_factor,
        };
        model.accelerators.insert(name.into(), accelerator);
    }
    let all = selection::all_layers(model.layers);
    let data_centre: Arc<str> = "a".into();
    let (wan_usage, fleet_load) = (WanUsage::default(), heard_before());
    let mut taken = [0.0; 4];
    for seed in seeds {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut registry = UpstreamRegistry::default();
        for (n, (data_centre, accelerator)) in engines.iter().enumerate() {
            registry.put(engines::upstream(
                &n.to_string(),
                data_centre,
                accelerator,
                Some(all),
                n,
            ));
        }
        for _ in 0..streams {
            let context = SelectionContext {
                simultaneous: together,
                remote_interval: Duration::from_secs(1),
                boxes: 73.0,
                local_boxes: 24.0,
                ..context(&registry, &wan_usage, &fleet_load, &data_centre)
            };
            let chain =
                selection::select_chain(&context, &model, all, &[], None, &mut rng).unwrap();
            let id = chain[0].upstream.clone();
            let (now, entry) = (context.now, registry.get(&id).unwrap());
            let seconds = cost::prefill_seconds(&context, &model, entry, all.len(), 900);
            registry.note_prefill(now, &id, seconds);
            taken[id.parse::<usize>().unwrap()] += 1.0;
        }
    }
    taken.iter().copied().fold(0.0, f64::max) / taken.iter().sum::<f64>()
}

/// The streams of a lost engine once went on over the same one or two others,
/// which read them anew one after the other: pauses of 0.4 s.
#[test]
fn streams_of_a_lost_engine_spread() {
    let engines = [
        ("a", "large"),
        ("a", "medium"),
        ("a", "medium"),
        ("b", "large"),
    ];
    let alone = busiest_part(engines, 3, false);
    assert!(
        alone > 0.9,
        "the load is not what the choice is for: {alone}"
    );
    let together = busiest_part(engines, 3, true);
    assert!(together <= 0.5, "{together} of the streams on one engine");
}

/// The fastest engine writes an answer in less than half of the time of the
/// others, and so once got most of the streams of a lost one; their next event
/// comes as soon from any that has nothing to read.
#[test]
fn streams_of_a_lost_engine_go_where_their_next_event_comes_soonest() {
    let engines = [
        ("a", "writer"),
        ("a", "reader"),
        ("a", "reader"),
        ("a", "reader"),
    ];
    let part = busiest_part(engines, 1, true);
    assert!(part <= 0.5, "{part} of the streams on one engine");
}

/// Requests of a fleet that stay two seconds each, 90 a second: the engine that
/// steps fastest once read 0.69 of its time, and held up all that it led, while the
/// others were idle.
#[test]
fn engine_that_reads_much_leaves_requests_to_others() {
    let mut model = model();
    model.layers = 10;
    model.prefill_rate = 100_000.0;
    let all = selection::all_layers(model.layers);
    let mut registry = UpstreamRegistry::default();
    registry.put(engines::upstream("fast", "a", "large", Some(all), 1));
    for n in 0..4 {
        let id = format!("other-{n}");
        registry.put(engines::upstream(&id, "a", "medium", Some(all), 2 + n));
    }
    let (wan_usage, fleet_load, data_centre) =
        (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let mut rng = SmallRng::seed_from_u64(1);
    let neighbours = BOXES / 3.0;
    for _ in 0..(180.0 / neighbours) as usize {
        let context = context(&registry, &wan_usage, &fleet_load, &data_centre);
        let stages =
            selection::select_chain(&context, &model, all, &[], None, &mut rng).expect("a chain");
        registry.begin_request(&stages[0].upstream, 100 * 10);
    }
    let fast = registry.get("fast").expect("an engine");
    let rate = f64::from(fast.inflight) * neighbours / 2.0;
    let part = rate * f64::from(model.typical_prompt) / model.prefill_rate;
    assert!(part <= 0.5, "it reads {part} of its time");
    assert!(
        part >= 0.2,
        "it is faster than the others, but reads {part} only"
    );
}

/// Chains crossed data centres, each with a prompt's activations over the pipe, to
/// get around an engine that was taken to read all the time.
#[test]
fn chain_does_not_cross_around_an_engine_that_reads_much() {
    let mut model = model();
    model.layers = 10;
    model.prefill_rate = 20_000.0;
    let (first, rest) = (
        LayerRange { first: 0, end: 5 },
        LayerRange { first: 5, end: 10 },
    );
    let mut registry = UpstreamRegistry::default();
    let engines = [("a1", "a", first), ("a2", "a", rest), ("b2", "b", rest)];
    for (n, (id, data_centre, span)) in engines.into_iter().enumerate() {
        registry.put(engines::upstream(id, data_centre, "large", Some(span), n));
    }
    (0..40).for_each(|_| registry.begin_request("a2", 100));
    let (wan_usage, fleet_load, data_centre) =
        (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let context = context(&registry, &wan_usage, &fleet_load, &data_centre);
    let all = selection::all_layers(model.layers);
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let chain =
            selection::select_chain(&context, &model, all, &[], None, &mut rng).expect("a chain");
        assert_eq!(&*chain[1].upstream, "a2");
    }
}

/// The engine that gets a request where a fast one is four fifths full and a slow
/// one idle; so many engines hold the layers behind theirs.
fn chosen_when_filling(copies: usize, seed: u64) -> UpstreamId {
    let mut model = model();
    model.layers = 10;
    let (first, rest) = (
        LayerRange { first: 0, end: 5 },
        LayerRange { first: 5, end: 10 },
    );
    let mut registry = UpstreamRegistry::default();
    registry.put(engines::upstream("fast", "a", "large", Some(first), 1));
    registry.put(engines::upstream("slow", "a", "small", Some(first), 2));
    for n in 0..copies {
        let id = format!("rest-{n}");
        registry.put(engines::upstream(&id, "a", "large", Some(rest), 3 + n));
    }
    let neighbours = BOXES / 3.0;
    let fast = registry.get("fast").expect("an engine");
    let used = cost::memory_capacity(&model, fast, first) * 0.8 / neighbours;
    registry.begin_request("fast", used as u64);
    let (wan_usage, fleet_load, data_centre) =
        (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let context = context(&registry, &wan_usage, &fleet_load, &data_centre);
    let mut rng = SmallRng::seed_from_u64(seed);
    let all = selection::all_layers(model.layers);
    let chain = selection::select_chain(&context, &model, all, &[], None, &mut rng);
    chain.expect("a chain")[0].upstream.clone()
}

/// Under 2.2 times the usual load requests went to slow engines while fast ones
/// had room, and held memory there for several times as long.
#[test]
fn fast_engines_are_filled_first_where_others_can_stand_in() {
    for seed in 0..20 {
        assert_eq!(&*chosen_when_filling(3, seed), "fast");
        // With barely a copy its room is kept for what may come.
        assert_eq!(&*chosen_when_filling(1, seed), "slow");
    }
}

/// Those who come back late spread over the engines only while there is room.
#[test]
fn room_near_is_counted_over_the_data_centre_alone() {
    let model = model();
    let mut registry = twins();
    let held = Some(LayerRange { first: 0, end: 40 });
    registry.put(engines::upstream("far", "b", "large", held, 4));
    registry.begin_request("far", 1_000_000);
    let (wan_usage, fleet_load, data_centre) =
        (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let filled = |registry: &UpstreamRegistry| {
        let context = context(registry, &wan_usage, &fleet_load, &data_centre);
        selection::local_utilization(&context, &model)
    };
    assert_eq!(filled(&registry), 0.0);
    let near: f64 = {
        let here = registry.iter().filter(|e| *e.upstream.data_centre == *"a");
        let room = |e: &UpstreamState| {
            cost::memory_capacity(&model, e, e.upstream.layers.expect("layers"))
        };
        here.map(room).sum()
    };
    registry.begin_request("a1", (near / 2.0 / (BOXES / 3.0)) as u64);
    let half = filled(&registry);
    assert!((half - 0.5).abs() < 0.01, "{half}");
    assert_eq!(filled(&UpstreamRegistry::default()), 1.0);
}
