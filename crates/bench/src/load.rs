//! Open-loop load: seeded random arrivals that do not wait for responses.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;

use crate::call::{StreamRequest, StreamResult, send};
use crate::world::World;

/// Load of one team.
#[derive(Clone, Debug)]
pub struct Source {
    /// Index of the team.
    pub team: usize,
    /// Bearer key of the team.
    pub key: String,
    /// Requests per second.
    pub rate: f64,
    /// Start and end of the load, from the start of the run; `None` for the whole
    /// run.
    pub span: Option<(Duration, Duration)>,
    /// Share of the requests that go to box 0; the others go to random boxes.
    pub skew: f64,
    /// Length of the prompt, in bytes.
    pub prompt: usize,
    /// Number of tokens to generate.
    pub tokens: u32,
    /// Time-out of a request.
    pub timeout: Duration,
}

/// Results of a load.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// Result of every request.
    pub seen: Vec<StreamResult>,
    /// Team and arrival time of every token.
    pub tokens: Vec<(usize, Instant)>,
}

/// Sends load for `time` and waits until all requests have ended.
pub async fn run(world: &World, sources: &[Source], time: Duration, seed: u64) -> LoadResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (tokens, mut arrived) = mpsc::unbounded_channel();
    let mut tasks = tokio::task::JoinSet::new();
    let began = tokio::time::Instant::now();
    for (at, n) in arrivals(&mut rng, sources, time) {
        let source = &sources[n];
        let boxes = world.boxes.len();
        let skewed = rng.random_bool(source.skew);
        let node = if skewed {
            0
        } else {
            rng.random_range(0..boxes)
        };
        let addr = world.boxes[node].caller.clone();
        let call = StreamRequest {
            team: source.team,
            key: source.key.clone(),
            prompt: "p".repeat(source.prompt),
            tokens: source.tokens,
            timeout: source.timeout,
        };
        let live = tokens.clone();
        let due = began + at;
        tasks.spawn(async move {
            tokio::time::sleep_until(due).await;
            send(addr, call, Some(live)).await
        });
    }
    drop(tokens);
    let mut result = LoadResult::default();
    while let Some(seen) = tasks.join_next().await {
        result.seen.extend(seen);
    }
    while let Some(token) = arrived.recv().await {
        result.tokens.push(token);
    }
    result
}

/// Returns Poisson arrivals of all sources in order: offset from the start, and
/// index of the source.
fn arrivals(rng: &mut SmallRng, sources: &[Source], time: Duration) -> Vec<(Duration, usize)> {
    let mut all = Vec::new();
    for (n, source) in sources.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at -= (1.0 - rng.random::<f64>()).ln() / source.rate.max(1e-9);
            if at >= time.as_secs_f64() {
                break;
            }
            let at = Duration::from_secs_f64(at);
            if source.span.is_none_or(|(from, to)| at >= from && at < to) {
                all.push((at, n));
            }
        }
    }
    all.sort_unstable();
    all
}
