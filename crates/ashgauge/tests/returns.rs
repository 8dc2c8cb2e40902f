//! A store that comes back from copies of earlier states, boxes that read it and boxes that
//! ask them: nobody goes back, and all know what is written then.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use ashgauge::member::UpstreamId;
use ashgauge::mirror::Mirror;
use ashgauge::revision::{Revision, era, from_parts};
use ashgauge::upstream::{LayerRange, Upstream};
use proptest::prelude::*;

/// Upstreams of a run.
const UPSTREAMS: usize = 4;

/// Boxes that read the store, and boxes that ask those.
const READERS: usize = 2;
const BOXES: usize = 5;

fn upstream(id: &str, leaving: bool, layers: Option<u32>) -> Upstream {
    Upstream {
        id: id.into(),
        started_ms: Some(1),
        service: "model".into(),
        addr: "10.0.0.1:80".into(),
        data_centre: Arc::from("a"),
        slots: 8,
        leaving,
        accelerator: None,
        layers: layers.map(|end| LayerRange { first: 0, end }),
        models: Vec::new(),
    }
}

/// What the store holds: each entry with the count of its last change.
type Entries = BTreeMap<UpstreamId, (u64, Upstream)>;

#[derive(Clone, Default)]
struct Store {
    era: u64,
    count: u64,
    entries: Entries,
}

impl Store {
    fn at(&self) -> Revision {
        from_parts(self.era, self.count)
    }

    fn put(&mut self, upstream: Upstream) {
        let known = self.entries.get(&upstream.id);
        if known.is_some_and(|(_, known)| *known == upstream) {
            return;
        }
        self.count += 1;
        self.entries
            .insert(upstream.id.clone(), (self.count, upstream));
    }

    fn remove(&mut self, id: &UpstreamId) {
        if self.entries.remove(id).is_some() {
            self.count += 1;
        }
    }

    fn list(&self) -> Vec<(Revision, Upstream)> {
        let entries = self.entries.values();
        entries
            .map(|(count, u)| (from_parts(self.era, *count), u.clone()))
            .collect()
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// An upstream begins to leave, takes layers, or goes.
    Leave(usize),
    Place(usize, u32),
    Go(usize),
    /// The store keeps a copy, or comes back from it.
    Copy,
    Return,
    /// What upstreams say is written again.
    Again,
    /// A box that reads does so; another asks one of them.
    Read(usize),
    Ask(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..UPSTREAMS).prop_map(Step::Leave),
        (0..UPSTREAMS, 1u32..9).prop_map(|(n, end)| Step::Place(n, end)),
        (0..UPSTREAMS).prop_map(Step::Go),
        Just(Step::Copy),
        Just(Step::Return),
        Just(Step::Again),
        (0..READERS).prop_map(Step::Read),
        (READERS..BOXES, 0..READERS).prop_map(|(n, of)| Step::Ask(n, of)),
    ]
}

struct World {
    store: Store,
    copy: Store,
    /// What each upstream says of itself, while it is there.
    truth: HashMap<UpstreamId, Upstream>,
    boxes: Vec<Mirror>,
}

impl World {
    fn new() -> Self {
        let mut world = World {
            store: Store::default(),
            copy: Store::default(),
            truth: HashMap::new(),
            boxes: vec![Mirror::default(); BOXES],
        };
        for n in 0..UPSTREAMS {
            world.say(upstream(&format!("u{n}"), false, None));
        }
        world.copy = world.store.clone();
        (0..READERS).for_each(|n| world.read(n));
        (READERS..BOXES).for_each(|n| world.ask(n, 0));
        world
    }

    fn say(&mut self, upstream: Upstream) {
        self.truth.insert(upstream.id.clone(), upstream.clone());
        self.store.put(upstream);
    }

    fn change(&mut self, n: usize, change: impl FnOnce(&mut Upstream)) {
        let id: UpstreamId = format!("u{n}").into();
        if let Some(mut upstream) = self.truth.get(&id).cloned() {
            change(&mut upstream);
            self.say(upstream);
        }
    }

    fn read(&mut self, n: usize) {
        let at = self.store.at();
        self.boxes[n].replace_all(at, self.store.list());
        self.boxes[n].mark_read_to(at);
    }

    fn ask(&mut self, n: usize, of: usize) {
        let after = self.boxes[n].covered();
        let update = self.boxes[of].update(after, true);
        // What a box knows from before is no news to one that knows of the return.
        if era(update.up_to) >= era(after) {
            self.boxes[n].apply(update);
        }
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Leave(n) => self.change(*n, |u| u.leaving = true),
            Step::Place(n, end) => self.change(*n, |u| {
                u.layers = Some(LayerRange {
                    first: 0,
                    end: *end,
                });
            }),
            Step::Go(n) => {
                let id: UpstreamId = format!("u{n}").into();
                self.truth.remove(&id);
                self.store.remove(&id);
            }
            Step::Copy => self.copy = self.store.clone(),
            Step::Return => {
                let era = self.store.era + 1;
                self.store = Store {
                    era,
                    ..self.copy.clone()
                };
            }
            Step::Again => self.write_again(),
            Step::Read(n) => self.read(*n),
            Step::Ask(n, of) => self.ask(*n, *of),
        }
    }

    fn write_again(&mut self) {
        let gone: Vec<_> = self.store.entries.keys().cloned().collect();
        for id in gone.iter().filter(|id| !self.truth.contains_key(*id)) {
            self.store.remove(id);
        }
        for upstream in self.truth.values() {
            self.store.put(upstream.clone());
        }
    }
}

/// What a box knows of each upstream.
fn known(mirror: &Mirror) -> BTreeMap<UpstreamId, Upstream> {
    let all = mirror.upstreams();
    all.map(|u| (u.id.clone(), u.clone())).collect()
}

proptest! {
    #[test]
    fn nobody_goes_back(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        for step in &steps {
            let before: Vec<_> = world.boxes.iter().map(known).collect();
            world.play(step);
            for (mirror, before) in world.boxes.iter().zip(&before) {
                let now = known(mirror);
                for (id, upstream) in &now {
                    match before.get(id) {
                        Some(old) => {
                            prop_assert!(upstream.leaving || !old.leaving, "{id} leaves no more");
                            let emptied = upstream.layers.is_none() && old.layers.is_some();
                            prop_assert!(!emptied, "{id} holds nothing any more");
                        }
                        None => prop_assert!(
                            world.truth.contains_key(id) || mirror.covered() == 0 || !was_known(&steps, id),
                            "{id} is back"
                        ),
                    }
                }
            }
        }
    }

    #[test]
    fn all_know_what_is_written_then(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        steps.iter().for_each(|step| world.play(step));
        world.write_again();
        (0..READERS).for_each(|n| world.read(n));
        // Everybody has had the time to write again.
        for mirror in &mut world.boxes {
            mirror.accept_restored();
        }
        (0..READERS).for_each(|n| world.read(n));
        for n in READERS..BOXES {
            world.ask(n, n % READERS);
            let truth: BTreeMap<_, _> = world.truth.clone().into_iter().collect();
            prop_assert_eq!(known(&world.boxes[n]), truth);
        }
    }
}

/// Whether the steps remove an upstream, so that it must not come back.
fn was_known(steps: &[Step], id: &str) -> bool {
    let goes = |step: &Step| matches!(step, Step::Go(n) if *id == *format!("u{n}"));
    steps.iter().any(goes)
}

#[test]
fn later_era_goes_before_a_larger_count() {
    let mut reader = Mirror::default();
    reader.replace_all(97, vec![(90, upstream("u1", false, None))]);
    reader.mark_read_to(97);
    let mut asker = Mirror::default();
    asker.apply(reader.update(0, true));
    // The store is back at 93, and u1 begins to leave.
    let (at, leaves) = (from_parts(1, 93), from_parts(1, 94));
    reader.replace_all(at, vec![(from_parts(1, 90), upstream("u1", false, None))]);
    reader.mark_read_to(at);
    assert!(!asker.covers(at));
    reader.put(leaves, upstream("u1", true, None));
    let news = asker.apply(reader.update(asker.covered(), true));
    assert!(!news.is_empty());
    assert!(asker.upstream("u1").unwrap().leaving);
    assert!(asker.covers(leaves));
}
