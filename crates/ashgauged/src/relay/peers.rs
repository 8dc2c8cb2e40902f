//! Messaging between boxes: load reports, queries and answers.
//!
//! Small messages are datagrams. An answer that is too large for one is fetched over a
//! connection (module [`answers`](super::answers)). Datagrams that cannot be decoded, or come
//! from an address that no box has registered, are dropped and counted.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::hub::Role;
use ashgauge::load_report::LoadReport;
use ashgauge::member::BoxId;
use ashgauge::query::{Answer, AnswerBody, Datagram, Query};
use bytes::Bytes;
use eyre::{Result, eyre};
use http::{FetchLimits, Full};
use hyper::{Method, Request, StatusCode};
use serde_json::json;
use spdlog::Level;
use tokio::net::UdpSocket;
use tokio::sync::{Mutex, mpsc};
use tokio::time::sleep;

use super::answers::Answers;
use super::fetch::ANSWER_PATH;
use super::shared_state::{LastQuery, SharedState};
use super::{
    codec, liveness, log, membership, messaging, offers, peer_server, permit, quarantine,
    suspicion, task,
};

/// Maximum size of a received datagram; a load report on 860 engines takes 12 kB.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Delay after a failed read from the socket.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Minimum interval between reads of the member list that datagrams from unknown senders
/// trigger.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// How long a box that sent a query is notified of changes: some polling rounds.
const POLLER_TTL: Duration = Duration::from_secs(4);

/// Maximum number of messages queued for the polling task.
const MAX_QUEUED_MESSAGES: usize = 256;

/// A message from another box, for the polling task.
#[derive(Debug)]
pub enum PeerMessage {
    /// An answer, and the time at which its query was sent if it was fetched.
    Answer(Answer, Option<Duration>),
    /// An answer could not be fetched from this box.
    FetchFailed(BoxId),
    /// A box has new data.
    Changed(BoxId),
}

/// Messaging of this box with the others.
pub struct Peers {
    shared: Rc<SharedState>,
    socket: Rc<UdpSocket>,
    messages: mpsc::Sender<PeerMessage>,
    answers: Rc<Answers>,
}

impl Peers {
    /// Starts the messaging with the other boxes, if the settings contain an address for
    /// it.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        shared: &Rc<SharedState>,
    ) -> Result<Option<(Rc<Self>, mpsc::Receiver<PeerMessage>)>> {
        let Some(addr) = shared.settings().peer.clone() else {
            return Ok(None);
        };
        let (socket, listener) = messaging::bind(&addr).await?;
        let socket = Rc::new(socket);
        // The messaging is started once.
        let _ = shared.permits.socket.set(socket.clone());
        let advertised = shared.settings().advertise;
        let peer_addr = advertised.map_or_else(|| socket.local_addr(), Ok)?;
        shared.peer_addr.set(Some(peer_addr));
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let answers = Rc::new(Answers::new(shared.clone()));
        let peers = Rc::new(Peers {
            shared: shared.clone(),
            socket,
            messages: sender,
            answers: answers.clone(),
        });
        let receiving = peers.clone();
        task::spawn(shared, "datagrams", move || receiving.clone().receive());
        let (fetches, requests) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let requests = Rc::new(Mutex::new(requests));
        task::spawn(shared, "fetches", move || {
            answers.clone().serve_fetches(requests.clone())
        });
        let (state, listener) = (shared.clone(), Rc::new(listener));
        task::spawn(shared, "peer connections", move || {
            peer_server::serve(state.clone(), listener.clone(), fetches.clone())
        });
        Ok(Some((peers, receiver)))
    }

    /// Sends one datagram to a box. A failure is ignored; the next datagram makes up for
    /// it.
    pub async fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let _ = self.socket.send_to(bytes, to).await;
    }

    /// Sends a query to a box.
    pub async fn send_query(&self, to: &BoxId, query: Query) {
        let addr = self.shared.peers.borrow().get(to).map(|p| p.addr);
        let bytes = codec::encode(&Datagram::Query(query));
        if let (Some(addr), Some(bytes)) = (addr, bytes) {
            self.send(addr, &bytes).await;
        }
    }

    /// Fetches an answer that is too large for a datagram, and passes it, or the failure, to
    /// the polling task.
    pub async fn fetch(self: Rc<Self>, to: BoxId, query: Query, limits: FetchLimits) {
        let asked_at = self.shared.now();
        let message = match self.fetch_once(&to, &query, limits).await {
            Ok(answer) => PeerMessage::Answer(answer, Some(asked_at)),
            Err(e) => {
                let ms = (self.shared.now() - asked_at).as_millis() as u64;
                let fields = json!({"from": &*to, "fault": format!("{e:#}"), "ms": ms});
                log::event(Level::Warn, "fleet", "answer not fetched", fields);
                PeerMessage::FetchFailed(to)
            }
        };
        // The polling task runs until the process ends.
        let _ = self.messages.send(message).await;
    }

    async fn fetch_once(&self, to: &BoxId, query: &Query, limits: FetchLimits) -> Result<Answer> {
        let addr = self.shared.peers.borrow().get(to).map(|p| p.addr);
        let addr = addr.ok_or_else(|| eyre!("the box is not listed any more"))?;
        let addr = addr.to_string();
        let body = Full::new(Bytes::from(postcard::to_allocvec(query)?));
        let request = Request::builder().method(Method::POST).uri(ANSWER_PATH);
        let request = request.header(hyper::header::HOST, &addr);
        let request = request.body(body)?;
        let response = self
            .shared
            .peer_client
            .fetch(&addr, request, limits)
            .await?;
        if response.status() != StatusCode::OK {
            return Err(eyre!("the box answered {}", response.status()));
        }
        let mut answer: Answer = postcard::from_bytes(response.body())?;
        if let AnswerBody::Compressed { age, bytes } = answer.body {
            let update = codec::decompress(&bytes)?;
            answer.body = AnswerBody::Update { age, update };
        }
        match answer.from == *to && answer.id == query.id {
            true => Ok(answer),
            false => Err(eyre!("the answer is to another question")),
        }
    }

    /// Notifies the boxes that recently sent queries that there is new data.
    pub async fn notify_pollers(&self) {
        let now = self.shared.now();
        let own: BoxId = self.shared.settings().id.as_str().into();
        let Some(bytes) = codec::encode(&Datagram::Changed(own)) else {
            return;
        };
        let addrs: Vec<SocketAddr> = {
            let mut pollers = self.shared.pollers.borrow_mut();
            pollers.retain(|_, last_query| now < last_query.asked_at + POLLER_TTL);
            let peers = self.shared.peers.borrow();
            let addrs = pollers.keys().filter_map(|id| peers.get(id));
            addrs.map(|p| p.addr).collect()
        };
        for addr in addrs {
            self.send(addr, &bytes).await;
        }
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut refreshed_at = Duration::ZERO;
        loop {
            let Ok((len, from)) = self.socket.recv_from(&mut buffer).await else {
                sleep(READ_RETRY_DELAY).await;
                continue;
            };
            let result = self.handle_datagram(&buffer[..len], from).await;
            let label = [result.label()];
            self.shared
                .metrics
                .datagrams
                .with_label_values(&label)
                .inc();
            let now = self.shared.now();
            if result == DatagramResult::Stranger && now >= refreshed_at + MIN_REFRESH_INTERVAL {
                // The sender may be a box that has just started.
                refreshed_at = now;
                tokio::task::spawn_local(membership::refresh(self.shared.clone()));
            }
        }
    }

    /// Handles a datagram; returns the result.
    async fn handle_datagram(&self, bytes: &[u8], addr: SocketAddr) -> DatagramResult {
        let Ok(datagram) = postcard::from_bytes::<Datagram>(bytes) else {
            return DatagramResult::Unreadable;
        };
        let registered = self
            .shared
            .peers
            .borrow()
            .get(datagram.from())
            .map(|p| p.addr);
        // In a large fleet boxes need not know those that make them offers.
        if let Datagram::Offer(offer) = &datagram
            && offers::handle_offer(&self.shared, offer)
        {
            return DatagramResult::Accepted;
        }
        if registered != Some(addr) {
            return DatagramResult::Stranger;
        }
        match datagram {
            Datagram::Load(report) => self.handle_load(report),
            Datagram::Query(query) => {
                self.handle_query(query, addr).await;
                DatagramResult::Query
            }
            Datagram::Answer(answer) => self.forward(PeerMessage::Answer(answer, None)),
            Datagram::Changed(from) => self.forward(PeerMessage::Changed(from)),
            Datagram::Losses(from, report) => {
                quarantine::merge_report(&self.shared, &from, &report);
                DatagramResult::Accepted
            }
            Datagram::Parts(from, report) => {
                quarantine::merge_parts(&self.shared, &from, &report);
                DatagramResult::Accepted
            }
            Datagram::Suspects(from, instances) => {
                suspicion::handle_reports(&self.shared, &from, &instances);
                DatagramResult::Accepted
            }
            Datagram::AskPermit(request) => {
                permit::handle_request(&self.shared, request, addr);
                DatagramResult::Query
            }
            Datagram::Permit(reply) => {
                permit::handle_reply(&self.shared, reply);
                DatagramResult::Accepted
            }
            Datagram::AskOffer(request) => {
                offers::handle_request(&self.shared, &request, addr);
                DatagramResult::Query
            }
            Datagram::Offer(_) => DatagramResult::Late,
            Datagram::Referral(referral) => {
                offers::handle_referral(&self.shared, referral, addr);
                DatagramResult::Query
            }
            Datagram::AskLiveness(request) => {
                liveness::handle_request(&self.shared, &request, addr);
                DatagramResult::Query
            }
            Datagram::Liveness(reply) => {
                liveness::handle_reply(&self.shared, &reply);
                DatagramResult::Accepted
            }
            Datagram::Decline(decline) => {
                offers::handle_decline(&self.shared, decline);
                DatagramResult::Accepted
            }
        }
    }

    fn handle_load(&self, mut report: LoadReport) -> DatagramResult {
        let now = self.shared.now();
        let (suspects, slow) = (report.suspects.clone(), report.slow.clone());
        permit::merge_limits(&self.shared, &report.from, &report.limits);
        if self.shared.role() != Role::Hub {
            report.suspects.clear();
            report.slow.clear();
        }
        if !self.shared.fleet_load.borrow_mut().apply(now, report) {
            return DatagramResult::Late;
        }
        let mut registry = self.shared.registry.borrow_mut();
        if !suspects.is_empty() {
            registry.note_peer_suspects(now, &suspects);
        }
        registry.note_peer_slow(now, &slow);
        DatagramResult::Accepted
    }

    fn forward(&self, message: PeerMessage) -> DatagramResult {
        match self.messages.try_send(message) {
            Ok(()) => DatagramResult::Accepted,
            Err(_) => DatagramResult::Late,
        }
    }

    async fn handle_query(&self, query: Query, addr: SocketAddr) {
        let now = self.shared.now();
        let last_query = LastQuery {
            asked_at: now,
            revision: query.after,
        };
        let from = query.from.clone();
        self.shared.pollers.borrow_mut().insert(from, last_query);
        if let Some(bytes) = self.answers.encode(&query) {
            self.send(addr, &bytes).await;
        }
    }
}

/// How a datagram was handled.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DatagramResult {
    /// Its content was accepted.
    Accepted,
    /// It was a query or a permit request.
    Query,
    /// A later datagram was accepted before, or too many messages are queued.
    Late,
    /// It could not be decoded.
    Unreadable,
    /// It came from an address that its box has not registered.
    Stranger,
}

impl DatagramResult {
    fn label(self) -> &'static str {
        match self {
            DatagramResult::Accepted => "heard",
            DatagramResult::Query => "question",
            DatagramResult::Late => "late",
            DatagramResult::Unreadable => "unreadable",
            DatagramResult::Stranger => "stranger",
        }
    }
}
