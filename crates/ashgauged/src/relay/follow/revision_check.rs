//! Freshness checks: plain reads of the store's revision, which confirm that all changes
//! up to it are known.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::mirror::Revision;
use platform::{StoreError, config};
use serde_json::json;
use spdlog::Level;
use tokio::time::{sleep, timeout};

use super::super::{log, membership, quarantine, round};
use super::StoreFollower;

/// Initial delay after a failed call; it doubles up to [`MAX_RETRY_DELAY`].
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay after a failed call: a recovered store is noticed within the users'
/// bound on configurations (2 s) with time to spare.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest delay after a failed call while other boxes inform this one, as refused calls
/// are billed too.
const INFORMED_RETRY_DELAY: Duration = Duration::from_millis(2000);

/// Time allowed for a watch that is not delayed to deliver a change.
const WATCH_MARGIN: Duration = Duration::from_millis(250);

impl StoreFollower {
    /// Checks freshness periodically while this box reads the store.
    pub(super) async fn confirm_loop(self: Rc<Self>) {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            self.wait_until_reader().await;
            let started = self.shared.now();
            let was_synced = self.shared.is_synced();
            let confirmed = self.confirm_once().await;
            self.shared.registry.borrow_mut().expire(self.shared.now());
            self.update_certainty();
            if !was_synced && self.shared.is_synced() {
                self.notify_pollers().await;
            }
            match confirmed {
                Ok(()) => {
                    delay = MIN_RETRY_DELAY;
                    // A failed watch triggers the check earlier.
                    let wait = (started + self.check_interval()).saturating_sub(self.shared.now());
                    let _ = timeout(wait, self.check_now.notified()).await;
                }
                Err(fault) => {
                    self.note_store_failure("confirm", &fault);
                    sleep(delay).await;
                    delay = (delay * 2).min(self.max_retry_delay());
                }
            }
        }
    }

    fn max_retry_delay(&self) -> Duration {
        let age = self.shared.freshness.borrow().age(self.shared.now());
        let max_age = self.shared.settings().poll_timing().max_age;
        match age.is_some_and(|age| age <= max_age) {
            true => INFORMED_RETRY_DELAY,
            false => MAX_RETRY_DELAY,
        }
    }

    fn check_interval(&self) -> Duration {
        let settings = self.shared.settings();
        match self.is_polled.get() {
            true => settings.reader_interval(),
            false => settings.confirm_interval(),
        }
    }

    /// Confirms that all changes are known; if some are missing, reads everything again.
    pub(super) async fn confirm_once(&self) -> Result<(), StoreError> {
        let shared = &self.shared;
        let was_synced = shared.is_synced();
        if self.failed_at.get().is_none() {
            if !was_synced && !self.first_read.replace(true) {
                // The initial reads of the watches are in progress.
                return Ok(());
            }
            if was_synced && self.check_revision().await? {
                return Ok(());
            }
        }
        let old_version = shared.routing().version;
        self.read_config().await?;
        let version = shared.routing().version;
        if version == 0 && self.failed_at.get().is_none() {
            // Nothing can be served yet, and the watch delivers the upstreams.
            return Ok(());
        }
        let missed_upstreams = self.read_upstreams().await?;
        if was_synced && (missed_upstreams || version > old_version) {
            // A watch that has not delivered this may hang on a dead connection.
            self.restart.notify_waiters();
            self.notify_pollers().await;
        }
        self.note_store_recovery().await;
        Ok(())
    }

    /// Reads the store's revision; returns whether all changes up to it are known.
    async fn check_revision(&self) -> Result<bool, StoreError> {
        let asked_at = self.shared.now();
        let revision = config::revision(&self.shared.store).await;
        self.shared.count_store_call("proof", &revision);
        let covered = self.covers(revision?).await;
        if covered {
            self.shared.freshness.borrow_mut().confirm(asked_at);
        }
        Ok(covered)
    }

    /// Returns whether all changes up to a revision are known: those that watches
    /// delivered, and the boxes' own objects. No watch covers the latter; they are read
    /// by stale reads, which cost a tenth of a fresh one.
    async fn covers(&self, revision: Revision) -> bool {
        // A watch may be delaying its call to batch the missing changes. The confirmed data
        // ages meanwhile, so there is time for one such wait.
        let delayed_until = self.watch_delayed_until.get();
        let deadline = delayed_until.max(self.shared.now()) + WATCH_MARGIN;
        loop {
            let changed = self.changed.notified();
            if self.shared.mirror.borrow().covers(revision) {
                return true;
            }
            let remaining = deadline.saturating_sub(self.shared.now());
            if timeout(remaining, changed).await.is_err() {
                return self.covers_own_objects(revision).await;
            }
        }
    }

    async fn covers_own_objects(&self, revision: Revision) -> bool {
        if self.was_restored_recently() {
            return false;
        }
        self.note_revisions(round::round_revisions(&self.shared).await);
        if self.shared.mirror.borrow().covers(revision) {
            return true;
        }
        self.note_revisions(membership::announce_revisions(&self.shared).await);
        if self.shared.mirror.borrow().covers(revision) {
            return true;
        }
        self.note_revisions(quarantine::reread_quarantined(&self.shared).await);
        self.shared.mirror.borrow().covers(revision)
    }

    fn note_revisions(&self, result: Result<Vec<Revision>, StoreError>) {
        match result {
            Ok(revisions) => {
                let mut mirror = self.shared.mirror.borrow_mut();
                revisions.into_iter().for_each(|r| mirror.mark_read(r));
            }
            // The caller then reads everything again.
            Err(fault) => {
                let fields = json!({"fault": fault.to_string()});
                log::event(Level::Debug, "store", "own objects not read", fields);
            }
        }
    }
}
