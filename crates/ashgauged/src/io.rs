//! Performs a node's actions and sends the results back as events.

use std::sync::Arc;
use std::time::Duration;

use ashgauge::{Action, Event};
use http::Client;
use platform::PlatformClient;
use ractor::ActorRef;
use spdlog::{debug, error, info, warn};

use crate::actor::{Msg, NodeArgs};

/// Maximum time of a stage run or a service call; the node gives up sooner.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);

/// Time limit for a new connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for telling an engine that a session is over.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of a fenced order to an upstream.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);
/// First delay after a watch without an answer; doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay after a watch without an answer.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Clients of the platform, the peers and the upstreams.
pub struct Io {
    node: ActorRef<Msg>,
    platform: PlatformClient,
    peers: peer::PeerClient,
    client: Client,
    instance_id: Arc<str>,
    list_interval: Duration,
}

impl Io {
    /// Creates the clients.
    pub fn new(node: ActorRef<Msg>, args: &NodeArgs) -> Self {
        let settings = &args.settings;
        let contact = Duration::from_millis(settings.timing.isolation_ms);
        Io {
            node,
            platform: PlatformClient::new(&settings.platform, settings.platform_calls, contact),
            peers: args.peers.clone(),
            client: Client::new(CONNECT_TIMEOUT),
            instance_id: args.config.instance_id().into(),
            list_interval: Duration::from_millis(settings.timing.list_ms),
        }
    }

    /// Starts tasks that watch the table and the member list until the node's actor ends.
    pub fn watch_platform(&self) {
        let (node, platform) = (self.node.clone(), self.platform.clone());
        self.spawn_watch(watch_table(node, platform));
        let (node, platform) = (self.node.clone(), self.platform.clone());
        self.spawn_watch(watch_list(node, platform, self.list_interval));
    }

    /// Starts a task without which the box knows nothing new; if it panics, the node's actor is
    /// stopped, and with it the process, so that the box is started again.
    fn spawn_watch(&self, watch: impl Future<Output = ()> + Send + 'static) {
        let node = self.node.clone();
        tokio::spawn(async move {
            if let Err(e) = tokio::spawn(watch).await {
                error!("platform: a watch has ended: {e}");
                node.stop(Some("a watch has ended".into()));
            }
        });
    }

    /// Performs one action.
    pub fn perform(&self, action: Action) {
        let node = self.node.clone();
        let (client, instance_id) = (self.client.clone(), self.instance_id.clone());
        let platform = self.platform.clone();
        match action {
            Action::Run(run) => spawn_event(node, async move {
                let outcome = upstream::run(&client, &instance_id, &run, CALL_TIMEOUT).await;
                match outcome {
                    Ok(result) => Event::StageDone(result),
                    Err(error) => {
                        debug!("upstream: stage run on {} failed: {error:?}", run.upstream);
                        Event::StageFailed(run.id, run.session, run.start, error)
                    }
                }
            }),
            Action::Call(call) => spawn_event(node, async move {
                match upstream::call(&client, &call, CALL_TIMEOUT).await {
                    Ok(response) => Event::ServiceDone(call.id, call.attempt, response),
                    Err(error) => Event::ServiceFailed(call.id, call.attempt, error),
                }
            }),
            Action::Cancel {
                id, session, addr, ..
            } => {
                let session = upstream::session_name(&instance_id, id, session);
                tokio::spawn(async move {
                    upstream::cancel(&client, &addr, session, CANCEL_TIMEOUT).await;
                });
            }
            Action::Command(order) => spawn_event(node, async move {
                let reply = upstream::send_order(&client, &order, ORDER_TIMEOUT).await;
                Event::OrderAnswered(order.upstream, order.term, reply)
            }),
            Action::Read(key) => spawn_event(node, async move {
                let answer = platform.read(&key).await;
                Event::Read(key, answer)
            }),
            Action::Write(key, version, value) => spawn_event(node, async move {
                let result = platform.write(&key, version, &value).await;
                Event::Written(key, value, result)
            }),
            Action::Send(to, addr, envelope) => self.deliver(to, addr, envelope),
            Action::Reply(..) | Action::EditDone(..) | Action::Record(_) => {}
        }
    }

    fn deliver(
        &self,
        to: ashgauge::member::BoxId,
        addr: String,
        envelope: ashgauge::message::Envelope,
    ) {
        let (node, peers) = (self.node.clone(), self.peers.clone());
        tokio::spawn(async move {
            if let Err(e) = peers.deliver(&addr, &envelope).await {
                debug!("peer: message to {addr} failed: {e}");
                let _ = node.cast(Msg::Event(Event::SendFailed(to, envelope.body)));
            }
        });
    }
}

fn spawn_event(node: ActorRef<Msg>, work: impl Future<Output = Event> + Send + 'static) {
    tokio::spawn(async move {
        let event = work.await;
        let _ = node.cast(Msg::Event(event));
    });
}

async fn watch_table(node: ActorRef<Msg>, platform: PlatformClient) {
    let mut version = 0;
    let mut delay = MIN_BACKOFF;
    loop {
        let event = match platform.watch_table(version).await {
            Ok(Some(newer)) => {
                version = newer;
                info!("platform: table version {newer}");
                Event::TableVersion(newer)
            }
            Ok(None) => Event::Unchanged,
            Err(_) => {
                delay = back_off("table", delay).await;
                continue;
            }
        };
        delay = MIN_BACKOFF;
        if node.cast(Msg::Event(event)).is_err() {
            return;
        }
    }
}

async fn watch_list(node: ActorRef<Msg>, platform: PlatformClient, interval: Duration) {
    let mut version = 0;
    let mut delay = MIN_BACKOFF;
    loop {
        let event = match platform.watch_list(version).await {
            Ok(Some(listing)) => {
                version = listing.version;
                Event::Listed(listing)
            }
            Ok(None) => Event::Unchanged,
            Err(_) => {
                delay = back_off("list", delay).await;
                continue;
            }
        };
        delay = MIN_BACKOFF;
        if node.cast(Msg::Event(event)).is_err() {
            return;
        }
        tokio::time::sleep(jittered(interval)).await;
    }
}

/// Sleeps after a watch without an answer and returns the next delay, at most
/// [`MAX_BACKOFF`].
async fn back_off(what: &str, delay: Duration) -> Duration {
    warn!("platform: watch of the {what} got no usable answer; retrying");
    tokio::time::sleep(jittered(delay)).await;
    (delay * 2).min(MAX_BACKOFF)
}

/// Returns the delay with a jitter of a quarter either way, so that boxes do not act in
/// step.
fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.75..1.25))
}
