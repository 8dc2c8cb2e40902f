//! Actor that owns the node: passes it events and performs its actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ashgauge::editor::{EditResult, WaiterId};
use ashgauge::node::{IncomingRequest, ReplyPart, Status};
use ashgauge::queue::RequestId;
use ashgauge::table::Edit;
use ashgauge::{Action, Config, Event, Node};
use operator::{BoxesResponse, TableResponse};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{mpsc, oneshot};

use crate::io::Io;
use crate::settings::Settings;
use crate::timeline::Timeline;

/// Time between ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Messages to the node's actor.
pub enum Msg {
    /// An event for the node.
    Event(Event),
    /// A caller's request. The parts of the answer go to the first channel, the request's
    /// id to the second.
    Request(
        IncomingRequest,
        mpsc::UnboundedSender<ReplyPart>,
        oneshot::Sender<RequestId>,
    ),
    /// An operator's edit of the table.
    Edit(Edit, oneshot::Sender<EditResult>),
    /// Asks for the node's state.
    Status(oneshot::Sender<Status>),
    /// Asks for the table in force.
    Table(oneshot::Sender<TableResponse>),
    /// Asks for the boxes of the member list.
    Boxes(oneshot::Sender<BoxesResponse>),
    /// Asks whether the load balancer may send requests.
    Ready(oneshot::Sender<bool>),
    /// Asks whether a draining node has no requests left.
    Drained(oneshot::Sender<bool>),
    /// Asks for an answer when a drain is requested.
    DrainAsked(oneshot::Sender<()>),
}

/// Actor that owns the node.
pub struct NodeActor;

/// Arguments of the actor.
pub struct NodeArgs {
    /// Settings of the node.
    pub config: Config,
    /// Settings of the daemon.
    pub settings: Settings,
    /// Client for messages to other boxes.
    pub peers: peer::PeerClient,
    /// Timeline of the box.
    pub timeline: Arc<Timeline>,
}

/// State of the actor.
pub struct State {
    node: Node,
    /// Start of the node, from which its time is counted.
    started: Instant,
    io: Io,
    /// Channels to callers that wait for their answers.
    callers: HashMap<RequestId, mpsc::UnboundedSender<ReplyPart>>,
    /// Operators that wait for the result of an edit.
    pending_edits: HashMap<WaiterId, oneshot::Sender<EditResult>>,
    /// Channels that are notified when a drain is requested.
    drain_waiters: Vec<oneshot::Sender<()>>,
    /// Last id given to a request or an edit.
    last_id: u64,
    timeline: Arc<Timeline>,
}

impl Actor for NodeActor {
    type Msg = Msg;
    type State = State;
    type Arguments = NodeArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<Msg>,
        args: NodeArgs,
    ) -> Result<State, ActorProcessingErr> {
        let io = Io::new(myself.clone(), &args);
        io.watch_platform();
        myself.send_interval(TICK_INTERVAL, || Msg::Event(Event::Tick));
        Ok(State {
            node: Node::new(args.config),
            started: Instant::now(),
            io,
            callers: HashMap::new(),
            pending_edits: HashMap::new(),
            drain_waiters: Vec::new(),
            last_id: 1,
            timeline: args.timeline,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Msg>,
        message: Msg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle_message(message);
        Ok(())
    }
}

impl State {
    fn handle_message(&mut self, message: Msg) {
        let now = self.started.elapsed();
        // A send fails only if the asker is gone and needs no answer.
        match message {
            Msg::Event(event) => self.handle_event(event),
            Msg::Request(request, parts, id) => self.start_request(request, parts, id),
            Msg::Edit(edit, answer) => {
                let waiter_id = self.allocate_id();
                self.pending_edits.insert(waiter_id, answer);
                self.handle_event(Event::Edit(waiter_id, edit));
            }
            Msg::Status(answer) => drop(answer.send(self.node.status(now))),
            Msg::Table(answer) => {
                let (version, table) = self.node.table();
                let table = (**table).clone();
                drop(answer.send(TableResponse { version, table }));
            }
            Msg::Boxes(answer) => {
                let boxes = self.node.boxes().to_vec();
                drop(answer.send(BoxesResponse { boxes }));
            }
            Msg::Ready(answer) => drop(answer.send(self.node.is_ready(now))),
            Msg::Drained(answer) => drop(answer.send(self.node.is_drained())),
            Msg::DrainAsked(answer) => self.drain_waiters.push(answer),
        }
    }

    fn start_request(
        &mut self,
        mut request: IncomingRequest,
        parts: mpsc::UnboundedSender<ReplyPart>,
        id: oneshot::Sender<RequestId>,
    ) {
        request.id = self.allocate_id();
        self.callers.insert(request.id, parts);
        if id.send(request.id).is_err() {
            self.callers.remove(&request.id);
            return;
        }
        self.handle_event(Event::RequestArrived(request));
    }

    fn handle_event(&mut self, event: Event) {
        if let Event::CallerGone(id) = &event {
            self.callers.remove(id);
        }
        if let Event::Drain = &event {
            for waiter in self.drain_waiters.drain(..) {
                let _ = waiter.send(());
            }
        }
        let actions = self.node.handle(self.started.elapsed(), event);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Reply(id, reply) => self.reply(id, reply),
            Action::EditDone(waiter_id, answer) => {
                if let Some(waiter) = self.pending_edits.remove(&waiter_id) {
                    let _ = waiter.send(answer);
                }
            }
            Action::Record(record) => self.timeline.add(record),
            other => self.io.perform(other),
        }
    }

    fn reply(&mut self, id: RequestId, reply: ReplyPart) {
        let last = !matches!(reply, ReplyPart::Token(_));
        if let Some(caller) = self.callers.get(&id) {
            let _ = caller.send(reply);
        }
        if last {
            self.callers.remove(&id);
        }
    }

    fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
