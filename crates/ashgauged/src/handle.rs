//! What the callers', operators' and peers' ports ask of the node's actor.

use std::sync::{Arc, OnceLock};

use ashgauge::Event;
use ashgauge::editor::EditResult as EditAnswer;
use ashgauge::message::Envelope;
use ashgauge::node::{IncomingRequest, Status};
use ashgauge::queue::RequestId;
use ashgauge::table::Edit;
use caller::{Answer, Router};
use operator::{BoxesResponse, EventsResponse, OperatorApi, TableResponse};
use ractor::ActorRef;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};

use crate::actor::Msg;
use crate::metrics;
use crate::timeline::Timeline;

/// The node's actor as the ports see it.
pub struct NodeHandle {
    node: ActorRef<Msg>,
    instance_id: String,
    timeline: Arc<Timeline>,
}

/// Takes peers' messages; those before the node's start are thrown away.
#[derive(Clone)]
pub struct PeerInbox(Arc<OnceLock<ActorRef<Msg>>>);

/// Connects the node to a [`PeerInbox`].
pub struct InboxConnector(Arc<OnceLock<ActorRef<Msg>>>);

/// Makes a gate, which the peers' port needs before the node exists.
pub fn peer_inbox() -> (InboxConnector, PeerInbox) {
    let cell = Arc::new(OnceLock::new());
    (InboxConnector(cell.clone()), PeerInbox(cell))
}

impl InboxConnector {
    /// Opens the gate.
    pub fn connect(self, node: ActorRef<Msg>) {
        let _ = self.0.set(node);
    }
}

impl PeerInbox {
    /// Hands a message to the node.
    pub fn deliver(&self, envelope: Envelope) {
        if let Some(node) = self.0.get() {
            let _ = node.cast(Msg::Event(Event::MessageReceived(envelope)));
        }
    }
}

/// Waits for SIGTERM, SIGINT or an operator's drain.
pub async fn wait_for_signal(node: &ActorRef<Msg>) {
    let asked = ask(node, Msg::DrainAsked);
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        let _ = asked.await;
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        _ = asked => {}
    }
}

/// Whether a draining node is empty.
pub async fn is_drained(node: &ActorRef<Msg>) -> bool {
    ask(node, Msg::Drained).await.unwrap_or(true)
}

/// Requests in flight.
pub async fn inflight(node: &ActorRef<Msg>) -> usize {
    ask(node, Msg::Status).await.map_or(0, |s| s.inflight)
}

impl NodeHandle {
    /// Makes the ports' view of an actor.
    ///
    /// `owner` is the box with its incarnation.
    pub fn new(node: ActorRef<Msg>, owner: String, timeline: Arc<Timeline>) -> Self {
        NodeHandle {
            node,
            instance_id: owner,
            timeline,
        }
    }
}

/// Tells the node that a caller is gone, when dropped.
struct CallerGuard {
    node: ActorRef<Msg>,
    id: RequestId,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let _ = self.node.cast(Msg::Event(Event::CallerGone(self.id)));
    }
}

impl Router for NodeHandle {
    async fn start(&self, order: IncomingRequest) -> Option<Answer> {
        let (sender, parts) = mpsc::unbounded_channel();
        let id = ask(&self.node, |id| Msg::Request(order, sender, id)).await?;
        let guard = CallerGuard {
            node: self.node.clone(),
            id,
        };
        Some(Answer {
            request_name: format!("{}.{id}", self.instance_id),
            replies: parts,
            guard: Box::new(guard),
        })
    }

    async fn is_ready(&self) -> bool {
        ask(&self.node, Msg::Ready).await.unwrap_or(false)
    }
}

impl OperatorApi for NodeHandle {
    async fn table(&self) -> Option<TableResponse> {
        ask(&self.node, Msg::Table).await
    }

    async fn edit(&self, edit: Edit) -> Option<EditAnswer> {
        ask(&self.node, |answer| Msg::Edit(edit, answer)).await
    }

    async fn status(&self) -> Option<Status> {
        ask(&self.node, Msg::Status).await
    }

    async fn boxes(&self) -> Option<BoxesResponse> {
        ask(&self.node, Msg::Boxes).await
    }

    fn events(&self) -> EventsResponse {
        self.timeline.read()
    }

    async fn metrics(&self) -> String {
        match ask(&self.node, Msg::Status).await {
            Some(status) => metrics::render(&status),
            None => String::new(),
        }
    }

    fn drain(&self) {
        let _ = self.node.cast(Msg::Event(Event::Drain));
    }
}

async fn ask<T>(node: &ActorRef<Msg>, make: impl FnOnce(oneshot::Sender<T>) -> Msg) -> Option<T> {
    let (sender, answer) = oneshot::channel();
    node.cast(make(sender)).ok()?;
    answer.await.ok()
}
