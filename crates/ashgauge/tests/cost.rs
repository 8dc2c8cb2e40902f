//! Cost of a request on an engine with absurd figures in the configuration.

mod engines;

use std::sync::Arc;
use std::time::Duration;

use ashgauge::context::SelectionContext;
use ashgauge::forecast::forecast;
use ashgauge::load_report::FleetLoad;
use ashgauge::placement::plan;
use ashgauge::routing::Model;
use ashgauge::selection;
use ashgauge::wan::WanUsage;
use engines::{context, fleet, model, twins};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Values that the configuration's `per_seq_ms` may become: a value that is negative or not
/// a number is decoded as zero, and a `Duration` holds up to 2^64 s.
fn absurd_times() -> impl Iterator<Item = Duration> {
    [0, 1, u64::MAX / 100, u64::MAX / 2, u64::MAX]
        .into_iter()
        .map(Duration::from_secs)
        .chain([Duration::from_nanos(1), Duration::MAX])
}

fn absurd_models() -> impl Iterator<Item = Model> {
    absurd_times().flat_map(|step_request| {
        absurd_times().map(move |step| Model {
            step_time: step,
            step_per_request: step_request,
            ..model()
        })
    })
}

/// Guards against a panic where the product of a step time and its number of requests
/// overflows a `Duration`. One such figure in a configuration crashed every box at its next
/// request.
#[test]
fn absurd_step_times_do_not_break_selection() {
    let mut registry = twins();
    for id in ["a1", "a2", "b1", "b2"] {
        (0..100).for_each(|_| registry.begin_request(id, 900 * 40));
    }
    let (wan_usage, fleet_load, data_centre) =
        (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let mut rng = SmallRng::seed_from_u64(1);
    for model in absurd_models() {
        for simultaneous in [false, true] {
            let context = SelectionContext {
                simultaneous,
                ..context(&registry, &wan_usage, &fleet_load, &data_centre)
            };
            let span = selection::all_layers(model.layers);
            let stages = selection::select_chain(&context, &model, span, &[], None, &mut rng);
            let (step, request) = (model.step_time, model.step_per_request);
            let stages = stages.unwrap_or_else(|| panic!("no chain: {step:?}, {request:?}"));
            forecast(&context, &model, &stages, 0);
        }
    }
}

/// As above, where placement plans layers before any request arrives.
#[test]
fn absurd_step_times_do_not_break_placement() {
    for model in absurd_models() {
        plan(&model, &fleet());
    }
}
