//! Simulated overload while boxes crash, are partitioned or report wrong figures. The bounds
//! are the requirements of `docs/design/overload.md`.

mod fleet;

use ashgauge::class::Class;
use ashgauge::demand::{self, Demand, DemandSource, TeamSketch, Traffic};
use ashgauge::load_report::{LoadSum, Usage};
use fleet::load::{BOXES, END, MIN_GOODPUT, RECOVERY_TIME, START, burst};
use fleet::{Fault, SERVICE, World};

/// Runs a burst of twice the engines' capacity at 8 boxes, with faults.
fn burst_with_faults(faults: Vec<(f64, Fault)>) -> World {
    let mut scenario = burst(8, 0.1, 2.0);
    scenario.faults = faults;
    World::run(&scenario)
}

/// Seconds after which silent boxes no longer count. Their last reports count for 2 s. For
/// 3 s more they are assumed to have the mean load of the others, as they may only be
/// unreachable.
const SILENT_BOX_SECONDS: f64 = 5.0;

/// Guards against demand and streams of lost boxes that are counted for ever. Load: 4 times
/// the engines' capacity, during which half of the boxes crash with their requests.
#[test]
fn goodput_recovers_after_half_of_the_boxes_crashed() {
    let mut scenario = burst(8, 0.1, 4.0);
    scenario.faults = vec![(START, Fault::Crash(4..8))];
    let goodput =
        World::run(&scenario).goodput(START + SILENT_BOX_SECONDS + 2.0 * RECOVERY_TIME..END);
    assert!(goodput >= MIN_GOODPUT, "{goodput:.3}");
}

/// Each half must assume that the other has the same load as itself. Load: twice the
/// engines' capacity; no reports pass between two halves for 5 s.
#[test]
fn goodput_holds_during_a_partition() {
    let world = burst_with_faults(vec![(6.0, Fault::Partition(4)), (11.0, Fault::Heal)]);
    let goodput = [6.0..11.0, 12.0..END].map(|span| world.goodput(span));
    assert!(goodput.iter().all(|g| *g >= MIN_GOODPUT), "{goodput:.3?}");
}

/// Each box must assume that the others have the same load as itself. Load: twice the
/// engines' capacity; no reports arrive for 5 s.
#[test]
fn goodput_holds_while_no_reports_arrive() {
    let world = burst_with_faults(vec![(6.0, Fault::DropReports), (11.0, Fault::Heal)]);
    let goodput = [6.0..11.0, 12.0..END].map(|span| world.goodput(span));
    assert!(goodput.iter().all(|g| *g >= MIN_GOODPUT), "{goodput:.3?}");
}

/// Guards against a level that outlives its cause. Load: 10 times the engines' capacity; it
/// ends at the moment from which on no reports arrive.
#[test]
fn level_ends_with_the_load_while_no_reports_arrive() {
    let mut scenario = burst(8, 0.1, 10.0);
    scenario.faults = vec![(END, Fault::DropReports)];
    let world = World::run(&scenario);
    // The last reports count for 2 s.
    let after = END + 2.0 + RECOVERY_TIME;
    let served = world.served_share(after..after + 1.0, |_| true);
    assert!(served >= MIN_GOODPUT, "{served:.3}");
}

/// Boxes start with no reports and no measured demand. Load: twice the engines' capacity
/// from the start.
#[test]
fn goodput_holds_after_a_fleet_start() {
    for boxes in BOXES {
        let mut scenario = burst(boxes, 0.1, 2.0);
        scenario.callers.iter_mut().for_each(|c| c.span = 0.0..END);
        let goodput = World::run(&scenario).goodput(4.0..END);
        assert!(goodput >= MIN_GOODPUT, "{boxes} boxes: {goodput:.3}");
    }
}

/// Builds the load of a box that reports wrong figures.
fn wrong_load(demands: Vec<(u8, Demand)>, completions: u32, used: u32) -> LoadSum {
    let source = |route| DemandSource {
        service: demand::name_key(SERVICE),
        class: Class::new(Some(0), u32::from(route), false),
        team: None,
    };
    let demands = demands.into_iter().map(|(r, d)| (source(r), d));
    let usage = Usage {
        requests: used,
        head_requests: used,
        token_layers: used,
        prefill_ms: used,
    };
    LoadSum {
        boxes: 1,
        usage: vec![(fleet::engines_key(), usage)],
        suspects: Vec::new(),
        traffic: Traffic {
            demands: demands.collect(),
            completions: vec![(demand::name_key(SERVICE), completions)],
        },
        slow: Vec::new(),
    }
}

/// One of 8 boxes reports no demand and 0 completions while its requests run. Load: twice
/// the engines' capacity.
#[test]
fn goodput_holds_where_a_box_reports_nothing() {
    let world = burst_with_faults(vec![(
        6.0,
        Fault::Misreport(0, wrong_load(Vec::new(), 0, 0)),
    )]);
    let goodput = world.goodput(8.0..END);
    assert!(goodput >= MIN_GOODPUT, "{goodput:.3}");
}

/// Two of 8 boxes report the largest figures that a report can hold, until they crash.
/// Nothing may overflow, and goodput recovers once they are silent. Load: twice the engines'
/// capacity.
#[test]
fn goodput_recovers_after_boxes_reported_the_largest_figures() {
    let all = Demand {
        rate: u32::MAX,
        work: u32::MAX,
        teams: (0..9999)
            .map(TeamSketch::single)
            .fold(TeamSketch::default(), TeamSketch::union),
    };
    let false_report = wrong_load(vec![(0, all), (1, all)], u32::MAX, u32::MAX);
    let world = burst_with_faults(vec![
        (3.0, Fault::Misreport(0, false_report.clone())),
        (3.0, Fault::Misreport(1, false_report)),
        (4.0, Fault::Crash(0..2)),
    ]);
    let goodput = world.goodput(4.0 + SILENT_BOX_SECONDS + 2.0 * RECOVERY_TIME..END);
    assert!(goodput >= MIN_GOODPUT, "{goodput:.3}");
}
