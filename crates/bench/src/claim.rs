//! Claims at the platform's limits: shards written in batches, against one
//! created object for each request.

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

/// Time that the platform takes for a call.
const DELAY_MS: u64 = 3;

/// How long a claim may wait, as in the daemon's settings.
const PATIENCE: Duration = Duration::from_secs(2);

/// Pause of the plain way after the platform refused a call for its rate.
const PAUSE: Duration = Duration::from_millis(100);

type Ask = (String, String, oneshot::Sender<ClaimResult>);

/// Offers `rate` claims a second; `shards` gathers them, else each creates an
/// object of its own.
pub async fn claims(rate: f64, shards: bool, seed: u64) -> Result<Value> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    tokio::spawn(standin::platform::serve(listener));
    let mode = Mode {
        delay_ms: DELAY_MS,
        ..Mode::default()
    };
    crate::world::put(&addr, "/admin/mode", &mode).await?;
    let boxes: Vec<mpsc::UnboundedSender<Ask>> = (0..BOXES).map(|_| keeper(&addr)).collect();
    let plain = PlatformClient::new(&addr, 10_000.0, PATIENCE);
    let shard_of = Claims::new(Config::new("x", 1).claims);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut tasks = tokio::task::JoinSet::new();
    let (mut at, began) = (0.0, tokio::time::Instant::now());
    let mut n = 0u64;
    while at < SECONDS as f64 {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        n += 1;
        let key = format!("payroll/{:016x}", rng.random::<u64>());
        let keeper = boxes[shard_of.shard_of(&key) as usize % BOXES].clone();
        let (due, plain) = (began + Duration::from_secs_f64(at), plain.clone());
        tasks.spawn(async move {
            tokio::time::sleep_until(due).await;
            let asked = Instant::now();
            let granted = if shards {
                ask(&keeper, key, n).await
            } else {
                create(&plain, n).await
            };
            (granted, asked.elapsed())
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

async fn ask(keeper: &mpsc::UnboundedSender<Ask>, key: String, n: u64) -> bool {
    let (sender, answer) = oneshot::channel();
    let _ = keeper.send((key, format!("claim-{n}"), sender));
    matches!(answer.await, Ok(ClaimResult::Granted))
}

/// The plain way: create an object that nobody else can create.
async fn create(platform: &PlatformClient, n: u64) -> bool {
    let until = Instant::now() + PATIENCE;
    // Shard numbers serve as names, far from those in use.
    let object = ObjectKey::Claims(1_000_000 + n as u32);
    while Instant::now() < until {
        let content = ObjectValue::Claims(StoredShard::default());
        match platform.write(&object, 0, &content).await {
            WriteResult::Done(_) => return true,
            WriteResult::Conflict => return false,
            WriteResult::Unknown | WriteResult::Refused => tokio::time::sleep(PAUSE).await,
        }
    }
    false
}

/// One box's claims, with their calls to the platform.
fn keeper(addr: &str) -> mpsc::UnboundedSender<Ask> {
    let (sender, mut asks) = mpsc::unbounded_channel::<Ask>();
    let platform = PlatformClient::new(addr, 100.0, PATIENCE);
    tokio::spawn(async move {
        let began = Instant::now();
        let mut claims = Claims::new(Config::new("x", 1).claims);
        let mut waiting: HashMap<String, oneshot::Sender<ClaimResult>> = HashMap::new();
        let (results, mut came) = mpsc::unbounded_channel();
        let mut ticks = tokio::time::interval(Duration::from_millis(10));
        loop {
            let steps = tokio::select! {
                ask = asks.recv() => {
                    let Some((key, id, told)) = ask else { return };
                    waiting.insert(id.clone(), told);
                    claims.claim(began.elapsed(), 1, &key, &id)
                }
                Some(result) = came.recv() => take(&mut claims, began.elapsed(), result),
                _ = ticks.tick() => claims.tick(began.elapsed(), 1),
            };
            for step in steps {
                if let ClaimAction::Respond(id, verdict) = step {
                    let told = waiting.remove(&id).map(|w| w.send(verdict));
                    drop(told);
                } else {
                    call(step, platform.clone(), results.clone());
                }
            }
        }
    });
    sender
}

enum Done {
    Read(u32, Option<(u64, StoredShard)>),
    Written(u32, StoredShard, WriteResult),
}

fn take(claims: &mut Claims, now: Duration, done: Done) -> Vec<ClaimAction> {
    match done {
        Done::Read(shard, answer) => claims.on_read(now, 1, shard, answer),
        Done::Written(shard, entries, result) => claims.on_written(now, 1, shard, entries, result),
    }
}

fn call(step: ClaimAction, platform: PlatformClient, results: mpsc::UnboundedSender<Done>) {
    tokio::spawn(async move {
        let done = match step {
            ClaimAction::Read(shard) => {
                let answer = platform.read(&ObjectKey::Claims(shard)).await;
                let entries = |c| match c {
                    Some(ObjectValue::Claims(entries)) => entries,
                    _ => StoredShard::default(),
                };
                Done::Read(shard, answer.map(|(v, c)| (v, entries(c))))
            }
            ClaimAction::Write(shard, version, entries) => {
                let content = ObjectValue::Claims(entries.clone());
                let result = platform
                    .write(&ObjectKey::Claims(shard), version, &content)
                    .await;
                Done::Written(shard, entries, result)
            }
            ClaimAction::Respond(..) => return,
        };
        let _ = results.send(done);
    });
}
