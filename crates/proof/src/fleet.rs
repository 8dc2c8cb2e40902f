//! A test fleet: the platform, upstreams, links and boxes, each a process.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ashgauge::member::{BoxEntry, HeldLayers, MemberList, MemberState, UpstreamEntry};
use ashgauge::policy::hash_key;
use ashgauge::table::{Cell, Table};
use eyre::{Result, WrapErr, eyre};
use http::{Client, Full};
use hyper::Request;
use operator::OperatorClient;
use serde_json::{Value, json};
use standin::engine::Record;

use crate::folder::Folder;
use crate::process::{Link, Process, put, wait_until};
use crate::{KEY, OPERATOR, OTHER_KEY, PEER};

/// Layers of the model of a test fleet.
const LAYERS: u32 = 8;

/// The processes that a test fleet starts with.
pub struct Plan {
    /// Boxes to start.
    pub boxes: Vec<BoxPlan>,
    /// Engines to start; all serve the model `chat`.
    pub engines: Vec<EnginePlan>,
    /// Number of plain HTTP services behind the route `/notes`.
    pub services: usize,
    /// Number of layers of the model.
    pub layers: u32,
    /// The table that the platform holds at the start.
    pub table: Table,
}

/// A box to start.
#[derive(Clone, Default)]
pub struct BoxPlan {
    /// Settings merged over the test fleet's defaults.
    pub settings: Value,
}

/// An engine to start.
#[derive(Clone)]
pub struct EnginePlan {
    /// First layer held.
    pub first: u32,
    /// End of the held layers, exclusive.
    pub end: u32,
    /// Simulated run time per layer and position.
    pub layer_time: Duration,
    /// Number of stage runs that execute concurrently.
    pub slots: usize,
    /// Whether the engine rejects orders with an outdated fencing term.
    pub fenced: bool,
}

impl EnginePlan {
    /// Creates an engine of layers `first..end` that is fast (200 µs per layer)
    /// and fenced.
    pub fn new(first: u32, end: u32) -> Self {
        EnginePlan {
            first,
            end,
            layer_time: Duration::from_micros(200),
            slots: 8,
            fenced: true,
        }
    }
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            boxes: vec![BoxPlan::default(); 2],
            engines: vec![
                EnginePlan::new(0, 4),
                EnginePlan::new(4, 8),
                EnginePlan::new(0, 4),
                EnginePlan::new(4, 8),
            ],
            services: 1,
            layers: LAYERS,
            table: starter_table(LAYERS),
        }
    }
}

/// A box of the fleet.
pub struct Node {
    /// Id of the box.
    pub id: String,
    /// The process.
    pub process: Process,
    /// Link through which the box reaches the platform.
    pub platform: Link,
    /// Address of the caller port.
    pub caller: String,
    /// Address of the operator port.
    pub operator: String,
    /// Address of the box-to-box port, bypassing `peer_link`.
    pub peer: String,
    /// Link through which other boxes reach the box-to-box port.
    pub peer_link: Link,
}

/// An engine or service of the fleet.
pub struct Upstream {
    /// Id of the upstream.
    pub id: String,
    /// The process.
    pub process: Process,
    /// Link through which boxes reach the upstream.
    pub link: Link,
    addr: String,
    records: PathBuf,
}

/// A running test fleet. Its processes are killed when it is dropped.
pub struct Fleet {
    /// Boxes, in the order they were added.
    pub boxes: Vec<Node>,
    /// Engines, in the order they were added.
    pub engines: Vec<Upstream>,
    /// Plain HTTP services, in the order they were added.
    pub services: Vec<Upstream>,
    /// The member list that [`Fleet::publish`] sends to the platform.
    pub listing: MemberList,
    /// Number of layers of the model.
    pub layers: u32,
    platform: Process,
    platform_addr: String,
    folder: Folder,
}

impl Fleet {
    /// Starts all processes and waits until every box is ready.
    pub async fn start(plan: Plan) -> Result<Self> {
        let folder = Folder::new("fleet")?;
        let mut platform = Process::start("standin", &["platform".to_string()])?;
        let mut fleet = Fleet {
            platform_addr: platform.line()?,
            platform,
            boxes: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            listing: MemberList::default(),
            layers: plan.layers,
            folder,
        };
        put(
            &fleet.platform_addr,
            "/v1/objects/table?version=0",
            &plan.table,
        )
        .await?;
        for engine in &plan.engines {
            fleet.add_engine(engine)?;
        }
        for _ in 0..plan.services {
            fleet.add_service()?;
        }
        for node in &plan.boxes {
            fleet.add_box(node)?;
        }
        fleet.publish().await?;
        fleet.ready().await?;
        Ok(fleet)
    }

    /// Starts an engine and adds it to the member list, without publishing the
    /// list. Returns the engine's index.
    pub fn add_engine(&mut self, plan: &EnginePlan) -> Result<usize> {
        let id = format!("engine-{}", self.engines.len() + 1);
        let records = self.dir().join(&id);
        let mut args: Vec<String> = vec!["engine".into(), "--model".into(), "chat".into()];
        let numbers = [
            ("--first", u64::from(plan.first)),
            ("--end", u64::from(plan.end)),
            ("--layers", u64::from(self.layers)),
            ("--layer-us", plan.layer_time.as_micros() as u64),
            ("--slots", plan.slots as u64),
        ];
        for (name, value) in numbers {
            args.extend([name.to_string(), value.to_string()]);
        }
        args.extend(["--records".into(), records.display().to_string()]);
        if plan.fenced {
            args.push("--fenced".into());
        }
        let upstream = Upstream::start(id, &args, records)?;
        let held_layers = HeldLayers {
            model: "chat".into(),
            first: plan.first,
            end: plan.end,
        };
        self.listing.upstreams.push(UpstreamEntry {
            id: upstream.id.as_str().into(),
            addr: upstream.link.addr.clone(),
            data_centre: "ebene-a".into(),
            holds: vec![held_layers],
            service: None,
            fenced: plan.fenced,
            state: MemberState::Live,
        });
        self.engines.push(upstream);
        Ok(self.engines.len() - 1)
    }

    /// Starts a plain HTTP service and adds it to the member list, without
    /// publishing the list. Returns the service's index.
    pub fn add_service(&mut self) -> Result<usize> {
        let id = format!("service-{}", self.services.len() + 1);
        let records = self.dir().join(&id);
        let args = ["service", "--records", &records.display().to_string()].map(String::from);
        let upstream = Upstream::start(id, &args, records)?;
        self.listing.upstreams.push(UpstreamEntry {
            id: upstream.id.as_str().into(),
            addr: upstream.link.addr.clone(),
            data_centre: "ebene-a".into(),
            holds: Vec::new(),
            service: Some("notes".into()),
            fenced: false,
            state: MemberState::Live,
        });
        self.services.push(upstream);
        Ok(self.services.len() - 1)
    }

    /// Starts a box and adds it to the member list, without publishing the list.
    /// Returns the box's index.
    pub fn add_box(&mut self, plan: &BoxPlan) -> Result<usize> {
        let id = format!("box-{}", self.boxes.len() + 1);
        let platform = Link::start(&self.platform_addr)?;
        let mut settings = json!({
            "id": id,
            "data_centre": "ebene-a",
            "caller": "127.0.0.1:0",
            "peer": "127.0.0.1:0",
            "operator": "127.0.0.1:0",
            "platform": platform.addr,
            "peer_credential": {"file": self.write_file("peer-credential", PEER)?},
            "operator_credential": {"file": self.write_file("operator-credential", OPERATOR)?},
            "timing": {"list_ms": 100, "heartbeat_ms": 200},
            "platform_calls": 100.0,
        });
        merge(&mut settings, &plan.settings);
        let file = self.write_file(&id, &settings.to_string())?;
        let args = ["--settings".to_string(), file.display().to_string()];
        let mut process = Process::start("ashgauged", &args)?;
        let line: Value = serde_json::from_str(&process.line()?)?;
        let port = |name: &str| {
            let addr = line[name].as_str().map(String::from);
            addr.ok_or_else(|| eyre!("the box did not report the address of its {name} port"))
        };
        let peer_link = Link::start(&port("peer")?)?;
        let node = Node {
            id: id.clone(),
            process,
            platform,
            caller: port("caller")?,
            operator: port("operator")?,
            peer: port("peer")?,
            peer_link,
        };
        self.listing.boxes.push(BoxEntry {
            id: id.as_str().into(),
            peer_addr: node.peer_link.addr.clone(),
            operator_addr: node.operator.clone(),
            data_centre: "ebene-a".into(),
            state: MemberState::Live,
        });
        self.boxes.push(node);
        Ok(self.boxes.len() - 1)
    }

    /// Sends the member list to the platform.
    pub async fn publish(&self) -> Result<()> {
        put(&self.platform_addr, "/admin/members", &self.listing).await
    }

    /// Sets the platform's injected faults and rate limits.
    pub async fn set_platform(&self, mode: standin::platform::Mode) -> Result<()> {
        put(&self.platform_addr, "/admin/mode", &mode).await
    }

    /// Returns the platform's call counters.
    pub async fn platform_counts(&self) -> Result<standin::platform::Counts> {
        Ok(serde_json::from_value(
            self.platform_get("/admin/counts").await?,
        )?)
    }

    /// Returns the table stored at the platform, with its version.
    pub async fn stored_table(&self) -> Result<(u64, Table)> {
        let objects = self.platform_get("/admin/objects").await?;
        let table = &objects["table"];
        let version = table["version"].as_u64().unwrap_or(0);
        Ok((version, serde_json::from_value(table["value"].clone())?))
    }

    /// Waits until every box is ready.
    pub async fn ready(&self) -> Result<()> {
        for node in &self.boxes {
            node.wait_ready().await?;
        }
        Ok(())
    }

    /// Returns the records of all engines.
    pub fn engine_records(&self) -> Result<Vec<Record>> {
        let mut all = Vec::new();
        for engine in &self.engines {
            all.extend(engine.records()?);
        }
        Ok(all)
    }

    /// Returns the bodies of all calls that the services ran.
    pub fn service_bodies(&self) -> Result<Vec<String>> {
        let mut all = Vec::new();
        for service in &self.services {
            all.extend(service.bodies()?);
        }
        Ok(all)
    }

    /// Returns the directory of the fleet's files.
    pub fn dir(&self) -> &Path {
        self.folder.path()
    }

    /// The platform's process.
    pub fn platform(&mut self) -> &mut Process {
        &mut self.platform
    }

    async fn platform_get(&self, path: &str) -> Result<Value> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = path.parse()?;
        request.headers_mut().insert("host", "platform".parse()?);
        let client = Client::new(Duration::from_secs(2));
        let limit = Duration::from_secs(5);
        let answer = client.send(&self.platform_addr, request, limit).await?;
        Ok(serde_json::from_slice(answer.body())?)
    }

    fn write_file(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.dir().join(format!("{name}.txt"));
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

impl Node {
    /// Returns a client of this box's operator port.
    pub fn operator_client(&self) -> OperatorClient {
        OperatorClient::new(&self.operator, OPERATOR)
    }

    /// Waits until the box reports ready, so that a load balancer would send it
    /// requests.
    pub async fn wait_ready(&self) -> Result<()> {
        wait_until("a box that is ready", || async {
            let status = self.operator_client().status().await.ok()?;
            status.ready.then_some(())
        })
        .await
    }

    /// Waits until the box has applied `version` of the table or a later one.
    pub async fn wait_version(&self, version: u64) -> Result<()> {
        wait_until("a table version in force", || async {
            let status = self.operator_client().status().await.ok()?;
            (status.version >= version).then_some(())
        })
        .await
    }
}

impl Upstream {
    fn start(id: String, args: &[String], records: PathBuf) -> Result<Self> {
        let mut process = Process::start("standin", args)?;
        let addr = process.line()?;
        Ok(Upstream {
            id,
            link: Link::start(&addr)?,
            process,
            addr,
            records,
        })
    }

    /// Returns the engine's records.
    pub fn records(&self) -> Result<Vec<Record>> {
        read_records(&self.records)
    }

    /// Returns the bodies of the calls that the service ran.
    pub fn bodies(&self) -> Result<Vec<String>> {
        let records: Vec<standin::service::Record> = read_records(&self.records)?;
        Ok(records.into_iter().map(|r| r.body).collect())
    }

    /// Sets the faults and states of the stand-in itself, not of its link.
    pub async fn set(&self, mode: &impl serde::Serialize) -> Result<()> {
        put(&self.addr, "/admin/mode", mode).await
    }
}

/// Builds a table with two tiers, two teams, a model route and a service route.
pub fn starter_table(layers: u32) -> Table {
    let mut table = Table::default();
    let hash = |key: &str| {
        let bytes = hash_key(key);
        Cell::Text(bytes.iter().map(|b| format!("{b:02x}")).collect())
    };
    let text = |s: &str| Cell::Text(s.into());
    let number = Cell::Number;
    let rows = [
        ("tier/gold", vec![("rank", number(0.0))]),
        (
            "tier/bronze",
            vec![("rank", number(1.0)), ("floor", number(0.1))],
        ),
        (
            "team/payroll",
            vec![
                ("tier", text("gold")),
                ("weight", number(3.0)),
                ("key", hash(KEY)),
            ],
        ),
        (
            "team/cellar",
            vec![
                ("tier", text("bronze")),
                ("weight", number(1.0)),
                ("key", hash(OTHER_KEY)),
            ],
        ),
        (
            "route/chat",
            vec![
                ("kind", text("model")),
                ("layers", number(f64::from(layers))),
            ],
        ),
        (
            "route/notes",
            vec![
                ("kind", text("service")),
                ("path", text("/notes")),
                ("repeat", text("no")),
            ],
        ),
    ];
    for (row, cells) in rows {
        let cells = cells.into_iter().map(|(c, v)| (c.to_string(), v));
        table.rows.insert(row.into(), cells.collect());
    }
    table
}

/// Reads a file of JSON lines. An incomplete last line is skipped, as it is
/// still being written.
///
/// A missing file means no records yet. A missing directory is an error: the
/// records were lost, and a test would conclude that the work was not done.
fn read_records<T: serde::de::DeserializeOwned>(path: &Path) -> Result<Vec<T>> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == ErrorKind::NotFound && has_parent_dir(path) => String::new(),
        Err(e) => return Err(e).wrap_err_with(|| format!("records {}", path.display())),
    };
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let lines = whole.lines().map(|l| Ok(serde_json::from_str(l)?));
    lines.collect()
}

fn has_parent_dir(path: &Path) -> bool {
    path.parent().is_some_and(Path::is_dir)
}

fn merge(into: &mut Value, from: &Value) {
    match (into, from) {
        (Value::Object(into), Value::Object(from)) => {
            for (key, value) in from {
                merge(into.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (_, Value::Null) => {}
        (into, from) => *into = from.clone(),
    }
}
