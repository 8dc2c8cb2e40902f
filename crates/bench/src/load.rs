//! Open-loop load: arrivals that do not wait for answers, from a seed.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;

use crate::call::{Ask, Seen, ask};
use crate::world::World;

/// One team's part of the load.
#[derive(Clone, Debug)]
pub struct Source {
    /// Number of the team.
    pub team: usize,
    /// Bearer key.
    pub key: String,
    /// Requests a second.
    pub rate: f64,
    /// When it starts and ends; all the time if not given.
    pub span: Option<(Duration, Duration)>,
    /// Share of its requests that go to box 0; the rest go anywhere.
    pub skew: f64,
    /// Bytes of the prompt.
    pub prompt: usize,
    /// Tokens wanted.
    pub tokens: u32,
    /// Longest time of a request.
    pub timeout: Duration,
}

/// What came of a load.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Every request.
    pub seen: Vec<Seen>,
    /// Every token: team and time.
    pub tokens: Vec<(usize, Instant)>,
}

/// Sends load for `time` and waits until all of it is over.
pub async fn run(world: &World, sources: &[Source], time: Duration, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (tokens, mut came) = mpsc::unbounded_channel();
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
        let call = Ask {
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
            ask(addr, call, Some(live)).await
        });
    }
    drop(tokens);
    let mut outcome = Outcome::default();
    while let Some(seen) = tasks.join_next().await {
        outcome.seen.extend(seen);
    }
    while let Some(token) = came.recv().await {
        outcome.tokens.push(token);
    }
    outcome
}

/// Poisson arrivals of every source, as offsets from the start.
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
