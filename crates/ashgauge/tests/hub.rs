//! Hubs forward the load of all boxes in a large fleet.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use ashgauge::hub::{self, LOCAL_INTERVAL, REMOTE_INTERVAL, Role};
use ashgauge::load_report::{FleetLoad, LoadReport, LoadSum, Scope, Usage, UsageList};
use ashgauge::member::BoxId;
use ashgauge::query::Datagram;
use ashgauge::reader::{self, Backoffs, Fleet, Member, Readers};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const NOW: Duration = Duration::from_secs(60);

/// One in this many leaves of a hub receives what the hub forwards.
const LEAF_STEP: usize = 40;

/// Largest datagram that a socket accepts, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_000;

fn members(boxes: usize) -> Vec<Member> {
    let member = |n: usize| Member {
        id: format!("box-{n}").into(),
        data_centre: format!("place-{}", n % 5).into(),
        link_mbps: if n % 20 < 5 { 1000 } else { 20 },
    };
    (0..boxes).map(member).collect()
}

fn choose_readers(me: &Member, members: &[Member]) -> Readers {
    let fleet = Fleet {
        candidates: members.to_vec(),
        box_count: members.len(),
        reader_count: None,
    };
    reader::choose(me, &fleet, &Backoffs::default(), NOW)
}

/// Usage of a few upstreams, each with some requests.
fn usage(rng: &mut SmallRng, upstreams: u32) -> UsageList {
    let mut usage: UsageList = (0..7)
        .map(|_| {
            let requests = rng.random_range(1..9);
            let used = Usage {
                requests,
                head_requests: requests / 2,
                token_layers: requests * 900,
                prefill_ms: requests,
            };
            (rng.random_range(0..upstreams), used)
        })
        .collect();
    usage.sort_unstable_by_key(|(key, _)| *key);
    usage.dedup_by_key(|(key, _)| *key);
    usage
}

fn own(usage: &UsageList) -> LoadSum {
    LoadSum {
        boxes: 1,
        usage: usage.clone(),
        suspects: Vec::new(),
        traffic: Default::default(),
        slow: Vec::new(),
    }
}

fn report(from: &BoxId, scope: Scope, sum: LoadSum) -> LoadReport {
    LoadReport {
        scope,
        boxes: sum.boxes,
        suspects: sum.suspects,
        ..common::report(from, sum.usage)
    }
}

/// A fleet in which each box has reported its load once.
struct SimulatedFleet {
    members: Vec<Member>,
    usage: HashMap<BoxId, UsageList>,
    fleet_load: HashMap<BoxId, FleetLoad>,
    hubs: Vec<BoxId>,
    /// Size of the largest report, in bytes.
    largest: usize,
}

impl SimulatedFleet {
    /// Sends reports from leaves to their hubs, between hubs, and from hubs to their leaves.
    fn exchange_reports(boxes: usize, upstreams: u32) -> Self {
        let mut rng = SmallRng::seed_from_u64(7);
        let members = members(boxes);
        let all = choose_readers(&members[0], &members).ids;
        let mut fleet = SimulatedFleet {
            usage: HashMap::new(),
            fleet_load: HashMap::new(),
            hubs: all,
            largest: 0,
            members,
        };
        for member in fleet.members.clone() {
            fleet
                .usage
                .insert(member.id.clone(), usage(&mut rng, upstreams));
            fleet.fleet_load.insert(member.id, FleetLoad::default());
        }
        let mut leaves: HashMap<BoxId, Vec<BoxId>> = HashMap::new();
        let hubs_at = |data_centre: &str| {
            let hubs = fleet
                .members
                .iter()
                .filter(|m| &*m.data_centre == data_centre);
            let hubs = hubs.filter(|m| fleet.hubs.contains(&m.id));
            hubs.map(|m| m.id.clone()).collect::<Vec<_>>()
        };
        let data_centres: Vec<Vec<BoxId>> =
            (0..5).map(|n| hubs_at(&format!("place-{n}"))).collect();
        for (n, member) in fleet.members.clone().into_iter().enumerate() {
            if fleet.hubs.contains(&member.id) {
                continue;
            }
            let local = &data_centres[n % 5];
            let hub = local[n / 5 % local.len()].clone();
            let own_report = report(&member.id, Scope::Own, own(&fleet.usage[&member.id]));
            fleet.deliver(&hub, own_report);
            leaves.entry(hub).or_default().push(member.id);
        }
        for hub in fleet.hubs.clone() {
            let is_hub = |id: &str| fleet.hubs.iter().any(|h| **h == *id);
            let subtree = fleet.fleet_load[&hub].subtree_sum(own(&fleet.usage[&hub]), is_hub);
            for other in fleet.hubs.clone().iter().filter(|other| **other != hub) {
                fleet.deliver(other, report(&hub, Scope::Own, subtree.clone().truncated()));
            }
        }
        for hub in fleet.hubs.clone() {
            let fleet_sum = fleet.fleet_load[&hub].fleet_sum(own(&fleet.usage[&hub]));
            let leaves = leaves.remove(&hub).unwrap_or_default();
            for leaf in leaves.into_iter().step_by(LEAF_STEP) {
                for scope in hub::leaf_scopes() {
                    let part = fleet_sum.filtered(|key| hub::is_in_scope(scope, key, key % 5 == 0));
                    let part = fleet.fleet_load[&hub].without(&part, &leaf);
                    fleet.deliver(&leaf, report(&hub, scope, part.truncated()));
                }
            }
        }
        fleet
    }

    fn deliver(&mut self, to: &BoxId, report: LoadReport) {
        let bytes = postcard::to_allocvec(&Datagram::Load(report.clone())).expect("a datagram");
        self.largest = self.largest.max(bytes.len());
        let fleet_load = self.fleet_load.get_mut(to).expect("a box");
        assert!(fleet_load.apply(NOW, report));
    }

    /// Usage of each upstream by all boxes but one.
    fn expected(&self, but: &BoxId) -> HashMap<u32, Usage> {
        let mut sums: HashMap<u32, Usage> = HashMap::new();
        for (_, usage) in self.usage.iter().filter(|(id, _)| *id != but) {
            for (key, used) in usage {
                sums.entry(*key).or_default().add(used);
            }
        }
        sums
    }
}

/// Guards against boxes that each keep a report of every other box, and send theirs to each.
#[test]
fn boxes_of_a_large_fleet_know_the_load_of_all() {
    let fleet = SimulatedFleet::exchange_reports(2000, 6000);
    let informed = fleet
        .fleet_load
        .iter()
        .filter(|(_, fleet_load)| fleet_load.boxes() == 1999);
    let mut count = 0;
    for (id, fleet_load) in informed {
        let known: HashMap<u32, Usage> = fleet_load
            .fleet_sum(LoadSum::default())
            .usage
            .into_iter()
            .collect();
        assert_eq!(known, fleet.expected(id), "{id}");
        count += 1;
    }
    assert!(count >= 2000 / LEAF_STEP, "{count} boxes");
    assert!(
        fleet.largest < MAX_DATAGRAM_BYTES,
        "{} bytes",
        fleet.largest
    );
}

#[test]
fn state_of_a_box_does_not_grow_with_the_fleet() {
    for boxes in [200, 2000] {
        let fleet = SimulatedFleet::exchange_reports(boxes, 500);
        let leaves = fleet.members.iter().filter(|m| !fleet.hubs.contains(&m.id));
        for leaf in leaves {
            assert_eq!(fleet.fleet_load[&leaf.id].senders().count(), 0);
        }
        let most = fleet
            .hubs
            .iter()
            .map(|hub| fleet.fleet_load[hub].senders().count());
        assert!(most.max() <= Some(2 * reader::MAX_READER_BOXES + fleet.hubs.len()));
    }
}

/// Within a data centre a report is at most half a second old when it arrives.
#[test]
fn reports_are_fresh_in_fleets_of_any_size() {
    for boxes in [7, 40, 41, 985, 2000] {
        let members = members(boxes);
        let readers = choose_readers(&members[0], &members);
        let local = |ids: &[BoxId]| {
            let local = members
                .iter()
                .filter(|m| ids.contains(&m.id) && m.data_centre == members[0].data_centre);
            local.count()
        };
        let all: Vec<BoxId> = members.iter().map(|m| m.id.clone()).collect();
        let age = match hub::role(boxes, &readers) {
            Role::Peer => Role::Peer.intervals(local(&all), boxes).0,
            _ => {
                let up = Role::Leaf(all[0].clone()).intervals(1, 1).0;
                up + Role::Hub
                    .intervals(local(&readers.ids), readers.ids.len())
                    .0
                    + LOCAL_INTERVAL
            }
        };
        assert!(
            age <= Duration::from_millis(500),
            "{age:?} at {boxes} boxes"
        );
    }
    assert!(Role::Leaf("hub".into()).remote_interval(1) <= REMOTE_INTERVAL);
}

/// Guards against a box that changes hubs and counts the sums of both.
#[test]
fn sums_of_two_hubs_are_not_added() {
    let mut fleet_load = FleetLoad::default();
    let used = vec![(
        1,
        Usage {
            requests: 4,
            ..Usage::default()
        },
    )];
    let sum = |boxes: u32| LoadSum {
        boxes,
        usage: used.clone(),
        suspects: Vec::new(),
        traffic: Default::default(),
        slow: Vec::new(),
    };
    fleet_load.apply(NOW, report(&"first".into(), Scope::Local, sum(90)));
    fleet_load.apply(NOW, report(&"first".into(), Scope::Remote(0), sum(90)));
    fleet_load.apply(NOW, report(&"second".into(), Scope::Local, sum(95)));
    assert_eq!(fleet_load.boxes(), 95);
    let known = fleet_load.fleet_sum(LoadSum::default());
    assert_eq!(known.usage[0].1.requests, 8);
    // The box has become a hub itself, to which the second hub reports only its own part.
    fleet_load.apply(NOW, report(&"second".into(), Scope::Own, sum(40)));
    let known = fleet_load.fleet_sum(LoadSum::default());
    assert_eq!(known.usage[0].1.requests, 8);
    assert_eq!(fleet_load.boxes(), 40);
}

proptest! {
    #![proptest_config(common::seeded(100))]

    /// The sum that a hub sends to a box does not contain that box's own load.
    #[test]
    fn sum_without_a_box_is_the_sum_of_the_others(seed in any::<u64>(), boxes in 1usize..12) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let reported: Vec<(BoxId, UsageList)> = (0..boxes)
            .map(|n| (BoxId::from(format!("box-{n}")), usage(&mut rng, 12)))
            .collect();
        let mut hub = FleetLoad::default();
        for (id, usage) in &reported {
            hub.apply(NOW, report(id, Scope::Own, own(usage)));
        }
        let fleet_sum = hub.fleet_sum(LoadSum::default());
        for (id, _) in &reported {
            let mut others = FleetLoad::default();
            for (other, usage) in reported.iter().filter(|(other, _)| other != id) {
                others.apply(NOW, report(other, Scope::Own, own(usage)));
            }
            prop_assert_eq!(hub.without(&fleet_sum, id), others.fleet_sum(LoadSum::default()));
        }
    }
}
