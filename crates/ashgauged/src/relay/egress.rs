//! Sends requests through other boxes while this one reaches no upstream, and makes offers to
//! boxes that ask for it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::attempts::{Attempts, Decision, FailureKind, SendOutcome};
use ashgauge::egress::{Introduction, OfferReply, OfferRequest, Token};
use ashgauge::hub::Role;
use ashgauge::query::Datagram;
use http_body_util::{BodyExt, Limited};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use platform::engine;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use serde_json::json;
use spdlog::Level;
use tokio::time::timeout;

use super::dial::{self, OpenResponse};
use super::forward::MAX_ANSWER_BYTES;
use super::request::{FullResponse, RoutedRequest, failure_outcome, is_authorized};
use super::shared_state::{Peer, SharedState};
use super::{log, messaging, open, retry};

/// Header with the token of an offer, on a request that another box sends.
pub const TOKEN_HEADER: HeaderName = HeaderName::from_static("ashgauge-egress");

/// Header with the number of upstreams that the request may still run on.
pub const RUNS_HEADER: HeaderName = HeaderName::from_static("ashgauge-runs-left");

/// Header on the response of a box that cannot send the request either.
pub const DECLINED_HEADER: HeaderName = HeaderName::from_static("ashgauge-declined");

/// Maximum number of boxes asked for offers at a time, half of them in the same data centre.
const MAX_ASKED: usize = 8;

/// Number of leaves that a hub offers at a time.
const LEAVES_OFFERED: usize = 2;

/// Interval between two requests for offers.
const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// Age of the last request for offers at which new ones are asked for, before the offers
/// expire.
const RENEW_INTERVAL: Duration = Duration::from_millis(700);

/// Longest wait for an offer. A healthy box replies within 2 ms.
const OFFER_TIMEOUT: Duration = Duration::from_millis(120);

/// How long requests are refused at once after no offer came; offers are asked for meanwhile.
const UNOFFERED_TIME: Duration = Duration::from_millis(250);

/// Maximum number of boxes that one request is sent to without being accepted.
const MAX_TRIES: usize = 4;

/// Number of requests in flight from which on a box makes no offers.
const MAX_INFLIGHT: usize = 512;

/// Silence after which a retryable request is sent elsewhere; the other box itself continues
/// its streams elsewhere after [`open::MAX_SILENCE`].
pub const MAX_SILENCE: Duration = Duration::from_millis(open::MAX_SILENCE.as_millis() as u64 + 300);

/// Why a request was not sent through another box, or got no answer of an upstream.
pub enum Failure {
    /// No box makes an offer; the request has not run.
    NoOffer,
    /// The other box refuses the request, with this response.
    Refused(FullResponse),
    /// An upstream failed the request, with this response.
    Failed(FullResponse),
    /// The connection broke, or the other box does not know what became of the request.
    Lost,
}

/// What to do after a failure to send a request through another box.
pub enum EgressEnd {
    /// Send it again, through another box if this one is still cut off.
    Resend,
    /// End it with the response of the other box or of an upstream.
    Forward(FullResponse),
    /// End it with a response of this box.
    Fail(FailureKind),
}

/// Decides what to do after a failure to send a request through another box.
pub fn egress_failure(
    shared: &SharedState,
    request: &RoutedRequest,
    attempts: &mut Attempts,
    failure: Failure,
) -> EgressEnd {
    match failure {
        Failure::Refused(_) if attempts.may_have_run() => EgressEnd::Fail(FailureKind::Unknown),
        Failure::Refused(response) | Failure::Failed(response) => EgressEnd::Forward(response),
        Failure::NoOffer => EgressEnd::Fail(attempts.failure(shared.now())),
        Failure::Lost => match retry::next_step(shared, request, attempts, SendOutcome::Lost) {
            Decision::Resend => EgressEnd::Resend,
            Decision::Fail(end) => EgressEnd::Fail(end),
            Decision::Forward => EgressEnd::Fail(FailureKind::Unknown),
        },
    }
}

/// Whether a request goes through another box.
pub fn is_needed(shared: &SharedState, request: &RoutedRequest) -> bool {
    shared.reach.is_cut_off() && !request.is_forwarded
}

/// Returns whether a box makes an offer.
pub async fn is_offered(shared: &Rc<SharedState>) -> bool {
    await_offer(shared).await.is_some()
}

/// Sends a request through another box, and returns the response of an upstream, whose body is
/// still being received. The answer continues after event `last_event`.
pub async fn send(
    shared: &Rc<SharedState>,
    request: &mut RoutedRequest,
    attempts: &mut Attempts,
    last_event: Option<u64>,
) -> Result<(SocketAddr, OpenResponse), Failure> {
    for _ in 0..MAX_TRIES {
        let Some((addr, token)) = await_offer(shared).await else {
            break;
        };
        attempts.record_send(addr.to_string().into());
        request.record.sends.push(format!("box {addr}").into());
        match send_to(shared, request, attempts, last_event, addr, token).await {
            Ok(response) => {
                count(shared, "answered");
                return Ok((addr, response));
            }
            Err(SendFailure::Declined(reason)) => {
                attempts.retract_send();
                shared.egress.offers.borrow_mut().remove(addr);
                count(shared, "declined");
                let fields = json!({"to": addr.to_string(), "why": reason});
                request.record.log_step("offer withdrawn", fields);
            }
            Err(SendFailure::Refused(response)) => {
                attempts.retract_send();
                count(shared, "refused");
                return Err(Failure::Refused(response));
            }
            Err(SendFailure::Lost) => {
                shared.egress.offers.borrow_mut().remove(addr);
                count(shared, "lost");
                return Err(Failure::Lost);
            }
        }
    }
    count(shared, "no offer");
    Err(Failure::NoOffer)
}

/// Sends a request whose answer is not a stream through another box, and reads the answer.
pub async fn send_plain(
    shared: &Rc<SharedState>,
    request: &mut RoutedRequest,
    attempts: &mut Attempts,
) -> Result<FullResponse, Failure> {
    let (_, response) = send(shared, request, attempts, None).await?;
    let time_left = attempts.time_left(shared.now());
    let answer = shared.clock.within(time_left, read_whole(response)).await;
    answer.flatten().ok_or(Failure::Lost)
}

/// Why one send through another box brought no answer of an upstream.
enum SendFailure {
    /// The request has not run; another box may accept it.
    Declined(&'static str),
    Refused(FullResponse),
    Lost,
}

async fn send_to(
    shared: &Rc<SharedState>,
    request: &RoutedRequest,
    attempts: &Attempts,
    last_event: Option<u64>,
    addr: SocketAddr,
    token: Token,
) -> Result<OpenResponse, SendFailure> {
    let connect_timeout = Duration::from_millis(shared.settings().timing.connect_ms);
    let limit = connect_timeout.min(attempts.time_left(shared.now()));
    let connection = dial::connect(&addr.to_string(), limit).await;
    let connection = connection.map_err(|_| SendFailure::Declined("no connection"))?;
    if !is_authorized(shared, request) {
        return Err(SendFailure::Declined("no key"));
    }
    let time_left = attempts.time_left(shared.now());
    let body = request.body.clone();
    let mut outgoing = engine::build_forwarded(&request.head, body, time_left, last_event);
    let headers = outgoing.headers_mut();
    headers.insert(TOKEN_HEADER, HeaderValue::from(token));
    headers.insert(RUNS_HEADER, HeaderValue::from(attempts.runs_left()));
    let max_wait = match request.route.is_retryable() {
        true => MAX_SILENCE.min(time_left),
        false => time_left,
    };
    let sent = shared
        .clock
        .within(max_wait, connection.send(outgoing))
        .await;
    let response = match sent {
        None => return Err(SendFailure::Lost),
        Some(Ok(response)) => response,
        Some(Err(failure)) => {
            return match failure_outcome(&failure) {
                SendOutcome::NotSent => Err(SendFailure::Declined("not sent")),
                _ => Err(SendFailure::Lost),
            };
        }
    };
    classify(response).await
}

/// Tells an upstream's answer from what the other box says itself.
async fn classify(response: OpenResponse) -> Result<OpenResponse, SendFailure> {
    let (status, headers) = (response.response.status(), response.response.headers());
    if engine::is_signed(headers) {
        return Ok(response);
    }
    let is_declined = headers.contains_key(DECLINED_HEADER);
    match status {
        _ if is_declined => Err(SendFailure::Declined("cut off as well")),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            let refusal = read_whole(response).await;
            Err(refusal.map_or(SendFailure::Lost, SendFailure::Refused))
        }
        // The other box knows another configuration, or the token no more.
        status if status.is_client_error() => Err(SendFailure::Declined("refused the request")),
        _ => Err(SendFailure::Lost),
    }
}

/// Reads a whole response; `None` if it breaks off or is too large.
pub async fn read_whole(response: OpenResponse) -> Option<FullResponse> {
    let (parts, body) = response.response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.ok()?;
    let mut whole = Response::new(body.to_bytes());
    *whole.status_mut() = parts.status;
    *whole.headers_mut() = engine::answer_headers(&parts);
    Some(whole)
}

/// Returns an offer. If there is none, waits for one, unless none came a moment ago.
async fn await_offer(shared: &Rc<SharedState>) -> Option<(SocketAddr, Token)> {
    if let Some(offer) = choose_offer(shared) {
        return Some(offer);
    }
    if shared.now() < shared.egress.unoffered_until.get() {
        return None;
    }
    let waiting = async {
        loop {
            let offered = shared.egress.offered.notified();
            if let Some(offer) = choose_offer(shared) {
                return offer;
            }
            // Those that do not reply are cut off themselves, so others are asked.
            let _ = timeout(ASK_INTERVAL, offered).await;
        }
    };
    let offer = timeout(OFFER_TIMEOUT, waiting).await.ok();
    if offer.is_none() {
        let until = shared.now() + UNOFFERED_TIME;
        shared.egress.unoffered_until.set(until);
        log_unoffered(shared);
    }
    offer
}

/// Logs that no box made an offer, and how many were asked.
fn log_unoffered(shared: &SharedState) {
    let boxes = boxes_to_ask(shared).len();
    let fields = json!({"boxes": boxes, "role": format!("{:?}", shared.role())});
    log::event(Level::Warn, "egress", "no offer", fields);
}

/// Chooses an offer, and asks for more before they expire.
fn choose_offer(shared: &SharedState) -> Option<(SocketAddr, Token)> {
    let now = shared.now();
    let offer = shared
        .egress
        .offers
        .borrow_mut()
        .choose(now, &mut *shared.rng());
    let interval = match offer {
        Some(_) => RENEW_INTERVAL,
        None => ASK_INTERVAL,
    };
    ask_for_offers(shared, interval);
    offer
}

/// Asks some boxes for offers, unless that was done less than `interval` ago.
fn ask_for_offers(shared: &SharedState, interval: Duration) {
    let now = shared.now();
    let last = shared.egress.asked.get();
    if last.is_some_and(|(_, at)| now < at + interval) {
        return;
    }
    let id = shared.rng().random();
    shared.egress.asked.set(Some((id, now)));
    let from = shared.settings().id.as_str().into();
    let request = Datagram::AskOffer(OfferRequest { from, id });
    for peer in boxes_to_ask(shared) {
        messaging::send(shared, peer.addr, &request);
    }
}

/// Chooses boxes at random, half of them in the same data centre if there are any.
fn boxes_to_ask(shared: &SharedState) -> Vec<Peer> {
    let mut known: Vec<Peer> = match shared.role() {
        Role::Peer => shared.peers.borrow().values().cloned().collect(),
        Role::Hub | Role::Leaf(_) => hubs(shared),
    };
    known.shuffle(&mut *shared.rng());
    let (mut asked, mut others): (Vec<Peer>, Vec<Peer>) =
        known.into_iter().partition(|peer| peer.is_local);
    asked.truncate(MAX_ASKED.saturating_sub(others.len()).max(MAX_ASKED / 2));
    others.truncate(MAX_ASKED - asked.len());
    asked.append(&mut others);
    asked
}

fn hubs(shared: &SharedState) -> Vec<Peer> {
    let (peers, readers) = (shared.peers.borrow(), shared.readers.borrow());
    let hubs = readers.ids.iter().filter_map(|id| peers.get(id));
    hubs.cloned().collect()
}

/// Handles a box's request for offers: offers this box, or leaves of this hub. A box that is
/// cut off itself does not reply.
pub fn handle_request(shared: &SharedState, request: &OfferRequest, to: SocketAddr) {
    if !shared.is_ready() || shared.reach.is_cut_off() {
        count(shared, "no reply");
        return;
    }
    count(shared, "offered");
    let leaves = shared.leaves();
    let leaves = leaves.iter().filter(|(id, _)| *id != request.from);
    let leaves: Vec<SocketAddr> = leaves.map(|(_, peer)| peer.addr).collect();
    match leaves.is_empty() {
        true => offer_self(shared, request, to),
        false => offer_leaves(shared, request, to, &leaves),
    }
}

fn offer_self(shared: &SharedState, request: &OfferRequest, to: SocketAddr) {
    let Some(addr) = shared.peer_addr.get() else {
        return;
    };
    let load = shared.inflight.get();
    let token = shared.rng().random();
    if load < MAX_INFLIGHT && accept_token(shared, token) {
        reply(shared, request, to, addr, token, load as u32);
    }
}

fn offer_leaves(shared: &SharedState, request: &OfferRequest, to: SocketAddr, of: &[SocketAddr]) {
    let chosen = of.choose_multiple(&mut *shared.rng(), LEAVES_OFFERED);
    let chosen: Vec<SocketAddr> = chosen.copied().collect();
    for addr in chosen {
        let token = shared.rng().random();
        let from = shared.settings().id.as_str().into();
        let introduction = Datagram::Introduction(Introduction { from, token });
        messaging::send(shared, addr, &introduction);
        reply(shared, request, to, addr, token, 0);
    }
}

fn reply(
    shared: &SharedState,
    request: &OfferRequest,
    to: SocketAddr,
    addr: SocketAddr,
    token: Token,
    load: u32,
) {
    let offer = OfferReply {
        from: shared.settings().id.as_str().into(),
        id: request.id,
        addr,
        token,
        load,
    };
    messaging::send(shared, to, &Datagram::Offer(offer));
}

/// Makes a token valid here; returns `false` if there are too many.
pub fn accept_token(shared: &SharedState, token: Token) -> bool {
    shared
        .egress
        .tokens
        .borrow_mut()
        .insert(shared.now(), token)
}

/// Handles an offer, if it answers the last request for offers.
pub fn handle_offer(shared: &SharedState, offer: &OfferReply) {
    let asked = shared.egress.asked.get();
    if asked.is_some_and(|(id, _)| id == offer.id) {
        shared.egress.offers.borrow_mut().add(shared.now(), offer);
        shared.egress.offered.notify_waiters();
    }
}

/// Counts a send through another box, or a request or message of another box.
pub fn count(shared: &SharedState, result: &str) {
    shared.metrics.egress.with_label_values(&[result]).inc();
}
