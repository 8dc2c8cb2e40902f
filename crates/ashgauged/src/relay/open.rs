//! Begins a stream: sends the request over a chosen chain and waits for the head of the
//! answer.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::chain::Stage;
use ashgauge::handoff::{Attempts, SendOutcome};
use ashgauge::member::UpstreamId;
use ashgauge::silence::next_wait;
use ashgauge::slack::{self, Slack};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::http::response;
use platform::engine::{self, Target, Verdict};

use super::desk::Desk;
use super::dial::{self, Exchange};
use super::forecast::{self, Estimate};
use super::loss::Trial;
use super::notice;
use super::pick::Chosen;
use super::probe::{ask_engines, find_dead};
use super::recovery;
use super::request::{Admitted, Hold, is_allowed, lost, refused};

/// Silence after which a stream whose engines all answer goes on elsewhere;
/// its caller leaves after two seconds.
pub const SILENT_MOST: Duration = Duration::from_millis(1300);

/// Longest answer with a failure that is passed on.
const FAILURE_MOST: usize = 1 << 20;

/// Where a stream runs.
pub struct Run {
    /// The engines with their layers.
    pub stages: Vec<Stage>,
    /// Address of the first engine.
    pub first: String,
    /// The answer on its way.
    pub exchange: Exchange,
    /// When its head had come.
    pub began: Duration,
    /// Whole events that it has brought.
    pub events: u64,
    /// When the first of them came.
    pub first_event: Option<Duration>,
    /// Whether it has shown that the request does not end its upstream.
    pub proven: bool,
    /// What was forecast for it, if its service lets streams in by their class.
    pub estimate: Option<Estimate>,
    /// Counts it as a trial until then, if upstreams were lost under the request.
    pub trial: Option<Trial>,
    /// Counts the stream on its engines.
    pub hold: Hold,
}

/// A send that brought nothing.
pub struct Failed {
    /// How it ended.
    pub outcome: SendOutcome,
    /// The engine that it was sent to.
    pub upstream: UpstreamId,
    /// That engine's own answer, if it is one.
    pub answer: Option<Response<Bytes>>,
}

pub fn head_of(exchange: &Exchange) -> response::Parts {
    let mut copy = Response::new(());
    *copy.status_mut() = exchange.response.status();
    *copy.headers_mut() = exchange.response.headers().clone();
    copy.into_parts().0
}

/// Sends the request over a chosen chain and waits for the head of the answer,
/// which goes on after event `last`.
pub async fn begin(
    desk: &Rc<Desk>,
    a: &mut Admitted,
    handoff: &mut Attempts,
    avoid: &mut Vec<UpstreamId>,
    last: Option<u64>,
    chosen: Chosen,
) -> Result<Run, Failed> {
    let Chosen {
        stages,
        text,
        first,
    } = chosen;
    let estimate = forecast::estimate(desk, a, &stages);
    if let Some(estimate) = &estimate {
        a.record.note_forecast(estimate.first);
    }
    note_chosen(desk, a, &stages);
    let lead = stages[0].upstream.clone();
    let failed = |outcome| Failed {
        outcome,
        upstream: lead.clone(),
        answer: None,
    };
    handoff.record_send(lead.clone());
    a.record.sends.push(text.as_deref().unwrap_or(&lead).into());
    let hold = Hold::chain(desk, &stages, a.usual_tokens());
    let trial = Trial::begin(desk, a.digest, &lead);
    let connect = Duration::from_millis(desk.settings().timing.connect_ms);
    let line = dial::connect(&first, connect.min(handoff.time_left(desk.now()))).await;
    let line = line.map_err(|e| failed(lost(&e)))?;
    if !is_allowed(desk, a) {
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
    notice::check_send(desk, &lead, &a.ask.id);
    let request = engine::build_request(&a.head, a.body.clone(), &target);
    let sent = desk.now();
    let sending = line.send(request);
    let wait = first_wait(desk, estimate.as_ref());
    let exchange = await_head(desk, a, &stages, sending, handoff, avoid, wait).await;
    let exchange = exchange.map_err(failed)?;
    let parts = head_of(&exchange);
    notice::take(desk, &lead, sent, &parts);
    match engine::classify(&parts, &a.ask.id) {
        Verdict::Answer if parts.status.is_success() => {}
        Verdict::Answer => {
            avoid.push(lead.clone());
            let failure = read_failure(exchange, parts).await;
            let outcome = match &failure {
                Some(_) => SendOutcome::Failed,
                None => SendOutcome::Lost,
            };
            return Err(Failed {
                outcome,
                upstream: lead,
                answer: failure,
            });
        }
        verdict @ (Verdict::Full(_) | Verdict::Stale(_)) => {
            avoid.push(refused(desk, &lead, verdict));
            return Err(failed(SendOutcome::NotRun));
        }
        Verdict::Foreign => return Err(failed(SendOutcome::Lost)),
    }
    Ok(Run {
        stages,
        first,
        exchange,
        began: desk.now(),
        events: 0,
        first_event: None,
        proven: false,
        estimate,
        trial,
        hold,
    })
}

/// How a request stands that goes on after event `last`, if it has any.
fn slack_of(a: &Admitted, last: Option<u64>) -> Slack {
    match last {
        Some(_) => Slack::Streaming,
        None => a.slack(),
    }
}

/// Notes what a request will put on its chain.
fn note_chosen(desk: &Desk, a: &Admitted, stages: &[Stage]) {
    if let Some(model) = a.service.model.as_ref().filter(|m| m.layers > 0) {
        desk.note_crossings(model, stages, a.most_tokens());
        desk.note_reading(model, &a.service.name, stages.iter(), a.ask.prompt_tokens);
    }
}

/// How long to wait for the head of an answer before the engines are checked.
fn first_wait(desk: &Desk, estimate: Option<&Estimate>) -> Duration {
    let least = Duration::from_millis(desk.settings().timing.first_ms);
    estimate.map_or(least, |e| e.patience(least))
}

/// Waits for the head of an answer; checks the chain's engines when it is
/// late, first after `wait`.
async fn await_head(
    desk: &Rc<Desk>,
    a: &Admitted,
    stages: &[Stage],
    sending: impl Future<Output = Result<Exchange, ::http::Failure>>,
    handoff: &Attempts,
    avoid: &mut Vec<UpstreamId>,
    mut wait: Duration,
) -> Result<Exchange, SendOutcome> {
    tokio::pin!(sending);
    let lead = &stages[0].upstream;
    let began = desk.now();
    loop {
        let left = handoff.time_left(desk.now());
        let head = desk.clock.within(wait.min(left), sending.as_mut()).await;
        if let Some(sent) = head {
            let now = desk.now();
            let mut roster = desk.roster.borrow_mut();
            return match sent {
                Ok(exchange) => {
                    roster.record_latency(now, lead, now - began);
                    Ok(exchange)
                }
                Err(failure) => {
                    roster.record_failure(now, lead);
                    avoid.push(lead.clone());
                    Err(lost(&failure))
                }
            };
        }
        let waited = desk.now() - began;
        let mut dead = find_dead(desk, a, stages, Duration::ZERO).await;
        if dead.is_empty() {
            dead.extend(ask_engines(desk, a, stages).await);
        }
        if handoff.time_left(desk.now()).is_zero() {
            return Err(SendOutcome::Lost);
        }
        let is_late = waited >= SILENT_MOST;
        if !dead.is_empty() || (is_late && recovery::has(desk, a)) {
            dead.iter()
                .for_each(|id| desk.suspect(id, "holds up its chain"));
            if dead.is_empty() {
                let now = desk.now();
                desk.roster.borrow_mut().record_failure(now, lead);
                avoid.push(lead.clone());
            }
            avoid.extend(dead);
            return Err(SendOutcome::Lost);
        }
        wait = match is_late {
            true => recovery::LOOK_EVERY,
            false => next_wait(wait, desk.now() - began, SILENT_MOST),
        };
    }
}

async fn read_failure(exchange: Exchange, parts: response::Parts) -> Option<Response<Bytes>> {
    let limited = Limited::new(exchange.response.into_body(), FAILURE_MOST);
    let body = limited.collect().await.ok()?.to_bytes();
    let mut failure = Response::new(body);
    *failure.status_mut() = parts.status;
    *failure.headers_mut() = engine::answer_headers(&parts);
    Some(failure)
}

pub fn id_at(desk: &Desk, addr: &str) -> Option<UpstreamId> {
    let roster = desk.roster.borrow();
    roster.by_addr(addr).map(|e| e.upstream.id.clone())
}
