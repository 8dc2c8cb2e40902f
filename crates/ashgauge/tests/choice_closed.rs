//! Engines at rest, or that take no more, in the choice of a chain.

mod engines;

use std::sync::Arc;
use std::time::Duration;

use ashgauge::load_report::FleetLoad;
use ashgauge::registry::UpstreamRegistry;
use ashgauge::selection::{self};
use ashgauge::wan::WanUsage;
use engines::{context, model, placed};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Engines that asked for rest are in no chain, neither first nor behind, also not of a
/// stream that goes on; where layers are left to such engines only, there is none.
#[test]
fn no_chain_has_an_engine_at_rest() {
    let (pipes, shares, place) = (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let now = context(&placed(), &pipes, &shares, &place).now;
    let span = selection::all_layers(80);
    for seed in 0..20 {
        let mut registry = placed();
        let mut rng = SmallRng::seed_from_u64(seed);
        // Chain by chain, all engines of it rest, the last ones the longest.
        let mut rest = Duration::from_secs(10);
        let mut chosen = Vec::new();
        loop {
            let context = context(&registry, &pipes, &shares, &place);
            let Some(stages) =
                selection::select_chain(&context, &model(), span, &[], None, &mut rng)
            else {
                break;
            };
            let again = stages.iter().find(|s| chosen.contains(&s.upstream));
            assert!(again.is_none(), "{again:?} rests");
            for stage in stages {
                registry.note_backoff(now, &stage.upstream, rest);
                chosen.push(stage.upstream);
            }
            rest += Duration::from_secs(1);
        }
        let context = context(&registry, &pipes, &shares, &place);
        let left = selection::backoff_left(&context, Some(&model()), &mut rng);
        assert_eq!(left, Some(Duration::from_secs(10)));
    }
}

/// An engine that takes no more requests leads no chain, and goes on to be led to; where
/// nothing else leads, it is told when it takes the next one.
#[test]
fn closed_engine_leads_no_chain() {
    let (pipes, shares, place) = (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let mut registry = placed();
    let now = context(&registry, &pipes, &shares, &place).now;
    let (span, second) = (selection::all_layers(80), Duration::from_secs(1));
    let mut rng = SmallRng::seed_from_u64(1);
    let leads = |e: &ashgauge::upstream_state::UpstreamState| {
        e.upstream.layers.is_some_and(|l| l.first == 0)
    };
    let all: Vec<_> = registry.iter().cloned().collect();
    let behind = all
        .iter()
        .filter(|e| e.upstream.layers.is_some() && !leads(e));
    behind.for_each(|e| registry.block(now, &e.upstream.id, second * 9));
    let mut led = 0;
    loop {
        let context = context(&registry, &pipes, &shares, &place);
        let Some(stages) = selection::select_chain(&context, &model(), span, &[], None, &mut rng)
        else {
            break;
        };
        led += 1;
        registry.block(now, &stages[0].upstream, second * (10 - led));
    }
    assert!(led >= 2, "{led}");
    let context = context(&registry, &pipes, &shares, &place);
    let left = selection::backoff_left(&context, Some(&model()), &mut rng);
    assert_eq!(left, Some(second * (10 - led)));
}

/// The time to come back is told only if rest is what stands in the way.
#[test]
fn rest_is_not_told_while_there_is_a_way() {
    let (pipes, shares, place) = (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut registry = UpstreamRegistry::default();
    let second = Duration::from_secs(1);
    let left = |registry: &UpstreamRegistry, rng: &mut SmallRng| {
        let context = context(registry, &pipes, &shares, &place);
        selection::backoff_left(&context, None, rng)
    };
    assert_eq!(left(&registry, &mut rng), None);
    let now = context(&registry, &pipes, &shares, &place).now;
    for id in ["e1", "e2"] {
        registry.put(engines::upstream(id, "a", "small", None, 1));
    }
    registry.note_backoff(now, "e1", second * 3);
    assert_eq!(left(&registry, &mut rng), None);
    registry.note_backoff(now, "e2", second * 2);
    assert_eq!(left(&registry, &mut rng), Some(second * 2));
    assert_eq!(
        selection::select_upstream(&context(&registry, &pipes, &shares, &place), &[], &mut rng),
        None
    );
}
