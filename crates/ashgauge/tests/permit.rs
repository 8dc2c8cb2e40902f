//! Simulated fleets that keep a rate limit which one upstream names. They are checked by the
//! users' rule: in any four seconds, boxes that learned of the limit at least half a second
//! before send no more than the limit allows.

mod limited;

use proptest::prelude::*;

use limited::{END, Fault, FaultWindow, LIMIT_START, Scenario, World};

fn without_faults(boxes: usize, rate: f64, active_share: f64, seed: u64) -> Scenario {
    Scenario {
        boxes,
        demand: 3.0 * rate,
        active_share,
        rates: vec![(LIMIT_START, Some(rate))],
        faults: Vec::new(),
        loss_rate: 0.0,
        seed,
    }
}

#[test]
fn limit_is_kept_and_used_by_fleets_of_any_size() {
    for boxes in [1, 8, 73, 985] {
        for (rate, seeds) in [(0.2, 12), (2.0, 8), (6.3, 4), (40.0, 2), (500.0, 1)] {
            let mut used_share = 0.0;
            for seed in 0..seeds {
                let world = World::new(&without_faults(boxes, rate, 1.0, seed)).run();
                assert_eq!(
                    world.violation(),
                    None,
                    "{boxes} boxes, {rate}/s, seed {seed}"
                );
                used_share += world.used_share(LIMIT_START + 5.0, END) / f64::from(seeds as u32);
            }
            assert!(
                used_share >= 0.85,
                "{boxes} boxes, {rate}/s: {used_share:.2}"
            );
        }
    }
}

#[test]
fn limit_is_used_by_the_boxes_that_have_requests() {
    for boxes in [8, 73] {
        let world = World::new(&without_faults(boxes, 6.3, 0.25, 1)).run();
        assert_eq!(world.violation(), None);
        assert!(world.used_share(LIMIT_START + 5.0, END) >= 0.85);
    }
}

#[test]
fn limit_is_used_after_its_issuer_is_lost() {
    for boxes in [8, 73] {
        let mut scenario = without_faults(boxes, 6.3, 1.0, 1);
        let first = World::new(&scenario).order[0].clone();
        let first = first[1..].parse().unwrap();
        scenario.faults = vec![(first, Fault::Kill, 8.0, END)];
        let world = World::new(&scenario).run();
        assert_eq!(world.violation(), None);
        assert!(
            world.used_share(12.0, END) >= 0.85,
            "{}",
            world.used_share(12.0, END)
        );
    }
}

#[test]
fn all_requests_pass_after_the_limit_ended() {
    let mut scenario = without_faults(8, 6.3, 1.0, 1);
    scenario.rates.push((15.0, None));
    let world = World::new(&scenario).run();
    let after = world.arrivals.iter().filter(|a| a.time >= 16.0).count() as f64;
    assert!(after >= 0.9 * scenario.demand * (END - 16.0), "{after}");
}

prop_compose! {
    fn fault_window(boxes: usize)(
        n in 0..boxes,
        fault in prop_oneof![Just(Fault::Kill), Just(Fault::Freeze), Just(Fault::Cut)],
        from in 0.0..25.0,
        time in 0.2..6.0,
    ) -> FaultWindow {
        (n, fault, from, from + time)
    }
}

prop_compose! {
    fn scenario_with_faults()(
        boxes in prop_oneof![Just(2usize), Just(8), Just(24), Just(73)],
    )(
        boxes in Just(boxes),
        // Only boxes that may issue permits, so that faults hit the issuers.
        faults in prop::collection::vec(fault_window(boxes.min(10)), 0..6),
        rate in prop_oneof![0.2..2.0, 2.0..20.0, 20.0..120.0],
        factor in 1.5..4.0,
        active_share in 0.1..1.0,
        next in prop::option::of((8.0..20.0, 0.3..3.0)),
        loss_rate in prop_oneof![Just(0.0), Just(0.03)],
        seed in any::<u64>(),
    ) -> Scenario {
        let mut rates = vec![(LIMIT_START, Some(rate))];
        rates.extend(next.map(|(when, change): (f64, f64)| (when, Some(rate * change))));
        Scenario { boxes, demand: factor * rate, active_share, rates, faults, loss_rate, seed }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn limit_is_kept_under_any_faults(scenario in scenario_with_faults()) {
        let world = World::new(&scenario).run();
        prop_assert_eq!(world.violation(), None);
    }
}

/// Guards against an overrun where a limit is named again: requests that were sent while no
/// limit was named count against the next one.
#[test]
fn limit_that_is_named_again_is_kept_at_once() {
    for seed in 0..20 {
        let mut scenario = without_faults(8, 6.3, 1.0, seed);
        scenario.rates.extend([(12.0, None), (18.0, Some(6.3))]);
        let world = World::new(&scenario).run();
        assert_eq!(world.violation(), None, "seed {seed}");
    }
}
