//! Which boxes read for the others, and whom the others ask.

mod common;

use std::time::Duration;

use ashgauge::asker::{Asker, Pace, Step};
use ashgauge::member::BoxId;
use ashgauge::question::Body;
use ashgauge::reader::{Member, Silences, choose, count};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const MS: Duration = Duration::from_millis(1);
const ZERO: Duration = Duration::ZERO;

const PACE: Pace = Pace {
    every: Duration::from_millis(1000),
    answer: Duration::from_millis(150),
    fetch: Duration::from_millis(1000),
    stale: Duration::from_millis(1800),
};

fn member(id: &str, place: &str) -> Member {
    Member {
        id: id.into(),
        place: place.into(),
        link: 0,
    }
}

fn fleet(sizes: &[usize]) -> Vec<Member> {
    let places = sizes.iter().enumerate();
    let boxes = places.flat_map(|(p, n)| {
        (0..*n).map(move |b| member(&format!("box-{p}-{b}"), &format!("place-{p}")))
    });
    boxes.collect()
}

proptest! {
    #![proptest_config(common::seeded(64))]

    /// With one view of the fleet there are just as many readers as it needs, in
    /// as many data centres as may be, and whoever does not read has one to ask.
    #[test]
    fn one_view_has_enough_readers(sizes in proptest::collection::vec(1usize..70, 1..6)) {
        let members = fleet(&sizes);
        let none = Silences::default();
        let seen: Vec<_> = members
            .iter()
            .map(|me| (me, choose(me, &members, &none, MS, None)))
            .collect();
        let readers: Vec<&Member> = seen.iter().filter(|(_, r)| r.is_own).map(|(m, _)| *m).collect();
        prop_assert_eq!(readers.len(), count(members.len()));
        prop_assert!(readers.len() >= members.len().min(3));
        let places: std::collections::BTreeSet<&str> = readers.iter().map(|m| &*m.place).collect();
        prop_assert_eq!(places.len(), sizes.len().min(readers.len()));
        for (me, own) in &seen {
            prop_assert!(!own.sources.contains(&me.id));
            let first = own.sources.first();
            let reads = |id: &BoxId| readers.iter().any(|m| m.id == *id);
            prop_assert!(own.is_own || first.is_some_and(reads));
        }
    }

    /// Whoever is passed over reads for nobody, and the next one does.
    #[test]
    fn silent_readers_are_replaced(size in 2usize..40, lost in 1usize..4) {
        let members = fleet(&[size, 5, 5]);
        let mut silences = Silences::default();
        for _ in 0..lost {
            let reader = members.iter().find(|m| {
                !silences.holds(MS, &m.id) && choose(m, &members, &silences, MS, Some(1)).is_own
            });
            silences.note(MS, &reader.expect("a reader").id.clone());
        }
        let alive = members.iter().filter(|m| !silences.holds(MS, &m.id));
        let readers = alive.filter(|m| choose(m, &members, &silences, MS, Some(1)).is_own);
        prop_assert_eq!(readers.count(), 1);
    }
}

/// A data centre that is cut off from the others reads for itself.
#[test]
fn data_centre_without_others_reads_for_itself() {
    let members = fleet(&[4, 4, 4, 4, 4]);
    let mut silences = Silences::default();
    let far = members.iter().filter(|m| &*m.place != "place-3");
    far.for_each(|m| silences.note(MS, &m.id));
    let near = members.iter().filter(|m| &*m.place == "place-3");
    let readers = near.filter(|m| choose(m, &members, &silences, MS, None).is_own);
    assert_eq!(readers.count(), 3);
}

#[test]
fn questions_spread_over_the_readers() {
    // Two readers in each.
    let members = fleet(&[60, 60]);
    let none = Silences::default();
    let sources = members
        .iter()
        .take(60)
        .map(|me| choose(me, &members, &none, MS, None));
    let mut firsts = std::collections::BTreeMap::new();
    for readers in sources.filter(|r| !r.is_own) {
        *firsts.entry(readers.sources[0].clone()).or_insert(0) += 1;
    }
    assert_eq!(firsts.len(), 2);
    assert!(firsts.values().all(|n| *n > 15), "{firsts:?}");
}

fn names(ids: &[&str]) -> Vec<BoxId> {
    ids.iter().map(|id| BoxId::from(*id)).collect()
}

fn known(age: Duration) -> Body {
    let update = ashgauge::mirror::Mirror::default().update(0, true);
    Body::Known { age, update }
}

#[test]
fn next_box_is_asked_where_one_knows_too_little() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut asker = Asker::default();
    let mut step =
        |asker: &mut Asker, at: Duration| asker.step(at, &PACE, || names(&["b1", "b2"]), &mut rng);
    let Step::Ask { to, id } = step(&mut asker, ZERO) else {
        panic!("nobody asked");
    };
    assert_eq!(asker.close(id, &to), Some(ZERO));
    asker.hear(2 * MS, &PACE, &to, &known(1900 * MS));
    let Step::Ask { to, .. } = step(&mut asker, 2 * MS) else {
        panic!("only one asked");
    };
    assert_eq!(&*to, "b2");
    asker.hear(3 * MS, &PACE, &to, &Body::Nothing);
    assert_eq!(step(&mut asker, 3 * MS), Step::Failed { answered: true });
    assert!(!asker.silences.holds(4 * MS, "b1"));
    let Step::Wait(next) = step(&mut asker, 4 * MS) else {
        panic!("asks on");
    };
    assert!((800 * MS..=1000 * MS).contains(&next), "{next:?}");
}

#[test]
fn fresh_answer_ends_a_round_and_news_begin_one() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut asker = Asker::default();
    let sources = || names(&["b1", "b2"]);
    let Step::Ask { to, .. } = asker.step(ZERO, &PACE, sources, &mut rng) else {
        panic!("nobody asked");
    };
    asker.hear(MS, &PACE, &to, &known(ZERO));
    assert!(matches!(
        asker.step(MS, &PACE, sources, &mut rng),
        Step::Wait(_)
    ));
    asker.note_news("b9".into());
    let step = asker.step(2 * MS, &PACE, sources, &mut rng);
    assert!(matches!(step, Step::Ask { to, .. } if &*to == "b9"));
}

#[test]
fn answers_count_once_and_only_from_whom_was_asked() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut asker = Asker::default();
    let Step::Ask { id, .. } = asker.step(7 * MS, &PACE, || names(&["b1"]), &mut rng) else {
        panic!("nobody asked");
    };
    assert_eq!(asker.close(id, "b2"), None);
    assert_eq!(asker.close(id + 1, "b1"), None);
    assert_eq!(asker.close(id, "b1"), Some(7 * MS));
    assert_eq!(asker.close(id, "b1"), None);
}

#[test]
fn silent_box_is_passed_over_until_it_answers() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut asker = Asker::default();
    let sources = || names(&["b1"]);
    let Step::Ask { to, .. } = asker.step(ZERO, &PACE, sources, &mut rng) else {
        panic!("nobody asked");
    };
    assert_eq!(
        asker.step(149 * MS, &PACE, sources, &mut rng),
        Step::Wait(150 * MS)
    );
    assert_eq!(
        asker.step(150 * MS, &PACE, sources, &mut rng),
        Step::Failed { answered: false }
    );
    assert!(asker.silences.holds(1000 * MS, "b1"));
    asker.hear(1001 * MS, &PACE, &to, &Body::Nothing);
    assert!(!asker.silences.holds(1002 * MS, "b1"));
}

/// A box whose large answer cannot be fetched once held up the round for a
/// second.
#[test]
fn next_box_is_asked_where_an_answer_is_not_fetched() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut asker = Asker::default();
    let sources = || names(&["b1", "b2"]);
    let Step::Ask { to, .. } = asker.step(ZERO, &PACE, sources, &mut rng) else {
        panic!("nobody asked");
    };
    let large = Body::Large {
        ticket: 1,
        bytes: 9000,
    };
    asker.hear(MS, &PACE, &to, &large);
    assert_eq!(
        asker.step(500 * MS, &PACE, sources, &mut rng),
        Step::Wait(1001 * MS)
    );
    asker.note_lost(500 * MS, &to);
    let step = asker.step(500 * MS, &PACE, sources, &mut rng);
    assert!(matches!(step, Step::Ask { to, .. } if &*to == "b2"));
}

/// After all boxes were lost a reader with a slow link took seconds to inform the
/// others, while boxes with ten times its link asked it.
#[test]
fn boxes_with_fast_links_read_first() {
    let boxes = |slow: usize| {
        let places = ["a", "b", "c"];
        let slow = (0..slow).map(move |n| member(&format!("slow-{n}"), places[n % 3]));
        let fast = (0..3).map(move |n| Member {
            link: 200,
            ..member(&format!("fast-{n}"), places[n])
        });
        slow.chain(fast).collect::<Vec<_>>()
    };
    for count in [10, 70] {
        let members = boxes(count);
        let reads = |me: &Member| {
            let silences = Silences::default();
            choose(me, &members, &silences, Duration::ZERO, None).is_own
        };
        let readers: Vec<_> = members.iter().filter(|m| reads(m)).collect();
        assert_eq!(readers.len(), 3);
        assert!(readers.iter().all(|m| m.link == 200), "{readers:?}");
    }
}
