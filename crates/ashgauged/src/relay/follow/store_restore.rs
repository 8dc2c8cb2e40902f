//! Handles restores of the store from a copy of an earlier state.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::revision::Era;
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::super::log;
use super::StoreFollower;

/// How long after a restore entries are ignored that had been removed before it.
/// Upstreams write their entries again within [`RESTORE_GRACE`](super::RESTORE_GRACE),
/// and the platform removes those of silent upstreams after three heartbeats of about 1.2
/// s.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Maximum age of the data that the store's stale reads return.
const MAX_STALE_AGE: Duration = Duration::from_secs(15);

/// Time after its start in which a box that reads the store also polls the others, which
/// answer once they have found it in the member list.
const PEER_SYNC_TIME: Duration = Duration::from_secs(5);

/// What is uncertain since the store was restored from a copy.
#[derive(Default)]
pub struct RestoreState {
    /// When a newer era of the store was first observed.
    era_at: Cell<Duration>,
    /// Whether entries that had been removed before the restore are ignored.
    pub settling: Cell<bool>,
    /// Whether another box has sent its data to this one; the store may hold less than
    /// other boxes know.
    pub peer_synced: Cell<bool>,
    /// Whether the full copy that this box received may lack entries.
    copy_uncertain: Cell<bool>,
    /// Whether this box must request the full copy again.
    pub needs_copy: Cell<bool>,
}

impl StoreFollower {
    /// Reacts to restores of the store: entries that it lost may be missing for a moment,
    /// and watches from before the restore deliver nothing.
    pub(super) async fn follow_restores(self: Rc<Self>) {
        let mut eras = self.shared.store.subscribe_era();
        let mut previous = *eras.borrow_and_update();
        // The store client lives as long as the shared state.
        while eras.changed().await.is_ok() {
            let era = *eras.borrow_and_update();
            self.shared.metrics.store_era.set(era as i64);
            let fields = json!({"era": era, "before": previous});
            log::event(Level::Warn, "store", "era", fields);
            previous = era;
            self.restore.era_at.set(self.shared.now());
            if !self.shared.is_synced() {
                continue;
            }
            self.returned_at.set(Some(self.shared.now()));
            self.restore.settling.set(true);
            self.update_certainty();
            self.restart.notify_waiters();
            self.check_now.notify_one();
            tokio::task::spawn_local(self.clone().settle(era));
        }
    }

    /// Accepts the store's content once every upstream has had the time to write its
    /// entry again.
    async fn settle(self: Rc<Self>, era: Era) {
        sleep(SETTLE_TIME).await;
        if *self.shared.store.subscribe_era().borrow() != era {
            return;
        }
        let has_ignored = self.shared.mirror.borrow_mut().accept_restored();
        if has_ignored {
            self.reread_entries().await;
        }
        // A copy marked as certain is the last one that polling boxes request.
        self.restore.settling.set(false);
        self.update_certainty();
        self.notify_pollers().await;
    }

    /// Reads the entries again, or requests the full copy if this box does not read the
    /// store.
    async fn reread_entries(&self) {
        if !*self.shared.reads_store.borrow() {
            self.restore.needs_copy.set(true);
            return;
        }
        if let Err(fault) = self.read_upstreams().await {
            self.note_store_failure("settle", &fault);
        }
    }

    /// Returns whether the last restore is so recent that stale reads may return data
    /// from before it.
    pub(super) fn was_restored_recently(&self) -> bool {
        let era_at = self.restore.era_at.get();
        !era_at.is_zero() && self.shared.now() < era_at + MAX_STALE_AGE
    }

    /// Requests the full copy again once the data is certain, as a copy sent while the
    /// store's content was uncertain may lack entries.
    pub(super) fn note_copy_certainty(&self, replaced: bool, removals_certain: bool) {
        if replaced {
            self.restore.needs_copy.set(false);
            self.restore.copy_uncertain.set(!removals_certain);
        } else if removals_certain && self.restore.copy_uncertain.take() {
            self.restore.needs_copy.set(true);
        }
    }

    /// Returns whether the other boxes have no data that the store has lost, as far as
    /// this box could poll them.
    pub(super) fn has_synced_with_peers(&self) -> bool {
        let was_restored = *self.shared.store.subscribe_era().borrow() > 0;
        self.restore.peer_synced.get() || !was_restored || self.shared.uptime() >= PEER_SYNC_TIME
    }
}
