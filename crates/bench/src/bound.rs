//! Upper bound of the throughput that the engines allow, by maximum flow.

use std::collections::VecDeque;

/// Layers and speed of one engine.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// First layer held.
    pub first: u32,
    /// End of the held layers, exclusive.
    pub end: u32,
    /// (Layer, position) pairs that the engine runs per second.
    pub rate: f64,
}

/// Returns the maximum rate, in positions per second, at which the engines can
/// run a model of `layers` layers.
///
/// It is the largest rate for which a flow from engines to layers exists that
/// gives every layer that rate and takes from each engine at most its own. No
/// router can exceed it.
pub fn bound(engines: &[Capacity], layers: u32) -> f64 {
    let total: f64 = engines.iter().map(|e| e.rate).sum();
    let (mut low, mut high) = (0.0, total / f64::from(layers));
    for _ in 0..50 {
        let middle = (low + high) / 2.0;
        if is_possible(engines, layers, middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

fn is_possible(engines: &[Capacity], layers: u32, rate: f64) -> bool {
    let wanted = rate * f64::from(layers);
    max_flow(engines, layers, rate) >= wanted * (1.0 - 1e-6)
}

/// Returns the maximum flow by shortest augmenting paths (Edmonds–Karp). The
/// nodes are the source, the engines, the layers and the sink.
fn max_flow(engines: &[Capacity], layers: u32, rate: f64) -> f64 {
    let (e, l) = (engines.len(), layers as usize);
    let (source, sink, n) = (0, e + l + 1, e + l + 2);
    let mut residual = vec![vec![0.0; n]; n];
    for (i, engine) in engines.iter().enumerate() {
        residual[source][1 + i] = engine.rate;
        for layer in engine.first..engine.end {
            residual[1 + i][1 + e + layer as usize] = f64::INFINITY;
        }
    }
    for layer in 0..l {
        residual[1 + e + layer][sink] = rate;
    }
    let mut flow = 0.0;
    while let Some(path) = shortest_path(&residual, source, sink) {
        let bottleneck = path
            .windows(2)
            .map(|w| residual[w[0]][w[1]])
            .fold(f64::INFINITY, f64::min);
        for w in path.windows(2) {
            residual[w[0]][w[1]] -= bottleneck;
            residual[w[1]][w[0]] += bottleneck;
        }
        flow += bottleneck;
    }
    flow
}

fn shortest_path(residual: &[Vec<f64>], source: usize, sink: usize) -> Option<Vec<usize>> {
    let mut previous = vec![usize::MAX; residual.len()];
    let mut queue = VecDeque::from([source]);
    previous[source] = source;
    while let Some(at) = queue.pop_front() {
        for (to, capacity) in residual[at].iter().enumerate() {
            if *capacity > 1e-9 && previous[to] == usize::MAX {
                previous[to] = at;
                queue.push_back(to);
            }
        }
    }
    if previous[sink] == usize::MAX {
        return None;
    }
    let mut path = vec![sink];
    while path[path.len() - 1] != source {
        path.push(previous[path[path.len() - 1]]);
    }
    path.reverse();
    Some(path)
}
