//! Simulated overload with several teams, and with requests of other sizes. The bounds are
//! the requirements of `docs/design/overload.md`.

mod fleet;

use std::ops::Range;

use fleet::load::{BOXES, MIN_GOODPUT, STEADY, burst, caller};
use fleet::{Caller, Scenario, TYPICAL, World};

/// Least allowed share of its fair share that a team gets.
const MIN_TEAM_SHARE: f64 = 0.8;

/// Least allowed service rate of the largest tenth, as a share of that of all requests.
const MIN_LARGEST_SHARE: f64 = 0.8;

/// Builds a burst of several teams, each with its demand and the boxes that receive it.
fn teams(boxes: usize, of: &[(f64, Range<usize>)]) -> Scenario {
    let mut scenario = burst(boxes, 0.1, 1.0);
    let team = |(n, (load_factor, boxes)): (usize, &(f64, Range<usize>))| Caller {
        boxes: boxes.clone(),
        ..caller(boxes.end, n as u32 + 1, 0, *load_factor)
    };
    scenario.callers = of.iter().enumerate().map(team).collect();
    scenario
}

/// Lists the teams that get less than [`MIN_TEAM_SHARE`] of their fair share, which is an
/// equal share of the served work, or all that they request if that is less.
fn unfair(scenario: &Scenario, span: Range<f64>) -> Vec<String> {
    let world = World::run(scenario);
    let got = |team| world.served_work(span.clone(), |s| world.team(s) == team);
    let asked = |team| world.requested_work(span.clone(), |s| world.team(s) == team);
    let teams: Vec<u32> = scenario.callers.iter().map(|c| c.team).collect();
    let fair_share = teams.iter().map(|t| got(*t)).sum::<f64>() / teams.len() as f64;
    let short = |team: &&u32| got(**team) < MIN_TEAM_SHARE * fair_share.min(asked(**team));
    let short = teams.iter().filter(short);
    short
        .map(|t| {
            format!(
                "team {t} of {}: {:.0} of {fair_share:.0}",
                teams.len(),
                got(*t)
            )
        })
        .collect()
}

/// Load: three teams that request once, twice and four times the engines' capacity, in
/// fleets of all sizes.
#[test]
fn teams_with_equal_claims_get_equal_shares() {
    for boxes in BOXES {
        let all = 0..boxes;
        let scenario = teams(boxes, &[(1.0, all.clone()), (2.0, all.clone()), (4.0, all)]);
        let unfair = unfair(&scenario, STEADY);
        assert!(unfair.is_empty(), "{boxes} boxes: {unfair:?}");
    }
}

/// Load: two teams that each request 0.3 of the engines' capacity, and one that sends 8
/// times the capacity to one box or to all.
#[test]
fn team_that_floods_takes_nothing_from_others() {
    for boxes in BOXES {
        for entry in [0..1, 0..boxes] {
            let all = 0..boxes;
            let scenario = teams(
                boxes,
                &[(0.3, all.clone()), (0.3, all), (8.0, entry.clone())],
            );
            let unfair = unfair(&scenario, STEADY);
            assert!(unfair.is_empty(), "{boxes} boxes, {entry:?}: {unfair:?}");
        }
    }
}

/// Guards against shares by number of requests where the requirement says work. Load: two
/// teams that each request twice the engines' capacity at boxes of their own, one in
/// requests of four times the typical size.
#[test]
fn teams_with_large_requests_get_no_more_work() {
    let mut scenario = teams(8, &[(2.0, 0..4), (2.0, 4..8)]);
    scenario.callers[0].size = |_| (2000, 400);
    let unfair = unfair(&scenario, STEADY);
    assert!(unfair.is_empty(), "{unfair:?}");
}

/// Guards against unequal shares where a report cannot list all teams singly. Load: 100
/// teams that each request 0.03 of the engines' capacity, at 8 boxes.
#[test]
fn teams_that_are_reported_together_get_equal_shares() {
    let many: Vec<_> = (0..100).map(|_| (0.03, 0..8)).collect();
    let mut scenario = teams(8, &many);
    scenario.callers.iter_mut().for_each(|c| c.span.end = 30.0);
    scenario.end = 36.0;
    let unfair = unfair(&scenario, 6.0..30.0);
    assert!(unfair.is_empty(), "{unfair:?}");
}

/// Guards against small teams that are counted once for each box that reports them as a
/// group, which leaves a team that is reported singly without its share. Load: a team that
/// requests half of the engines' capacity, beside 100 that request 0.03 each.
#[test]
fn large_team_gets_its_share_beside_many_small_ones() {
    let mut short = Vec::new();
    for boxes in [8, 86] {
        let mut all: Vec<_> = (0..100).map(|_| (0.03, 0..boxes)).collect();
        all.insert(0, (0.5, 0..boxes));
        let unfair = unfair(&teams(boxes, &all), STEADY);
        let large = unfair.iter().filter(|team| team.starts_with("team 1 "));
        short.extend(large.map(|team| format!("{boxes} boxes: {team}")));
    }
    assert!(short.is_empty(), "{short:?}");
}

/// Guards against idle engines where some teams are reported as a group. Load: 100 teams
/// that together request three times the engines' capacity, at 8 boxes.
#[test]
fn goodput_holds_with_more_teams_than_a_report_can_list() {
    let many: Vec<_> = (0..100).map(|_| (0.03, 0..8)).collect();
    let goodput = World::run(&teams(8, &many)).goodput(STEADY);
    assert!(goodput >= MIN_GOODPUT, "{goodput:.3}");
}

/// Sizes with few long answers: the largest are about 8 times the median.
fn heavy_tailed(draw: f64) -> (u32, u32) {
    let answer = 80.0 * (1.0 - draw).powf(-0.7);
    (TYPICAL.0, answer.min(1000.0) as u32)
}

/// Seconds of the steady state where answers take up to five times as long as typical ones.
const STEADY_LONG: Range<f64> = 16.0..30.0;

/// Builds a burst of requests of other sizes that lasts as long as the longest of them need.
fn burst_of_sizes(boxes: usize, load_factor: f64, size: fn(f64) -> (u32, u32)) -> Scenario {
    let mut scenario = burst(boxes, 0.1, load_factor);
    for caller in &mut scenario.callers {
        caller.size = size;
        caller.span.end = STEADY_LONG.end;
    }
    scenario.end = STEADY_LONG.end;
    scenario
}

/// Load: sizes with a heavy tail, 2 and 4 times the engines' capacity.
#[test]
fn largest_tenth_is_served_as_often_as_all() {
    for boxes in [8, 86, 985] {
        for load_factor in [2.0, 4.0] {
            let world = World::run(&burst_of_sizes(boxes, load_factor, heavy_tailed));
            let mut sizes: Vec<f64> = world.records.iter().map(|s| s.work).collect();
            sizes.sort_by(f64::total_cmp);
            let large = sizes[sizes.len() * 9 / 10];
            // All of these end before the run does.
            let span = 6.0..16.0;
            let all = world.served_share(span.clone(), |_| true);
            let largest = world.served_share(span, |s| s.work >= large);
            assert!(
                largest >= MIN_LARGEST_SHARE * all,
                "{boxes} boxes, load {load_factor}: {largest:.3} of {all:.3}"
            );
        }
    }
}

/// Load: sizes with a heavy tail, 2 and 4 times the engines' capacity.
#[test]
fn goodput_holds_with_a_heavy_tail() {
    let mut low = Vec::new();
    for boxes in BOXES {
        for load_factor in [2.0, 4.0] {
            let goodput =
                World::run(&burst_of_sizes(boxes, load_factor, heavy_tailed)).goodput(STEADY_LONG);
            if goodput < MIN_GOODPUT {
                low.push(format!("{boxes} boxes, load {load_factor}: {goodput:.3}"));
            }
        }
    }
    assert!(low.is_empty(), "{low:?}");
}

/// Guards against a wrong typical size in the configuration. Load: requests of 4 times the
/// typical work, twice the engines' capacity, in fleets of all sizes.
#[test]
fn goodput_holds_where_all_requests_are_large() {
    let mut low = Vec::new();
    for boxes in BOXES {
        let mut scenario = burst(boxes, 0.1, 2.0);
        scenario
            .callers
            .iter_mut()
            .for_each(|c| c.size = |_| (2000, 400));
        let goodput = World::run(&scenario).goodput(STEADY);
        if goodput < MIN_GOODPUT {
            low.push(format!("{boxes} boxes: {goodput:.3}"));
        }
    }
    assert!(low.is_empty(), "{low:?}");
}
