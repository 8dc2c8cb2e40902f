//! The budget of a box for the recovery of delayed streams while engines are overloaded.

use std::time::Duration;

use ashgauge::recovery::{RecoveryAction, RecoveryBudget, stops_waiting};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ACTIONS: [RecoveryAction; 3] = [
    RecoveryAction::Repair,
    RecoveryAction::Resend,
    RecoveryAction::Check,
];

/// Time between two updates of the pressure.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two attempts of a waiting stream to withdraw from the budget.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn at(n: u64) -> Duration {
    ms(60_000 + n)
}

/// Returns a budget that has been under this pressure for two seconds, with this many requests
/// per second.
fn budget_under_pressure(pressure: f64, requests: u64) -> RecoveryBudget {
    let mut budget = RecoveryBudget::default();
    drive(&mut budget, 0..2000, pressure, requests);
    budget
}

/// Records requests and updates the pressure for some milliseconds.
fn drive(budget: &mut RecoveryBudget, span: std::ops::Range<u64>, pressure: f64, requests: u64) {
    for n in span {
        if n % 50 == 0 {
            budget.set_pressure(at(n), pressure);
        }
        if requests > 0 && n % (1000 / requests) == 0 {
            budget.record_request(at(n));
        }
    }
}

/// Withdraws until the budget is empty; returns the number of withdrawals.
fn drain(budget: &mut RecoveryBudget, now: Duration, action: RecoveryAction) -> usize {
    (0..10_000)
        .take_while(|_| budget.withdraw(now, action))
        .count()
}

/// Guards against checks that overload engines further. At 2.2 times the load there were 32,000
/// checks for 18,400 requests; at most one for five requests is allowed.
#[test]
fn checks_at_full_pressure_are_limited_per_request() {
    for requests in [5, 10, 50, 200] {
        let mut budget = budget_under_pressure(1.0, requests);
        let mut checks = 0;
        for n in (2000..12_000).step_by(10) {
            drive(&mut budget, n..n + 10, 1.0, requests);
            checks += drain(&mut budget, at(n + 9), RecoveryAction::Check);
        }
        // One burst may have been saved before.
        let most = 0.2 * (requests * 10) as f64 * 1.05 + 1.0;
        assert!(checks as f64 <= most, "{checks} of {most}, {requests}/s");
        assert!(
            checks as f64 > most * 0.4,
            "{checks} of {most}, {requests}/s"
        );
    }
}

/// Without pressure a lost engine must be found as fast as without a budget: a box with 9
/// requests per second has about 36 streams on 7 engines each.
#[test]
fn checks_without_pressure_find_a_lost_engine_at_once() {
    for pressure in [0.0, 0.3, 0.6] {
        let mut budget = budget_under_pressure(pressure, 10);
        assert!(
            drain(&mut budget, at(2000), RecoveryAction::Check) >= 7,
            "{pressure}"
        );
    }
}

/// Guards against simultaneous repairs. If 1,000 streams of one box lose the same engine while
/// all engines are full, that many prompts would be processed again at the same time.
#[test]
fn repairs_of_a_thousand_streams_are_spread_over_time() {
    let mut budget = budget_under_pressure(1.0, 100);
    let mut rng = SmallRng::seed_from_u64(1);
    let until = at(2000 + 1200);
    let mut waiting: Vec<u32> = (0..1000).collect();
    let mut per_interval = Vec::new();
    for n in (2000..=3200).step_by(RETRY_INTERVAL.as_millis() as usize) {
        drive(&mut budget, n..n + 50, 1.0, 100);
        let before = waiting.len();
        let left = until.saturating_sub(at(n));
        waiting.retain(|_| {
            let is_repaired = budget.withdraw(at(n), RecoveryAction::Repair);
            !(is_repaired || stops_waiting(left, RETRY_INTERVAL, rng.random_range(0.0..1.0)))
        });
        per_interval.push(before - waiting.len());
    }
    assert!(waiting.is_empty(), "{} given up", waiting.len());
    let most = per_interval.iter().max();
    assert!(most < Some(&150), "{per_interval:?}");
}

/// A stream that waits for the budget is still repaired before its caller's time runs out.
#[test]
fn no_stream_waits_past_its_deadline() {
    assert!(stops_waiting(Duration::ZERO, RETRY_INTERVAL, 0.999_999));
    assert!(stops_waiting(RETRY_INTERVAL, RETRY_INTERVAL, 0.999_999));
    assert!(!stops_waiting(ms(1000), RETRY_INTERVAL, 0.5));
    assert!(stops_waiting(ms(1000), RETRY_INTERVAL, 0.04));
}

/// Guards against checks and resends, for streams that are silent because engines are slow, that
/// use up the budget for repairs of streams of which the caller already has a part.
#[test]
fn checks_and_resends_leave_credits_for_repairs() {
    let mut budget = budget_under_pressure(1.0, 10);
    drain(&mut budget, at(2000), RecoveryAction::Check);
    drain(&mut budget, at(2000), RecoveryAction::Resend);
    assert!(!budget.withdraw(at(2000), RecoveryAction::Check));
    assert!(!budget.withdraw(at(2000), RecoveryAction::Resend));
    assert!(budget.withdraw(at(2000), RecoveryAction::Repair));
}

/// A box that needs only repairs may use the whole budget for them.
#[test]
fn repairs_may_use_the_whole_budget() {
    let (mut all, mut checks) = (
        budget_under_pressure(0.0, 50),
        budget_under_pressure(0.0, 50),
    );
    let repairs = drain(&mut all, at(2000), RecoveryAction::Repair);
    let checks = drain(&mut checks, at(2000), RecoveryAction::Check);
    assert!(
        (3 * checks..=5 * checks).contains(&repairs),
        "{repairs}, {checks}"
    );
    assert!(!all.withdraw(at(2000), RecoveryAction::Check));
}

/// Guards against limits on recovery that outlive the overload: the budget must be full again
/// within a second after the pressure has fallen.
#[test]
fn budget_is_full_a_second_after_the_pressure_fell() {
    let mut budget = budget_under_pressure(1.0, 100);
    ACTIONS
        .iter()
        .for_each(|u| _ = drain(&mut budget, at(2000), *u));
    drive(&mut budget, 2000..3000, 0.2, 100);
    let mut fresh = budget_under_pressure(0.2, 100);
    for action in ACTIONS.iter().rev() {
        let (now, expected) = (
            drain(&mut budget, at(3000), *action),
            drain(&mut fresh, at(2000), *action),
        );
        assert!(now + 1 >= expected, "{action:?}: {now} of {expected}");
    }
}

/// Guards against a stale pressure: after the load has ended there may be no requests, and so
/// no more updates of the pressure.
#[test]
fn pressure_without_updates_expires() {
    let mut budget = budget_under_pressure(1.0, 5);
    ACTIONS
        .iter()
        .for_each(|u| _ = drain(&mut budget, at(2000), *u));
    assert!(budget.pressure(at(2000)) > 0.9);
    assert_eq!(budget.pressure(at(3000)), 0.0);
    let expected = drain(
        &mut RecoveryBudget::default(),
        at(0),
        RecoveryAction::Repair,
    );
    assert_eq!(
        drain(&mut budget, at(3000), RecoveryAction::Repair),
        expected
    );
}

/// Guards against repairs of all streams at once by a box that stood still: credits that were
/// earned without a current pressure are dropped once it is known.
#[test]
fn credits_of_a_standstill_are_dropped_under_pressure() {
    let mut budget = budget_under_pressure(1.0, 5);
    ACTIONS
        .iter()
        .for_each(|u| _ = drain(&mut budget, at(2000), *u));
    assert!(budget.is_pressure_current(at(2300)));
    assert!(!budget.is_pressure_current(at(3000)));
    budget.set_pressure(at(3000), 1.0);
    let repairs = drain(&mut budget, at(3000), RecoveryAction::Repair);
    assert!(repairs <= ACTIONS.len(), "{repairs}");
}

/// A budget without deposits by requests must still allow repairs.
#[test]
fn budget_without_requests_allows_a_repair_each_second() {
    let mut budget = budget_under_pressure(1.0, 0);
    let mut now = 2000;
    for _ in 0..100 {
        ACTIONS
            .iter()
            .for_each(|u| _ = drain(&mut budget, at(now), *u));
        assert!(!budget.withdraw(at(now), RecoveryAction::Repair));
        drive(&mut budget, now..now + 1001, 1.0, 0);
        now += 1000;
        assert!(budget.withdraw(at(now), RecoveryAction::Repair), "{now}");
    }
}

/// Engines that report absurd figures may give a pressure that is infinite or not a number.
#[test]
fn absurd_pressure_is_clamped() {
    for (absurd, equivalent) in [
        (f64::NAN, 1.0),
        (f64::INFINITY, 1.0),
        (1e300, 1.0),
        (-3.0, 0.0),
        (f64::NEG_INFINITY, 0.0),
    ] {
        let (mut one, mut other) = (
            budget_under_pressure(absurd, 50),
            budget_under_pressure(equivalent, 50),
        );
        assert!(one.pressure(at(2000)).is_finite());
        for action in ACTIONS.iter().rev() {
            let count = drain(&mut one, at(2000), *action);
            assert_eq!(count, drain(&mut other, at(2000), *action), "{absurd}");
        }
    }
}

/// Guards against credits that are deposited twice where times arrive out of order.
#[test]
fn time_that_goes_back_earns_nothing() {
    let mut budget = budget_under_pressure(1.0, 10);
    drain(&mut budget, at(2000), RecoveryAction::Repair);
    for n in 0..1000 {
        budget.set_pressure(at(1000 + n % 2), 1.0);
        assert!(!budget.withdraw(at(1000 + n % 2), RecoveryAction::Repair));
    }
}

/// Operation on a budget.
#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    SetPressure(f64),
    Request,
    Withdraw(RecoveryAction),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u64..120).prop_map(Step::Wait),
        (-0.5f64..3.0).prop_map(Step::SetPressure),
        Just(Step::Request),
        prop::sample::select(ACTIONS.to_vec()).prop_map(Step::Withdraw),
        prop::sample::select(ACTIONS.to_vec()).prop_map(Step::Withdraw),
    ]
}

proptest! {
    /// Whatever the operations: if an action may withdraw, each more useful one may as well; the
    /// withdrawals are bounded by requests and time; and after an idle second a repair is allowed.
    #[test]
    fn budget_is_bounded_and_orders_actions(steps in prop::collection::vec(step(), 1..400)) {
        let mut budget = RecoveryBudget::default();
        let (mut now, mut requests, mut withdrawn) = (0, 0u32, 0u32);
        for step in steps {
            match step {
                Step::Wait(n) => now += n,
                Step::SetPressure(pressure) => budget.set_pressure(at(now), pressure),
                Step::Request => {
                    requests += 1;
                    budget.record_request(at(now));
                }
                Step::Withdraw(action) => {
                    let may = ACTIONS.map(|u| budget.has_credit(at(now), u));
                    prop_assert!(may[0] >= may[1] && may[1] >= may[2]);
                    let is_withdrawn = budget.withdraw(at(now), action);
                    prop_assert_eq!(is_withdrawn, may[action as usize]);
                    withdrawn += u32::from(is_withdrawn);
                }
            }
        }
        // Eight for each request, plus forty per second and one saved burst of those.
        let most = 8.0 * f64::from(requests) + 40.0 * (now as f64 / 1000.0 + 1.0);
        prop_assert!(f64::from(withdrawn) <= most, "{} of {}", withdrawn, most);
        budget.set_pressure(at(now), 1.0);
        let rest = (now..=now + 1000).step_by(PRESSURE_INTERVAL.as_millis() as usize);
        rest.for_each(|n| budget.set_pressure(at(n), 1.0));
        prop_assert!(budget.withdraw(at(now + 1000), RecoveryAction::Repair));
    }
}
