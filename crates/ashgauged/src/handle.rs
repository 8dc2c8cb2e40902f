//! Handle through which the callers', operators' and peers' ports reach the node's actor.

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

/// Handle of the node's actor for the ports.
pub struct NodeHandle {
    node: ActorRef<Msg>,
    instance_id: String,
    timeline: Arc<Timeline>,
}

/// Passes messages from peers to the node. Messages before the node is connected are
/// dropped.
#[derive(Clone)]
pub struct PeerInbox(Arc<OnceLock<ActorRef<Msg>>>);

/// Connects the node to a [`PeerInbox`].
pub struct InboxConnector(Arc<OnceLock<ActorRef<Msg>>>);

/// Creates an inbox, which the peers' port needs before the node exists, and its
/// connector.
pub fn peer_inbox() -> (InboxConnector, PeerInbox) {
    let cell = Arc::new(OnceLock::new());
    (InboxConnector(cell.clone()), PeerInbox(cell))
}

impl InboxConnector {
    /// Connects the node, so that it gets the messages from now on.
    pub fn connect(self, node: ActorRef<Msg>) {
        let _ = self.0.set(node);
    }
}

impl PeerInbox {
    /// Passes a message to the node, if one is connected.
    pub fn deliver(&self, envelope: Envelope) {
        if let Some(node) = self.0.get() {
            let _ = node.cast(Msg::Event(Event::MessageReceived(envelope)));
        }
    }
}

/// Waits for SIGTERM, SIGINT or an operator's request to drain.
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

/// Returns true if a draining node has no requests left, or if its actor has ended.
pub async fn is_drained(node: &ActorRef<Msg>) -> bool {
    ask(node, Msg::Drained).await.unwrap_or(true)
}

/// Returns the number of requests in flight or waiting; 0 if the actor has ended.
pub async fn inflight(node: &ActorRef<Msg>) -> usize {
    ask(node, Msg::Status).await.map_or(0, |s| s.inflight)
}

impl NodeHandle {
    /// Creates a handle of an actor.
    ///
    /// `instance_id` is the box name with its incarnation.
    pub fn new(node: ActorRef<Msg>, instance_id: String, timeline: Arc<Timeline>) -> Self {
        NodeHandle {
            node,
            instance_id,
            timeline,
        }
    }
}

/// Tells the node, when dropped, that the caller's connection is closed.
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
    async fn start(&self, request: IncomingRequest) -> Option<Answer> {
        let (sender, parts) = mpsc::unbounded_channel();
        let id = ask(&self.node, |id| Msg::Request(request, sender, id)).await?;
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
