//! Registry of all upstreams that a box knows of: which are present, missing or removed.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::chain::Layer;
use crate::load_report::{self, SlowUpstreams, UpstreamKey};
use crate::member::UpstreamId;
use crate::notice::{AbsentNotices, UpstreamNotice};
use crate::quarantine::{InstanceKey, instance_key};
use crate::routing::{RoutingConfig, ServiceId};
use crate::upstream::{EntryFault, Upstream};
use crate::upstream_state::UpstreamState;

/// Slowness factors are sent to other boxes as multiples of 1 / `SLOW_FACTOR_SCALE`.
const SLOW_FACTOR_SCALE: f64 = 10.0;

/// All upstreams that this box knows of, with their state.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    entries: HashMap<UpstreamId, UpstreamState>,
    /// Upstreams whose entries name nothing that can be used.
    faulty: HashMap<UpstreamId, EntryFault>,
    /// Number of layers of each service's model.
    model_layers: HashMap<ServiceId, Layer>,
    /// Notices of upstreams that have no entry.
    absent: AbsentNotices,
    /// Counts changes of the entries.
    generation: u64,
    /// Number of data centres with upstreams, and the generation for which it was counted.
    data_centres: Cell<(u64, usize)>,
}

impl UpstreamRegistry {
    /// Replaces the whole list. Upstreams that are not in it are removed: at once if
    /// `removals_certain`, otherwise if they have not come back within a grace period.
    /// Until then they get no new work.
    pub fn replace(&mut self, now: Duration, list: Vec<Upstream>, removals_certain: bool) {
        let listed: HashSet<_> = list.iter().map(|u| u.id.clone()).collect();
        for (id, entry) in &mut self.entries {
            if !listed.contains(id) {
                entry.mark_missing(now);
            }
        }
        if removals_certain {
            self.remove_where(now, UpstreamState::is_missing);
        }
        self.faulty.retain(|id, _| listed.contains(id));
        for upstream in list {
            self.put(upstream);
        }
        self.generation += 1;
    }

    /// Takes the models from a new configuration. Entries that do not fit them are faulty.
    pub fn set_models(&mut self, routing: &RoutingConfig) {
        let services = routing.services.iter();
        let models = services.filter_map(|(id, s)| Some((id.clone(), s.model.as_ref()?.layers)));
        self.model_layers = models.collect();
        let entries = self.entries.values();
        let faults =
            entries.filter_map(|e| Some((e.upstream.id.clone(), self.fault_of(&e.upstream)?)));
        self.faulty = faults.collect();
        self.generation += 1;
    }

    fn fault_of(&self, upstream: &Upstream) -> Option<EntryFault> {
        let layers = self.model_layers.get(&upstream.service).copied();
        upstream.check_layers(layers).err()
    }

    /// Returns the fault of an upstream's entry, for which the upstream is not used.
    pub fn fault(&self, id: &str) -> Option<EntryFault> {
        self.faulty.get(id).copied()
    }

    /// Iterates over the upstreams that are not used for a fault of their entries.
    pub fn faulty(&self) -> impl Iterator<Item = (&UpstreamId, EntryFault)> {
        self.faulty.iter().map(|(id, fault)| (id, *fault))
    }

    /// Inserts or updates an upstream.
    pub fn put(&mut self, upstream: Upstream) {
        self.generation += 1;
        match self.fault_of(&upstream) {
            Some(fault) => self.faulty.insert(upstream.id.clone(), fault),
            None => self.faulty.remove(&upstream.id),
        };
        let entry = match self.entries.get_mut(&upstream.id) {
            Some(entry) if entry.upstream.started_ms == upstream.started_ms => {
                entry.upstream = upstream;
                entry.missing_since = None;
                return;
            }
            Some(entry) => entry.after_restart(upstream),
            None => {
                let notice = self.absent.remove(&upstream.id, upstream.started_ms);
                UpstreamState::new(upstream, notice)
            }
        };
        self.entries.insert(entry.upstream.id.clone(), entry);
    }

    /// Records that other boxes found these upstreams to be lost. This is only a hint: the
    /// upstreams are still used if there is no alternative.
    pub fn note_peer_suspects(&mut self, now: Duration, keys: &[UpstreamKey]) {
        for (id, entry) in &mut self.entries {
            if keys.contains(&load_report::upstream_key(id)) {
                entry.note_peer_suspect(now);
            }
        }
    }

    /// Records which engines have reported to other boxes that they are slow.
    pub fn note_peer_slow(&mut self, now: Duration, slow: &SlowUpstreams) {
        if slow.is_empty() {
            return;
        }
        for (id, entry) in &mut self.entries {
            let key = load_report::upstream_key(id);
            if let Ok(at) = slow.binary_search_by_key(&key, |(key, _)| *key) {
                entry.note_peer_slow(now, f64::from(slow[at].1) / SLOW_FACTOR_SCALE);
            }
        }
    }

    /// Returns the engines, of the services that `is_included` accepts, that have reported
    /// to this box that they are slow.
    pub fn slow_upstreams(
        &self,
        now: Duration,
        is_included: impl Fn(&str) -> bool,
    ) -> SlowUpstreams {
        let states = self.entries.values();
        let states = states.filter(|e| is_included(&e.upstream.service));
        let tenths = |factor: f64| (factor * SLOW_FACTOR_SCALE).min(f64::from(u16::MAX)) as u16;
        let slow = states.filter_map(|e| {
            let factor = e.own_slowness(now)?;
            Some((load_report::upstream_key(&e.upstream.id), tenths(factor)))
        });
        let mut slow: SlowUpstreams = slow.collect();
        slow.sort_unstable();
        slow
    }

    /// Removes an upstream that is gone, but keeps the notices from its answers.
    pub fn remove(&mut self, now: Duration, id: &str) {
        if let Some(e) = self.entries.remove(id) {
            self.absent.insert(now, id, e.upstream.started_ms, e.notice);
        }
        self.faulty.remove(id);
        self.generation += 1;
    }

    /// Records that an upstream disappeared from the list during an outage of the store. It
    /// gets no new work and may still come back.
    pub fn mark_missing(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.mark_missing(now);
        }
    }

    /// Removes missing upstreams that did not come back within the grace period.
    pub fn expire(&mut self, now: Duration) {
        let before = self.entries.len();
        self.remove_where(now, |e| e.is_expired(now));
        if self.entries.len() != before {
            self.generation += 1;
        }
    }

    /// Removes entries, but keeps the notices of their upstreams.
    fn remove_where(&mut self, now: Duration, is_removed: impl Fn(&UpstreamState) -> bool) {
        for (id, e) in self.entries.extract_if(|_, e| is_removed(e)) {
            self.faulty.remove(&id);
            self.absent
                .insert(now, &id, e.upstream.started_ms, e.notice);
        }
    }

    /// Returns a number that changes whenever an upstream is added, removed or changed.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the number of data centres that have upstreams.
    pub fn data_centres(&self) -> usize {
        let (generation, count) = self.data_centres.get();
        if generation == self.generation {
            return count;
        }
        let names: HashSet<_> = self.iter().map(|e| &e.upstream.data_centre).collect();
        self.data_centres.set((self.generation, names.len()));
        names.len()
    }

    /// Returns the upstream with this id.
    pub fn get(&self, id: &str) -> Option<&UpstreamState> {
        self.entries.get(id)
    }

    /// Returns the upstream at this address, unless its entry is faulty.
    pub fn by_addr(&self, addr: &str) -> Option<&UpstreamState> {
        let mut at_addr = self.entries.values().filter(|e| e.upstream.addr == addr);
        at_addr.find(|e| !self.is_faulty(e))
    }

    /// Iterates over all upstreams of a service but those whose entries are faulty.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a UpstreamState> {
        let all = self.entries.values();
        all.filter(move |e| &*e.upstream.service == service && !self.is_faulty(e))
    }

    fn is_faulty(&self, entry: &UpstreamState) -> bool {
        !self.faulty.is_empty() && self.faulty.contains_key(&entry.upstream.id)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamState> {
        self.entries.values()
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a request of this box was assigned to an upstream, where it holds
    /// memory for `token_layers` tokens times layers.
    pub fn begin_request(&mut self, id: &str, token_layers: u64) {
        self.update(id, |e| e.begin_request(token_layers));
    }

    /// Records that such a request has ended there.
    pub fn end_request(&mut self, id: &str, token_layers: u64) {
        self.update(id, |e| e.end_request(token_layers));
    }

    /// Records that a request of this box was sent to an upstream directly, as the first of
    /// its chain, and did not reach it through another engine.
    pub fn begin_head(&mut self, id: &str) {
        self.update(id, |e| e.head_requests += 1);
    }

    /// Records that such a request has ended.
    pub fn end_head(&mut self, id: &str) {
        self.update(id, |e| e.head_requests = e.head_requests.saturating_sub(1));
    }

    /// Records that an upstream was given prompts that take it `seconds` to read.
    pub fn note_prefill(&mut self, now: Duration, id: &str, seconds: f64) {
        self.update(id, |e| e.note_prefill(now, seconds));
    }

    /// Records the latency of a complete answer.
    pub fn record_latency(&mut self, now: Duration, id: &str, took: Duration) {
        self.update(id, |e| e.record_latency(now, took));
    }

    /// Records a request that got no answer or an invalid one.
    pub fn record_failure(&mut self, now: Duration, id: &str) {
        self.update(id, |e| e.record_failure(now));
    }

    /// Records that the connection of a run of this box on an upstream broke.
    pub fn note_broken_run(&mut self, now: Duration, id: &str) {
        self.update(id, |e| e.note_broken_run(now));
    }

    /// Returns the upstream instance with this key.
    pub fn by_instance(&self, instance: InstanceKey) -> Option<&UpstreamState> {
        let key = |e: &UpstreamState| instance_key(&e.upstream.id, e.upstream.started_ms);
        self.entries.values().find(|e| key(e) == instance)
    }

    /// Records that an event arrived that this upstream took part in.
    pub fn note_activity(&mut self, now: Duration, id: &str) {
        self.update(id, |e| e.note_activity(now));
    }

    /// Excludes an upstream for some time; returns whether it was not suspect before.
    pub fn mark_suspect(&mut self, now: Duration, id: &str) -> bool {
        self.update(id, |e| e.mark_suspect(now)).unwrap_or(false)
    }

    /// Clears what was concluded from connections to upstreams of a service that failed at
    /// `since` or later, because this box was cut off from it.
    pub fn clear_suspects(&mut self, service: &str, since: Duration) {
        let entries = self.entries.values_mut();
        let of_service = entries.filter(|e| &*e.upstream.service == service);
        of_service.for_each(|e| e.clear_suspect(since));
    }

    /// Records that an upstream refused a connection right after an existing one broke. It
    /// gets no new requests for a moment, but keeps those that it has.
    pub fn note_unreachable(&mut self, now: Duration, id: &str) {
        self.update(id, |e| e.note_unreachable(now));
    }

    /// Records that an upstream had no capacity for a request.
    pub fn note_full(&mut self, now: Duration, id: &str) {
        self.update(id, |e| e.note_full(now));
    }

    /// Sends nothing to an upstream for `duration`, as it accepts no more requests.
    pub fn block(&mut self, now: Duration, id: &str, duration: Duration) {
        self.update(id, |e| e.block(now, duration));
    }

    /// Records that an upstream no longer names a rate limit.
    pub fn unblock(&mut self, key: UpstreamKey) {
        for (id, entry) in &mut self.entries {
            if load_report::upstream_key(id) == key {
                entry.unblock();
            }
        }
    }

    /// Records that an upstream asked this box to send nothing for `backoff`.
    pub fn note_backoff(&mut self, now: Duration, id: &str, backoff: Duration) {
        self.update_notice(now, id, |n| n.extend_backoff(now, backoff));
    }

    /// Records that an upstream announced in an answer that it is leaving; returns whether
    /// that was not known.
    pub fn note_leaving(&mut self, now: Duration, id: &str) -> bool {
        let announced = self.get(id).is_some_and(UpstreamState::is_leaving);
        self.update_notice(now, id, UpstreamNotice::set_leaving) && !announced
    }

    /// Updates the state of an upstream; does nothing if it has no entry.
    fn update<T>(&mut self, id: &str, change: impl FnOnce(&mut UpstreamState) -> T) -> Option<T> {
        self.entries.get_mut(id).map(change)
    }

    fn update_notice<T>(
        &mut self,
        now: Duration,
        id: &str,
        change: impl FnOnce(&mut UpstreamNotice) -> T,
    ) -> T {
        match self.entries.get_mut(id) {
            Some(entry) => change(&mut entry.notice),
            None => self.absent.update(now, id, change),
        }
    }

    /// Records the slowness factor that an engine reported; returns whether it changed
    /// notably.
    pub fn note_slow(&mut self, now: Duration, id: &str, factor: f64) -> bool {
        let changed = self.update(id, |e| e.note_slow(now, factor));
        changed.unwrap_or(false)
    }

    /// Excludes an upstream for a moment, as it does not hold what its entry announces.
    pub fn note_stale(&mut self, now: Duration, id: &str) {
        self.update(id, |e| e.note_stale(now));
    }

    /// Records the load that an upstream reported about itself.
    pub fn note_load(&mut self, id: &str, running: u32, waiting: u32) {
        self.update(id, |e| e.reported_load = Some((running, waiting)));
    }
}
