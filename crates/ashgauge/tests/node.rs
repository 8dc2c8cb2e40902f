//! One node under random faults: every request gets one final answer, which is
//! true, every layer runs once for each token, and no resource stays in use.

mod common;
mod starter;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use ashgauge::member::{BoxEntry, HeldLayers, MemberList, MemberState, UpstreamEntry, UpstreamId};
use ashgauge::message::Envelope;
use ashgauge::node::{
    IncomingRequest, ObjectKey, ObjectValue, Outcome, RefusalReason, ReplyPart, StageResult,
    StageRun, StageValue, Token, UpstreamError, Work,
};
use ashgauge::policy::hash_key;
use ashgauge::table::Cell;
use ashgauge::{Action, Config, Event, Node};
use proptest::prelude::*;

use starter::table;

const LAYERS: u32 = 6;
const RANGES: [(u32, u32); 5] = [(0, 3), (3, 6), (0, 6), (2, 5), (1, 6)];
const TOKENS: u32 = 4;

fn mix(a: u64, b: u64) -> u64 {
    (a ^ b.rotate_left(23)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Runs a value through layers and updates their states.
fn run_layers(states: &mut [u64], first: u32, input: StageValue) -> StageValue {
    let layers = states.iter_mut().zip(first..);
    layers.fold(input, |x, (state, layer)| {
        *state = mix(*state, x);
        mix(x, *state ^ u64::from(layer))
    })
}

fn reference(prompt: &[StageValue]) -> Vec<StageValue> {
    let mut states = [0; LAYERS as usize];
    let mut last = 0;
    for x in prompt {
        last = run_layers(&mut states, 0, *x);
    }
    let mut tokens = Vec::new();
    for _ in 0..TOKENS {
        tokens.push(last);
        last = run_layers(&mut states, 0, last);
    }
    tokens
}

struct Session {
    states: Vec<u64>,
    next: u32,
    kept: Option<(u32, Vec<StageValue>, Vec<StageValue>)>,
}

#[derive(Default)]
struct Engines {
    sessions: HashMap<(String, u64, u32), Session>,
    /// How often a layer ran for a position of a request, without rebuilds.
    ran: BTreeMap<(u64, u32, u32), u32>,
}

impl Engines {
    fn run(&mut self, run: &StageRun) -> Result<StageResult, RefusalReason> {
        let name = (run.upstream.to_string(), run.id, run.session);
        if run.start == 0 {
            self.sessions
                .entry(name.clone())
                .or_insert_with(|| Session {
                    states: vec![0; (run.end - run.first) as usize],
                    next: 0,
                    kept: None,
                });
        }
        let session = self
            .sessions
            .get_mut(&name)
            .ok_or(RefusalReason::NoSession)?;
        let same =
            |k: &&(u32, Vec<StageValue>, Vec<StageValue>)| k.0 == run.start && k.1 == run.inputs;
        let outputs = match session.kept.as_ref().filter(same) {
            Some((_, _, outputs)) => outputs.clone(),
            None if session.next != run.start => return Err(RefusalReason::NoSession),
            None => {
                for position in run.start + run.rebuild_count..run.start + run.inputs.len() as u32 {
                    for layer in run.first..run.end {
                        *self.ran.entry((run.id, position, layer)).or_default() += 1;
                    }
                }
                session.next = run.start + run.inputs.len() as u32;
                let inputs = run.inputs.iter();
                inputs
                    .map(|x| run_layers(&mut session.states, run.first, *x))
                    .collect()
            }
        };
        session.kept = Some((run.start, run.inputs.clone(), outputs.clone()));
        let token = outputs.last().filter(|_| run.end == LAYERS).map(|x| Token {
            id: *x,
            text: String::new(),
            end: false,
        });
        Ok(StageResult {
            id: run.id,
            session: run.session,
            start: run.start,
            outputs,
            token,
            queued: Duration::ZERO,
            ran: Duration::from_micros(50),
        })
    }
}

#[derive(Default)]
struct Caller {
    tokens: Vec<StageValue>,
    last: Option<ReplyPart>,
    repeatable: bool,
    touched: bool,
    prompt: Vec<StageValue>,
}

fn refused(reason: RefusalReason) -> UpstreamError {
    UpstreamError::Refused { reason, rest: None }
}

struct World {
    node: Node,
    now: Duration,
    engines: Engines,
    runs: Vec<StageRun>,
    late: Vec<Event>,
    callers: BTreeMap<u64, Caller>,
    /// Messages sent to other boxes.
    sent: Vec<Envelope>,
}

impl World {
    fn new() -> Self {
        World::with(&RANGES)
    }

    /// Creates a node with engines that hold these ranges.
    fn with(ranges: &[(u32, u32)]) -> Self {
        let mut world = World {
            node: Node::new(Config::new("box-0", 1)),
            now: Duration::from_secs(1),
            engines: Engines::default(),
            runs: Vec::new(),
            late: Vec::new(),
            callers: BTreeMap::new(),
            sent: Vec::new(),
        };
        let content = ObjectValue::Table(Arc::new(table(LAYERS)));
        world.handle_event(Event::Read(ObjectKey::Table, Some((1, Some(content)))));
        world.handle_event(Event::Listed(listing(ranges)));
        world
    }

    fn handle_event(&mut self, event: Event) {
        for action in self.node.handle(self.now, event) {
            match action {
                Action::Run(run) => self.runs.push(run),
                Action::Reply(id, reply) => self.reply(id, reply),
                Action::Send(_, _, envelope) => self.sent.push(envelope),
                _ => {}
            }
        }
    }

    fn reply(&mut self, id: u64, reply: ReplyPart) {
        let caller = self.callers.get_mut(&id).unwrap();
        assert!(caller.last.is_none(), "a reply after the last one");
        match reply {
            ReplyPart::Token(token) => caller.tokens.push(token.id),
            last => caller.last = Some(last),
        }
    }

    fn send_request(&mut self, id: u64, repeatable: bool) {
        self.send_prompt(id, repeatable, vec![id, id + 1]);
    }

    fn send_prompt(&mut self, id: u64, repeatable: bool, prompt: Vec<StageValue>) {
        let caller = Caller {
            repeatable,
            prompt: prompt.clone(),
            ..Caller::default()
        };
        self.callers.insert(id, caller);
        self.handle_event(Event::RequestArrived(IncomingRequest {
            id,
            key_hash: hash_key("k"),
            work: Work::Generate {
                model: "chat".into(),
                prompt,
                max_tokens: TOKENS,
            },
            idempotency_key: None,
            repeatable,
            timeout: Some(Duration::from_secs(20)),
        }));
    }

    /// Sends the same request, and loses each engine that runs it: its connection breaks, and
    /// a new one cannot be opened. Returns the engines.
    fn lose_every_engine(&mut self, id: u64) -> BTreeSet<UpstreamId> {
        let mut lost = BTreeSet::new();
        self.send_prompt(id, true, vec![7, 8]);
        while let Some(run) = self.runs.pop() {
            lost.insert(run.upstream.clone());
            self.deliver(run, 3);
            if let Some(again) = self.runs.pop() {
                self.deliver(again, 0);
            }
            self.now += Duration::from_millis(20);
        }
        lost
    }

    /// Delivers one stage run with the fault that `fault` selects.
    fn deliver(&mut self, run: StageRun, fault: u8) {
        let failed = |error| Event::StageFailed(run.id, run.session, run.start, error);
        let event = match fault {
            0 => failed(UpstreamError::NotSent("refused".into())),
            1 => failed(refused(RefusalReason::Busy)),
            2 => {
                // The stage ran, and the answer was lost.
                self.mark_touched(&run);
                let _ = self.engines.run(&run);
                failed(UpstreamError::Lost("reset".into()))
            }
            3 => {
                self.mark_touched(&run);
                failed(UpstreamError::Lost("reset".into()))
            }
            4 => {
                // The answer arrives much later, or not at all.
                self.mark_touched(&run);
                if let Ok(ran) = self.engines.run(&run) {
                    self.late.push(Event::StageDone(ran));
                }
                return;
            }
            _ => {
                self.mark_touched(&run);
                match self.engines.run(&run) {
                    Ok(ran) => Event::StageDone(ran),
                    Err(reason) => failed(refused(reason)),
                }
            }
        };
        self.handle_event(event);
    }

    fn mark_touched(&mut self, run: &StageRun) {
        self.callers.get_mut(&run.id).unwrap().touched = true;
    }

    fn check(&mut self) {
        for (id, caller) in &self.callers {
            let expected = reference(&caller.prompt);
            assert!(
                expected.starts_with(&caller.tokens),
                "{id} got a wrong token"
            );
            match caller.last.as_ref().expect("a final answer") {
                ReplyPart::End { .. } => assert_eq!(caller.tokens, expected),
                ReplyPart::Refused(r) => {
                    assert!(
                        r.outcome != Outcome::NotRun || !caller.touched,
                        "{id} did run"
                    );
                    assert!(r.outcome != Outcome::Done);
                }
                other => panic!("{other:?}"),
            }
        }
        for ((id, position, layer), n) in &self.engines.ran {
            let once = !self.callers[id].repeatable;
            assert!(
                !once || *n <= 1,
                "{id} ran layer {layer} for {position} {n} times"
            );
        }
        let status = self.node.status(self.now);
        assert!(
            status.upstreams.iter().all(|u| u.held == 0),
            "{:?}",
            status.upstreams
        );
        assert_eq!(status.inflight, 0);
        assert_eq!(status.waiting.values().sum::<usize>(), 0);
    }
}

fn listing(ranges: &[(u32, u32)]) -> MemberList {
    let engine = |(n, &(first, end)): (usize, &(u32, u32))| UpstreamEntry {
        id: format!("engine-{n}").into(),
        addr: format!("engine-{n}:1"),
        data_centre: String::new(),
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
        boxes: vec![BoxEntry {
            id: "box-1".into(),
            peer_addr: "box-1:1".into(),
            operator_addr: "box-1:2".into(),
            data_centre: String::new(),
            state: MemberState::Live,
        }],
        upstreams: ranges.iter().enumerate().map(engine).collect(),
    }
}

/// Guards against requests that keep waiting for a route that is removed, or changed to a
/// service.
#[test]
fn requests_for_a_changed_route_are_answered_at_once() {
    for kind in [None, Some("service")] {
        let mut world = World::new();
        for id in 1..=30 {
            world.send_request(id, true);
        }
        let waiting = world.node.status(world.now).waiting["chat"];
        assert!(waiting > 0);
        let mut next = table(LAYERS);
        match kind {
            Some(kind) => {
                let cells = next.rows.get_mut("route/chat").unwrap();
                cells.insert("kind".into(), Cell::Text(kind.into()));
            }
            None => drop(next.rows.remove("route/chat")),
        }
        let content = ObjectValue::Table(Arc::new(next));
        world.handle_event(Event::Read(ObjectKey::Table, Some((2, Some(content)))));
        let refused = world.callers.values().filter(|c| match &c.last {
            Some(ReplyPart::Refused(r)) => r.outcome == Outcome::NotRun && r.retry_after.is_some(),
            _ => false,
        });
        assert_eq!(refused.count(), waiting, "{kind:?}");
    }
}

/// Guards against a request that crashes one engine after the other: its lost stage was
/// replaced up to 16 times, and again with each repeat of the request.
#[test]
fn request_that_crashes_engines_is_quarantined() {
    let mut world = World::with(&[(0, LAYERS); 12]);
    let mut ended = BTreeSet::new();
    for id in 1..=4 {
        ended.extend(world.lose_every_engine(id));
    }
    assert_eq!(ended.len(), 3, "{ended:?}");
    for (id, caller) in &world.callers {
        let Some(ReplyPart::Refused(refusal)) = &caller.last else {
            panic!("{id}: {:?}", caller.last);
        };
        let outcome = if *id == 1 {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        assert_eq!(refusal.outcome, outcome, "{id}");
    }
    // A box that got the report refuses the request at once.
    world.now += Duration::from_secs(5);
    world.handle_event(Event::Tick);
    let mut other = World::with(&[(0, LAYERS); 12]);
    for envelope in std::mem::take(&mut world.sent) {
        other.handle_event(Event::MessageReceived(envelope));
    }
    assert!(other.lose_every_engine(1).is_empty());
    // Other requests are served.
    world.send_request(5, true);
    while let Some(run) = world.runs.pop() {
        world.deliver(run, 9);
    }
    assert!(matches!(
        world.callers[&5].last,
        Some(ReplyPart::End { .. })
    ));
}

proptest! {
    #![proptest_config(common::seeded(400))]

    #[test]
    fn answers_are_true_under_random_faults(
        steps in prop::collection::vec((0u8..24, any::<u16>(), any::<bool>()), 30..300),
    ) {
        let mut world = World::new();
        let mut next = 0;
        for (fault, pick, flag) in steps {
            world.now += Duration::from_millis(u64::from(pick % 50));
            if fault == 20 && next < 12 {
                next += 1;
                world.send_request(next * 100, flag);
            } else if fault == 21 && next > 0 {
                let id = 100 * (1 + u64::from(pick) % next);
                if world.callers.get(&id).is_some_and(|c| c.last.is_none()) {
                    // The caller disconnects, so its answer is not checked.
                    world.handle_event(Event::CallerGone(id));
                    world.callers.remove(&id);
                    world.runs.retain(|r| r.id != id);
                    world.late.clear();
                }
            } else if fault == 22 {
                world.now += Duration::from_secs(4);
                world.handle_event(Event::Tick);
            } else if fault == 23 && !world.late.is_empty() {
                let n = usize::from(pick) % world.late.len();
                let event = world.late.swap_remove(n);
                world.handle_event(event);
            } else if !world.runs.is_empty() {
                let n = usize::from(pick) % world.runs.len();
                let run = world.runs.swap_remove(n);
                world.deliver(run, fault);
            }
        }
        // The faults have ended: requests complete, or reach their deadline.
        for _ in 0..4000 {
            match world.runs.pop() {
                Some(run) => world.deliver(run, 9),
                None => {
                    world.now += Duration::from_millis(100);
                    world.handle_event(Event::Tick);
                }
            }
            if world.callers.values().all(|c| c.last.is_some()) {
                break;
            }
        }
        world.engines.ran.retain(|(id, ..), _| world.callers.contains_key(id));
        world.check();
    }
}
