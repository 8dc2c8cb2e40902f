//! What a box knows of the upstreams: who is there, who is leaving, which
//! layers each holds, and what this box has learned by using them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::chain::Layer;
use crate::member::UpstreamId;
use crate::notice::{Absent, Notice};
use crate::routing::ServiceId;
use crate::share::{self, UpstreamKey, Use};

/// How long an upstream that failed is left out before it is tried again.
///
/// Longer than the platform takes to drop the entry of one that is gone
/// (three heartbeats of a second or so), so that a dead one is tried once at
/// most.
const SUSPECT_TIME: Duration = Duration::from_secs(4);

/// How long an upstream that vanished from the list while the store was away
/// may take to come back before it counts as gone; the users' figure.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// How long a box goes by another one's word that an upstream is lost; it is told
/// again with each word as long as that box thinks so.
const RUMOUR_TIME: Duration = Duration::from_millis(1000);

/// How long an engine that does not hold what it announces is left out; its
/// entry is renewed within about a second.
const STALE_TIME: Duration = Duration::from_millis(1000);

/// How long an upstream that had no room is avoided.
const FULL_TIME: Duration = Duration::from_millis(300);

/// How long something that came proves that the upstream behind it is there: a
/// part of the silence after which streams look for the cause (100 ms).
const HEARD_TIME: Duration = Duration::from_millis(60);

/// How long an engine's word that it is slow counts; it is asked again when
/// its streams stay slow.
const SLOW_TIME: Duration = Duration::from_secs(3);

/// Weight of the newest answer in the learned time.
const LEARN: f64 = 0.2;

/// Weight of the newest outcome in the learned share of failures.
const LEARN_FAILURE: f64 = 0.25;

/// Time over which a learned share of failures fades: an upstream that gets no
/// requests for its failures must be tried again. The users' upstreams fail
/// for some seconds at a time.
const FAILURE_TIME: Duration = Duration::from_secs(8);

/// An upstream as it announces itself.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// When it started, in Unix milliseconds, if it says so; it may start again under
    /// the id that it had.
    pub born: Option<u64>,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address.
    pub addr: String,
    /// Data centre.
    pub place: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving and takes nothing new.
    pub leaving: bool,
    /// Kind of accelerator, if it is a model engine.
    pub card: Option<String>,
    /// Layers that it holds.
    pub layers: Option<Span>,
    /// Models that it holds.
    pub models: Vec<String>,
}

/// A range of layers, `first..end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Span {
    /// First layer.
    pub first: Layer,
    /// Layer after the last.
    pub end: Layer,
}

/// An upstream with what this box has learned of it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What it announces.
    pub upstream: Upstream,
    /// Requests of this box that it works on.
    pub inflight: u32,
    /// Those of them that were sent to it; the others it got from an engine
    /// before it in their chain.
    pub leads: u32,
    /// Memory that the requests of this box hold there, in tokens times layers.
    pub tokens: u64,
    /// Learned time of an answer, in seconds; 0 if unknown.
    pub seconds: f64,
    /// Load that it last told: requests running and waiting.
    pub load: Option<(u32, u32)>,
    /// Learned share of requests that failed, at a time.
    failing: (f64, Duration),
    /// When it last had a part in something that came.
    heard: Option<Duration>,
    suspect: Option<Duration>,
    /// Until when another box's word that it is lost counts.
    rumour: Option<Duration>,
    full: Option<Duration>,
    /// What it said in its answers.
    notice: Notice,
    slow: Option<(f64, Duration)>,
    missing: Option<Duration>,
    /// Seconds of reading that it was given and that were not over at a time.
    reading: (f64, Duration),
}

/// All upstreams.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: HashMap<UpstreamId, Entry>,
    /// What upstreams said that have no entry.
    absent: Absent,
    /// Counts changes of what upstreams announce.
    edition: u64,
}

impl Span {
    /// Number of layers.
    pub fn len(&self) -> Layer {
        self.end.saturating_sub(self.first)
    }

    /// Whether it holds no layer.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether it holds a layer.
    pub fn holds(&self, layer: Layer) -> bool {
        (self.first..self.end).contains(&layer)
    }

    /// Whether the ranges share a layer.
    pub fn overlaps(&self, other: &Span) -> bool {
        self.first < other.end && other.first < self.end
    }
}

impl Entry {
    /// Whether it may be used at `now`.
    pub fn is_usable(&self, now: Duration) -> bool {
        !self.is_leaving() && !self.is_missing() && !self.is_suspect(now)
    }

    /// Whether requests may go to it at `now`.
    pub fn takes_requests(&self, now: Duration) -> bool {
        self.is_usable(now) && self.rest(now).is_none()
    }

    /// Whether it is leaving, as its entry or its answers say.
    pub fn is_leaving(&self) -> bool {
        self.upstream.leaving || self.notice.is_leaving()
    }

    /// Whether its entry vanished while the store was away, so that it may have left.
    pub fn is_missing(&self) -> bool {
        self.missing.is_some()
    }

    /// Whether it failed a short while ago.
    pub fn is_suspect(&self, now: Duration) -> bool {
        self.suspect.is_some_and(|until| now < until)
    }

    /// Factor on the time of its work, as it told lately; 1 if it told nothing.
    pub fn slowness(&self, now: Duration) -> f64 {
        let told = self.slow.filter(|(_, until)| now < *until);
        told.map_or(1.0, |(factor, _)| factor.max(1.0))
    }

    /// Learned share of requests that failed lately, 0 to 1.
    pub fn failures(&self, now: Duration) -> f64 {
        let (share, at) = self.failing;
        let age = now.saturating_sub(at).as_secs_f64();
        share * (-age / FAILURE_TIME.as_secs_f64()).exp()
    }

    /// What this box has on it.
    pub fn used(&self, now: Duration) -> Use {
        Use {
            requests: self.inflight,
            leads: self.leads,
            tokens: self.tokens.try_into().unwrap_or(u32::MAX),
            reading: (self.backlog(now) * 1e3) as u32,
        }
    }

    /// Seconds for which it has prompts of this box to read.
    pub fn backlog(&self, now: Duration) -> f64 {
        let (seconds, at) = self.reading;
        (seconds - now.saturating_sub(at).as_secs_f64()).max(0.0)
    }

    /// Whether it had a part in something that came less than [`HEARD_TIME`] ago.
    pub fn was_heard(&self, now: Duration) -> bool {
        self.heard.is_some_and(|at| now < at + HEARD_TIME)
    }

    /// Whether another box has said lately that it is lost.
    pub fn is_rumoured(&self, now: Duration) -> bool {
        self.rumour.is_some_and(|until| now < until) && !self.was_heard(now)
    }

    /// How much longer it wants nothing from this box, by its own word.
    pub fn rest(&self, now: Duration) -> Option<Duration> {
        self.notice.rest(now)
    }

    /// Whether it had no room a moment ago.
    pub fn is_full(&self, now: Duration) -> bool {
        self.full.is_some_and(|until| now < until)
    }
}

impl Roster {
    /// Takes a whole list. Upstreams that it lacks are gone, at once if
    /// `sure`, else after [`RETURN_TIME`]; until then they get no new work.
    pub fn replace(&mut self, now: Duration, list: Vec<Upstream>, sure: bool) {
        let listed: std::collections::HashSet<_> = list.iter().map(|u| u.id.clone()).collect();
        for (id, entry) in &mut self.entries {
            if !listed.contains(id) {
                entry.missing.get_or_insert(now);
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

    /// Takes a new or changed upstream. One that started anew begins with what runs
    /// there only: what its start before did says nothing of it.
    pub fn put(&mut self, upstream: Upstream) {
        self.edition += 1;
        let known = self.entries.get_mut(&upstream.id);
        let (inflight, leads, tokens, notice) = match known {
            Some(entry) if entry.upstream.born == upstream.born => {
                entry.upstream = upstream;
                entry.missing = None;
                return;
            }
            Some(entry) => {
                let notice = entry.notice.after_start();
                (entry.inflight, entry.leads, entry.tokens, notice)
            }
            None => (0, 0, 0, self.absent.take(&upstream.id, upstream.born)),
        };
        let entry = Entry {
            upstream,
            inflight,
            leads,
            tokens,
            seconds: 0.0,
            failing: (0.0, Duration::ZERO),
            load: None,
            heard: None,
            suspect: None,
            rumour: None,
            full: None,
            notice,
            slow: None,
            missing: None,
            reading: (0.0, Duration::ZERO),
        };
        self.entries.insert(entry.upstream.id.clone(), entry);
    }

    /// Notes that other boxes found these upstreams to be lost. It is no verdict:
    /// they are used where there is no other way.
    pub fn hear_suspects(&mut self, now: Duration, keys: &[UpstreamKey]) {
        for (id, entry) in &mut self.entries {
            if keys.contains(&share::key(id)) {
                entry.rumour = Some(now + RUMOUR_TIME);
            }
        }
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
            entry.missing.get_or_insert(now);
        }
    }

    /// Forgets those that vanished and did not come back in time.
    pub fn expire(&mut self, now: Duration) {
        let late = |e: &Entry| e.missing.is_some_and(|at| now >= at + RETURN_TIME);
        let before = self.entries.len();
        self.drop_where(now, late);
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
        if let Some(entry) = self.entries.get_mut(id) {
            entry.inflight += 1;
            entry.tokens += tokens;
        }
    }

    /// Notes that such a request is no longer there.
    pub fn end(&mut self, id: &str, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.inflight = entry.inflight.saturating_sub(1);
            entry.tokens = entry.tokens.saturating_sub(tokens);
        }
    }

    /// Notes that a request of this box was sent to an upstream, not only led
    /// through it.
    pub fn lead(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.leads += 1;
        }
    }

    /// Notes that such a request is no longer there.
    pub fn end_lead(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.leads = entry.leads.saturating_sub(1);
        }
    }

    /// Notes that an upstream was given prompts that take it `seconds` to read.
    pub fn note_reading(&mut self, now: Duration, id: &str, seconds: f64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.reading = (entry.backlog(now) + seconds, now);
        }
    }

    /// Learns from an answer that took `took`.
    pub fn learn(&mut self, now: Duration, id: &str, took: Duration) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let seconds = took.as_secs_f64();
        entry.seconds = match entry.seconds {
            0.0 => seconds,
            old => old + LEARN * (seconds - old),
        };
        entry.failing = (entry.failures(now) * (1.0 - LEARN_FAILURE), now);
        entry.suspect = None;
    }

    /// Learns from a request that brought no answer or a faulty one.
    pub fn fail(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            let share = entry.failures(now);
            entry.failing = (share + LEARN_FAILURE * (1.0 - share), now);
        }
    }

    /// Notes that an upstream had a part in something that came.
    pub fn hear(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.heard = Some(now);
        }
    }

    /// Leaves an upstream out for some time; returns true if that is new.
    pub fn suspect(&mut self, now: Duration, id: &str) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let new = !entry.is_suspect(now);
        entry.suspect = Some(now + SUSPECT_TIME);
        new
    }

    /// Notes that an upstream had no room for a request.
    pub fn note_full(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.full = Some(now + FULL_TIME);
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
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let before = entry.slowness(now);
        entry.slow = Some((factor, now + SLOW_TIME));
        (factor - before).abs() > 0.5
    }

    /// Leaves an upstream out for a moment, as it is not what it announces.
    pub fn note_stale(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.suspect = entry.suspect.max(Some(now + STALE_TIME));
        }
    }

    /// Notes an upstream's own word on its load.
    pub fn report(&mut self, id: &str, running: u32, waiting: u32) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.load = Some((running, waiting));
        }
    }
}
