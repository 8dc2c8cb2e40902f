//! What boxes tell each other of the load that they put on upstreams.
//!
//! A box knows its own requests; what an upstream has to bear is the sum over
//! all boxes. Each box tells its part every fraction of a second, so the sum is
//! known but for what changed since. A word that was lost is made good by the
//! next one, and of a box that falls silent the last word counts for some
//! seconds.
//!
//! In a large fleet boxes tell a hub, and hubs tell each other and their boxes sums
//! ([`crate::hub`]).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::demand::Traffic;
use crate::ident::BoxId;
pub use crate::ident::{UpstreamKey, upstream_key};
use crate::permit::LimitReport;

/// Least time that a box's last word counts. Its streams end with it if it
/// died, and go on if it is only cut off from this one; words may be lost.
const MIN_REPORT_TTL: Duration = Duration::from_secs(2);

/// Upstreams in one word at most, those with most on them: what a datagram holds.
const MAX_USAGES: usize = 4000;

/// Words of a box that may be lost before it counts as silent.
const MAX_LOST_REPORTS: u32 = 3;

/// Time for which boxes that fell silent are taken to go on as the others: with what was
/// heard of them, as long as a cut mostly lasts.
const SILENT_BOX_TTL: Duration = Duration::from_secs(3);

/// Least time between two words: a small part of a request's time.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two words for each box of the own data centre: bounds what a
/// box sends there to 250 datagrams a second in a fleet of any size.
const LOCAL_PEER_INTERVAL: Duration = Duration::from_millis(4);

/// The same for the fleet, as which boxes elsewhere are told: bytes between data
/// centres are dear, and boxes there use these engines less.
const REMOTE_PEER_INTERVAL: Duration = Duration::from_millis(15);

/// Longest time between two words that tell suspects: boxes find them out by
/// their own requests in a second or two.
const MAX_SUSPECTS_INTERVAL: Duration = Duration::from_millis(350);

/// What one box, or all of them, have on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Requests that it works on.
    pub requests: u32,
    /// Those of them that were sent to it by a box.
    #[serde(rename = "leads")]
    pub head_requests: u32,
    /// Memory that they hold there, in tokens times layers.
    #[serde(rename = "tokens")]
    pub token_layers: u32,
    /// Milliseconds for which it has prompts to read.
    #[serde(rename = "reading")]
    pub prefill_ms: u32,
}

/// Whose use of which upstreams a word tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// That of its box, and of those that tell this box alone.
    #[default]
    Own,
    /// That of all boxes but the one that is told, of upstreams in its data centre.
    #[serde(rename = "Near")]
    Local,
    /// The same of a part of the other upstreams, as one datagram may not hold all.
    #[serde(rename = "Far")]
    Remote(u8),
}

/// What a box tells: its part of every upstream's load, or a sum of several parts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The box that tells.
    pub from: BoxId,
    /// Start of its process, so that numbers may begin anew.
    pub boot: u64,
    /// Counts its words.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Whose use of what it tells.
    pub scope: Scope,
    /// Boxes for which it tells.
    pub boxes: u32,
    /// Upstreams that it uses.
    #[serde(rename = "uses")]
    pub usage: UsageList,
    /// Upstreams that it found to be lost; only in words that are told often.
    pub suspects: Vec<UpstreamKey>,
    /// Limits that upstreams named.
    pub limits: Vec<LimitReport>,
    /// What callers ask for, and what ends.
    pub flows: Traffic,
    /// Engines that told it that they are slow; only in words that are told often.
    pub slow: SlowUpstreams,
}

/// Engines that say that they are slow, with the factor on their time in tenths, ordered
/// by their keys.
pub type SlowUpstreams = Vec<(UpstreamKey, u16)>;

/// Uses of upstreams, ordered by their keys.
pub type UsageList = Vec<(UpstreamKey, Usage)>;

/// What some boxes have together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSum {
    /// How many boxes.
    pub boxes: u32,
    /// What they have on each upstream that they use.
    pub usage: UsageList,
    /// Upstreams that they found to be lost.
    pub suspects: Vec<UpstreamKey>,
    /// What their callers ask for, and what ends.
    pub flows: Traffic,
    /// Engines that told them that they are slow.
    pub slow: SlowUpstreams,
}

/// What was heard from the other boxes.
#[derive(Debug, Default)]
pub struct FleetLoad {
    received: HashMap<(BoxId, Scope), ReceivedReport>,
    sums: HashMap<UpstreamKey, UsageTotal>,
    /// Most boxes that were heard lately, and when so many were heard last.
    peak: (usize, Duration),
}

#[derive(Debug)]
struct ReceivedReport {
    boot: u64,
    sequence: u64,
    received_at: Duration,
    boxes: u32,
    usage: UsageList,
    suspects: Vec<UpstreamKey>,
    flows: Traffic,
    slow: SlowUpstreams,
}

/// Whether words that are told after this time tell suspects.
pub fn includes_suspects(time: Duration) -> bool {
    time <= MAX_SUSPECTS_INTERVAL
}

/// Times between two words to the own data centre, with so many `near` boxes,
/// and to those elsewhere, in a fleet with so many `others`.
///
/// # Example
///
/// ```
/// use ashgauge::load_report::report_intervals;
/// use std::time::Duration;
///
/// let (near, far) = report_intervals(1, 5);
/// assert_eq!((near, far), (Duration::from_millis(100), Duration::from_millis(100)));
/// ```
pub fn report_intervals(near: usize, others: usize) -> (Duration, Duration) {
    let each = |time: Duration, boxes: usize| {
        let time = time.saturating_mul(boxes.try_into().unwrap_or(u32::MAX));
        time.max(MIN_REPORT_INTERVAL)
    };
    (
        each(LOCAL_PEER_INTERVAL, near),
        each(REMOTE_PEER_INTERVAL, others),
    )
}

impl FleetLoad {
    /// Takes a word in; returns false if a later one was heard before.
    pub fn apply(&mut self, now: Duration, word: LoadReport) -> bool {
        let source = (word.from, word.scope);
        let known = self.received.get(&source);
        let is_late = known.is_some_and(|k| k.boot == word.boot && k.sequence >= word.sequence);
        if is_late {
            return false;
        }
        self.remove_overlapping(&source);
        for (key, more) in &word.usage {
            self.sums.entry(*key).or_default().add(more);
        }
        let heard = ReceivedReport {
            boot: word.boot,
            sequence: word.sequence,
            received_at: now,
            boxes: word.boxes,
            usage: word.usage,
            suspects: word.suspects,
            flows: word.flows.clamped(word.boxes),
            slow: word.slow,
        };
        self.received.insert(source, heard);
        true
    }

    /// Forgets what the next word from this source counts as well: its last one, and
    /// sums that hold each other.
    fn remove_overlapping(&mut self, source: &(BoxId, Scope)) {
        let (from, scope) = source;
        let counts = |(other, theirs): &(BoxId, Scope)| match (scope, theirs) {
            (Scope::Own, _) => other == from,
            (_, Scope::Own) => other == from,
            (_, _) => theirs == scope,
        };
        self.remove_where(|source, _| counts(source));
    }

    /// Forgets boxes that fell silent, where words come in each `lag`.
    pub fn expire(&mut self, now: Duration, lag: Duration) {
        let kept = MIN_REPORT_TTL.max(lag * MAX_LOST_REPORTS);
        self.remove_where(|_, heard| now >= heard.received_at + kept);
        let heard = self.boxes();
        if heard >= self.peak.0 || now >= self.peak.1 + SILENT_BOX_TTL {
            self.peak = (heard, now);
        }
    }

    /// What all other boxes have on an upstream.
    pub fn others(&self, id: &str) -> Usage {
        self.sums
            .get(&upstream_key(id))
            .map(UsageTotal::usage)
            .unwrap_or_default()
    }

    /// Boxes of which something was heard a short while ago.
    pub fn boxes(&self) -> usize {
        self.distinct_reports()
            .map(|heard| heard.boxes as usize)
            .sum()
    }

    /// Boxes that are taken to be there, this one included, of so many that are listed:
    /// of those that fell silent some may only be cut off, so they count for some seconds
    /// more. Before any word all that are listed count.
    pub fn present_boxes(&self, listed: f64) -> f64 {
        match self.peak {
            (0, _) => listed,
            (most, _) => listed.min(most as f64 + 1.0),
        }
    }

    /// What the callers of this box, which are `own`, and of all others ask for, and what
    /// ends.
    pub fn flows(&self, own: &Traffic) -> Traffic {
        let others = self.distinct_reports().map(|heard| &heard.flows);
        Traffic::sum(std::iter::once(own).chain(others))
    }

    /// What counts each other box once.
    fn distinct_reports(&self) -> impl Iterator<Item = &ReceivedReport> {
        let counted = self.received.iter();
        let counted = counted.filter(|((_, scope), _)| !matches!(scope, Scope::Remote(_)));
        counted.map(|(_, heard)| heard)
    }

    /// Boxes that tell this one what they have themselves.
    pub fn senders(&self) -> impl Iterator<Item = &BoxId> {
        let own = self
            .received
            .keys()
            .filter(|(_, scope)| *scope == Scope::Own);
        own.map(|(from, _)| from)
    }

    /// Whether a box told what it has a short while ago.
    pub fn hears_from(&self, id: &BoxId) -> bool {
        self.received.contains_key(&(id.clone(), Scope::Own))
    }

    /// What this box, with `own`, and those that tell it have together, without the
    /// boxes that are left out.
    pub fn subtree_sum(&self, own: LoadSum, is_left_out: impl Fn(&str) -> bool) -> LoadSum {
        let counts = |(from, scope): &(BoxId, Scope)| *scope == Scope::Own && !is_left_out(from);
        let heard = self.received.iter().filter(|(source, _)| counts(source));
        merge_reports(own, heard.map(|(_, heard)| heard))
    }

    /// What this box, with `own`, and all others have together, as far as it knows.
    pub fn fleet_sum(&self, own: LoadSum) -> LoadSum {
        merge_reports(own, self.received.values())
    }

    /// A sum without what a box told last.
    pub fn without(&self, sum: &LoadSum, from: &BoxId) -> LoadSum {
        let mut rest = sum.clone();
        let Some(told) = self.received.get(&(from.clone(), Scope::Own)) else {
            return rest;
        };
        rest.boxes = rest.boxes.saturating_sub(told.boxes);
        rest.flows = rest.flows.minus(&told.flows);
        for (key, less) in &told.usage {
            if let Ok(at) = rest.usage.binary_search_by_key(key, |(key, _)| *key) {
                rest.usage[at].1.subtract(less);
            }
        }
        rest.usage.retain(|(_, used)| *used != Usage::default());
        rest
    }

    fn remove_where(&mut self, is_old: impl Fn(&(BoxId, Scope), &ReceivedReport) -> bool) {
        let mut emptied = false;
        for (_, old) in self
            .received
            .extract_if(|source, heard| is_old(source, heard))
        {
            for (key, less) in &old.usage {
                if let Some(sum) = self.sums.get_mut(key) {
                    sum.subtract(less);
                    emptied |= *sum == UsageTotal::default();
                }
            }
        }
        if emptied {
            self.sums.retain(|_, sum| *sum != UsageTotal::default());
        }
    }
}

/// Adds what was heard to what a box has itself.
fn merge_reports<'a>(own: LoadSum, heard: impl Iterator<Item = &'a ReceivedReport>) -> LoadSum {
    let mut boxes = own.boxes;
    let mut sums: BTreeMap<UpstreamKey, Usage> = own.usage.iter().copied().collect();
    let mut suspects: BTreeSet<UpstreamKey> = own.suspects.iter().copied().collect();
    let mut flows = vec![&own.flows];
    let mut slow: BTreeMap<UpstreamKey, u16> = own.slow.into_iter().collect();
    for heard in heard {
        flows.push(&heard.flows);
        for (key, factor) in &heard.slow {
            let known = slow.entry(*key).or_default();
            *known = (*known).max(*factor);
        }
        boxes = boxes.saturating_add(heard.boxes);
        suspects.extend(&heard.suspects);
        for (key, more) in &heard.usage {
            sums.entry(*key).or_default().add(more);
        }
    }
    LoadSum {
        boxes,
        usage: sums.into_iter().collect(),
        suspects: suspects.into_iter().collect(),
        flows: Traffic::sum(flows.into_iter()),
        slow: slow.into_iter().collect(),
    }
}

impl LoadSum {
    /// The part of it on some of the upstreams.
    pub fn filtered(&self, is_told: impl Fn(UpstreamKey) -> bool) -> Self {
        let uses = self.usage.iter().filter(|(key, _)| is_told(*key));
        LoadSum {
            usage: uses.copied().collect(),
            ..self.clone()
        }
    }

    /// The part that a datagram holds: the upstreams with most on them.
    pub fn truncated(mut self) -> Self {
        self.flows = self.flows.truncated();
        if self.usage.len() > MAX_USAGES {
            self.usage
                .select_nth_unstable_by_key(MAX_USAGES, |(_, used)| Reverse(used.token_layers));
            self.usage.truncate(MAX_USAGES);
            self.usage.sort_unstable_by_key(|(key, _)| *key);
        }
        self
    }
}

/// A sum of uses. It is wider than its parts: what one box tells is taken out again when
/// its next word comes, and a sum that had overflowed would lack what the others told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct UsageTotal {
    requests: u64,
    head_requests: u64,
    token_layers: u64,
    prefill_ms: u64,
}

impl UsageTotal {
    fn add(&mut self, more: &Usage) {
        self.requests += u64::from(more.requests);
        self.head_requests += u64::from(more.head_requests);
        self.token_layers += u64::from(more.token_layers);
        self.prefill_ms += u64::from(more.prefill_ms);
    }

    fn subtract(&mut self, less: &Usage) {
        self.requests = self.requests.saturating_sub(less.requests.into());
        self.head_requests = self.head_requests.saturating_sub(less.head_requests.into());
        self.token_layers = self.token_layers.saturating_sub(less.token_layers.into());
        self.prefill_ms = self.prefill_ms.saturating_sub(less.prefill_ms.into());
    }

    fn usage(&self) -> Usage {
        let bounded = |sum: u64| u32::try_from(sum).unwrap_or(u32::MAX);
        Usage {
            requests: bounded(self.requests),
            head_requests: bounded(self.head_requests),
            token_layers: bounded(self.token_layers),
            prefill_ms: bounded(self.prefill_ms),
        }
    }
}

impl Usage {
    /// Adds another part of the load.
    pub fn add(&mut self, more: &Usage) {
        self.requests = self.requests.saturating_add(more.requests);
        self.head_requests = self.head_requests.saturating_add(more.head_requests);
        self.token_layers = self.token_layers.saturating_add(more.token_layers);
        self.prefill_ms = self.prefill_ms.saturating_add(more.prefill_ms);
    }

    fn subtract(&mut self, less: &Usage) {
        self.requests = self.requests.saturating_sub(less.requests);
        self.head_requests = self.head_requests.saturating_sub(less.head_requests);
        self.token_layers = self.token_layers.saturating_sub(less.token_layers);
        self.prefill_ms = self.prefill_ms.saturating_sub(less.prefill_ms);
    }
}
