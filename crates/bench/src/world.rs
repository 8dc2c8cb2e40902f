//! The fleet under load: 40 engines of 4 speeds behind links whose delays differ
//! a hundredfold, and 3 services, all in this process; boxes run as processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

use ashgauge::member::{BoxEntry, HeldLayers, MemberList, MemberState, UpstreamEntry};
use ashgauge::policy::hash_key;
use ashgauge::table::{Cell, Table};
use eyre::{Result, eyre};
use http::{Client, Full};
use hyper::{Method, Request};
use operator::OperatorClient;
use proof::{Folder, OPERATOR, PEER, Process, wait_until};
use serde_json::{Value, json};
use standin::engine::Options;
use standin::link::{self, Mode};
use standin::{engine, platform, service};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::bound::{Capacity, bound};

/// Number of layers of the model.
pub const LAYERS: u32 = 32;

/// Time that each of the four kinds of engine takes for a quarter of the layers.
const SPEEDS: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(160),
];

/// One-way delays of the links, in milliseconds. A delay of 0 is the loopback
/// alone, about a tenth of a millisecond with the relay.
const DELAYS: [u64; 5] = [0, 1, 2, 5, 10];

/// Number of orders that an engine runs concurrently.
pub const SLOTS: usize = 4;

/// A team of the table.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name of the team, also used as its bearer key.
    pub name: String,
    /// Rank of the team's tier; 0 has priority.
    pub rank: u32,
    /// Weight within the tier.
    pub weight: f64,
    /// Rate limit in tokens per second.
    pub rate: Option<f64>,
}

/// A running box.
pub struct Node {
    /// The process.
    pub process: Process,
    /// Address of the caller port.
    pub caller: String,
    /// Address of the operator port.
    pub operator: String,
    /// Sets the faults of the link to the box-to-box port.
    pub link: Arc<watch::Sender<Mode>>,
}

/// A running engine.
pub struct Engine {
    /// Id of the engine.
    pub id: String,
    /// Sets the faults of the link to the engine.
    pub link: Arc<watch::Sender<Mode>>,
    /// One-way delay of the link, in milliseconds.
    pub delay: u64,
    /// Layers and speed.
    pub capacity: Capacity,
    /// Counter of the microseconds that the engine's slots were busy.
    pub busy: Arc<AtomicU64>,
    /// Index of the kind of engine; 0 is the fastest.
    pub kind: usize,
}

/// A running fleet.
pub struct World {
    /// The boxes.
    pub boxes: Vec<Node>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// Upper bound of the throughput, in positions per second.
    pub bound: f64,
    folder: Folder,
}

impl World {
    /// Starts a fleet of `boxes` boxes with these teams and settings, and waits until
    /// every box is ready and knows all 43 upstreams.
    pub async fn start(boxes: usize, teams: &[Team], settings: &Value) -> Result<Self> {
        let folder = Folder::new("bench")?;
        let (listener, platform) = listen().await?;
        tokio::spawn(platform::serve(listener));
        let mut listing = MemberList::default();
        let engines = engines(&mut listing).await?;
        services(&mut listing).await?;
        let mut world = World {
            bound: bound(
                &engines.iter().map(|e| e.capacity).collect::<Vec<_>>(),
                LAYERS,
            ),
            boxes: Vec::new(),
            engines,
            folder,
        };
        let platform = platform.to_string();
        put(&platform, "/v1/objects/table?version=0", &table(teams)).await?;
        for n in 0..boxes {
            let (node, entry) = world.add_box(n, &platform, settings).await?;
            world.boxes.push(node);
            listing.boxes.push(entry);
        }
        put(&platform, "/admin/members", &listing).await?;
        for node in &world.boxes {
            wait_until("a ready box", || async {
                let status = node.operator_client().status().await.ok()?;
                (status.ready && status.upstreams.len() >= 43).then_some(())
            })
            .await?;
        }
        Ok(world)
    }

    async fn add_box(
        &self,
        n: usize,
        platform: &str,
        overrides: &Value,
    ) -> Result<(Node, BoxEntry)> {
        let id = format!("box-{n}");
        let mut settings = json!({
            "id": id, "data_centre": "talca", "platform": platform,
            "caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0",
            "peer_credential": {"file": self.file("peer", PEER)?},
            "operator_credential": {"file": self.file("operator", OPERATOR)?},
            "log": "error",
            "threads": 1,
        });
        if let (Value::Object(all), Value::Object(overrides)) = (&mut settings, overrides) {
            all.extend(overrides.clone());
        }
        let file = self.file(&id, &settings.to_string())?;
        let args = ["--settings".to_string(), file.display().to_string()];
        let mut process = Process::start("ashgauged", &args)?;
        let line: Value = serde_json::from_str(&process.line()?)?;
        let port = |name: &str| {
            let addr = line[name].as_str().map(String::from);
            addr.ok_or_else(|| eyre!("no port {name}"))
        };
        let (peer, link) = relay(port("peer")?.parse()?, Mode::default()).await?;
        let node = Node {
            process,
            caller: port("caller")?,
            operator: port("operator")?,
            link,
        };
        let entry = BoxEntry {
            id: id.as_str().into(),
            peer_addr: peer.to_string(),
            operator_addr: node.operator.clone(),
            data_centre: "talca".into(),
            state: MemberState::Live,
        };
        Ok((node, entry))
    }

    fn file(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

/// One box and four engines without run time.
pub struct SingleBox {
    /// The box.
    pub process: Process,
    /// Address of the box's caller port.
    pub caller: String,
}

impl SingleBox {
    /// Starts the box and waits until it is ready.
    pub async fn start() -> Result<Self> {
        let (listener, platform) = listen().await?;
        tokio::spawn(platform::serve(listener));
        let mut listing = MemberList::default();
        for n in 0..4u32 {
            let options = Options {
                model: "chat".into(),
                first: n * 8,
                end: n * 8 + 8,
                layers: LAYERS,
                layer_time: Duration::ZERO,
                slots: 1000,
                fenced: true,
                records: None,
                busy: Arc::default(),
            };
            let (listener, addr) = listen().await?;
            tokio::spawn(engine::serve(listener, options));
            let range = Some((n * 8, n * 8 + 8));
            listing
                .upstreams
                .push(entry(&format!("engine-{n}"), addr, range));
        }
        let team = Team {
            name: "team-0".into(),
            rank: 0,
            weight: 1.0,
            rate: None,
        };
        let platform = platform.to_string();
        put(&platform, "/v1/objects/table?version=0", &table(&[team])).await?;
        let folder = Folder::new("small")?;
        let world = World {
            boxes: Vec::new(),
            engines: Vec::new(),
            bound: 0.0,
            folder,
        };
        let (node, entry) = world.add_box(0, &platform, &json!({})).await?;
        listing.boxes.push(entry);
        put(&platform, "/admin/members", &listing).await?;
        wait_until("a ready box", || async {
            node.operator_client()
                .status()
                .await
                .ok()?
                .ready
                .then_some(())
        })
        .await?;
        let Node {
            process, caller, ..
        } = node;
        Ok(SingleBox { process, caller })
    }
}

impl Node {
    /// Returns a client of the operator port.
    pub fn operator_client(&self) -> OperatorClient {
        OperatorClient::new(&self.operator, OPERATOR)
    }
}

/// Measures by how much a timer of this machine fires late, on average.
pub async fn timer_overrun() -> Duration {
    let mut total = Duration::ZERO;
    for _ in 0..20 {
        let began = Instant::now();
        tokio::time::sleep(SPEEDS[0]).await;
        total += began.elapsed().saturating_sub(SPEEDS[0]);
    }
    total / 20
}

/// Starts ten engines for each quarter of the layers; some hold half of the
/// layers.
async fn engines(listing: &mut MemberList) -> Result<Vec<Engine>> {
    let overrun = timer_overrun().await;
    let mut engines = Vec::new();
    for n in 0..40u32 {
        let quarter = n / 10;
        let speed = SPEEDS[(n % 10 * 4 / 10) as usize];
        // The last engine of each quarter also holds the neighbouring quarter.
        let (first, end) = match (n % 10, quarter % 2) {
            (9, 0) => (quarter * 8, quarter * 8 + 16),
            (9, _) => (quarter * 8 - 8, quarter * 8 + 8),
            _ => (quarter * 8, quarter * 8 + 8),
        };
        let options = Options {
            model: "chat".into(),
            first,
            end,
            layers: LAYERS,
            layer_time: speed / 8,
            slots: SLOTS,
            fenced: true,
            records: None,
            busy: Arc::default(),
        };
        let busy = options.busy.clone();
        let (listener, addr) = listen().await?;
        tokio::spawn(engine::serve(listener, options));
        let delay = DELAYS[(n as usize * 7) % DELAYS.len()];
        let mode = Mode {
            delay_ms: delay,
            ..Mode::default()
        };
        let (relay_addr, link) = relay(addr, mode).await?;
        let id = format!("engine-{n}");
        listing
            .upstreams
            .push(entry(&id, relay_addr, Some((first, end))));
        let time = (speed + overrun).as_secs_f64();
        let rate = SLOTS as f64 * 8.0 / time;
        engines.push(Engine {
            id,
            link,
            delay,
            capacity: Capacity { first, end, rate },
            busy,
            kind: (n % 10 * 4 / 10) as usize,
        });
    }
    Ok(engines)
}

async fn services(listing: &mut MemberList) -> Result<()> {
    for n in 0..3 {
        let (listener, addr) = listen().await?;
        tokio::spawn(service::serve(listener, None));
        listing
            .upstreams
            .push(entry(&format!("service-{n}"), addr, None));
    }
    Ok(())
}

/// Builds the entry of an engine that holds a range of layers, or of a service if
/// `range` is `None`.
fn entry(id: &str, addr: SocketAddr, range: Option<(u32, u32)>) -> UpstreamEntry {
    let hold = |(first, end)| HeldLayers {
        model: "chat".into(),
        first,
        end,
    };
    UpstreamEntry {
        id: id.into(),
        addr: addr.to_string(),
        data_centre: "talca".into(),
        holds: range.map(hold).into_iter().collect(),
        service: range.is_none().then(|| "notes".into()),
        fenced: range.is_some(),
        state: MemberState::Live,
    }
}

async fn listen() -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

async fn relay(to: SocketAddr, mode: Mode) -> Result<(SocketAddr, Arc<watch::Sender<Mode>>)> {
    let (listener, addr) = listen().await?;
    let mode = Arc::new(watch::Sender::new(mode));
    tokio::spawn(link::relay_all(listener, to, mode.clone()));
    Ok((addr, mode))
}

fn table(teams: &[Team]) -> Table {
    let text = |s: &str| Cell::Text(s.into());
    let mut table = Table::default();
    let mut add = |row: String, cells: Vec<(&str, Cell)>| {
        let cells = cells.into_iter().map(|(c, v)| (c.to_string(), v));
        table.rows.insert(row, cells.collect());
    };
    for team in teams {
        let tier = format!("tier-{}", team.rank);
        add(
            format!("tier/{tier}"),
            vec![("rank", Cell::Number(f64::from(team.rank)))],
        );
        let hash: String = hash_key(&team.name)
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        let mut cells = vec![
            ("tier", text(&tier)),
            ("weight", Cell::Number(team.weight)),
            ("key", text(&hash)),
            ("queue", Cell::Number(400.0)),
        ];
        if let Some(rate) = team.rate {
            cells.push(("rate", Cell::Number(rate)));
        }
        add(format!("team/{}", team.name), cells);
    }
    let layers = Cell::Number(f64::from(LAYERS));
    add(
        "route/chat".into(),
        vec![("kind", text("model")), ("layers", layers)],
    );
    add(
        "route/notes".into(),
        vec![("kind", text("service")), ("path", text("/notes"))],
    );
    table
}

/// Sends a JSON value to a stand-in by `PUT`.
pub async fn put(addr: &str, path: &str, value: &impl serde::Serialize) -> Result<()> {
    let request = Request::builder()
        .method(Method::PUT)
        .uri(path)
        .header("host", "standin")
        .body(Full::new(serde_json::to_vec(value)?.into()))?;
    let client = Client::new(Duration::from_secs(2));
    let answer = client.send(addr, request, Duration::from_secs(5)).await?;
    if answer.status().is_success() {
        return Ok(());
    }
    Err(eyre!("{path} answered {}", answer.status()))
}

/// Reads a JSON value from a stand-in.
pub async fn get<T: serde::de::DeserializeOwned>(addr: &str, path: &str) -> Result<T> {
    let request = Request::builder()
        .uri(path)
        .header("host", "standin")
        .body(Full::default())?;
    let client = Client::new(Duration::from_secs(2));
    let answer = client.send(addr, request, Duration::from_secs(5)).await?;
    Ok(serde_json::from_slice(answer.body())?)
}
