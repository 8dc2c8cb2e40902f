//! Which upstreams serve which layers of one request.

use serde::{Deserialize, Serialize};

use crate::member::UpstreamId;

/// A layer's number, from 0.
pub type Layer = u32;

/// One stage of a chain: layers `first..end` on one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The engine.
    pub upstream: UpstreamId,
    /// First layer it runs.
    pub first: Layer,
    /// Layer after the last it runs.
    pub end: Layer,
}

/// A range that an upstream holds, and what using it costs.
#[derive(Clone, Debug)]
pub struct Edge {
    /// The engine.
    pub upstream: UpstreamId,
    /// First layer it holds.
    pub first: Layer,
    /// Layer after the last it holds.
    pub end: Layer,
    /// Seconds that any use costs: the link and the work ahead.
    pub fixed: f64,
    /// Seconds that each layer costs.
    pub layer: f64,
}

/// Finds the cheapest chain over `first..end`.
///
/// A shortest path whose nodes are layer boundaries. An edge may be entered at
/// any boundary within its range and left at any later one, so overlapping
/// ranges are cut where it is cheapest. Returns `None` if some layer is held
/// by no edge.
///
/// # Example
///
/// ```
/// use ashgauge::chain::{cheapest, Edge};
///
/// let edge = |id: &str, first, end| Edge {
///     upstream: id.into(), first, end, fixed: 0.001, layer: 0.01,
/// };
/// let chain = cheapest(0, 4, &[edge("a", 0, 3), edge("b", 2, 4)]).unwrap();
/// assert_eq!((chain[0].first, chain[1].end), (0, 4));
/// assert_eq!(chain[0].end, chain[1].first);
/// assert!(cheapest(0, 5, &[edge("a", 0, 3)]).is_none());
/// ```
pub fn cheapest(first: Layer, end: Layer, edges: &[Edge]) -> Option<Vec<Stage>> {
    let cuts = boundaries(first, end, edges);
    let mut best: Vec<Option<(f64, usize, usize)>> = vec![None; cuts.len()];
    for to in 1..cuts.len() {
        for (e, edge) in edges.iter().enumerate() {
            for from in 0..to {
                if edge.first > cuts[from] || edge.end < cuts[to] {
                    continue;
                }
                let base = match best[from] {
                    Some((cost, ..)) => cost,
                    None if from == 0 => 0.0,
                    None => continue,
                };
                let cost = base + edge.fixed + edge.layer * f64::from(cuts[to] - cuts[from]);
                if best[to].is_none_or(|(c, ..)| cost < c) {
                    best[to] = Some((cost, from, e));
                }
            }
        }
    }
    walk_back(&cuts, &best, edges)
}

/// Returns true if the stages cover `first..end` with no gap and no overlap.
pub fn covers(first: Layer, end: Layer, stages: &[Stage]) -> bool {
    let mut at = first;
    for s in stages {
        if s.first != at || s.end <= s.first {
            return false;
        }
        at = s.end;
    }
    at == end
}

fn boundaries(first: Layer, end: Layer, edges: &[Edge]) -> Vec<Layer> {
    let mut cuts: Vec<Layer> = edges.iter().flat_map(|e| [e.first, e.end]).collect();
    cuts.retain(|c| *c > first && *c < end);
    cuts.extend([first, end]);
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

fn walk_back(
    cuts: &[Layer],
    best: &[Option<(f64, usize, usize)>],
    edges: &[Edge],
) -> Option<Vec<Stage>> {
    let mut stages = Vec::new();
    let mut to = cuts.len() - 1;
    while to > 0 {
        let (_, from, e) = best[to]?;
        stages.push(Stage {
            upstream: edges[e].upstream.clone(),
            first: cuts[from],
            end: cuts[to],
        });
        to = from;
    }
    stages.reverse();
    Some(stages)
}
