//! Choice of the chain for a request, including a permit if its first engine needs one.

use std::time::Duration;

use ashgauge::attempts::Attempts;
use ashgauge::chain::{self, Stage};
use ashgauge::member::UpstreamId;
use ashgauge::request_size::RequestSize;
use ashgauge::routing::Model;
use ashgauge::selection::{RESERVED_SHARE, Requirements, all_layers};
use ashgauge::slack::Slack;
use tokio::time::sleep;

use super::loss;
use super::permit;
use super::quarantine;
use super::request::{RoutedRequest, is_authorized, is_quarantined};
use super::select::ChainCriteria;
use super::shared_state::SharedState;

/// Number of upstreams, or first engines of chains, that are asked for a permit before a
/// request gives up. Where the issuers are silent, each one takes up to two reply
/// timeouts.
pub const MAX_PICKS: u32 = 4;

/// Longest time that a request which may have run waits for an engine that takes one more.
/// A caller that has part of the answer leaves after two seconds.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(1000);

/// Interval at which a request that waits for such an engine tries again.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Memory utilization up to which an engine is filled if its service admits streams by
/// class. Admission keeps the engines as a whole below it, so there is another engine.
const MAX_SHED_FILL: f64 = 0.92;

/// The same for the slots of the first engine. It queues a few requests more than it has slots,
/// and its load is only known as it was some time ago.
const MAX_SHED_SLOTS: f64 = 1.125;

/// Why there is no chain for a request.
pub enum PickError {
    /// Some layers have no usable engine.
    NoChain,
    /// No chain has the capacity.
    NoCapacity,
    /// The engines are at their rate limits; the field is the time until one takes another
    /// request, or zero if that is unknown.
    AtLimit(Duration),
    /// The key is no longer valid.
    Denied,
    /// The request is quarantined because it crashes the upstreams that run it.
    Quarantined,
}

/// Chooses a chain for the request, without the permit that its first engine may need.
///
/// An answer that continues on another chain does not wait for capacity, as its caller
/// already has part of it, up to event `last_event`.
fn try_pick(
    shared: &SharedState,
    request: &RoutedRequest,
    attempts: &Attempts,
    avoid: &[UpstreamId],
    continues: bool,
    last_event: Option<u64>,
) -> Result<ChosenChain, PickError> {
    if !is_authorized(shared, request) {
        return Err(PickError::Denied);
    }
    if is_quarantined(shared, request) {
        return Err(PickError::Quarantined);
    }
    let need = requirements(shared, request).filter(|_| !continues);
    if let Some(chosen) = choose_isolated(shared, request, attempts, avoid, need, last_event) {
        return Ok(chosen);
    }
    if let Some(chosen) = choose(shared, request, attempts, avoid, need, last_event) {
        return Ok(chosen);
    }
    if need.is_some() && choose(shared, request, attempts, avoid, None, last_event).is_some() {
        return Err(PickError::NoCapacity);
    }
    match permit::limit_wait(shared, &request.service) {
        Some(left) => Err(PickError::AtLimit(left)),
        None => Err(PickError::NoChain),
    }
}

/// Chooses a chain as [`try_pick`] does, and takes the permit for its first engine.
pub async fn pick_with_permit(
    shared: &SharedState,
    request: &RoutedRequest,
    attempts: &Attempts,
    avoid: &[UpstreamId],
    continues: bool,
    last_event: Option<u64>,
) -> Result<ChosenChain, PickError> {
    for _ in 0..MAX_PICKS {
        quarantine::await_checks(shared, request.digest).await;
        let chosen = try_pick(shared, request, attempts, avoid, continues, last_event)?;
        if permit::acquire(shared, &chosen.stages[0].upstream).await {
            return Ok(chosen);
        }
    }
    Err(PickError::AtLimit(Duration::ZERO))
}

/// Chooses a chain as [`pick_with_permit`] does, for a request that may have run. Such a
/// request cannot be refused, so it waits while engines are at their rate limits.
pub async fn pick_or_wait(
    shared: &SharedState,
    request: &RoutedRequest,
    attempts: &Attempts,
    avoid: &[UpstreamId],
    last_event: Option<u64>,
) -> Result<ChosenChain, PickError> {
    let until = shared.now() + MAX_PERMIT_WAIT.min(attempts.time_left(shared.now()));
    loop {
        match pick_with_permit(shared, request, attempts, avoid, true, last_event).await {
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
    request: &RoutedRequest,
    attempts: &Attempts,
    avoid: &[UpstreamId],
    need: Option<Requirements>,
    last_event: Option<u64>,
) -> Option<ChosenChain> {
    if !loss::is_suspect(shared, request) {
        return None;
    }
    let mut avoid = avoid.to_vec();
    avoid.extend(shared.suspect_runs.borrow().iter().cloned());
    choose(shared, request, attempts, &avoid, need, last_event)
}

/// Chooses a chain, or a single engine if each one holds the whole model.
fn choose(
    shared: &SharedState,
    request: &RoutedRequest,
    attempts: &Attempts,
    avoid: &[UpstreamId],
    need: Option<Requirements>,
    last_event: Option<u64>,
) -> Option<ChosenChain> {
    match request.service.model.as_ref().filter(|m| m.layers > 0) {
        Some(model) => {
            let layers = all_layers(model.layers);
            let slack = need.map_or(Slack::Streaming, |_| request.slack());
            let size = request_size(request, model, last_event);
            let criteria = ChainCriteria { need, slack, size };
            let stages =
                shared.choose_chain(&request.service.name, model, layers, avoid, criteria)?;
            if !chain::covers(0, model.layers, &stages) {
                return None;
            }
            let (encoded, first_addr) = shared.encode_chain(&stages)?;
            Some(ChosenChain {
                stages,
                encoded: Some(encoded),
                first_addr,
            })
        }
        None => {
            let (id, addr) = shared.choose_upstream(&request.service.name, attempts.tried())?;
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
pub fn has_capacity(
    shared: &SharedState,
    request: &RoutedRequest,
    attempts: &Attempts,
    avoid: &[UpstreamId],
) -> bool {
    choose(
        shared,
        request,
        attempts,
        avoid,
        requirements(shared, request),
        request.client_request.last_event,
    )
    .is_some()
}

/// Tokens that a request has to prefill and to generate after event `last_event`, if its service
/// admits streams by class.
///
/// The caller's expected length is that of the whole answer, also if the caller already has
/// part of it.
pub fn request_size(
    request: &RoutedRequest,
    model: &Model,
    last_event: Option<u64>,
) -> Option<RequestSize> {
    request.class?;
    let full_size = RequestSize::clamped(
        request.client_request.prompt_tokens,
        request.client_request.answer_tokens,
        model,
    );
    Some(full_size.after_events(last_event.unwrap_or(0), model))
}

/// Capacity that a request needs, if it goes over a chain.
fn requirements(shared: &SharedState, request: &RoutedRequest) -> Option<Requirements> {
    request.service.model.as_ref().filter(|m| m.layers > 0)?;
    let learned_limit = shared.with_queue(&request.service.name, |queue| queue.fill_limit());
    let (fill_limit, slot_limit, reserved_share) = match request.class {
        Some(_) => (
            learned_limit.min(MAX_SHED_FILL),
            MAX_SHED_SLOTS,
            RESERVED_SHARE,
        ),
        None => (learned_limit, learned_limit.min(1.0), 0.0),
    };
    Some(Requirements {
        tokens: request.mean_tokens(),
        fill_limit,
        slot_limit,
        reserved_share,
    })
}
