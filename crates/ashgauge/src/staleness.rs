//! Corrects the load that other boxes report for its age.
//!
//! Boxes that take reports for the present load all select the engine that looked emptiest,
//! until the next reports show that it is full, and then the next one. Since a report,
//! requests have ended, and the other boxes have started as many on the engines that looked
//! emptiest to them. A selection assumes that it takes place at a random moment after the
//! report, moves the requests of that time accordingly, and selects by the result (M. Dahlin,
//! "Interpreting Stale Load Information", 1999). The sum of the load stays the same.

use std::time::Duration;

use rand::Rng;

use crate::chain::Layer;
use crate::context::{EstimatedLoad, SelectionContext};
use crate::cost;
use crate::load_report::Usage;
use crate::routing::Model;
use crate::upstream::LayerRange;
use crate::upstream_state::UpstreamState;

/// Largest share of the reported requests that is assumed to have ended.
const MAX_ENDED_SHARE: f64 = 0.9;

/// Age over which selections are spread, as a multiple of that of the oldest reports. What
/// boxes start at the same time shows in the reports of all after another such time.
const SPREAD: f64 = 2.0;

/// An engine that a selection may use, and its load.
pub(crate) struct Candidate<'a> {
    pub state: &'a UpstreamState,
    pub held: LayerRange,
    pub load: EstimatedLoad,
}

/// Use of one resource on one engine by all boxes.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Index of the candidate.
    index: usize,
    used: f64,
    /// Part of `used` that other boxes report.
    reported: f64,
    capacity: f64,
}

/// Corrects the loads of all candidates.
pub(crate) fn correct(
    context: &SelectionContext,
    model: &Model,
    candidates: &mut [Candidate],
    rng: &mut impl Rng,
) {
    if context.simultaneous || context.local_interval.is_zero() {
        return;
    }
    let position = rng.random_range(0.0..1.0);
    let is_local = |c: &Candidate| c.state.upstream.data_centre == *context.data_centre;
    for local in [true, false] {
        let interval = match local {
            true => context.local_interval,
            false => context.remote_interval,
        };
        let ended = ended_share(interval, context.request_duration, position);
        let of_place = |c: &Candidate| is_local(c) == local;
        correct_slots(context, candidates, &of_place, ended);
        correct_memory(context, model, candidates, &of_place, ended);
    }
}

/// Returns the share of the reported requests that has ended at a position, 0 to 1, of the
/// time between two reports.
fn ended_share(interval: Duration, request_duration: Duration, position: f64) -> f64 {
    let duration = request_duration.as_secs_f64().max(f64::MIN_POSITIVE);
    (interval.as_secs_f64() * SPREAD * position / duration).min(MAX_ENDED_SHARE)
}

/// Corrects the requests for which the candidates are the first engines.
fn correct_slots(
    context: &SelectionContext,
    candidates: &mut [Candidate],
    is_included: &impl Fn(&Candidate) -> bool,
    ended: f64,
) {
    let shares = candidates.iter().enumerate();
    let shares = shares.filter(|(_, c)| c.held.first == 0 && is_included(c));
    let shares = shares.map(|(index, c)| Share {
        index,
        used: c.load.head_requests,
        reported: f64::from(usage_by_others(context, c).head_requests),
        capacity: f64::from(c.state.upstream.slots.max(1)),
    });
    let mut shares: Vec<Share> = shares.collect();
    move_requests(&mut shares, ended);
    for share in shares {
        candidates[share.index].load.head_requests = share.used;
    }
}

/// Corrects the memory that requests hold on the candidates, for each part of the layers that
/// the same candidates hold.
fn correct_memory(
    context: &SelectionContext,
    model: &Model,
    candidates: &mut [Candidate],
    is_included: &impl Fn(&Candidate) -> bool,
    ended: f64,
) {
    let included = candidates.iter().enumerate();
    let included = included.filter(|(_, c)| is_included(c));
    let whole: Vec<(LayerRange, Share)> = included
        .map(|(index, c)| (c.held, memory_share(context, model, index, c)))
        .collect();
    for (_, share) in &whole {
        candidates[share.index].load.token_layers = 0.0;
    }
    let cuts = boundaries(&whole);
    let mut shares = Vec::new();
    for part in cuts.windows(2) {
        let part = LayerRange {
            first: part[0],
            end: part[1],
        };
        let holders = whole.iter().filter(|(held, _)| held.overlaps(&part));
        shares.clear();
        shares.extend(holders.map(|(held, share)| share.part(part, *held)));
        move_requests(&mut shares, ended);
        for share in &shares {
            candidates[share.index].load.token_layers += share.used;
        }
    }
}

/// Returns the memory, in tokens times layers, that requests hold on a candidate.
fn memory_share(
    context: &SelectionContext,
    model: &Model,
    index: usize,
    candidate: &Candidate,
) -> Share {
    Share {
        index,
        used: candidate.load.token_layers,
        reported: f64::from(usage_by_others(context, candidate).token_layers),
        capacity: cost::memory_capacity(model, candidate.state, candidate.held).max(1.0),
    }
}

/// Returns what other boxes report, without what boxes that do not report are assumed to use.
fn usage_by_others(context: &SelectionContext, candidate: &Candidate) -> Usage {
    let id = &candidate.state.upstream.id;
    context.fleet_load.usage_by_others(id)
}

impl Share {
    /// Returns what a part of the layers has of the share of all that are held.
    fn part(&self, part: LayerRange, held: LayerRange) -> Share {
        let factor = f64::from(part.len()) / f64::from(held.len().max(1));
        Share {
            index: self.index,
            used: self.used * factor,
            reported: self.reported * factor,
            capacity: self.capacity * factor,
        }
    }
}

/// Returns all first and last layers in ascending order.
fn boundaries(shares: &[(LayerRange, Share)]) -> Vec<Layer> {
    let mut cuts: Vec<Layer> = shares
        .iter()
        .flat_map(|(held, _)| [held.first, held.end])
        .collect();
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

/// Removes the requests that ended, and starts as many on the engines that are used least.
fn move_requests(shares: &mut [Share], ended: f64) {
    let mut started = 0.0;
    for share in shares.iter_mut() {
        let removed = share.reported * ended;
        share.used -= removed;
        started += removed;
    }
    if started <= 0.0 {
        return;
    }
    let level = fill_level(shares, started);
    for share in shares.iter_mut() {
        share.used = share.used.max(level * share.capacity);
    }
}

/// Returns the utilization up to which engines are filled by `started`, the ones used least
/// first.
fn fill_level(shares: &[Share], started: f64) -> f64 {
    let mut by_utilization: Vec<(f64, f64)> = shares
        .iter()
        .map(|s| (s.used / s.capacity, s.capacity))
        .collect();
    by_utilization.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut capacity, mut used) = (0.0, started);
    let mut level = 0.0;
    for (utilization, own_capacity) in by_utilization {
        if capacity > 0.0 && level <= utilization {
            break;
        }
        capacity += own_capacity;
        used += utilization * own_capacity;
        level = used / capacity;
    }
    level
}
