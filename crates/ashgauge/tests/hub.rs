//! Hubs hand on what all boxes of a large fleet have.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use ashgauge::hub::{self, FAR_TIME, NEAR_TIME, Role};
use ashgauge::member::BoxId;
use ashgauge::question::Datagram;
use ashgauge::reader::{self, Fleet, Member, Readers, Silences};
use ashgauge::share::{Scope, Shares, Sum, Use, Uses, Word};
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
        place: format!("place-{}", n % 5).into(),
        link: if n % 20 < 5 { 1000 } else { 20 },
    };
    (0..boxes).map(member).collect()
}

fn see(me: &Member, members: &[Member]) -> Readers {
    let fleet = Fleet {
        candidates: members.to_vec(),
        boxes: members.len(),
        readers: None,
    };
    reader::choose(me, &fleet, &Silences::default(), NOW)
}

/// A few upstreams, each with some requests.
fn uses(rng: &mut SmallRng, upstreams: u32) -> Uses {
    let mut uses: Uses = (0..7)
        .map(|_| {
            let requests = rng.random_range(1..9);
            let used = Use {
                requests,
                leads: requests / 2,
                tokens: requests * 900,
                reading: requests,
            };
            (rng.random_range(0..upstreams), used)
        })
        .collect();
    uses.sort_unstable_by_key(|(key, _)| *key);
    uses.dedup_by_key(|(key, _)| *key);
    uses
}

fn own(uses: &Uses) -> Sum {
    Sum {
        boxes: 1,
        uses: uses.clone(),
        suspects: Vec::new(),
        flows: Default::default(),
        slow: Vec::new(),
    }
}

fn word(from: &BoxId, scope: Scope, sum: Sum) -> Word {
    Word {
        scope,
        boxes: sum.boxes,
        suspects: sum.suspects,
        ..common::word(from, sum.uses)
    }
}

/// A fleet in which each box has told once what it has.
struct Fleets {
    members: Vec<Member>,
    uses: HashMap<BoxId, Uses>,
    shares: HashMap<BoxId, Shares>,
    hubs: Vec<BoxId>,
    /// Largest word.
    largest: usize,
}

impl Fleets {
    /// Lets boxes tell their hubs, hubs each other, and hubs their boxes.
    fn tell(boxes: usize, upstreams: u32) -> Self {
        let mut rng = SmallRng::seed_from_u64(7);
        let members = members(boxes);
        let all = see(&members[0], &members).all;
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
            fleet.shares.insert(member.id, Shares::default());
        }
        let mut leaves: HashMap<BoxId, Vec<BoxId>> = HashMap::new();
        let hubs_at = |place: &str| {
            let hubs = fleet.members.iter().filter(|m| &*m.place == place);
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
            let below = fleet.shares[&hub].below(own(&fleet.uses[&hub]), is_hub);
            for other in fleet.hubs.clone().iter().filter(|other| **other != hub) {
                fleet.hear(other, word(&hub, Scope::Own, below.clone().fit()));
            }
        }
        for hub in fleet.hubs.clone() {
            let whole = fleet.shares[&hub].all(own(&fleet.uses[&hub]));
            let leaves = leaves.remove(&hub).unwrap_or_default();
            for leaf in leaves.into_iter().step_by(LEAVES_EACH) {
                for scope in hub::below() {
                    let part = whole.only(|key| hub::is_told(scope, key, key % 5 == 0));
                    let part = fleet.shares[&hub].without(&part, &leaf);
                    fleet.hear(&leaf, word(&hub, scope, part.fit()));
                }
            }
        }
        fleet
    }

    fn hear(&mut self, to: &BoxId, word: Word) {
        let bytes = postcard::to_allocvec(&Datagram::Load(word.clone())).expect("a datagram");
        self.largest = self.largest.max(bytes.len());
        let shares = self.shares.get_mut(to).expect("a box");
        assert!(shares.hear(NOW, word));
    }

    /// What all boxes but one have on each upstream.
    fn truth(&self, but: &BoxId) -> HashMap<u32, Use> {
        let mut sums: HashMap<u32, Use> = HashMap::new();
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
        let known: HashMap<u32, Use> = shares.all(Sum::default()).uses.into_iter().collect();
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
        assert!(most.max() <= Some(2 * reader::BOXES_MOST + fleet.hubs.len()));
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
                .filter(|m| ids.contains(&m.id) && m.place == members[0].place);
            near.count()
        };
        let all: Vec<BoxId> = members.iter().map(|m| m.id.clone()).collect();
        let age = match hub::role(boxes, &readers) {
            Role::Peer => Role::Peer.times(near(&all), boxes).0,
            _ => {
                let up = Role::Leaf(all[0].clone()).times(1, 1).0;
                up + Role::Hub.times(near(&readers.all), readers.all.len()).0 + NEAR_TIME
            }
        };
        assert!(
            age <= Duration::from_millis(500),
            "{age:?} at {boxes} boxes"
        );
    }
    assert!(Role::Leaf("hub".into()).lag(1) <= FAR_TIME);
}

/// Whoever goes over to another hub does not count what both told.
#[test]
fn sums_of_two_hubs_are_not_added() {
    let mut shares = Shares::default();
    let used = vec![(
        1,
        Use {
            requests: 4,
            ..Use::default()
        },
    )];
    let sum = |boxes: u32| Sum {
        boxes,
        uses: used.clone(),
        suspects: Vec::new(),
        flows: Default::default(),
        slow: Vec::new(),
    };
    shares.hear(NOW, word(&"first".into(), Scope::Near, sum(90)));
    shares.hear(NOW, word(&"first".into(), Scope::Far(0), sum(90)));
    shares.hear(NOW, word(&"second".into(), Scope::Near, sum(95)));
    assert_eq!(shares.boxes(), 95);
    let known = shares.all(Sum::default());
    assert_eq!(known.uses[0].1.requests, 8);
    // The box has become a hub itself, which the second tells its own part only.
    shares.hear(NOW, word(&"second".into(), Scope::Own, sum(40)));
    let known = shares.all(Sum::default());
    assert_eq!(known.uses[0].1.requests, 8);
    assert_eq!(shares.boxes(), 40);
}

proptest! {
    #![proptest_config(common::seeded(100))]

    /// What is told to a box holds nothing of its own.
    #[test]
    fn sum_without_a_box_is_that_of_the_others(seed in any::<u64>(), boxes in 1usize..12) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let told: Vec<(BoxId, Uses)> = (0..boxes)
            .map(|n| (BoxId::from(format!("box-{n}")), uses(&mut rng, 12)))
            .collect();
        let mut hub = Shares::default();
        for (id, uses) in &told {
            hub.hear(NOW, word(id, Scope::Own, own(uses)));
        }
        let whole = hub.all(Sum::default());
        for (id, _) in &told {
            let mut others = Shares::default();
            for (other, uses) in told.iter().filter(|(other, _)| other != id) {
                others.hear(NOW, word(other, Scope::Own, own(uses)));
            }
            prop_assert_eq!(hub.without(&whole, id), others.all(Sum::default()));
        }
    }
}
