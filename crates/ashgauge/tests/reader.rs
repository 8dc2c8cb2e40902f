//! Which boxes read the store for the others, and which of them the others query.

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

const TIMING: PollTiming = PollTiming {
    interval: Duration::from_millis(1000),
    answer_timeout: Duration::from_millis(150),
    fetch_timeout: Duration::from_millis(1000),
    max_age: Duration::from_millis(1800),
};

fn member(id: &str, data_centre: &str) -> Member {
    Member {
        id: id.into(),
        data_centre: data_centre.into(),
        link_mbps: 0,
    }
}

/// Selects the readers as a box does that knows all others.
fn choose(
    me: &Member,
    members: &[Member],
    backoffs: &Backoffs,
    now: Duration,
    readers: Option<usize>,
) -> Readers {
    let fleet = Fleet {
        candidates: members.to_vec(),
        box_count: members.len(),
        reader_count: readers,
    };
    ashgauge::reader::choose(me, &fleet, backoffs, now)
}

fn fleet(sizes: &[usize]) -> Vec<Member> {
    let data_centres = sizes.iter().enumerate();
    let boxes = data_centres.flat_map(|(p, n)| {
        (0..*n).map(move |b| member(&format!("box-{p}-{b}"), &format!("place-{p}")))
    });
    boxes.collect()
}

proptest! {
    #![proptest_config(common::seeded(64))]

    /// If all boxes see the same fleet, there are exactly as many readers as it needs, in as many
    /// data centres as possible, and each other box has a reader to query.
    #[test]
    fn same_view_gives_enough_readers(sizes in proptest::collection::vec(1usize..70, 1..6)) {
        let members = fleet(&sizes);
        let none = Backoffs::default();
        let selected: Vec<_> = members
            .iter()
            .map(|me| (me, choose(me, &members, &none, MS, None)))
            .collect();
        let readers: Vec<&Member> = selected.iter().filter(|(_, r)| r.includes_self).map(|(m, _)| *m).collect();
        let links = std::iter::repeat(0);
        prop_assert_eq!(readers.len(), reader_count(members.len(), sizes.len(), links));
        prop_assert!(readers.len() >= members.len().min(3));
        let data_centres: std::collections::BTreeSet<&str> = readers.iter().map(|m| &*m.data_centre).collect();
        prop_assert_eq!(data_centres.len(), sizes.len().min(readers.len()));
        for (me, own) in &selected {
            prop_assert!(!own.sources.contains(&me.id));
            let first = own.sources.first();
            let reads = |id: &BoxId| readers.iter().any(|m| m.id == *id);
            prop_assert!(own.includes_self || first.is_some_and(reads));
        }
    }

    /// A box that others skip as silent is replaced by another reader.
    #[test]
    fn silent_readers_are_replaced(size in 2usize..40, lost in 1usize..4) {
        let members = fleet(&[size, 5, 5]);
        let mut backoffs = Backoffs::default();
        for _ in 0..lost {
            let reader = members.iter().find(|m| {
                !backoffs.is_backed_off(MS, &m.id) && choose(m, &members, &backoffs, MS, Some(1)).includes_self
            });
            backoffs.back_off(MS, &reader.expect("a reader").id.clone());
        }
        let reachable = members.iter().filter(|m| !backoffs.is_backed_off(MS, &m.id));
        let readers = reachable.filter(|m| choose(m, &members, &backoffs, MS, Some(1)).includes_self);
        prop_assert_eq!(readers.count(), 1);
    }
}

/// A data centre that is partitioned from the others has readers of its own.
#[test]
fn data_centre_without_others_reads_for_itself() {
    let members = fleet(&[4, 4, 4, 4, 4]);
    let mut backoffs = Backoffs::default();
    let remote = members.iter().filter(|m| &*m.data_centre != "place-3");
    remote.for_each(|m| backoffs.back_off(MS, &m.id));
    let local = members.iter().filter(|m| &*m.data_centre == "place-3");
    let readers = local.filter(|m| choose(m, &members, &backoffs, MS, None).includes_self);
    assert_eq!(readers.count(), 3);
}

#[test]
fn queries_spread_over_the_readers() {
    // Two readers in each data centre.
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

fn update_answer(age: Duration) -> AnswerBody {
    let update = ashgauge::mirror::Mirror::default().update(0, true);
    AnswerBody::Update { age, update }
}

#[test]
fn next_box_is_queried_if_an_answer_is_stale() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut poller = Poller::default();
    let mut step = |poller: &mut Poller, at: Duration| {
        poller.next_action(at, &TIMING, || names(&["b1", "b2"]), &mut rng)
    };
    let PollAction::Query { to, id } = step(&mut poller, ZERO) else {
        panic!("no query");
    };
    assert_eq!(poller.close_query(id, &to), Some(ZERO));
    poller.on_answer(2 * MS, &TIMING, &to, &update_answer(1900 * MS));
    let PollAction::Query { to, .. } = step(&mut poller, 2 * MS) else {
        panic!("only one query");
    };
    assert_eq!(&*to, "b2");
    poller.on_answer(3 * MS, &TIMING, &to, &AnswerBody::Empty { asked_ago: None });
    assert_eq!(
        step(&mut poller, 3 * MS),
        PollAction::Failed(PollFailure::StaleAnswer)
    );
    assert!(!poller.backoffs.is_backed_off(4 * MS, "b1"));
    let PollAction::Wait(next) = step(&mut poller, 4 * MS) else {
        panic!("no wait after the round");
    };
    assert!((800 * MS..=1000 * MS).contains(&next), "{next:?}");
}

#[test]
fn fresh_answer_ends_a_round_and_a_change_starts_one() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut poller = Poller::default();
    let sources = || names(&["b1", "b2"]);
    let PollAction::Query { to, .. } = poller.next_action(ZERO, &TIMING, sources, &mut rng) else {
        panic!("no query");
    };
    poller.on_answer(MS, &TIMING, &to, &update_answer(ZERO));
    assert!(matches!(
        poller.next_action(MS, &TIMING, sources, &mut rng),
        PollAction::Wait(_)
    ));
    poller.on_changed("b9".into());
    let step = poller.next_action(2 * MS, &TIMING, sources, &mut rng);
    assert!(matches!(step, PollAction::Query { to, .. } if &*to == "b9"));
}

#[test]
fn answers_count_once_and_only_from_the_queried_box() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut poller = Poller::default();
    let PollAction::Query { id, .. } =
        poller.next_action(7 * MS, &TIMING, || names(&["b1"]), &mut rng)
    else {
        panic!("no query");
    };
    assert_eq!(poller.close_query(id, "b2"), None);
    assert_eq!(poller.close_query(id + 1, "b1"), None);
    assert_eq!(poller.close_query(id, "b1"), Some(7 * MS));
    assert_eq!(poller.close_query(id, "b1"), None);
}

#[test]
fn silent_box_is_skipped_until_it_answers() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut poller = Poller::default();
    let sources = || names(&["b1"]);
    let PollAction::Query { to, .. } = poller.next_action(ZERO, &TIMING, sources, &mut rng) else {
        panic!("no query");
    };
    assert_eq!(
        poller.next_action(149 * MS, &TIMING, sources, &mut rng),
        PollAction::Wait(150 * MS)
    );
    assert_eq!(
        poller.next_action(150 * MS, &TIMING, sources, &mut rng),
        PollAction::Failed(PollFailure::NoAnswer)
    );
    assert!(poller.backoffs.is_backed_off(1000 * MS, "b1"));
    poller.on_answer(
        1001 * MS,
        &TIMING,
        &to,
        &AnswerBody::Empty { asked_ago: None },
    );
    assert!(!poller.backoffs.is_backed_off(1002 * MS, "b1"));
}

/// Guards against a box whose large answer cannot be fetched and that delays the round by a
/// second.
#[test]
fn next_box_is_queried_if_an_answer_cannot_be_fetched() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut poller = Poller::default();
    let sources = || names(&["b1", "b2"]);
    let PollAction::Query { to, .. } = poller.next_action(ZERO, &TIMING, sources, &mut rng) else {
        panic!("no query");
    };
    let large = AnswerBody::TooLarge {
        fetch_token: 1,
        bytes: 9000,
    };
    poller.on_answer(MS, &TIMING, &to, &large);
    assert_eq!(
        poller.next_action(500 * MS, &TIMING, sources, &mut rng),
        PollAction::Wait(MS + TIMING.fetch_timeout(9000))
    );
    poller.on_fetch_failed(500 * MS, &to);
    let step = poller.next_action(500 * MS, &TIMING, sources, &mut rng);
    assert!(matches!(step, PollAction::Query { to, .. } if &*to == "b2"));
}

/// Guards against readers with slow links. After the loss of all boxes such a reader took
/// seconds to inform the others, while boxes with ten times its bandwidth queried it.
#[test]
fn boxes_with_fast_links_are_preferred_as_readers() {
    let boxes = |slow: usize| {
        let data_centres = ["a", "b", "c"];
        let slow = (0..slow).map(move |n| member(&format!("slow-{n}"), data_centres[n % 3]));
        let fast = (0..3).map(move |n| Member {
            link_mbps: 200,
            ..member(&format!("fast-{n}"), data_centres[n])
        });
        slow.chain(fast).collect::<Vec<_>>()
    };
    for count in [10, 70] {
        let members = boxes(count);
        let reads = |me: &Member| {
            let backoffs = Backoffs::default();
            choose(me, &members, &backoffs, Duration::ZERO, None).includes_self
        };
        let readers: Vec<_> = members.iter().filter(|m| reads(m)).collect();
        assert_eq!(readers.len(), 3);
        assert!(readers.iter().all(|m| m.link_mbps == 200), "{readers:?}");
    }
}

/// Guards against confusing a reader that has just found the store empty with one that has
/// not read it, after which each box read the store as well.
#[test]
fn empty_store_differs_from_a_box_without_data() {
    let round_result = |asked_ago: &[Option<Duration>]| {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut poller = Poller::default();
        let sources = || names(&["b1", "b2"]);
        for asked_ago in asked_ago {
            let PollAction::Query { to, .. } = poller.next_action(ZERO, &TIMING, sources, &mut rng)
            else {
                panic!("no query");
            };
            poller.on_answer(
                ZERO,
                &TIMING,
                &to,
                &AnswerBody::Empty {
                    asked_ago: *asked_ago,
                },
            );
        }
        poller.next_action(ZERO, &TIMING, sources, &mut rng)
    };
    let fresh = Some(TIMING.max_age);
    let old = Some(TIMING.max_age + MS);
    assert_eq!(
        round_result(&[fresh, None]),
        PollAction::Failed(PollFailure::EmptyStore)
    );
    assert_eq!(
        round_result(&[old, None]),
        PollAction::Failed(PollFailure::StaleAnswer)
    );
}

/// A large answer gets the time that its bytes take over a slow link.
#[test]
fn fetch_timeout_grows_with_the_size_of_the_answer() {
    assert_eq!(TIMING.fetch_timeout(1400), TIMING.fetch_timeout + 5 * MS);
    assert_eq!(
        TIMING.fetch_timeout(1 << 20),
        TIMING.fetch_timeout + 4194 * MS
    );
}

/// A box that knows only the first page of the list selects the same readers as one that
/// knows all of it, and does not wrongly select itself.
#[test]
fn first_page_suffices_to_select_the_readers() {
    let mut members: Vec<Member> = (0..2000)
        .map(|n| Member {
            link_mbps: if n % 20 < 5 { 1000 } else { 20 },
            ..member(&format!("box-{n}"), &format!("place-{}", n % 5))
        })
        .collect();
    members.sort_by_cached_key(|m| ashgauge::reader::listing_key(m.link_mbps, &m.id));
    let page = &members[..200];
    let none = Backoffs::default();
    let choose_from_page = |me: &Member| {
        let fleet = Fleet {
            candidates: page.to_vec(),
            box_count: members.len(),
            reader_count: None,
        };
        ashgauge::reader::choose(me, &fleet, &none, MS)
    };
    let all = choose(&members[0], &members, &none, MS, None);
    assert_eq!(all.ids.len(), 20);
    for me in members.iter().step_by(7) {
        let selected = choose_from_page(me);
        assert_eq!(selected.ids, all.ids);
        assert_eq!(selected.includes_self, all.ids.contains(&me.id));
        let local = selected
            .sources
            .first()
            .and_then(|id| members.iter().find(|m| m.id == *id));
        assert!(selected.includes_self || local.is_some_and(|m| m.data_centre == me.data_centre));
    }
}

/// No reader informs more boxes than its link allows, whatever the size of the fleet.
#[test]
fn number_of_readers_follows_their_links() {
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
