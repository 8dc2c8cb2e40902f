//! Which chain a request takes, and whether its first engine takes one more.

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

/// Upstreams, or first engines of chains, that are looked at which turn out to take no more;
/// where the boxes that give permits are silent, each costs as long as two answers may take.
pub const MAX_PICKS: u32 = 4;

/// Longest wait of a request that may have run for an engine that takes one more; a caller
/// that has a part of the answer leaves after two seconds.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(1000);

/// Time between two looks of such a request.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Share of its memory up to which an engine is filled where streams are let in by class: all
/// engines together are filled to less, so there is another one.
const MAX_SHED_FILL: f64 = 0.92;

/// Why there is no chain for a request.
pub enum PickError {
    /// Some layers have no engine that may be used.
    NoChain,
    /// No chain has room.
    NoCapacity,
    /// Its engines take no more requests for so long.
    AtLimit(Duration),
    /// The key no longer counts.
    Denied,
    /// The request ends the upstreams that run it.
    Quarantined,
}

/// Chooses a chain for the request, of which the first engine may need a permit.
///
/// An answer that goes on elsewhere is not held up for want of room: its caller
/// has a part of it already, up to event `last`.
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

/// Chooses a chain as [`try_pick`] does, whose first engine takes one more request.
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

/// The same for a request that may have run: it cannot be refused, so it waits for engines
/// that take no more for the moment.
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

/// Where a request is to go.
pub struct ChosenChain {
    /// The engines with their layers.
    pub stages: Vec<Stage>,
    /// The chain as the engines take it, if layers are spread over them.
    pub encoded: Option<String>,
    /// Address of the first engine.
    pub first_addr: String,
}

/// Chooses for a request under which upstreams were lost, without those that run
/// others of its kind.
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

/// Chooses a chain, or one engine if each holds the whole model.
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

/// Whether there is a chain with room for a request without the engines to `avoid`.
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

/// What a request has to read and to write after event `last`, if its service lets streams
/// in by class.
///
/// The answer that its caller expects is the whole one, also of a caller that has a part of it.
pub fn request_size(a: &AdmittedRequest, model: &Model, last: Option<u64>) -> Option<RequestSize> {
    a.class?;
    let whole = RequestSize::clamped(
        a.client_request.prompt_tokens,
        a.client_request.answer_tokens,
        model,
    );
    Some(whole.after_events(last.unwrap_or(0), model))
}

/// The room that a request needs, if it goes over a chain.
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
