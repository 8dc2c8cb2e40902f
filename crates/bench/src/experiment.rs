//! The policy experiments. Each returns its figures as one JSON object.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use ashgauge::node::Stats;
use eyre::Result;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use standin::link::Mode;
use tokio::sync::{mpsc, watch};

use crate::call::{StreamRequest, StreamResult, send};
use crate::load::{LoadResult, Source, run};
use crate::world::{SLOTS, Team, World};

/// Time of each further position of an order, as a share of the time of the
/// first one; must match the engine stand-in.
const BATCH_SHARE: f64 = 0.05;

/// Maximum value of the histograms: one hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

const PROMPT: usize = 24;
const TOKENS: u32 = 8;

/// Returns the cost of one request of the load, in units of one position run
/// alone.
fn request_units() -> f64 {
    1.0 + BATCH_SHARE * (PROMPT as f64 - 1.0) + f64::from(TOKENS - 1)
}

fn team(name: &str, rank: u32, weight: f64) -> Team {
    Team {
        name: name.into(),
        rank,
        weight,
        rate: None,
    }
}

fn source(team: usize, key: &str, rate: f64, timeout: u64) -> Source {
    Source {
        team,
        key: key.into(),
        rate,
        span: None,
        skew: 0.0,
        prompt: PROMPT,
        tokens: TOKENS,
        timeout: Duration::from_secs(timeout),
    }
}

/// Offers more load than the engines can take. Measures the throughput against
/// the bound, the teams' shares against their weights, the waits of the top
/// tier, the refusals and the sends per request.
pub async fn saturation(tactics: &Value, time: u64, load_factor: f64, seed: u64) -> Result<Value> {
    let weights = [1.0, 2.0, 3.0, 4.0, 6.0];
    let mut teams = vec![team("gold", 0, 1.0)];
    for (n, weight) in weights.iter().enumerate() {
        teams.push(team(&format!("team-{n}"), 1, *weight));
    }
    let world = World::start(8, &teams, &json!({"tactics": tactics})).await?;
    let requests = world.bound / request_units();
    let mut sources = vec![source(0, "gold", 0.1 * requests, 10)];
    // Every team offers more than the share of the heaviest one, so that only
    // the router keeps the teams at their weights.
    let rate = (load_factor - 0.1) * requests / weights.len() as f64;
    for n in 0..weights.len() {
        sources.push(source(n + 1, &teams[n + 1].name, rate, 10));
    }
    let began = Instant::now();
    let (result, busy) = tokio::join!(
        run(&world, &sources, Duration::from_secs(time), seed),
        busy_shares(&world, time),
    );
    let window = (
        began + Duration::from_secs(time / 3),
        began + Duration::from_secs(time),
    );
    let stats = stats(&world).await?;
    let shares = shares(&result, window, &weights);
    Ok(json!({
        "bound_units_s": round(world.bound),
        "throughput_of_bound": round(throughput(&result, window) / world.bound),
        "jain_of_low_tier": round(jain(&shares)),
        "worst_team_from_weight": round(max_deviation(&shares)),
        "gold_first_token_ms": first_token(&result, |t| t == 0),
        "low_first_token_ms": first_token(&result, |t| t > 0),
        "between_tokens_ms": token_intervals(&result),
        "refusal_ms": refusal_times(&result),
        "refused_share": round(refused_share(&result)),
        "broken": result.seen.iter().filter(|s| s.status == 200 && !s.complete).count(),
        "busy_by_kind": busy,
        "sends_per_request": round(sends_per_request(&stats)),
        "replaced_per_request": round(stats.replaced as f64 / stats.started.max(1) as f64),
    }))
}

/// Runs three phases of equal length: normal load, a peak in which harvest more than
/// doubles the total load and the bank cut-off triples that of gold, and normal load
/// again.
pub async fn peak(tactics: &Value, time: u64, seed: u64) -> Result<Value> {
    let teams = [
        team("gold", 0, 1.0),
        team("harvest", 1, 3.0),
        team("other", 1, 1.0),
    ];
    let world = World::start(8, &teams, &json!({"tactics": tactics})).await?;
    let requests = world.bound / request_units();
    let third = Duration::from_secs(time / 3);
    let peak_span = Some((third, third * 2));
    let mut sources = vec![
        source(0, "gold", 0.1 * requests, 10),
        source(1, "harvest", 0.25 * requests, 10),
        source(2, "other", 0.25 * requests, 10),
    ];
    for (n, rate) in [(0, 0.2), (1, 0.8)] {
        let mut more = source(n, &teams[n].name, rate * requests, 10);
        more.span = peak_span;
        sources.push(more);
    }
    let began = Instant::now();
    let result = run(&world, &sources, third * 3, seed).await;
    let mut parts = Vec::new();
    for n in 0..3 {
        let (from, to) = (began + third * n, began + third * (n + 1));
        let part = LoadResult {
            seen: result
                .seen
                .iter()
                .filter(|s| s.sent >= from && s.sent < to)
                .cloned()
                .collect(),
            tokens: Vec::new(),
        };
        parts.push(json!({
            "throughput_of_bound": round(throughput(&result, (from, to)) / world.bound),
            "gold_first_token_ms": first_token(&part, |t| t == 0),
            "low_first_token_ms": first_token(&part, |t| t > 0),
            "refused_share": round(refused_share(&part)),
            "refusal_ms": refusal_times(&part),
        }));
    }
    Ok(json!({"before": parts[0], "in peak": parts[1], "after": parts[2]}))
}

/// Fails the busiest engine under light load. Measures the longest wait for a
/// token after the fault, for the streams that ran on that engine and for the
/// others.
pub async fn recovery(tactics: &Value, mode: &Mode, rounds: usize) -> Result<Value> {
    let settings = json!({"tactics": tactics});
    let world = World::start(3, &[team("gold", 0, 1.0)], &settings).await?;
    let mut affected_waits = Histogram::<u64>::new_with_max(HOUR_MS, 3)?;
    let mut other_waits = Histogram::<u64>::new_with_max(HOUR_MS, 3)?;
    let (mut broken, mut affected) = (0, 0);
    for _ in 0..rounds {
        let (n, seen) = fail_busiest_engine(&world, mode).await?;
        let requests: Vec<String> = lost_requests(&world, n).await?;
        for (seen, fault) in seen {
            let longest_wait = longest_wait(&seen, fault);
            let is_affected = requests.contains(&request_key(&seen.name));
            affected += usize::from(is_affected);
            broken += usize::from(!seen.complete);
            match (is_affected, longest_wait) {
                (true, Some(longest_wait)) => affected_waits.record(longest_wait)?,
                (false, Some(longest_wait)) => other_waits.record(longest_wait)?,
                _ => {}
            }
        }
    }
    let stats = stats(&world).await?;
    Ok(json!({
        "streams_hit": affected,
        "broken": broken,
        "longest_wait_ms": percentiles(&affected_waits),
        "longest_wait_of_others_ms": percentiles(&other_waits),
        "replaced": stats.replaced,
        "restarted": stats.restarted,
    }))
}

/// Measures the use of a team's rate limit while its load is skewed to one box and,
/// by `fault`, box-to-box links are cut for the second third of the time (`cut`), a
/// box is killed (`kill`), or nothing fails.
pub async fn limit(tactics: &Value, fault: &str, time: u64, seed: u64) -> Result<Value> {
    let rate = 800.0;
    let limited = Team {
        rate: Some(rate),
        ..team("limited", 0, 1.0)
    };
    let mut world = World::start(8, &[limited], &json!({"tactics": tactics})).await?;
    let cost = PROMPT as f64 + f64::from(TOKENS);
    let mut load = source(0, "limited", 2.0 * rate / cost, 4);
    load.skew = 0.9;
    let loads = [load];
    let began = Instant::now();
    let third = Duration::from_secs(time / 3);
    let killed = (fault == "kill").then(|| world.boxes.pop()).flatten();
    let links: Vec<_> = world.boxes.iter().map(|b| b.link.clone()).collect();
    let faults = async {
        tokio::time::sleep(third).await;
        match fault {
            "kill" => drop(killed),
            "cut" => set_modes(
                &links,
                &Mode {
                    cut: true,
                    ..Mode::default()
                },
            ),
            _ => return,
        }
        tokio::time::sleep(third).await;
        set_modes(&links, &Mode::default());
    };
    let (result, ()) = tokio::join!(run(&world, &loads, third * 3, seed), faults);
    let start_times = start_times(&result, began);
    let part = |n: u32| start_rate(&start_times, third * n, third * (n + 1)) * cost / rate;
    Ok(json!({
        "worst_5s_of_limit": round(worst_window(&start_times, 5.0) * cost / rate),
        "use_before_fault": round(part(0)),
        "use_in_fault": round(part(1)),
        "use_after_fault": round(part(2)),
        "refusal_ms": refusal_times(&result),
        "refused_share": round(refused_share(&result)),
    }))
}

fn set_modes(links: &[Arc<watch::Sender<Mode>>], mode: &Mode) {
    for link in links {
        link.send_replace(mode.clone());
    }
}

/// Starts 24 streams and sets the link of the busiest engine to `mode` once each
/// stream has 10 tokens. Returns the index of the engine, and the result of each
/// stream with the time of the fault.
async fn fail_busiest_engine(
    world: &World,
    mode: &Mode,
) -> Result<(usize, Vec<(StreamResult, Instant)>)> {
    let (live, mut arrived) = mpsc::unbounded_channel();
    let mut tasks = tokio::task::JoinSet::new();
    for stream in 0..24 {
        let call = StreamRequest {
            team: stream,
            key: "gold".into(),
            prompt: "p".repeat(PROMPT),
            tokens: 40,
            timeout: Duration::from_secs(60),
        };
        let addr = world.boxes[stream % world.boxes.len()].caller.clone();
        tasks.spawn(send(addr, call, Some(live.clone())));
    }
    let mut counts: HashMap<usize, usize> = HashMap::new();
    while counts.len() < 24 || counts.values().any(|c| *c < 10) {
        let Some((stream, _)) = arrived.recv().await else {
            break;
        };
        *counts.entry(stream).or_default() += 1;
    }
    let n = busiest_engine(world).await?;
    let fault = Instant::now();
    let before = world.engines[n].link.send_replace(mode.clone());
    let mut seen = Vec::new();
    while let Some(stream) = tasks.join_next().await {
        seen.extend(stream.map(|s| (s, fault)));
    }
    world.engines[n].link.send_replace(before);
    // Each box needs time to learn that the link works again.
    tokio::time::sleep(Duration::from_secs(3)).await;
    Ok((n, seen))
}

/// Returns the index of the engine that holds the most streams.
async fn busiest_engine(world: &World) -> Result<usize> {
    let mut held = vec![0; world.engines.len()];
    for node in &world.boxes {
        for u in node.operator_client().status().await?.upstreams {
            if let Some(n) = world.engines.iter().position(|e| *e.id == *u.id) {
                held[n] += u.held;
            }
        }
    }
    Ok((0..held.len()).max_by_key(|n| held[*n]).unwrap_or(0))
}

/// Returns the requests that lost engine `n`, as `box/request`, from the boxes'
/// event logs.
async fn lost_requests(world: &World, n: usize) -> Result<Vec<String>> {
    let mut requests = Vec::new();
    for node in &world.boxes {
        for record in node.operator_client().events().await?.records {
            let lost = match &record.kind {
                ashgauge::record::RecordKind::Lost { upstream, .. } => {
                    **upstream == *world.engines[n].id
                }
                _ => false,
            };
            if let (true, Some(id)) = (lost, record.request) {
                requests.push(format!("{}/{id}", record.box_id));
            }
        }
    }
    Ok(requests)
}

/// Converts `box.incarnation.request` to `box/request`.
fn request_key(name: &str) -> String {
    let mut parts = name.split('.');
    let node = parts.next().unwrap_or_default();
    format!("{node}/{}", parts.next_back().unwrap_or_default())
}

/// Returns the share of slot time that was busy in the last two thirds of `time`
/// seconds, by kind of engine.
async fn busy_shares(world: &World, time: u64) -> Vec<f64> {
    tokio::time::sleep(Duration::from_secs(time / 3)).await;
    let read = || {
        world
            .engines
            .iter()
            .map(|e| e.busy.load(Ordering::Relaxed) as f64 / 1e6)
    };
    let before: Vec<f64> = read().collect();
    let span = Duration::from_secs(time - time / 3);
    tokio::time::sleep(span).await;
    let mut kinds = [(0.0, 0.0); 4];
    for (engine, (after, before)) in world.engines.iter().zip(read().zip(before)) {
        kinds[engine.kind].0 += after - before;
        kinds[engine.kind].1 += SLOTS as f64 * span.as_secs_f64();
    }
    kinds.iter().map(|(busy, all)| round(busy / all)).collect()
}

/// Returns the longest wait for a token after the fault, in milliseconds.
fn longest_wait(seen: &StreamResult, fault: Instant) -> Option<u64> {
    let after = seen.tokens.iter().filter(|t| **t > fault);
    let times: Vec<Instant> = std::iter::once(&fault).chain(after).copied().collect();
    let waits = times.windows(2).map(|w| (w[1] - w[0]).as_millis() as u64);
    waits.max()
}

async fn stats(world: &World) -> Result<Stats> {
    let mut sum = Stats::default();
    for node in &world.boxes {
        let s = node.operator_client().status().await?.stats;
        sum.started += s.started;
        sum.restarted += s.restarted;
        sum.replaced += s.replaced;
        sum.lost += s.lost;
    }
    Ok(sum)
}

fn sends_per_request(stats: &Stats) -> f64 {
    (stats.started + stats.restarted) as f64 / stats.started.max(1) as f64
}

/// Returns the throughput in the window, in units per second.
fn throughput(result: &LoadResult, window: (Instant, Instant)) -> f64 {
    let mut units = 0.0;
    for seen in &result.seen {
        for (n, at) in seen.tokens.iter().enumerate() {
            if *at >= window.0 && *at < window.1 {
                let first = 1.0 + BATCH_SHARE * (PROMPT as f64 - 1.0);
                units += if n == 0 { first } else { 1.0 };
            }
        }
    }
    units / (window.1 - window.0).as_secs_f64()
}

/// Returns the number of tokens of each team of the low tier, divided by its
/// weight.
fn shares(result: &LoadResult, window: (Instant, Instant), weights: &[f64]) -> Vec<f64> {
    let mut sums = vec![0.0; weights.len()];
    for (team, at) in &result.tokens {
        if *team > 0 && *at >= window.0 && *at < window.1 {
            sums[team - 1] += 1.0 / weights[team - 1];
        }
    }
    sums
}

fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|s| s * s).sum();
    sum * sum / (shares.len() as f64 * squares).max(1e-9)
}

/// Returns the largest deviation of a team's share from the mean, relative to the
/// mean.
fn max_deviation(shares: &[f64]) -> f64 {
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    let far = shares.iter().map(|s| (s / mean.max(1e-9) - 1.0).abs());
    far.fold(0.0, f64::max)
}

fn first_token(result: &LoadResult, of: impl Fn(usize) -> bool) -> Value {
    let firsts = result.seen.iter().filter(|s| of(s.team));
    duration_percentiles(firsts.filter_map(|s| Some(*s.tokens.first()? - s.sent)))
}

fn token_intervals(result: &LoadResult) -> Value {
    let gaps = result
        .seen
        .iter()
        .flat_map(|s| s.tokens.windows(2).map(|w| w[1] - w[0]));
    duration_percentiles(gaps)
}

fn refusal_times(result: &LoadResult) -> Value {
    let refused = result.seen.iter().filter(|s| matches!(s.status, 429 | 503));
    duration_percentiles(refused.map(|s| s.ended - s.sent))
}

fn refused_share(result: &LoadResult) -> f64 {
    let refused = result.seen.iter().filter(|s| s.status != 200).count();
    refused as f64 / result.seen.len().max(1) as f64
}

/// Returns when the requests got their first tokens, in sorted seconds since
/// `began`.
fn start_times(result: &LoadResult, began: Instant) -> Vec<f64> {
    let firsts = result.seen.iter().filter_map(|s| s.tokens.first());
    let mut start_times: Vec<f64> = firsts.map(|t| (*t - began).as_secs_f64()).collect();
    start_times.sort_by(f64::total_cmp);
    start_times
}

fn start_rate(start_times: &[f64], from: Duration, to: Duration) -> f64 {
    let (from, to) = (from.as_secs_f64(), to.as_secs_f64());
    let n = start_times
        .iter()
        .filter(|t| **t >= from && **t < to)
        .count();
    n as f64 / (to - from)
}

/// Returns the highest rate of starts, per second, in any window of `span`
/// seconds.
fn worst_window(start_times: &[f64], span: f64) -> f64 {
    let within = |from: &f64| {
        start_times
            .iter()
            .filter(|t| **t >= *from && **t < from + span)
            .count()
    };
    start_times.iter().map(within).max().unwrap_or(0) as f64 / span
}

fn duration_percentiles(all: impl Iterator<Item = Duration>) -> Value {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(HOUR_MS, 3) else {
        return Value::Null;
    };
    for time in all {
        histogram.saturating_record(time.as_millis() as u64);
    }
    percentiles(&histogram)
}

fn percentiles(histogram: &Histogram<u64>) -> Value {
    let at = |q| histogram.value_at_quantile(q);
    json!({"n": histogram.len(), "p50": at(0.5), "p95": at(0.95), "p99": at(0.99)})
}

fn round(x: f64) -> f64 {
    (x * 1000.0).round() / 1000.0
}
