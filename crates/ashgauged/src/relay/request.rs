//! A request that was let in, and what the modules that serve it share: how it
//! counts on its upstreams, what came of its sends, the box's own answers.

use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::chain::Stage;
use ashgauge::class::Class;
use ashgauge::digest::Digest;
use ashgauge::handoff::{FailureKind, SendOutcome};
use ashgauge::member::UpstreamId;
use ashgauge::routing::{Access, Route, Service, Team};
use ashgauge::slack::{self, Slack};
use bytes::Bytes;
use http::{Failure, Full};
use http_body_util::{BodyExt, Empty};
use hyper::http::request;
use hyper::{Response, StatusCode};
use platform::engine::Verdict;
use platform::ingress::{self, ClientRequest};
use rand::Rng;
use serde_json::json;
use spdlog::Level;

use super::desk::Desk;
use super::gate::Admission;
use super::log;
use super::permit;
use super::probe;
use super::record::Record;
use super::serve::Body;

/// When to come back to a box that does not know its configuration.
pub const BACK_UNSURE: Duration = Duration::from_millis(1000);

/// The same for a box that has just started: nine of ten are informed 0.56 s
/// after their start where 295 start together.
const BACK_STARTED: Duration = Duration::from_millis(300);

/// How long after its start a box counts as just started.
const STARTED_TIME: Duration = Duration::from_millis(1500);

/// When to come back if no upstream can take the request.
pub const BACK_FULL: Duration = Duration::from_millis(400);

/// When to come back if the engines have no room, at random so that callers do
/// not return together: about as long as requests stay on the engines.
const BACK_ROOM: Range<Duration> = Duration::from_millis(1500)..Duration::from_millis(4500);

/// A request with less than this part of its route's time left may have been made before.
const FIRST_PART: f64 = 0.97;

/// An upstream's whole answer.
pub type Whole = Response<Bytes>;

/// A request that was let in.
pub struct Admitted {
    /// The request's head, as the caller sent it.
    pub head: request::Parts,
    /// What the head says.
    pub ask: ClientRequest,
    /// Its body.
    pub body: Bytes,
    /// Tells repeats of it from other requests.
    pub digest: Digest,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: Arc<Service>,
    /// The key's team.
    pub team: Option<Arc<Team>>,
    /// Its priority class, if the service lets requests in by those.
    pub class: Option<Class>,
    /// Counts it among what was let in, if so.
    pub admission: Option<Admission>,
    /// What it came to.
    pub record: Record,
}

impl Admitted {
    /// The request's rank: the team's, else the route's; where requests are let in by
    /// their class, the order of that.
    pub fn rank(&self, desk: &Desk) -> u32 {
        let routing = desk.routing();
        let ranks = routing.priorities(&self.service.name);
        if let (Some(class), Some(ranks)) = (self.class, ranks) {
            return ranks.priority(class);
        }
        let team = self.team.as_ref().and_then(|t| t.priority);
        team.unwrap_or(self.route.priority)
    }

    /// Whether its caller may come back: a part of the route's time is gone.
    pub fn is_back(&self) -> bool {
        let timeout = self.route.timeout;
        self.ask.timeout.unwrap_or(timeout) < timeout.mul_f64(FIRST_PART)
    }

    /// Whether its caller made it before: more time is gone than callers' own limits take.
    pub fn is_repeat(&self) -> bool {
        let timeout = self.route.timeout;
        slack::is_retry(self.ask.timeout.unwrap_or(timeout), timeout)
    }

    /// How the request stands against its aim, at its arrival.
    pub fn slack(&self) -> Slack {
        let timeout = self.route.timeout;
        let patience = self.ask.timeout.unwrap_or(timeout);
        Slack::before_first_event(patience, timeout, self.route.target_latency)
    }

    /// Tokens that the request holds at its end.
    pub fn most_tokens(&self) -> u32 {
        self.ask
            .prompt_tokens
            .saturating_add(self.ask.answer_tokens)
    }

    /// Tokens that the request holds on the average of its time: its prompt and
    /// half of its answer.
    pub fn usual_tokens(&self) -> u32 {
        self.ask
            .prompt_tokens
            .saturating_add(self.ask.answer_tokens / 2)
    }
}

/// Notes a send that brought no good answer.
pub fn note_outcome(desk: &Desk, a: &Admitted, id: &str, outcome: SendOutcome) {
    let label = match outcome {
        SendOutcome::NotSent => "not sent",
        SendOutcome::NotRun => "not run",
        SendOutcome::Failed => "failed",
        SendOutcome::Lost => "lost",
    };
    desk.metrics.sends.with_label_values(&[label]).inc();
    a.record
        .step("not answered", json!({"upstream": id, "outcome": label}));
    match outcome {
        SendOutcome::NotSent => desk.suspect(id, "no connection"),
        SendOutcome::NotRun => {}
        // Which engine of a chain was lost is looked into where it is seen.
        SendOutcome::Lost if a.route.stream.is_some() => {}
        SendOutcome::Failed | SendOutcome::Lost => {
            let now = desk.now();
            desk.roster.borrow_mut().record_failure(now, id);
        }
    }
}

/// Whether the request's key still counts, checked in the moment of sending.
pub fn is_allowed(desk: &Desk, a: &Admitted) -> bool {
    if a.team.is_none() {
        return true;
    }
    let routing = desk.routing.borrow();
    let access = routing.authorize(&a.route, a.ask.key.as_deref());
    desk.fresh.borrow().is_fresh(desk.now()) && matches!(access, Access::Team(_))
}

/// Whether the request is held back, as it ends the upstreams that run it.
pub fn is_held(desk: &Desk, a: &Admitted) -> bool {
    let quarantine = desk.quarantine.borrow();
    quarantine.time_left(desk.now(), a.digest).is_some()
}

/// Learns from a refusal of an upstream, or of an engine that it names;
/// returns whose it was.
///
/// An engine of a chain that is dead is named in the same way as one that has
/// no room, so one that another engine names is checked.
pub fn refused(desk: &Rc<Desk>, upstream: &UpstreamId, verdict: Verdict) -> UpstreamId {
    let (Verdict::Full(at) | Verdict::Stale(at)) = &verdict else {
        return upstream.clone();
    };
    let mut roster = desk.roster.borrow_mut();
    let named = at.as_ref().and_then(|addr| roster.by_addr(addr));
    let id = named.map_or(upstream, |e| &e.upstream.id).clone();
    match &verdict {
        Verdict::Stale(_) => roster.note_stale(desk.now(), &id),
        _ => roster.note_full(desk.now(), &id),
    }
    drop(roster);
    let fullness = desk.fullness(&id);
    if let (Verdict::Full(_), Some(fullness)) = (&verdict, fullness) {
        desk.note_refused(&id, fullness);
    }
    let fields = json!({
        "upstream": &*id,
        "verdict": format!("{verdict:?}"),
        "fullness": fullness,
        "boxes_heard": desk.shares.borrow().boxes(),
    });
    log::line(Level::Info, "request", "refused", fields);
    if id != *upstream {
        tokio::task::spawn_local(probe::check(desk.clone(), id.clone()));
    }
    id
}

/// What a failure to get an answer means for the request.
pub fn lost(failure: &Failure) -> SendOutcome {
    match failure {
        Failure::NotSent(_) => SendOutcome::NotSent,
        Failure::Lost(_) => SendOutcome::Lost,
    }
}

/// Ends a request with the box's own answer.
pub fn finish(desk: &Desk, mut a: Admitted, end: FailureKind) -> Response<Body> {
    let sure = is_allowed(desk, &a);
    let (what, status, after) = match end {
        FailureKind::NotRun if sure => {
            // Whoever comes back earlier is refused once more.
            let after = permit::back_after(desk, &a.service);
            let after = after.or_else(|| desk.rest_left(&a.service));
            let after = after.unwrap_or(BACK_FULL);
            ("not run", StatusCode::SERVICE_UNAVAILABLE, Some(after))
        }
        FailureKind::NotRun => (
            "unsure",
            StatusCode::SERVICE_UNAVAILABLE,
            Some(unsure_time(desk)),
        ),
        FailureKind::Unknown => ("unknown", StatusCode::BAD_GATEWAY, None),
        FailureKind::DeadlineExceeded => ("late", StatusCode::GATEWAY_TIMEOUT, None),
    };
    a.record.end(what);
    own(status, Some(&a.ask), after)
}

/// Ends a request for which the engines have no room, and says when they may
/// have some.
pub fn no_room(desk: &Desk, mut a: Admitted) -> Response<Body> {
    let after = permit::back_after(desk, &a.service);
    let after = after.unwrap_or_else(|| desk.rng().random_range(BACK_ROOM));
    a.record.end("no room");
    own(StatusCode::SERVICE_UNAVAILABLE, Some(&a.ask), Some(after))
}

/// Ends a request for which there is no time at the engines, and says when there may be.
pub fn shed(mut a: Admitted, after: Duration) -> Response<Body> {
    a.record.end("overload");
    own(StatusCode::SERVICE_UNAVAILABLE, Some(&a.ask), Some(after))
}

/// Ends a request that is held back. Its caller is told that it has not run, and
/// when it is tried again, unless it may have run.
pub fn held_back(desk: &Desk, mut a: Admitted, may_have_run: bool) -> Response<Body> {
    a.record.end("held back");
    if may_have_run {
        return own(StatusCode::BAD_GATEWAY, Some(&a.ask), None);
    }
    let left = desk.quarantine.borrow().time_left(desk.now(), a.digest);
    let after = left.unwrap_or(BACK_FULL);
    own(StatusCode::SERVICE_UNAVAILABLE, Some(&a.ask), Some(after))
}

/// The box's own answer.
pub fn own(
    status: StatusCode,
    ask: Option<&ClientRequest>,
    after: Option<Duration>,
) -> Response<Body> {
    let answer = ingress::local_response(status, ask.map(|a| a.id.as_str()), after);
    answer.map(|()| Empty::new().map_err(|e| match e {}).boxed_unsync())
}

/// An upstream's whole answer for the caller.
pub fn whole(answer: Whole) -> Response<Body> {
    answer.map(|body| Full::new(body).map_err(|e| match e {}).boxed_unsync())
}

/// When to come back to a box that does not know enough.
pub fn unsure_time(desk: &Desk) -> Duration {
    match desk.uptime() < STARTED_TIME {
        true => BACK_STARTED,
        false => BACK_UNSURE,
    }
}

/// Counts a request on its upstreams, the first of which it was sent to, until
/// it is dropped.
pub struct Hold {
    desk: Rc<Desk>,
    /// Upstreams, with the memory that the request holds on each, in tokens
    /// times layers.
    parts: Vec<(UpstreamId, u64)>,
}

impl Hold {
    /// Counts a request of so many tokens on the engines of a chain.
    pub fn chain(desk: &Rc<Desk>, stages: &[Stage], tokens: u32) -> Self {
        let memory = |s: &Stage| u64::from(tokens) * u64::from(s.end - s.first);
        let parts = stages.iter().map(|s| (s.upstream.clone(), memory(s)));
        Hold::new(desk, parts.collect())
    }

    /// Counts a request on a plain service's upstream.
    pub fn plain(desk: &Rc<Desk>, id: &UpstreamId) -> Self {
        Hold::new(desk, vec![(id.clone(), 0)])
    }

    fn new(desk: &Rc<Desk>, parts: Vec<(UpstreamId, u64)>) -> Self {
        let mut roster = desk.roster.borrow_mut();
        parts
            .iter()
            .for_each(|(id, memory)| roster.begin_request(id, *memory));
        if let Some((first, _)) = parts.first() {
            roster.begin_head(first);
        }
        drop(roster);
        Hold {
            desk: desk.clone(),
            parts,
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut roster = self.desk.roster.borrow_mut();
        self.parts
            .iter()
            .for_each(|(id, memory)| roster.end_request(id, *memory));
        if let Some((first, _)) = self.parts.first() {
            roster.end_head(first);
        }
    }
}
