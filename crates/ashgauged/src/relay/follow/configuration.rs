//! The configuration in force: from where it comes, and how old it is.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::mirror::Revision;
use platform::{StoreError, config};
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::super::state::ConfigSource;
use super::super::{log, offers, plain_answer, reach, stop};
use super::{StoreFollower, advance_revision, log_skipped};

/// Time after which data that has become too old is looked at again.
const RECHECK_DELAY: Duration = Duration::from_millis(100);

impl StoreFollower {
    /// Reads the configuration from the store and activates it.
    pub(super) async fn read_config(&self) -> Result<(), StoreError> {
        let asked_at = self.shared.now();
        let result = config::read(&self.shared.store, log_skipped).await;
        self.shared.count_store_call("list", &result);
        let (config, list_revision) = result?;
        match config {
            Some((config, revision)) => {
                self.apply_config(config, revision)?;
                self.config_asked_at.set(Some(asked_at));
                self.confirm_reads();
            }
            None => self.shared.config_missing_at.set(Some(asked_at)),
        }
        advance_revision(&self.config_revision, list_revision);
        self.update_covered();
        Ok(())
    }

    /// Confirms the data as of the older of the last reads of its two kinds: boxes that poll
    /// this one rely on the age for the upstreams as well.
    pub(super) fn confirm_reads(&self) {
        if let (Some(config), Some(upstreams)) =
            (self.config_asked_at.get(), self.upstreams_asked_at.get())
        {
            let asked_at = config.min(upstreams);
            self.shared.freshness.borrow_mut().confirm(asked_at);
        }
    }

    /// Stores a configuration that was read from the store in the mirror, and activates it
    /// unless a newer one is in force.
    pub(super) fn apply_config(
        &self,
        config: config::Config,
        revision: Revision,
    ) -> Result<(), StoreError> {
        let bytes = config.to_bytes()?;
        let mut mirror = self.shared.mirror.borrow_mut();
        mirror.set_config(revision, bytes.clone());
        drop(mirror);
        self.activate_config(config, bytes, ConfigSource::Store);
        Ok(())
    }

    /// Activates a configuration, encoded as `bytes`, if it is newer than the one in force. An
    /// older one is not passed to other boxes either.
    pub(super) fn activate_config(
        &self,
        config: config::Config,
        bytes: Vec<u8>,
        source: ConfigSource,
    ) {
        let shared = &self.shared;
        let old_version = shared.routing.borrow().version;
        let is_newer = config.version() > old_version;
        if is_newer {
            *self.active_config.borrow_mut() = Some(bytes);
        }
        if let Some(bytes) = &*self.active_config.borrow() {
            shared.mirror.borrow_mut().restore_config(bytes);
        }
        if !is_newer {
            return;
        }
        let routing = config::decode(config);
        let version = routing.version;
        shared.metrics.config_version.set(version as i64);
        shared.registry.borrow_mut().set_models(&routing);
        *shared.routing.borrow_mut() = Arc::new(routing);
        self.log_faulty();
        reach::forget_services(shared);
        offers::forget_services(shared);
        plain_answer::forget_services(shared);
        stop::forget_routes(shared);
        let age = shared.freshness.borrow().age(shared.now());
        let fields = json!({
            "version": version,
            "before": old_version,
            "from": source.name(),
            "before_age_ms": age.map(|a| a.as_millis() as u64),
        });
        log::event(Level::Info, "config", "in force", fields);
        *shared.config_source.borrow_mut() = Some(source);
    }

    /// Logs when the box's data becomes older than the bound within which a configuration
    /// must be in force, and when it no longer is.
    pub(super) async fn report_config_age(self: Rc<Self>) {
        let mut was_old = false;
        loop {
            let bound = self.shared.settings().apply_bound();
            let age = self.shared.freshness.borrow().age(self.shared.now());
            let Some(age) = age else {
                sleep(bound).await;
                continue;
            };
            let is_old = age > bound;
            if is_old != was_old {
                self.log_config_age(age, is_old);
                was_old = is_old;
            }
            sleep((bound.saturating_sub(age)).max(RECHECK_DELAY)).await;
        }
    }

    fn log_config_age(&self, age: Duration, is_old: bool) {
        let what = if is_old { "too old" } else { "current again" };
        let fields = json!({
            "version": self.shared.routing.borrow().version,
            "age_ms": age.as_millis() as u64,
            "reads": self.is_reader(),
            "sources": self.shared.readers.borrow().sources,
        });
        log::event(Level::Warn, "config", what, fields);
    }
}
