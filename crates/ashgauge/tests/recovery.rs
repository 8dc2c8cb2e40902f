//! What a box does for streams that are held up, while engines have too much to do.

use std::time::Duration;

use ashgauge::recovery::{RecoveryAction, RecoveryBudget, stops_waiting};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const USES: [RecoveryAction; 3] = [
    RecoveryAction::Repair,
    RecoveryAction::Resend,
    RecoveryAction::Check,
];

/// Time between two reckonings of the pressure.
const RECKON: Duration = Duration::from_millis(50);

/// Time between two looks of a stream that waits.
const LOOK: Duration = Duration::from_millis(50);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn at(n: u64) -> Duration {
    ms(60_000 + n)
}

/// An account that has been under this pressure for two seconds, with so many requests
/// a second.
fn pressed(pressure: f64, requests: u64) -> RecoveryBudget {
    let mut account = RecoveryBudget::default();
    drive(&mut account, 0..2000, pressure, requests);
    account
}

/// Lets requests in and reckons the pressure for some milliseconds.
fn drive(account: &mut RecoveryBudget, span: std::ops::Range<u64>, pressure: f64, requests: u64) {
    for n in span {
        if n % 50 == 0 {
            account.set_pressure(at(n), pressure);
        }
        if requests > 0 && n % (1000 / requests) == 0 {
            account.record_request(at(n));
        }
    }
}

/// Takes as often as there is something; returns how often.
fn drain(account: &mut RecoveryBudget, now: Duration, what: RecoveryAction) -> usize {
    (0..10_000)
        .take_while(|_| account.withdraw(now, what))
        .count()
}

/// At 2.2 times the load 32,000 checks were made for 18,400 requests; at most one for
/// five requests may be.
#[test]
fn checks_at_full_pressure_are_few_for_each_request() {
    for requests in [5, 10, 50, 200] {
        let mut account = pressed(1.0, requests);
        let mut checks = 0;
        for n in (2000..12_000).step_by(10) {
            drive(&mut account, n..n + 10, 1.0, requests);
            checks += drain(&mut account, at(n + 9), RecoveryAction::Check);
        }
        // One pool may have been full before.
        let most = 0.2 * (requests * 10) as f64 * 1.05 + 1.0;
        assert!(checks as f64 <= most, "{checks} of {most}, {requests}/s");
        assert!(
            checks as f64 > most * 0.4,
            "{checks} of {most}, {requests}/s"
        );
    }
}

/// Where engines have time, a lost engine must be found as fast as without a budget: a
/// box of 9 requests a second has some 36 streams over 7 engines each.
#[test]
fn checks_without_pressure_find_a_lost_engine_at_once() {
    for pressure in [0.0, 0.3, 0.6] {
        let mut account = pressed(pressure, 10);
        assert!(
            drain(&mut account, at(2000), RecoveryAction::Check) >= 7,
            "{pressure}"
        );
    }
}

/// 1,000 streams of one box lose the same engine while all engines are full: as many as
/// before would ask engines to read their prompts anew in the same moment.
#[test]
fn thousand_streams_of_a_lost_engine_are_repaired_one_after_the_other() {
    let mut account = pressed(1.0, 100);
    let mut rng = SmallRng::seed_from_u64(1);
    let until = at(2000 + 1200);
    let mut waiting: Vec<u32> = (0..1000).collect();
    let mut in_looks = Vec::new();
    for n in (2000..=3200).step_by(LOOK.as_millis() as usize) {
        drive(&mut account, n..n + 50, 1.0, 100);
        let before = waiting.len();
        let left = until.saturating_sub(at(n));
        waiting.retain(|_| {
            let goes = account.withdraw(at(n), RecoveryAction::Repair);
            !(goes || stops_waiting(left, LOOK, rng.random_range(0.0..1.0)))
        });
        in_looks.push(before - waiting.len());
    }
    assert!(waiting.is_empty(), "{} given up", waiting.len());
    let most = in_looks.iter().max();
    assert!(most < Some(&150), "{in_looks:?}");
}

/// A stream that waits for others is still led elsewhere before its caller leaves.
#[test]
fn no_stream_waits_longer_than_it_may() {
    assert!(stops_waiting(Duration::ZERO, LOOK, 0.999_999));
    assert!(stops_waiting(LOOK, LOOK, 0.999_999));
    assert!(!stops_waiting(ms(1000), LOOK, 0.5));
    assert!(stops_waiting(ms(1000), LOOK, 0.04));
}

/// Streams that are silent as engines are slow once took what streams needed of which the
/// caller had a part.
#[test]
fn less_useful_work_leaves_enough_for_repairs() {
    let mut account = pressed(1.0, 10);
    drain(&mut account, at(2000), RecoveryAction::Check);
    drain(&mut account, at(2000), RecoveryAction::Resend);
    assert!(!account.withdraw(at(2000), RecoveryAction::Check));
    assert!(!account.withdraw(at(2000), RecoveryAction::Resend));
    assert!(account.withdraw(at(2000), RecoveryAction::Repair));
}

/// A box whose streams only have parts uses all that there is for them.
#[test]
fn repairs_use_what_others_leave() {
    let (mut all, mut checks) = (pressed(0.0, 50), pressed(0.0, 50));
    let repairs = drain(&mut all, at(2000), RecoveryAction::Repair);
    let checks = drain(&mut checks, at(2000), RecoveryAction::Check);
    assert!(
        (3 * checks..=5 * checks).contains(&repairs),
        "{repairs}, {checks}"
    );
    assert!(!all.withdraw(at(2000), RecoveryAction::Check));
}

/// The storm must not outlive the load: with the pressure gone all is there within a
/// second.
#[test]
fn account_is_full_a_second_after_the_pressure_fell() {
    let mut account = pressed(1.0, 100);
    USES.iter()
        .for_each(|u| _ = drain(&mut account, at(2000), *u));
    drive(&mut account, 2000..3000, 0.2, 100);
    let mut fresh = pressed(0.2, 100);
    for what in USES.iter().rev() {
        let (now, there) = (
            drain(&mut account, at(3000), *what),
            drain(&mut fresh, at(2000), *what),
        );
        assert!(now + 1 >= there, "{what:?}: {now} of {there}");
    }
}

/// With the load all requests may be gone, and nobody reckons the pressure any more.
#[test]
fn pressure_that_nobody_reckons_is_forgotten() {
    let mut account = pressed(1.0, 5);
    USES.iter()
        .for_each(|u| _ = drain(&mut account, at(2000), *u));
    assert!(account.pressure(at(2000)) > 0.9);
    assert_eq!(account.pressure(at(3000)), 0.0);
    let there = drain(
        &mut RecoveryBudget::default(),
        at(0),
        RecoveryAction::Repair,
    );
    assert_eq!(drain(&mut account, at(3000), RecoveryAction::Repair), there);
}

/// An account into which no request ever pays must still let a box repair a stream.
#[test]
fn account_without_requests_allows_a_repair_each_second() {
    let mut account = pressed(1.0, 0);
    let mut now = 2000;
    for _ in 0..100 {
        USES.iter()
            .for_each(|u| _ = drain(&mut account, at(now), *u));
        assert!(!account.withdraw(at(now), RecoveryAction::Repair));
        drive(&mut account, now..now + 1001, 1.0, 0);
        now += 1000;
        assert!(account.withdraw(at(now), RecoveryAction::Repair), "{now}");
    }
}

/// Engines that report absurd figures give a pressure that is none, or endless.
#[test]
fn absurd_pressure_counts_as_the_nearest_that_can_be() {
    for (absurd, like) in [
        (f64::NAN, 1.0),
        (f64::INFINITY, 1.0),
        (1e300, 1.0),
        (-3.0, 0.0),
        (f64::NEG_INFINITY, 0.0),
    ] {
        let (mut one, mut other) = (pressed(absurd, 50), pressed(like, 50));
        assert!(one.pressure(at(2000)).is_finite());
        for what in USES.iter().rev() {
            let is = drain(&mut one, at(2000), *what);
            assert_eq!(is, drain(&mut other, at(2000), *what), "{absurd}");
        }
    }
}

/// A clock that is read out of order must not pay anything in twice.
#[test]
fn time_that_goes_back_pays_nothing() {
    let mut account = pressed(1.0, 10);
    drain(&mut account, at(2000), RecoveryAction::Repair);
    for n in 0..1000 {
        account.set_pressure(at(1000 + n % 2), 1.0);
        assert!(!account.withdraw(at(1000 + n % 2), RecoveryAction::Repair));
    }
}

/// What happens to an account.
#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    Press(f64),
    Request,
    Take(RecoveryAction),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u64..120).prop_map(Step::Wait),
        (-0.5f64..3.0).prop_map(Step::Press),
        Just(Step::Request),
        prop::sample::select(USES.to_vec()).prop_map(Step::Take),
        prop::sample::select(USES.to_vec()).prop_map(Step::Take),
    ]
}

proptest! {
    /// Whatever happens: what a use may take any more useful one may; what is taken is
    /// bounded by the requests and the time; and a second of rest brings one repair.
    #[test]
    fn account_is_bounded_and_orders_uses(steps in prop::collection::vec(step(), 1..400)) {
        let mut account = RecoveryBudget::default();
        let (mut now, mut requests, mut taken) = (0, 0u32, 0u32);
        for step in steps {
            match step {
                Step::Wait(n) => now += n,
                Step::Press(pressure) => account.set_pressure(at(now), pressure),
                Step::Request => {
                    requests += 1;
                    account.record_request(at(now));
                }
                Step::Take(what) => {
                    let may = USES.map(|u| account.has_credit(at(now), u));
                    prop_assert!(may[0] >= may[1] && may[1] >= may[2]);
                    let is_taken = account.withdraw(at(now), what);
                    prop_assert_eq!(is_taken, may[what as usize]);
                    taken += u32::from(is_taken);
                }
            }
        }
        // Eight for each request, and forty a second and one pool of them besides.
        let most = 8.0 * f64::from(requests) + 40.0 * (now as f64 / 1000.0 + 1.0);
        prop_assert!(f64::from(taken) <= most, "{} of {}", taken, most);
        account.set_pressure(at(now), 1.0);
        let rest = (now..=now + 1000).step_by(RECKON.as_millis() as usize);
        rest.for_each(|n| account.set_pressure(at(n), 1.0));
        prop_assert!(account.withdraw(at(now + 1000), RecoveryAction::Repair));
    }
}
