//! All upstreams that a box knows of: who is there, and who is gone.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::load_report::{self, SlowUpstreams, UpstreamKey};
use crate::member::UpstreamId;
use crate::notice::{AbsentNotices, UpstreamNotice};
use crate::upstream::Upstream;
use crate::upstream_state::UpstreamState;

/// Factors on an engine's time are told in this part of one.
const SLOW_FACTOR_SCALE: f64 = 10.0;

/// All upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    entries: HashMap<UpstreamId, UpstreamState>,
    /// What upstreams said that have no entry.
    absent: AbsentNotices,
    /// Counts changes of what upstreams announce.
    generation: u64,
    /// Data centres with upstreams, and the edition at which they were counted.
    data_centres: Cell<(u64, usize)>,
}

impl UpstreamRegistry {
    /// Takes a whole list. Upstreams that it lacks are gone, at once if `sure`, else
    /// when they have not come back for some time; until then they get no new work.
    pub fn replace(&mut self, now: Duration, list: Vec<Upstream>, sure: bool) {
        let listed: HashSet<_> = list.iter().map(|u| u.id.clone()).collect();
        for (id, entry) in &mut self.entries {
            if !listed.contains(id) {
                entry.mark_missing(now);
            }
        }
        if sure {
            self.remove_where(now, UpstreamState::is_missing);
        }
        for upstream in list {
            self.put(upstream);
        }
        self.generation += 1;
    }

    /// Takes a new or changed upstream.
    pub fn put(&mut self, upstream: Upstream) {
        self.generation += 1;
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

    /// Notes that other boxes found these upstreams to be lost. It is no verdict:
    /// they are used where there is no other way.
    pub fn note_peer_suspects(&mut self, now: Duration, keys: &[UpstreamKey]) {
        for (id, entry) in &mut self.entries {
            if keys.contains(&load_report::upstream_key(id)) {
                entry.note_peer_suspect(now);
            }
        }
    }

    /// Notes which engines told other boxes that they are slow.
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

    /// Engines of some services that told this box that they are slow.
    pub fn slow_upstreams(&self, now: Duration, is_told: impl Fn(&str) -> bool) -> SlowUpstreams {
        let told = self.entries.values();
        let told = told.filter(|e| is_told(&e.upstream.service));
        let tenths = |factor: f64| (factor * SLOW_FACTOR_SCALE).min(f64::from(u16::MAX)) as u16;
        let slow = told.filter_map(|e| {
            let factor = e.own_slowness(now)?;
            Some((load_report::upstream_key(&e.upstream.id), tenths(factor)))
        });
        let mut slow: SlowUpstreams = slow.collect();
        slow.sort_unstable();
        slow
    }

    /// Forgets an upstream that is gone, but for what it said.
    pub fn remove(&mut self, now: Duration, id: &str) {
        if let Some(e) = self.entries.remove(id) {
            self.absent.insert(now, id, e.upstream.started_ms, e.notice);
        }
        self.generation += 1;
    }

    /// Notes that an upstream vanished from the list while the store was away;
    /// it gets no new work and may still come back.
    pub fn mark_missing(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.mark_missing(now);
        }
    }

    /// Forgets those that vanished and did not come back in time.
    pub fn expire(&mut self, now: Duration) {
        let before = self.entries.len();
        self.remove_where(now, |e| e.is_expired(now));
        if self.entries.len() != before {
            self.generation += 1;
        }
    }

    /// Drops entries, and keeps what their upstreams said.
    fn remove_where(&mut self, now: Duration, gone: impl Fn(&UpstreamState) -> bool) {
        for (id, e) in self.entries.extract_if(|_, e| gone(e)) {
            self.absent
                .insert(now, &id, e.upstream.started_ms, e.notice);
        }
    }

    /// Number that changes whenever an upstream comes, goes or changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of data centres that have upstreams.
    pub fn data_centres(&self) -> usize {
        let (edition, known) = self.data_centres.get();
        if edition == self.generation {
            return known;
        }
        let places: HashSet<_> = self.iter().map(|e| &e.upstream.data_centre).collect();
        self.data_centres.set((self.generation, places.len()));
        places.len()
    }

    /// The upstream with this id.
    pub fn get(&self, id: &str) -> Option<&UpstreamState> {
        self.entries.get(id)
    }

    /// The upstream at this address.
    pub fn by_addr(&self, addr: &str) -> Option<&UpstreamState> {
        self.entries.values().find(|e| e.upstream.addr == addr)
    }

    /// All upstreams of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a UpstreamState> {
        let all = self.entries.values();
        all.filter(move |e| &*e.upstream.service == service)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamState> {
        self.entries.values()
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Notes that a request of this box went to an upstream, where it holds
    /// `tokens` tokens times layers.
    pub fn begin_request(&mut self, id: &str, tokens: u64) {
        self.update(id, |e| e.begin_request(tokens));
    }

    /// Notes that such a request is no longer there.
    pub fn end_request(&mut self, id: &str, tokens: u64) {
        self.update(id, |e| e.end_request(tokens));
    }

    /// Notes that a request of this box was sent to an upstream, not only led
    /// through it.
    pub fn begin_head(&mut self, id: &str) {
        self.update(id, |e| e.head_requests += 1);
    }

    /// Notes that such a request is no longer there.
    pub fn end_head(&mut self, id: &str) {
        self.update(id, |e| e.head_requests = e.head_requests.saturating_sub(1));
    }

    /// Notes that an upstream was given prompts that take it `seconds` to read.
    pub fn note_prefill(&mut self, now: Duration, id: &str, seconds: f64) {
        self.update(id, |e| e.note_prefill(now, seconds));
    }

    /// Learns from an answer that took `took`.
    pub fn record_latency(&mut self, now: Duration, id: &str, took: Duration) {
        self.update(id, |e| e.record_latency(now, took));
    }

    /// Learns from a request that brought no answer or a faulty one.
    pub fn record_failure(&mut self, now: Duration, id: &str) {
        self.update(id, |e| e.record_failure(now));
    }

    /// Notes that an upstream had a part in something that came.
    pub fn note_activity(&mut self, now: Duration, id: &str) {
        self.update(id, |e| e.note_activity(now));
    }

    /// Leaves an upstream out for some time; returns true if that is new.
    pub fn mark_suspect(&mut self, now: Duration, id: &str) -> bool {
        self.update(id, |e| e.mark_suspect(now)).unwrap_or(false)
    }

    /// Notes that an upstream took no connection right after one to it broke: it gets
    /// no new requests for a moment, and keeps those that it has.
    pub fn note_unreachable(&mut self, now: Duration, id: &str) {
        self.update(id, |e| e.note_unreachable(now));
    }

    /// Notes that an upstream had no room for a request.
    pub fn note_full(&mut self, now: Duration, id: &str) {
        self.update(id, |e| e.note_full(now));
    }

    /// Leaves an upstream that takes no more requests alone for so long.
    pub fn block(&mut self, now: Duration, id: &str, time: Duration) {
        self.update(id, |e| e.block(now, time));
    }

    /// Notes that an upstream names no limit any more.
    pub fn unblock(&mut self, key: UpstreamKey) {
        for (id, entry) in &mut self.entries {
            if load_report::upstream_key(id) == key {
                entry.unblock();
            }
        }
    }

    /// Notes that an upstream wants nothing from this box for so long.
    pub fn note_backoff(&mut self, now: Duration, id: &str, rest: Duration) {
        self.update_notice(now, id, |n| n.extend_backoff(now, rest));
    }

    /// Notes that an upstream says that it leaves; returns true if that is news.
    pub fn note_leaving(&mut self, now: Duration, id: &str) -> bool {
        let announced = self.get(id).is_some_and(UpstreamState::is_leaving);
        self.update_notice(now, id, UpstreamNotice::set_leaving) && !announced
    }

    /// Changes what is known of an upstream; one that has no entry is none to know of.
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

    /// Notes an engine's word on how slow it is; returns true if that is news.
    pub fn note_slow(&mut self, now: Duration, id: &str, factor: f64) -> bool {
        let news = self.update(id, |e| e.note_slow(now, factor));
        news.unwrap_or(false)
    }

    /// Leaves an upstream out for a moment, as it is not what it announces.
    pub fn note_stale(&mut self, now: Duration, id: &str) {
        self.update(id, |e| e.note_stale(now));
    }

    /// Notes an upstream's own word on its load.
    pub fn note_load(&mut self, id: &str, running: u32, waiting: u32) {
        self.update(id, |e| e.reported_load = Some((running, waiting)));
    }
}
