//! Load reports: what boxes tell each other about the load that they put on upstreams.
//!
//! A box knows its own requests, but an upstream carries those of all boxes. Each box
//! reports its part several times a second, so the total is known except for recent
//! changes. The next report makes up for a lost one. The last report of a box that has
//! fallen silent counts for some seconds.
//!
//! In a large fleet boxes report to a hub, and hubs report sums to each other and to their
//! boxes ([`crate::hub`]).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::demand::Traffic;
use crate::ident::BoxId;
pub use crate::ident::{UpstreamKey, upstream_key};
use crate::permit::LimitReport;

/// Minimum time for which the last report of a box counts. The box may have died, and its
/// streams with it; or it is only partitioned from this one, and its streams go on. Reports
/// may also be lost.
const MIN_REPORT_TTL: Duration = Duration::from_secs(2);

/// Maximum number of upstreams in one report, which are those with the highest usage: what
/// fits into a datagram.
const MAX_USAGES: usize = 4000;

/// Number of lost reports after which a box counts as silent.
const MAX_LOST_REPORTS: u32 = 3;

/// How long boxes that fell silent are assumed to go on like the others, with the average
/// of what those report: as long as most network partitions last.
const SILENT_BOX_TTL: Duration = Duration::from_secs(3);

/// Minimum time between two reports: a small part of the duration of a request.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reports, for each box in the same data centre. It bounds what a box
/// sends there to 250 datagrams a second in a fleet of any size.
const LOCAL_PEER_INTERVAL: Duration = Duration::from_millis(4);

/// Time between two reports to boxes in other data centres, for each box of the fleet.
/// Traffic between data centres is expensive, and boxes there use the local engines less.
const REMOTE_PEER_INTERVAL: Duration = Duration::from_millis(15);

/// Longest time between reports that still include suspects. With longer intervals they are
/// left out, as boxes find suspects by their own requests within a second or two.
const MAX_SUSPECTS_INTERVAL: Duration = Duration::from_millis(350);

/// How much of an upstream one box, or all of them, use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Requests running on it.
    pub requests: u32,
    /// Requests among them that a box sent to it directly.
    #[serde(rename = "leads")]
    pub head_requests: u32,
    /// Memory that they hold there, in tokens times layers.
    #[serde(rename = "tokens")]
    pub token_layers: u32,
    /// Milliseconds that it still needs to read prompts.
    #[serde(rename = "reading")]
    pub prefill_ms: u32,
}

/// Whose usage a report contains, and of which upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// Usage of the sender, and of the boxes that report only to it.
    #[default]
    Own,
    /// Usage of all boxes except the receiver, of upstreams in the receiver's data centre.
    #[serde(rename = "Near")]
    Local,
    /// The same for one part of the other upstreams, as one datagram may not hold them all.
    #[serde(rename = "Far")]
    Remote(u8),
}

/// A load report: a box's part of the load of every upstream, or a sum of several parts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Box that sends it.
    pub from: BoxId,
    /// Incarnation of the sender: a random number for each start of its process; `sequence`
    /// begins again after a restart.
    pub boot: u64,
    /// Sequence number of the report.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Whose usage it contains, and of which upstreams.
    pub scope: Scope,
    /// Number of boxes whose usage it contains.
    pub boxes: u32,
    /// Usage of upstreams.
    #[serde(rename = "uses")]
    pub usage: UsageList,
    /// Upstreams that the sender found to be lost; only in reports that are sent often.
    pub suspects: Vec<UpstreamKey>,
    /// Rate limits that upstreams set.
    pub limits: Vec<LimitReport>,
    /// Demand of the callers, and completed requests.
    #[serde(rename = "flows")]
    pub traffic: Traffic,
    /// Engines that reported to the sender that they are slow; only in reports that are
    /// sent often.
    pub slow: SlowUpstreams,
}

/// Engines that report to be slow, with their slowness factor in tenths, ordered by key.
pub type SlowUpstreams = Vec<(UpstreamKey, u16)>;

/// Usage of upstreams, ordered by key.
pub type UsageList = Vec<(UpstreamKey, Usage)>;

/// Sum of the load reports of several boxes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSum {
    /// Number of boxes.
    pub boxes: u32,
    /// Usage of each upstream that they use.
    pub usage: UsageList,
    /// Upstreams that they found to be lost.
    pub suspects: Vec<UpstreamKey>,
    /// Demand of their callers, and completed requests.
    pub traffic: Traffic,
    /// Engines that reported to them that they are slow.
    pub slow: SlowUpstreams,
}

/// Load that the other boxes of the fleet report.
#[derive(Debug, Default)]
pub struct FleetLoad {
    received: HashMap<(BoxId, Scope), ReceivedReport>,
    sums: HashMap<UpstreamKey, UsageTotal>,
    /// Highest recent number of reporting boxes, and when it was last seen.
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
    traffic: Traffic,
    slow: SlowUpstreams,
}

/// Returns whether reports that are sent at this interval include suspects.
pub fn includes_suspects(interval: Duration) -> bool {
    interval <= MAX_SUSPECTS_INTERVAL
}

/// Returns the intervals of the reports to boxes in the same data centre, of which there
/// are `local`, and to those elsewhere, in a fleet with `others` other boxes.
///
/// # Example
///
/// ```
/// use ashgauge::load_report::report_intervals;
/// use std::time::Duration;
///
/// let (local, remote) = report_intervals(1, 5);
/// assert_eq!((local, remote), (Duration::from_millis(100), Duration::from_millis(100)));
/// ```
pub fn report_intervals(local: usize, others: usize) -> (Duration, Duration) {
    let each = |interval: Duration, boxes: usize| {
        let interval = interval.saturating_mul(boxes.try_into().unwrap_or(u32::MAX));
        interval.max(MIN_REPORT_INTERVAL)
    };
    (
        each(LOCAL_PEER_INTERVAL, local),
        each(REMOTE_PEER_INTERVAL, others),
    )
}

impl FleetLoad {
    /// Applies a report; returns false if it is older than the last one from the same
    /// source.
    pub fn apply(&mut self, now: Duration, report: LoadReport) -> bool {
        let source = (report.from, report.scope);
        let known = self.received.get(&source);
        let is_outdated =
            known.is_some_and(|k| k.boot == report.boot && k.sequence >= report.sequence);
        if is_outdated {
            return false;
        }
        self.remove_overlapping(&source);
        for (key, usage) in &report.usage {
            self.sums.entry(*key).or_default().add(usage);
        }
        let received = ReceivedReport {
            boot: report.boot,
            sequence: report.sequence,
            received_at: now,
            boxes: report.boxes,
            usage: report.usage,
            suspects: report.suspects,
            traffic: report.traffic.clamped(report.boxes),
            slow: report.slow,
        };
        self.received.insert(source, received);
        true
    }

    /// Removes the reports whose content the next one from this source replaces: its
    /// previous one, and sums that overlap with it.
    fn remove_overlapping(&mut self, source: &(BoxId, Scope)) {
        let (from, scope) = source;
        let overlaps = |(other, other_scope): &(BoxId, Scope)| match (scope, other_scope) {
            (Scope::Own, _) => other == from,
            (_, Scope::Own) => other == from,
            (_, _) => other_scope == scope,
        };
        self.remove_where(|source, _| overlaps(source));
    }

    /// Removes the reports of boxes that fell silent, where reports arrive at this
    /// `interval`.
    pub fn expire(&mut self, now: Duration, interval: Duration) {
        let ttl = MIN_REPORT_TTL.max(interval * MAX_LOST_REPORTS);
        self.remove_where(|_, report| now >= report.received_at + ttl);
        let boxes = self.boxes();
        if boxes >= self.peak.0 || now >= self.peak.1 + SILENT_BOX_TTL {
            self.peak = (boxes, now);
        }
    }

    /// Returns how much of an upstream all other boxes use.
    pub fn usage_by_others(&self, id: &str) -> Usage {
        self.sums
            .get(&upstream_key(id))
            .map(UsageTotal::usage)
            .unwrap_or_default()
    }

    /// Returns the number of boxes with a recent report, their own or as part of a sum.
    pub fn boxes(&self) -> usize {
        self.distinct_reports()
            .map(|report| report.boxes as usize)
            .sum()
    }

    /// Returns the number of boxes that are assumed to be running, this one included, of
    /// those that are `listed`. Boxes that fell silent may only be partitioned, so they
    /// count for some more seconds. Until the first report arrives all listed boxes count.
    pub fn present_boxes(&self, listed: f64) -> f64 {
        match self.peak {
            (0, _) => listed,
            (peak, _) => listed.min(peak as f64 + 1.0),
        }
    }

    /// Returns the demand and the completed requests of all boxes, where `own` are those of
    /// this box.
    pub fn traffic(&self, own: &Traffic) -> Traffic {
        let others = self.distinct_reports().map(|report| &report.traffic);
        Traffic::sum(std::iter::once(own).chain(others))
    }

    /// Iterates over reports that together count each other box once.
    fn distinct_reports(&self) -> impl Iterator<Item = &ReceivedReport> {
        let reports = self.received.iter();
        let reports = reports.filter(|((_, scope), _)| !matches!(scope, Scope::Remote(_)));
        reports.map(|(_, report)| report)
    }

    /// Iterates over the boxes that report their own usage to this one.
    pub fn senders(&self) -> impl Iterator<Item = &BoxId> {
        let own = self
            .received
            .keys()
            .filter(|(_, scope)| *scope == Scope::Own);
        own.map(|(from, _)| from)
    }

    /// Returns whether a box has reported its own usage recently.
    pub fn hears_from(&self, id: &BoxId) -> bool {
        self.received.contains_key(&(id.clone(), Scope::Own))
    }

    /// Returns the sum of this box, which is `own`, and of the boxes that report to it,
    /// without those that `is_excluded` accepts.
    pub fn subtree_sum(&self, own: LoadSum, is_excluded: impl Fn(&str) -> bool) -> LoadSum {
        let is_included =
            |(from, scope): &(BoxId, Scope)| *scope == Scope::Own && !is_excluded(from);
        let reports = self
            .received
            .iter()
            .filter(|(source, _)| is_included(source));
        merge_reports(own, reports.map(|(_, report)| report))
    }

    /// Returns the sum of this box, which is `own`, and of all others, as far as it is
    /// known.
    pub fn fleet_sum(&self, own: LoadSum) -> LoadSum {
        merge_reports(own, self.received.values())
    }

    /// Returns a sum without the last report of one box.
    pub fn without(&self, sum: &LoadSum, from: &BoxId) -> LoadSum {
        let mut remaining = sum.clone();
        let Some(report) = self.received.get(&(from.clone(), Scope::Own)) else {
            return remaining;
        };
        remaining.boxes = remaining.boxes.saturating_sub(report.boxes);
        remaining.traffic = remaining.traffic.minus(&report.traffic);
        for (key, usage) in &report.usage {
            if let Ok(at) = remaining.usage.binary_search_by_key(key, |(key, _)| *key) {
                remaining.usage[at].1.subtract(usage);
            }
        }
        remaining
            .usage
            .retain(|(_, usage)| *usage != Usage::default());
        remaining
    }

    fn remove_where(&mut self, is_removed: impl Fn(&(BoxId, Scope), &ReceivedReport) -> bool) {
        let mut emptied = false;
        for (_, old) in self
            .received
            .extract_if(|source, report| is_removed(source, report))
        {
            for (key, usage) in &old.usage {
                if let Some(sum) = self.sums.get_mut(key) {
                    sum.subtract(usage);
                    emptied |= *sum == UsageTotal::default();
                }
            }
        }
        if emptied {
            self.sums.retain(|_, sum| *sum != UsageTotal::default());
        }
    }
}

/// Adds reports to the load of this box.
fn merge_reports<'a>(own: LoadSum, reports: impl Iterator<Item = &'a ReceivedReport>) -> LoadSum {
    let mut boxes = own.boxes;
    let mut sums: BTreeMap<UpstreamKey, Usage> = own.usage.iter().copied().collect();
    let mut suspects: BTreeSet<UpstreamKey> = own.suspects.iter().copied().collect();
    let mut traffic = vec![&own.traffic];
    let mut slow: BTreeMap<UpstreamKey, u16> = own.slow.into_iter().collect();
    for report in reports {
        traffic.push(&report.traffic);
        for (key, factor) in &report.slow {
            let max_factor = slow.entry(*key).or_default();
            *max_factor = (*max_factor).max(*factor);
        }
        boxes = boxes.saturating_add(report.boxes);
        suspects.extend(&report.suspects);
        for (key, usage) in &report.usage {
            sums.entry(*key).or_default().add(usage);
        }
    }
    LoadSum {
        boxes,
        usage: sums.into_iter().collect(),
        suspects: suspects.into_iter().collect(),
        traffic: Traffic::sum(traffic.into_iter()),
        slow: slow.into_iter().collect(),
    }
}

impl LoadSum {
    /// Returns the part of the sum that concerns the upstreams that `is_included` accepts.
    pub fn filtered(&self, is_included: impl Fn(UpstreamKey) -> bool) -> Self {
        let usage = self.usage.iter().filter(|(key, _)| is_included(*key));
        LoadSum {
            usage: usage.copied().collect(),
            ..self.clone()
        }
    }

    /// Returns the part that fits into a datagram: the upstreams with the highest usage.
    pub fn truncated(mut self) -> Self {
        self.traffic = self.traffic.truncated();
        if self.usage.len() > MAX_USAGES {
            self.usage
                .select_nth_unstable_by_key(MAX_USAGES, |(_, usage)| Reverse(usage.token_layers));
            self.usage.truncate(MAX_USAGES);
            self.usage.sort_unstable_by_key(|(key, _)| *key);
        }
        self
    }
}

/// Sum of usages. It is wider than [`Usage`]: the report of a box is subtracted again when
/// its next one arrives, and a saturated sum would then lack what the others reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct UsageTotal {
    requests: u64,
    head_requests: u64,
    token_layers: u64,
    prefill_ms: u64,
}

impl UsageTotal {
    fn add(&mut self, other: &Usage) {
        self.requests += u64::from(other.requests);
        self.head_requests += u64::from(other.head_requests);
        self.token_layers += u64::from(other.token_layers);
        self.prefill_ms += u64::from(other.prefill_ms);
    }

    fn subtract(&mut self, other: &Usage) {
        self.requests = self.requests.saturating_sub(other.requests.into());
        self.head_requests = self
            .head_requests
            .saturating_sub(other.head_requests.into());
        self.token_layers = self.token_layers.saturating_sub(other.token_layers.into());
        self.prefill_ms = self.prefill_ms.saturating_sub(other.prefill_ms.into());
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
    /// Adds another usage.
    pub fn add(&mut self, other: &Usage) {
        self.requests = self.requests.saturating_add(other.requests);
        self.head_requests = self.head_requests.saturating_add(other.head_requests);
        self.token_layers = self.token_layers.saturating_add(other.token_layers);
        self.prefill_ms = self.prefill_ms.saturating_add(other.prefill_ms);
    }

    fn subtract(&mut self, other: &Usage) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.head_requests = self.head_requests.saturating_sub(other.head_requests);
        self.token_layers = self.token_layers.saturating_sub(other.token_layers);
        self.prefill_ms = self.prefill_ms.saturating_sub(other.prefill_ms);
    }
}
