//! Compares complete sessions, event by event and action by action, with golden files.
//!
//! `GOLDEN_WRITE=1 cargo test -p ashgauge --test golden` rewrites the files. Review the
//! diff before committing it.

mod starter;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::claim::WriteResult;
use ashgauge::member::{BoxEntry, HeldLayers, MemberList, MemberState, UpstreamEntry};
use ashgauge::node::{
    IncomingRequest, ObjectKey, ObjectValue, StageResult, StageRun, Token, UpstreamError, Work,
};
use ashgauge::policy::hash_key;
use ashgauge::table::{Cell, Change, Edit, Table, Version};
use ashgauge::{Action, Config, Event, Node};

use starter::table;

const STEP: Duration = Duration::from_millis(1);

/// Several boxes, a store, and engines that answer at once.
struct World {
    nodes: Vec<Node>,
    now: Duration,
    store: (Version, Arc<Table>),
    events: VecDeque<(usize, Event)>,
    lost_engine: Option<&'static str>,
    log: String,
}

fn listing() -> MemberList {
    let node = |n: usize| BoxEntry {
        id: format!("box-{n}").into(),
        peer_addr: format!("peer-{n}"),
        operator_addr: format!("operator-{n}"),
        data_centre: "talca".into(),
        state: MemberState::Live,
    };
    let engine = |id: &str, first, end| UpstreamEntry {
        id: id.into(),
        addr: format!("{id}:1"),
        data_centre: "talca".into(),
        holds: vec![HeldLayers {
            model: "chat".into(),
            first,
            end,
        }],
        service: None,
        fenced: true,
        state: MemberState::Live,
    };
    MemberList {
        version: 1,
        boxes: vec![node(0), node(1)],
        upstreams: vec![engine("a", 0, 2), engine("b", 2, 4), engine("c", 2, 4)],
    }
}

impl World {
    fn new(boxes: usize) -> Self {
        let node = |n: usize| {
            let mut config = Config::new(&format!("box-{n}"), 1);
            config.peer_addr = format!("peer-{n}");
            config.epoch_ms = 1_000_000;
            Node::new(config)
        };
        let mut world = World {
            nodes: (0..boxes).map(node).collect(),
            now: Duration::from_millis(1),
            store: (1, Arc::new(table(4))),
            events: VecDeque::new(),
            lost_engine: None,
            log: String::new(),
        };
        for n in 0..boxes {
            world.events.push_back((
                n,
                Event::Read(
                    ObjectKey::Table,
                    Some((1, Some(ObjectValue::Table(Arc::new(table(4)))))),
                ),
            ));
            world.events.push_back((n, Event::Listed(listing())));
        }
        world.run();
        world.log.clear();
        world
    }

    /// Handles events until none is left, one per millisecond.
    fn run(&mut self) {
        while !self.events.is_empty() {
            self.run_one();
        }
    }

    /// Handles the next event.
    fn run_one(&mut self) {
        let Some((n, event)) = self.events.pop_front() else {
            return;
        };
        self.now += STEP;
        self.write(&format!("{} box-{n} <- ", self.now.as_millis()), &event);
        for action in self.nodes[n].handle(self.now, event) {
            self.write(&format!("      box-{n} -> "), &action);
            self.perform(n, action);
        }
    }

    fn write(&mut self, head: &str, value: &impl serde::Serialize) {
        let text = serde_json::to_string(value).unwrap();
        self.log.push_str(head);
        self.log.push_str(&text);
        self.log.push('\n');
    }

    fn perform(&mut self, n: usize, action: Action) {
        let event = match action {
            Action::Run(run) => self.engine(run),
            Action::Read(ObjectKey::Table) => {
                let content = ObjectValue::Table(self.store.1.clone());
                Event::Read(ObjectKey::Table, Some((self.store.0, Some(content))))
            }
            Action::Write(object, version, ObjectValue::Table(next)) => {
                let result = if version == self.store.0 {
                    self.store = (version + 1, next.clone());
                    WriteResult::Done(version + 1)
                } else {
                    WriteResult::Conflict
                };
                Event::Written(object, ObjectValue::Table(next), result)
            }
            _ => return,
        };
        self.events.push_back((n, event));
    }

    fn engine(&self, run: StageRun) -> Event {
        if self.lost_engine == Some(&*run.upstream) {
            let fault = UpstreamError::Lost("connection reset".into());
            return Event::StageFailed(run.id, run.session, run.start, fault);
        }
        let outputs: Vec<u64> = run.inputs.iter().map(|x| x + 1).collect();
        let token = outputs.last().filter(|_| run.end == 4).map(|x| Token {
            id: *x,
            text: format!("<{x}>"),
            end: false,
        });
        Event::StageDone(StageResult {
            id: run.id,
            session: run.session,
            start: run.start,
            outputs,
            token,
            queued: Duration::ZERO,
            ran: Duration::from_micros(100),
        })
    }

    fn send_request(&mut self, id: u64, max_tokens: u32) {
        let request = IncomingRequest {
            id,
            key_hash: hash_key("k"),
            work: Work::Generate {
                model: "chat".into(),
                prompt: vec![7, 8],
                max_tokens,
            },
            idempotency_key: None,
            repeatable: true,
            timeout: None,
        };
        self.events.push_back((0, Event::RequestArrived(request)));
    }
}

fn check(name: &str, log: &str) {
    let path = format!("{}/tests/golden/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, log).unwrap();
    }
    let golden = std::fs::read_to_string(&path).unwrap();
    for (n, (line, wanted)) in log.lines().zip(golden.lines()).enumerate() {
        assert_eq!(line, wanted, "{name}.txt, line {}", n + 1);
    }
    assert_eq!(log.lines().count(), golden.lines().count(), "{name}.txt");
}

#[test]
fn plain_session() {
    let mut world = World::new(1);
    world.send_request(1, 3);
    world.run();
    check("plain", &world.log);
}

#[test]
fn loss_of_a_stage() {
    let mut world = World::new(1);
    world.send_request(1, 4);
    // The engine of the last layers is lost after the second token.
    while world.log.matches("\"Token\"").count() < 2 {
        world.run_one();
    }
    world.lost_engine = Some("b");
    world.run();
    assert!(world.log.contains("\"replaced\""));
    check("death", &world.log);
}

#[test]
fn race_of_two_operators() {
    let mut world = World::new(2);
    for (n, who, value) in [(0, "ana", 4.0), (1, "ben", 5.0)] {
        let change = Change {
            row: "team/payroll".into(),
            column: "weight".into(),
            seen: Some(Cell::Number(3.0)),
            value: Some(Cell::Number(value)),
        };
        let edit = Edit {
            id: who.into(),
            who: who.into(),
            at: 0,
            changes: vec![change],
        };
        world.events.push_back((n, Event::Edit(1, edit)));
    }
    world.run();
    // The operator who lost the race reads again only after some time.
    for _ in 0..20 {
        world.events.push_back((1, Event::Tick));
        world.run();
    }
    assert!(world.log.contains("set to 4 by ana"));
    check("race", &world.log);
}
