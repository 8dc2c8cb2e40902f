//! Estimates from load reports that are some time old.

mod engines;

use std::time::Duration;

use ashgauge::class::Class;
use ashgauge::demand::{Demand, DemandSource, Demands, TeamSketch, name_key};
use ashgauge::estimate::{Estimate, Estimator, Observation};
use ashgauge::pressure::{self, Pressure};
use ashgauge::routing::{Accelerator, Model};
use ashgauge::upstream::{LayerRange, Upstream};
use proptest::prelude::*;

/// Time between two estimates.
const STEP: Duration = Duration::from_millis(50);

/// Age of reports.
const AGE: Duration = Duration::from_secs(1);

/// Requests that engines hold at their bound.
const BOUND: f64 = 800.0;

fn demands(rate: f64) -> Demands {
    let source = DemandSource {
        service: name_key("model"),
        class: Class::default(),
        team: Some(1),
    };
    let rate = (rate * 1e3) as u32;
    let demand = Demand {
        rate,
        work: rate,
        teams: TeamSketch::single(1),
    };
    vec![(source, demand)]
}

fn known(asked: f64, requests: f64, ends: f64) -> Observation {
    Observation {
        demands: demands(asked),
        pressure: Pressure {
            requests,
            memory: requests / BOUND,
            slots: 0.0,
        },
        completion_rate: ends,
        boxes: 86.0,
        age: AGE,
        report_interval: Duration::from_millis(100),
        full_slowdown: 0.8,
    }
}

/// An estimator with its own clock.
#[derive(Default)]
struct Clock {
    estimator: Estimator,
    now: Duration,
}

impl Clock {
    /// Estimates at the next step, and notes how many may begin.
    fn step(&mut self, known: &Observation, allowed: f64) -> Estimate {
        self.now += STEP;
        let estimate = self.estimator.estimate(self.now, known);
        self.estimator.record_allowed_rate(self.now, allowed);
        estimate
    }

    /// The same for some seconds; returns the last estimate.
    fn steps(&mut self, seconds: f64, known: &Observation, allowed: f64) -> Estimate {
        let steps = (seconds / STEP.as_secs_f64()).round() as usize;
        let last = (0..steps).map(|_| self.step(known, allowed)).last();
        last.expect("a step")
    }
}

fn asked(estimate: &Estimate) -> f64 {
    estimate.demands.iter().map(|(_, d)| d.rate()).sum()
}

#[track_caller]
fn assert_near(found: f64, expected: f64, part: f64) {
    let most = expected * part;
    assert!((found - expected).abs() <= most, "{found}, not {expected}");
}

/// Guards against an estimate that drifts where what is known holds.
#[test]
fn steady_load_is_estimated_as_it_is() {
    let mut clock = Clock::default();
    let estimate = clock.steps(10.0, &known(1600.0, 700.0, 350.0), 350.0);
    assert_near(estimate.pressure.requests, 700.0, 0.05);
    assert_near(estimate.pressure.memory, 700.0 / BOUND, 0.05);
    assert_near(estimate.completion_rate, 350.0, 0.05);
    assert_near(asked(&estimate), 1600.0, 0.01);
}

/// Boxes went on to admit all for as long as reports told of engines with room, and filled
/// them by one report age of demand too much.
#[test]
fn requests_admitted_since_the_report_count() {
    let mut clock = Clock::default();
    let all = known(600.0, 600.0, 350.0);
    clock.steps(5.0, &all, f64::INFINITY);
    let estimate = clock.step(&all, f64::INFINITY);
    assert!(estimate.pressure.requests > 750.0, "{estimate:?}");
    // With nothing admitted for one report age none has begun.
    let estimate = clock.steps(1.2, &all, 0.0);
    assert!(estimate.pressure.requests < 400.0, "{estimate:?}");
}

/// Boxes admitted again while the engines were still overfull: requests that begin there
/// take longer, so fewer have ended than in the same time before.
#[test]
fn requests_that_filled_the_engines_are_not_expected_to_end_early() {
    let left = |growth| {
        let mut clock = Clock::default();
        let mut known = known(200.0, 280.0, 200.0);
        known.full_slowdown = growth;
        clock.steps(5.0, &known, f64::INFINITY);
        known.pressure.requests = 1200.0;
        known.pressure.memory = 1.5;
        clock.step(&known, 0.0);
        // The first of them would end after 1.4 s at engines that are empty.
        clock.steps(1.0, &known, 0.0).pressure.requests
    };
    assert!(
        left(0.8) > left(0.0) + 100.0,
        "{}, {}",
        left(0.8),
        left(0.0)
    );
}

/// Demand of other boxes counted as it had been one report age before for as long, which
/// refused callers after the end of an overload.
#[test]
fn end_of_a_burst_is_followed_before_its_mean_has_faded() {
    let mut clock = Clock::default();
    clock.steps(5.0, &known(4000.0, 700.0, 350.0), 350.0);
    // What is told is a mean over 250 ms; 200 a second are left.
    let told = |seconds: f64| 200.0 + 3800.0 * (-seconds / 0.25).exp();
    clock.step(&known(told(0.05), 700.0, 350.0), 350.0);
    clock.step(&known(told(0.1), 700.0, 350.0), 350.0);
    let estimate = clock.step(&known(told(0.15), 700.0, 350.0), 350.0);
    assert!(asked(&estimate) < 0.4 * told(0.15), "{}", asked(&estimate));
    // It is a quarter of what is told at the least, and the same once that is steady.
    assert!(
        asked(&estimate) >= 0.24 * told(0.15),
        "{}",
        asked(&estimate)
    );
    let estimate = clock.steps(2.0, &known(200.0, 700.0, 350.0), 350.0);
    assert_near(asked(&estimate), 200.0, 0.01);
}

/// Guards against a demand below zero, or of next to nothing, where reports that were lost
/// make the demand that is told fall at once.
#[test]
fn change_of_demand_is_bounded() {
    let mut clock = Clock::default();
    clock.steps(2.0, &known(4000.0, 700.0, 350.0), 350.0);
    let fallen = clock.step(&known(400.0, 700.0, 350.0), 350.0);
    assert_near(asked(&fallen), 100.0, 0.01);
    let risen = clock.step(&known(4000.0, 700.0, 350.0), 350.0);
    assert!(asked(&risen) <= 16_000.0, "{}", asked(&risen));
}

/// Guards against a state that grows where requests stay for a short time only.
#[test]
fn state_is_bounded() {
    let mut clock = Clock::default();
    clock.steps(100.0, &known(1000.0, 10.0, 1000.0), 1000.0);
    let state = format!("{:?}", clock.estimator);
    assert!(state.matches("Cohort {").count() <= 80, "{}", state.len());
    assert!(state.len() < 20_000, "{}", state.len());
}

/// Guards against swings with chance: of 480 requests a second, 48 come in 100 ms, and a
/// mean of them over 250 ms differs by a tenth in each direction.
#[test]
fn chance_is_no_change_of_demand() {
    let mut clock = Clock::default();
    clock.steps(2.0, &known(480.0, 700.0, 350.0), 350.0);
    let higher = clock.steps(0.1, &known(510.0, 700.0, 350.0), 350.0);
    assert_near(asked(&higher), 510.0, 0.01);
}

/// With reports that are not old, or none, nothing is taken to have changed since.
#[test]
fn what_is_known_now_is_not_changed() {
    let mut clock = Clock::default();
    let mut own = known(4000.0, 700.0, 350.0);
    own.age = Duration::ZERO;
    clock.steps(2.0, &own, 350.0);
    own.demands = demands(1000.0);
    let estimate = clock.step(&own, 350.0);
    assert_eq!(asked(&estimate), 1000.0);
    assert_near(estimate.pressure.requests, 700.0, 1e-9);
}

/// Guards against a wrong report that outlives itself: the time that requests stay was
/// learned from it.
#[test]
fn estimate_is_right_again_after_an_absurd_report() {
    let mut clock = Clock::default();
    clock.steps(5.0, &known(1600.0, 700.0, 350.0), 350.0);
    clock.steps(2.0, &known(1600.0, 4e9, 2000.0), 350.0);
    let estimate = clock.steps(3.0, &known(1600.0, 700.0, 350.0), 350.0);
    assert_near(estimate.pressure.requests, 700.0, 0.1);
    assert_near(estimate.completion_rate, 350.0, 0.2);
}

/// Guards against requests that count as still there after a pause, as all that was known
/// of when they began is older than any request.
#[test]
fn load_is_estimated_after_a_pause() {
    let mut clock = Clock::default();
    let steady = known(1600.0, 700.0, 350.0);
    clock.steps(5.0, &steady, 350.0);
    clock.now += Duration::from_secs(10);
    let estimate = clock.step(&steady, 350.0);
    assert_near(estimate.pressure.requests, 700.0, 0.2);
}

/// After a partition the requests of the other half were taken to have all just begun, and
/// the time that requests stay came out as half of what it was.
#[test]
fn boxes_that_are_heard_again_are_no_new_requests() {
    let mut clock = Clock::default();
    clock.steps(5.0, &known(1600.0, 700.0, 350.0), 350.0);
    let mut half = known(800.0, 350.0, 175.0);
    half.boxes = 43.0;
    clock.steps(0.2, &half, 350.0);
    let mut rates = Vec::new();
    for _ in 0..40 {
        rates.push(
            clock
                .step(&known(1600.0, 700.0, 350.0), 350.0)
                .completion_rate,
        );
    }
    assert!(
        rates.iter().all(|r| (280.0..420.0).contains(r)),
        "{rates:?}"
    );
}

proptest! {
    /// Whatever boxes tell, an estimate is finite and bounded, and its state as well.
    #[test]
    fn estimates_are_bounded(
        told in prop::collection::vec(
            (any::<u32>(), any::<f64>(), any::<f64>(), any::<f64>(), 0u64..3000, any::<f64>()),
            1..200,
        ),
    ) {
        let (mut estimator, mut now) = (Estimator::default(), Duration::ZERO);
        for (rate, requests, ends, growth, ms, boxes) in told {
            now += Duration::from_millis(ms / 10);
            let mut known = known(f64::from(rate) / 1e3, requests, ends);
            known.pressure.memory = growth;
            (known.full_slowdown, known.boxes) = (growth, boxes);
            known.age = Duration::from_millis(ms);
            let estimate = estimator.estimate(now, &known);
            estimator.record_allowed_rate(now, requests);
            prop_assert!(estimate.pressure.requests >= 0.0);
            prop_assert!(estimate.pressure.requests < 1e14);
            prop_assert!(estimate.completion_rate.is_finite());
            prop_assert!(asked(&estimate) <= 4.01 * f64::from(rate) / 1e3);
        }
        let state = format!("{estimator:?}");
        prop_assert!(state.len() < 40_000);
    }
}

fn engine(card: &str, layers: u16) -> Upstream {
    Upstream {
        id: "engine".into(),
        started_ms: None,
        service: "model".into(),
        addr: String::new(),
        data_centre: "here".into(),
        slots: 192,
        leaving: false,
        accelerator: Some(card.into()),
        layers: Some(LayerRange {
            first: 0,
            end: layers.into(),
        }),
        models: Vec::new(),
    }
}

/// Guards against figures of a configuration that let requests stay for ever, or no time.
#[test]
fn growth_is_bounded() {
    let model = engines::model();
    let engines = [engine("large", 30), engine("medium", 14)];
    let of = |model: &Model| pressure::full_slowdown(model, engines.iter());
    assert!((0.4..1.0).contains(&of(&model)), "{}", of(&model));
    let without = |step, step_request| {
        of(&Model {
            step_time: step,
            step_per_request: step_request,
            ..model.clone()
        })
    };
    let (none, most) = (Duration::ZERO, Duration::MAX);
    for growth in [
        without(none, none),
        without(none, most),
        without(most, none),
        without(most, most),
        without(model.step_time, none),
        of(&Model {
            token_mb: f64::NAN,
            ..model.clone()
        }),
        of(&Model {
            accelerators: [(
                "large".to_string(),
                Accelerator {
                    memory_mb: -1.0,
                    step_factor: 1.0,
                    prefill_factor: 1.0,
                },
            )]
            .into(),
            ..model.clone()
        }),
        pressure::full_slowdown(&model, std::iter::empty()),
    ] {
        assert!((0.2..=2.0).contains(&growth), "{growth}");
    }
}
