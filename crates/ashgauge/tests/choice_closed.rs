//! Selection of a chain while engines are backing off or blocked.

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

/// Engines that asked for a backoff are in no chain, neither as first engine nor later, also
/// not for a stream that is resumed. If only such engines hold some layer, there is no chain.
#[test]
fn no_chain_has_an_engine_that_backs_off() {
    let (wan_usage, fleet_load, data_centre) =
        (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let now = context(&placed(), &wan_usage, &fleet_load, &data_centre).now;
    let span = selection::all_layers(80);
    for seed in 0..20 {
        let mut registry = placed();
        let mut rng = SmallRng::seed_from_u64(seed);
        // All engines of each selected chain back off, those of the last chain the longest.
        let mut backoff = Duration::from_secs(10);
        let mut selected = Vec::new();
        loop {
            let context = context(&registry, &wan_usage, &fleet_load, &data_centre);
            let Some(stages) =
                selection::select_chain(&context, &model(), span, &[], None, &mut rng)
            else {
                break;
            };
            let repeated = stages.iter().find(|s| selected.contains(&s.upstream));
            assert!(repeated.is_none(), "{repeated:?} backs off");
            for stage in stages {
                registry.note_backoff(now, &stage.upstream, backoff);
                selected.push(stage.upstream);
            }
            backoff += Duration::from_secs(1);
        }
        let context = context(&registry, &wan_usage, &fleet_load, &data_centre);
        let left = selection::backoff_left(&context, Some(&model()), &mut rng);
        assert_eq!(left, Some(Duration::from_secs(10)));
    }
}

/// A blocked engine is not the first of a chain, but may still be a later one. If no other
/// engine can be the first, the caller learns when a blocked one takes the next request.
#[test]
fn blocked_engine_is_not_first_in_a_chain() {
    let (wan_usage, fleet_load, data_centre) =
        (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let mut registry = placed();
    let now = context(&registry, &wan_usage, &fleet_load, &data_centre).now;
    let (span, second) = (selection::all_layers(80), Duration::from_secs(1));
    let mut rng = SmallRng::seed_from_u64(1);
    let can_be_first = |e: &ashgauge::upstream_state::UpstreamState| {
        e.upstream.layers.is_some_and(|l| l.first == 0)
    };
    let all: Vec<_> = registry.iter().cloned().collect();
    let later = all
        .iter()
        .filter(|e| e.upstream.layers.is_some() && !can_be_first(e));
    later.for_each(|e| registry.block(now, &e.upstream.id, second * 9));
    let mut chains = 0;
    loop {
        let context = context(&registry, &wan_usage, &fleet_load, &data_centre);
        let Some(stages) = selection::select_chain(&context, &model(), span, &[], None, &mut rng)
        else {
            break;
        };
        chains += 1;
        registry.block(now, &stages[0].upstream, second * (10 - chains));
    }
    assert!(chains >= 2, "{chains}");
    let context = context(&registry, &wan_usage, &fleet_load, &data_centre);
    let left = selection::backoff_left(&context, Some(&model()), &mut rng);
    assert_eq!(left, Some(second * (10 - chains)));
}

/// A retry delay is given only if backoff is what prevents the selection.
#[test]
fn backoff_is_not_reported_while_an_upstream_is_available() {
    let (wan_usage, fleet_load, data_centre) =
        (WanUsage::default(), FleetLoad::default(), Arc::from("a"));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut registry = UpstreamRegistry::default();
    let second = Duration::from_secs(1);
    let left = |registry: &UpstreamRegistry, rng: &mut SmallRng| {
        let context = context(registry, &wan_usage, &fleet_load, &data_centre);
        selection::backoff_left(&context, None, rng)
    };
    assert_eq!(left(&registry, &mut rng), None);
    let now = context(&registry, &wan_usage, &fleet_load, &data_centre).now;
    for id in ["e1", "e2"] {
        registry.put(engines::upstream(id, "a", "small", None, 1));
    }
    registry.note_backoff(now, "e1", second * 3);
    assert_eq!(left(&registry, &mut rng), None);
    registry.note_backoff(now, "e2", second * 2);
    assert_eq!(left(&registry, &mut rng), Some(second * 2));
    assert_eq!(
        selection::select_upstream(
            &context(&registry, &wan_usage, &fleet_load, &data_centre),
            &[],
            &mut rng
        ),
        None
    );
}
