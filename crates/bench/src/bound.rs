//! The throughput that the hardware allows, by maximum flow.

use std::collections::VecDeque;

/// What one engine can do.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// First layer held.
    pub first: u32,
    /// Layer after the last held.
    pub end: u32,
    /// Layers times positions that it runs a second.
    pub rate: f64,
}

/// Positions a second that the engines can take through `layers` layers.
///
/// The largest rate at which a flow from engines to layers, each engine at
/// most its own rate, brings every layer that rate. No router can pass it.
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

/// Shortest augmenting paths; nodes are source, engines, layers, sink.
fn max_flow(engines: &[Capacity], layers: u32, rate: f64) -> f64 {
    let (e, l) = (engines.len(), layers as usize);
    let (source, sink, n) = (0, e + l + 1, e + l + 2);
    let mut room = vec![vec![0.0; n]; n];
    for (i, engine) in engines.iter().enumerate() {
        room[source][1 + i] = engine.rate;
        for layer in engine.first..engine.end {
            room[1 + i][1 + e + layer as usize] = f64::INFINITY;
        }
    }
    for layer in 0..l {
        room[1 + e + layer][sink] = rate;
    }
    let mut flow = 0.0;
    while let Some(path) = augmenting(&room, source, sink) {
        let least = path
            .windows(2)
            .map(|w| room[w[0]][w[1]])
            .fold(f64::INFINITY, f64::min);
        for w in path.windows(2) {
            room[w[0]][w[1]] -= least;
            room[w[1]][w[0]] += least;
        }
        flow += least;
    }
    flow
}

fn augmenting(room: &[Vec<f64>], source: usize, sink: usize) -> Option<Vec<usize>> {
    let mut before = vec![usize::MAX; room.len()];
    let mut queue = VecDeque::from([source]);
    before[source] = source;
    while let Some(at) = queue.pop_front() {
        for (to, left) in room[at].iter().enumerate() {
            if *left > 1e-9 && before[to] == usize::MAX {
                before[to] = at;
                queue.push_back(to);
            }
        }
    }
    if before[sink] == usize::MAX {
        return None;
    }
    let mut path = vec![sink];
    while path[path.len() - 1] != source {
        path.push(before[path[path.len() - 1]]);
    }
    path.reverse();
    Some(path)
}
