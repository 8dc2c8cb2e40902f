//! Sends requests through other boxes while this one does not reach the upstreams of their
//! service.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::attempts::{Attempts, Decision, FailureKind, Run, SendOutcome};
use ashgauge::egress::Token;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use platform::engine;
use serde_json::json;

use super::dial::{self, OpenResponse};
use super::offers::{self, Way};
use super::open::response_head;
use super::plain_answer::{self, PlainAnswer};
use super::request::{DECLINED_HEADER, FullResponse, RoutedRequest, failure_outcome, may_send};
use super::shared_state::SharedState;
use super::{open, permit, retry};

/// Header with the token of an offer, on a request that another box sends.
pub const TOKEN_HEADER: HeaderName = HeaderName::from_static("ashgauge-egress");

/// Header with the number of upstreams that the request may still run on.
pub const RUNS_HEADER: HeaderName = HeaderName::from_static("ashgauge-runs-left");

/// Header with the version of the configuration by which the sending box knows the request's
/// route. A box with an older one does not serve it.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("ashgauge-config-version");

/// Number of upstreams on which another box may run a request. The box that the caller sent it to
/// decides on each further run: it could not know how many another box that falls silent used.
const FORWARDED_RUNS: u32 = 1;

/// Longest search for a box that accepts a request. A box that declines does so within
/// milliseconds, and many may do so where they were cut off at the same moment.
const MAX_SEARCH_TIME: Duration = Duration::from_millis(300);

/// Silence after which a retryable request is sent elsewhere; the other box itself continues
/// its streams elsewhere after [`open::MAX_SILENCE`].
pub const MAX_SILENCE: Duration = Duration::from_millis(open::MAX_SILENCE.as_millis() as u64 + 300);

/// Largest response of a failure, in bytes; the caller gets it.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// Why a request was not sent through another box, or got no answer of an upstream.
pub enum Failure {
    /// No box makes an offer; the request has not run.
    NoOffer,
    /// This box reaches the service itself again; the request has not run.
    Reached,
    /// The other box refuses the request, with this response.
    Refused(FullResponse),
    /// An upstream failed the request, with this response.
    Failed(FullResponse),
    /// The connection broke, or the other box does not know what became of the request.
    Lost,
}

/// What to do after a failure to send a request through another box.
pub enum EgressEnd {
    /// Send it, through another box if this one is still cut off.
    Resend,
    /// End it with the response of the other box or of an upstream.
    Forward(FullResponse),
    /// End it with a response of this box.
    Fail(FailureKind),
}

/// Decides what to do after a failure to send a request through another box.
pub async fn egress_failure(
    shared: &Rc<SharedState>,
    request: &mut RoutedRequest,
    attempts: &mut Attempts,
    failure: Failure,
) -> EgressEnd {
    match failure {
        Failure::Refused(_) if attempts.may_have_run() => EgressEnd::Fail(FailureKind::Unknown),
        Failure::Refused(response) | Failure::Failed(response) => EgressEnd::Forward(response),
        Failure::Reached => EgressEnd::Resend,
        Failure::NoOffer => EgressEnd::Fail(attempts.failure(shared.now())),
        Failure::Lost => {
            match retry::next_step(shared, request, attempts, SendOutcome::Lost).await {
                Decision::Resend => EgressEnd::Resend,
                Decision::Fail(end) => EgressEnd::Fail(end),
                Decision::Forward => EgressEnd::Fail(FailureKind::Unknown),
            }
        }
    }
}

/// Whether a request goes through another box, as this one is cut off from its service.
pub fn is_needed(shared: &SharedState, request: &RoutedRequest) -> bool {
    shared.reach.is_cut_off(&request.service.name) && !request.is_forwarded
}

/// Whether another box may serve a request for which this one finds no upstream: some do not
/// accept its connections, which other boxes may reach.
pub fn is_promising(shared: &SharedState, request: &RoutedRequest) -> bool {
    let (now, registry) = (shared.now(), shared.registry.borrow());
    let mut upstreams = registry.of_service(&request.service.name);
    let has_failed = upstreams.any(|e| e.is_suspect(now) || e.is_unreachable(now));
    has_failed && !request.is_forwarded && permit::limit_wait(shared, &request.service).is_none()
}

/// Sends a request through another box, and returns the response of an upstream, whose body is
/// still being received. The answer continues after event `last_event`.
pub async fn send(
    shared: &Rc<SharedState>,
    request: &mut RoutedRequest,
    attempts: &mut Attempts,
    last_event: Option<u64>,
) -> Result<(SocketAddr, OpenResponse), Failure> {
    let service = request.service.name.clone();
    let until = shared.now() + MAX_SEARCH_TIME;
    while shared.now() < until {
        let (addr, token) = match offers::wait(shared, &service).await {
            Some(Way::Box(addr, token)) => (addr, token),
            Some(Way::Direct) => return Err(Failure::Reached),
            None => break,
        };
        let run = Run::new(addr.to_string().into(), None);
        request.record_send(attempts, run, &format!("box {addr}"));
        match send_to(shared, request, attempts, last_event, addr, token).await {
            Ok(response) => {
                count(shared, "answered");
                return Ok((addr, response));
            }
            Err(SendFailure::Declined(reason)) => {
                attempts.retract_send();
                offers::withdraw(shared, &service, addr);
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
                offers::withdraw(shared, &service, addr);
                count(shared, "lost");
                return Err(Failure::Lost);
            }
        }
    }
    count(shared, "no offer");
    Err(Failure::NoOffer)
}

/// Sends a request whose answer is not a stream through another box, and waits for the answer, up
/// to what is held of one.
pub async fn send_plain(
    shared: &Rc<SharedState>,
    request: &mut RoutedRequest,
    attempts: &mut Attempts,
) -> Result<PlainAnswer, Failure> {
    let (_, response) = send(shared, request, attempts, None).await?;
    let time_left = attempts.time_left(shared.now());
    let receiving = plain_answer::receive(shared, response, true);
    let answer = shared.clock.within(time_left, receiving).await;
    answer.and_then(Result::ok).ok_or(Failure::Lost)
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
    if !may_send(shared, request, attempts) {
        return Err(SendFailure::Declined("withdrawn"));
    }
    let time_left = attempts.time_left(shared.now());
    let body = request.body.clone();
    let mut outgoing = engine::build_forwarded(&request.head, body, time_left, last_event);
    let headers = outgoing.headers_mut();
    headers.insert(TOKEN_HEADER, HeaderValue::from(token));
    headers.insert(RUNS_HEADER, HeaderValue::from(FORWARDED_RUNS));
    let version = shared.routing.borrow().version;
    headers.insert(VERSION_HEADER, HeaderValue::from(version));
    let max_wait = match request.route.is_retryable() {
        true => MAX_SILENCE.min(time_left),
        false => time_left,
    };
    request.mark_sent();
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
    classify(shared, response).await
}

/// Tells an upstream's answer from what the other box says itself.
async fn classify(
    shared: &SharedState,
    response: OpenResponse,
) -> Result<OpenResponse, SendFailure> {
    let (status, headers) = (response.response.status(), response.response.headers());
    if engine::is_signed(headers) {
        return Ok(response);
    }
    let is_declined = headers.contains_key(DECLINED_HEADER);
    match status {
        _ if is_declined => Err(SendFailure::Declined("cannot serve it either")),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            let refusal = read_failure(shared, response).await;
            Err(refusal.map_or(SendFailure::Lost, SendFailure::Refused))
        }
        // The other box knows another configuration, or the token no more.
        status if status.is_client_error() => Err(SendFailure::Declined("refused the request")),
        _ => Err(SendFailure::Lost),
    }
}

/// Reads the response of a failure; `None` if it breaks off or is too large.
pub async fn read_failure(shared: &SharedState, response: OpenResponse) -> Option<FullResponse> {
    let mut parts = response_head(&response);
    parts.headers = engine::answer_headers(&parts);
    let body = response.response.into_body();
    let budget = &shared.memory.upstreams;
    let body = budget.collect(body, MAX_FAILURE_BYTES).await.ok()?;
    Some(Response::from_parts(parts, body))
}

/// Counts a send through another box, or a request or message of another box.
pub fn count(shared: &SharedState, result: &str) {
    shared.metrics.egress.with_label_values(&[result]).inc();
}
