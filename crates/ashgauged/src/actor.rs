//! The actor that owns the node: carries events to it and actions away.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ashgauge::editor::{Answer, Ticket};
use ashgauge::node::{Order, Reply, Status};
use ashgauge::queue::RequestId;
use ashgauge::table::Edit;
use ashgauge::{Action, Config, Event, Node};
use operator::{BoxesAnswer, TableAnswer};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{mpsc, oneshot};

use crate::io::Io;
use crate::settings::Settings;
use crate::timeline::Timeline;

/// Time between ticks of the node.
const TICK: Duration = Duration::from_millis(10);

/// What the node's actor is asked.
pub enum Msg {
    /// An event for the node.
    Event(Event),
    /// A caller's request; its parts go to the sender, its id to the other.
    Arrive(
        Order,
        mpsc::UnboundedSender<Reply>,
        oneshot::Sender<RequestId>,
    ),
    /// An operator's edit.
    Edit(Edit, oneshot::Sender<Answer>),
    /// The node's state.
    Status(oneshot::Sender<Status>),
    /// The table in force.
    Table(oneshot::Sender<TableAnswer>),
    /// The boxes of the list.
    Boxes(oneshot::Sender<BoxesAnswer>),
    /// Whether the balancer may send requests.
    Ready(oneshot::Sender<bool>),
    /// Whether a draining node is empty.
    Drained(oneshot::Sender<bool>),
    /// Whether a drain was asked for on the operators' port.
    Stopping(oneshot::Sender<()>),
}

/// The actor.
pub struct NodeActor;

/// What the actor starts from.
pub struct Start {
    /// Settings of the node.
    pub config: Config,
    /// Settings of the daemon.
    pub settings: Settings,
    /// Sender to the other boxes.
    pub peers: peer::Peers,
    /// The time line.
    pub timeline: Arc<Timeline>,
}

/// The actor's state.
pub struct State {
    node: Node,
    epoch: Instant,
    io: Io,
    callers: HashMap<RequestId, mpsc::UnboundedSender<Reply>>,
    tickets: HashMap<Ticket, oneshot::Sender<Answer>>,
    stopping: Vec<oneshot::Sender<()>>,
    next: u64,
    timeline: Arc<Timeline>,
}

impl Actor for NodeActor {
    type Msg = Msg;
    type State = State;
    type Arguments = Start;

    async fn pre_start(
        &self,
        myself: ActorRef<Msg>,
        start: Start,
    ) -> Result<State, ActorProcessingErr> {
        let io = Io::new(myself.clone(), &start);
        io.follow_platform();
        myself.send_interval(TICK, || Msg::Event(Event::Tick));
        Ok(State {
            node: Node::new(start.config),
            epoch: Instant::now(),
            io,
            callers: HashMap::new(),
            tickets: HashMap::new(),
            stopping: Vec::new(),
            next: 1,
            timeline: start.timeline,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Msg>,
        message: Msg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.take(message);
        Ok(())
    }
}

impl State {
    fn take(&mut self, message: Msg) {
        let now = self.epoch.elapsed();
        // Whoever asked may be gone; then nobody misses the answer.
        match message {
            Msg::Event(event) => self.feed(event),
            Msg::Arrive(order, parts, id) => self.arrive(order, parts, id),
            Msg::Edit(edit, answer) => {
                let ticket = self.number();
                self.tickets.insert(ticket, answer);
                self.feed(Event::Edit(ticket, edit));
            }
            Msg::Status(answer) => drop(answer.send(self.node.status(now))),
            Msg::Table(answer) => {
                let (version, table) = self.node.table();
                let table = (**table).clone();
                drop(answer.send(TableAnswer { version, table }));
            }
            Msg::Boxes(answer) => {
                let boxes = self.node.boxes().to_vec();
                drop(answer.send(BoxesAnswer { boxes }));
            }
            Msg::Ready(answer) => drop(answer.send(self.node.is_ready(now))),
            Msg::Drained(answer) => drop(answer.send(self.node.is_drained())),
            Msg::Stopping(answer) => self.stopping.push(answer),
        }
    }

    fn arrive(
        &mut self,
        mut order: Order,
        parts: mpsc::UnboundedSender<Reply>,
        id: oneshot::Sender<RequestId>,
    ) {
        order.id = self.number();
        self.callers.insert(order.id, parts);
        if id.send(order.id).is_err() {
            self.callers.remove(&order.id);
            return;
        }
        self.feed(Event::Arrive(order));
    }

    fn feed(&mut self, event: Event) {
        if let Event::Gone(id) = &event {
            self.callers.remove(id);
        }
        if let Event::Drain = &event {
            for waiting in self.stopping.drain(..) {
                let _ = waiting.send(());
            }
        }
        let actions = self.node.handle(self.epoch.elapsed(), event);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Reply(id, reply) => self.reply(id, reply),
            Action::Edited(ticket, answer) => {
                if let Some(waiting) = self.tickets.remove(&ticket) {
                    let _ = waiting.send(answer);
                }
            }
            Action::Note(record) => self.timeline.add(record),
            other => self.io.perform(other),
        }
    }

    fn reply(&mut self, id: RequestId, reply: Reply) {
        let last = !matches!(reply, Reply::Token(_));
        if let Some(caller) = self.callers.get(&id) {
            let _ = caller.send(reply);
        }
        if last {
            self.callers.remove(&id);
        }
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
