//! Returns of the store from a copy of an earlier state.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::revision::Era;
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::super::log;
use super::Follower;

/// How long after the store's return from a copy entries are not believed that had been
/// removed before: what upstreams wrote is written again within [`RETURN_TIME`], and the
/// platform drops those of silent ones after three heartbeats of some 1.2 s.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// How old the store's cheap reads may be.
const STALE_TIME: Duration = Duration::from_secs(15);

/// Time since its start in which a box that reads the store asks the others as well, who
/// answer once they have found it in the list.
const MEET_TIME: Duration = Duration::from_secs(5);

/// What is not sure since the store came back from a copy.
#[derive(Default)]
pub struct Doubts {
    /// When a later era of the store was first heard of.
    era_at: Cell<Duration>,
    /// Whether entries are passed over that had been removed before.
    pub settling: Cell<bool>,
    /// Whether another box has informed this one; the store may hold less than others know.
    pub met: Cell<bool>,
    /// Whether the copy that this box was handed may lack entries.
    doubtful: Cell<bool>,
    /// Whether the whole copy is to be handed to it once more.
    pub lacks: Cell<bool>,
}

impl Follower {
    /// Acts on returns of the store from a copy: what it lost may be missing for a moment,
    /// and its old watches bring nothing.
    pub(super) async fn follow_returns(self: Rc<Self>) {
        let mut eras = self.desk.store.subscribe_era();
        let mut before = *eras.borrow_and_update();
        // The store's client lives as long as the desk.
        while eras.changed().await.is_ok() {
            let era = *eras.borrow_and_update();
            self.desk.metrics.era.set(era as i64);
            let fields = json!({"era": era, "before": before});
            log::line(Level::Warn, "store", "era", fields);
            before = era;
            self.doubts.era_at.set(self.desk.now());
            if !self.desk.is_informed() {
                continue;
            }
            self.returned.set(Some(self.desk.now()));
            self.doubts.settling.set(true);
            self.note_sure();
            self.restart.notify_waiters();
            self.check.notify_one();
            tokio::task::spawn_local(self.clone().settle(era));
        }
    }

    /// Believes what the store holds once everybody has had the time to write again.
    async fn settle(self: Rc<Self>, era: Era) {
        sleep(SETTLE_TIME).await;
        if *self.desk.store.subscribe_era().borrow() != era {
            return;
        }
        let passed_over = self.desk.mirror.borrow_mut().accept_restored();
        if passed_over {
            self.take_again().await;
        }
        // Boxes that ask take a copy that is sure for the last one.
        self.doubts.settling.set(false);
        self.note_sure();
        self.spread_news().await;
    }

    /// Reads the entries again, or has the whole copy handed on once more.
    async fn take_again(&self) {
        if !*self.desk.reads.borrow() {
            self.doubts.lacks.set(true);
            return;
        }
        if let Err(fault) = self.read_servers().await {
            self.lost("settle", &fault);
        }
    }

    /// Whether the store came back so short a while ago that cheap reads may be of the
    /// time before.
    pub(super) fn is_young(&self) -> bool {
        let at = self.doubts.era_at.get();
        !at.is_zero() && self.desk.now() < at + STALE_TIME
    }

    /// Has the whole copy handed on once more, as one that was handed on while the store's
    /// word was in doubt may lack entries.
    pub(super) fn note_doubts(&self, replaced: bool, sure: bool) {
        if replaced {
            self.doubts.lacks.set(false);
            self.doubts.doubtful.set(!sure);
        } else if sure && self.doubts.doubtful.take() {
            self.doubts.lacks.set(true);
        }
    }

    /// Whether the other boxes know nothing that the store has lost, as far as this one
    /// could ask them.
    pub(super) fn has_met(&self) -> bool {
        let has_returned = *self.desk.store.subscribe_era().borrow() > 0;
        self.doubts.met.get() || !has_returned || self.desk.uptime() >= MEET_TIME
    }
}
