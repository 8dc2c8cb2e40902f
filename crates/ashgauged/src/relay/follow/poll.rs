//! Polls the boxes that read the store on behalf of the others.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::hub::{self, Role};
use ashgauge::member::BoxId;
use ashgauge::mirror::ChangeKind;
use ashgauge::poller::{PollAction, PollFailure, PollTiming};
use ashgauge::query::{Answer, AnswerBody, FetchToken, Query, proven_at};
use ashgauge::reader::{self, Backoffs, Fleet, Member, Readers};
use ashgauge::revision;
use http::FetchLimits;
use platform::config::Config;
use rand::Rng;
use serde_json::json;
use spdlog::Level;
use tokio::sync::{Mutex, mpsc};
use tokio::time::sleep;

use super::super::peers::{PeerMessage, Peers};
use super::super::state::ConfigSource;
use super::super::{log, membership, quarantine};
use super::StoreFollower;

/// Interval between checks until the other boxes have been discovered.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between polling rounds while nothing is known: the readers have just started
/// as well.
const UNSYNCED_INTERVAL: Duration = Duration::from_millis(300);

/// Share of the operators' bounds on the age of data after which a box that no other box
/// could inform reads the store itself. The remainder is for the polling round that shows
/// this and for the read.
const DIRECT_READ_SHARE: f64 = 0.6;

/// How long a box without data only polls others before it reads the store: the first
/// applies if no box answers, the second if some answer that have no data either, as they
/// may be about to get it.
const DIRECT_READ_DELAY: Duration = Duration::from_millis(1500);
const ANSWERED_READ_DELAY: Duration = Duration::from_millis(6000);

/// Time for which a selection of the readers is reused; boxes that stop answering change
/// it.
const READERS_TTL: Duration = Duration::from_millis(200);

/// Range of the random delay between direct reads that brought nothing, so that boxes
/// that have lost their readers do not call the store at the same time.
const DIRECT_READ_INTERVAL: std::ops::Range<Duration> =
    Duration::from_millis(2000)..Duration::from_millis(8000);

impl StoreFollower {
    /// Polls the readers as long as the process runs.
    pub(super) async fn poll_readers(
        self: Rc<Self>,
        messages: Rc<Mutex<mpsc::Receiver<PeerMessage>>>,
    ) {
        let mut messages = messages.lock().await;
        let Some(peers) = self.peers.clone() else {
            return;
        };
        let mut direct_read_at = Duration::ZERO;
        let mut resumptions = self.shared.clock.resumptions();
        loop {
            let next_at = self.poll_next(&peers, &mut direct_read_at).await;
            let wait = next_at.saturating_sub(self.shared.now());
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(&peers, message).await,
                    None => return,
                },
                () = sleep(wait) => {}
                // The data has aged during the suspension; the clock lives as long as the
                // shared state.
                Ok(()) = resumptions.changed() => {}
            }
        }
    }

    /// Takes the next polling step; returns when to take the one after it.
    async fn poll_next(&self, peers: &Peers, direct_read_at: &mut Duration) -> Duration {
        let now = self.shared.now();
        if self.shared.discovered_at.get().is_none() {
            return now + DISCOVERY_INTERVAL;
        }
        let readers = self.readers(now);
        self.set_role(&readers);
        self.shared.registry.borrow_mut().expire(now);
        let timing = self.poll_timing();
        let age = self.shared.freshness.borrow().age(now);
        let is_fresh = age.is_some_and(|age| age <= timing.max_age);
        if readers.includes_self && is_fresh && self.has_synced_with_peers() {
            return now + timing.interval;
        }
        let action = {
            let sources = || readers.sources.clone();
            let mut poller = self.poller.borrow_mut();
            poller.next_action(now, &timing, sources, &mut *self.shared.rng())
        };
        match action {
            PollAction::Query { to, id } => {
                let query = self.build_query(id, None);
                peers.send_query(&to, query).await;
                now + timing.answer_timeout
            }
            PollAction::Failed(failure) => {
                if failure == PollFailure::NoAnswer {
                    self.refresh_members(now);
                }
                if !self.is_reader() && self.may_read_directly(failure) && now >= *direct_read_at {
                    *direct_read_at = self.read_directly().await;
                }
                now
            }
            PollAction::Wait(until) => until,
        }
    }

    /// Returns the boxes that read the store, as far as this box knows.
    fn readers(&self, now: Duration) -> Rc<Readers> {
        let shared = &self.shared;
        if now < self.chosen_at.get() + READERS_TTL {
            return shared.readers.borrow().clone();
        }
        self.chosen_at.set(now);
        let (own, fleet) = membership::known_fleet(shared);
        *shared.permits.issuers.borrow_mut() = Rc::new(issuers(&own, &fleet, now));
        let readers = reader::choose(&own, &fleet, &self.poller.borrow().backoffs, now);
        *shared.readers.borrow_mut() = Rc::new(readers);
        shared.readers.borrow().clone()
    }

    /// Refreshes the member list, as the polled boxes do not answer: others may be
    /// readers by now.
    fn refresh_members(&self, now: Duration) {
        if now >= self.refresh_at.get() {
            self.refresh_at
                .set(now + self.random_delay(DIRECT_READ_INTERVAL));
            tokio::task::spawn_local(membership::refresh(self.shared.clone()));
        }
    }

    pub(super) fn is_reader(&self) -> bool {
        *self.shared.reads_store.borrow()
    }

    /// Starts or stops reading the store.
    fn set_role(&self, readers: &Readers) {
        let (shared, reads_store) = (&self.shared, readers.includes_self);
        self.is_polled.set(readers.has_followers);
        if reads_store == self.is_reader() {
            return;
        }
        let known_revision = shared.is_synced().then(|| shared.mirror.borrow().covered());
        self.config_revision.set(known_revision);
        self.upstreams_revision.set(known_revision);
        if !reads_store {
            // Past failures say nothing about the store when this box reads it again.
            self.failed_at.set(None);
            shared.store_down.set(false);
        }
        shared.reads_store.send_replace(reads_store);
        if reads_store {
            tokio::task::spawn_local(quarantine::load_quarantined(shared.clone()));
            // A reader answers only boxes that it knows.
            tokio::task::spawn_local(membership::refresh(shared.clone()));
        }
        log::event(
            Level::Info,
            "store",
            "role",
            json!({"reads": reads_store, "known": known_revision}),
        );
    }

    fn poll_timing(&self) -> PollTiming {
        let timing = self.shared.settings().poll_timing();
        match self.shared.is_synced() {
            true => timing,
            false => PollTiming {
                interval: UNSYNCED_INTERVAL,
                ..timing
            },
        }
    }

    fn build_query(&self, id: u64, token: Option<FetchToken>) -> Query {
        let is_synced = self.shared.is_synced();
        let covered = self.shared.mirror.borrow().covered();
        Query {
            from: self.shared.settings().id.as_str().into(),
            id,
            after: match is_synced && self.has_synced_with_peers() && !self.restore.needs_copy.get()
            {
                true => covered,
                false => 0,
            },
            fetch_token: token,
        }
    }

    /// Returns whether this box, which no other box could inform, is to read the store
    /// itself.
    fn may_read_directly(&self, failure: PollFailure) -> bool {
        let shared = &self.shared;
        if let Some(age) = shared.freshness.borrow().age(shared.now()) {
            let settings = shared.settings();
            let bound = settings.max_key_age().min(settings.apply_bound());
            return age >= bound.mul_f64(DIRECT_READ_SHARE);
        }
        let delay = match failure {
            PollFailure::NoAnswer => DIRECT_READ_DELAY,
            PollFailure::StaleAnswer => ANSWERED_READ_DELAY,
            PollFailure::EmptyStore => return false,
        };
        let since_discovery = shared
            .discovered_at
            .get()
            .map(|at| shared.now().saturating_sub(at));
        since_discovery.is_some_and(|time| time >= self.random_delay(delay..delay * 2))
    }

    /// Reads the store; returns when to do so again if no box can inform this one until
    /// then.
    async fn read_directly(&self) -> Duration {
        let shared = &self.shared;
        let age = shared.freshness.borrow().age(shared.now());
        log::event(
            Level::Info,
            "store",
            "read alone",
            json!({"age_ms": age.map(|a| a.as_millis() as u64)}),
        );
        match self.read_all().await {
            // The data ages as before, and the age triggers the next read.
            Ok(()) if shared.is_synced() => return shared.now(),
            Ok(()) => {}
            Err(fault) => self.note_store_failure("read alone", &fault),
        }
        shared.now() + self.random_delay(DIRECT_READ_INTERVAL)
    }

    async fn read_all(&self) -> Result<(), platform::StoreError> {
        self.read_config().await?;
        self.read_upstreams().await.map(drop)
    }

    fn random_delay(&self, range: std::ops::Range<Duration>) -> Duration {
        self.shared.rng().random_range(range)
    }

    async fn handle_message(&self, peers: &Rc<Peers>, message: PeerMessage) {
        match message {
            PeerMessage::Changed(from) => self.handle_changed(from),
            PeerMessage::FetchFailed(from) => {
                let now = self.shared.now();
                self.poller.borrow_mut().on_fetch_failed(now, &from);
            }
            PeerMessage::Answer(answer, fetch_asked_at) => {
                self.handle_answer(peers, answer, fetch_asked_at).await
            }
        }
    }

    /// Polls a box with new data at once. In a large fleet each box waits for its own
    /// hub, which soon has the same data: otherwise all boxes would poll the first one.
    fn handle_changed(&self, from: BoxId) {
        let is_own = match self.shared.role() {
            Role::Leaf(hub) => hub == from,
            _ => true,
        };
        if is_own {
            self.poller.borrow_mut().on_changed(from);
        }
    }

    /// Handles an answer. An answer to a query that this box did not send, or that was
    /// answered before, is dropped.
    async fn handle_answer(
        &self,
        peers: &Rc<Peers>,
        answer: Answer,
        fetch_asked_at: Option<Duration>,
    ) {
        let query_sent_at = self
            .poller
            .borrow_mut()
            .close_query(answer.id, &answer.from);
        let Some(asked_at) = fetch_asked_at.or(query_sent_at) else {
            self.shared
                .metrics
                .datagrams
                .with_label_values(&["unasked"])
                .inc();
            return;
        };
        let timing = self.poll_timing();
        let now = self.shared.now();
        let is_fetched = fetch_asked_at.is_some();
        let is_too_large = matches!(answer.body, AnswerBody::TooLarge { .. });
        if is_too_large && is_fetched {
            return;
        }
        self.poller
            .borrow_mut()
            .on_answer(now, &timing, &answer.from, &answer.body);
        if answer.boxes > self.shared.counted_boxes() {
            self.shared.set_fleet_size(answer.boxes);
        }
        match answer.body {
            // A compressed answer was decompressed when it was fetched.
            AnswerBody::Empty { .. } | AnswerBody::Compressed { .. } => {}
            AnswerBody::Update { age, update } => {
                let has_changes = self.apply_update(&answer.from, asked_at, age, update).await;
                if is_fetched && has_changes {
                    self.poller.borrow_mut().restart_round(self.shared.now());
                }
            }
            AnswerBody::TooLarge {
                fetch_token: token,
                bytes,
            } => {
                let query = self.build_query(answer.id, Some(token));
                let peers = peers.clone();
                let limits = FetchLimits {
                    total: timing.fetch_timeout(bytes),
                    silence: timing.fetch_silence(bytes),
                };
                tokio::task::spawn_local(peers.fetch(answer.from, query, limits));
            }
        }
    }

    /// Applies an update of another box, as of the time for which its answer confirms the
    /// data. Returns whether it brought changes.
    async fn apply_update(
        &self,
        from: &BoxId,
        asked_at: Duration,
        age: Duration,
        update: ashgauge::mirror::Update,
    ) -> bool {
        let shared = &self.shared;
        let mut configs = update.changes.iter().filter_map(|c| match &c.kind {
            ChangeKind::Config(bytes) => {
                Some(Config::from_bytes(bytes).map(|c| (c, bytes.clone())))
            }
            _ => None,
        });
        let config = match configs.next_back().transpose() {
            Ok(config) => config,
            Err(fault) => {
                let fields = json!({"from": &**from, "fault": fault.to_string()});
                log::event(Level::Warn, "fleet", "answer cannot be read", fields);
                return false;
            }
        };
        let (removals_certain, is_full) = (update.removals_certain, update.is_full);
        let era = revision::era(update.up_to);
        let covered = shared.mirror.borrow().covered();
        // A full copy that is older than the data here is not applied.
        let replaced = is_full && update.up_to >= covered;
        if era < revision::era(covered) {
            // The sender's data is from before the store was restored.
            return false;
        }
        shared.store.raise_era(era);
        self.restore.peer_synced.set(true);
        let was_synced = shared.is_synced();
        let changes = shared.mirror.borrow_mut().apply(update);
        let has_changes = !changes.is_empty();
        if let Some((config, bytes)) = config {
            self.activate_config(config, bytes, ConfigSource::Box(from.clone()));
        }
        if era > 0 {
            self.note_copy_certainty(replaced, removals_certain);
        }
        self.apply_changes(changes, removals_certain);
        // This box's copy may lack entries that the sender already accepts again.
        shared
            .removals_certain
            .set(removals_certain && !self.restore.settling.get());
        shared.upstreams_listed.set(true);
        if let Some(at) = proven_at(asked_at, age) {
            shared.freshness.borrow_mut().confirm(at);
        }
        if !self.is_reader() && age <= self.poll_timing().max_age {
            self.failed_at.set(None);
            shared.store_down.set(false);
        }
        shared.update_synced();
        if !was_synced {
            let fields =
                json!({"from": &**from, "whole": is_full, "age_ms": age.as_millis() as u64});
            log::event(Level::Info, "store", "learned", fields);
        }
        if has_changes {
            self.changed.notify_waiters();
            self.notify_pollers().await;
        }
        has_changes
    }
}

/// Returns the boxes that may issue permits: all in a small fleet, otherwise the readers
/// that are selected when every box answers, as they know all boxes and all boxes know
/// them.
fn issuers(own: &Member, fleet: &Fleet, now: Duration) -> Vec<BoxId> {
    if hub::is_full_mesh(fleet.box_count) {
        return fleet.candidates.iter().map(|m| m.id.clone()).collect();
    }
    reader::choose(own, fleet, &Backoffs::default(), now).ids
}
