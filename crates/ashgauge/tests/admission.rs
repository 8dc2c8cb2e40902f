//! In which order requests wait for room, and for how long.

mod common;

use std::sync::Arc;
use std::time::Duration;

use ashgauge::admission::AdmissionQueue;
use proptest::prelude::*;

fn team(name: &str) -> Arc<str> {
    Arc::from(name)
}

#[test]
fn higher_rank_goes_first() {
    let mut line = AdmissionQueue::default();
    let low = line.enqueue(2, true, &team("a"));
    let high = line.enqueue(0, true, &team("b"));
    assert_eq!(line.ahead(&high), 0);
    assert_eq!(line.ahead(&low), 1);
    assert_eq!(line.ahead_of_new(0), 1);
    assert_eq!(line.ahead_of_new(2), 2);
    line.remove(&high);
    assert_eq!(line.ahead(&low), 0);
}

/// Those who were told when to come back, and did, were refused again while new
/// ones were let in.
#[test]
fn who_comes_back_goes_before_first_tries() {
    let mut line = AdmissionQueue::default();
    let first = line.enqueue(1, true, &team("a"));
    let back = line.enqueue(1, false, &team("b"));
    let urgent = line.enqueue(0, true, &team("c"));
    assert_eq!(line.ahead(&urgent), 0);
    assert_eq!(line.ahead(&back), 1);
    assert_eq!(line.ahead(&first), 2);
}

/// A team that asks for much does not hold up one that asks for little.
#[test]
fn teams_take_turns() {
    let mut line = AdmissionQueue::default();
    let many: Vec<_> = (0..10)
        .map(|_| line.enqueue(1, true, &team("large")))
        .collect();
    let one = line.enqueue(1, true, &team("small"));
    assert_eq!(line.ahead(&many[0]), 0);
    assert_eq!(line.ahead(&one), 1);
    // Its next ones wait for their turns as well.
    let next = line.enqueue(1, true, &team("small"));
    assert_eq!(line.ahead(&next), 3);
}

/// A team that waited before gets no turns in advance for it.
#[test]
fn team_that_comes_later_begins_at_the_present_turn() {
    let mut line = AdmissionQueue::default();
    let many: Vec<_> = (0..10)
        .map(|_| line.enqueue(1, true, &team("large")))
        .collect();
    many[..5].iter().for_each(|t| line.remove(t));
    let late = line.enqueue(1, true, &team("late"));
    assert_eq!(line.ahead(&late), 1);
}

#[test]
fn wait_follows_the_pace_at_which_requests_are_let_in() {
    let mut line = AdmissionQueue::default();
    for n in 1..100u32 {
        line.note_admitted(Duration::from_millis(50) * n);
    }
    let wait = line.expected_wait(9).as_secs_f64();
    assert!((0.4..0.6).contains(&wait), "{wait}");
}

#[test]
fn limit_follows_what_engines_refuse_at() {
    let mut line = AdmissionQueue::default();
    (0..200).for_each(|_| line.note_refused(0.9));
    assert!(
        (0.8..0.9).contains(&line.fill_limit()),
        "{}",
        line.fill_limit()
    );
    (0..200).for_each(|_| line.note_refused(0.01));
    assert!(line.fill_limit() >= 0.7, "{}", line.fill_limit());
    (0..200).for_each(|_| line.note_refused(50.0));
    assert!(line.fill_limit() <= 1.5, "{}", line.fill_limit());
}

proptest! {
    #![proptest_config(common::seeded(200))]

    /// Everybody who waits is let in once, a higher rank before all lower ones,
    /// and within a rank no team twice before another that was there.
    #[test]
    fn nobody_starves(asks in prop::collection::vec((0..3u32, 0..4usize), 1..40)) {
        let mut line = AdmissionQueue::default();
        let teams = ["a", "b", "c", "d"].map(team);
        let mut waiting = Vec::new();
        for (rank, team) in &asks {
            waiting.push((line.enqueue(*rank, true, &teams[*team]), *rank, *team));
        }
        let mut order = Vec::new();
        while !waiting.is_empty() {
            let at = waiting.iter().position(|(t, ..)| line.ahead(t) == 0);
            let at = at.expect("one is first");
            let (ticket, rank, team) = waiting.remove(at);
            line.remove(&ticket);
            order.push((rank, team));
        }
        prop_assert!(line.is_empty());
        prop_assert!(order.is_sorted_by_key(|(rank, _)| *rank));
        for (n, (rank, team)) in order.iter().enumerate() {
            let later = &order[n + 1..];
            let again = later.iter().position(|o| o == &(*rank, *team));
            let rest = &later[again.unwrap_or(later.len())..];
            for other in 0..4 {
                let before = &later[..again.unwrap_or(later.len())];
                let missed = other != *team && rest.contains(&(*rank, other));
                let earlier = order[..n].iter().filter(|o| **o == (*rank, other)).count();
                let own = order[..n].iter().filter(|o| **o == (*rank, *team)).count();
                if missed && earlier <= own {
                    prop_assert!(before.contains(&(*rank, other)));
                }
            }
        }
    }
}
