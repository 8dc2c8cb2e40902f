//! Boxes tell each other their parts of the upstreams' loads, by datagrams. A
//! word that is lost is made good by the next.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::demand::Traffic;
use ashgauge::hub::{self, Role};
use ashgauge::permit::LimitRates;
use ashgauge::quarantine::Audience;
use ashgauge::question::Datagram;
use ashgauge::share::{self, LoadReport, LoadSum, Scope, UpstreamKey, Usage, UsageList};
use rand::Rng;
use tokio::time::sleep;

use super::desk::{Desk, Peer};
use super::pack;
use super::peers::Peers;
use super::{gate, permit, quarantine};

/// Longest time without a word, so that the others know that this box is there.
const SILENT_MOST: Duration = Duration::from_millis(500);

/// Tells other boxes, as long as the process runs.
pub async fn tell(desk: Rc<Desk>, peers: Rc<Peers>) {
    let boot = desk.rng().random();
    let mut teller = Teller {
        boot,
        number: 0,
        near: Told::default(),
        far: Told::default(),
        below: HashMap::new(),
        desk,
        peers,
    };
    loop {
        teller.turn().await;
    }
}

/// What a box tells, and when it did last.
struct Teller {
    desk: Rc<Desk>,
    peers: Rc<Peers>,
    boot: u64,
    number: u64,
    /// What boxes of the own data centre were told.
    near: Told,
    /// What boxes elsewhere were told.
    far: Told,
    /// When those below were told each of the words for them.
    below: HashMap<Scope, Duration>,
}

impl Teller {
    async fn turn(&mut self) {
        let desk = self.desk.clone();
        let (role, listeners) = (desk.role(), desk.listeners());
        let here = listeners.iter().filter(|(_, p)| p.near).count();
        let (near_time, far_time) = role.intervals(here, listeners.len());
        sleep(near_time.min(far_time)).await;
        let now = desk.now();
        let lag = role.remote_interval(listeners.len());
        desk.lag.set(lag);
        desk.shares.borrow_mut().expire(now, lag);
        permit::expire(&desk);
        let own = own_sum(&desk);
        let told = match role {
            Role::Hub => {
                let hubs = desk.readers.borrow().clone();
                let is_hub = |id: &str| hubs.ids.iter().any(|hub| **hub == *id);
                desk.shares
                    .borrow()
                    .subtree_sum(own.clone(), is_hub)
                    .truncated()
            }
            _ => own.clone(),
        };
        self.tell_listeners(now, &listeners, (near_time, far_time), told)
            .await;
        if role == Role::Hub {
            self.tell_below(now, own).await;
        }
    }

    /// Tells the boxes that are told the same, near ones more often.
    async fn tell_listeners(
        &mut self,
        now: Duration,
        listeners: &[(Arc<str>, Peer)],
        (near_time, far_time): (Duration, Duration),
        sum: LoadSum,
    ) {
        let limits = self.desk.permits.limits.borrow().rates();
        let to_near = self.near.is_due(now, near_time, &sum.usage, &limits);
        let to_far = self.far.is_due(now, far_time, &sum.usage, &limits);
        for (near, due, time) in [(true, to_near, near_time), (false, to_far, far_time)] {
            if !due {
                continue;
            }
            let mut sum = sum.clone();
            if !share::includes_suspects(time) {
                sum.suspects.clear();
                sum.slow.clear();
            }
            let to = listeners.iter().filter(|(_, p)| p.near == near);
            let to: Vec<&Peer> = to.map(|(_, p)| p).collect();
            self.send(Scope::Own, sum, &to).await;
            self.send_losses(Audience::All, &to).await;
        }
        if to_near {
            self.near.note(now, &sum.usage, &limits);
        }
        if to_far {
            self.far.note(now, &sum.usage, &limits);
        }
    }

    /// Tells the boxes that hear of the others by this one what all have together.
    async fn tell_below(&mut self, now: Duration, own: LoadSum) {
        let told = |scope: &Scope| self.below.get(scope).copied().unwrap_or_default();
        let due =
            hub::leaf_scopes().filter(|scope| now >= told(scope) + hub::leaf_interval(*scope));
        let due: Vec<Scope> = due.collect();
        if due.is_empty() {
            return;
        }
        let leaves = self.desk.leaves();
        let parts = Parts::new(&self.desk, own);
        for scope in due {
            self.below.insert(scope, now);
            let mut by_place: HashMap<Arc<str>, LoadSum> = HashMap::new();
            for (id, leaf) in &leaves {
                let part = by_place.entry(leaf.place.clone());
                let part = part.or_insert_with(|| parts.of(scope, &leaf.place));
                let part = self.desk.shares.borrow().without(part, id);
                self.send(scope, part.truncated(), &[leaf]).await;
            }
            if scope == Scope::Remote(0) {
                let leaves: Vec<&Peer> = leaves.iter().map(|(_, leaf)| leaf).collect();
                self.send_losses(Audience::Downstream, &leaves).await;
            }
        }
    }

    async fn send(&mut self, scope: Scope, sum: LoadSum, to: &[&Peer]) {
        self.number += 1;
        let now = self.desk.now();
        let word = LoadReport {
            from: Arc::from(self.desk.settings().id.as_str()),
            boot: self.boot,
            sequence: self.number,
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
                Scope::Own | Scope::Local => self.desk.permits.limits.borrow().reports(now),
            },
        };
        let Some(bytes) = pack::encode(&Datagram::Load(word)) else {
            return;
        };
        for peer in to {
            self.peers.send(peer.addr, &bytes).await;
        }
    }

    /// Tells losses again, as a datagram may have been lost.
    async fn send_losses(&self, audience: Audience, to: &[&Peer]) {
        let Some(report) = quarantine::report(&self.desk, self.number, audience) else {
            return;
        };
        for peer in to {
            self.peers.send(peer.addr, &report).await;
        }
    }
}

/// What all boxes have together, by the data centre of the upstreams.
struct Parts {
    whole: LoadSum,
    places: HashMap<UpstreamKey, Arc<str>>,
}

impl Parts {
    fn new(desk: &Desk, own: LoadSum) -> Self {
        let roster = desk.roster.borrow();
        let places = roster.iter().map(|e| &e.upstream);
        let places = places.map(|u| (share::upstream_key(&u.id), u.data_centre.clone()));
        Parts {
            whole: desk.shares.borrow().fleet_sum(own),
            places: places.collect(),
        }
    }

    /// What is told to a box in a data centre.
    fn of(&self, scope: Scope, place: &str) -> LoadSum {
        let is_told = |key| {
            let other = self.places.get(&key);
            other.is_some_and(|other| hub::is_in_scope(scope, key, **other == *place))
        };
        let mut part = self.whole.filtered(is_told);
        if scope != Scope::Local {
            part.suspects.clear();
            part.slow.clear();
        }
        part
    }
}

/// What some boxes were told last, and when.
#[derive(Default)]
struct Told {
    uses: UsageList,
    limits: LimitRates,
    at: Duration,
}

impl Told {
    /// Whether they are to be told again: after `time` if something changed.
    fn is_due(
        &self,
        now: Duration,
        time: Duration,
        uses: &[(UpstreamKey, Usage)],
        limits: &LimitRates,
    ) -> bool {
        let age = now.saturating_sub(self.at);
        let news = self.uses != uses || self.limits != *limits;
        age >= time.max(SILENT_MOST) || (news && age >= time)
    }

    fn note(&mut self, now: Duration, uses: &[(UpstreamKey, Usage)], limits: &LimitRates) {
        self.uses = uses.to_vec();
        self.limits = limits.clone();
        self.at = now;
    }
}

/// What this box has on the upstreams that it uses.
fn own_sum(desk: &Desk) -> LoadSum {
    let (roster, now) = (desk.roster.borrow(), desk.now());
    let uses = roster.iter().map(|e| (e, e.usage(now)));
    let uses = uses.filter(|(_, used)| *used != Usage::default());
    let mut uses: UsageList = uses
        .map(|(e, used)| (share::upstream_key(&e.upstream.id), used))
        .collect();
    uses.sort_unstable_by_key(|(key, _)| *key);
    let suspects = roster.iter().filter(|e| e.is_suspect(now));
    LoadSum {
        boxes: 1,
        usage: uses,
        suspects: suspects
            .map(|e| share::upstream_key(&e.upstream.id))
            .collect(),
        flows: desk.gates.flows(now),
        slow: roster.slow_upstreams(now, |service| gate::is_shed(desk, service)),
    }
}
