//! Hubs hand on what all boxes of a large fleet have.

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

/// Of so many boxes of a hub one hears what it hands on.
const LEAVES_EACH: usize = 40;

/// Largest datagram that a socket takes.
const DATAGRAM_MOST: usize = 65_000;

fn members(boxes: usize) -> Vec<Member> {
    let member = |n: usize| Member {
        id: format!("box-{n}").into(),
        data_centre: format!("place-{}", n % 5).into(),
        link_mbps: if n % 20 < 5 { 1000 } else { 20 },
    };
    (0..boxes).map(member).collect()
}

fn see(me: &Member, members: &[Member]) -> Readers {
    let fleet = Fleet {
        candidates: members.to_vec(),
        box_count: members.len(),
        reader_count: None,
    };
    reader::choose(me, &fleet, &Backoffs::default(), NOW)
}

/// A few upstreams, each with some requests.
fn uses(rng: &mut SmallRng, upstreams: u32) -> UsageList {
    let mut uses: UsageList = (0..7)
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
    uses.sort_unstable_by_key(|(key, _)| *key);
    uses.dedup_by_key(|(key, _)| *key);
    uses
}

fn own(uses: &UsageList) -> LoadSum {
    LoadSum {
        boxes: 1,
        usage: uses.clone(),
        suspects: Vec::new(),
        traffic: Default::default(),
        slow: Vec::new(),
    }
}

fn word(from: &BoxId, scope: Scope, sum: LoadSum) -> LoadReport {
    LoadReport {
        scope,
        boxes: sum.boxes,
        suspects: sum.suspects,
        ..common::word(from, sum.usage)
    }
}

/// A fleet in which each box has told once what it has.
struct Fleets {
    members: Vec<Member>,
    uses: HashMap<BoxId, UsageList>,
    shares: HashMap<BoxId, FleetLoad>,
    hubs: Vec<BoxId>,
    /// Largest word.
    largest: usize,
}

impl Fleets {
    /// Lets boxes tell their hubs, hubs each other, and hubs their boxes.
    fn tell(boxes: usize, upstreams: u32) -> Self {
        let mut rng = SmallRng::seed_from_u64(7);
        let members = members(boxes);
        let all = see(&members[0], &members).ids;
        let mut fleet = Fleets {
            uses: HashMap::new(),
            shares: HashMap::new(),
            hubs: all,
            largest: 0,
            members,
        };
        for member in fleet.members.clone() {
            fleet
                .uses
                .insert(member.id.clone(), uses(&mut rng, upstreams));
            fleet.shares.insert(member.id, FleetLoad::default());
        }
        let mut leaves: HashMap<BoxId, Vec<BoxId>> = HashMap::new();
        let hubs_at = |place: &str| {
            let hubs = fleet.members.iter().filter(|m| &*m.data_centre == place);
            let hubs = hubs.filter(|m| fleet.hubs.contains(&m.id));
            hubs.map(|m| m.id.clone()).collect::<Vec<_>>()
        };
        let places: Vec<Vec<BoxId>> = (0..5).map(|n| hubs_at(&format!("place-{n}"))).collect();
        for (n, member) in fleet.members.clone().into_iter().enumerate() {
            if fleet.hubs.contains(&member.id) {
                continue;
            }
            let near = &places[n % 5];
            let hub = near[n / 5 % near.len()].clone();
            let told = word(&member.id, Scope::Own, own(&fleet.uses[&member.id]));
            fleet.hear(&hub, told);
            leaves.entry(hub).or_default().push(member.id);
        }
        for hub in fleet.hubs.clone() {
            let is_hub = |id: &str| fleet.hubs.iter().any(|h| **h == *id);
            let below = fleet.shares[&hub].subtree_sum(own(&fleet.uses[&hub]), is_hub);
            for other in fleet.hubs.clone().iter().filter(|other| **other != hub) {
                fleet.hear(other, word(&hub, Scope::Own, below.clone().truncated()));
            }
        }
        for hub in fleet.hubs.clone() {
            let whole = fleet.shares[&hub].fleet_sum(own(&fleet.uses[&hub]));
            let leaves = leaves.remove(&hub).unwrap_or_default();
            for leaf in leaves.into_iter().step_by(LEAVES_EACH) {
                for scope in hub::leaf_scopes() {
                    let part = whole.filtered(|key| hub::is_in_scope(scope, key, key % 5 == 0));
                    let part = fleet.shares[&hub].without(&part, &leaf);
                    fleet.hear(&leaf, word(&hub, scope, part.truncated()));
                }
            }
        }
        fleet
    }

    fn hear(&mut self, to: &BoxId, word: LoadReport) {
        let bytes = postcard::to_allocvec(&Datagram::Load(word.clone())).expect("a datagram");
        self.largest = self.largest.max(bytes.len());
        let shares = self.shares.get_mut(to).expect("a box");
        assert!(shares.apply(NOW, word));
    }

    /// What all boxes but one have on each upstream.
    fn truth(&self, but: &BoxId) -> HashMap<u32, Usage> {
        let mut sums: HashMap<u32, Usage> = HashMap::new();
        for (_, uses) in self.uses.iter().filter(|(id, _)| *id != but) {
            for (key, used) in uses {
                sums.entry(*key).or_default().add(used);
            }
        }
        sums
    }
}

/// Each box once kept a word of every other one, and told each.
#[test]
fn boxes_of_a_large_fleet_know_what_all_have() {
    let fleet = Fleets::tell(2000, 6000);
    let informed = fleet
        .shares
        .iter()
        .filter(|(_, shares)| shares.boxes() == 1999);
    let mut count = 0;
    for (id, shares) in informed {
        let known: HashMap<u32, Usage> = shares
            .fleet_sum(LoadSum::default())
            .usage
            .into_iter()
            .collect();
        assert_eq!(known, fleet.truth(id), "{id}");
        count += 1;
    }
    assert!(count >= 2000 / LEAVES_EACH, "{count} boxes");
    assert!(fleet.largest < DATAGRAM_MOST, "{} bytes", fleet.largest);
}

#[test]
fn what_a_box_keeps_does_not_grow_with_the_fleet() {
    for boxes in [200, 2000] {
        let fleet = Fleets::tell(boxes, 500);
        let leaves = fleet.members.iter().filter(|m| !fleet.hubs.contains(&m.id));
        for leaf in leaves {
            assert_eq!(fleet.shares[&leaf.id].senders().count(), 0);
        }
        let most = fleet
            .hubs
            .iter()
            .map(|hub| fleet.shares[hub].senders().count());
        assert!(most.max() <= Some(2 * reader::MAX_READER_BOXES + fleet.hubs.len()));
    }
}

/// A word near is under half a second old wherever it goes.
#[test]
fn words_are_as_fresh_in_a_fleet_of_any_size() {
    for boxes in [7, 40, 41, 985, 2000] {
        let members = members(boxes);
        let readers = see(&members[0], &members);
        let near = |ids: &[BoxId]| {
            let near = members
                .iter()
                .filter(|m| ids.contains(&m.id) && m.data_centre == members[0].data_centre);
            near.count()
        };
        let all: Vec<BoxId> = members.iter().map(|m| m.id.clone()).collect();
        let age = match hub::role(boxes, &readers) {
            Role::Peer => Role::Peer.intervals(near(&all), boxes).0,
            _ => {
                let up = Role::Leaf(all[0].clone()).intervals(1, 1).0;
                up + Role::Hub.intervals(near(&readers.ids), readers.ids.len()).0 + LOCAL_INTERVAL
            }
        };
        assert!(
            age <= Duration::from_millis(500),
            "{age:?} at {boxes} boxes"
        );
    }
    assert!(Role::Leaf("hub".into()).remote_interval(1) <= REMOTE_INTERVAL);
}

/// Whoever goes over to another hub does not count what both told.
#[test]
fn sums_of_two_hubs_are_not_added() {
    let mut shares = FleetLoad::default();
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
    shares.apply(NOW, word(&"first".into(), Scope::Local, sum(90)));
    shares.apply(NOW, word(&"first".into(), Scope::Remote(0), sum(90)));
    shares.apply(NOW, word(&"second".into(), Scope::Local, sum(95)));
    assert_eq!(shares.boxes(), 95);
    let known = shares.fleet_sum(LoadSum::default());
    assert_eq!(known.usage[0].1.requests, 8);
    // The box has become a hub itself, which the second tells its own part only.
    shares.apply(NOW, word(&"second".into(), Scope::Own, sum(40)));
    let known = shares.fleet_sum(LoadSum::default());
    assert_eq!(known.usage[0].1.requests, 8);
    assert_eq!(shares.boxes(), 40);
}

proptest! {
    #![proptest_config(common::seeded(100))]

    /// What is told to a box holds nothing of its own.
    #[test]
    fn sum_without_a_box_is_that_of_the_others(seed in any::<u64>(), boxes in 1usize..12) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let told: Vec<(BoxId, UsageList)> = (0..boxes)
            .map(|n| (BoxId::from(format!("box-{n}")), uses(&mut rng, 12)))
            .collect();
        let mut hub = FleetLoad::default();
        for (id, uses) in &told {
            hub.apply(NOW, word(id, Scope::Own, own(uses)));
        }
        let whole = hub.fleet_sum(LoadSum::default());
        for (id, _) in &told {
            let mut others = FleetLoad::default();
            for (other, uses) in told.iter().filter(|(other, _)| other != id) {
                others.apply(NOW, word(other, Scope::Own, own(uses)));
            }
            prop_assert_eq!(hub.without(&whole, id), others.fleet_sum(LoadSum::default()));
        }
    }
}
