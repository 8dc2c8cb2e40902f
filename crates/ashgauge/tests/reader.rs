//! Which boxes read for the others, and whom the others ask.

mod common;

use std::time::Duration;

use ashgauge::member::BoxId;
use ashgauge::poller::{PollAction, PollFailure, PollTiming, Poller};
use ashgauge::query::AnswerBody;
use ashgauge::reader::{Backoffs, Fleet, Member, Readers, reader_count};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const MS: Duration = Duration::from_millis(1);
const ZERO: Duration = Duration::ZERO;

const PACE: PollTiming = PollTiming {
    interval: Duration::from_millis(1000),
    answer_timeout: Duration::from_millis(150),
    fetch_timeout: Duration::from_millis(1000),
    max_age: Duration::from_millis(1800),
};

fn member(id: &str, place: &str) -> Member {
    Member {
        id: id.into(),
        data_centre: place.into(),
        link_mbps: 0,
    }
}

/// The readers, as a box of a fleet sees them that knows all others.
fn choose(
    me: &Member,
    members: &[Member],
    silences: &Backoffs,
    now: Duration,
    readers: Option<usize>,
) -> Readers {
    let fleet = Fleet {
        candidates: members.to_vec(),
        box_count: members.len(),
        reader_count: readers,
    };
    ashgauge::reader::choose(me, &fleet, silences, now)
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
        let none = Backoffs::default();
        let seen: Vec<_> = members
            .iter()
            .map(|me| (me, choose(me, &members, &none, MS, None)))
            .collect();
        let readers: Vec<&Member> = seen.iter().filter(|(_, r)| r.includes_self).map(|(m, _)| *m).collect();
        let links = std::iter::repeat(0);
        prop_assert_eq!(readers.len(), reader_count(members.len(), sizes.len(), links));
        prop_assert!(readers.len() >= members.len().min(3));
        let places: std::collections::BTreeSet<&str> = readers.iter().map(|m| &*m.data_centre).collect();
        prop_assert_eq!(places.len(), sizes.len().min(readers.len()));
        for (me, own) in &seen {
            prop_assert!(!own.sources.contains(&me.id));
            let first = own.sources.first();
            let reads = |id: &BoxId| readers.iter().any(|m| m.id == *id);
            prop_assert!(own.includes_self || first.is_some_and(reads));
        }
    }

    /// Whoever is passed over reads for nobody, and the next one does.
    #[test]
    fn silent_readers_are_replaced(size in 2usize..40, lost in 1usize..4) {
        let members = fleet(&[size, 5, 5]);
        let mut silences = Backoffs::default();
        for _ in 0..lost {
            let reader = members.iter().find(|m| {
                !silences.is_backed_off(MS, &m.id) && choose(m, &members, &silences, MS, Some(1)).includes_self
            });
            silences.back_off(MS, &reader.expect("a reader").id.clone());
        }
        let alive = members.iter().filter(|m| !silences.is_backed_off(MS, &m.id));
        let readers = alive.filter(|m| choose(m, &members, &silences, MS, Some(1)).includes_self);
        prop_assert_eq!(readers.count(), 1);
    }
}

/// A data centre that is cut off from the others reads for itself.
#[test]
fn data_centre_without_others_reads_for_itself() {
    let members = fleet(&[4, 4, 4, 4, 4]);
    let mut silences = Backoffs::default();
    let far = members.iter().filter(|m| &*m.data_centre != "place-3");
    far.for_each(|m| silences.back_off(MS, &m.id));
    let near = members.iter().filter(|m| &*m.data_centre == "place-3");
    let readers = near.filter(|m| choose(m, &members, &silences, MS, None).includes_self);
    assert_eq!(readers.count(), 3);
}

#[test]
fn questions_spread_over_the_readers() {
    // Two readers in each.
    let members = fleet(&[60, 60]);
    let none = Backoffs::default();
    let sources = members
        .iter()
        .take(60)
        .map(|me| choose(me, &members, &none, MS, None));
    let mut firsts = std::collections::BTreeMap::new();
    for readers in sources.filter(|r| !r.includes_self) {
        *firsts.entry(readers.sources[0].clone()).or_insert(0) += 1;
    }
    assert_eq!(firsts.len(), 2);
    assert!(firsts.values().all(|n| *n > 15), "{firsts:?}");
}

fn names(ids: &[&str]) -> Vec<BoxId> {
    ids.iter().map(|id| BoxId::from(*id)).collect()
}

fn known(age: Duration) -> AnswerBody {
    let update = ashgauge::mirror::Mirror::default().update(0, true);
    AnswerBody::Update { age, update }
}

#[test]
fn next_box_is_asked_where_one_knows_too_little() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut asker = Poller::default();
    let mut step = |asker: &mut Poller, at: Duration| {
        asker.next_action(at, &PACE, || names(&["b1", "b2"]), &mut rng)
    };
    let PollAction::Query { to, id } = step(&mut asker, ZERO) else {
        panic!("nobody asked");
    };
    assert_eq!(asker.close_query(id, &to), Some(ZERO));
    asker.on_answer(2 * MS, &PACE, &to, &known(1900 * MS));
    let PollAction::Query { to, .. } = step(&mut asker, 2 * MS) else {
        panic!("only one asked");
    };
    assert_eq!(&*to, "b2");
    asker.on_answer(3 * MS, &PACE, &to, &AnswerBody::Empty { asked_ago: None });
    assert_eq!(
        step(&mut asker, 3 * MS),
        PollAction::Failed(PollFailure::StaleAnswer)
    );
    assert!(!asker.backoffs.is_backed_off(4 * MS, "b1"));
    let PollAction::Wait(next) = step(&mut asker, 4 * MS) else {
        panic!("asks on");
    };
    assert!((800 * MS..=1000 * MS).contains(&next), "{next:?}");
}

#[test]
fn fresh_answer_ends_a_round_and_news_begin_one() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut asker = Poller::default();
    let sources = || names(&["b1", "b2"]);
    let PollAction::Query { to, .. } = asker.next_action(ZERO, &PACE, sources, &mut rng) else {
        panic!("nobody asked");
    };
    asker.on_answer(MS, &PACE, &to, &known(ZERO));
    assert!(matches!(
        asker.next_action(MS, &PACE, sources, &mut rng),
        PollAction::Wait(_)
    ));
    asker.on_changed("b9".into());
    let step = asker.next_action(2 * MS, &PACE, sources, &mut rng);
    assert!(matches!(step, PollAction::Query { to, .. } if &*to == "b9"));
}

#[test]
fn answers_count_once_and_only_from_whom_was_asked() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut asker = Poller::default();
    let PollAction::Query { id, .. } =
        asker.next_action(7 * MS, &PACE, || names(&["b1"]), &mut rng)
    else {
        panic!("nobody asked");
    };
    assert_eq!(asker.close_query(id, "b2"), None);
    assert_eq!(asker.close_query(id + 1, "b1"), None);
    assert_eq!(asker.close_query(id, "b1"), Some(7 * MS));
    assert_eq!(asker.close_query(id, "b1"), None);
}

#[test]
fn silent_box_is_passed_over_until_it_answers() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut asker = Poller::default();
    let sources = || names(&["b1"]);
    let PollAction::Query { to, .. } = asker.next_action(ZERO, &PACE, sources, &mut rng) else {
        panic!("nobody asked");
    };
    assert_eq!(
        asker.next_action(149 * MS, &PACE, sources, &mut rng),
        PollAction::Wait(150 * MS)
    );
    assert_eq!(
        asker.next_action(150 * MS, &PACE, sources, &mut rng),
        PollAction::Failed(PollFailure::NoAnswer)
    );
    assert!(asker.backoffs.is_backed_off(1000 * MS, "b1"));
    asker.on_answer(
        1001 * MS,
        &PACE,
        &to,
        &AnswerBody::Empty { asked_ago: None },
    );
    assert!(!asker.backoffs.is_backed_off(1002 * MS, "b1"));
}

/// A box whose large answer cannot be fetched once held up the round for a
/// second.
#[test]
fn next_box_is_asked_where_an_answer_is_not_fetched() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut asker = Poller::default();
    let sources = || names(&["b1", "b2"]);
    let PollAction::Query { to, .. } = asker.next_action(ZERO, &PACE, sources, &mut rng) else {
        panic!("nobody asked");
    };
    let large = AnswerBody::TooLarge {
        fetch_token: 1,
        bytes: 9000,
    };
    asker.on_answer(MS, &PACE, &to, &large);
    assert_eq!(
        asker.next_action(500 * MS, &PACE, sources, &mut rng),
        PollAction::Wait(MS + PACE.fetch_timeout(9000))
    );
    asker.on_fetch_failed(500 * MS, &to);
    let step = asker.next_action(500 * MS, &PACE, sources, &mut rng);
    assert!(matches!(step, PollAction::Query { to, .. } if &*to == "b2"));
}

/// After all boxes were lost a reader with a slow link took seconds to inform the
/// others, while boxes with ten times its link asked it.
#[test]
fn boxes_with_fast_links_read_first() {
    let boxes = |slow: usize| {
        let places = ["a", "b", "c"];
        let slow = (0..slow).map(move |n| member(&format!("slow-{n}"), places[n % 3]));
        let fast = (0..3).map(move |n| Member {
            link_mbps: 200,
            ..member(&format!("fast-{n}"), places[n])
        });
        slow.chain(fast).collect::<Vec<_>>()
    };
    for count in [10, 70] {
        let members = boxes(count);
        let reads = |me: &Member| {
            let silences = Backoffs::default();
            choose(me, &members, &silences, Duration::ZERO, None).includes_self
        };
        let readers: Vec<_> = members.iter().filter(|m| reads(m)).collect();
        assert_eq!(readers.len(), 3);
        assert!(readers.iter().all(|m| m.link_mbps == 200), "{readers:?}");
    }
}

/// A reader that has just found the store empty was taken for one that knows nothing,
/// and each box read the store as well.
#[test]
fn empty_store_is_told_from_a_box_that_knows_nothing() {
    let ends = |asked: &[Option<Duration>]| {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut asker = Poller::default();
        let sources = || names(&["b1", "b2"]);
        for asked in asked {
            let PollAction::Query { to, .. } = asker.next_action(ZERO, &PACE, sources, &mut rng)
            else {
                panic!("nobody asked");
            };
            asker.on_answer(ZERO, &PACE, &to, &AnswerBody::Empty { asked_ago: *asked });
        }
        asker.next_action(ZERO, &PACE, sources, &mut rng)
    };
    let fresh = Some(PACE.max_age);
    let old = Some(PACE.max_age + MS);
    assert_eq!(
        ends(&[fresh, None]),
        PollAction::Failed(PollFailure::EmptyStore)
    );
    assert_eq!(
        ends(&[old, None]),
        PollAction::Failed(PollFailure::StaleAnswer)
    );
}

/// A large answer may take as long as its bytes do over a slow link.
#[test]
fn time_for_an_answer_grows_with_its_size() {
    assert_eq!(PACE.fetch_timeout(1400), PACE.fetch_timeout + 5 * MS);
    assert_eq!(PACE.fetch_timeout(1 << 20), PACE.fetch_timeout + 4194 * MS);
}

/// Whoever knows the first page of the list alone sees the readers that those see who
/// know all of it, and does not take itself for one.
#[test]
fn first_page_shows_the_readers() {
    let mut members: Vec<Member> = (0..2000)
        .map(|n| Member {
            link_mbps: if n % 20 < 5 { 1000 } else { 20 },
            ..member(&format!("box-{n}"), &format!("place-{}", n % 5))
        })
        .collect();
    members.sort_by_cached_key(|m| ashgauge::reader::listing_key(m.link_mbps, &m.id));
    let page = &members[..200];
    let none = Backoffs::default();
    let see = |me: &Member| {
        let fleet = Fleet {
            candidates: page.to_vec(),
            box_count: members.len(),
            reader_count: None,
        };
        ashgauge::reader::choose(me, &fleet, &none, MS)
    };
    let whole = choose(&members[0], &members, &none, MS, None);
    assert_eq!(whole.ids.len(), 20);
    for me in members.iter().step_by(7) {
        let seen = see(me);
        assert_eq!(seen.ids, whole.ids);
        assert_eq!(seen.includes_self, whole.ids.contains(&me.id));
        let near = seen
            .sources
            .first()
            .and_then(|id| members.iter().find(|m| m.id == *id));
        assert!(seen.includes_self || near.is_some_and(|m| m.data_centre == me.data_centre));
    }
}

/// No reader informs more boxes than its link lets it, whatever the fleet's size.
#[test]
fn readers_are_as_many_as_their_links_call_for() {
    for boxes in [100, 985, 2000, 10_000] {
        let slow = reader_count(boxes, 5, std::iter::repeat(20));
        let fast = reader_count(boxes, 5, std::iter::repeat(1000));
        assert!(
            boxes <= slow * 30 && slow <= boxes / 30 + 2,
            "{slow} of {boxes}"
        );
        assert!(
            boxes <= fast * 100 && fast <= boxes / 100 + 4,
            "{fast} of {boxes}"
        );
    }
}
