//! Sends this box's share of the upstreams' loads to other boxes as datagrams. A lost
//! load report is made up for by the next one.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::demand::Traffic;
use ashgauge::hub::{self, Role};
use ashgauge::load_report::{self, LoadReport, LoadSum, Scope, UpstreamKey, Usage, UsageList};
use ashgauge::permit::LimitRates;
use ashgauge::quarantine::{Audience, Reported};
use ashgauge::query::Datagram;
use rand::Rng;
use tokio::time::sleep;

use super::codec;
use super::peers::Peers;
use super::shared_state::{Peer, SharedState};
use super::{permit, quarantine, shedding};

/// Longest time between load reports, so that the others know that this box is alive.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Sends load reports to other boxes as long as the process runs.
pub async fn broadcast(shared: Rc<SharedState>, peers: Rc<Peers>) {
    let boot = shared.rng().random();
    let mut reporter = LoadReporter {
        boot,
        sequence: 0,
        local: LastReport::default(),
        remote: LastReport::default(),
        leaf_times: HashMap::new(),
        shared,
        peers,
    };
    loop {
        reporter.report_once().await;
    }
}

/// Sends load reports, and keeps what was sent last and when.
struct LoadReporter {
    shared: Rc<SharedState>,
    peers: Rc<Peers>,
    boot: u64,
    sequence: u64,
    /// Last report to boxes in the same data centre.
    local: LastReport,
    /// Last report to boxes in other data centres.
    remote: LastReport,
    /// When a report of each scope was last sent to the leaves of this hub.
    leaf_times: HashMap<Scope, Duration>,
}

impl LoadReporter {
    async fn report_once(&mut self) {
        let shared = self.shared.clone();
        let (role, targets) = (shared.role(), shared.report_targets());
        let local_count = targets.iter().filter(|(_, p)| p.is_local).count();
        let (local_interval, remote_interval) = role.intervals(local_count, targets.len());
        sleep(local_interval.min(remote_interval)).await;
        let now = shared.now();
        let report_interval = role.remote_interval(targets.len());
        shared.report_interval.set(report_interval);
        shared
            .local_report_interval
            .set(role.local_interval(local_count));
        shared.fleet_load.borrow_mut().expire(now, report_interval);
        permit::expire(&shared);
        quarantine::search_parts(&shared);
        let own = own_load(&shared);
        let report = match role {
            Role::Hub => {
                let hubs = shared.readers.borrow().clone();
                let is_hub = |id: &str| hubs.ids.iter().any(|hub| **hub == *id);
                shared
                    .fleet_load
                    .borrow()
                    .subtree_sum(own.clone(), is_hub)
                    .truncated()
            }
            _ => own.clone(),
        };
        self.report_to_peers(now, &targets, (local_interval, remote_interval), report)
            .await;
        if role == Role::Hub {
            self.report_to_leaves(now, own).await;
        }
    }

    /// Sends the same report to all peers, more often to those in the same data centre.
    async fn report_to_peers(
        &mut self,
        now: Duration,
        targets: &[(Arc<str>, Peer)],
        (local_interval, remote_interval): (Duration, Duration),
        sum: LoadSum,
    ) {
        let limits = self.shared.permits.limits.borrow().rates();
        let local_due = self.local.is_due(now, local_interval, &sum.usage, &limits);
        let remote_due = self
            .remote
            .is_due(now, remote_interval, &sum.usage, &limits);
        for (is_local, due, interval) in [
            (true, local_due, local_interval),
            (false, remote_due, remote_interval),
        ] {
            if !due {
                continue;
            }
            let mut sum = sum.clone();
            if !load_report::includes_suspects(interval) {
                sum.suspects.clear();
                sum.slow.clear();
            }
            let to = targets.iter().filter(|(_, p)| p.is_local == is_local);
            let to: Vec<&Peer> = to.map(|(_, p)| p).collect();
            self.send(Scope::Own, sum, &to).await;
            self.send_losses(Audience::All, &to).await;
        }
        if local_due {
            self.local.update(now, &sum.usage, &limits);
        }
        if remote_due {
            self.remote.update(now, &sum.usage, &limits);
        }
    }

    /// Sends the load of all boxes to the leaves, which receive reports only from this
    /// hub.
    async fn report_to_leaves(&mut self, now: Duration, own: LoadSum) {
        let last_sent = |scope: &Scope| self.leaf_times.get(scope).copied().unwrap_or_default();
        let due =
            hub::leaf_scopes().filter(|scope| now >= last_sent(scope) + hub::leaf_interval(*scope));
        let due: Vec<Scope> = due.collect();
        if due.is_empty() {
            return;
        }
        let leaves = self.shared.leaves();
        let totals = LoadTotals::new(&self.shared, own);
        for scope in due {
            self.leaf_times.insert(scope, now);
            let mut by_data_centre: HashMap<Arc<str>, LoadSum> = HashMap::new();
            for (id, leaf) in &leaves {
                let sum = by_data_centre.entry(leaf.data_centre.clone());
                let sum = sum.or_insert_with(|| totals.for_scope(scope, &leaf.data_centre));
                let sum = self.shared.fleet_load.borrow().without(sum, id);
                self.send(scope, sum.truncated(), &[leaf]).await;
            }
            if scope == Scope::Remote(0) {
                let leaves: Vec<&Peer> = leaves.iter().map(|(_, leaf)| leaf).collect();
                self.send_losses(Audience::Leaves, &leaves).await;
            }
        }
    }

    async fn send(&mut self, scope: Scope, sum: LoadSum, to: &[&Peer]) {
        self.sequence += 1;
        let now = self.shared.now();
        let report = LoadReport {
            from: Arc::from(self.shared.settings().id.as_str()),
            boot: self.boot,
            sequence: self.sequence,
            scope,
            boxes: sum.boxes,
            usage: sum.usage,
            suspects: sum.suspects,
            slow: sum.slow,
            traffic: match scope {
                Scope::Remote(_) => Traffic::default(),
                Scope::Own | Scope::Local => sum.traffic,
            },
            limits: match scope {
                Scope::Remote(_) => Vec::new(),
                Scope::Own | Scope::Local => self.shared.permits.limits.borrow().reports(now),
            },
        };
        let Some(bytes) = codec::encode(&Datagram::Load(report)) else {
            return;
        };
        for peer in to {
            self.peers.send(peer.addr, &bytes).await;
        }
    }

    /// Sends the recorded losses again, as a datagram may have been lost.
    async fn send_losses(&self, audience: Audience, to: &[&Peer]) {
        let all = Reported::default();
        for report in quarantine::encode_reports(&self.shared, self.sequence, all, audience) {
            for peer in to {
                self.peers.send(peer.addr, &report).await;
            }
        }
    }
}

/// Total load of all boxes, with the data centres of the upstreams.
struct LoadTotals {
    total: LoadSum,
    data_centres: HashMap<UpstreamKey, Arc<str>>,
}

impl LoadTotals {
    fn new(shared: &SharedState, own: LoadSum) -> Self {
        let registry = shared.registry.borrow();
        let data_centres = registry.iter().map(|e| &e.upstream);
        let data_centres =
            data_centres.map(|u| (load_report::upstream_key(&u.id), u.data_centre.clone()));
        LoadTotals {
            total: shared.fleet_load.borrow().fleet_sum(own),
            data_centres: data_centres.collect(),
        }
    }

    /// Returns the part of the total that is reported to a box in a data centre.
    fn for_scope(&self, scope: Scope, data_centre: &str) -> LoadSum {
        let is_included = |key| {
            let other = self.data_centres.get(&key);
            other.is_some_and(|other| hub::is_in_scope(scope, key, **other == *data_centre))
        };
        let mut part = self.total.filtered(is_included);
        if scope != Scope::Local {
            part.suspects.clear();
            part.slow.clear();
        }
        part
    }
}

/// What was last reported to some boxes, and when.
#[derive(Default)]
struct LastReport {
    usage: UsageList,
    limits: LimitRates,
    sent_at: Duration,
}

impl LastReport {
    /// Returns whether a new report is due: after `interval` if something has changed,
    /// otherwise after [`MAX_REPORT_INTERVAL`] if that is longer.
    fn is_due(
        &self,
        now: Duration,
        interval: Duration,
        usage: &[(UpstreamKey, Usage)],
        limits: &LimitRates,
    ) -> bool {
        let age = now.saturating_sub(self.sent_at);
        let has_changed = self.usage != usage || self.limits != *limits;
        age >= interval.max(MAX_REPORT_INTERVAL) || (has_changed && age >= interval)
    }

    fn update(&mut self, now: Duration, usage: &[(UpstreamKey, Usage)], limits: &LimitRates) {
        self.usage = usage.to_vec();
        self.limits = limits.clone();
        self.sent_at = now;
    }
}

/// Returns the load of this box on the upstreams that it uses.
fn own_load(shared: &SharedState) -> LoadSum {
    let (registry, now) = (shared.registry.borrow(), shared.now());
    let by_upstream = registry.iter().map(|e| (e, e.usage(now)));
    let by_upstream = by_upstream.filter(|(_, used)| *used != Usage::default());
    let mut by_upstream: UsageList = by_upstream
        .map(|(e, used)| (load_report::upstream_key(&e.upstream.id), used))
        .collect();
    by_upstream.sort_unstable_by_key(|(key, _)| *key);
    let suspects = registry.iter().filter(|e| e.is_suspect(now));
    LoadSum {
        boxes: 1,
        usage: by_upstream,
        suspects: suspects
            .map(|e| load_report::upstream_key(&e.upstream.id))
            .collect(),
        traffic: shared.admissions.own_traffic(now),
        slow: registry.slow_upstreams(now, |service| {
            shedding::is_shedding_enabled(shared, service)
        }),
    }
}
