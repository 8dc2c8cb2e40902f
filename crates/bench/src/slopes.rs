//! Costs of single parts at several sizes.

use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::sample::{
    LAYERS, envelope_size, idempotency_key, member_list, node, request, table_with_teams,
};
use ashgauge::claim::{self, ClaimAction, Claims, StoredShard, WriteResult};
use ashgauge::member::MemberList;
use ashgauge::message::{Envelope, Message};
use ashgauge::node::{StageResult, StageRun, Token};
use ashgauge::policy::Policy;
use ashgauge::table::Table;
use ashgauge::{Action, Config, Event, Node};
use eyre::{Result, eyre};
use proof::{OPERATOR, PEER, Process};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A size and the cost at that size.
pub type Point = (f64, f64);

const ENGINES_OF_MODEL: [usize; 5] = [12, 24, 43, 86, 172];
const ORDERS: [u32; 4] = [16, 64, 256, 1024];
const INFLIGHT: [usize; 5] = [10, 100, 300, 1000, 3000];
const MEMBERS: [(usize, usize); 5] = [(8, 43), (43, 108), (85, 215), (170, 430), (340, 860)];
const TEAMS: [usize; 5] = [10, 100, 425, 850, 1700];
const KEYS: [usize; 5] = [100, 500, 2000, 5000, 9000];
const REPEATS: usize = 200;

/// Measures the time per request with one token (arrival, selection, end), in
/// microseconds, by the number of engines that hold the model.
pub fn dispatch() -> Vec<Point> {
    let cost = |engines| (engines as f64, request_time(engines, 1));
    ENGINES_OF_MODEL.into_iter().map(cost).collect()
}

/// Measures the time per request, in microseconds, by its number of stage
/// orders.
pub fn order_cost() -> Vec<Point> {
    let cost = |tokens: u32| (f64::from(tokens * 4), request_time(43, tokens));
    ORDERS.into_iter().map(cost).collect()
}

/// Measures the time of one tick, in microseconds, by requests in flight.
pub fn tick() -> Vec<Point> {
    INFLIGHT
        .into_iter()
        .map(|n| (n as f64, tick_time(n)))
        .collect()
}

/// Measures the size of the member list, in bytes, and the time to parse and
/// apply it, in microseconds, by members.
pub fn listing() -> (Vec<Point>, Vec<Point>) {
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    for (boxes, engines) in MEMBERS {
        let members = (boxes + engines) as f64;
        let list = member_list(boxes, engines, 20, "127.0.0.1:7000");
        let text = serde_json::to_vec(&list).unwrap_or_default();
        bytes.push((members, text.len() as f64));
        let mut node = node(list, 10);
        let elapsed = median_us(REPEATS, || {
            let list: MemberList = serde_json::from_slice(&text).unwrap_or_default();
            black_box(node.handle(Duration::from_secs(2), Event::Listed(list)));
        });
        times.push((members, elapsed));
    }
    (bytes, times)
}

/// Measures the size of the stored table, in bytes, and the time to parse and
/// compile a new version, in microseconds, by teams.
pub fn table() -> (Vec<Point>, Vec<Point>) {
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    for teams in TEAMS {
        let table = table_with_teams(teams);
        let text = serde_json::to_vec(&table).unwrap_or_default();
        bytes.push((teams as f64, text.len() as f64));
        let elapsed = median_us(20, || {
            let table: Table = serde_json::from_slice(&text).unwrap_or_default();
            black_box(Policy::new(1, &table));
        });
        times.push((teams as f64, elapsed));
    }
    (bytes, times)
}

/// Measures the size of a claims shard, in bytes, and the time of one commit of
/// ten claims, in microseconds, by keys in the shard.
pub fn claims() -> (Vec<Point>, Vec<Point>) {
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    for keys in KEYS {
        let mut entries = StoredShard::default();
        for n in 0..keys {
            let entry = claim::StoredClaim {
                id: format!("box-123.83fba0214217.{n}"),
                state: claim::ClaimState::Done,
                claimed_at: 1_796_213_548,
            };
            entries.keys.insert(idempotency_key(n as u64), entry);
        }
        let text = serde_json::to_vec(&entries).unwrap_or_default();
        bytes.push((keys as f64, text.len() as f64));
        times.push((keys as f64, commit_time(&entries)));
    }
    (bytes, times)
}

/// Measures the size of a request for rate-limit loans, in bytes, by teams in it.
pub fn loan_requests() -> Vec<Point> {
    let size = |teams: usize| {
        let wants = (0..teams).map(|n| (format!("team-{n}").into(), 123.456_789));
        let body = Message::RequestLoans {
            wants: wants.collect(),
            asked_us: 123_456_789,
        };
        (teams as f64, envelope_size(body) as f64)
    };
    [1, 4, 16, 64].map(size).to_vec()
}

/// Measures the bytes on the wire in both directions, by the size of the message
/// in bytes.
pub async fn wire() -> Result<Vec<Point>> {
    let (addr, _server) = peer::serve("127.0.0.1:0", PEER, |_| {})
        .await
        .map_err(|e| eyre!(e))?;
    let (relay, count) = counting_relay(addr.to_string()).await?;
    let peers = peer::PeerClient::new(PEER);
    let mut points = Vec::new();
    for teams in [1usize, 8, 32, 128] {
        let wants = (0..teams).map(|n| (format!("team-{n}").into(), 1.5));
        let body = Message::RequestLoans {
            wants: wants.collect(),
            asked_us: 1,
        };
        let message = Envelope {
            from: "box-1".into(),
            addr: relay.clone(),
            at: Default::default(),
            body,
        };
        let size = serde_json::to_vec(&message)?.len();
        let before = count.load(Ordering::Relaxed);
        for _ in 0..50 {
            peers
                .deliver(&relay, &message)
                .await
                .map_err(|e| eyre!(e))?;
        }
        let each = (count.load(Ordering::Relaxed) - before) as f64 / 50.0;
        points.push((size as f64, each));
    }
    Ok(points)
}

/// Measures a real box without load, by members and teams: CPU time, memory, and
/// bytes per second to the platform and to peers.
pub async fn idle_box() -> Result<Vec<(String, Vec<Point>)>> {
    let mut cpu = Vec::new();
    let mut memory = Vec::new();
    let mut platform = Vec::new();
    let mut peers = Vec::new();
    for ((boxes, engines), teams) in MEMBERS.into_iter().zip(TEAMS) {
        let cost = idle_cost(boxes, engines, teams).await?;
        let members = (boxes + engines) as f64;
        cpu.push((members, cost.cpu));
        memory.push((members, cost.memory));
        platform.push((members, cost.platform));
        peers.push((members, cost.peers));
    }
    Ok(vec![
        ("idle box, percent of a core, by members".into(), cpu),
        ("idle box, resident megabytes, by members".into(), memory),
        (
            "idle box, bytes a second with the platform, by members".into(),
            platform,
        ),
        (
            "idle box, bytes a second to peers, by members".into(),
            peers,
        ),
    ])
}

/// Measures a real box under a fixed number of concurrent streams, over four
/// engines without run time: CPU time in microseconds per second by stage orders
/// per second, and resident memory in MiB by streams.
pub async fn busy_box() -> Result<(Vec<Point>, Vec<Point>)> {
    let (mut times, mut memory) = (Vec::new(), Vec::new());
    for streams in [2usize, 8, 32, 128] {
        let world = crate::world::SingleBox::start().await?;
        let tokens = 40_000 / streams as u32;
        let before = cpu_time(world.process.id())?;
        let began = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..streams {
            let call = crate::call::StreamRequest {
                team: 0,
                key: "team-0".into(),
                prompt: "p".repeat(32),
                tokens: tokens.min(4000),
                timeout: Duration::from_secs(50),
            };
            tasks.spawn(crate::call::send(world.caller.clone(), call, None));
        }
        let mut orders = 0;
        while let Some(seen) = tasks.join_next().await {
            orders += seen?.tokens.len() * 4;
        }
        let elapsed = began.elapsed().as_secs_f64();
        let cpu = cpu_time(world.process.id())? - before;
        times.push((orders as f64 / elapsed, cpu * 1e6 / elapsed));
        memory.push((streams as f64, resident(world.process.id())?));
    }
    Ok((times, memory))
}

/// Measures the memory that a node uses, in bytes, by requests in flight.
pub fn request_memory() -> Vec<Point> {
    let size = |inflight: usize| {
        let mut node = node(member_list(8, 40, 1, "127.0.0.1:7000"), 10);
        let now = Duration::from_secs(10);
        let before = resident(std::process::id()).unwrap_or(0.0);
        for id in 0..inflight as u64 {
            black_box(node.handle(now, Event::RequestArrived(request(id + 1, 16))));
        }
        let after = resident(std::process::id()).unwrap_or(0.0);
        (inflight as f64, (after - before) * 1024.0 * 1024.0)
    };
    [10_000, 20_000, 40_000, 80_000].map(size).to_vec()
}

struct Cost {
    cpu: f64,
    memory: f64,
    platform: f64,
    peers: f64,
}

async fn idle_cost(boxes: usize, engines: usize, teams: usize) -> Result<Cost> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let store = listener.local_addr()?.to_string();
    tokio::spawn(standin::platform::serve(listener));
    let (platform, to_platform) = counting_relay(store.clone()).await?;
    let peer_server = peer::serve("127.0.0.1:0", PEER, |_| {}).await;
    let (peer_addr, _server) = peer_server.map_err(|e| eyre!(e))?;
    let (peer_addr, to_peers) = counting_relay(peer_addr.to_string()).await?;
    crate::world::put(
        &store,
        "/v1/objects/table?version=0",
        &table_with_teams(teams),
    )
    .await?;
    let list = member_list(boxes, engines, 20, &peer_addr);
    crate::world::put(&store, "/admin/members", &list).await?;
    let dir = std::env::temp_dir();
    let file = |name: &str, text: &str| {
        let path = dir.join(format!("ashgauge-slopes-{}-{name}", std::process::id()));
        std::fs::write(&path, text).map(|()| path)
    };
    let settings = json!({
        "id": "box-0", "data_centre": "talca", "platform": platform,
        "caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0",
        "peer_credential": {"file": file("peer", PEER)?},
        "operator_credential": {"file": file("operator", OPERATOR)?},
        "log": "error", "threads": 1,
    });
    let path = file("box", &settings.to_string())?.display().to_string();
    let mut process = Process::start("ashgauged", &["--settings".into(), path])?;
    let line: Value = serde_json::from_str(&process.line()?)?;
    let operator_client =
        operator::OperatorClient::new(line["operator"].as_str().unwrap_or_default(), OPERATOR);
    proof::wait_until("all members", || async {
        let status = operator_client.status().await.ok()?;
        (status.upstreams.len() == engines && status.version > 0).then_some(())
    })
    .await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let span = Duration::from_secs(8);
    let (cpu, a, b) = (
        cpu_time(process.id())?,
        read_counter(&to_platform),
        read_counter(&to_peers),
    );
    tokio::time::sleep(span).await;
    let per_second = |count: &AtomicU64, before: u64| (read_counter(count) - before) as f64 / 8.0;
    Ok(Cost {
        cpu: (cpu_time(process.id())? - cpu) / span.as_secs_f64() * 100.0,
        memory: resident(process.id())?,
        platform: per_second(&to_platform, a),
        peers: per_second(&to_peers, b),
    })
}

fn read_counter(count: &AtomicU64) -> u64 {
    count.load(Ordering::Relaxed)
}

/// Returns the CPU time of a process, user and system, in seconds. Assumes 100
/// clock ticks per second.
pub fn cpu_time(id: u32) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
    let sum = ticks(11).zip(ticks(12)).map(|(u, s)| u + s);
    sum.map(|t| t / 100.0)
        .ok_or_else(|| eyre!("no times of process {id}"))
}

/// Returns the resident memory of a process, in MiB.
pub fn resident(id: u32) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes
        .map(|k| k / 1024.0)
        .ok_or_else(|| eyre!("no memory of process {id}"))
}

/// Starts a TCP relay to `to`. Returns its address and a counter of the bytes in
/// both directions.
async fn counting_relay(to: String) -> Result<(String, Arc<AtomicU64>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    let count = Arc::new(AtomicU64::new(0));
    let counted = count.clone();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(&to).await else {
                continue;
            };
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            tokio::spawn(pump(near_in, far_out, counted.clone()));
            tokio::spawn(pump(far_in, near_out, counted.clone()));
        }
    });
    Ok((addr, count))
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    count: Arc<AtomicU64>,
) {
    let mut chunk = vec![0; 64 << 10];
    while let Ok(n @ 1..) = from.read(&mut chunk).await {
        count.fetch_add(n as u64, Ordering::Relaxed);
        if to.write_all(&chunk[..n]).await.is_err() {
            return;
        }
    }
}

fn request_time(engines: usize, tokens: u32) -> f64 {
    let mut node = node(member_list(8, engines, 1, "127.0.0.1:7000"), 10);
    let mut now = Duration::from_secs(10);
    let mut id = 0;
    median_us((20_000 / tokens as usize).clamp(20, 2000), || {
        id += 1;
        now += Duration::from_millis(1);
        run_request(&mut node, now, id, tokens);
    })
}

/// Runs one request to its end with engines that answer at once.
fn run_request(node: &mut Node, now: Duration, id: u64, tokens: u32) {
    let mut events = vec![Event::RequestArrived(request(id, tokens))];
    while let Some(event) = events.pop() {
        for action in node.handle(now, event) {
            if let Action::Run(run) = action {
                events.push(Event::StageDone(stage_result(&run)));
            }
        }
    }
}

fn stage_result(run: &StageRun) -> StageResult {
    let outputs = run.inputs.clone();
    let token = (run.end == LAYERS).then(|| Token {
        id: 1,
        text: "x".into(),
        end: false,
    });
    StageResult {
        id: run.id,
        session: run.session,
        start: run.start,
        outputs,
        token,
        queued: Duration::ZERO,
        ran: Duration::from_micros(100),
    }
}

fn tick_time(inflight: usize) -> f64 {
    let mut node = node(member_list(8, 40, 1, "127.0.0.1:7000"), 10);
    let now = Duration::from_secs(10);
    for id in 0..inflight as u64 {
        black_box(node.handle(now, Event::RequestArrived(request(id + 1, 16))));
    }
    median_us(REPEATS, || {
        black_box(node.handle(now, Event::Tick));
    })
}

fn commit_time(entries: &StoredShard) -> f64 {
    let config = Config::new("box-1", 1).claims;
    let mut now = Duration::from_secs(1);
    let mut n = 0;
    median_us(10, || {
        let mut claims = Claims::new(claim::Config {
            shards: 1,
            ..config.clone()
        });
        now += Duration::from_secs(1);
        for _ in 0..10 {
            n += 1;
            black_box(claims.claim(now, 1_796_213_548, &format!("new-{n}"), &format!("id-{n}")));
        }
        let steps = claims.on_read(now, 1_796_213_548, 0, Some((1, entries.clone())));
        for step in steps {
            if let ClaimAction::Write(shard, version, next) = step {
                black_box(serde_json::to_vec(&next).unwrap_or_default());
                let done = WriteResult::Done(version + 1);
                black_box(claims.on_written(now, 1_796_213_548, shard, next, done));
            }
        }
    })
}

/// Returns the time of one call in microseconds: the median of three rounds of
/// `repeats` calls.
fn median_us(repeats: usize, mut call: impl FnMut()) -> f64 {
    let mut rounds: Vec<f64> = (0..3)
        .map(|_| {
            let began = Instant::now();
            (0..repeats).for_each(|_| call());
            began.elapsed().as_secs_f64() * 1e6 / repeats as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[1]
}
