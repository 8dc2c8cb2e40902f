//! Watches of the store: the configuration and the upstreams, as they change.

use std::rc::Rc;
use std::time::Duration;

use platform::servers::UpstreamChange;
use platform::{StoreError, config, servers};
use tokio::time::{sleep, timeout};

use super::prove::PAUSE_FIRST;
use super::{Follower, advance, has_lines, log_announced, skipped};

/// How long watches wait for the store's return before they try by
/// themselves.
const AWAY_MOST: Duration = Duration::from_secs(5);

/// Share of the operators' bounds for which changes are gathered after a watch
/// brought some, so that those which come together cost one call. What is left
/// is for the call itself and for requests on their way.
const GATHER_SHARE: f64 = 0.35;

/// The same where few boxes read for all: each call serves thirty boxes, and
/// what it brings has a further way to go.
const GATHER_SHARED: f64 = 0.1;

/// How long they are gathered before any engine holds layers: all entries are
/// new then, and nothing can be served yet.
const GATHER_FIRST: Duration = Duration::from_millis(1200);

impl Follower {
    /// Follows the configuration while this box reads.
    pub(super) async fn follow_config(self: Rc<Self>) {
        loop {
            self.until_reader().await;
            let Some(from) = self.config_at.get() else {
                self.begin("config", self.read_config().await).await;
                self.spread_news().await;
                continue;
            };
            let watch = config::watch(&self.desk.store, from, self.watch_time(), skipped);
            match self.unless_restarted(watch).await {
                Some(Ok((configs, at))) => {
                    let changed = !configs.is_empty();
                    self.take_configs(configs);
                    advance(&self.config_at, at);
                    if changed {
                        self.spread_news().await;
                        sleep(self.config_gather()).await;
                    }
                }
                Some(Err(fault)) => {
                    self.config_at.set(None);
                    self.wait_out("config", &fault).await;
                }
                None => {}
            }
        }
    }

    fn take_configs(&self, configs: Vec<(config::Config, u64)>) {
        let first = self.desk.routing().version == 0;
        let changed = !configs.is_empty();
        for (config, revision) in configs {
            if let Err(fault) = self.adopt(config, revision) {
                skipped("config", &fault);
            }
        }
        self.changed.notify_waiters();
        if changed && first {
            // A watch proves nothing.
            self.desk.note_read();
            self.check.notify_one();
        }
    }

    /// Follows the upstreams while this box reads.
    pub(super) async fn follow_servers(self: Rc<Self>) {
        loop {
            self.until_reader().await;
            let Some(from) = self.servers_at.get() else {
                self.begin("servers", self.read_servers().await.map(drop))
                    .await;
                self.spread_news().await;
                continue;
            };
            let watch = servers::watch(&self.desk.store, from, self.watch_time(), skipped);
            match self.unless_restarted(watch).await {
                Some(Ok((updates, at))) => {
                    let changed = !updates.is_empty();
                    self.take_updates(updates);
                    advance(&self.servers_at, at);
                    if changed {
                        self.spread_news().await;
                        sleep(self.servers_gather()).await;
                    }
                }
                Some(Err(fault)) => {
                    self.servers_at.set(None);
                    self.wait_out("servers", &fault).await;
                }
                None => {}
            }
        }
    }

    /// Takes what a watch brought; a list that was read meanwhile is newer.
    fn take_updates(&self, updates: Vec<UpstreamChange>) {
        let sure = !self.is_unsure();
        let has_lines = has_lines(updates.len());
        for update in updates {
            match update {
                UpstreamChange::Put(upstream, revision) => {
                    let is_news = self
                        .desk
                        .mirror
                        .borrow_mut()
                        .put(revision, upstream.clone());
                    if is_news {
                        if has_lines {
                            log_announced(&upstream, revision);
                        }
                        self.put(upstream);
                    }
                }
                UpstreamChange::Gone(id, revision) => {
                    if self.desk.mirror.borrow_mut().remove(revision, &id) {
                        self.remove(&id, revision, sure);
                    }
                }
            }
        }
        self.changed.notify_waiters();
    }

    /// Waits if a first reading failed.
    async fn begin(&self, what: &str, read: Result<(), StoreError>) {
        if let Err(fault) = read {
            self.wait_out(what, &fault).await;
        }
    }

    fn watch_time(&self) -> Duration {
        Duration::from_millis(self.desk.settings().timing.watch_ms)
    }

    /// Runs a watch; `None` if the store came back meanwhile, or this box does
    /// not read any more.
    async fn unless_restarted<T>(
        &self,
        watch: impl Future<Output = Result<T, StoreError>>,
    ) -> Option<Result<T, StoreError>> {
        let mut reads = self.desk.reads.subscribe();
        let answer = tokio::select! {
            answer = watch => answer,
            () = self.restart.notified() => return None,
            _ = reads.wait_for(|reads| !reads) => return None,
        };
        self.desk.count_call("watch", &answer);
        Some(answer)
    }

    pub(super) fn servers_gather(&self) -> Duration {
        let roster = self.desk.roster.borrow();
        let placed = roster.iter().any(|e| e.upstream.layers.is_some());
        match placed || self.desk.is_ready() {
            true => self
                .desk
                .settings()
                .drain_time()
                .mul_f64(self.gather_share()),
            false => GATHER_FIRST,
        }
    }

    fn config_gather(&self) -> Duration {
        self.desk
            .settings()
            .apply_time()
            .mul_f64(self.gather_share())
    }

    fn gather_share(&self) -> f64 {
        match self.is_shared.get() {
            true => GATHER_SHARED,
            false => GATHER_SHARE,
        }
    }

    /// Waits after a watch that failed. While the store is away only the
    /// proofs go on calling it, as each call is priced, refused ones too.
    async fn wait_out(&self, what: &str, fault: &StoreError) {
        self.lost(what, fault);
        if self.failed.get().is_none() {
            sleep(PAUSE_FIRST).await;
            return;
        }
        self.check.notify_one();
        let _ = timeout(AWAY_MOST, self.restart.notified()).await;
    }
}
