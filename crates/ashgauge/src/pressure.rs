//! How near the engines of a service are to what they can do.

use crate::cost;
use crate::routing::Model;
use crate::scene::{Scene, Total};

/// What all boxes have on the engines of a service, as shares of what these can take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// Requests under way, also on engines that take no more.
    pub requests: f64,
    /// Share of the memory for requests that is used, of the layers that are shortest
    /// of it.
    pub memory: f64,
    /// Share of the first engines' slots that is used.
    pub slots: f64,
}

impl Pressure {
    /// What a box knows of the engines: the shares of those that take requests, and the
    /// requests on all of them, as those on engines that take no more still run.
    pub fn of(scene: &Scene, model: &Model) -> Self {
        let layers = model.layers as usize;
        let (mut used, mut room) = (vec![0.0; layers], vec![0.0; layers]);
        let (mut requests, mut leads, mut slots) = (0.0, 0.0, 0.0);
        for entry in scene.roster.of(scene.service) {
            let Some(held) = entry.upstream.layers else {
                continue;
            };
            let total = Total::of(scene, entry);
            requests += total.leads;
            if !entry.takes_requests(scene.now) {
                continue;
            }
            if held.first == 0 {
                leads += total.leads;
                slots += f64::from(entry.upstream.slots);
            }
            let each = f64::from(held.len().max(1));
            let (tokens, memory) = (total.tokens, cost::memory(model, entry, held));
            let end = (held.end as usize).min(layers);
            for layer in (held.first as usize).min(end)..end {
                used[layer] += tokens / each;
                room[layer] += memory / each;
            }
        }
        let once = counted_once(scene);
        let shares = used
            .iter()
            .zip(&room)
            .map(|(used, room)| share(*used, *room));
        Pressure {
            requests: requests * once,
            memory: shares.fold(0.0, f64::max) * once,
            slots: share(leads, slots) * once,
        }
    }

    /// The share that is nearest to its bound.
    pub fn most(&self) -> f64 {
        self.memory.max(self.slots)
    }
}

/// Factor on what was heard, where more boxes were heard than there are: after a start of
/// all of them some tell for themselves and are in a hub's sum as well, for some seconds.
fn counted_once(scene: &Scene) -> f64 {
    let heard = scene.shares.boxes() as f64 + 1.0;
    (scene.boxes / heard).min(1.0)
}

/// A share of what there is; all of it where there is nothing.
fn share(used: f64, of: f64) -> f64 {
    match of > 0.0 {
        true => used / of,
        false => 1.0,
    }
}
