//! Member lists, tables, requests and messages of given sizes, for the slopes.

use std::sync::Arc;
use std::time::Duration;

use ashgauge::chain::Layer;
use ashgauge::member::{BoxEntry, HeldLayers, MemberList, MemberState, UpstreamEntry};
use ashgauge::message::{Envelope, Message};
use ashgauge::node::{IncomingRequest, ObjectKey, ObjectValue, Work};
use ashgauge::policy::hash_key;
use ashgauge::table::{Cell, Change, Edit, MAX_EDITS, Table};
use ashgauge::{Config, Event, Node};

/// Number of layers of each model.
pub const LAYERS: Layer = 32;

/// Creates a node that has received the member list and a table with `teams`
/// teams.
pub fn node(list: MemberList, teams: usize) -> Node {
    let mut config = Config::new("box-0", 1);
    config.max_requests = 100_000;
    let mut node = Node::new(config);
    let content = ObjectValue::Table(Arc::new(table_with_teams(teams)));
    node.handle(
        Duration::ZERO,
        Event::Read(ObjectKey::Table, Some((1, Some(content)))),
    );
    node.handle(Duration::ZERO, Event::Listed(list));
    node
}

/// Creates a request of the first team for the first model.
pub fn request(id: u64, tokens: u32) -> IncomingRequest {
    IncomingRequest {
        id,
        key_hash: hash_key("team-0"),
        work: Work::Generate {
            model: "model-0".into(),
            prompt: vec![1; 32],
            max_tokens: tokens,
        },
        idempotency_key: None,
        repeatable: true,
        timeout: None,
    }
}

/// Creates a member list of boxes and of engines of `models` models. Each engine
/// holds a quarter of the layers.
pub fn member_list(boxes: usize, engines: usize, models: usize, peer: &str) -> MemberList {
    let node = |n: usize| BoxEntry {
        id: format!("box-{n}").into(),
        peer_addr: peer.into(),
        operator_addr: "10.200.100.100:7100".into(),
        data_centre: "ebene-a".into(),
        state: MemberState::Live,
    };
    let engine = |n: usize| UpstreamEntry {
        id: format!("engine-{n}").into(),
        addr: "10.200.100.100:8000".into(),
        data_centre: "ebene-a".into(),
        holds: vec![HeldLayers {
            model: format!("model-{}", n / 4 % models),
            first: n as u32 % 4 * 8,
            end: n as u32 % 4 * 8 + 8,
        }],
        service: None,
        fenced: true,
        state: MemberState::Live,
    };
    MemberList {
        version: 1,
        boxes: (0..boxes).map(node).collect(),
        upstreams: (0..engines).map(engine).collect(),
    }
}

/// Creates a table with `teams` teams and the maximum number of past edits.
pub fn table_with_teams(teams: usize) -> Table {
    let text = |s: &str| Cell::Text(s.into());
    let mut table = Table::default();
    let mut add = |row: String, cells: Vec<(&str, Cell)>| {
        let cells = cells.into_iter().map(|(c, v)| (c.to_string(), v));
        table.rows.insert(row, cells.collect());
    };
    add("tier/gold".into(), vec![("rank", Cell::Number(0.0))]);
    for n in 0..teams {
        let hash: String = hash_key(&format!("team-{n}"))
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        add(
            format!("team/team-{n}"),
            vec![
                ("tier", text("gold")),
                ("weight", Cell::Number(3.0)),
                ("queue", Cell::Number(100_000.0)),
                ("key", text(&hash)),
            ],
        );
    }
    for n in 0..20 {
        let layers = Cell::Number(f64::from(LAYERS));
        add(
            format!("route/model-{n}"),
            vec![("kind", text("model")), ("layers", layers)],
        );
    }
    for n in 0..MAX_EDITS {
        let change = Change {
            row: "team/team-0".into(),
            column: "weight".into(),
            seen: Some(Cell::Number(3.0)),
            value: Some(Cell::Number(3.0)),
        };
        table.edits.push(Edit {
            id: format!("ana-18ed6eb49a3970fc-{n}"),
            who: "ana".into(),
            at: 1_796_213_548_351,
            changes: vec![change],
        });
    }
    table
}

/// Returns the size of a message with its envelope, in bytes of JSON.
pub fn envelope_size(body: Message) -> usize {
    let message = Envelope {
        from: "box-123".into(),
        addr: "10.200.100.100:7200".into(),
        at: Default::default(),
        body,
    };
    serde_json::to_vec(&message).map_or(0, |v| v.len())
}

/// Returns a key in the form that callers use: a UUID version 7 under a prefix.
pub fn idempotency_key(n: u64) -> String {
    format!("payroll/0193b7a1-7c1e-7000-8000-{n:012x}")
}
