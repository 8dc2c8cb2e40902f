//! Begins a stream: sends the request over a chosen chain and waits for the head of the
//! answer.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::attempts::{Attempts, SendOutcome};
use ashgauge::chain::Stage;
use ashgauge::member::UpstreamId;
use ashgauge::silence::next_wait;
use ashgauge::slack::{self, Slack};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::http::response;
use platform::engine::{self, Target, Verdict};

use super::dial::{self, OpenResponse};
use super::forecast::{self, Estimate};
use super::loss::SuspectRun;
use super::notice;
use super::pick::ChosenChain;
use super::probe::{find_unreachable, query_engines};
use super::recovery;
use super::request::{AdmittedRequest, LoadGuard, apply_refusal, failure_outcome, is_authorized};
use super::shared_state::SharedState;

/// Silence after which a stream whose engines all answer goes on elsewhere;
/// its caller leaves after two seconds.
pub const MAX_SILENCE: Duration = Duration::from_millis(1300);

/// Longest answer with a failure that is passed on.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// Where a stream runs.
pub struct Run {
    /// The engines with their layers.
    pub stages: Vec<Stage>,
    /// Address of the first engine.
    pub first_addr: String,
    /// The answer on its way.
    pub exchange: OpenResponse,
    /// When its head had come.
    pub head_at: Duration,
    /// Whole events that it has brought.
    pub event_count: u64,
    /// When the first of them came.
    pub first_event: Option<Duration>,
    /// Whether it has shown that the request does not end its upstream.
    pub proven_safe: bool,
    /// What was forecast for it, if its service lets streams in by their class.
    pub estimate: Option<Estimate>,
    /// Counts it as a trial until then, if upstreams were lost under the request.
    pub suspect_run: Option<SuspectRun>,
    /// Counts the stream on its engines.
    pub load_guard: LoadGuard,
}

/// A send that brought nothing.
pub struct FailedSend {
    /// How it ended.
    pub outcome: SendOutcome,
    /// The engine that it was sent to.
    pub upstream: UpstreamId,
    /// That engine's own answer, if it is one.
    pub answer: Option<Response<Bytes>>,
}

pub fn response_head(exchange: &OpenResponse) -> response::Parts {
    let mut copy = Response::new(());
    *copy.status_mut() = exchange.response.status();
    *copy.headers_mut() = exchange.response.headers().clone();
    copy.into_parts().0
}

/// Sends the request over a chosen chain and waits for the head of the answer,
/// which goes on after event `last`.
pub async fn start_run(
    desk: &Rc<SharedState>,
    a: &mut AdmittedRequest,
    handoff: &mut Attempts,
    avoid: &mut Vec<UpstreamId>,
    last: Option<u64>,
    chosen: ChosenChain,
) -> Result<Run, FailedSend> {
    let ChosenChain {
        stages,
        encoded: text,
        first_addr: first,
    } = chosen;
    let estimate = forecast::estimate(desk, a, &stages);
    if let Some(estimate) = &estimate {
        a.record.note_forecast(estimate.first);
    }
    note_expected_load(desk, a, &stages);
    let lead = stages[0].upstream.clone();
    let failed = |outcome| FailedSend {
        outcome,
        upstream: lead.clone(),
        answer: None,
    };
    handoff.record_send(lead.clone());
    a.record.sends.push(text.as_deref().unwrap_or(&lead).into());
    let hold = LoadGuard::for_chain(desk, &stages, a.mean_tokens());
    let trial = SuspectRun::begin(desk, a.digest, &lead);
    let connect = Duration::from_millis(desk.settings().timing.connect_ms);
    let line = dial::connect(&first, connect.min(handoff.time_left(desk.now()))).await;
    let line = line.map_err(|e| failed(failure_outcome(&e)))?;
    if !is_authorized(desk, a) {
        return Err(failed(SendOutcome::NotSent));
    }
    let target = Target {
        id: &lead,
        chain: text.as_deref(),
        team: a.team.as_ref().map(|t| t.name.as_str()),
        rank: slack::engine_priority(a.rank(desk), slack_of(a, last)),
        time_left: handoff.time_left(desk.now()),
        last_event: last,
    };
    notice::count_send(desk, &lead, &a.client_request.id);
    let request = engine::build_request(&a.head, a.body.clone(), &target);
    let sent = desk.now();
    let sending = line.send(request);
    let wait = head_timeout(desk, estimate.as_ref());
    let exchange = await_head(desk, a, &stages, sending, handoff, avoid, wait).await;
    let exchange = exchange.map_err(failed)?;
    let parts = response_head(&exchange);
    notice::apply(desk, &lead, sent, &parts);
    match engine::classify(&parts, &a.client_request.id) {
        Verdict::Answer if parts.status.is_success() => {}
        Verdict::Answer => {
            avoid.push(lead.clone());
            let failure = read_error_response(exchange, parts).await;
            let outcome = match &failure {
                Some(_) => SendOutcome::Failed,
                None => SendOutcome::Lost,
            };
            return Err(FailedSend {
                outcome,
                upstream: lead,
                answer: failure,
            });
        }
        verdict @ (Verdict::Full(_) | Verdict::Stale(_)) => {
            avoid.push(apply_refusal(desk, &lead, verdict));
            return Err(failed(SendOutcome::NotRun));
        }
        Verdict::Foreign => return Err(failed(SendOutcome::Lost)),
    }
    Ok(Run {
        stages,
        first_addr: first,
        exchange,
        head_at: desk.now(),
        event_count: 0,
        first_event: None,
        proven_safe: false,
        estimate,
        suspect_run: trial,
        load_guard: hold,
    })
}

/// How a request stands that goes on after event `last`, if it has any.
fn slack_of(a: &AdmittedRequest, last: Option<u64>) -> Slack {
    match last {
        Some(_) => Slack::Streaming,
        None => a.slack(),
    }
}

/// Notes what a request will put on its chain.
fn note_expected_load(desk: &SharedState, a: &AdmittedRequest, stages: &[Stage]) {
    if let Some(model) = a.service.model.as_ref().filter(|m| m.layers > 0) {
        desk.note_transfers(model, stages, a.max_tokens());
        desk.note_prefill(
            model,
            &a.service.name,
            stages.iter(),
            a.client_request.prompt_tokens,
        );
    }
}

/// How long to wait for the head of an answer before the engines are checked.
fn head_timeout(desk: &SharedState, estimate: Option<&Estimate>) -> Duration {
    let least = Duration::from_millis(desk.settings().timing.first_ms);
    estimate.map_or(least, |e| e.silence_limit(least))
}

/// Waits for the head of an answer; checks the chain's engines when it is
/// late, first after `wait`.
async fn await_head(
    desk: &Rc<SharedState>,
    a: &AdmittedRequest,
    stages: &[Stage],
    sending: impl Future<Output = Result<OpenResponse, ::http::Failure>>,
    handoff: &Attempts,
    avoid: &mut Vec<UpstreamId>,
    mut wait: Duration,
) -> Result<OpenResponse, SendOutcome> {
    tokio::pin!(sending);
    let lead = &stages[0].upstream;
    let began = desk.now();
    loop {
        let left = handoff.time_left(desk.now());
        let head = desk.clock.within(wait.min(left), sending.as_mut()).await;
        if let Some(sent) = head {
            let now = desk.now();
            let mut roster = desk.registry.borrow_mut();
            return match sent {
                Ok(exchange) => {
                    roster.record_latency(now, lead, now - began);
                    Ok(exchange)
                }
                Err(failure) => {
                    roster.record_failure(now, lead);
                    avoid.push(lead.clone());
                    Err(failure_outcome(&failure))
                }
            };
        }
        let waited = desk.now() - began;
        let mut dead = find_unreachable(desk, a, stages, Duration::ZERO).await;
        if dead.is_empty() {
            dead.extend(query_engines(desk, a, stages).await);
        }
        if handoff.time_left(desk.now()).is_zero() {
            return Err(SendOutcome::Lost);
        }
        let is_late = waited >= MAX_SILENCE;
        if !dead.is_empty() || (is_late && recovery::has_budget(desk, a)) {
            dead.iter()
                .for_each(|id| desk.mark_suspect(id, "holds up its chain"));
            if dead.is_empty() {
                let now = desk.now();
                desk.registry.borrow_mut().record_failure(now, lead);
                avoid.push(lead.clone());
            }
            avoid.extend(dead);
            return Err(SendOutcome::Lost);
        }
        wait = match is_late {
            true => recovery::POLL_INTERVAL,
            false => next_wait(wait, desk.now() - began, MAX_SILENCE),
        };
    }
}

async fn read_error_response(
    exchange: OpenResponse,
    parts: response::Parts,
) -> Option<Response<Bytes>> {
    let limited = Limited::new(exchange.response.into_body(), MAX_FAILURE_BYTES);
    let body = limited.collect().await.ok()?.to_bytes();
    let mut failure = Response::new(body);
    *failure.status_mut() = parts.status;
    *failure.headers_mut() = engine::answer_headers(&parts);
    Some(failure)
}

pub fn upstream_at(desk: &SharedState, addr: &str) -> Option<UpstreamId> {
    let roster = desk.registry.borrow();
    roster.by_addr(addr).map(|e| e.upstream.id.clone())
}
