//! What is forecast for a chain, and what is learned from what came.

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

/// Time of the scene.
const NOW: Duration = Duration::from_secs(100);

/// Prompt of the tests, in tokens.
const PROMPT: u32 = 772;

fn stage(id: &str, first: u32, end: u32) -> Stage {
    let upstream = id.into();
    Stage {
        upstream,
        first,
        end,
    }
}

/// A chain over two engines of [`twins`].
fn chain() -> Vec<Stage> {
    vec![stage("a1", 0, 40), stage("b1", 40, 80)]
}

/// Forecasts as a single box that hears no others.
fn alone(registry: &UpstreamRegistry, model: &Model, stages: &[Stage], prompt: u32) -> Forecast {
    let (pipes, shares, place) = (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let context = context(registry, &pipes, &shares, &place);
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

/// A forecast that left out the prompt or the passes would be as long as the checks of
/// engines are apart in any case.
#[test]
fn idle_chain_takes_its_reading_and_its_passes() {
    let idle = alone(&twins(), &model(), &chain(), PROMPT);
    let (read, pass) = (772.0 / 196_000.0, 0.000_85 * 1.4 * 2.0);
    assert!(is_near(idle.event_gap, 1.5 * pass), "{idle:?}");
    assert!(is_near(idle.first_event, read + 1.5 * pass), "{idle:?}");
}

/// Streams behind long prompts were checked as if their engines were lost.
#[test]
fn prompts_that_are_queued_come_before() {
    let (mut registry, model) = (twins(), model());
    let idle = alone(&registry, &model, &chain(), PROMPT);
    registry.note_prefill(NOW, "a1", 0.4);
    registry.note_prefill(NOW, "b1", 0.3);
    registry.note_prefill(NOW, "a2", 9.0);
    let busy = alone(&registry, &model, &chain(), PROMPT);
    let more = (busy.first_event - idle.first_event).as_secs_f64();
    assert!((more - 0.7).abs() < 2e-3, "{more}");
    assert_eq!(busy.event_gap, idle.event_gap);
}

/// Near their limit engines take a few times as long for a pass, in which the requests
/// of all boxes take part.
#[test]
fn requests_of_all_boxes_make_passes_longer() {
    let (registry, model) = (twins(), model());
    let (pipes, mut shares, place) = (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let uses = ["a1", "b1"].map(|id| {
        let used = Usage {
            requests: 1000,
            prefill_ms: 250,
            ..Usage::default()
        };
        (upstream_key(id), used)
    });
    assert!(shares.apply(NOW, common::word("box-2", uses.into())));
    let context = context(&registry, &pipes, &shares, &place);
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

/// The types of accelerators differ more in reading than in writing, or less.
#[test]
fn kinds_of_engines_read_and_write_at_their_own_rates() {
    let mut registry = twins();
    let held = LayerRange { first: 0, end: 40 };
    registry.put(upstream("slow", "a", "small", Some(held), 7));
    let stages = [stage("slow", 0, 40), stage("b1", 40, 80)];
    let slow = alone(&registry, &model(), &stages, PROMPT);
    let pass = 0.000_85 * 2.0 * (16.0 + 1.4) / 2.0;
    let read = 772.0 / 196_000.0 * (8.2 + 1.0) / 2.0;
    assert!(is_near(slow.event_gap, 1.5 * pass), "{slow:?}");
    assert!(is_near(slow.first_event, read + 1.5 * pass), "{slow:?}");
}

/// An engine that says that it is slow was checked again and again.
#[test]
fn engine_that_says_it_is_slow_takes_longer() {
    let (mut registry, model) = (twins(), model());
    let idle = alone(&registry, &model, &chain(), PROMPT);
    registry.note_slow(NOW, "a1", 5.0);
    registry.note_slow(NOW, "b1", 5.0);
    let slow = alone(&registry, &model, &chain(), PROMPT);
    assert!(is_near(
        slow.first_event,
        idle.first_event.as_secs_f64() * 5.0
    ));
    assert!(is_near(slow.event_gap, idle.event_gap.as_secs_f64() * 5.0));
}

/// A caller that does not say how long its prompt is sends no empty one.
#[test]
fn unknown_prompt_counts_as_the_usual() {
    let (registry, model) = (twins(), model());
    let unknown = alone(&registry, &model, &chain(), 0);
    assert_eq!(
        unknown,
        alone(&registry, &model, &chain(), model.typical_prompt)
    );
}

/// A caller that names an absurd prompt would have its engines checked in an hour.
#[test]
fn absurd_prompt_gives_the_longest_forecast() {
    let absurd = alone(&twins(), &model(), &chain(), 1_000_000_000);
    assert_eq!(absurd.first_event, MAX_FORECAST);
    assert!(absurd.event_gap < Duration::from_millis(10));
    assert_eq!(absurd.ratio(Duration::from_secs(1)), None);
}

/// An engine may have left while a permit for it was asked for.
#[test]
fn engines_that_are_gone_add_nothing() {
    let (registry, model) = (twins(), model());
    let gone = alone(&registry, &model, &[stage("gone", 0, 80)], PROMPT);
    assert_eq!(gone, Forecast::default());
    assert_eq!(gone.ratio(Duration::from_secs(1)), None);
}

/// An engine that works on far more than it tells makes events late by the same factor
/// each time.
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

/// One stream that hung for a minute must not make all others wait twice as long before
/// their engines are checked.
#[test]
fn one_late_event_changes_little() {
    let mut calibration = Calibration::default();
    calibration.record(600.0);
    let factor = calibration.factor();
    assert!((1.05..1.1).contains(&factor), "{factor}");
}

/// Twice as late and twice as early are errors of one size: on a linear scale the late
/// ones would count for more, and forecasts grow.
#[test]
fn late_and_early_events_weigh_alike() {
    let mut calibration = Calibration::default();
    for _ in 0..200 {
        calibration.record(2.0);
        calibration.record(0.5);
    }
    let factor = calibration.factor();
    assert!((factor - 1.0).abs() < 0.05, "{factor}");
}

/// Engines that report nothing true would switch the checks off, or check each stream
/// at once.
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

/// Whoever uses a forecast must be able to tell one that was never compared with
/// anything, or that is as often wrong as right, from a good one.
#[test]
fn spread_tells_how_sure_a_forecast_is() {
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

/// Engines that told of a minute of work were never looked at, and their streams waited
/// for that minute.
#[test]
fn long_forecasts_do_not_put_checks_off_for_good() {
    let ms = Duration::from_millis;
    assert_eq!(check_delay(MAX_FORECAST, ms(250), ms(1300)), ms(1300));
    assert_eq!(check_delay(Duration::MAX, ms(250), ms(1300)), ms(1300));
    // A box that is set to wait for longer does so.
    assert_eq!(check_delay(MAX_FORECAST, ms(3000), ms(1300)), ms(3000));
    assert_eq!(check_delay(Duration::ZERO, ms(250), ms(1300)), ms(250));
}

/// Any figure at all, the absurd ones often.
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
        (step_factor, read_factor) in (figure(), figure()),
    ) -> Model {
        let card = Accelerator { memory_mb: 1.0, step_factor, prefill_factor: read_factor };
        let cards = [("large".to_string(), card)].into();
        Model {
            layers,
            step_time: step,
            step_per_request: step_request,
            event_tokens,
            typical_prompt: prompt,
            prefill_rate: read_rate,
            accelerators: cards,
            ..model()
        }
    }
}

proptest! {
    /// A figure that is missing or absurd ends the box, or its silence is never noticed.
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
        let (pipes, mut shares, place) = (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
        let (requests, reading) = used;
        let uses = vec![(upstream_key("a1"), Usage { requests, prefill_ms: reading, ..Usage::default() })];
        shares.apply(NOW, common::word("box-2", uses));
        let context = context(&registry, &pipes, &shares, &place);
        let context = SelectionContext { boxes, local_boxes: neighbours, ..context };
        let stages: Vec<_> = spans.iter().map(|(id, from, to)| stage(id, *from, *to)).collect();
        let bounded = forecast(&context, &model, &stages, prompt);
        prop_assert!(bounded.first_event <= MAX_FORECAST);
        prop_assert!(bounded.event_gap <= bounded.first_event);
        if let Some(ratio) = bounded.ratio(Duration::from_secs(1)) {
            prop_assert!(ratio.is_finite() && ratio > 0.0, "{ratio}");
        }
    }

    /// Nothing that was noted once leaves the calibration without a bound for good.
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
