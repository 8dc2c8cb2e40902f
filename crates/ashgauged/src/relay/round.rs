//! Rounds of placement, as boxes store them for each other.

use std::time::Duration;

use ashgauge::pending::{ANNOUNCE_LAG, PendingAssignment};
use ashgauge::placement::Assignment;
use ashgauge::routing::Model;
use platform::StoreError;
use platform::store::Revision;
use serde::{Deserialize, Serialize};

use super::shared_state::SharedState;

/// Kind of the stored objects that assign layers to engines.
pub const KIND: &str = "ashgauge-placements";

/// Maximum number of kept revisions of earlier rounds. Rounds are seconds apart at their
/// most frequent, and boxes check as often.
const MAX_KEPT_REVISIONS: usize = 16;

/// Largest step between two rounds; boxes may have missed some.
const MAX_ROUND_STEP: u64 = 1 << 32;

/// Layer ranges of one service's engines, as stored.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StoredRound {
    /// Id of the box that sends the orders.
    #[serde(rename = "by")]
    pub owner: String,
    /// Number of the round; each write increments it.
    pub round: u64,
    /// Ranges that this round orders.
    pub ranges: Vec<Assignment>,
    /// Whether engines abort the requests that use the layers which they release.
    #[serde(default)]
    #[serde(rename = "cut")]
    pub abort: bool,
    /// Ranges that earlier rounds ordered and that were not announced yet.
    #[serde(default)]
    #[serde(rename = "earlier")]
    pub unannounced: Vec<PendingAssignment>,
    /// Store revisions at which the preceding rounds were written.
    #[serde(default)]
    #[serde(rename = "written")]
    pub revisions: Vec<Revision>,
}

impl StoredRound {
    /// Leaves out what another client may have written: layers past the model, and times that no
    /// load takes. A round with an absurd number counts as the last one that is known.
    pub fn sanitize(mut self, model: &Model, last_round: u64) -> Self {
        self.ranges.retain(|r| r.layers.is_within(model.layers));
        let pending = &mut self.unannounced;
        pending.retain(|p| p.assignment.layers.is_within(model.layers));
        let assignments: Vec<_> = pending.iter().map(|p| p.assignment.clone()).collect();
        let max_left = announce_time(model, &assignments).as_millis() as u64;
        pending
            .iter_mut()
            .for_each(|p| p.left_ms = p.left_ms.min(max_left));
        if self.round > last_round.saturating_add(MAX_ROUND_STEP) {
            self.round = last_round;
        }
        self
    }
}

/// Returns the revisions at which boxes recently wrote rounds, from a read that is some
/// seconds old.
///
/// # Errors
///
/// Fails as every call to the store does.
pub async fn round_revisions(shared: &SharedState) -> Result<Vec<Revision>, StoreError> {
    let stored = shared.store.list_stale::<StoredRound>(KIND).await;
    shared.count_store_call("stale", &stored);
    let revisions = stored?.into_iter().flat_map(|object| {
        let mut revisions = object.value.revisions;
        revisions.push(object.revision);
        revisions
    });
    Ok(revisions.collect())
}

/// Returns the revisions of earlier rounds with that of the last round.
pub fn recent_revisions(mut revisions: Vec<Revision>, last: Option<Revision>) -> Vec<Revision> {
    revisions.extend(last);
    let old = revisions.len().saturating_sub(MAX_KEPT_REVISIONS);
    revisions.drain(..old);
    revisions
}

/// Returns the longest time until engines announce the ranges that they were ordered together.
pub fn announce_time(model: &Model, ranges: &[Assignment]) -> Duration {
    load_time(model, ranges) + ANNOUNCE_LAG
}

/// Time until engines that start to load together have loaded their ranges.
fn load_time(model: &Model, ranges: &[Assignment]) -> Duration {
    let layers: f64 = ranges.iter().map(|r| f64::from(r.layers.len())).sum();
    let longest = ranges.iter().map(|r| r.layers.len()).max().unwrap_or(0);
    let layers_per_slot = layers / f64::from(model.parallel_loads);
    let longest_load = layers_per_slot.max(f64::from(longest));
    model
        .load_time
        .mul_f64(longest_load / f64::from(model.layers.max(1)))
}
