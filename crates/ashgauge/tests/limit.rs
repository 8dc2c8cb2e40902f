//! The rates that boxes may spend never sum to more than the team's limit.

mod common;

use std::time::Duration;

use ashgauge::limit::TeamLimits;
use ashgauge::member::BoxId;
use ashgauge::policy::TeamId;
use proptest::prelude::*;

const LIMIT: f64 = 1000.0;
const BOXES: usize = 4;

fn id(n: usize) -> BoxId {
    format!("box-{n}").into()
}

fn fleet(now: Duration, team: &TeamId) -> Vec<TeamLimits> {
    let mut boxes: Vec<TeamLimits> = (0..BOXES).map(|_| TeamLimits::default()).collect();
    for limits in &mut boxes {
        limits.set_share(now, team, LIMIT / BOXES as f64);
    }
    boxes
}

proptest! {
    #![proptest_config(common::seeded(300))]

    /// Loans arrive late, in any order, or never, and demand shifts between boxes.
    #[test]
    fn boxes_together_never_exceed_the_limit(
        steps in prop::collection::vec((0..BOXES, 0..BOXES, 1u32..2000, 0u16..300, 0u8..10), 10..200),
    ) {
        let team: TeamId = "team".into();
        let mut now = Duration::from_secs(10);
        let mut boxes = fleet(now, &team);
        let mut in_flight: Vec<(usize, usize, f64, Duration)> = Vec::new();
        for (borrower, lender, wanted, wait, outcome) in steps {
            now += Duration::from_millis(u64::from(wait));
            boxes[borrower].record_demand(now, &team, f64::from(wanted));
            let asked = now;
            now += Duration::from_millis(u64::from(outcome) * 10);
            if borrower != lender {
                let rate = boxes[lender].lend(now, &team, &id(borrower), f64::from(wanted));
                in_flight.push((borrower, lender, rate, asked));
            }
            // One of the loans in flight arrives, or all are lost.
            if outcome % 3 != 2 && !in_flight.is_empty() {
                let n = usize::from(wait) % in_flight.len();
                let (borrower, lender, rate, asked) = in_flight.swap_remove(n);
                boxes[borrower].record_loan(now, &team, &id(lender), rate, asked);
            } else if outcome == 8 {
                in_flight.clear();
            }
            let sum: f64 = boxes.iter().map(|b| b.rate(now, &team)).sum();
            prop_assert!(sum <= LIMIT * 1.000_001, "{sum} at {now:?}");
        }
    }

    /// What a box admits over any time is at most its rate times that time, plus
    /// the burst and one request.
    #[test]
    fn spending_follows_the_rate(costs in prop::collection::vec(1u32..200, 50..200)) {
        let team: TeamId = "team".into();
        let mut limits = TeamLimits::default();
        limits.set_share(Duration::ZERO, &team, LIMIT);
        let (mut spent, mut now) = (0.0, Duration::ZERO);
        for cost in costs {
            now += Duration::from_millis(20);
            if limits.has_room(now, &team) {
                limits.spend(now, &team, f64::from(cost));
                spent += f64::from(cost);
            }
            let allowed = LIMIT * (now.as_secs_f64() + 0.25) + 200.0;
            prop_assert!(spent <= allowed, "{spent} of {allowed}");
        }
    }
}

#[test]
fn skewed_demand_borrows_most_of_the_limit() {
    let team: TeamId = "team".into();
    let mut now = Duration::from_secs(1);
    let mut boxes = fleet(now, &team);
    for _ in 0..100 {
        now += Duration::from_millis(100);
        boxes[0].record_demand(now, &team, 300.0);
        if boxes[0].teams_to_borrow(now).is_empty() {
            continue;
        }
        for lender in 1..BOXES {
            let wanted = boxes[0].wanted_rate(now, &team, &id(lender), BOXES - 1);
            let rate = boxes[lender].lend(now, &team, &id(0), wanted);
            boxes[0].record_loan(now, &team, &id(lender), rate, now);
        }
    }
    let rate = boxes[0].rate(now, &team);
    assert!(rate > 0.95 * LIMIT, "{rate}");
    // Once the demand shifts, the loans expire and the shares return.
    now += Duration::from_secs(3);
    assert_eq!(boxes[1].rate(now, &team), LIMIT / BOXES as f64);
}
