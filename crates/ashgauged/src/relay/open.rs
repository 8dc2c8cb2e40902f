//! Start of a stream: sends the request over a chosen chain and waits for the head of the
//! answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::attempts::{self, Attempts, SendOutcome};
use ashgauge::chain::Stage;
use ashgauge::member::UpstreamId;
use ashgauge::silence::next_wait;
use ashgauge::slack::{self, Slack};
use bytes::Bytes;
use hyper::Response;
use hyper::http::response;
use platform::engine::{self, Target, Verdict};

use super::dial::{self, OpenResponse};
use super::egress;
use super::forecast::{self, Estimate};
use super::forward::ENDLESS;
use super::liveness;
use super::loss::SuspectRun;
use super::notice;
use super::pick::ChosenChain;
use super::probe::{find_unreachable, query_engines};
use super::reach;
use super::recovery;
use super::request::{LoadGuard, RoutedRequest, apply_refusal, failure_outcome, may_send};
use super::shared_state::SharedState;

/// Silence after which a stream continues elsewhere though all its engines answer; its
/// caller leaves after two seconds.
pub const MAX_SILENCE: Duration = Duration::from_millis(1300);

/// A running stream, and the chain that it runs on.
pub struct Run {
    /// Engines of the chain, with their layers; empty if the run is on another box.
    pub stages: Vec<Stage>,
    /// Address of the first engine, or of the other box.
    pub first_addr: String,
    /// Box through which the run goes, if it goes through another one.
    pub helper: Option<SocketAddr>,
    /// The response whose body is being received.
    pub response: OpenResponse,
    /// When the head of the answer arrived.
    pub head_at: Duration,
    /// Number of complete events received.
    pub event_count: u64,
    /// When the first event arrived.
    pub first_event: Option<Duration>,
    /// Whether the run has shown that the request does not crash its upstream.
    pub proven_safe: bool,
    /// Whether the run has shown that no part of the prompt crashes its upstream.
    pub parts_sound: bool,
    /// Forecast for the run, if its service admits streams by class.
    pub estimate: Option<Estimate>,
    /// Marks the run as suspect until it is proven safe, if upstreams were lost under the
    /// request.
    pub suspect_run: Option<SuspectRun>,
    /// Counts the stream as load on its engines.
    pub load_guard: LoadGuard,
}

impl Run {
    /// Time from the first event to the last one, which came at `last`.
    pub fn writing_time(&self, last: Duration) -> Duration {
        let first = self.first_event.unwrap_or(last);
        last.saturating_sub(first)
    }

    /// First engine of the chain; `None` if the run is on another box.
    pub fn first_engine(&self) -> Option<&UpstreamId> {
        self.stages.first().map(|stage| &stage.upstream)
    }
}

/// A send that brought no answer to forward as a stream.
pub struct FailedSend {
    /// How the send ended.
    pub outcome: SendOutcome,
    /// Engine that the request was sent to.
    pub upstream: UpstreamId,
    /// The engine's own error response, if it sent one.
    pub error_response: Option<Response<Bytes>>,
}

/// Copies the head of a response.
pub fn response_head(response: &OpenResponse) -> response::Parts {
    let mut head = Response::new(());
    *head.status_mut() = response.response.status();
    *head.headers_mut() = response.response.headers().clone();
    head.into_parts().0
}

/// Sends the request over a chosen chain and waits for the head of the answer, which
/// continues after event `last_event`.
pub async fn start_run(
    shared: &Rc<SharedState>,
    request: &mut RoutedRequest,
    attempts: &mut Attempts,
    avoid: &mut Vec<UpstreamId>,
    last_event: Option<u64>,
    chosen: ChosenChain,
) -> Result<Run, FailedSend> {
    let ChosenChain {
        stages,
        encoded,
        first_addr,
    } = chosen;
    let estimate = forecast::estimate(shared, request, &stages);
    if let Some(estimate) = &estimate {
        request.record.note_forecast(estimate.first_event);
    }
    note_expected_load(shared, request, &stages);
    let first_engine = stages[0].upstream.clone();
    let failed = |outcome| FailedSend {
        outcome,
        upstream: first_engine.clone(),
        error_response: None,
    };
    let instance = liveness::instance_of(shared, &first_engine);
    let run = attempts::Run::new(first_engine.clone(), instance);
    request.record_send(attempts, run, encoded.as_deref().unwrap_or(&first_engine));
    let load_guard = LoadGuard::for_chain(shared, &stages, request.mean_tokens());
    let suspect_run = SuspectRun::begin(shared, request, &first_engine);
    let connect_timeout = Duration::from_millis(shared.settings().timing.connect_ms);
    let connection = dial::connect(
        &first_addr,
        connect_timeout.min(attempts.time_left(shared.now())),
    )
    .await;
    let connection = connection.map_err(|e| failed(failure_outcome(&e)))?;
    if !may_send(shared, request, attempts) {
        return Err(failed(SendOutcome::Withdrawn));
    }
    let target = Target {
        id: &first_engine,
        chain: encoded.as_deref(),
        team: request.team.as_ref().map(|t| t.name.as_str()),
        rank: slack::engine_priority(request.rank(shared), slack_of(request, last_event)),
        time_left: attempts.time_left(shared.now()),
        last_event,
    };
    notice::count_send(shared, &first_engine, &request.client_request.id);
    request.mark_sent();
    let outgoing = engine::build_request(&request.head, request.body.clone(), &target);
    let sent = shared.now();
    let sending = connection.send(outgoing);
    let wait = head_timeout(shared, estimate.as_ref());
    let response = await_head(shared, request, &stages, sending, attempts, avoid, wait).await;
    let response = response.map_err(failed)?;
    let parts = response_head(&response);
    notice::apply(shared, &first_engine, sent, &parts);
    match engine::classify(&parts, &request.client_request.id) {
        Verdict::Answer if parts.status.is_success() => {}
        Verdict::Answer => {
            avoid.push(first_engine.clone());
            let error_response = egress::read_failure(shared, response).await;
            let outcome = match &error_response {
                Some(_) => SendOutcome::Failed,
                None => SendOutcome::Lost,
            };
            return Err(FailedSend {
                outcome,
                upstream: first_engine,
                error_response,
            });
        }
        verdict @ (Verdict::Full(_) | Verdict::Stale(_)) => {
            avoid.push(apply_refusal(shared, &first_engine, verdict));
            return Err(failed(SendOutcome::NotRun));
        }
        Verdict::Foreign => return Err(failed(SendOutcome::Lost)),
    }
    Ok(Run {
        stages,
        first_addr,
        helper: None,
        response,
        head_at: shared.now(),
        event_count: 0,
        first_event: None,
        proven_safe: false,
        parts_sound: false,
        estimate,
        suspect_run,
        load_guard,
    })
}

/// Sends the request through another box and waits for the head of the answer, which continues
/// after event `last_event`.
pub async fn start_run_elsewhere(
    shared: &Rc<SharedState>,
    request: &mut RoutedRequest,
    attempts: &mut Attempts,
    last_event: Option<u64>,
) -> Result<Run, egress::Failure> {
    let (addr, response) = egress::send(shared, request, attempts, last_event).await?;
    if !response.response.status().is_success() {
        let time_left = attempts.time_left(shared.now());
        let reading = egress::read_failure(shared, response);
        let failed = shared.clock.within(time_left, reading).await.flatten();
        return Err(failed.map_or(egress::Failure::Lost, egress::Failure::Failed));
    }
    Ok(Run {
        stages: Vec::new(),
        first_addr: addr.to_string(),
        helper: Some(addr),
        response,
        head_at: shared.now(),
        event_count: 0,
        first_event: None,
        proven_safe: false,
        parts_sound: false,
        estimate: None,
        suspect_run: None,
        load_guard: LoadGuard::for_chain(shared, &[], 0),
    })
}

/// Slack of a request, which continues after event `last_event` if there is one.
fn slack_of(request: &RoutedRequest, last_event: Option<u64>) -> Slack {
    match last_event {
        Some(_) => Slack::Streaming,
        None => request.slack(),
    }
}

/// Records the load that a request will put on its chain.
fn note_expected_load(shared: &SharedState, request: &RoutedRequest, stages: &[Stage]) {
    if let Some(model) = request.service.model.as_ref().filter(|m| m.layers > 0) {
        shared.note_transfers(model, stages, request.max_tokens());
        shared.note_prefill(
            model,
            &request.service.name,
            stages.iter(),
            request.client_request.prompt_tokens,
        );
    }
}

/// Time to wait for the head of an answer before the engines are checked.
fn head_timeout(shared: &SharedState, estimate: Option<&Estimate>) -> Duration {
    let min_wait = Duration::from_millis(shared.settings().timing.first_ms);
    estimate.map_or(min_wait, |e| e.silence_limit(min_wait))
}

/// Waits for the head of an answer. If it is late, checks the chain's engines, first after
/// `wait`.
async fn await_head(
    shared: &Rc<SharedState>,
    request: &RoutedRequest,
    stages: &[Stage],
    sending: impl Future<Output = Result<OpenResponse, ::http::Failure>>,
    attempts: &Attempts,
    avoid: &mut Vec<UpstreamId>,
    mut wait: Duration,
) -> Result<OpenResponse, SendOutcome> {
    tokio::pin!(sending);
    let first_engine = &stages[0].upstream;
    let sent_at = shared.now();
    loop {
        let time_left = attempts.time_left(shared.now());
        let head = shared
            .clock
            .within(wait.min(time_left), sending.as_mut())
            .await;
        if let Some(result) = head {
            let now = shared.now();
            let mut registry = shared.registry.borrow_mut();
            return match result {
                Ok(response) => {
                    reach::note_reached(shared, &request.service.name, sent_at);
                    registry.record_latency(now, first_engine, now - sent_at);
                    Ok(response)
                }
                Err(failure) => {
                    let outcome = failure_outcome(&failure);
                    registry.record_failure(now, first_engine);
                    if outcome == SendOutcome::Broken {
                        registry.note_broken_run(now, first_engine);
                    }
                    drop(registry);
                    if failure.is_endless() {
                        shared.mark_suspect(first_engine, ENDLESS);
                    }
                    avoid.push(first_engine.clone());
                    Err(outcome)
                }
            };
        }
        let waited = shared.now() - sent_at;
        let mut faulty = find_unreachable(shared, request, stages, Duration::ZERO).await;
        if faulty.is_empty() {
            faulty.extend(query_engines(shared, request, stages).await);
        }
        if attempts.time_left(shared.now()).is_zero() {
            return Err(SendOutcome::Lost);
        }
        let is_late = waited >= MAX_SILENCE;
        if !faulty.is_empty() || (is_late && recovery::has_budget(shared, request)) {
            for id in &faulty {
                reach::mark_unreachable(shared, id, "holds up its chain").await;
            }
            if faulty.is_empty() {
                let now = shared.now();
                shared
                    .registry
                    .borrow_mut()
                    .record_failure(now, first_engine);
                avoid.push(first_engine.clone());
            }
            avoid.extend(faulty);
            return Err(SendOutcome::Lost);
        }
        wait = match is_late {
            true => recovery::POLL_INTERVAL,
            false => next_wait(wait, shared.now() - sent_at, MAX_SILENCE),
        };
    }
}

/// Returns the upstream with this address.
pub fn upstream_at(shared: &SharedState, addr: &str) -> Option<UpstreamId> {
    let registry = shared.registry.borrow();
    registry.by_addr(addr).map(|e| e.upstream.id.clone())
}
