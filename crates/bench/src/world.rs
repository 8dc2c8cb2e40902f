//! The fleet under load: 40 engines of 4 speeds on links that differ a
//! hundredfold and 3 services in this process, boxes as processes.

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

/// Layers of the model.
pub const LAYERS: u32 = 32;

/// Times that the four kinds of engine take for their layers.
const SPEEDS: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(160),
];

/// One-way delays of the links, in milliseconds; 0 is the bare loopback, about
/// a tenth of a millisecond with the relay.
const DELAYS: [u64; 5] = [0, 1, 2, 5, 10];

/// Orders that an engine runs at the same time.
pub const SLOTS: usize = 4;

/// One team's row.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name, and bearer key.
    pub name: String,
    /// Tier: 0 goes first.
    pub rank: u32,
    /// Weight within the tier.
    pub weight: f64,
    /// Limit in tokens a second.
    pub rate: Option<f64>,
}

/// A box.
pub struct Node {
    /// The process.
    pub process: Process,
    /// Callers' port.
    pub caller: String,
    /// Operators' port.
    pub operator: String,
    /// Mode of the link before its box-to-box port.
    pub link: Arc<watch::Sender<Mode>>,
}

/// An engine.
pub struct Engine {
    /// Name.
    pub id: String,
    /// Mode of its link.
    pub link: Arc<watch::Sender<Mode>>,
    /// Delay of its link.
    pub delay: u64,
    /// What it can do.
    pub capacity: Capacity,
    /// Microseconds that its slots were busy.
    pub busy: Arc<AtomicU64>,
    /// Kind, 0 for the quickest.
    pub kind: usize,
}

/// All of it.
pub struct World {
    /// Boxes.
    pub boxes: Vec<Node>,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Positions a second that the hardware allows.
    pub bound: f64,
    folder: Folder,
}

impl World {
    /// Starts a fleet of `boxes` with these teams and settings.
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
                let status = node.desk().status().await.ok()?;
                (status.ready && status.upstreams.len() >= 43).then_some(())
            })
            .await?;
        }
        Ok(world)
    }

    async fn add_box(&self, n: usize, platform: &str, more: &Value) -> Result<(Node, BoxEntry)> {
        let id = format!("box-{n}");
        let mut settings = json!({
            "id": id, "data_centre": "talca", "platform": platform,
            "caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0",
            "peer_credential": {"file": self.file("peer", PEER)?},
            "operator_credential": {"file": self.file("operator", OPERATOR)?},
            "log": "error",
            "threads": 1,
        });
        if let (Value::Object(all), Value::Object(more)) = (&mut settings, more) {
            all.extend(more.clone());
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

/// One box and four engines that take no time.
pub struct Small {
    /// The box.
    pub process: Process,
    /// Its callers' port.
    pub caller: String,
}

impl Small {
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
            node.desk().status().await.ok()?.ready.then_some(())
        })
        .await?;
        let Node {
            process, caller, ..
        } = node;
        Ok(Small { process, caller })
    }
}

impl Node {
    /// The operators' port.
    pub fn desk(&self) -> OperatorClient {
        OperatorClient::new(&self.operator, OPERATOR)
    }
}

/// By how much a timer of this machine runs over, on average.
pub async fn overrun() -> Duration {
    let mut total = Duration::ZERO;
    for _ in 0..20 {
        let began = Instant::now();
        tokio::time::sleep(SPEEDS[0]).await;
        total += began.elapsed().saturating_sub(SPEEDS[0]);
    }
    total / 20
}

/// Ten engines a quarter of the layers, some of which hold a half.
async fn engines(listing: &mut MemberList) -> Result<Vec<Engine>> {
    let over = overrun().await;
    let mut engines = Vec::new();
    for n in 0..40u32 {
        let quarter = n / 10;
        let speed = SPEEDS[(n % 10 * 4 / 10) as usize];
        // The last engine of each quarter holds the neighbouring one too.
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
        let (front, link) = relay(addr, mode).await?;
        let id = format!("engine-{n}");
        listing
            .upstreams
            .push(entry(&id, front, Some((first, end))));
        let time = (speed + over).as_secs_f64();
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

/// An engine that holds a range of layers, or a service if there is no range.
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

/// Sends a stand-in a JSON value.
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
