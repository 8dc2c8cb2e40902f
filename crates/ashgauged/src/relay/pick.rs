//! Which chain a request takes, and whether its first engine takes one more.

use std::time::Duration;

use ashgauge::chain::{self, Stage};
use ashgauge::choice::{RESERVED_SHARE, Requirements, all_layers as whole_model};
use ashgauge::handoff::Attempts;
use ashgauge::member::UpstreamId;
use ashgauge::routing::Model;
use ashgauge::shape::RequestSize;
use ashgauge::slack::Slack;
use tokio::time::sleep;

use super::desk::Desk;
use super::permit;
use super::quarantine;
use super::request::{Admitted, is_allowed, is_held};
use super::select::Wish;

/// Upstreams, or first engines of chains, that are looked at which turn out to take no more;
/// where the boxes that give permits are silent, each costs as long as two answers may take.
pub const PICKS_MOST: u32 = 4;

/// Longest wait of a request that may have run for an engine that takes one more; a caller
/// that has a part of the answer leaves after two seconds.
const LATE_MOST: Duration = Duration::from_millis(1000);

/// Time between two looks of such a request.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Share of its memory up to which an engine is filled where streams are let in by class: all
/// engines together are filled to less, so there is another one.
const LIMIT_SHED: f64 = 0.92;

/// Why there is no chain for a request.
pub enum NoWay {
    /// Some layers have no engine that may be used.
    NoChain,
    /// No chain has room.
    Crowded,
    /// Its engines take no more requests for so long.
    Closed(Duration),
    /// The key no longer counts.
    Denied,
    /// The request ends the upstreams that run it.
    Held,
}

/// Chooses a chain for the request, of which the first engine may need a permit.
///
/// An answer that goes on elsewhere is not held up for want of room: its caller
/// has a part of it already, up to event `last`.
fn pick(
    desk: &Desk,
    a: &Admitted,
    handoff: &Attempts,
    avoid: &[UpstreamId],
    goes_on: bool,
    last: Option<u64>,
) -> Result<Chosen, NoWay> {
    if !is_allowed(desk, a) {
        return Err(NoWay::Denied);
    }
    if is_held(desk, a) {
        return Err(NoWay::Held);
    }
    let need = need(desk, a).filter(|_| !goes_on);
    if let Some(chosen) = choose_apart(desk, a, handoff, avoid, need, last) {
        return Ok(chosen);
    }
    if let Some(chosen) = choose(desk, a, handoff, avoid, need, last) {
        return Ok(chosen);
    }
    if need.is_some() && choose(desk, a, handoff, avoid, None, last).is_some() {
        return Err(NoWay::Crowded);
    }
    match permit::time_left(desk, &a.service) {
        Some(left) => Err(NoWay::Closed(left)),
        None => Err(NoWay::NoChain),
    }
}

/// Chooses a chain as [`pick`] does, whose first engine takes one more request.
pub async fn pick_open(
    desk: &Desk,
    a: &Admitted,
    handoff: &Attempts,
    avoid: &[UpstreamId],
    goes_on: bool,
    last: Option<u64>,
) -> Result<Chosen, NoWay> {
    for _ in 0..PICKS_MOST {
        quarantine::settle(desk, a.digest).await;
        let chosen = pick(desk, a, handoff, avoid, goes_on, last)?;
        if permit::take(desk, &chosen.stages[0].upstream).await {
            return Ok(chosen);
        }
    }
    Err(NoWay::Closed(Duration::ZERO))
}

/// The same for a request that may have run: it cannot be refused, so it waits for engines
/// that take no more for the moment.
pub async fn pick_late(
    desk: &Desk,
    a: &Admitted,
    handoff: &Attempts,
    avoid: &[UpstreamId],
    last: Option<u64>,
) -> Result<Chosen, NoWay> {
    let until = desk.now() + LATE_MOST.min(handoff.time_left(desk.now()));
    loop {
        match pick_open(desk, a, handoff, avoid, true, last).await {
            Err(NoWay::Closed(_)) if desk.now() < until => sleep(LOOK_EVERY).await,
            picked => return picked,
        }
    }
}

/// Where a request is to go.
pub struct Chosen {
    /// The engines with their layers.
    pub stages: Vec<Stage>,
    /// The chain as the engines take it, if layers are spread over them.
    pub text: Option<String>,
    /// Address of the first engine.
    pub first: String,
}

/// Chooses for a request under which upstreams were lost, without those that run
/// others of its kind.
fn choose_apart(
    desk: &Desk,
    a: &Admitted,
    handoff: &Attempts,
    avoid: &[UpstreamId],
    need: Option<Requirements>,
    last: Option<u64>,
) -> Option<Chosen> {
    if !desk.quarantine.borrow().is_suspect(a.digest) {
        return None;
    }
    let mut avoid = avoid.to_vec();
    avoid.extend(desk.trials.borrow().iter().cloned());
    choose(desk, a, handoff, &avoid, need, last)
}

/// Chooses a chain, or one engine if each holds the whole model.
fn choose(
    desk: &Desk,
    a: &Admitted,
    handoff: &Attempts,
    avoid: &[UpstreamId],
    need: Option<Requirements>,
    last: Option<u64>,
) -> Option<Chosen> {
    match a.service.model.as_ref().filter(|m| m.layers > 0) {
        Some(model) => {
            let span = whole_model(model.layers);
            let slack = need.map_or(Slack::Streaming, |_| a.slack());
            let shape = shape(a, model, last);
            let wish = Wish { need, slack, shape };
            let stages = desk.choose_chain(&a.service.name, model, span, avoid, wish)?;
            if !chain::covers(0, model.layers, &stages) {
                return None;
            }
            let (text, first) = desk.chain_text(&stages)?;
            Some(Chosen {
                stages,
                text: Some(text),
                first,
            })
        }
        None => {
            let (id, addr) = desk.choose(&a.service.name, handoff.tried())?;
            let stage = Stage {
                upstream: id,
                first: 0,
                end: 0,
            };
            Some(Chosen {
                stages: vec![stage],
                text: None,
                first: addr,
            })
        }
    }
}

/// Whether there is a chain with room for a request without the engines to `avoid`.
pub fn has_room(desk: &Desk, a: &Admitted, handoff: &Attempts, avoid: &[UpstreamId]) -> bool {
    choose(desk, a, handoff, avoid, need(desk, a), a.ask.last_event).is_some()
}

/// What a request has to read and to write after event `last`, if its service lets streams
/// in by class.
///
/// The answer that its caller expects is the whole one, also of a caller that has a part of it.
pub fn shape(a: &Admitted, model: &Model, last: Option<u64>) -> Option<RequestSize> {
    a.class?;
    let whole = RequestSize::clamped(a.ask.prompt_tokens, a.ask.answer_tokens, model);
    Some(whole.after_events(last.unwrap_or(0), model))
}

/// The room that a request needs, if it goes over a chain.
fn need(desk: &Desk, a: &Admitted) -> Option<Requirements> {
    a.service.model.as_ref().filter(|m| m.layers > 0)?;
    let learned = desk.line(&a.service.name, |l| l.fill_limit());
    let (limit, reserved) = match a.class {
        Some(_) => (learned.min(LIMIT_SHED), RESERVED_SHARE),
        None => (learned, 0.0),
    };
    Some(Requirements {
        tokens: a.usual_tokens(),
        fill_limit: limit,
        reserved_share: reserved,
    })
}
