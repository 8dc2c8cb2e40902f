//! Proofs: plain reads of the store's revision, which show that all changes up
//! to it are known.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::mirror::Revision;
use platform::{StoreError, config};
use serde_json::json;
use spdlog::Level;
use tokio::time::{sleep, timeout};

use super::super::{census, log, place, quarantine};
use super::Follower;

/// First pause after a call that failed; doubled up to [`PAUSE_MOST`].
pub const PAUSE_FIRST: Duration = Duration::from_millis(100);

/// Longest pause after a call that failed: a store that is back is noticed
/// within the users' bound on configurations (2 s) with time to spare.
const PAUSE_MOST: Duration = Duration::from_millis(500);

/// The same while other boxes inform this one: refused calls are priced, too.
const PAUSE_INFORMED: Duration = Duration::from_millis(2000);

/// For the call of a watch that has gathered changes.
const GATHER_SLACK: Duration = Duration::from_millis(100);

impl Follower {
    /// Proves again and again that what is known is still so, while this box
    /// reads.
    pub(super) async fn confirm(self: Rc<Self>) {
        let mut pause = PAUSE_FIRST;
        loop {
            self.until_reader().await;
            let began = self.desk.now();
            let informed = self.desk.is_informed();
            let confirmed = self.confirm_once().await;
            self.desk.roster.borrow_mut().expire(self.desk.now());
            self.note_sure();
            if !informed && self.desk.is_informed() {
                self.spread_news().await;
            }
            match confirmed {
                Ok(()) => {
                    pause = PAUSE_FIRST;
                    // A watch that failed asks earlier.
                    let rest = (began + self.proof_time()).saturating_sub(self.desk.now());
                    let _ = timeout(rest, self.check.notified()).await;
                }
                Err(fault) => {
                    self.lost("confirm", &fault);
                    sleep(pause).await;
                    pause = (pause * 2).min(self.pause_most());
                }
            }
        }
    }

    fn pause_most(&self) -> Duration {
        let age = self.desk.fresh.borrow().age(self.desk.now());
        let stale = self.desk.settings().ask_pace().max_age;
        match age.is_some_and(|age| age <= stale) {
            true => PAUSE_INFORMED,
            false => PAUSE_MOST,
        }
    }

    fn proof_time(&self) -> Duration {
        let settings = self.desk.settings();
        match self.is_shared.get() {
            true => settings.reader_time(),
            false => settings.confirm_time(),
        }
    }

    /// Proves that all changes are known; if some are missing, reads everything
    /// anew.
    pub(super) async fn confirm_once(&self) -> Result<(), StoreError> {
        let desk = &self.desk;
        let known = desk.is_informed();
        if self.failed.get().is_none() {
            if !known && !self.begun.replace(true) {
                // The watches' first reading is under way.
                return Ok(());
            }
            if known && self.prove().await? {
                return Ok(());
            }
        }
        self.read_config().await?;
        if desk.routing().version == 0 && self.failed.get().is_none() {
            // Nothing can be served yet, and the watch brings the upstreams.
            return Ok(());
        }
        let missed = self.read_servers().await?;
        if known && missed {
            // A watch that did not bring this may hang on a silent connection.
            self.restart.notify_waiters();
            self.spread_news().await;
        }
        self.regained().await;
        Ok(())
    }

    /// Asks for the store's revision; returns whether all changes up to it are
    /// known.
    async fn prove(&self) -> Result<bool, StoreError> {
        let asked = self.desk.now();
        let at = config::revision(&self.desk.store).await;
        self.desk.count_call("proof", &at);
        let covered = self.covers(at?).await;
        if covered {
            self.desk.fresh.borrow_mut().confirm(asked);
        }
        Ok(covered)
    }

    /// Whether all changes up to a revision are known: those that watches
    /// brought, and the boxes' own objects, which no watch brings and which are
    /// read at a tenth.
    async fn covers(&self, at: Revision) -> bool {
        // The watch may be gathering what is missing. What was known before
        // ages meanwhile, so there is time for one such wait.
        let until = self.desk.now() + self.servers_gather() + GATHER_SLACK;
        loop {
            let changed = self.changed.notified();
            if self.desk.mirror.borrow().covers(at) {
                return true;
            }
            let rest = until.saturating_sub(self.desk.now());
            if timeout(rest, changed).await.is_err() {
                return self.covers_own(at).await;
            }
        }
    }

    async fn covers_own(&self, at: Revision) -> bool {
        if self.is_young() {
            return false;
        }
        self.add_known(place::written_rounds(&self.desk).await);
        if self.desk.mirror.borrow().covers(at) {
            return true;
        }
        self.add_known(census::written(&self.desk).await);
        if self.desk.mirror.borrow().covers(at) {
            return true;
        }
        self.add_known(quarantine::written(&self.desk).await);
        self.desk.mirror.borrow().covers(at)
    }

    fn add_known(&self, read: Result<Vec<Revision>, StoreError>) {
        match read {
            Ok(revisions) => {
                let mut mirror = self.desk.mirror.borrow_mut();
                revisions.into_iter().for_each(|r| mirror.mark_read(r));
            }
            // Everything is read anew then.
            Err(fault) => {
                let fields = json!({"fault": fault.to_string()});
                log::line(Level::Debug, "store", "own objects not read", fields);
            }
        }
    }
}
