//! Watches the configuration and the upstreams in the store.

use std::rc::Rc;
use std::time::Duration;

use platform::servers::UpstreamChange;
use platform::{StoreError, config, servers};
use tokio::time::{sleep, timeout};

use super::revision_check::MIN_RETRY_DELAY;
use super::{StoreFollower, advance_revision, log_announced, log_skipped, may_log_each};

/// How long watches wait for the store to recover before they retry on their own.
const MAX_AWAY_WAIT: Duration = Duration::from_secs(5);

/// Share of the operators' bounds for which further changes are batched after a watch has
/// delivered some, so that simultaneous changes cost one call. The remainder is for the
/// call itself and for requests in flight.
const BATCH_SHARE: f64 = 0.35;

/// Batching share where a few boxes read for all: each call serves thirty boxes, and its
/// data takes another hop to reach them.
const READER_BATCH_SHARE: f64 = 0.1;

/// Batch delay before any engine holds layers: all entries are new then, and nothing can
/// be served yet.
const INITIAL_BATCH_DELAY: Duration = Duration::from_millis(1200);

impl StoreFollower {
    /// Follows the configuration while this box reads.
    pub(super) async fn follow_config(self: Rc<Self>) {
        loop {
            self.wait_until_reader().await;
            let Some(since) = self.config_revision.get() else {
                self.wait_if_failed("config", self.read_config().await)
                    .await;
                self.notify_pollers().await;
                continue;
            };
            let watch = config::watch(&self.shared.store, since, self.watch_time(), log_skipped);
            match self.unless_restarted(watch).await {
                Some(Ok((configs, revision))) => {
                    let changed = !configs.is_empty();
                    self.apply_configs(configs);
                    advance_revision(&self.config_revision, revision);
                    if changed {
                        self.notify_pollers().await;
                        self.delay_watch(self.config_batch_delay()).await;
                    }
                }
                Some(Err(fault)) => {
                    self.config_revision.set(None);
                    self.wait_after_failure("config", &fault).await;
                }
                None => {}
            }
        }
    }

    fn apply_configs(&self, configs: Vec<(config::Config, u64)>) {
        let is_first = self.shared.routing().version == 0;
        let changed = !configs.is_empty();
        for (config, revision) in configs {
            if let Err(fault) = self.apply_config(config, revision) {
                log_skipped("config", &fault);
            }
        }
        self.changed.notify_waiters();
        if changed && is_first {
            self.shared.update_synced();
            // A watch does not show that the configuration is current, so check that now.
            self.check_now.notify_one();
        }
    }

    /// Follows the upstreams while this box reads.
    pub(super) async fn follow_upstreams(self: Rc<Self>) {
        loop {
            self.wait_until_reader().await;
            let Some(since) = self.upstreams_revision.get() else {
                self.wait_if_failed("servers", self.read_upstreams().await.map(drop))
                    .await;
                self.notify_pollers().await;
                continue;
            };
            let watch = servers::watch(&self.shared.store, since, self.watch_time(), log_skipped);
            match self.unless_restarted(watch).await {
                Some(Ok((updates, revision))) => {
                    let changed = !updates.is_empty();
                    self.apply_updates(updates);
                    advance_revision(&self.upstreams_revision, revision);
                    if changed {
                        self.notify_pollers().await;
                        self.delay_watch(self.upstreams_batch_delay()).await;
                    }
                }
                Some(Err(fault)) => {
                    self.upstreams_revision.set(None);
                    self.wait_after_failure("servers", &fault).await;
                }
                None => {}
            }
        }
    }

    /// Applies changes from a watch, except those older than a list read meanwhile.
    fn apply_updates(&self, updates: Vec<UpstreamChange>) {
        let removals_certain = !self.has_uncertain_removals();
        let logs_each = may_log_each(updates.len());
        for update in updates {
            match update {
                UpstreamChange::Put(upstream, revision) => {
                    let is_new = self
                        .shared
                        .mirror
                        .borrow_mut()
                        .put(revision, upstream.clone());
                    if is_new {
                        if logs_each {
                            log_announced(&upstream, revision);
                        }
                        self.put(upstream);
                    }
                }
                UpstreamChange::Gone(id, revision) => {
                    if self.shared.mirror.borrow_mut().remove(revision, &id) {
                        self.remove(&id, revision, removals_certain);
                    }
                }
            }
        }
        self.changed.notify_waiters();
    }

    /// Waits if an initial read failed.
    async fn wait_if_failed(&self, call: &str, result: Result<(), StoreError>) {
        if let Err(fault) = result {
            self.wait_after_failure(call, &fault).await;
        }
    }

    /// Waits before the next call of a watch, so that further changes come with it.
    async fn delay_watch(&self, delay: Duration) {
        let until = self.shared.now() + delay;
        self.watch_delayed_until
            .set(until.max(self.watch_delayed_until.get()));
        sleep(delay).await;
    }

    fn watch_time(&self) -> Duration {
        Duration::from_millis(self.shared.settings().timing.watch_ms)
    }

    /// Runs a watch; returns `None` if the watches were restarted meanwhile or this box
    /// stopped reading the store.
    async fn unless_restarted<T>(
        &self,
        watch: impl Future<Output = Result<T, StoreError>>,
    ) -> Option<Result<T, StoreError>> {
        let mut reads = self.shared.reads_store.subscribe();
        let result = tokio::select! {
            result = watch => result,
            () = self.restart.notified() => return None,
            _ = reads.wait_for(|reads| !reads) => return None,
        };
        self.shared.count_store_call("watch", &result);
        Some(result)
    }

    fn upstreams_batch_delay(&self) -> Duration {
        let registry = self.shared.registry.borrow();
        let has_placed = registry.iter().any(|e| e.upstream.layers.is_some());
        match has_placed || self.shared.is_ready() {
            true => self
                .shared
                .settings()
                .drain_bound()
                .mul_f64(self.batch_share()),
            false => INITIAL_BATCH_DELAY,
        }
    }

    fn config_batch_delay(&self) -> Duration {
        self.shared
            .settings()
            .apply_bound()
            .mul_f64(self.batch_share())
    }

    fn batch_share(&self) -> f64 {
        match self.is_polled.get() {
            true => READER_BATCH_SHARE,
            false => BATCH_SHARE,
        }
    }

    /// Waits after a failed watch. While the store is unreachable only the freshness
    /// checks keep calling it, as each call is billed, refused ones too.
    async fn wait_after_failure(&self, call: &str, fault: &StoreError) {
        self.note_store_failure(call, fault);
        if self.failed_at.get().is_none() {
            sleep(MIN_RETRY_DELAY).await;
            return;
        }
        self.check_now.notify_one();
        let _ = timeout(MAX_AWAY_WAIT, self.restart.notified()).await;
    }
}
