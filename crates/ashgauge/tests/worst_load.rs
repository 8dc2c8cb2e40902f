//! Selection under the worst load: herding after the loss of an engine, and engines that are
//! nearly full or always busy with prefill.

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

/// Load reports of 72 other boxes from before the loss, when these engines had no prompts
/// queued.
fn old_reports() -> FleetLoad {
    let mut fleet_load = FleetLoad::default();
    for n in 0..72 {
        let report = common::report(&format!("box-{n}"), Vec::new());
        assert!(fleet_load.apply(Duration::from_secs(100), report));
    }
    fleet_load
}

/// Number of fleets over which a share is averaged. Engines are visited in a random order, so
/// that one of 300 fleets sent 37 of 72 streams to one engine, where 30 are typical.
const FLEETS: u64 = 20;

/// Number of boxes in a fleet.
const FLEET_BOXES: u64 = 24;

/// Mean share of the streams that the busiest of these engines gets if each box of a fleet
/// moves this many streams of a lost engine, before any report of the others arrives.
fn busiest_share(engines: [(&str, &str); 4], streams: usize, simultaneous: bool) -> f64 {
    let shares = (0..FLEETS).map(|fleet| {
        let seeds = fleet * FLEET_BOXES..(fleet + 1) * FLEET_BOXES;
        busiest_share_of(seeds, engines, streams, simultaneous)
    });
    shares.sum::<f64>() / FLEETS as f64
}

/// The same share in one fleet, with a seed for each box.
fn busiest_share_of(
    seeds: Range<u64>,
    engines: [(&str, &str); 4],
    streams: usize,
    simultaneous: bool,
) -> f64 {
    let mut model = model();
    model.layers = 10;
    // The type with the fastest steps does not have the fastest prefill.
    let types = [("writer", 2.4, 3.2), ("reader", 5.6, 2.7)];
    for (name, step_factor, prefill_factor) in types {
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
    let (wan_usage, fleet_load) = (WanUsage::default(), old_reports());
    let mut counts = [0.0; 4];
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
                simultaneous,
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
            counts[id.parse::<usize>().unwrap()] += 1.0;
        }
    }
    counts.iter().copied().fold(0.0, f64::max) / counts.iter().sum::<f64>()
}

/// Guards against streams of a lost engine that are all resumed on the same one or two others,
/// which process their prompts one after the other, with pauses of 0.4 s.
#[test]
fn streams_of_a_lost_engine_spread() {
    let engines = [
        ("a", "large"),
        ("a", "medium"),
        ("a", "medium"),
        ("b", "large"),
    ];
    let single = busiest_share(engines, 3, false);
    assert!(
        single > 0.9,
        "this load does not test the spreading: {single}"
    );
    let simultaneous = busiest_share(engines, 3, true);
    assert!(
        simultaneous <= 0.5,
        "{simultaneous} of the streams on one engine"
    );
}

/// Guards against selecting by the time of the whole answer when streams are resumed. The
/// fastest engine takes less than half of the time of the others and so got most streams of a
/// lost one, although the next event comes as soon from any engine without queued prompts.
#[test]
fn streams_of_a_lost_engine_go_where_their_next_event_comes_soonest() {
    let engines = [
        ("a", "writer"),
        ("a", "reader"),
        ("a", "reader"),
        ("a", "reader"),
    ];
    let share = busiest_share(engines, 1, true);
    assert!(share <= 0.5, "{share} of the streams on one engine");
}

/// Guards against too many first stages on the engine with the fastest steps. At 90 requests
/// per second of two seconds each, it spent 0.69 of its time on prefill and delayed all its
/// chains, while the others were idle.
#[test]
fn engine_with_much_prefill_leaves_requests_to_others() {
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
    let share = rate * f64::from(model.typical_prompt) / model.prefill_rate;
    assert!(share <= 0.5, "prefill takes {share} of its time");
    assert!(
        share >= 0.2,
        "it is faster than the others, but prefill takes only {share}"
    );
}

/// Guards against chains that cross data centres, each with a prompt's activations over the
/// link, to avoid an engine that is assumed to be always busy with prefill.
#[test]
fn chain_does_not_cross_to_avoid_an_engine_with_much_prefill() {
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

/// Selects an engine where a fast one is four fifths full and a slow one is idle; `copies`
/// engines hold the following layers.
fn selected_when_filling(copies: usize, seed: u64) -> UpstreamId {
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

/// Guards against requests that go to slow engines while fast ones have room, and hold memory
/// there for several times as long, as happened at 2.2 times the normal load.
#[test]
fn fast_engines_are_filled_first_if_others_can_replace_them() {
    for seed in 0..20 {
        assert_eq!(&*selected_when_filling(3, seed), "fast");
        // With barely one copy, the room of the fast engine is kept for later requests.
        assert_eq!(&*selected_when_filling(1, seed), "slow");
    }
}

/// Late retries spread over the engines only while the own data centre has room, so the
/// utilization must not count the engines of other data centres.
#[test]
fn local_utilization_covers_the_own_data_centre_only() {
    let model = model();
    let mut registry = twins();
    let held = Some(LayerRange { first: 0, end: 40 });
    registry.put(engines::upstream("far", "b", "large", held, 4));
    registry.begin_request("far", 1_000_000);
    let (wan_usage, fleet_load, data_centre) =
        (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let utilization = |registry: &UpstreamRegistry| {
        let context = context(registry, &wan_usage, &fleet_load, &data_centre);
        selection::local_utilization(&context, &model)
    };
    assert_eq!(utilization(&registry), 0.0);
    let capacity: f64 = {
        let here = registry.iter().filter(|e| *e.upstream.data_centre == *"a");
        let room = |e: &UpstreamState| {
            cost::memory_capacity(&model, e, e.upstream.layers.expect("layers"))
        };
        here.map(room).sum()
    };
    registry.begin_request("a1", (capacity / 2.0 / (BOXES / 3.0)) as u64);
    let half = utilization(&registry);
    assert!((half - 0.5).abs() < 0.01, "{half}");
    assert_eq!(utilization(&UpstreamRegistry::default()), 1.0);
}
