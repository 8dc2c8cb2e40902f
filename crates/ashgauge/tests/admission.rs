//! Order in which requests wait for capacity, and for how long.

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
    let mut queue = AdmissionQueue::default();
    let low = queue.enqueue(2, true, &team("a"));
    let high = queue.enqueue(0, true, &team("b"));
    assert_eq!(queue.ahead(&high), 0);
    assert_eq!(queue.ahead(&low), 1);
    assert_eq!(queue.ahead_of_new(0), 1);
    assert_eq!(queue.ahead_of_new(2), 2);
    queue.remove(&high);
    assert_eq!(queue.ahead(&low), 0);
}

/// Guards against callers that retry after the time that the refusal named and are refused
/// again while new requests are admitted.
#[test]
fn retries_go_before_first_tries() {
    let mut queue = AdmissionQueue::default();
    let first = queue.enqueue(1, true, &team("a"));
    let retry = queue.enqueue(1, false, &team("b"));
    let urgent = queue.enqueue(0, true, &team("c"));
    assert_eq!(queue.ahead(&urgent), 0);
    assert_eq!(queue.ahead(&retry), 1);
    assert_eq!(queue.ahead(&first), 2);
}

/// Guards against a team with many requests that delays a team with few.
#[test]
fn teams_take_turns() {
    let mut queue = AdmissionQueue::default();
    let many: Vec<_> = (0..10)
        .map(|_| queue.enqueue(1, true, &team("large")))
        .collect();
    let one = queue.enqueue(1, true, &team("small"));
    assert_eq!(queue.ahead(&many[0]), 0);
    assert_eq!(queue.ahead(&one), 1);
    // Its next requests wait for their turns as well.
    let next = queue.enqueue(1, true, &team("small"));
    assert_eq!(queue.ahead(&next), 3);
}

/// Guards against a team that gets turns ahead of others because it had no requests before.
#[test]
fn team_that_arrives_later_starts_at_the_current_turn() {
    let mut queue = AdmissionQueue::default();
    let many: Vec<_> = (0..10)
        .map(|_| queue.enqueue(1, true, &team("large")))
        .collect();
    many[..5].iter().for_each(|t| queue.remove(t));
    let late = queue.enqueue(1, true, &team("late"));
    assert_eq!(queue.ahead(&late), 1);
}

#[test]
fn expected_wait_follows_the_admission_rate() {
    let mut queue = AdmissionQueue::default();
    for n in 1..100u32 {
        queue.note_admitted(Duration::from_millis(50) * n);
    }
    let wait = queue.expected_wait(9).as_secs_f64();
    assert!((0.4..0.6).contains(&wait), "{wait}");
}

#[test]
fn fill_limit_follows_the_refusals_of_engines() {
    let mut queue = AdmissionQueue::default();
    (0..200).for_each(|_| queue.note_refused(0.9));
    assert!(
        (0.8..0.9).contains(&queue.fill_limit()),
        "{}",
        queue.fill_limit()
    );
    (0..200).for_each(|_| queue.note_refused(0.01));
    assert!(queue.fill_limit() >= 0.7, "{}", queue.fill_limit());
    (0..200).for_each(|_| queue.note_refused(50.0));
    assert!(queue.fill_limit() <= 1.5, "{}", queue.fill_limit());
}

proptest! {
    #![proptest_config(common::seeded(200))]

    /// Each waiting request is admitted once, higher ranks before all lower ones. Within a
    /// rank no team is admitted twice before another waiting team.
    #[test]
    fn no_request_starves(requests in prop::collection::vec((0..3u32, 0..4usize), 1..40)) {
        let mut queue = AdmissionQueue::default();
        let teams = ["a", "b", "c", "d"].map(team);
        let mut waiting = Vec::new();
        for (rank, team) in &requests {
            waiting.push((queue.enqueue(*rank, true, &teams[*team]), *rank, *team));
        }
        let mut order = Vec::new();
        while !waiting.is_empty() {
            let at = waiting.iter().position(|(t, ..)| queue.ahead(t) == 0);
            let at = at.expect("one is first");
            let (ticket, rank, team) = waiting.remove(at);
            queue.remove(&ticket);
            order.push((rank, team));
        }
        prop_assert!(queue.is_empty());
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
