//! The experiments, and their figures as one JSON object each.

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

use crate::call::{Ask, Seen, ask};
use crate::load::{Outcome, Source, run};
use crate::world::{SLOTS, Team, World};

/// Share of a position's time that each further position of an order costs.
const BATCH_SHARE: f64 = 0.05;

/// Largest time that the histograms tell apart.
const HOUR_MS: u64 = 3_600_000;

const PROMPT: usize = 24;
const TOKENS: u32 = 8;

/// Positions that one request of the load is worth.
fn units() -> f64 {
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

/// More load than the hardware takes: throughput against the bound, shares
/// against weights, the top tier's wait, refusals and sends per request.
pub async fn saturation(tactics: &Value, time: u64, over: f64, seed: u64) -> Result<Value> {
    let weights = [1.0, 2.0, 3.0, 4.0, 6.0];
    let mut teams = vec![team("gold", 0, 1.0)];
    for (n, weight) in weights.iter().enumerate() {
        teams.push(team(&format!("team-{n}"), 1, *weight));
    }
    let world = World::start(8, &teams, &json!({"tactics": tactics})).await?;
    let requests = world.bound / units();
    let mut sources = vec![source(0, "gold", 0.1 * requests, 10)];
    // Every team asks for as much as the heaviest one's share and more, so
    // that only the router keeps them at their weights.
    let rate = (over - 0.1) * requests / weights.len() as f64;
    for n in 0..weights.len() {
        sources.push(source(n + 1, &teams[n + 1].name, rate, 10));
    }
    let began = Instant::now();
    let (outcome, busy) = tokio::join!(
        run(&world, &sources, Duration::from_secs(time), seed),
        busy_shares(&world, time),
    );
    let window = (
        began + Duration::from_secs(time / 3),
        began + Duration::from_secs(time),
    );
    let stats = stats(&world).await?;
    let shares = shares(&outcome, window, &weights);
    Ok(json!({
        "bound_units_s": round(world.bound),
        "throughput_of_bound": round(throughput(&outcome, window) / world.bound),
        "jain_of_low_tier": round(jain(&shares)),
        "worst_team_from_weight": round(worst(&shares)),
        "gold_first_token_ms": first_token(&outcome, |t| t == 0),
        "low_first_token_ms": first_token(&outcome, |t| t > 0),
        "between_tokens_ms": between(&outcome),
        "refusal_ms": refusals(&outcome),
        "refused_share": round(refused_share(&outcome)),
        "broken": outcome.seen.iter().filter(|s| s.status == 200 && !s.whole).count(),
        "busy_by_kind": busy,
        "sends_per_request": round(sends(&stats)),
        "replaced_per_request": round(stats.replaced as f64 / stats.started.max(1) as f64),
    }))
}

/// A calm third, a third in which harvest doubles the load and the bank cut-off
/// triples gold's, and a calm third again.
pub async fn peak(tactics: &Value, time: u64, seed: u64) -> Result<Value> {
    let teams = [
        team("gold", 0, 1.0),
        team("harvest", 1, 3.0),
        team("other", 1, 1.0),
    ];
    let world = World::start(8, &teams, &json!({"tactics": tactics})).await?;
    let requests = world.bound / units();
    let third = Duration::from_secs(time / 3);
    let rush = Some((third, third * 2));
    let mut sources = vec![
        source(0, "gold", 0.1 * requests, 10),
        source(1, "harvest", 0.25 * requests, 10),
        source(2, "other", 0.25 * requests, 10),
    ];
    for (n, rate) in [(0, 0.2), (1, 0.8)] {
        let mut more = source(n, &teams[n].name, rate * requests, 10);
        more.span = rush;
        sources.push(more);
    }
    let began = Instant::now();
    let outcome = run(&world, &sources, third * 3, seed).await;
    let mut parts = Vec::new();
    for n in 0..3 {
        let (from, to) = (began + third * n, began + third * (n + 1));
        let part = Outcome {
            seen: outcome
                .seen
                .iter()
                .filter(|s| s.asked >= from && s.asked < to)
                .cloned()
                .collect(),
            tokens: Vec::new(),
        };
        parts.push(json!({
            "throughput_of_bound": round(throughput(&outcome, (from, to)) / world.bound),
            "gold_first_token_ms": first_token(&part, |t| t == 0),
            "low_first_token_ms": first_token(&part, |t| t > 0),
            "refused_share": round(refused_share(&part)),
            "refusal_ms": refusals(&part),
        }));
    }
    Ok(json!({"before": parts[0], "in peak": parts[1], "after": parts[2]}))
}

/// The busiest engine is lost under light load: the longest wait for a token
/// after that, of the streams that ran through it and of the others.
pub async fn recovery(tactics: &Value, mode: &Mode, rounds: usize) -> Result<Value> {
    let settings = json!({"tactics": tactics});
    let world = World::start(3, &[team("gold", 0, 1.0)], &settings).await?;
    let mut hit = Histogram::<u64>::new_with_max(HOUR_MS, 3)?;
    let mut spared = Histogram::<u64>::new_with_max(HOUR_MS, 3)?;
    let (mut broken, mut affected) = (0, 0);
    for _ in 0..rounds {
        let (n, seen) = one_loss(&world, mode).await?;
        let names: Vec<String> = lost_names(&world, n).await?;
        for (seen, fault) in seen {
            let gap = gap(&seen, fault);
            let was_hit = names.contains(&short(&seen.name));
            affected += usize::from(was_hit);
            broken += usize::from(!seen.whole);
            match (was_hit, gap) {
                (true, Some(gap)) => hit.record(gap)?,
                (false, Some(gap)) => spared.record(gap)?,
                _ => {}
            }
        }
    }
    let stats = stats(&world).await?;
    Ok(json!({
        "streams_hit": affected,
        "broken": broken,
        "longest_wait_ms": percentiles(&hit),
        "longest_wait_of_others_ms": percentiles(&spared),
        "replaced": stats.replaced,
        "restarted": stats.restarted,
    }))
}

/// A limited team whose load is skewed to one box, with that box's peers cut
/// off for a while, or a box killed.
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
            "cut" => set_all(
                &links,
                &Mode {
                    cut: true,
                    ..Mode::default()
                },
            ),
            _ => return,
        }
        tokio::time::sleep(third).await;
        set_all(&links, &Mode::default());
    };
    let (outcome, ()) = tokio::join!(run(&world, &loads, third * 3, seed), faults);
    let starts = starts(&outcome, began);
    let part = |n: u32| used(&starts, third * n, third * (n + 1)) * cost / rate;
    Ok(json!({
        "worst_5s_of_limit": round(worst_window(&starts, 5.0) * cost / rate),
        "use_before_fault": round(part(0)),
        "use_in_fault": round(part(1)),
        "use_after_fault": round(part(2)),
        "refusal_ms": refusals(&outcome),
        "refused_share": round(refused_share(&outcome)),
    }))
}

fn set_all(links: &[Arc<watch::Sender<Mode>>], mode: &Mode) {
    for link in links {
        link.send_replace(mode.clone());
    }
}

/// Streams that are all under way when the busiest engine's link fails; each
/// comes with the time of the fault.
async fn one_loss(world: &World, mode: &Mode) -> Result<(usize, Vec<(Seen, Instant)>)> {
    let (live, mut came) = mpsc::unbounded_channel();
    let mut tasks = tokio::task::JoinSet::new();
    for stream in 0..24 {
        let call = Ask {
            team: stream,
            key: "gold".into(),
            prompt: "p".repeat(PROMPT),
            tokens: 40,
            timeout: Duration::from_secs(60),
        };
        let addr = world.boxes[stream % world.boxes.len()].caller.clone();
        tasks.spawn(ask(addr, call, Some(live.clone())));
    }
    let mut counts: HashMap<usize, usize> = HashMap::new();
    while counts.len() < 24 || counts.values().any(|c| *c < 10) {
        let Some((stream, _)) = came.recv().await else {
            break;
        };
        *counts.entry(stream).or_default() += 1;
    }
    let n = busiest(world).await?;
    let fault = Instant::now();
    let before = world.engines[n].link.send_replace(mode.clone());
    let mut seen = Vec::new();
    while let Some(stream) = tasks.join_next().await {
        seen.extend(stream.map(|s| (s, fault)));
    }
    world.engines[n].link.send_replace(before);
    // Box by box, what was learned of the dead link has to be unlearned.
    tokio::time::sleep(Duration::from_secs(3)).await;
    Ok((n, seen))
}

/// The engine with the most streams on it.
async fn busiest(world: &World) -> Result<usize> {
    let mut held = vec![0; world.engines.len()];
    for node in &world.boxes {
        for u in node.desk().status().await?.upstreams {
            if let Some(n) = world.engines.iter().position(|e| *e.id == *u.id) {
                held[n] += u.held;
            }
        }
    }
    Ok((0..held.len()).max_by_key(|n| held[*n]).unwrap_or(0))
}

/// Names of the requests that lost the engine, from the boxes' time lines.
async fn lost_names(world: &World, n: usize) -> Result<Vec<String>> {
    let mut names = Vec::new();
    for node in &world.boxes {
        for record in node.desk().events().await?.records {
            let lost = match &record.kind {
                ashgauge::record::RecordKind::Lost { upstream, .. } => {
                    **upstream == *world.engines[n].id
                }
                _ => false,
            };
            if let (true, Some(id)) = (lost, record.request) {
                names.push(format!("{}/{id}", record.box_id));
            }
        }
    }
    Ok(names)
}

/// `box.incarnation.request` without the incarnation.
fn short(name: &str) -> String {
    let mut parts = name.split('.');
    let node = parts.next().unwrap_or_default();
    format!("{node}/{}", parts.next_back().unwrap_or_default())
}

/// Share of the time that slots were busy in the last two thirds, by kind of
/// engine.
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

/// Longest wait for a token after the fault, in milliseconds.
fn gap(seen: &Seen, fault: Instant) -> Option<u64> {
    let after = seen.tokens.iter().filter(|t| **t > fault);
    let times: Vec<Instant> = std::iter::once(&fault).chain(after).copied().collect();
    let waits = times.windows(2).map(|w| (w[1] - w[0]).as_millis() as u64);
    waits.max()
}

async fn stats(world: &World) -> Result<Stats> {
    let mut sum = Stats::default();
    for node in &world.boxes {
        let s = node.desk().status().await?.stats;
        sum.started += s.started;
        sum.restarted += s.restarted;
        sum.replaced += s.replaced;
        sum.lost += s.lost;
    }
    Ok(sum)
}

fn sends(stats: &Stats) -> f64 {
    (stats.started + stats.restarted) as f64 / stats.started.max(1) as f64
}

/// Units a second that came out in the window.
fn throughput(outcome: &Outcome, window: (Instant, Instant)) -> f64 {
    let mut units = 0.0;
    for seen in &outcome.seen {
        for (n, at) in seen.tokens.iter().enumerate() {
            if *at >= window.0 && *at < window.1 {
                let first = 1.0 + BATCH_SHARE * (PROMPT as f64 - 1.0);
                units += if n == 0 { first } else { 1.0 };
            }
        }
    }
    units / (window.1 - window.0).as_secs_f64()
}

/// Tokens of each team of the low tier, over its weight.
fn shares(outcome: &Outcome, window: (Instant, Instant), weights: &[f64]) -> Vec<f64> {
    let mut sums = vec![0.0; weights.len()];
    for (team, at) in &outcome.tokens {
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

/// Largest distance of a team's share from the mean, as a part of the mean.
fn worst(shares: &[f64]) -> f64 {
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    let far = shares.iter().map(|s| (s / mean.max(1e-9) - 1.0).abs());
    far.fold(0.0, f64::max)
}

fn first_token(outcome: &Outcome, of: impl Fn(usize) -> bool) -> Value {
    let firsts = outcome.seen.iter().filter(|s| of(s.team));
    times(firsts.filter_map(|s| Some(*s.tokens.first()? - s.asked)))
}

fn between(outcome: &Outcome) -> Value {
    let gaps = outcome
        .seen
        .iter()
        .flat_map(|s| s.tokens.windows(2).map(|w| w[1] - w[0]));
    times(gaps)
}

fn refusals(outcome: &Outcome) -> Value {
    let refused = outcome
        .seen
        .iter()
        .filter(|s| matches!(s.status, 429 | 503));
    times(refused.map(|s| s.over - s.asked))
}

fn refused_share(outcome: &Outcome) -> f64 {
    let refused = outcome.seen.iter().filter(|s| s.status != 200).count();
    refused as f64 / outcome.seen.len().max(1) as f64
}

/// When the limited requests started to run, in seconds from the start.
fn starts(outcome: &Outcome, began: Instant) -> Vec<f64> {
    let firsts = outcome.seen.iter().filter_map(|s| s.tokens.first());
    let mut starts: Vec<f64> = firsts.map(|t| (*t - began).as_secs_f64()).collect();
    starts.sort_by(f64::total_cmp);
    starts
}

fn used(starts: &[f64], from: Duration, to: Duration) -> f64 {
    let (from, to) = (from.as_secs_f64(), to.as_secs_f64());
    let n = starts.iter().filter(|t| **t >= from && **t < to).count();
    n as f64 / (to - from)
}

/// Most starts a second over any window of so many seconds.
fn worst_window(starts: &[f64], span: f64) -> f64 {
    let within = |from: &f64| {
        starts
            .iter()
            .filter(|t| **t >= *from && **t < from + span)
            .count()
    };
    starts.iter().map(within).max().unwrap_or(0) as f64 / span
}

fn times(all: impl Iterator<Item = Duration>) -> Value {
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
