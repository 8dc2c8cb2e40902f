//! Choice of the chain for a request, including a permit if its first engine needs one.

use std::time::Duration;

use ashgauge::attempts::Attempts;
use ashgauge::chain::{self, Stage};
use ashgauge::member::UpstreamId;
use ashgauge::request_size::RequestSize;
use ashgauge::routing::Model;
use ashgauge::selection::{RESERVED_SHARE, Requirements, all_layers as whole_model};
use ashgauge::slack::Slack;
use tokio::time::sleep;

use super::permit;
use super::quarantine;
use super::request::{AdmittedRequest, is_authorized, is_quarantined};
use super::select::ChainCriteria;
use super::shared_state::SharedState;

/// Number of upstreams, or first engines of chains, that are asked for a permit before a
/// request gives up. Where the issuers are silent, each one takes up to two reply
/// time-outs.
pub const MAX_PICKS: u32 = 4;

/// Longest time that a request which may have run waits for an engine that takes one more.
/// A caller that has part of the answer leaves after two seconds.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(1000);

/// Interval at which such a request tries again.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Memory utilization up to which an engine is filled if its service admits streams by
/// class. Admission keeps the engines as a whole below it, so there is another engine.
const MAX_SHED_FILL: f64 = 0.92;

/// Why there is no chain for a request.
pub enum PickError {
    /// Some layers have no usable engine.
    NoChain,
    /// No chain has the capacity.
    NoCapacity,
    /// The engines are at their rate limits; the field is the time until they take another
    /// request.
    AtLimit(Duration),
    /// The key is no longer valid.
    Denied,
    /// The request is quarantined because it crashes the upstreams that run it.
    Quarantined,
}

/// Chooses a chain for the request, without the permit that its first engine may need.
///
/// An answer that continues on another chain does not wait for capacity, as its caller
/// already has part of it, up to event `last`.
fn try_pick(
    shared: &SharedState,
    a: &AdmittedRequest,
    handoff: &Attempts,
    avoid: &[UpstreamId],
    goes_on: bool,
    last: Option<u64>,
) -> Result<ChosenChain, PickError> {
    if !is_authorized(shared, a) {
        return Err(PickError::Denied);
    }
    if is_quarantined(shared, a) {
        return Err(PickError::Quarantined);
    }
    let need = requirements(shared, a).filter(|_| !goes_on);
    if let Some(chosen) = choose_isolated(shared, a, handoff, avoid, need, last) {
        return Ok(chosen);
    }
    if let Some(chosen) = choose(shared, a, handoff, avoid, need, last) {
        return Ok(chosen);
    }
    if need.is_some() && choose(shared, a, handoff, avoid, None, last).is_some() {
        return Err(PickError::NoCapacity);
    }
    match permit::limit_wait(shared, &a.service) {
        Some(left) => Err(PickError::AtLimit(left)),
        None => Err(PickError::NoChain),
    }
}

/// Chooses a chain as [`try_pick`] does, and takes the permit for its first engine.
pub async fn pick_with_permit(
    shared: &SharedState,
    a: &AdmittedRequest,
    handoff: &Attempts,
    avoid: &[UpstreamId],
    goes_on: bool,
    last: Option<u64>,
) -> Result<ChosenChain, PickError> {
    for _ in 0..MAX_PICKS {
        quarantine::await_checks(shared, a.digest).await;
        let chosen = try_pick(shared, a, handoff, avoid, goes_on, last)?;
        if permit::acquire(shared, &chosen.stages[0].upstream).await {
            return Ok(chosen);
        }
    }
    Err(PickError::AtLimit(Duration::ZERO))
}

/// The same for a request that may have run. It cannot be refused, so it waits while
/// engines are at their rate limits.
pub async fn pick_or_wait(
    shared: &SharedState,
    a: &AdmittedRequest,
    handoff: &Attempts,
    avoid: &[UpstreamId],
    last: Option<u64>,
) -> Result<ChosenChain, PickError> {
    let until = shared.now() + MAX_PERMIT_WAIT.min(handoff.time_left(shared.now()));
    loop {
        match pick_with_permit(shared, a, handoff, avoid, true, last).await {
            Err(PickError::AtLimit(_)) if shared.now() < until => {
                sleep(PERMIT_RETRY_INTERVAL).await
            }
            picked => return picked,
        }
    }
}

/// A chosen chain.
pub struct ChosenChain {
    /// Engines of the chain, with their layers.
    pub stages: Vec<Stage>,
    /// The chain in the engines' format, if layers are spread over them.
    pub encoded: Option<String>,
    /// Address of the first engine.
    pub first_addr: String,
}

/// Chooses a chain for a request under which upstreams were lost, without the upstreams
/// that run other requests of that kind.
fn choose_isolated(
    shared: &SharedState,
    a: &AdmittedRequest,
    handoff: &Attempts,
    avoid: &[UpstreamId],
    need: Option<Requirements>,
    last: Option<u64>,
) -> Option<ChosenChain> {
    if !shared.quarantine.borrow().is_suspect(a.digest) {
        return None;
    }
    let mut avoid = avoid.to_vec();
    avoid.extend(shared.suspect_runs.borrow().iter().cloned());
    choose(shared, a, handoff, &avoid, need, last)
}

/// Chooses a chain, or a single engine if each one holds the whole model.
fn choose(
    shared: &SharedState,
    a: &AdmittedRequest,
    handoff: &Attempts,
    avoid: &[UpstreamId],
    need: Option<Requirements>,
    last: Option<u64>,
) -> Option<ChosenChain> {
    match a.service.model.as_ref().filter(|m| m.layers > 0) {
        Some(model) => {
            let span = whole_model(model.layers);
            let slack = need.map_or(Slack::Streaming, |_| a.slack());
            let shape = request_size(a, model, last);
            let wish = ChainCriteria {
                need,
                slack,
                size: shape,
            };
            let stages = shared.choose_chain(&a.service.name, model, span, avoid, wish)?;
            if !chain::covers(0, model.layers, &stages) {
                return None;
            }
            let (text, first) = shared.encode_chain(&stages)?;
            Some(ChosenChain {
                stages,
                encoded: Some(text),
                first_addr: first,
            })
        }
        None => {
            let (id, addr) = shared.choose_upstream(&a.service.name, handoff.tried())?;
            let stage = Stage {
                upstream: id,
                first: 0,
                end: 0,
            };
            Some(ChosenChain {
                stages: vec![stage],
                encoded: None,
                first_addr: addr,
            })
        }
    }
}

/// Whether there is a chain with capacity for a request without the engines in `avoid`.
pub fn has_room(
    shared: &SharedState,
    a: &AdmittedRequest,
    handoff: &Attempts,
    avoid: &[UpstreamId],
) -> bool {
    choose(
        shared,
        a,
        handoff,
        avoid,
        requirements(shared, a),
        a.client_request.last_event,
    )
    .is_some()
}

/// Tokens that a request has to prefill and to generate after event `last`, if its service
/// admits streams by class.
///
/// The caller's expected length is that of the whole answer, also if the caller already has
/// part of it.
pub fn request_size(a: &AdmittedRequest, model: &Model, last: Option<u64>) -> Option<RequestSize> {
    a.class?;
    let whole = RequestSize::clamped(
        a.client_request.prompt_tokens,
        a.client_request.answer_tokens,
        model,
    );
    Some(whole.after_events(last.unwrap_or(0), model))
}

/// Capacity that a request needs, if it goes over a chain.
fn requirements(shared: &SharedState, a: &AdmittedRequest) -> Option<Requirements> {
    a.service.model.as_ref().filter(|m| m.layers > 0)?;
    let learned = shared.with_queue(&a.service.name, |l| l.fill_limit());
    let (limit, reserved) = match a.class {
        Some(_) => (learned.min(MAX_SHED_FILL), RESERVED_SHARE),
        None => (learned, 0.0),
    };
    Some(Requirements {
        tokens: a.mean_tokens(),
        fill_limit: limit,
        reserved_share: reserved,
    })
}
