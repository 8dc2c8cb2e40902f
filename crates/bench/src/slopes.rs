//! Costs at several sizes.

use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::sample::{LAYERS, envelope, list_of, node, order, table_of, uuid};
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

/// A size and what it costs.
pub type Point = (f64, f64);

const ENGINES_OF_MODEL: [usize; 5] = [12, 24, 43, 86, 172];
const ORDERS: [u32; 4] = [16, 64, 256, 1024];
const INFLIGHT: [usize; 5] = [10, 100, 300, 1000, 3000];
const MEMBERS: [(usize, usize); 5] = [(8, 43), (43, 108), (85, 215), (170, 430), (340, 860)];
const TEAMS: [usize; 5] = [10, 100, 425, 850, 1700];
const KEYS: [usize; 5] = [100, 500, 2000, 5000, 9000];
const REPEATS: usize = 200;

/// Microseconds of processor time per request (arrival, choice, end), with
/// one token, by engines that hold the model.
pub fn dispatch() -> Vec<Point> {
    let cost = |engines| (engines as f64, per_request(engines, 1));
    ENGINES_OF_MODEL.into_iter().map(cost).collect()
}

/// Microseconds per request by its number of stage orders.
pub fn order_cost() -> Vec<Point> {
    let cost = |tokens: u32| (f64::from(tokens * 4), per_request(43, tokens));
    ORDERS.into_iter().map(cost).collect()
}

/// Microseconds of one tick, by requests in flight.
pub fn tick() -> Vec<Point> {
    INFLIGHT
        .into_iter()
        .map(|n| (n as f64, tick_of(n)))
        .collect()
}

/// Bytes of the platform's list, and microseconds to take it, by members.
pub fn listing() -> (Vec<Point>, Vec<Point>) {
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    for (boxes, engines) in MEMBERS {
        let members = (boxes + engines) as f64;
        let list = list_of(boxes, engines, 20, "127.0.0.1:7000");
        let text = serde_json::to_vec(&list).unwrap_or_default();
        bytes.push((members, text.len() as f64));
        let mut node = node(list, 10);
        let took = timed(REPEATS, || {
            let list: MemberList = serde_json::from_slice(&text).unwrap_or_default();
            black_box(node.handle(Duration::from_secs(2), Event::Listed(list)));
        });
        times.push((members, took));
    }
    (bytes, times)
}

/// Bytes of the stored table, and microseconds to take a new version.
pub fn table() -> (Vec<Point>, Vec<Point>) {
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    for teams in TEAMS {
        let table = table_of(teams);
        let text = serde_json::to_vec(&table).unwrap_or_default();
        bytes.push((teams as f64, text.len() as f64));
        let took = timed(20, || {
            let table: Table = serde_json::from_slice(&text).unwrap_or_default();
            black_box(Policy::new(1, &table));
        });
        times.push((teams as f64, took));
    }
    (bytes, times)
}

/// Bytes of a claims shard, and microseconds of one commit of ten claims.
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
            entries.keys.insert(uuid(n as u64), entry);
        }
        let text = serde_json::to_vec(&entries).unwrap_or_default();
        bytes.push((keys as f64, text.len() as f64));
        times.push((keys as f64, commit(&entries)));
    }
    (bytes, times)
}

/// Bytes of an ask for loans, by teams in it.
pub fn limits() -> Vec<Point> {
    let size = |teams: usize| {
        let wants = (0..teams).map(|n| (format!("team-{n}").into(), 123.456_789));
        let body = Message::RequestLoans {
            wants: wants.collect(),
            asked_us: 123_456_789,
        };
        (teams as f64, envelope(body) as f64)
    };
    [1, 4, 16, 64].map(size).to_vec()
}

/// Bytes on the wire both ways, by bytes of the message.
pub async fn wire() -> Result<Vec<Point>> {
    let (addr, _server) = peer::serve("127.0.0.1:0", PEER, |_| {})
        .await
        .map_err(|e| eyre!(e))?;
    let (relay, count) = counting(addr.to_string()).await?;
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

/// A real box without load, among so many members and teams: processor time,
/// memory, and bytes a second to platform and peers.
pub async fn idle_box() -> Result<Vec<(String, Vec<Point>)>> {
    let mut cpu = Vec::new();
    let mut memory = Vec::new();
    let mut platform = Vec::new();
    let mut peers = Vec::new();
    for ((boxes, engines), teams) in MEMBERS.into_iter().zip(TEAMS) {
        let cost = idle(boxes, engines, teams).await?;
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

/// A real box under a closed loop of streams over four engines that take no
/// time: microseconds of processor time a second by stage orders a second,
/// and resident megabytes by streams.
pub async fn busy_box() -> Result<(Vec<Point>, Vec<Point>)> {
    let (mut times, mut memory) = (Vec::new(), Vec::new());
    for streams in [2usize, 8, 32, 128] {
        let world = crate::world::Small::start().await?;
        let tokens = 40_000 / streams as u32;
        let before = cpu_time(world.process.id())?;
        let began = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..streams {
            let call = crate::call::Ask {
                team: 0,
                key: "team-0".into(),
                prompt: "p".repeat(32),
                tokens: tokens.min(4000),
                timeout: Duration::from_secs(50),
            };
            tasks.spawn(crate::call::ask(world.caller.clone(), call, None));
        }
        let mut orders = 0;
        while let Some(seen) = tasks.join_next().await {
            orders += seen?.tokens.len() * 4;
        }
        let took = began.elapsed().as_secs_f64();
        let cpu = cpu_time(world.process.id())? - before;
        times.push((orders as f64 / took, cpu * 1e6 / took));
        memory.push((streams as f64, resident(world.process.id())?));
    }
    Ok((times, memory))
}

/// Bytes that a node holds for each request in flight.
pub fn request_memory() -> Vec<Point> {
    let size = |inflight: usize| {
        let mut node = node(list_of(8, 40, 1, "127.0.0.1:7000"), 10);
        let now = Duration::from_secs(10);
        let before = resident(std::process::id()).unwrap_or(0.0);
        for id in 0..inflight as u64 {
            black_box(node.handle(now, Event::RequestArrived(order(id + 1, 16))));
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

async fn idle(boxes: usize, engines: usize, teams: usize) -> Result<Cost> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let store = listener.local_addr()?.to_string();
    tokio::spawn(standin::platform::serve(listener));
    let (platform, to_platform) = counting(store.clone()).await?;
    let sunk = peer::serve("127.0.0.1:0", PEER, |_| {}).await;
    let (sink, _server) = sunk.map_err(|e| eyre!(e))?;
    let (sink, to_peers) = counting(sink.to_string()).await?;
    crate::world::put(&store, "/v1/objects/table?version=0", &table_of(teams)).await?;
    let list = list_of(boxes, engines, 20, &sink);
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
    let desk =
        operator::OperatorClient::new(line["operator"].as_str().unwrap_or_default(), OPERATOR);
    proof::wait_until("all members", || async {
        let status = desk.status().await.ok()?;
        (status.upstreams.len() == engines && status.version > 0).then_some(())
    })
    .await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let span = Duration::from_secs(8);
    let (cpu, a, b) = (cpu_time(process.id())?, load(&to_platform), load(&to_peers));
    tokio::time::sleep(span).await;
    let per_second = |count: &AtomicU64, before: u64| (load(count) - before) as f64 / 8.0;
    Ok(Cost {
        cpu: (cpu_time(process.id())? - cpu) / span.as_secs_f64() * 100.0,
        memory: resident(process.id())?,
        platform: per_second(&to_platform, a),
        peers: per_second(&to_peers, b),
    })
}

fn load(count: &AtomicU64) -> u64 {
    count.load(Ordering::Relaxed)
}

/// Seconds of processor time of a process.
pub fn cpu_time(id: u32) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
    let sum = ticks(11).zip(ticks(12)).map(|(u, s)| u + s);
    sum.map(|t| t / 100.0)
        .ok_or_else(|| eyre!("no times of process {id}"))
}

/// Resident megabytes of a process.
pub fn resident(id: u32) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes
        .map(|k| k / 1024.0)
        .ok_or_else(|| eyre!("no memory of process {id}"))
}

/// A relay that counts the bytes of both ways.
async fn counting(to: String) -> Result<(String, Arc<AtomicU64>)> {
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

fn per_request(engines: usize, tokens: u32) -> f64 {
    let mut node = node(list_of(8, engines, 1, "127.0.0.1:7000"), 10);
    let mut now = Duration::from_secs(10);
    let mut id = 0;
    timed((20_000 / tokens as usize).clamp(20, 2000), || {
        id += 1;
        now += Duration::from_millis(1);
        drive(&mut node, now, id, tokens);
    })
}

/// Runs one request to its end; the engines answer at once.
fn drive(node: &mut Node, now: Duration, id: u64, tokens: u32) {
    let mut events = vec![Event::RequestArrived(order(id, tokens))];
    while let Some(event) = events.pop() {
        for action in node.handle(now, event) {
            if let Action::Run(run) = action {
                events.push(Event::StageDone(answer(&run)));
            }
        }
    }
}

fn answer(run: &StageRun) -> StageResult {
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

fn tick_of(inflight: usize) -> f64 {
    let mut node = node(list_of(8, 40, 1, "127.0.0.1:7000"), 10);
    let now = Duration::from_secs(10);
    for id in 0..inflight as u64 {
        black_box(node.handle(now, Event::RequestArrived(order(id + 1, 16))));
    }
    timed(REPEATS, || {
        black_box(node.handle(now, Event::Tick));
    })
}

fn commit(entries: &StoredShard) -> f64 {
    let config = Config::new("box-1", 1).claims;
    let mut now = Duration::from_secs(1);
    let mut n = 0;
    timed(10, || {
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

/// Microseconds of one call, the median of three rounds.
fn timed(repeats: usize, mut call: impl FnMut()) -> f64 {
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
