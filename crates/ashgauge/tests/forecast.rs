//! Forecasts of event times for a chain, and their calibration by observed times.

mod common;
mod engines;

use std::sync::Arc;
use std::time::Duration;

use ashgauge::chain::Stage;
use ashgauge::context::SelectionContext;
use ashgauge::forecast::{Calibration, Forecast, MAX_FORECAST, check_delay, forecast};
use ashgauge::load_report::{FleetLoad, Usage, upstream_key};
use ashgauge::registry::UpstreamRegistry;
use ashgauge::routing::{Accelerator, Model};
use ashgauge::upstream::LayerRange;
use ashgauge::wan::WanUsage;
use engines::{context, model, twins, upstream};
use proptest::prelude::*;

/// Time at which forecasts are made.
const NOW: Duration = Duration::from_secs(100);

/// Length of the prompt, in tokens.
const PROMPT: u32 = 772;

fn stage(id: &str, first: u32, end: u32) -> Stage {
    let upstream = id.into();
    Stage {
        upstream,
        first,
        end,
    }
}

/// A chain of two engines of [`twins`].
fn chain() -> Vec<Stage> {
    vec![stage("a1", 0, 40), stage("b1", 40, 80)]
}

/// Forecasts as a box without peers.
fn forecast_alone(
    registry: &UpstreamRegistry,
    model: &Model,
    stages: &[Stage],
    prompt: u32,
) -> Forecast {
    let (wan_usage, fleet_load, data_centre) =
        (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let context = context(registry, &wan_usage, &fleet_load, &data_centre);
    let context = SelectionContext {
        boxes: 1.0,
        local_boxes: 1.0,
        ..context
    };
    forecast(&context, model, stages, prompt)
}

fn is_near(time: Duration, seconds: f64) -> bool {
    (time.as_secs_f64() - seconds).abs() < 1e-6
}

/// Guards against a forecast that leaves out the prompt or the passes. It would be no longer
/// than the interval of engine checks.
#[test]
fn idle_chain_takes_prefill_and_passes() {
    let idle = forecast_alone(&twins(), &model(), &chain(), PROMPT);
    let (read, pass) = (772.0 / 196_000.0, 0.000_85 * 1.4 * 2.0);
    assert!(is_near(idle.event_gap, 1.5 * pass), "{idle:?}");
    assert!(is_near(idle.first_event, read + 1.5 * pass), "{idle:?}");
}

/// Guards against checks of streams that only wait behind long prompts, as if their engines
/// were lost.
#[test]
fn queued_prompts_delay_the_first_event() {
    let (mut registry, model) = (twins(), model());
    let idle = forecast_alone(&registry, &model, &chain(), PROMPT);
    registry.note_prefill(NOW, "a1", 0.4);
    registry.note_prefill(NOW, "b1", 0.3);
    registry.note_prefill(NOW, "a2", 9.0);
    let busy = forecast_alone(&registry, &model, &chain(), PROMPT);
    let more = (busy.first_event - idle.first_event).as_secs_f64();
    assert!((more - 0.7).abs() < 2e-3, "{more}");
    assert_eq!(busy.event_gap, idle.event_gap);
}

/// Near their limit, engines take several times as long for a pass, which serves the requests
/// of all boxes.
#[test]
fn requests_of_all_boxes_make_passes_longer() {
    let (registry, model) = (twins(), model());
    let (wan_usage, mut fleet_load, data_centre) =
        (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let usage = ["a1", "b1"].map(|id| {
        let used = Usage {
            requests: 1000,
            prefill_ms: 250,
            ..Usage::default()
        };
        (upstream_key(id), used)
    });
    assert!(fleet_load.apply(NOW, common::report("box-2", usage.into())));
    let context = context(&registry, &wan_usage, &fleet_load, &data_centre);
    let context = SelectionContext {
        boxes: 2.0,
        local_boxes: 2.0,
        ..context
    };
    let full = forecast(&context, &model, &chain(), PROMPT);
    let pass = (0.000_85 + 1000.0 * 3.82e-6) * 1.4 * 2.0;
    assert!(is_near(full.event_gap, 1.5 * pass), "{full:?}");
    let read = 772.0 / 196_000.0;
    assert!(
        is_near(full.first_event, 0.5 + read + 1.5 * pass),
        "{full:?}"
    );
}

/// Types of accelerators differ in prefill speed by other factors than in step time.
#[test]
fn types_of_accelerators_have_their_own_rates() {
    let mut registry = twins();
    let held = LayerRange { first: 0, end: 40 };
    registry.put(upstream("slow", "a", "small", Some(held), 7));
    let stages = [stage("slow", 0, 40), stage("b1", 40, 80)];
    let slow = forecast_alone(&registry, &model(), &stages, PROMPT);
    let pass = 0.000_85 * 2.0 * (16.0 + 1.4) / 2.0;
    let read = 772.0 / 196_000.0 * (8.2 + 1.0) / 2.0;
    assert!(is_near(slow.event_gap, 1.5 * pass), "{slow:?}");
    assert!(is_near(slow.first_event, read + 1.5 * pass), "{slow:?}");
}

/// Guards against repeated checks of an engine that reports itself slow.
#[test]
fn engine_that_reports_itself_slow_takes_longer() {
    let (mut registry, model) = (twins(), model());
    let idle = forecast_alone(&registry, &model, &chain(), PROMPT);
    registry.note_slow(NOW, "a1", 5.0);
    registry.note_slow(NOW, "b1", 5.0);
    let slow = forecast_alone(&registry, &model, &chain(), PROMPT);
    assert!(is_near(
        slow.first_event,
        idle.first_event.as_secs_f64() * 5.0
    ));
    assert!(is_near(slow.event_gap, idle.event_gap.as_secs_f64() * 5.0));
}

/// A prompt of unknown length is not empty.
#[test]
fn unknown_prompt_counts_as_typical() {
    let (registry, model) = (twins(), model());
    let unknown = forecast_alone(&registry, &model, &chain(), 0);
    assert_eq!(
        unknown,
        forecast_alone(&registry, &model, &chain(), model.typical_prompt)
    );
}

/// Guards against an absurd prompt length, which would delay the check of engines by an hour.
#[test]
fn absurd_prompt_gives_the_longest_forecast() {
    let absurd = forecast_alone(&twins(), &model(), &chain(), 1_000_000_000);
    assert_eq!(absurd.first_event, MAX_FORECAST);
    assert!(absurd.event_gap < Duration::from_millis(10));
    assert_eq!(absurd.ratio(Duration::from_secs(1)), None);
}

/// An engine may have left while a permit for it was requested.
#[test]
fn engines_that_are_gone_add_nothing() {
    let (registry, model) = (twins(), model());
    let gone = forecast_alone(&registry, &model, &[stage("gone", 0, 80)], PROMPT);
    assert_eq!(gone, Forecast::default());
    assert_eq!(gone.ratio(Duration::from_secs(1)), None);
}

/// An engine with far more load than it reports delays events by the same factor each time.
#[test]
fn calibration_learns_how_late_events_come() {
    let forecast = Forecast {
        first_event: Duration::from_millis(100),
        event_gap: Duration::ZERO,
    };
    let mut calibration = Calibration::default();
    assert_eq!(
        calibration.apply(forecast.first_event),
        forecast.first_event
    );
    for _ in 0..200 {
        let ratio = forecast.ratio(Duration::from_millis(250)).expect("a ratio");
        calibration.record(ratio);
    }
    let factor = calibration.factor();
    assert!((factor - 2.5).abs() < 0.01, "{factor}");
    let calibrated = calibration.apply(forecast.first_event);
    assert!(is_near(calibrated, 0.1 * factor), "{calibrated:?}");
}

/// Guards against one stream that hangs for a minute and doubles the time after which the
/// engines of all other streams are checked.
#[test]
fn one_late_event_changes_little() {
    let mut calibration = Calibration::default();
    calibration.record(600.0);
    let factor = calibration.factor();
    assert!((1.05..1.1).contains(&factor), "{factor}");
}

/// Twice as late and twice as early are errors of the same size. On a linear scale late events
/// would count for more, and forecasts would grow.
#[test]
fn late_and_early_events_have_the_same_weight() {
    let mut calibration = Calibration::default();
    for _ in 0..200 {
        calibration.record(2.0);
        calibration.record(0.5);
    }
    let factor = calibration.factor();
    assert!((factor - 1.0).abs() < 0.05, "{factor}");
}

/// Guards against engines with false reports, by which streams would never be checked, or at
/// once.
#[test]
fn calibration_is_bounded() {
    let (mut late, mut early) = (Calibration::default(), Calibration::default());
    for _ in 0..1000 {
        late.record(1e6);
        early.record(0.0);
    }
    assert!((late.factor() - 4.0).abs() < 1e-6);
    assert!((early.factor() - 0.25).abs() < 1e-6);
    assert_eq!(late.apply(MAX_FORECAST), MAX_FORECAST);
}

/// The error factor must distinguish a good forecast from one that was never compared with
/// observed times, or that is as often wrong as right.
#[test]
fn error_factor_shows_the_quality_of_forecasts() {
    let (mut even, mut uneven) = (Calibration::default(), Calibration::default());
    assert!((even.error_factor() - 4.0).abs() < 1e-6);
    for n in 0..400 {
        even.record(1.5);
        uneven.record(if n % 2 == 0 { 3.0 } else { 1.0 / 3.0 });
    }
    assert!(even.error_factor() < 1.01, "{}", even.error_factor());
    assert!(
        (2.5..3.5).contains(&uneven.error_factor()),
        "{}",
        uneven.error_factor()
    );
}

/// Guards against engines that report a minute of work, and whose streams wait for that
/// minute without a check.
#[test]
fn long_forecasts_do_not_put_checks_off_for_good() {
    let ms = Duration::from_millis;
    assert_eq!(check_delay(MAX_FORECAST, ms(250), ms(1300)), ms(1300));
    assert_eq!(check_delay(Duration::MAX, ms(250), ms(1300)), ms(1300));
    // A longer configured wait is kept.
    assert_eq!(check_delay(MAX_FORECAST, ms(3000), ms(1300)), ms(3000));
    assert_eq!(check_delay(Duration::ZERO, ms(250), ms(1300)), ms(250));
}

/// Any number, with absurd ones more often than by chance.
fn figure() -> impl Strategy<Value = f64> {
    prop_oneof![
        any::<f64>(),
        Just(0.0),
        Just(-1.0),
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(f64::NEG_INFINITY),
        0.0..100.0,
    ]
}

fn time() -> impl Strategy<Value = Duration> {
    prop_oneof![
        any::<Duration>(),
        Just(Duration::ZERO),
        Just(Duration::MAX),
        (0u64..5000).prop_map(Duration::from_micros),
    ]
}

fn count() -> impl Strategy<Value = u32> {
    prop_oneof![any::<u32>(), Just(0), Just(u32::MAX), 0u32..1000]
}

prop_compose! {
    fn any_model()(
        layers in count(),
        (step, step_request) in (time(), time()),
        (event_tokens, prompt) in (count(), count()),
        read_rate in figure(),
        (step_factor, prefill_factor) in (figure(), figure()),
    ) -> Model {
        let accelerator = Accelerator { memory_mb: 1.0, step_factor, prefill_factor };
        let accelerators = [("large".to_string(), accelerator)].into();
        Model {
            layers,
            step_time: step,
            step_per_request: step_request,
            event_tokens,
            typical_prompt: prompt,
            prefill_rate: read_rate,
            accelerators,
            ..model()
        }
    }
}

proptest! {
    /// Guards against missing or absurd figures, which could crash the box, or delay the check
    /// of a silent engine for ever.
    #[test]
    fn forecasts_are_bounded(
        model in any_model(),
        prompt in count(),
        spans in prop::collection::vec(("a1|a2|b1|gone", count(), count()), 0..8),
        (boxes, neighbours) in (figure(), figure()),
        (reading, slowness) in (figure(), figure()),
        used in (count(), count()),
    ) {
        let mut registry = twins();
        registry.note_prefill(NOW, "a1", reading);
        registry.note_slow(NOW, "a2", slowness);
        let (wan_usage, mut fleet_load, data_centre) = (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
        let (requests, reading) = used;
        let usage = vec![(upstream_key("a1"), Usage { requests, prefill_ms: reading, ..Usage::default() })];
        fleet_load.apply(NOW, common::report("box-2", usage));
        let context = context(&registry, &wan_usage, &fleet_load, &data_centre);
        let context = SelectionContext { boxes, local_boxes: neighbours, ..context };
        let stages: Vec<_> = spans.iter().map(|(id, from, to)| stage(id, *from, *to)).collect();
        let bounded = forecast(&context, &model, &stages, prompt);
        prop_assert!(bounded.first_event <= MAX_FORECAST);
        prop_assert!(bounded.event_gap <= bounded.first_event);
        if let Some(ratio) = bounded.ratio(Duration::from_secs(1)) {
            prop_assert!(ratio.is_finite() && ratio > 0.0, "{ratio}");
        }
    }

    /// No recorded ratio leaves the calibration outside of its bounds.
    #[test]
    fn calibrations_are_bounded(
        ratios in prop::collection::vec(figure(), 0..200),
        time in time(),
    ) {
        let mut calibration = Calibration::default();
        ratios.iter().for_each(|ratio| calibration.record(*ratio));
        prop_assert!((0.2499..=4.001).contains(&calibration.factor()));
        prop_assert!((1.0..=16.001).contains(&calibration.error_factor()));
        prop_assert!(calibration.apply(time) <= MAX_FORECAST);
    }
}
