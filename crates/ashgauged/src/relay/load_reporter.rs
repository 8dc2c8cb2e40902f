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
use ashgauge::quarantine::Audience;
use ashgauge::query::Datagram;
use rand::Rng;
use tokio::time::sleep;

use super::pack;
use super::peers::Peers;
use super::shared_state::{Peer, SharedState};
use super::{permit, quarantine, shedding};

/// Longest time between load reports, so that the others know that this box is alive.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Sends load reports to other boxes as long as the process runs.
pub async fn broadcast(shared: Rc<SharedState>, peers: Rc<Peers>) {
    let boot = shared.rng().random();
    let mut teller = LoadReporter {
        boot,
        sequence: 0,
        local: LastReport::default(),
        remote: LastReport::default(),
        leaf_times: HashMap::new(),
        shared,
        peers,
    };
    loop {
        teller.report_once().await;
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
        let (role, listeners) = (shared.role(), shared.report_targets());
        let here = listeners.iter().filter(|(_, p)| p.is_local).count();
        let (near_time, far_time) = role.intervals(here, listeners.len());
        sleep(near_time.min(far_time)).await;
        let now = shared.now();
        let lag = role.remote_interval(listeners.len());
        shared.report_interval.set(lag);
        shared.fleet_load.borrow_mut().expire(now, lag);
        permit::expire(&shared);
        let own = own_load(&shared);
        let told = match role {
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
        self.report_to_peers(now, &listeners, (near_time, far_time), told)
            .await;
        if role == Role::Hub {
            self.report_to_leaves(now, own).await;
        }
    }

    /// Sends the same report to all peers, more often to those in the same data centre.
    async fn report_to_peers(
        &mut self,
        now: Duration,
        listeners: &[(Arc<str>, Peer)],
        (near_time, far_time): (Duration, Duration),
        sum: LoadSum,
    ) {
        let limits = self.shared.permits.limits.borrow().rates();
        let to_near = self.local.is_due(now, near_time, &sum.usage, &limits);
        let to_far = self.remote.is_due(now, far_time, &sum.usage, &limits);
        for (near, due, time) in [(true, to_near, near_time), (false, to_far, far_time)] {
            if !due {
                continue;
            }
            let mut sum = sum.clone();
            if !load_report::includes_suspects(time) {
                sum.suspects.clear();
                sum.slow.clear();
            }
            let to = listeners.iter().filter(|(_, p)| p.is_local == near);
            let to: Vec<&Peer> = to.map(|(_, p)| p).collect();
            self.send(Scope::Own, sum, &to).await;
            self.send_losses(Audience::All, &to).await;
        }
        if to_near {
            self.local.update(now, &sum.usage, &limits);
        }
        if to_far {
            self.remote.update(now, &sum.usage, &limits);
        }
    }

    /// Sends the load of all boxes to the leaves, which receive reports only from this
    /// hub.
    async fn report_to_leaves(&mut self, now: Duration, own: LoadSum) {
        let told = |scope: &Scope| self.leaf_times.get(scope).copied().unwrap_or_default();
        let due =
            hub::leaf_scopes().filter(|scope| now >= told(scope) + hub::leaf_interval(*scope));
        let due: Vec<Scope> = due.collect();
        if due.is_empty() {
            return;
        }
        let leaves = self.shared.leaves();
        let parts = LoadTotals::new(&self.shared, own);
        for scope in due {
            self.leaf_times.insert(scope, now);
            let mut by_place: HashMap<Arc<str>, LoadSum> = HashMap::new();
            for (id, leaf) in &leaves {
                let part = by_place.entry(leaf.data_centre.clone());
                let part = part.or_insert_with(|| parts.for_scope(scope, &leaf.data_centre));
                let part = self.shared.fleet_load.borrow().without(part, id);
                self.send(scope, part.truncated(), &[leaf]).await;
            }
            if scope == Scope::Remote(0) {
                let leaves: Vec<&Peer> = leaves.iter().map(|(_, leaf)| leaf).collect();
                self.send_losses(Audience::Downstream, &leaves).await;
            }
        }
    }

    async fn send(&mut self, scope: Scope, sum: LoadSum, to: &[&Peer]) {
        self.sequence += 1;
        let now = self.shared.now();
        let word = LoadReport {
            from: Arc::from(self.shared.settings().id.as_str()),
            boot: self.boot,
            sequence: self.sequence,
            scope,
            boxes: sum.boxes,
            usage: sum.usage,
            suspects: sum.suspects,
            slow: sum.slow,
            flows: match scope {
                Scope::Remote(_) => Traffic::default(),
                Scope::Own | Scope::Local => sum.flows,
            },
            limits: match scope {
                Scope::Remote(_) => Vec::new(),
                Scope::Own | Scope::Local => self.shared.permits.limits.borrow().reports(now),
            },
        };
        let Some(bytes) = pack::encode(&Datagram::Load(word)) else {
            return;
        };
        for peer in to {
            self.peers.send(peer.addr, &bytes).await;
        }
    }

    /// Sends the recorded losses again, as a datagram may have been lost.
    async fn send_losses(&self, audience: Audience, to: &[&Peer]) {
        let Some(report) = quarantine::encode_report(&self.shared, self.sequence, audience) else {
            return;
        };
        for peer in to {
            self.peers.send(peer.addr, &report).await;
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
        let places = registry.iter().map(|e| &e.upstream);
        let places = places.map(|u| (load_report::upstream_key(&u.id), u.data_centre.clone()));
        LoadTotals {
            total: shared.fleet_load.borrow().fleet_sum(own),
            data_centres: places.collect(),
        }
    }

    /// Returns the part of the total that is reported to a box in a data centre.
    fn for_scope(&self, scope: Scope, place: &str) -> LoadSum {
        let is_told = |key| {
            let other = self.data_centres.get(&key);
            other.is_some_and(|other| hub::is_in_scope(scope, key, **other == *place))
        };
        let mut part = self.total.filtered(is_told);
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
    uses: UsageList,
    limits: LimitRates,
    at: Duration,
}

impl LastReport {
    /// Returns whether a new report is due: after `time` if something has changed,
    /// otherwise after [`MAX_REPORT_INTERVAL`] if that is longer.
    fn is_due(
        &self,
        now: Duration,
        time: Duration,
        uses: &[(UpstreamKey, Usage)],
        limits: &LimitRates,
    ) -> bool {
        let age = now.saturating_sub(self.at);
        let news = self.uses != uses || self.limits != *limits;
        age >= time.max(MAX_REPORT_INTERVAL) || (news && age >= time)
    }

    fn update(&mut self, now: Duration, uses: &[(UpstreamKey, Usage)], limits: &LimitRates) {
        self.uses = uses.to_vec();
        self.limits = limits.clone();
        self.at = now;
    }
}

/// Returns the load of this box on the upstreams that it uses.
fn own_load(shared: &SharedState) -> LoadSum {
    let (registry, now) = (shared.registry.borrow(), shared.now());
    let uses = registry.iter().map(|e| (e, e.usage(now)));
    let uses = uses.filter(|(_, used)| *used != Usage::default());
    let mut uses: UsageList = uses
        .map(|(e, used)| (load_report::upstream_key(&e.upstream.id), used))
        .collect();
    uses.sort_unstable_by_key(|(key, _)| *key);
    let suspects = registry.iter().filter(|e| e.is_suspect(now));
    LoadSum {
        boxes: 1,
        usage: uses,
        suspects: suspects
            .map(|e| load_report::upstream_key(&e.upstream.id))
            .collect(),
        flows: shared.admissions.own_traffic(now),
        slow: registry.slow_upstreams(now, |service| {
            shedding::is_shedding_enabled(shared, service)
        }),
    }
}
