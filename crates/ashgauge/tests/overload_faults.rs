//! Fleets in virtual time whose callers ask for more than engines can do in time, judged
//! by the requirements of `docs/design/overload.md`,
//! while boxes are lost, cut off or tell wrong figures.

mod fleet;

use ashgauge::class::Class;
use ashgauge::demand::{self, Demand, DemandSource, TeamSketch, Traffic};
use ashgauge::load_report::{LoadSum, Usage};
use fleet::load::{BEGIN, BOXES, END, GOODPUT_LEAST, RECOVER, burst};
use fleet::{Fault, SERVICE, World};

/// A burst of twice what engines can do by 8 boxes, with faults.
fn failing(faults: Vec<(f64, Fault)>) -> World {
    let mut run = burst(8, 0.1, 2.0);
    run.faults = faults;
    World::play(&run)
}

/// Seconds after which boxes that fell silent no longer count: their last words count for
/// 2 s, and as the others for 3 s more, as they may only be cut off.
const ABSENT: f64 = 5.0;

/// Guards against demand and streams of lost boxes that count for good. Load: 4 times what
/// engines can do; half of the boxes die in it with their requests.
#[test]
fn goodput_returns_after_half_of_the_boxes_died() {
    let mut run = burst(8, 0.1, 4.0);
    run.faults = vec![(BEGIN, Fault::Die(4..8))];
    let goodput = World::play(&run).goodput(BEGIN + ABSENT + 2.0 * RECOVER..END);
    assert!(goodput >= GOODPUT_LEAST, "{goodput:.3}");
}

/// Each half takes the other to do as itself. Load: twice what engines can do; two
/// halves do not hear each other for 5 s.
#[test]
fn goodput_stays_while_halves_do_not_hear_each_other() {
    let world = failing(vec![(6.0, Fault::Part(4)), (11.0, Fault::Heal)]);
    let goodput = [6.0..11.0, 12.0..END].map(|span| world.goodput(span));
    assert!(goodput.iter().all(|g| *g >= GOODPUT_LEAST), "{goodput:.3?}");
}

/// Each box takes the others to do as itself. Load: twice what engines can do; no words
/// arrive for 5 s.
#[test]
fn goodput_stays_while_no_words_arrive() {
    let world = failing(vec![(6.0, Fault::Mute), (11.0, Fault::Heal)]);
    let goodput = [6.0..11.0, 12.0..END].map(|span| world.goodput(span));
    assert!(goodput.iter().all(|g| *g >= GOODPUT_LEAST), "{goodput:.3?}");
}

/// Guards against a level that outlives its cause. Load: 10 times what engines can do,
/// which ends at the moment from which on no words arrive.
#[test]
fn level_ends_with_its_cause_while_no_words_arrive() {
    let mut run = burst(8, 0.1, 10.0);
    run.faults = vec![(END, Fault::Mute)];
    let world = World::play(&run);
    // The last words count for 2 s.
    let after = END + 2.0 + RECOVER;
    let served = world.served(after..after + 1.0, |_| true);
    assert!(served >= GOODPUT_LEAST, "{served:.3}");
}

/// Boxes begin with no words and no demand. Load: twice what engines can do from the
/// first moment on.
#[test]
fn goodput_stays_after_a_fleet_has_started() {
    for boxes in BOXES {
        let mut run = burst(boxes, 0.1, 2.0);
        run.callers.iter_mut().for_each(|c| c.span = 0.0..END);
        let goodput = World::play(&run).goodput(4.0..END);
        assert!(goodput >= GOODPUT_LEAST, "{boxes} boxes: {goodput:.3}");
    }
}

/// What a box tells whose figures are wrong.
fn absurd(demands: Vec<(u8, Demand)>, ends: u32, used: u32) -> LoadSum {
    let source = |route| DemandSource {
        service: demand::name_key(SERVICE),
        class: Class::new(Some(0), u32::from(route), false),
        team: None,
    };
    let demands = demands.into_iter().map(|(r, d)| (source(r), d));
    let uses = Usage {
        requests: used,
        head_requests: used,
        token_layers: used,
        prefill_ms: used,
    };
    LoadSum {
        boxes: 1,
        usage: vec![(fleet::engines_key(), uses)],
        suspects: Vec::new(),
        traffic: Traffic {
            demands: demands.collect(),
            completions: vec![(demand::name_key(SERVICE), ends)],
        },
        slow: Vec::new(),
    }
}

/// One of 8 boxes tells nothing or ends of 0, while its requests run. Load: twice what
/// engines can do.
#[test]
fn goodput_stays_where_a_box_tells_nothing() {
    let world = failing(vec![(6.0, Fault::Lie(0, absurd(Vec::new(), 0, 0)))]);
    let goodput = world.goodput(8.0..END);
    assert!(goodput >= GOODPUT_LEAST, "{goodput:.3}");
}

/// Two of 8 boxes tell the largest figures that a word holds, until they die. Nothing may
/// overflow, and goodput returns once they are silent. Load: twice what engines can do.
#[test]
fn goodput_returns_after_boxes_told_the_largest_figures() {
    let all = Demand {
        rate: u32::MAX,
        work: u32::MAX,
        teams: (0..9999)
            .map(TeamSketch::single)
            .fold(TeamSketch::default(), TeamSketch::union),
    };
    let lie = absurd(vec![(0, all), (1, all)], u32::MAX, u32::MAX);
    let world = failing(vec![
        (3.0, Fault::Lie(0, lie.clone())),
        (3.0, Fault::Lie(1, lie)),
        (4.0, Fault::Die(0..2)),
    ]);
    let goodput = world.goodput(4.0 + ABSENT + 2.0 * RECOVER..END);
    assert!(goodput >= GOODPUT_LEAST, "{goodput:.3}");
}
