//! Returns of the store from a copy of an earlier state.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::revision::Era;
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::super::log;
use super::StoreFollower;

/// How long after the store's return from a copy entries are not believed that had been
/// removed before: what upstreams wrote is written again within [`RETURN_TIME`], and the
/// platform drops those of silent ones after three heartbeats of some 1.2 s.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// How old the store's cheap reads may be.
const MAX_STALE_AGE: Duration = Duration::from_secs(15);

/// Time since its start in which a box that reads the store asks the others as well, who
/// answer once they have found it in the list.
const PEER_SYNC_TIME: Duration = Duration::from_secs(5);

/// What is not sure since the store came back from a copy.
#[derive(Default)]
pub struct RestoreState {
    /// When a later era of the store was first heard of.
    era_at: Cell<Duration>,
    /// Whether entries are passed over that had been removed before.
    pub settling: Cell<bool>,
    /// Whether another box has informed this one; the store may hold less than others know.
    pub peer_synced: Cell<bool>,
    /// Whether the copy that this box was handed may lack entries.
    copy_uncertain: Cell<bool>,
    /// Whether the whole copy is to be handed to it once more.
    pub needs_copy: Cell<bool>,
}

impl StoreFollower {
    /// Acts on returns of the store from a copy: what it lost may be missing for a moment,
    /// and its old watches bring nothing.
    pub(super) async fn follow_restores(self: Rc<Self>) {
        let mut eras = self.shared.store.subscribe_era();
        let mut before = *eras.borrow_and_update();
        // The store's client lives as long as the desk.
        while eras.changed().await.is_ok() {
            let era = *eras.borrow_and_update();
            self.shared.metrics.store_era.set(era as i64);
            let fields = json!({"era": era, "before": before});
            log::event(Level::Warn, "store", "era", fields);
            before = era;
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

    /// Believes what the store holds once everybody has had the time to write again.
    async fn settle(self: Rc<Self>, era: Era) {
        sleep(SETTLE_TIME).await;
        if *self.shared.store.subscribe_era().borrow() != era {
            return;
        }
        let passed_over = self.shared.mirror.borrow_mut().accept_restored();
        if passed_over {
            self.reread_entries().await;
        }
        // Boxes that ask take a copy that is sure for the last one.
        self.restore.settling.set(false);
        self.update_certainty();
        self.notify_pollers().await;
    }

    /// Reads the entries again, or has the whole copy handed on once more.
    async fn reread_entries(&self) {
        if !*self.shared.reads_store.borrow() {
            self.restore.needs_copy.set(true);
            return;
        }
        if let Err(fault) = self.read_upstreams().await {
            self.note_store_failure("settle", &fault);
        }
    }

    /// Whether the store came back so short a while ago that cheap reads may be of the
    /// time before.
    pub(super) fn is_recent(&self) -> bool {
        let at = self.restore.era_at.get();
        !at.is_zero() && self.shared.now() < at + MAX_STALE_AGE
    }

    /// Has the whole copy handed on once more, as one that was handed on while the store's
    /// word was in doubt may lack entries.
    pub(super) fn note_copy_certainty(&self, replaced: bool, sure: bool) {
        if replaced {
            self.restore.needs_copy.set(false);
            self.restore.copy_uncertain.set(!sure);
        } else if sure && self.restore.copy_uncertain.take() {
            self.restore.needs_copy.set(true);
        }
    }

    /// Whether the other boxes know nothing that the store has lost, as far as this one
    /// could ask them.
    pub(super) fn has_synced(&self) -> bool {
        let has_returned = *self.shared.store.subscribe_era().borrow() > 0;
        self.restore.peer_synced.get() || !has_returned || self.shared.uptime() >= PEER_SYNC_TIME
    }
}
