//! Fleets in virtual time whose callers ask for more than engines can do in time, judged
//! by the requirements of `docs/design/overload.md`:
//! the parts of teams, and of requests of other sizes.

mod fleet;

use std::ops::Range;

use fleet::load::{BOXES, GOODPUT_LEAST, STEADY, burst, caller};
use fleet::{Caller, Run, USUAL, World};

/// Least part of its fair share that a team gets.
const TEAM_LEAST: f64 = 0.8;

/// Least rate at which the largest tenth is served, as a part of that of all.
const LARGEST_LEAST: f64 = 0.8;

/// Callers of teams, each with its demand and the boxes by which they enter.
fn teams(boxes: usize, of: &[(f64, Range<usize>)]) -> Run {
    let mut run = burst(boxes, 0.1, 1.0);
    let team = |(n, (times, boxes)): (usize, &(f64, Range<usize>))| Caller {
        boxes: boxes.clone(),
        ..caller(boxes.end, n as u32 + 1, 0, *times)
    };
    run.callers = of.iter().enumerate().map(team).collect();
    run
}

/// The teams that get less than the bound of what is fair: an equal part of what was
/// served, or all that they ask for if that is less.
fn unfair(run: &Run, span: Range<f64>) -> Vec<String> {
    let world = World::play(run);
    let got = |team| world.work(span.clone(), |s| world.team(s) == team);
    let asked = |team| world.asked(span.clone(), |s| world.team(s) == team);
    let teams: Vec<u32> = run.callers.iter().map(|c| c.team).collect();
    let part = teams.iter().map(|t| got(*t)).sum::<f64>() / teams.len() as f64;
    let short = |team: &&u32| got(**team) < TEAM_LEAST * part.min(asked(**team));
    let short = teams.iter().filter(short);
    short
        .map(|t| format!("team {t} of {}: {:.0} of {part:.0}", teams.len(), got(*t)))
        .collect()
}

/// Load: three teams that ask for once, twice and four times what engines can do, in
/// fleets of all sizes.
#[test]
fn teams_with_equal_claims_get_equal_parts() {
    for boxes in BOXES {
        let all = 0..boxes;
        let run = teams(boxes, &[(1.0, all.clone()), (2.0, all.clone()), (4.0, all)]);
        let unfair = unfair(&run, STEADY);
        assert!(unfair.is_empty(), "{boxes} boxes: {unfair:?}");
    }
}

/// Load: two teams that ask for 0.3 of what engines can do, and one that floods with 8
/// times as much as they can do by one box or by all.
#[test]
fn team_that_floods_takes_nothing_from_others() {
    for boxes in BOXES {
        for entry in [0..1, 0..boxes] {
            let all = 0..boxes;
            let run = teams(
                boxes,
                &[(0.3, all.clone()), (0.3, all), (8.0, entry.clone())],
            );
            let unfair = unfair(&run, STEADY);
            assert!(unfair.is_empty(), "{boxes} boxes, {entry:?}: {unfair:?}");
        }
    }
}

/// Guards against shares by requests where the requirement says work. Load: two teams
/// that ask for twice what engines can do each, by boxes of their own, one in requests
/// of four times the usual size.
#[test]
fn teams_with_large_requests_get_no_more_work() {
    let mut run = teams(8, &[(2.0, 0..4), (2.0, 4..8)]);
    run.callers[0].size = |_| (2000, 400);
    let unfair = unfair(&run, STEADY);
    assert!(unfair.is_empty(), "{unfair:?}");
}

/// Guards against teams that do not fit into a word singly. Load: 100 teams that ask
/// for 0.03 of what engines can do each, by 8 boxes.
#[test]
fn teams_that_are_told_together_get_equal_parts() {
    let many: Vec<_> = (0..100).map(|_| (0.03, 0..8)).collect();
    let mut run = teams(8, &many);
    run.callers.iter_mut().for_each(|c| c.span.end = 30.0);
    run.end = 36.0;
    let unfair = unfair(&run, 6.0..30.0);
    assert!(unfair.is_empty(), "{unfair:?}");
}

/// Guards against small teams that are counted once for each box that tells them
/// together, which leaves a team that is told singly without its part. Load: a team that
/// asks for half of what engines can do beside 100 that ask for 0.03 each.
#[test]
fn large_team_gets_its_part_beside_many_small_ones() {
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

/// Guards against engines that stay empty where some teams are told together. Load: 100
/// teams that ask for three times what engines can do together, by 8 boxes.
#[test]
fn goodput_stays_with_more_teams_than_a_word_holds() {
    let many: Vec<_> = (0..100).map(|_| (0.03, 0..8)).collect();
    let goodput = World::play(&teams(8, &many)).goodput(STEADY);
    assert!(goodput >= GOODPUT_LEAST, "{goodput:.3}");
}

/// Answers of which few are long: the largest are some 8 times the median.
fn heavy(draw: f64) -> (u32, u32) {
    let answer = 80.0 * (1.0 - draw).powf(-0.7);
    (USUAL.0, answer.min(1000.0) as u32)
}

/// Steady seconds where answers take up to five times as long as usual ones.
const STEADY_LONG: Range<f64> = 16.0..30.0;

/// A burst of requests of other sizes, for as long as the longest of them need.
fn sized(boxes: usize, times: f64, size: fn(f64) -> (u32, u32)) -> Run {
    let mut run = burst(boxes, 0.1, times);
    for caller in &mut run.callers {
        caller.size = size;
        caller.span.end = STEADY_LONG.end;
    }
    run.end = STEADY_LONG.end;
    run
}

/// Load: sizes with a heavy tail, 2 and 4 times what engines can do.
#[test]
fn largest_tenth_is_served_as_often_as_all() {
    for boxes in [8, 86, 985] {
        for times in [2.0, 4.0] {
            let world = World::play(&sized(boxes, times, heavy));
            let mut sizes: Vec<f64> = world.seen.iter().map(|s| s.work).collect();
            sizes.sort_by(f64::total_cmp);
            let large = sizes[sizes.len() * 9 / 10];
            // All of these end before the run does.
            let span = 6.0..16.0;
            let all = world.served(span.clone(), |_| true);
            let largest = world.served(span, |s| s.work >= large);
            assert!(
                largest >= LARGEST_LEAST * all,
                "{boxes} boxes, {times} times: {largest:.3} of {all:.3}"
            );
        }
    }
}

/// Load: sizes with a heavy tail, 2 and 4 times what engines can do.
#[test]
fn goodput_stays_with_a_heavy_tail() {
    let mut low = Vec::new();
    for boxes in BOXES {
        for times in [2.0, 4.0] {
            let goodput = World::play(&sized(boxes, times, heavy)).goodput(STEADY_LONG);
            if goodput < GOODPUT_LEAST {
                low.push(format!("{boxes} boxes, {times} times: {goodput:.3}"));
            }
        }
    }
    assert!(low.is_empty(), "{low:?}");
}

/// Guards against a usual size that the configuration tells wrong. Load: requests of 4
/// times the usual work, twice what engines can do, in fleets of all sizes.
#[test]
fn goodput_stays_where_all_requests_are_large() {
    let mut low = Vec::new();
    for boxes in BOXES {
        let mut run = burst(boxes, 0.1, 2.0);
        run.callers
            .iter_mut()
            .for_each(|c| c.size = |_| (2000, 400));
        let goodput = World::play(&run).goodput(STEADY);
        if goodput < GOODPUT_LEAST {
            low.push(format!("{boxes} boxes: {goodput:.3}"));
        }
    }
    assert!(low.is_empty(), "{low:?}");
}
