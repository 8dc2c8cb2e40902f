//! A caller's request: admission, and the sends of a plain service's request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::digest::{self, Digest};
use ashgauge::fresh::startup_wait;
use ashgauge::handoff::{Attempts, Decision, FailureKind, SendOutcome};
use ashgauge::member::UpstreamId;
use ashgauge::routing::{Access, Route, Service, Team};
use bytes::Bytes;
use http::Full;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use platform::engine::{self, Target, Verdict};
use platform::ingress::{self, ClientRequest};
use serde_json::json;
use spdlog::Level;

use super::desk::Desk;
use super::dial;
use super::gate;
use super::log;
use super::loss::{self, Loss};
use super::notice;
use super::permit;
use super::pick::PICKS_MOST;
use super::quarantine;
use super::record::Record;
use super::request::{
    Admitted, BACK_FULL, BACK_UNSURE, Hold, Whole, finish, held_back, is_allowed, is_held, lost,
    note_outcome, own, refused, unsure_time, whole,
};
use super::retry;
use super::serve::Body;
use super::stream;

/// Longest answer of a plain service that is held until it is whole.
const ANSWER_MOST: usize = 16 << 20;

/// Part of the aim after which a repeatable request is given up on an
/// upstream that stays silent.
const SILENT_SHARE: f64 = 0.6;

/// Multiple of an upstream's learned time after which it counts as silent.
const SILENT_FACTOR: f64 = 4.0;

/// Answers one request.
pub async fn handle(desk: Rc<Desk>, request: Request<Incoming>) -> Response<Body> {
    let arrived = desk.now();
    let (head, body) = request.into_parts();
    let ask = match ingress::parse_request(&head) {
        Ok(ask) => ask,
        Err(why) => {
            log::line(Level::Info, "request", "malformed", json!({"why": why}));
            return own(StatusCode::BAD_REQUEST, None, None);
        }
    };
    desk.wait_known(startup_wait(desk.uptime())).await;
    let (route, service, team) = match admit(&desk, &ask) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(&desk, &ask, refusal, arrived),
    };
    let mut record = Record::new(&desk, &ask, &route.name, arrived);
    let held = ask.timeout.unwrap_or(route.timeout).min(route.timeout);
    let until = arrived + held;
    let body = match super::body::read(&desk, body, held).await {
        Ok(body) => body,
        Err((status, why)) => {
            record.end(why);
            let not_run = status == StatusCode::SERVICE_UNAVAILABLE;
            return own(status, Some(&ask), not_run.then_some(BACK_FULL));
        }
    };
    let digest = digest_of(&head, &ask, team.as_deref(), &body);
    record.digest = Some(digest);
    let mut handoff = Attempts::new(until, route.max_attempts, route.is_retryable());
    let mut admitted = Admitted {
        head,
        ask,
        body,
        digest,
        route,
        service,
        team,
        class: None,
        admission: None,
        record,
    };
    admitted.class = gate::class_of(&desk, &admitted);
    admitted.record.class = admitted.class;
    quarantine::settle(&desk, digest).await;
    if is_held(&desk, &admitted) {
        return held_back(&desk, admitted, false);
    }
    desk.budgets.earn(desk.now(), &admitted.service.name);
    match admitted.route.stream {
        Some(rule) => stream::answer(desk, admitted, handoff, rule).await,
        None => send_plain(&desk, admitted, &mut handoff).await,
    }
}

/// The digest of a request; a team's keys count as one caller.
fn digest_of(
    head: &request::Parts,
    ask: &ClientRequest,
    team: Option<&Team>,
    body: &[u8],
) -> Digest {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let key = ask.key.as_deref().unwrap_or_default();
    let caller = team.map_or(key, |t| t.name.as_str());
    digest::request_digest(path, caller, body)
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    /// The box is about to end.
    Stopping,
    /// The box does not know what is in force.
    Unsure,
    /// No route leads there.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The route leads to a service that the configuration does not have.
    NoService,
}

type Way = (Arc<Route>, Arc<Service>, Option<Arc<Team>>);

fn admit(desk: &Desk, ask: &ClientRequest) -> Result<Way, Refusal> {
    let routing = desk.routing();
    if desk.stopped.get() {
        return Err(Refusal::Stopping);
    }
    let sure = desk.fresh.borrow().is_fresh(desk.now());
    if routing.version == 0 {
        return Err(Refusal::Unsure);
    }
    // What a stale configuration lacks may be there by now.
    let or_unsure = |refusal| if sure { refusal } else { Refusal::Unsure };
    let route = routing.find_route(&ask.host, &ask.path);
    let route = route.ok_or(or_unsure(Refusal::NoRoute))?;
    let team = match routing.authorize(route, ask.key.as_deref()) {
        Access::Team(_) if !sure => return Err(Refusal::Unsure),
        Access::Team(team) => Some(team),
        Access::Anonymous => None,
        Access::Denied => return Err(or_unsure(Refusal::NoKey)),
    };
    let service = route.choose_service(&mut *desk.rng());
    let service = service.and_then(|s| routing.services.get(s));
    let service = service.ok_or(Refusal::NoService)?;
    Ok((route.clone(), service.clone(), team))
}

fn refuse(
    desk: &Rc<Desk>,
    ask: &ClientRequest,
    refusal: Refusal,
    arrived: Duration,
) -> Response<Body> {
    let mut record = Record::new(desk, ask, "", arrived);
    let (what, status, after) = match refusal {
        Refusal::Stopping => (
            "stopping",
            StatusCode::SERVICE_UNAVAILABLE,
            Some(Duration::ZERO),
        ),
        Refusal::Unsure => (
            "unsure",
            StatusCode::SERVICE_UNAVAILABLE,
            Some(unsure_time(desk)),
        ),
        Refusal::NoRoute => ("no route", StatusCode::NOT_FOUND, None),
        Refusal::NoKey => ("no key", StatusCode::UNAUTHORIZED, None),
        Refusal::NoService => (
            "no service",
            StatusCode::SERVICE_UNAVAILABLE,
            Some(BACK_UNSURE),
        ),
    };
    record.end(what);
    own(status, Some(ask), after)
}

async fn send_plain(desk: &Rc<Desk>, mut a: Admitted, handoff: &mut Attempts) -> Response<Body> {
    loop {
        if !is_allowed(desk, &a) {
            return finish(desk, a, FailureKind::NotRun);
        }
        quarantine::settle(desk, a.digest).await;
        if is_held(desk, &a) {
            return held_back(desk, a, handoff.may_have_run());
        }
        let Some((id, addr)) = choose(desk, &a, handoff).await else {
            let end = handoff.failure(desk.now());
            return finish(desk, a, end);
        };
        handoff.record_send(id.clone());
        a.record.sends.push(id.clone());
        let began = desk.now();
        let (outcome, answer) = match try_plain(desk, &a, handoff, &id, &addr).await {
            Ok(answer) if !answer.status().is_server_error() => {
                desk.quarantine.borrow_mut().clear_losses(a.digest);
                a.record.end("answered");
                return whole(answer);
            }
            Ok(answer) => (SendOutcome::Failed, Some(answer)),
            Err(outcome) => (outcome, None),
        };
        note_outcome(desk, &a, &id, outcome);
        if outcome == SendOutcome::Lost
            && loss::look(desk, &a, Loss::before_answer(&id, began)).await
        {
            handoff.record_lost();
        }
        match (retry::next(desk, &a, handoff, outcome), answer) {
            (Decision::Resend, _) => {}
            (Decision::Forward, Some(answer)) => {
                a.record.end("failed upstream");
                return whole(answer);
            }
            (Decision::Fail(end), _) => return finish(desk, a, end),
            (Decision::Forward, None) => return finish(desk, a, FailureKind::Unknown),
        }
    }
}

/// Chooses an upstream that takes one more request.
async fn choose(desk: &Desk, a: &Admitted, handoff: &Attempts) -> Option<(UpstreamId, String)> {
    for _ in 0..PICKS_MOST {
        let (id, addr) = desk.choose(&a.service.name, handoff.tried())?;
        if permit::take(desk, &id).await {
            return Some((id, addr));
        }
    }
    None
}

async fn try_plain(
    desk: &Rc<Desk>,
    a: &Admitted,
    handoff: &Attempts,
    id: &UpstreamId,
    addr: &str,
) -> Result<Whole, SendOutcome> {
    let began = desk.now();
    let _hold = Hold::plain(desk, id);
    let connect = Duration::from_millis(desk.settings().timing.connect_ms);
    let line = dial::connect(addr, connect.min(handoff.time_left(began))).await;
    let line = line.map_err(|_| SendOutcome::NotSent)?;
    if !is_allowed(desk, a) {
        return Err(SendOutcome::NotSent);
    }
    let left = handoff.time_left(desk.now());
    let target = Target {
        id,
        chain: None,
        team: a.team.as_ref().map(|t| t.name.as_str()),
        rank: a.rank(desk),
        time_left: left,
        last_event: None,
    };
    notice::check_send(desk, id, &a.ask.id);
    let request = engine::build_request(&a.head, a.body.clone(), &target);
    let limit =
        match a.route.is_retryable() && handoff.tried().len() < a.route.max_attempts as usize {
            true => silence(desk, a, id).min(left),
            false => left,
        };
    let collecting = collect(desk, id, line, request, &a.ask.id);
    let answer = desk.clock.within(limit, collecting).await;
    let (answer, load) = answer.ok_or(SendOutcome::Lost)??;
    let mut roster = desk.roster.borrow_mut();
    if let Some((running, waiting)) = load {
        roster.note_load(id, running, waiting);
    }
    if !answer.status().is_server_error() {
        let now = desk.now();
        roster.record_latency(now, id, now - began);
        desk.metrics.first.observe(a.record.took().as_secs_f64());
    }
    Ok(answer)
}

/// How long a repeatable request waits on a silent upstream.
fn silence(desk: &Desk, a: &Admitted, id: &str) -> Duration {
    let roster = desk.roster.borrow();
    let learned = roster.get(id).map_or(0.0, |e| e.latency_seconds);
    let usual = Duration::from_secs_f64(learned * SILENT_FACTOR);
    a.route.target_latency.mul_f64(SILENT_SHARE).max(usual)
}

type Collected = (Whole, Option<(u32, u32)>);

/// Sends on a fresh connection and reads the whole answer.
async fn collect(
    desk: &Rc<Desk>,
    upstream: &UpstreamId,
    line: dial::Line,
    request: Request<Full<Bytes>>,
    id: &str,
) -> Result<Collected, SendOutcome> {
    let sent = desk.now();
    let exchange = line.send(request).await.map_err(|e| lost(&e))?;
    let (parts, body) = exchange.response.into_parts();
    notice::take(desk, upstream, sent, &parts);
    let load = engine::parse_load(&parts.headers);
    match engine::classify(&parts, id) {
        verdict @ (Verdict::Full(_) | Verdict::Stale(_)) => {
            refused(desk, upstream, verdict);
            return Err(SendOutcome::NotRun);
        }
        Verdict::Foreign => return Err(SendOutcome::Lost),
        Verdict::Answer => {}
    }
    let body = Limited::new(body, ANSWER_MOST).collect().await;
    let body = body.map_err(|_| SendOutcome::Lost)?.to_bytes();
    let mut answer = Response::new(body);
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = engine::answer_headers(&parts);
    Ok((answer, load))
}
