//! Estimates of the current load from load reports of a certain age.

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

/// Requests that engines hold at their limit.
const ON_TIME_LIMIT: f64 = 800.0;

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

fn observation(demand_rate: f64, requests: f64, completion_rate: f64) -> Observation {
    Observation {
        demands: demands(demand_rate),
        pressure: Pressure {
            requests,
            memory: requests / ON_TIME_LIMIT,
            slots: 0.0,
        },
        completion_rate,
        boxes: 86.0,
        age: AGE,
        report_interval: Duration::from_millis(100),
        full_slowdown: 0.8,
    }
}

/// An estimator with a virtual clock.
#[derive(Default)]
struct Clock {
    estimator: Estimator,
    now: Duration,
}

impl Clock {
    /// Estimates at the next step, and records the rate of requests that may start.
    fn step(&mut self, observation: &Observation, allowed: f64) -> Estimate {
        self.now += STEP;
        let estimate = self.estimator.estimate(self.now, observation);
        self.estimator.record_allowed_rate(self.now, allowed);
        estimate
    }

    /// Repeats [`Clock::step`] for some seconds; returns the last estimate.
    fn steps(&mut self, seconds: f64, observation: &Observation, allowed: f64) -> Estimate {
        let steps = (seconds / STEP.as_secs_f64()).round() as usize;
        let last = (0..steps).map(|_| self.step(observation, allowed)).last();
        last.expect("a step")
    }
}

fn demand_rate(estimate: &Estimate) -> f64 {
    estimate.demands.iter().map(|(_, d)| d.rate()).sum()
}

#[track_caller]
fn assert_near(found: f64, expected: f64, tolerance: f64) {
    let most = expected * tolerance;
    assert!((found - expected).abs() <= most, "{found}, not {expected}");
}

/// Guards against an estimate that drifts while the reports stay the same.
#[test]
fn steady_load_is_estimated_as_it_is() {
    let mut clock = Clock::default();
    let estimate = clock.steps(10.0, &observation(1600.0, 700.0, 350.0), 350.0);
    assert_near(estimate.pressure.requests, 700.0, 0.05);
    assert_near(estimate.pressure.memory, 700.0 / ON_TIME_LIMIT, 0.05);
    assert_near(estimate.completion_rate, 350.0, 0.05);
    assert_near(demand_rate(&estimate), 1600.0, 0.01);
}

/// Guards against boxes that admit all requests for as long as old reports show engines with
/// room, and so overfill them by the demand of one report age.
#[test]
fn requests_admitted_since_the_report_count() {
    let mut clock = Clock::default();
    let all = observation(600.0, 600.0, 350.0);
    clock.steps(5.0, &all, f64::INFINITY);
    let estimate = clock.step(&all, f64::INFINITY);
    assert!(estimate.pressure.requests > 750.0, "{estimate:?}");
    // With nothing admitted for one report age, no request has started since.
    let estimate = clock.steps(1.2, &all, 0.0);
    assert!(estimate.pressure.requests < 400.0, "{estimate:?}");
}

/// Guards against boxes that admit requests again while engines are still overfull. Requests
/// that start there take longer, so fewer have ended than in the same time before.
#[test]
fn requests_on_overfull_engines_are_not_expected_to_end_early() {
    let left = |slowdown| {
        let mut clock = Clock::default();
        let mut observation = observation(200.0, 280.0, 200.0);
        observation.full_slowdown = slowdown;
        clock.steps(5.0, &observation, f64::INFINITY);
        observation.pressure.requests = 1200.0;
        observation.pressure.memory = 1.5;
        clock.step(&observation, 0.0);
        // On idle engines the first of them would end after 1.4 s.
        clock.steps(1.0, &observation, 0.0).pressure.requests
    };
    assert!(
        left(0.8) > left(0.0) + 100.0,
        "{}, {}",
        left(0.8),
        left(0.0)
    );
}

/// Guards against counting the demand of other boxes as it was one report age before, by
/// which callers were refused after the end of an overload.
#[test]
fn end_of_a_burst_is_followed_before_its_mean_has_decayed() {
    let mut clock = Clock::default();
    clock.steps(5.0, &observation(4000.0, 700.0, 350.0), 350.0);
    // Reports hold a mean over 250 ms; 200 requests per second are left after the burst.
    let reported = |seconds: f64| 200.0 + 3800.0 * (-seconds / 0.25).exp();
    clock.step(&observation(reported(0.05), 700.0, 350.0), 350.0);
    clock.step(&observation(reported(0.1), 700.0, 350.0), 350.0);
    let estimate = clock.step(&observation(reported(0.15), 700.0, 350.0), 350.0);
    assert!(
        demand_rate(&estimate) < 0.4 * reported(0.15),
        "{}",
        demand_rate(&estimate)
    );
    // The estimate is at least a quarter of the reported demand, and equals it once that is
    // steady.
    assert!(
        demand_rate(&estimate) >= 0.24 * reported(0.15),
        "{}",
        demand_rate(&estimate)
    );
    let estimate = clock.steps(2.0, &observation(200.0, 700.0, 350.0), 350.0);
    assert_near(demand_rate(&estimate), 200.0, 0.01);
}

/// Guards against an estimated demand of zero or less where lost reports make the reported
/// demand fall at once.
#[test]
fn change_of_demand_is_bounded() {
    let mut clock = Clock::default();
    clock.steps(2.0, &observation(4000.0, 700.0, 350.0), 350.0);
    let fallen = clock.step(&observation(400.0, 700.0, 350.0), 350.0);
    assert_near(demand_rate(&fallen), 100.0, 0.01);
    let risen = clock.step(&observation(4000.0, 700.0, 350.0), 350.0);
    assert!(demand_rate(&risen) <= 16_000.0, "{}", demand_rate(&risen));
}

/// Guards against state that grows where requests are short.
#[test]
fn state_is_bounded() {
    let mut clock = Clock::default();
    clock.steps(100.0, &observation(1000.0, 10.0, 1000.0), 1000.0);
    let state = format!("{:?}", clock.estimator);
    assert!(state.matches("Cohort {").count() <= 80, "{}", state.len());
    assert!(state.len() < 20_000, "{}", state.len());
}

/// Guards against estimates that follow random noise: at 480 requests per second, 48 arrive
/// in 100 ms, and their mean over 250 ms varies by a tenth in each direction.
#[test]
fn noise_is_no_change_of_demand() {
    let mut clock = Clock::default();
    clock.steps(2.0, &observation(480.0, 700.0, 350.0), 350.0);
    let higher = clock.steps(0.1, &observation(510.0, 700.0, 350.0), 350.0);
    assert_near(demand_rate(&higher), 510.0, 0.01);
}

/// If reports have no age, or there are none, no change since then is assumed.
#[test]
fn current_reports_are_not_extrapolated() {
    let mut clock = Clock::default();
    let mut own = observation(4000.0, 700.0, 350.0);
    own.age = Duration::ZERO;
    clock.steps(2.0, &own, 350.0);
    own.demands = demands(1000.0);
    let estimate = clock.step(&own, 350.0);
    assert_eq!(demand_rate(&estimate), 1000.0);
    assert_near(estimate.pressure.requests, 700.0, 1e-9);
}

/// Guards against a wrong report with a lasting effect: the duration of requests was learned
/// from it.
#[test]
fn estimate_is_right_again_after_an_absurd_report() {
    let mut clock = Clock::default();
    clock.steps(5.0, &observation(1600.0, 700.0, 350.0), 350.0);
    clock.steps(2.0, &observation(1600.0, 4e9, 2000.0), 350.0);
    let estimate = clock.steps(3.0, &observation(1600.0, 700.0, 350.0), 350.0);
    assert_near(estimate.pressure.requests, 700.0, 0.1);
    assert_near(estimate.completion_rate, 350.0, 0.2);
}

/// Guards against requests that still count after a pause, when all known start times are
/// older than any request can be.
#[test]
fn load_is_estimated_after_a_pause() {
    let mut clock = Clock::default();
    let steady = observation(1600.0, 700.0, 350.0);
    clock.steps(5.0, &steady, 350.0);
    clock.now += Duration::from_secs(10);
    let estimate = clock.step(&steady, 350.0);
    assert_near(estimate.pressure.requests, 700.0, 0.2);
}

/// Guards against requests of the other half that count as just started after a partition,
/// by which the learned duration of requests came out as half of the real one.
#[test]
fn reports_after_a_partition_are_no_new_requests() {
    let mut clock = Clock::default();
    clock.steps(5.0, &observation(1600.0, 700.0, 350.0), 350.0);
    let mut half = observation(800.0, 350.0, 175.0);
    half.boxes = 43.0;
    clock.steps(0.2, &half, 350.0);
    let mut rates = Vec::new();
    for _ in 0..40 {
        rates.push(
            clock
                .step(&observation(1600.0, 700.0, 350.0), 350.0)
                .completion_rate,
        );
    }
    assert!(
        rates.iter().all(|r| (280.0..420.0).contains(r)),
        "{rates:?}"
    );
}

proptest! {
    /// Whatever boxes report, the estimate and the estimator's state are finite and bounded.
    #[test]
    fn estimates_are_bounded(
        reported in prop::collection::vec(
            (any::<u32>(), any::<f64>(), any::<f64>(), any::<f64>(), 0u64..3000, any::<f64>()),
            1..200,
        ),
    ) {
        let (mut estimator, mut now) = (Estimator::default(), Duration::ZERO);
        for (rate, requests, completion_rate, slowdown, ms, boxes) in reported {
            now += Duration::from_millis(ms / 10);
            let mut observation = observation(f64::from(rate) / 1e3, requests, completion_rate);
            observation.pressure.memory = slowdown;
            (observation.full_slowdown, observation.boxes) = (slowdown, boxes);
            observation.age = Duration::from_millis(ms);
            let estimate = estimator.estimate(now, &observation);
            estimator.record_allowed_rate(now, requests);
            prop_assert!(estimate.pressure.requests >= 0.0);
            prop_assert!(estimate.pressure.requests < 1e14);
            prop_assert!(estimate.completion_rate.is_finite());
            prop_assert!(demand_rate(&estimate) <= 4.01 * f64::from(rate) / 1e3);
        }
        let state = format!("{estimator:?}");
        prop_assert!(state.len() < 40_000);
    }
}

fn engine(accelerator: &str, layers: u16) -> Upstream {
    Upstream {
        id: "engine".into(),
        started_ms: None,
        service: "model".into(),
        addr: String::new(),
        data_centre: "here".into(),
        slots: 192,
        leaving: false,
        accelerator: Some(accelerator.into()),
        layers: Some(LayerRange {
            first: 0,
            end: layers.into(),
        }),
        models: Vec::new(),
    }
}

/// Guards against figures in a configuration that give requests an endless duration, or none.
#[test]
fn slowdown_is_bounded() {
    let model = engines::model();
    let engines = [engine("large", 30), engine("medium", 14)];
    let slowdown_of = |model: &Model| pressure::full_slowdown(model, engines.iter());
    assert!(
        (0.4..1.0).contains(&slowdown_of(&model)),
        "{}",
        slowdown_of(&model)
    );
    let without = |step, step_request| {
        slowdown_of(&Model {
            step_time: step,
            step_per_request: step_request,
            ..model.clone()
        })
    };
    let (none, most) = (Duration::ZERO, Duration::MAX);
    for slowdown in [
        without(none, none),
        without(none, most),
        without(most, none),
        without(most, most),
        without(model.step_time, none),
        slowdown_of(&Model {
            token_mb: f64::NAN,
            ..model.clone()
        }),
        slowdown_of(&Model {
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
        assert!((0.2..=2.0).contains(&slowdown), "{slowdown}");
    }
}
