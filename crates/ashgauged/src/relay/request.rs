//! Requests with their routes, and what the modules that handle them share: their load on
//! upstreams, the outcomes of their sends, and the box's own responses.

use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::attempts::{Attempts, FailureKind, Run, SendOutcome};
use ashgauge::chain::Stage;
use ashgauge::class::Class;
use ashgauge::digest::Digest;
use ashgauge::member::UpstreamId;
use ashgauge::routing::{Access, Route, Service, Team};
use ashgauge::slack::{self, Slack};
use bytes::Bytes;
use http::{Failure, Full};
use http_body_util::{BodyExt, Empty};
use hyper::header::{HeaderName, HeaderValue};
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
use super::reach;
use super::record::Record;
use super::serve::Body;
use super::shared_state::SharedState;
use super::shedding::Admission;
use super::stop::SentMark;

/// Retry delay that callers of a box without a current configuration are given.
pub const RETRY_AFTER_UNSYNCED: Duration = Duration::from_millis(1000);

/// Retry delay that callers of a box that has just started are given. Where 295 boxes start
/// together, nine in ten are synced 0.56 s after their start.
const RETRY_AFTER_START: Duration = Duration::from_millis(300);

/// Time since its start for which a box counts as just started.
const START_PERIOD: Duration = Duration::from_millis(1500);

/// Retry delay if no upstream can take the request.
pub const RETRY_AFTER_FULL: Duration = Duration::from_millis(400);

/// Retry delay if the engines have no capacity: about as long as requests run on the
/// engines, and random, so that callers do not return together.
const RETRY_AFTER_NO_CAPACITY: Range<Duration> =
    Duration::from_millis(1500)..Duration::from_millis(4500);

/// Share of a route's timeout; a request with less time left may be a retry.
const FIRST_TRY_SHARE: f64 = 0.97;

/// Header on the response of a box that cannot serve a request of another box, which may send it
/// through others.
pub const DECLINED_HEADER: HeaderName = HeaderName::from_static("ashgauge-declined");

/// Complete response of an upstream.
pub type FullResponse = Response<Bytes>;

/// A request with its route, service and team.
pub struct RoutedRequest {
    /// Head of the request, as the caller sent it.
    pub head: request::Parts,
    /// Fields that were parsed from the head.
    pub client_request: ClientRequest,
    /// Body of the request.
    pub body: Bytes,
    /// Digest that tells repeats of the request from other requests.
    pub digest: Digest,
    /// Digests of the parts of its prompt that other requests may share, in order.
    pub parts: Vec<Digest>,
    /// Whether an upstream has written so much of an answer that none of the parts crashes
    /// upstreams, which they do as they begin to write.
    pub has_sound_parts: bool,
    /// Whether an upstream sent more than is held of an answer that told no length.
    pub has_large_answer: bool,
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Service that the request goes to.
    pub service: Arc<Service>,
    /// Team that the key belongs to.
    pub team: Option<Arc<Team>>,
    /// Priority class, if the service admits requests by class.
    pub class: Option<Class>,
    /// Counts the request among the admitted ones, if it was admitted by class.
    pub admission: Option<Admission>,
    /// Whether another box sends the request through this one.
    pub is_forwarded: bool,
    /// Log lines and metrics of the request.
    pub record: Record,
}

impl RoutedRequest {
    /// Records a send to a receiver, or to a chain that begins with it.
    pub fn record_send(&mut self, attempts: &mut Attempts, run: Run, to: &str) {
        attempts.record_send(run);
        self.record.runs = attempts.runs().len();
        self.record.sends.push(to.into());
    }

    /// Records that the request is about to be sent, so that it may have run.
    pub fn mark_sent(&self) {
        if let Some(mark) = self.head.extensions.get::<SentMark>() {
            mark.set();
        }
    }

    /// Rank of the request: the priority of its class if the service admits requests by
    /// class, else the rank of its team, else that of its route.
    pub fn rank(&self, shared: &SharedState) -> u32 {
        let routing = shared.routing();
        let priorities = routing.priorities(&self.service.name);
        if let (Some(class), Some(priorities)) = (self.class, priorities) {
            return priorities.engine_priority(class);
        }
        let team_rank = self.team.as_ref().and_then(|t| t.priority);
        team_rank.unwrap_or(self.route.priority)
    }

    /// Whether the request may be a retry: part of the route's timeout has passed.
    pub fn may_be_retry(&self) -> bool {
        let timeout = self.route.timeout;
        self.client_request.timeout.unwrap_or(timeout) < timeout.mul_f64(FIRST_TRY_SHARE)
    }

    /// Whether the request is a retry: more time has passed than callers' own limits
    /// account for.
    pub fn is_retry(&self) -> bool {
        let timeout = self.route.timeout;
        slack::is_retry(self.client_request.timeout.unwrap_or(timeout), timeout)
    }

    /// Slack of the request against its target latency, at its arrival.
    pub fn slack(&self) -> Slack {
        let timeout = self.route.timeout;
        let caller_timeout = self.client_request.timeout.unwrap_or(timeout);
        Slack::before_first_event(caller_timeout, timeout, self.route.target_latency)
    }

    /// Tokens that the request holds at its end.
    pub fn max_tokens(&self) -> u32 {
        self.client_request
            .prompt_tokens
            .saturating_add(self.client_request.answer_tokens)
    }

    /// Mean number of tokens that the request holds while it runs: its prompt and half of
    /// its answer.
    pub fn mean_tokens(&self) -> u32 {
        self.client_request
            .prompt_tokens
            .saturating_add(self.client_request.answer_tokens / 2)
    }
}

/// Records a send that brought no successful answer.
pub async fn note_outcome(
    shared: &Rc<SharedState>,
    request: &RoutedRequest,
    id: &UpstreamId,
    outcome: SendOutcome,
) {
    let label = match outcome {
        SendOutcome::NotSent => "not sent",
        SendOutcome::Withdrawn => "withdrawn",
        SendOutcome::NotRun => "not run",
        SendOutcome::Failed => "failed",
        SendOutcome::Broken => "broken",
        SendOutcome::Lost => "lost",
    };
    shared.metrics.sends.with_label_values(&[label]).inc();
    request
        .record
        .log_step("not answered", json!({"upstream": &**id, "outcome": label}));
    match outcome {
        SendOutcome::NotSent => reach::mark_unreachable(shared, id, "no connection").await,
        SendOutcome::Withdrawn | SendOutcome::NotRun => {}
        // Which engine of a chain was lost is determined where the loss is seen.
        outcome if outcome.is_lost() && !reach::confirm_failure(shared, id).await => {}
        outcome if outcome.is_lost() && request.route.stream.is_some() => {}
        SendOutcome::Failed | SendOutcome::Broken | SendOutcome::Lost => {
            let now = shared.now();
            shared.registry.borrow_mut().record_failure(now, id);
        }
    }
}

/// Counts an answer whose first part has arrived, by whether it is in time for its route.
pub fn count_answer(shared: &SharedState, request: &RoutedRequest) {
    let is_timely = request.record.elapsed() <= request.route.target_latency;
    let result = if is_timely { "in time" } else { "late" };
    shared.metrics.answers.with_label_values(&[result]).inc();
}

/// Whether the request's key is still valid; checked at the moment of sending.
pub fn is_authorized(shared: &SharedState, request: &RoutedRequest) -> bool {
    if request.team.is_none() {
        return true;
    }
    let routing = shared.routing.borrow();
    let access = routing.authorize(&request.route, request.client_request.key.as_deref());
    shared.may_accept_keys() && matches!(access, Access::Team(_))
}

/// Whether the request may be sent at this moment: its key is still valid, and its time is not
/// over. The box may have stood still while it connected.
pub fn may_send(shared: &SharedState, request: &RoutedRequest, attempts: &Attempts) -> bool {
    !attempts.time_left(shared.now()).is_zero() && is_authorized(shared, request)
}

/// Whether the request is quarantined because it, or a part of its prompt, crashes the
/// upstreams that run it.
pub fn is_quarantined(shared: &SharedState, request: &RoutedRequest) -> bool {
    quarantine_left(shared, request).is_some()
}

/// Returns the remaining time of the quarantine of a request, or of a part of its prompt.
fn quarantine_left(shared: &SharedState, request: &RoutedRequest) -> Option<Duration> {
    let (now, quarantine) = (shared.now(), shared.quarantine.borrow());
    let parts = match request.has_sound_parts {
        true => &[][..],
        false => &request.parts,
    };
    let digests = parts.iter().chain([&request.digest]);
    let left = digests.filter_map(|digest| quarantine.time_left(now, *digest));
    left.max()
}

/// Learns from a refusal by an upstream, or by an engine that it names. Returns the one
/// that refused.
///
/// A dead engine of a chain is named in the same way as one without capacity, so an engine
/// that another one names is checked.
pub fn apply_refusal(
    shared: &Rc<SharedState>,
    upstream: &UpstreamId,
    verdict: Verdict,
) -> UpstreamId {
    let (Verdict::Full(addr) | Verdict::Stale(addr)) = &verdict else {
        return upstream.clone();
    };
    let mut registry = shared.registry.borrow_mut();
    let named = addr.as_ref().and_then(|addr| registry.by_addr(addr));
    let id = named.map_or(upstream, |e| &e.upstream.id).clone();
    match &verdict {
        Verdict::Stale(_) => registry.note_stale(shared.now(), &id),
        _ => registry.note_full(shared.now(), &id),
    }
    drop(registry);
    let utilization = shared.memory_utilization(&id);
    if let (Verdict::Full(_), Some(utilization)) = (&verdict, utilization) {
        shared.note_full_refusal(&id, utilization);
    }
    let fields = json!({
        "upstream": &*id,
        "verdict": format!("{verdict:?}"),
        "fullness": utilization,
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
        Failure::Lost(_) => SendOutcome::Broken,
        Failure::Invalid(_) => SendOutcome::Lost,
    }
}

/// Ends a request with the box's own response.
pub fn finish(
    shared: &SharedState,
    mut request: RoutedRequest,
    end: FailureKind,
) -> Response<Body> {
    let is_authorized = is_authorized(shared, &request);
    let (reason, status, retry_after) = match end {
        FailureKind::NotRun if is_authorized => {
            // A caller that returns earlier is refused once more.
            let retry_after = permit::retry_after(shared, &request.service);
            let retry_after = retry_after.or_else(|| shared.backoff_left(&request.service));
            let retry_after = retry_after.unwrap_or(RETRY_AFTER_FULL);
            (
                "not run",
                StatusCode::SERVICE_UNAVAILABLE,
                Some(retry_after),
            )
        }
        FailureKind::NotRun => (
            "unsure",
            StatusCode::SERVICE_UNAVAILABLE,
            Some(unsynced_retry_after(shared)),
        ),
        FailureKind::Unknown => ("unknown", StatusCode::BAD_GATEWAY, None),
        FailureKind::DeadlineExceeded => ("late", StatusCode::GATEWAY_TIMEOUT, None),
    };
    request.record.end(reason);
    let response = own_response(status, Some(&request.client_request), retry_after);
    match request.is_forwarded && end == FailureKind::NotRun {
        true => mark_declined(response),
        false => response,
    }
}

/// Marks the refusal of a request of another box: this one cannot serve it, but others may.
pub fn mark_declined(mut response: Response<Body>) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert(DECLINED_HEADER, HeaderValue::from_static("1"));
    response
}

/// Refuses a request that the engines have no capacity for, and says when they may have
/// some.
pub fn refuse_no_capacity(shared: &SharedState, mut request: RoutedRequest) -> Response<Body> {
    let retry_after = permit::retry_after(shared, &request.service);
    let retry_after =
        retry_after.unwrap_or_else(|| shared.rng().random_range(RETRY_AFTER_NO_CAPACITY));
    request.record.end("no room");
    own_response(
        StatusCode::SERVICE_UNAVAILABLE,
        Some(&request.client_request),
        Some(retry_after),
    )
}

/// Refuses a request that the engines have no time for, and says when they may have some.
pub fn refuse_overload(mut request: RoutedRequest, retry_after: Duration) -> Response<Body> {
    request.record.end("overload");
    own_response(
        StatusCode::SERVICE_UNAVAILABLE,
        Some(&request.client_request),
        Some(retry_after),
    )
}

/// Refuses a quarantined request. Unless it may have run, its caller is told that it has
/// not run and when to try again.
pub fn refuse_quarantined(
    shared: &SharedState,
    mut request: RoutedRequest,
    may_have_run: bool,
) -> Response<Body> {
    request.record.end("held back");
    if may_have_run {
        return own_response(StatusCode::BAD_GATEWAY, Some(&request.client_request), None);
    }
    let left = quarantine_left(shared, &request);
    let retry_after = left.unwrap_or(RETRY_AFTER_FULL);
    own_response(
        StatusCode::SERVICE_UNAVAILABLE,
        Some(&request.client_request),
        Some(retry_after),
    )
}

/// Builds a response of the box itself.
pub fn own_response(
    status: StatusCode,
    client_request: Option<&ClientRequest>,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let id = client_request.map(|request| request.id.as_str());
    response_to(id, status, retry_after)
}

/// Builds a response of the box itself to the attempt `id`.
pub fn response_to(
    id: Option<&str>,
    status: StatusCode,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let answer = ingress::local_response(status, id, retry_after);
    answer.map(|()| Empty::new().map_err(|e| match e {}).boxed_unsync())
}

/// Builds the response for the caller from an upstream's complete response.
pub fn upstream_response(answer: FullResponse) -> Response<Body> {
    answer.map(|body| Full::new(body).map_err(|e| match e {}).boxed_unsync())
}

/// Retry delay of a box that does not know enough to serve.
pub fn unsynced_retry_after(shared: &SharedState) -> Duration {
    match shared.uptime() < START_PERIOD {
        true => RETRY_AFTER_START,
        false => RETRY_AFTER_UNSYNCED,
    }
}

/// Counts a request as load on its upstreams until it is dropped. The first upstream is the
/// one that the request was sent to.
pub struct LoadGuard {
    shared: Rc<SharedState>,
    /// Upstreams, with the memory that the request holds on each one, in tokens times
    /// layers.
    upstreams: Vec<(UpstreamId, u64)>,
}

impl LoadGuard {
    /// Counts a request of `tokens` tokens on the engines of a chain.
    pub fn for_chain(shared: &Rc<SharedState>, stages: &[Stage], tokens: u32) -> Self {
        let memory = |s: &Stage| u64::from(tokens) * u64::from(s.end - s.first);
        let upstreams = stages.iter().map(|s| (s.upstream.clone(), memory(s)));
        LoadGuard::new(shared, upstreams.collect())
    }

    /// Counts a request on a single upstream.
    pub fn for_upstream(shared: &Rc<SharedState>, id: &UpstreamId) -> Self {
        LoadGuard::new(shared, vec![(id.clone(), 0)])
    }

    fn new(shared: &Rc<SharedState>, upstreams: Vec<(UpstreamId, u64)>) -> Self {
        let mut registry = shared.registry.borrow_mut();
        upstreams
            .iter()
            .for_each(|(id, memory)| registry.begin_request(id, *memory));
        if let Some((first, _)) = upstreams.first() {
            registry.begin_head(first);
        }
        drop(registry);
        LoadGuard {
            shared: shared.clone(),
            upstreams,
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
