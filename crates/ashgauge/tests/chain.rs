//! Chains cover every layer exactly once, whatever ranges the engines hold.

mod common;

use std::cell::Cell;

use ashgauge::chain::{Edge, Stage, cheapest_chain, cheapest_crossing_chain, covers};
use proptest::prelude::*;

fn edges() -> impl Strategy<Value = Vec<Edge>> {
    let edge = (0u32..12, 1u32..12, 0.0f64..0.1, 0.001f64..0.05);
    prop::collection::vec(edge, 1..10).prop_map(|all| {
        let make = |(n, (first, len, fixed, layer)): (usize, (u32, u32, f64, f64))| Edge {
            data_centre: 0,
            upstream: format!("engine-{n}").into(),
            first,
            end: first + len,
            fixed_cost: fixed,
            layer_cost: layer,
        };
        all.into_iter().enumerate().map(make).collect()
    })
}

fn cost(stages: &[Stage], edges: &[Edge]) -> f64 {
    let of = |s: &Stage| {
        let e = edges.iter().find(|e| e.upstream == s.upstream).unwrap();
        e.fixed_cost + e.layer_cost * f64::from(s.end - s.first)
    };
    stages.iter().map(of).sum()
}

/// Cost of the cheapest chain, found by trying all of them, one layer at a time.
fn least_cost(first: u32, end: u32, edges: &[Edge]) -> f64 {
    if first == end {
        return 0.0;
    }
    let mut best = f64::INFINITY;
    for e in edges.iter().filter(|e| e.first <= first && first < e.end) {
        for to in first + 1..=e.end.min(end) {
            let rest = least_cost(to, end, edges);
            best = best.min(e.fixed_cost + e.layer_cost * f64::from(to - first) + rest);
        }
    }
    best
}

proptest! {
    #![proptest_config(common::seeded(300))]

    #[test]
    fn chain_covers_each_layer_once_within_its_engines(edges in edges(), first in 0u32..4, len in 1u32..8) {
        let end = first + len;
        let held = |l: u32| edges.iter().any(|e| e.first <= l && l < e.end);
        match cheapest_chain(first, end, &edges) {
            Some(stages) => {
                prop_assert!(covers(first, end, &stages), "{stages:?}");
                for s in &stages {
                    let e = edges.iter().find(|e| e.upstream == s.upstream).unwrap();
                    prop_assert!(e.first <= s.first && s.end <= e.end);
                }
            }
            None => prop_assert!((first..end).any(|l| !held(l))),
        }
    }

    #[test]
    fn chain_is_the_cheapest(edges in edges().prop_filter("few", |e| e.len() < 6), len in 1u32..7) {
        if let Some(stages) = cheapest_chain(2, 2 + len, &edges) {
            let (found, best) = (cost(&stages, &edges), least_cost(2, 2 + len, &edges));
            prop_assert!((found - best).abs() < 1e-9, "{found} for {best}");
        }
    }
}

/// Guards against a chain that uses a slow engine on both sides of a fast one. Engines
/// refuse a chain that names one of them twice.
#[test]
fn no_engine_is_in_a_chain_twice() {
    let edge = |id: &str, first, end, fixed, layer| Edge {
        upstream: id.into(),
        first,
        end,
        fixed_cost: fixed,
        layer_cost: layer,
        data_centre: 0,
    };
    let edges = [
        edge("wide", 0, 10, 0.1, 1.0),
        edge("fast", 4, 6, 0.01, 0.01),
        edge("tail", 6, 10, 5.0, 1.0),
    ];
    let stages = cheapest_chain(0, 10, &edges).expect("a chain");
    assert!(covers(0, 10, &stages));
    let wide = stages.iter().filter(|s| &*s.upstream == "wide").count();
    assert_eq!(wide, 1, "{stages:?}");
}

/// Guards against computing the cost of a crossing between two data centres again for each
/// engine and each of its layers, which took 30 ms per request with 3,000 engines.
#[test]
fn crossing_costs_are_computed_once_for_all_engines() {
    let edge = |n: u32| Edge {
        data_centre: n as usize % 5,
        upstream: format!("engine-{n}").into(),
        first: n % 72,
        end: n % 72 + 8,
        fixed_cost: 0.1,
        layer_cost: 0.001,
    };
    let computed = |engines: u32| {
        let edges: Vec<Edge> = (0..engines).map(edge).collect();
        let computed = Cell::new(0);
        let chain = cheapest_crossing_chain(0, 79, &edges, |from, to| {
            computed.set(computed.get() + 1);
            if from == Some(to) { 0.0 } else { 0.3 }
        });
        assert!(chain.is_some());
        computed.get()
    };
    assert_eq!(computed(720), computed(5760));
}
