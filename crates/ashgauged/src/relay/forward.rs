//! Entry point of callers' requests: resolves route, team and service, and sends the
//! requests whose answers are not streams.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::attempts::{Attempts, Decision, FailureKind, Run, SendOutcome};
use ashgauge::digest::{self, Digest};
use ashgauge::freshness::startup_wait;
use ashgauge::member::UpstreamId;
use ashgauge::routing::{Access, Route, Service, Team};
use bytes::Bytes;
use http::Full;
use hyper::body::Incoming;
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use platform::engine::{self, Target, Verdict};
use platform::ingress::{self, ClientRequest};
use serde_json::json;
use spdlog::Level;

use super::dial;
use super::egress::{self, EgressEnd, egress_failure};
use super::liveness;
use super::log;
use super::loss::{self, BrokenRun};
use super::notice;
use super::open::response_head;
use super::permit;
use super::pick::MAX_PICKS;
use super::plain_answer::{self, Fault, PlainAnswer};
use super::probe;
use super::quarantine;
use super::reach;
use super::record::Record;
use super::request::{
    LoadGuard, RETRY_AFTER_FULL, RETRY_AFTER_UNSYNCED, RoutedRequest, apply_refusal, count_answer,
    failure_outcome, finish, is_authorized, is_quarantined, mark_declined, may_send, note_outcome,
    own_response, refuse_quarantined, unsynced_retry_after, upstream_response,
};
use super::retry;
use super::serve::Body;
use super::shared_state::SharedState;
use super::shedding;
use super::stop;
use super::stream;

/// Why an upstream is suspect that sends bytes without end.
pub const ENDLESS: &str = "bytes without end";

/// Share of the target latency after which a retryable request is given up on a silent
/// upstream.
const SILENCE_TARGET_SHARE: f64 = 0.6;

/// Multiple of an upstream's learned latency after which it counts as silent.
const SILENCE_FACTOR: f64 = 4.0;

/// Handles a caller's request.
pub async fn handle(shared: Rc<SharedState>, request: Request<Incoming>) -> Response<Body> {
    handle_from(shared, request, None).await
}

/// Handles a caller's request that another box sends through this one. It may run on at most
/// `max_runs` upstreams.
pub async fn handle_forwarded(
    shared: Rc<SharedState>,
    request: Request<Incoming>,
    max_runs: u32,
) -> Response<Body> {
    handle_from(shared, request, Some(max_runs)).await
}

/// Handles a request; `forwarded_runs` is given if another box sends it through this one.
async fn handle_from(
    shared: Rc<SharedState>,
    request: Request<Incoming>,
    forwarded_runs: Option<u32>,
) -> Response<Body> {
    let arrived = shared.now();
    let (head, body) = request.into_parts();
    let client_request = match ingress::parse_request(&head) {
        Ok(client_request) => client_request,
        Err(reason) => {
            log::event(Level::Info, "request", "malformed", json!({"why": reason}));
            return own_response(StatusCode::BAD_REQUEST, None, None);
        }
    };
    shared.wait_synced(startup_wait(shared.uptime())).await;
    let destination = resolve(&shared, &client_request);
    let destination = destination.and_then(|destination| {
        let timeout = timeout_of(&client_request, &destination.0);
        match stop::can_take(&shared, &destination.0, timeout) {
            true => Ok(destination),
            false => Err(Refusal::Stopping),
        }
    });
    let (route, service, team) = match destination {
        Ok(destination) => destination,
        Err(refusal) => {
            let response = refuse(&shared, &client_request, refusal, arrived);
            return match forwarded_runs {
                Some(_) => mark_declined(response),
                None => response,
            };
        }
    };
    let mut record = Record::new(&shared, &client_request, &route.name, arrived);
    let timeout = timeout_of(&client_request, &route);
    let deadline = arrived + timeout;
    let body = match super::body::read(&shared, body, timeout).await {
        Ok(body) => body,
        Err((status, reason)) => {
            record.end(reason);
            let not_run = status == StatusCode::SERVICE_UNAVAILABLE;
            return own_response(
                status,
                Some(&client_request),
                not_run.then_some(RETRY_AFTER_FULL),
            );
        }
    };
    let digest = digest_of(&head, &client_request, team.as_deref(), &body);
    record.digest = Some(digest);
    let parts = client_request.shared_parts.iter();
    let parts = parts
        .map(|part| digest::part_digest(&service.name, part))
        .collect();
    let max_runs = route.max_attempts.min(forwarded_runs.unwrap_or(u32::MAX));
    let mut attempts = Attempts::new(deadline, max_runs, route.is_retryable());
    let mut admitted = RoutedRequest {
        head,
        client_request,
        body,
        digest,
        parts,
        has_sound_parts: false,
        has_large_answer: false,
        route,
        service,
        team,
        class: None,
        admission: None,
        is_forwarded: forwarded_runs.is_some(),
        record,
    };
    if admitted.is_forwarded && shared.reach.is_cut_off(&admitted.service.name) {
        return finish(&shared, admitted, FailureKind::NotRun);
    }
    admitted.class = shedding::class_of(&shared, &admitted);
    admitted.record.class = admitted.class;
    quarantine::await_checks(&shared, digest).await;
    if is_quarantined(&shared, &admitted) {
        return refuse_quarantined(&shared, admitted, false);
    }
    // The box that the caller sent it to has counted it.
    if !admitted.is_forwarded {
        let budgets = &shared.retry_budgets;
        budgets.earn(shared.now(), &admitted.service.name);
    }
    match admitted.route.stream {
        Some(policy) => stream::handle_stream(shared, admitted, attempts, policy).await,
        None => send_plain(&shared, admitted, &mut attempts).await,
    }
}

/// Returns the longest time for a request.
fn timeout_of(client_request: &ClientRequest, route: &Route) -> Duration {
    let timeout = client_request.timeout.unwrap_or(route.timeout);
    timeout.min(route.timeout)
}

/// Digest of a request; all keys of a team count as one caller.
fn digest_of(
    head: &request::Parts,
    client_request: &ClientRequest,
    team: Option<&Team>,
    body: &[u8],
) -> Digest {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let key = client_request.key.as_deref().unwrap_or_default();
    let caller = team.map_or(key, |t| t.name.as_str());
    digest::request_digest(path, caller, body)
}

/// Why a request is refused before it is sent.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    /// The box is about to end.
    Stopping,
    /// The box does not know which configuration is in force.
    Unsynced,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The route leads to a service that the configuration does not have.
    NoService,
}

/// Route and service of a request, and the team of its key.
type Destination = (Arc<Route>, Arc<Service>, Option<Arc<Team>>);

/// Finds the route, service and team of a request, or the reason to refuse it.
fn resolve(shared: &SharedState, client_request: &ClientRequest) -> Result<Destination, Refusal> {
    let routing = shared.routing();
    if shared.stop.is_stopped.get() {
        return Err(Refusal::Stopping);
    }
    if routing.version == 0 {
        return Err(Refusal::Unsynced);
    }
    // What an old configuration lacks may exist by now.
    let or_unsynced = |refusal| match shared.is_config_current() {
        true => refusal,
        false => Refusal::Unsynced,
    };
    let route = routing.find_route(&client_request.host, &client_request.path);
    let route = route.ok_or(or_unsynced(Refusal::NoRoute))?;
    let team = match routing.authorize(route, client_request.key.as_deref()) {
        Access::Team(_) if !shared.may_accept_keys() => return Err(Refusal::Unsynced),
        Access::Team(team) => Some(team),
        Access::Anonymous => None,
        Access::Denied => return Err(or_unsynced(Refusal::NoKey)),
    };
    let service = route.choose_service(&mut *shared.rng());
    let service = service.and_then(|s| routing.services.get(s));
    let service = service.ok_or(Refusal::NoService)?;
    Ok((route.clone(), service.clone(), team))
}

/// Builds the response to a refused request, and records its end.
fn refuse(
    shared: &Rc<SharedState>,
    client_request: &ClientRequest,
    refusal: Refusal,
    arrived: Duration,
) -> Response<Body> {
    let mut record = Record::new(shared, client_request, "", arrived);
    let (reason, status, retry_after) = match refusal {
        Refusal::Stopping => (
            "stopping",
            StatusCode::SERVICE_UNAVAILABLE,
            Some(Duration::ZERO),
        ),
        Refusal::Unsynced => (
            "unsure",
            StatusCode::SERVICE_UNAVAILABLE,
            Some(unsynced_retry_after(shared)),
        ),
        Refusal::NoRoute => ("no route", StatusCode::NOT_FOUND, None),
        Refusal::NoKey => ("no key", StatusCode::UNAUTHORIZED, None),
        Refusal::NoService => (
            "no service",
            StatusCode::SERVICE_UNAVAILABLE,
            Some(RETRY_AFTER_UNSYNCED),
        ),
    };
    record.end(reason);
    own_response(status, Some(client_request), retry_after)
}

/// Sends a request whose answer is not a stream, as often as its route and the retry budget
/// allow.
async fn send_plain(
    shared: &Rc<SharedState>,
    mut request: RoutedRequest,
    attempts: &mut Attempts,
) -> Response<Body> {
    let mut leaves_box = false;
    loop {
        if !is_authorized(shared, &request) {
            return finish(shared, request, FailureKind::NotRun);
        }
        quarantine::await_checks(shared, request.digest).await;
        if is_quarantined(shared, &request) {
            return refuse_quarantined(shared, request, attempts.may_have_run());
        }
        if leaves_box || egress::is_needed(shared, &request) {
            let failure = match egress::send_plain(shared, &mut request, attempts).await {
                Ok(answer) => {
                    let deadline = attempts.deadline();
                    return plain_answer::respond(shared, request, answer, deadline);
                }
                Err(failure) => failure,
            };
            match egress_failure(shared, &mut request, attempts, failure).await {
                EgressEnd::Resend => continue,
                EgressEnd::Forward(response) => {
                    request.record.end("not served through another box");
                    return upstream_response(response);
                }
                EgressEnd::Fail(end) => return finish(shared, request, end),
            }
        }
        let Some((id, addr)) = choose_upstream(shared, &request, attempts).await else {
            if egress::is_promising(shared, &request) {
                leaves_box = true;
                continue;
            }
            let end = attempts.failure(shared.now());
            return finish(shared, request, end);
        };
        let instance = liveness::instance_of(shared, &id);
        request.record_send(attempts, Run::new(id.clone(), instance), &id);
        let began = shared.now();
        let (outcome, answer) = match send_once(shared, &mut request, attempts, &id, &addr).await {
            Ok(answer) if !answer.status().is_server_error() => {
                quarantine::note_sound(shared, &request);
                return plain_answer::respond(shared, request, answer, attempts.deadline());
            }
            Ok(answer) => (SendOutcome::Failed, Some(answer)),
            Err(outcome) => (outcome, None),
        };
        note_outcome(shared, &request, &id, outcome).await;
        if outcome == SendOutcome::NotSent && egress::is_needed(shared, &request) {
            attempts.retract_send();
            continue;
        }
        if outcome.is_lost() {
            loss::check_loss(shared, &request, BrokenRun::before_answer(&id, began)).await;
        }
        let next = retry::next_step(shared, &mut request, attempts, outcome).await;
        match (next, answer) {
            (Decision::Resend, _) => {}
            (Decision::Forward, Some(answer)) => {
                return plain_answer::respond(shared, request, answer, attempts.deadline());
            }
            (Decision::Fail(FailureKind::NotRun), _)
                if outcome == SendOutcome::NotSent && egress::is_promising(shared, &request) =>
            {
                leaves_box = true;
            }
            (Decision::Fail(end), _) => return finish(shared, request, end),
            (Decision::Forward, None) => return finish(shared, request, FailureKind::Unknown),
        }
    }
}

/// Chooses an upstream and takes the permit that it may need.
async fn choose_upstream(
    shared: &SharedState,
    request: &RoutedRequest,
    attempts: &Attempts,
) -> Option<(UpstreamId, String)> {
    for _ in 0..MAX_PICKS {
        let (id, addr) = shared.choose_upstream(&request.service.name, attempts.tried())?;
        if permit::acquire(shared, &id).await {
            return Some((id, addr));
        }
    }
    None
}

/// Sends such a request to one upstream and waits for the answer, up to what is held of one.
async fn send_once(
    shared: &Rc<SharedState>,
    request: &mut RoutedRequest,
    attempts: &Attempts,
    id: &UpstreamId,
    addr: &str,
) -> Result<PlainAnswer, SendOutcome> {
    let began = shared.now();
    let load_guard = LoadGuard::for_upstream(shared, id);
    let connect_timeout = Duration::from_millis(shared.settings().timing.connect_ms);
    let connection = dial::connect(addr, connect_timeout.min(attempts.time_left(began))).await;
    let connection = connection.map_err(|_| SendOutcome::NotSent)?;
    if !may_send(shared, request, attempts) {
        return Err(SendOutcome::Withdrawn);
    }
    let time_left = attempts.time_left(shared.now());
    let target = Target {
        id,
        chain: None,
        team: request.team.as_ref().map(|t| t.name.as_str()),
        rank: request.rank(shared),
        time_left,
        last_event: None,
    };
    notice::count_send(shared, id, &request.client_request.id);
    request.mark_sent();
    let outgoing = engine::build_request(&request.head, request.body.clone(), &target);
    let time_limit = match request.route.is_retryable()
        && attempts.tried().len() < request.route.max_attempts as usize
    {
        true => silence_timeout(shared, request, id).min(time_left),
        false => time_left,
    };
    let receiving = receive_answer(shared, request, id, connection, outgoing);
    let answer = shared.clock.within(time_limit, receiving).await;
    let (answer, load) = answer.ok_or(SendOutcome::Lost)??;
    let mut registry = shared.registry.borrow_mut();
    if let Some((running, waiting)) = load {
        registry.note_load(id, running, waiting);
    }
    if !answer.status().is_server_error() {
        count_answer(shared, request);
        let now = shared.now();
        registry.record_latency(now, id, now - began);
        shared
            .metrics
            .first_seconds
            .observe(request.record.elapsed().as_secs_f64());
    }
    drop(registry);
    Ok(answer.on_upstream(id, load_guard))
}

/// Time that a retryable request waits on a silent upstream.
fn silence_timeout(shared: &SharedState, request: &RoutedRequest, id: &str) -> Duration {
    let registry = shared.registry.borrow();
    let latency = registry.get(id).map_or(0.0, |e| e.latency_seconds);
    let latency_limit = Duration::from_secs_f64(latency * SILENCE_FACTOR);
    request
        .route
        .target_latency
        .mul_f64(SILENCE_TARGET_SHARE)
        .max(latency_limit)
}

/// An answer, and the upstream's running and waiting requests if it names them.
type ReceivedAnswer = (PlainAnswer, Option<(u32, u32)>);

/// Sends the request on a new connection and receives the answer.
async fn receive_answer(
    shared: &Rc<SharedState>,
    request: &mut RoutedRequest,
    upstream: &UpstreamId,
    connection: dial::Connection,
    outgoing: Request<Full<Bytes>>,
) -> Result<ReceivedAnswer, SendOutcome> {
    let service = request.service.clone();
    let sent = shared.now();
    let response = connection.send(outgoing).await.map_err(|e| {
        if e.is_endless() {
            shared.mark_suspect(upstream, ENDLESS);
        }
        failure_outcome(&e)
    })?;
    reach::note_reached(shared, &service.name, sent);
    let parts = response_head(&response);
    notice::apply(shared, upstream, sent, &parts);
    let load = engine::parse_load(&parts.headers);
    match engine::classify(&parts, &request.client_request.id) {
        verdict @ (Verdict::Full(_) | Verdict::Stale(_)) => {
            apply_refusal(shared, upstream, verdict);
            return Err(SendOutcome::NotRun);
        }
        Verdict::Foreign => return Err(SendOutcome::Lost),
        Verdict::Answer => {}
    }
    let is_known = shared.large_answers.borrow().contains(&service.name);
    let may_be_large = is_known || request.has_large_answer;
    let answer = match plain_answer::receive(shared, response, may_be_large).await {
        Ok(answer) => answer,
        Err(Fault::Broken) => return Err(SendOutcome::Broken),
        Err(Fault::Endless) => {
            // Another upstream that sends as much shows that the answer is large.
            request.has_large_answer = true;
            shared.mark_suspect(upstream, ENDLESS);
            return Err(SendOutcome::Lost);
        }
    };
    let is_whole = matches!(answer, PlainAnswer::Whole(_));
    if is_whole
        && !engine::is_framed(&parts.headers)
        && probe::is_gone(shared, &service, upstream).await
    {
        return Err(SendOutcome::Lost);
    }
    Ok((answer, load))
}
