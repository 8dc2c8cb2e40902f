//! Order of the queue: tiers, weights and floors; no request is lost or returned twice.

mod common;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use ashgauge::queue::{Job, Queue};
use proptest::prelude::*;

fn job(id: u64, team: usize, rank: u32, weight: f64, cost: f64) -> Job {
    Job {
        id,
        team: format!("team-{team}").into(),
        rank,
        weight,
        cost,
        deadline: Duration::from_secs(1000),
    }
}

proptest! {
    #![proptest_config(common::seeded(64))]

    /// Under saturation each team gets a share by its weight, give or take one
    /// request.
    #[test]
    fn shares_follow_weights(
        weights in prop::collection::vec(1u32..20, 2..6),
        costs in prop::collection::vec(1u32..100, 40..60),
    ) {
        let mut queue = Queue::default();
        let mut id = 0;
        let mut push = |queue: &mut Queue, team: usize| {
            id += 1;
            let cost = f64::from(costs[id as usize % costs.len()]);
            queue.push(job(id, team, 0, f64::from(weights[team]), cost));
        };
        for team in 0..weights.len() {
            push(&mut queue, team);
            push(&mut queue, team);
        }
        let mut served: BTreeMap<String, f64> = BTreeMap::new();
        for n in 0..2000u64 {
            let next = queue.pop(Duration::from_millis(n), &HashMap::new(), |_| true).unwrap();
            *served.entry(next.team.to_string()).or_default() += next.cost;
            let team: usize = next.team["team-".len()..].parse().unwrap();
            push(&mut queue, team);
        }
        // Fairness bound of start-time fair queueing: two requests of the largest cost, one for
        // each of the two teams.
        let normalized: Vec<f64> = weights
            .iter()
            .enumerate()
            .map(|(t, w)| served[&format!("team-{t}")] / f64::from(*w))
            .collect();
        for a in 0..normalized.len() {
            for b in 0..normalized.len() {
                let bound = 100.0 / f64::from(weights[a]) + 100.0 / f64::from(weights[b]);
                prop_assert!((normalized[a] - normalized[b]).abs() <= bound, "{normalized:?}");
            }
        }
    }

    /// Whatever the order of pushes, pops, removals and expiries, every
    /// request leaves the queue exactly once.
    #[test]
    fn every_request_leaves_once(steps in prop::collection::vec((0u8..6, 0usize..4, 0u32..3), 1..300)) {
        let mut queue = Queue::default();
        let (mut pushed, mut left) = (HashSet::new(), HashSet::new());
        for (n, (step, team, rank)) in steps.iter().enumerate() {
            let now = Duration::from_millis(n as u64);
            match step {
                0..=2 => {
                    let mut job = job(n as u64, *team, *rank, 1.0, 1.0 + n as f64);
                    job.deadline = now + Duration::from_millis(20 * u64::from(*rank) + 10);
                    pushed.insert(job.id);
                    queue.push(job);
                }
                3 => {
                    if let Some(job) = queue.pop(now, &HashMap::new(), |_| true) {
                        prop_assert!(left.insert(job.id));
                    }
                }
                4 => {
                    for job in queue.expire(now) {
                        prop_assert!(job.deadline <= now);
                        prop_assert!(left.insert(job.id));
                    }
                }
                _ => {
                    if let Some(job) = queue.remove(n as u64 / 2) {
                        prop_assert!(left.insert(job.id));
                    }
                }
            }
            prop_assert_eq!(queue.len(), pushed.len() - left.len());
        }
        while let Some(job) = queue.pop(Duration::from_secs(9), &HashMap::new(), |_| true) {
            prop_assert!(left.insert(job.id));
        }
        prop_assert_eq!(pushed, left);
    }

    /// Without floors a higher tier always goes first. A floor gives the lower tier its share
    /// and no more.
    #[test]
    fn tiers_are_strict_except_for_floors(floor in 0.0f64..0.5) {
        let mut queue = Queue::default();
        for id in 0..4000 {
            queue.push(job(id, 0, 0, 1.0, 10.0));
            queue.push(job(10_000 + id, 1, 1, 1.0, 10.0));
        }
        let floors = HashMap::from([(1, floor)]);
        let mut low = 0;
        for n in 0..4000 {
            let next = queue.pop(Duration::from_millis(n), &floors, |_| true).unwrap();
            low += u32::from(next.rank == 1);
        }
        let share = f64::from(low) / 4000.0;
        prop_assert!((share - floor).abs() < 0.01, "{share} for a floor of {floor}");
    }
}

#[test]
fn blocked_team_does_not_hold_up_others() {
    let mut queue = Queue::default();
    queue.push(job(1, 0, 0, 1.0, 1.0));
    queue.push(job(2, 1, 1, 1.0, 1.0));
    let next = queue.pop(Duration::ZERO, &HashMap::new(), |j| &*j.team != "team-0");
    assert_eq!(next.unwrap().id, 2);
    assert_eq!(queue.len(), 1);
}
