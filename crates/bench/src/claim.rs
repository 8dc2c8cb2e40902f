//! Throughput of claims under the platform's rate limits: claims batched into
//! shards, against one object created for each claim.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ashgauge::Config;
use ashgauge::claim::{ClaimAction, ClaimResult, Claims, StoredShard, WriteResult};
use ashgauge::node::{ObjectKey, ObjectValue};
use eyre::Result;
use hdrhistogram::Histogram;
use platform::PlatformClient;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use standin::platform::{Counts, Mode};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

const BOXES: usize = 8;
const SECONDS: u64 = 8;

/// Delay of each platform call, in milliseconds.
const DELAY_MS: u64 = 3;

/// Time-out of a claim, as in the daemon's default settings.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause of the baseline before it retries a call that the platform refused,
/// mostly because of its rate limit.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

type ClaimRequest = (String, String, oneshot::Sender<ClaimResult>);

/// Offers `rate` claims per second, and returns the figures as JSON. With
/// `shards`, claims are batched into shards; else each creates its own object.
pub async fn claims(rate: f64, shards: bool, seed: u64) -> Result<Value> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    tokio::spawn(standin::platform::serve(listener));
    let mode = Mode {
        delay_ms: DELAY_MS,
        ..Mode::default()
    };
    crate::world::put(&addr, "/admin/mode", &mode).await?;
    let boxes: Vec<mpsc::UnboundedSender<ClaimRequest>> =
        (0..BOXES).map(|_| claims_task(&addr)).collect();
    let baseline = PlatformClient::new(&addr, 10_000.0, CLAIM_TIMEOUT);
    let shard_of = Claims::new(Config::new("x", 1).claims);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut tasks = tokio::task::JoinSet::new();
    let (mut at, began) = (0.0, tokio::time::Instant::now());
    let mut n = 0u64;
    while at < SECONDS as f64 {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        n += 1;
        let key = format!("payroll/{:016x}", rng.random::<u64>());
        let claims_task = boxes[shard_of.shard_of(&key) as usize % BOXES].clone();
        let (due, baseline) = (began + Duration::from_secs_f64(at), baseline.clone());
        tasks.spawn(async move {
            tokio::time::sleep_until(due).await;
            let requested = Instant::now();
            let granted = if shards {
                request_claim(&claims_task, key, n).await
            } else {
                create_object(&baseline, n).await
            };
            (granted, requested.elapsed())
        });
    }
    let mut times = Histogram::<u64>::new_with_max(60_000, 3)?;
    let mut granted = 0u64;
    while let Some(done) = tasks.join_next().await {
        let (won, took) = done?;
        if won {
            granted += 1;
            times.saturating_record(took.as_millis() as u64);
        }
    }
    let took = began.elapsed().as_secs_f64();
    let counts: Counts = crate::world::get(&addr, "/admin/counts").await?;
    Ok(json!({
        "offered_s": rate,
        "granted_s": (granted as f64 / took * 10.0).round() / 10.0,
        "granted_share": (granted as f64 / n as f64 * 1000.0).round() / 1000.0,
        "latency_ms": {
            "p50": times.value_at_quantile(0.5),
            "p99": times.value_at_quantile(0.99),
        },
        "writes_s": (counts.writes as f64 / took * 10.0).round() / 10.0,
        "refused_for_rate": counts.limited,
    }))
}

async fn request_claim(
    claims_task: &mpsc::UnboundedSender<ClaimRequest>,
    key: String,
    n: u64,
) -> bool {
    let (sender, answer) = oneshot::channel();
    let _ = claims_task.send((key, format!("claim-{n}"), sender));
    matches!(answer.await, Ok(ClaimResult::Granted))
}

/// The baseline: claims by creating an object, which only one writer can.
async fn create_object(platform: &PlatformClient, n: u64) -> bool {
    let deadline = Instant::now() + CLAIM_TIMEOUT;
    // Shard numbers serve as object names; these are far above those in use.
    let object = ObjectKey::Claims(1_000_000 + n as u32);
    while Instant::now() < deadline {
        let content = ObjectValue::Claims(StoredShard::default());
        match platform.write(&object, 0, &content).await {
            WriteResult::Done(_) => return true,
            WriteResult::Conflict => return false,
            WriteResult::Unknown | WriteResult::Refused => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
    false
}

/// Spawns the claims of one box with their platform calls, and returns the
/// sender of its claim requests.
fn claims_task(addr: &str) -> mpsc::UnboundedSender<ClaimRequest> {
    let (sender, mut requests) = mpsc::unbounded_channel::<ClaimRequest>();
    let platform = PlatformClient::new(addr, 100.0, CLAIM_TIMEOUT);
    tokio::spawn(async move {
        let began = Instant::now();
        let mut claims = Claims::new(Config::new("x", 1).claims);
        let mut waiting: HashMap<String, oneshot::Sender<ClaimResult>> = HashMap::new();
        let (results, mut completed) = mpsc::unbounded_channel();
        let mut ticks = tokio::time::interval(Duration::from_millis(10));
        loop {
            let actions = tokio::select! {
                request = requests.recv() => {
                    let Some((key, id, reply)) = request else { return };
                    waiting.insert(id.clone(), reply);
                    claims.claim(began.elapsed(), 1, &key, &id)
                }
                Some(result) = completed.recv() => {
                    handle_completion(&mut claims, began.elapsed(), result)
                }
                _ = ticks.tick() => claims.tick(began.elapsed(), 1),
            };
            for action in actions {
                if let ClaimAction::Respond(id, verdict) = action {
                    let reply = waiting.remove(&id).map(|w| w.send(verdict));
                    drop(reply);
                } else {
                    run_action(action, platform.clone(), results.clone());
                }
            }
        }
    });
    sender
}

enum Completion {
    Read(u32, Option<(u64, StoredShard)>),
    Written(u32, StoredShard, WriteResult),
}

fn handle_completion(claims: &mut Claims, now: Duration, done: Completion) -> Vec<ClaimAction> {
    match done {
        Completion::Read(shard, answer) => claims.on_read(now, 1, shard, answer),
        Completion::Written(shard, entries, result) => {
            claims.on_written(now, 1, shard, entries, result)
        }
    }
}

fn run_action(
    action: ClaimAction,
    platform: PlatformClient,
    results: mpsc::UnboundedSender<Completion>,
) {
    tokio::spawn(async move {
        let done = match action {
            ClaimAction::Read(shard) => {
                let answer = platform.read(&ObjectKey::Claims(shard)).await;
                let entries = |c| match c {
                    Some(ObjectValue::Claims(entries)) => entries,
                    _ => StoredShard::default(),
                };
                Completion::Read(shard, answer.map(|(v, c)| (v, entries(c))))
            }
            ClaimAction::Write(shard, version, entries) => {
                let content = ObjectValue::Claims(entries.clone());
                let result = platform
                    .write(&ObjectKey::Claims(shard), version, &content)
                    .await;
                Completion::Written(shard, entries, result)
            }
            ClaimAction::Respond(..) => return,
        };
        let _ = results.send(done);
    });
}
