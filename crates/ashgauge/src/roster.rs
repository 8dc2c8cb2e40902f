//! All upstreams that a box knows of: who is there, and who is gone.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::entry::Entry;
use crate::member::UpstreamId;
use crate::notice::{Absent, Notice};
use crate::share::{self, Slow, UpstreamKey};
use crate::upstream::Upstream;

/// Factors on an engine's time are told in this part of one.
const SLOW_UNIT: f64 = 10.0;

/// All upstreams.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: HashMap<UpstreamId, Entry>,
    /// What upstreams said that have no entry.
    absent: Absent,
    /// Counts changes of what upstreams announce.
    edition: u64,
    /// Data centres with upstreams, and the edition at which they were counted.
    places: Cell<(u64, usize)>,
}

impl Roster {
    /// Takes a whole list. Upstreams that it lacks are gone, at once if `sure`, else
    /// when they have not come back for some time; until then they get no new work.
    pub fn replace(&mut self, now: Duration, list: Vec<Upstream>, sure: bool) {
        let listed: HashSet<_> = list.iter().map(|u| u.id.clone()).collect();
        for (id, entry) in &mut self.entries {
            if !listed.contains(id) {
                entry.miss(now);
            }
        }
        if sure {
            self.drop_where(now, Entry::is_missing);
        }
        for upstream in list {
            self.put(upstream);
        }
        self.edition += 1;
    }

    /// Takes a new or changed upstream.
    pub fn put(&mut self, upstream: Upstream) {
        self.edition += 1;
        let entry = match self.entries.get_mut(&upstream.id) {
            Some(entry) if entry.upstream.born == upstream.born => {
                entry.upstream = upstream;
                entry.missing = None;
                return;
            }
            Some(entry) => entry.after_start(upstream),
            None => {
                let notice = self.absent.take(&upstream.id, upstream.born);
                Entry::new(upstream, notice)
            }
        };
        self.entries.insert(entry.upstream.id.clone(), entry);
    }

    /// Notes that other boxes found these upstreams to be lost. It is no verdict:
    /// they are used where there is no other way.
    pub fn hear_suspects(&mut self, now: Duration, keys: &[UpstreamKey]) {
        for (id, entry) in &mut self.entries {
            if keys.contains(&share::key(id)) {
                entry.hear_rumour(now);
            }
        }
    }

    /// Notes which engines told other boxes that they are slow.
    pub fn hear_slow(&mut self, now: Duration, slow: &Slow) {
        if slow.is_empty() {
            return;
        }
        for (id, entry) in &mut self.entries {
            let key = share::key(id);
            if let Ok(at) = slow.binary_search_by_key(&key, |(key, _)| *key) {
                entry.hear_slow(now, f64::from(slow[at].1) / SLOW_UNIT);
            }
        }
    }

    /// Engines of some services that told this box that they are slow.
    pub fn slow(&self, now: Duration, is_told: impl Fn(&str) -> bool) -> Slow {
        let told = self.entries.values();
        let told = told.filter(|e| is_told(&e.upstream.service));
        let tenths = |factor: f64| (factor * SLOW_UNIT).min(f64::from(u16::MAX)) as u16;
        let slow = told.filter_map(|e| {
            let factor = e.found_slow(now)?;
            Some((share::key(&e.upstream.id), tenths(factor)))
        });
        let mut slow: Slow = slow.collect();
        slow.sort_unstable();
        slow
    }

    /// Forgets an upstream that is gone, but for what it said.
    pub fn remove(&mut self, now: Duration, id: &str) {
        if let Some(e) = self.entries.remove(id) {
            self.absent.keep(now, id, e.upstream.born, e.notice);
        }
        self.edition += 1;
    }

    /// Notes that an upstream vanished from the list while the store was away;
    /// it gets no new work and may still come back.
    pub fn miss(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.miss(now);
        }
    }

    /// Forgets those that vanished and did not come back in time.
    pub fn expire(&mut self, now: Duration) {
        let before = self.entries.len();
        self.drop_where(now, |e| e.is_over(now));
        if self.entries.len() != before {
            self.edition += 1;
        }
    }

    /// Drops entries, and keeps what their upstreams said.
    fn drop_where(&mut self, now: Duration, gone: impl Fn(&Entry) -> bool) {
        for (id, e) in self.entries.extract_if(|_, e| gone(e)) {
            self.absent.keep(now, &id, e.upstream.born, e.notice);
        }
    }

    /// Number that changes whenever an upstream comes, goes or changes.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    /// Number of data centres that have upstreams.
    pub fn places(&self) -> usize {
        let (edition, known) = self.places.get();
        if edition == self.edition {
            return known;
        }
        let places: HashSet<_> = self.all().map(|e| &e.upstream.place).collect();
        self.places.set((self.edition, places.len()));
        places.len()
    }

    /// The upstream with this id.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// The upstream at this address.
    pub fn at(&self, addr: &str) -> Option<&Entry> {
        self.entries.values().find(|e| e.upstream.addr == addr)
    }

    /// All upstreams of a service.
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Entry> {
        let all = self.entries.values();
        all.filter(move |e| &*e.upstream.service == service)
    }

    /// All upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Entry> {
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
    pub fn begin(&mut self, id: &str, tokens: u64) {
        self.change(id, |e| e.begin(tokens));
    }

    /// Notes that such a request is no longer there.
    pub fn end(&mut self, id: &str, tokens: u64) {
        self.change(id, |e| e.end(tokens));
    }

    /// Notes that a request of this box was sent to an upstream, not only led
    /// through it.
    pub fn lead(&mut self, id: &str) {
        self.change(id, |e| e.leads += 1);
    }

    /// Notes that such a request is no longer there.
    pub fn end_lead(&mut self, id: &str) {
        self.change(id, |e| e.leads = e.leads.saturating_sub(1));
    }

    /// Notes that an upstream was given prompts that take it `seconds` to read.
    pub fn note_reading(&mut self, now: Duration, id: &str, seconds: f64) {
        self.change(id, |e| e.note_reading(now, seconds));
    }

    /// Learns from an answer that took `took`.
    pub fn learn(&mut self, now: Duration, id: &str, took: Duration) {
        self.change(id, |e| e.learn(now, took));
    }

    /// Learns from a request that brought no answer or a faulty one.
    pub fn fail(&mut self, now: Duration, id: &str) {
        self.change(id, |e| e.fail(now));
    }

    /// Notes that an upstream had a part in something that came.
    pub fn hear(&mut self, now: Duration, id: &str) {
        self.change(id, |e| e.hear(now));
    }

    /// Leaves an upstream out for some time; returns true if that is new.
    pub fn suspect(&mut self, now: Duration, id: &str) -> bool {
        self.change(id, |e| e.suspect(now)).unwrap_or(false)
    }

    /// Notes that an upstream took no connection right after one to it broke: it gets
    /// no new requests for a moment, and keeps those that it has.
    pub fn note_shut(&mut self, now: Duration, id: &str) {
        self.change(id, |e| e.note_shut(now));
    }

    /// Notes that an upstream had no room for a request.
    pub fn note_full(&mut self, now: Duration, id: &str) {
        self.change(id, |e| e.note_full(now));
    }

    /// Leaves an upstream that takes no more requests alone for so long.
    pub fn close(&mut self, now: Duration, id: &str, time: Duration) {
        self.change(id, |e| e.close(now, time));
    }

    /// Notes that an upstream names no limit any more.
    pub fn open(&mut self, key: UpstreamKey) {
        for (id, entry) in &mut self.entries {
            if share::key(id) == key {
                entry.open();
            }
        }
    }

    /// Notes that an upstream wants nothing from this box for so long.
    pub fn note_rest(&mut self, now: Duration, id: &str, rest: Duration) {
        self.change_notice(now, id, |n| n.note_rest(now, rest));
    }

    /// Notes that an upstream says that it leaves; returns true if that is news.
    pub fn note_leaving(&mut self, now: Duration, id: &str) -> bool {
        let announced = self.get(id).is_some_and(Entry::is_leaving);
        self.change_notice(now, id, Notice::note_leaving) && !announced
    }

    /// Changes what is known of an upstream; one that has no entry is none to know of.
    fn change<T>(&mut self, id: &str, change: impl FnOnce(&mut Entry) -> T) -> Option<T> {
        self.entries.get_mut(id).map(change)
    }

    fn change_notice<T>(
        &mut self,
        now: Duration,
        id: &str,
        change: impl FnOnce(&mut Notice) -> T,
    ) -> T {
        match self.entries.get_mut(id) {
            Some(entry) => change(&mut entry.notice),
            None => self.absent.change(now, id, change),
        }
    }

    /// Notes an engine's word on how slow it is; returns true if that is news.
    pub fn note_slow(&mut self, now: Duration, id: &str, factor: f64) -> bool {
        let news = self.change(id, |e| e.note_slow(now, factor));
        news.unwrap_or(false)
    }

    /// Leaves an upstream out for a moment, as it is not what it announces.
    pub fn note_stale(&mut self, now: Duration, id: &str) {
        self.change(id, |e| e.note_stale(now));
    }

    /// Notes an upstream's own word on its load.
    pub fn report(&mut self, id: &str, running: u32, waiting: u32) {
        self.change(id, |e| e.load = Some((running, waiting)));
    }
}
