//! Slices of a limit never sum to more than it, whoever is home.

mod common;

use std::time::Duration;

use ashgauge::limit::{Home, SLICE_TIME};
use proptest::prelude::*;

const LIMIT: f64 = 1000.0;

/// A slice as its holder counts it: from before it asked.
#[derive(Clone, Copy, Default)]
struct Held {
    rate: f64,
    until: Duration,
}

proptest! {
    #![proptest_config(common::seeded(300))]

    /// Boxes disagree on who is home and change their minds; grants arrive
    /// late, in any order, or never.
    #[test]
    fn valid_slices_sum_to_no_more_than_the_limit(
        steps in prop::collection::vec((0usize..4, 0usize..3, 1u32..2000, 0u16..300, 0u8..10), 10..200),
    ) {
        let team = "team".into();
        let mut homes = [Home::default(), Home::default(), Home::default()];
        // Which home is the true one; the two others refuse, as they see
        // themselves as not home and forget what they had granted.
        let mut home = 0;
        let mut now = Duration::from_secs(10);
        let mut held = [Held::default(); 4];
        let mut flying: Vec<(usize, f64, Duration)> = Vec::new();
        for (asker, next, want, wait, luck) in steps {
            now += Duration::from_millis(u64::from(wait));
            if luck == 0 && next != home {
                homes[home].retain(|_| false);
                home = next;
            }
            let asked = now;
            let id = format!("box-{asker}").into();
            let delay = Duration::from_millis(u64::from(luck) * 10);
            if let Some(rate) = homes[home].grant(now + delay, &team, LIMIT, &id, f64::from(want)) {
                flying.push((asker, rate, asked));
            }
            now += delay;
            // The newest grant on its way arrives, or is lost.
            if luck % 3 != 2 && let Some((asker, rate, asked)) = flying.pop() {
                held[asker] = Held { rate, until: asked + SLICE_TIME };
            } else if luck == 8 {
                flying.clear();
            }
            let valid = held.iter().filter(|h| now < h.until);
            let sum: f64 = valid.map(|h| h.rate).sum();
            prop_assert!(sum <= LIMIT * 1.000_001, "{sum} at {now:?}");
        }
    }
}

#[test]
fn shares_follow_demand_after_some_renewals() {
    let team = "team".into();
    let mut home = Home::default();
    let (a, b) = ("a".into(), "b".into());
    let mut now = Duration::ZERO;
    let mut rates = (0.0, 0.0);
    for _ in 0..40 {
        now += SLICE_TIME / 2;
        if let Some(rate) = home.grant(now, &team, LIMIT, &a, 3000.0) {
            rates.0 = rate;
        }
        if let Some(rate) = home.grant(now, &team, LIMIT, &b, 1000.0) {
            rates.1 = rate;
        }
    }
    assert!(
        (rates.0 - 750.0).abs() < 1.0 && (rates.1 - 250.0).abs() < 1.0,
        "{rates:?}"
    );
}
