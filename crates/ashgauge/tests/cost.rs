//! What a request costs on an engine, with figures that no engine has.

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

/// Times that the configuration's `per_seq_ms` may become: what is negative or no number
/// is decoded as none, and a `Duration` holds up to 2^64 s.
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

/// The product of a step's time and the requests in it does not fit into a `Duration`:
/// one such figure in a configuration ended every box at its next request.
#[test]
fn absurd_step_times_end_no_choice() {
    let mut registry = twins();
    for id in ["a1", "a2", "b1", "b2"] {
        (0..100).for_each(|_| registry.begin_request(id, 900 * 40));
    }
    let (pipes, shares, place) = (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let mut rng = SmallRng::seed_from_u64(1);
    for model in absurd_models() {
        for together in [false, true] {
            let context = SelectionContext {
                simultaneous: together,
                ..context(&registry, &pipes, &shares, &place)
            };
            let span = selection::all_layers(model.layers);
            let stages = selection::select_chain(&context, &model, span, &[], None, &mut rng);
            let (step, request) = (model.step_time, model.step_per_request);
            let stages = stages.unwrap_or_else(|| panic!("no chain: {step:?}, {request:?}"));
            forecast(&context, &model, &stages, 0);
        }
    }
}

/// As above, where layers are planned before any request comes.
#[test]
fn absurd_step_times_end_no_plan() {
    for model in absurd_models() {
        plan(&model, &fleet());
    }
}
