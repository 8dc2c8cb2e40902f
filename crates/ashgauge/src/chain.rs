//! Chains of upstreams that serve the layers of a request.

use serde::{Deserialize, Serialize};

pub use crate::ident::Layer;
use crate::ident::UpstreamId;

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

/// A layer range that an upstream holds, and the cost of using it.
#[derive(Clone, Debug)]
pub struct Edge {
    /// The engine.
    pub upstream: UpstreamId,
    /// First layer it holds.
    pub first: Layer,
    /// Layer after the last it holds.
    pub end: Layer,
    /// Seconds that any use costs: network delay and queued work.
    pub fixed_cost: f64,
    /// Seconds that each layer costs.
    pub layer_cost: f64,
    /// Index of its data centre, from 0, for [`cheapest_crossing_chain`].
    pub data_centre: usize,
}

/// Finds the cheapest chain over `first..end`.
///
/// This is a shortest path whose nodes are layer boundaries. An edge may be entered at any
/// boundary within its range and left at any later one, so overlapping ranges are split
/// where it is cheapest. Returns `None` if some layer is held by no edge.
///
/// # Example
///
/// ```
/// use ashgauge::chain::{cheapest_chain, Edge};
///
/// let edge = |id: &str, first, end| Edge {
///     upstream: id.into(), first, end, fixed_cost: 0.001, layer_cost: 0.01, data_centre: 0,
/// };
/// let chain = cheapest_chain(0, 4, &[edge("a", 0, 3), edge("b", 2, 4)]).unwrap();
/// assert_eq!((chain[0].first, chain[1].end), (0, 4));
/// assert_eq!(chain[0].end, chain[1].first);
/// assert!(cheapest_chain(0, 5, &[edge("a", 0, 3)]).is_none());
/// ```
pub fn cheapest_chain(first: Layer, end: Layer, edges: &[Edge]) -> Option<Vec<Stage>> {
    cheapest_crossing_chain(first, end, edges, |_, _| 0.0)
}

/// Finds a cheap chain like [`cheapest_chain`], with a cost in seconds for each transition
/// between two edges; `None` as the first argument stands for the start of the chain.
///
/// An infinite cost forbids a transition.
///
/// The cost may only depend on the data centres of the two edges, which are given as the
/// indices in [`Edge::data_centre`]. No upstream is in the chain twice if each has one
/// edge, but the chain is then not always the cheapest one.
pub fn cheapest_crossing_chain(
    first: Layer,
    end: Layer,
    edges: &[Edge],
    crossing: impl Fn(Option<usize>, usize) -> f64,
) -> Option<Vec<Stage>> {
    let mut stages = shortest_path(first, end, edges, &crossing)?;
    merge_repeated(&mut stages);
    Some(stages)
}

/// Merges the stages of an upstream that is in the chain more than once into one, together
/// with the layers between them, which it also holds.
fn merge_repeated(stages: &mut Vec<Stage>) {
    let mut at = 0;
    while at < stages.len() {
        let upstream = stages[at].upstream.clone();
        let last = stages.iter().rposition(|s| s.upstream == upstream);
        if let Some(last) = last.filter(|last| *last > at) {
            stages[at].end = stages[last].end;
            stages.drain(at + 1..=last);
        }
        at += 1;
    }
}

fn shortest_path(
    first: Layer,
    end: Layer,
    edges: &[Edge],
    crossing: &impl Fn(Option<usize>, usize) -> f64,
) -> Option<Vec<Stage>> {
    let cuts = boundaries(first, end, edges);
    let data_centres = edges.iter().map(|e| e.data_centre + 1).max().unwrap_or(0);
    let mut best: Vec<Vec<Option<Step>>> = vec![vec![None; data_centres]; cuts.len()];
    // All edges of a data centre are reached at the same cost.
    let arrivals_at = |reached: &[Option<Step>], cut: usize| -> Vec<Arrival> {
        let arrivals =
            (0..data_centres).map(|data_centre| best_arrival(reached, cut, data_centre, crossing));
        arrivals.collect()
    };
    let mut arrivals = Vec::with_capacity(cuts.len());
    for to in 1..cuts.len() {
        arrivals.push(arrivals_at(&best[to - 1], to - 1));
        for (e, edge) in edges.iter().enumerate() {
            if edge.first >= cuts[to] || edge.end < cuts[to] {
                continue;
            }
            let from = cuts.partition_point(|c| *c < edge.first);
            for from in from..to {
                let layers = f64::from(cuts[to] - cuts[from]);
                let edge_cost = edge.fixed_cost + edge.layer_cost * layers;
                let Some((arrival_cost, from_data_centre)) = arrivals[from][edge.data_centre]
                else {
                    continue;
                };
                let cost = arrival_cost + edge_cost;
                let slot = &mut best[to][edge.data_centre];
                if slot.is_none_or(|s| cost < s.cost) {
                    *slot = Some(Step {
                        cost,
                        from_cut: from,
                        from_data_centre,
                        edge: e,
                    });
                }
            }
        }
    }
    reconstruct_path(&cuts, &best, edges)
}

/// The cheapest known path to a boundary and a data centre, by its last edge.
#[derive(Clone, Copy)]
struct Step {
    cost: f64,
    from_cut: usize,
    /// Data centre in which the boundary `from_cut` was reached; `None` at the start.
    from_data_centre: Option<usize>,
    edge: usize,
}

/// Lowest cost of continuing from a boundary in a data centre, and the data centre of the
/// previous edge; `None` if there is no path.
type Arrival = Option<(f64, Option<usize>)>;

fn best_arrival(
    reached: &[Option<Step>],
    cut: usize,
    data_centre: usize,
    crossing: &impl Fn(Option<usize>, usize) -> f64,
) -> Arrival {
    if cut == 0 {
        return Some((crossing(None, data_centre), None)).filter(|(cost, _)| cost.is_finite());
    }
    let paths = reached.iter().enumerate();
    let paths =
        paths.filter_map(|(p, s)| s.map(|s| (s.cost + crossing(Some(p), data_centre), Some(p))));
    let paths = paths.filter(|(cost, _)| cost.is_finite());
    paths.min_by(|a, b| a.0.total_cmp(&b.0))
}

/// Returns whether the stages cover `first..end` with no gap and no overlap.
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

fn reconstruct_path(
    cuts: &[Layer],
    best: &[Vec<Option<Step>>],
    edges: &[Edge],
) -> Option<Vec<Stage>> {
    let mut stages = Vec::new();
    let mut to = cuts.len() - 1;
    let ends = best[to].iter().enumerate();
    let ends = ends.filter_map(|(p, s)| s.map(|s| (s.cost, p)));
    let mut data_centre = ends.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, p)| p)?;
    while to > 0 {
        let step = best[to][data_centre]?;
        stages.push(Stage {
            upstream: edges[step.edge].upstream.clone(),
            first: cuts[step.from_cut],
            end: cuts[to],
        });
        to = step.from_cut;
        data_centre = step.from_data_centre.unwrap_or(data_centre);
    }
    stages.reverse();
    Some(stages)
}
