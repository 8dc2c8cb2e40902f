//! A request that was let in, and what the modules that serve it share: how it
//! counts on its upstreams, what came of its sends, the box's own answers.

use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::attempts::{FailureKind, SendOutcome};
use ashgauge::chain::Stage;
use ashgauge::class::Class;
use ashgauge::digest::Digest;
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

use super::log;
use super::permit;
use super::probe;
use super::record::Record;
use super::serve::Body;
use super::shared_state::SharedState;
use super::shedding::Admission;

/// When to come back to a box that does not know its configuration.
pub const RETRY_AFTER_UNSYNCED: Duration = Duration::from_millis(1000);

/// The same for a box that has just started: nine of ten are informed 0.56 s
/// after their start where 295 start together.
const RETRY_AFTER_START: Duration = Duration::from_millis(300);

/// How long after its start a box counts as just started.
const START_PERIOD: Duration = Duration::from_millis(1500);

/// When to come back if no upstream can take the request.
pub const RETRY_AFTER_FULL: Duration = Duration::from_millis(400);

/// When to come back if the engines have no room, at random so that callers do
/// not return together: about as long as requests stay on the engines.
const RETRY_AFTER_NO_CAPACITY: Range<Duration> =
    Duration::from_millis(1500)..Duration::from_millis(4500);

/// A request with less than this part of its route's time left may have been made before.
const FIRST_TRY_SHARE: f64 = 0.97;

/// An upstream's whole answer.
pub type FullResponse = Response<Bytes>;

/// A request that was let in.
pub struct AdmittedRequest {
    /// The request's head, as the caller sent it.
    pub head: request::Parts,
    /// What the head says.
    pub client_request: ClientRequest,
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

impl AdmittedRequest {
    /// The request's rank: the team's, else the route's; where requests are let in by
    /// their class, the order of that.
    pub fn rank(&self, shared: &SharedState) -> u32 {
        let routing = shared.routing();
        let ranks = routing.priorities(&self.service.name);
        if let (Some(class), Some(ranks)) = (self.class, ranks) {
            return ranks.engine_priority(class);
        }
        let team = self.team.as_ref().and_then(|t| t.priority);
        team.unwrap_or(self.route.priority)
    }

    /// Whether its caller may come back: a part of the route's time is gone.
    pub fn may_be_retry(&self) -> bool {
        let timeout = self.route.timeout;
        self.client_request.timeout.unwrap_or(timeout) < timeout.mul_f64(FIRST_TRY_SHARE)
    }

    /// Whether its caller made it before: more time is gone than callers' own limits take.
    pub fn is_retry(&self) -> bool {
        let timeout = self.route.timeout;
        slack::is_retry(self.client_request.timeout.unwrap_or(timeout), timeout)
    }

    /// How the request stands against its aim, at its arrival.
    pub fn slack(&self) -> Slack {
        let timeout = self.route.timeout;
        let patience = self.client_request.timeout.unwrap_or(timeout);
        Slack::before_first_event(patience, timeout, self.route.target_latency)
    }

    /// Tokens that the request holds at its end.
    pub fn max_tokens(&self) -> u32 {
        self.client_request
            .prompt_tokens
            .saturating_add(self.client_request.answer_tokens)
    }

    /// Tokens that the request holds on the average of its time: its prompt and
    /// half of its answer.
    pub fn mean_tokens(&self) -> u32 {
        self.client_request
            .prompt_tokens
            .saturating_add(self.client_request.answer_tokens / 2)
    }
}

/// Notes a send that brought no good answer.
pub fn note_outcome(shared: &SharedState, a: &AdmittedRequest, id: &str, outcome: SendOutcome) {
    let label = match outcome {
        SendOutcome::NotSent => "not sent",
        SendOutcome::NotRun => "not run",
        SendOutcome::Failed => "failed",
        SendOutcome::Lost => "lost",
    };
    shared.metrics.sends.with_label_values(&[label]).inc();
    a.record
        .log_step("not answered", json!({"upstream": id, "outcome": label}));
    match outcome {
        SendOutcome::NotSent => shared.mark_suspect(id, "no connection"),
        SendOutcome::NotRun => {}
        // Which engine of a chain was lost is looked into where it is seen.
        SendOutcome::Lost if a.route.stream.is_some() => {}
        SendOutcome::Failed | SendOutcome::Lost => {
            let now = shared.now();
            shared.registry.borrow_mut().record_failure(now, id);
        }
    }
}

/// Whether the request's key still counts, checked in the moment of sending.
pub fn is_authorized(shared: &SharedState, a: &AdmittedRequest) -> bool {
    if a.team.is_none() {
        return true;
    }
    let routing = shared.routing.borrow();
    let access = routing.authorize(&a.route, a.client_request.key.as_deref());
    shared.freshness.borrow().is_fresh(shared.now()) && matches!(access, Access::Team(_))
}

/// Whether the request is held back, as it ends the upstreams that run it.
pub fn is_quarantined(shared: &SharedState, a: &AdmittedRequest) -> bool {
    let quarantine = shared.quarantine.borrow();
    quarantine.time_left(shared.now(), a.digest).is_some()
}

/// Learns from a refusal of an upstream, or of an engine that it names;
/// returns whose it was.
///
/// An engine of a chain that is dead is named in the same way as one that has
/// no room, so one that another engine names is checked.
pub fn apply_refusal(
    shared: &Rc<SharedState>,
    upstream: &UpstreamId,
    verdict: Verdict,
) -> UpstreamId {
    let (Verdict::Full(at) | Verdict::Stale(at)) = &verdict else {
        return upstream.clone();
    };
    let mut registry = shared.registry.borrow_mut();
    let named = at.as_ref().and_then(|addr| registry.by_addr(addr));
    let id = named.map_or(upstream, |e| &e.upstream.id).clone();
    match &verdict {
        Verdict::Stale(_) => registry.note_stale(shared.now(), &id),
        _ => registry.note_full(shared.now(), &id),
    }
    drop(registry);
    let fullness = shared.fullness(&id);
    if let (Verdict::Full(_), Some(fullness)) = (&verdict, fullness) {
        shared.note_full_refusal(&id, fullness);
    }
    let fields = json!({
        "upstream": &*id,
        "verdict": format!("{verdict:?}"),
        "fullness": fullness,
        "boxes_heard": shared.fleet_load.borrow().boxes(),
    });
    log::event(Level::Info, "request", "refused", fields);
    if id != *upstream {
        tokio::task::spawn_local(probe::check_upstream(shared.clone(), id.clone()));
    }
    id
}

/// What a failure to get an answer means for the request.
pub fn failure_outcome(failure: &Failure) -> SendOutcome {
    match failure {
        Failure::NotSent(_) => SendOutcome::NotSent,
        Failure::Lost(_) => SendOutcome::Lost,
    }
}

/// Ends a request with the box's own answer.
pub fn finish(shared: &SharedState, mut a: AdmittedRequest, end: FailureKind) -> Response<Body> {
    let sure = is_authorized(shared, &a);
    let (what, status, after) = match end {
        FailureKind::NotRun if sure => {
            // Whoever comes back earlier is refused once more.
            let after = permit::retry_after(shared, &a.service);
            let after = after.or_else(|| shared.backoff_left(&a.service));
            let after = after.unwrap_or(RETRY_AFTER_FULL);
            ("not run", StatusCode::SERVICE_UNAVAILABLE, Some(after))
        }
        FailureKind::NotRun => (
            "unsure",
            StatusCode::SERVICE_UNAVAILABLE,
            Some(unsynced_retry_after(shared)),
        ),
        FailureKind::Unknown => ("unknown", StatusCode::BAD_GATEWAY, None),
        FailureKind::DeadlineExceeded => ("late", StatusCode::GATEWAY_TIMEOUT, None),
    };
    a.record.end(what);
    own_response(status, Some(&a.client_request), after)
}

/// Ends a request for which the engines have no room, and says when they may
/// have some.
pub fn refuse_no_capacity(shared: &SharedState, mut a: AdmittedRequest) -> Response<Body> {
    let after = permit::retry_after(shared, &a.service);
    let after = after.unwrap_or_else(|| shared.rng().random_range(RETRY_AFTER_NO_CAPACITY));
    a.record.end("no room");
    own_response(
        StatusCode::SERVICE_UNAVAILABLE,
        Some(&a.client_request),
        Some(after),
    )
}

/// Ends a request for which there is no time at the engines, and says when there may be.
pub fn refuse_overload(mut a: AdmittedRequest, after: Duration) -> Response<Body> {
    a.record.end("overload");
    own_response(
        StatusCode::SERVICE_UNAVAILABLE,
        Some(&a.client_request),
        Some(after),
    )
}

/// Ends a request that is held back. Its caller is told that it has not run, and
/// when it is tried again, unless it may have run.
pub fn refuse_quarantined(
    shared: &SharedState,
    mut a: AdmittedRequest,
    may_have_run: bool,
) -> Response<Body> {
    a.record.end("held back");
    if may_have_run {
        return own_response(StatusCode::BAD_GATEWAY, Some(&a.client_request), None);
    }
    let left = shared.quarantine.borrow().time_left(shared.now(), a.digest);
    let after = left.unwrap_or(RETRY_AFTER_FULL);
    own_response(
        StatusCode::SERVICE_UNAVAILABLE,
        Some(&a.client_request),
        Some(after),
    )
}

/// The box's own answer.
pub fn own_response(
    status: StatusCode,
    ask: Option<&ClientRequest>,
    after: Option<Duration>,
) -> Response<Body> {
    let answer = ingress::local_response(status, ask.map(|a| a.id.as_str()), after);
    answer.map(|()| Empty::new().map_err(|e| match e {}).boxed_unsync())
}

/// An upstream's whole answer for the caller.
pub fn upstream_response(answer: FullResponse) -> Response<Body> {
    answer.map(|body| Full::new(body).map_err(|e| match e {}).boxed_unsync())
}

/// When to come back to a box that does not know enough.
pub fn unsynced_retry_after(shared: &SharedState) -> Duration {
    match shared.uptime() < START_PERIOD {
        true => RETRY_AFTER_START,
        false => RETRY_AFTER_UNSYNCED,
    }
}

/// Counts a request on its upstreams, the first of which it was sent to, until
/// it is dropped.
pub struct LoadGuard {
    shared: Rc<SharedState>,
    /// Upstreams, with the memory that the request holds on each, in tokens
    /// times layers.
    upstreams: Vec<(UpstreamId, u64)>,
}

impl LoadGuard {
    /// Counts a request of so many tokens on the engines of a chain.
    pub fn for_chain(shared: &Rc<SharedState>, stages: &[Stage], tokens: u32) -> Self {
        let memory = |s: &Stage| u64::from(tokens) * u64::from(s.end - s.first);
        let parts = stages.iter().map(|s| (s.upstream.clone(), memory(s)));
        LoadGuard::new(shared, parts.collect())
    }

    /// Counts a request on a plain service's upstream.
    pub fn for_upstream(shared: &Rc<SharedState>, id: &UpstreamId) -> Self {
        LoadGuard::new(shared, vec![(id.clone(), 0)])
    }

    fn new(shared: &Rc<SharedState>, parts: Vec<(UpstreamId, u64)>) -> Self {
        let mut registry = shared.registry.borrow_mut();
        parts
            .iter()
            .for_each(|(id, memory)| registry.begin_request(id, *memory));
        if let Some((first, _)) = parts.first() {
            registry.begin_head(first);
        }
        drop(registry);
        LoadGuard {
            shared: shared.clone(),
            upstreams: parts,
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut registry = self.shared.registry.borrow_mut();
        self.upstreams
            .iter()
            .for_each(|(id, memory)| registry.end_request(id, *memory));
        if let Some((first, _)) = self.upstreams.first() {
            registry.end_head(first);
        }
    }
}
