//! A store that is restored from backups of earlier states, boxes that read it, and boxes that
//! query those: no box reverts to an older state, and all learn what is written afterwards.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use ashgauge::member::UpstreamId;
use ashgauge::mirror::Mirror;
use ashgauge::revision::{Revision, era, from_parts};
use ashgauge::upstream::{LayerRange, Upstream};
use proptest::prelude::*;

/// Number of upstreams.
const UPSTREAMS: usize = 4;

/// Number of boxes that read the store, and of all boxes; the others query the readers.
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

/// Entries of the store, each with the count of its last change.
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
        let known_upstreams = self.entries.get(&upstream.id);
        if known_upstreams.is_some_and(|(_, known_upstreams)| *known_upstreams == upstream) {
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
    /// An upstream starts to leave, gets layers, or is removed.
    Leave(usize),
    SetLayers(usize, u32),
    Remove(usize),
    /// The store is backed up, or restored from the backup.
    Backup,
    Restore,
    /// All upstreams write their state to the store again.
    Rewrite,
    /// A reader reads the store, or another box queries a reader.
    Read(usize),
    Query(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..UPSTREAMS).prop_map(Step::Leave),
        (0..UPSTREAMS, 1u32..9).prop_map(|(n, end)| Step::SetLayers(n, end)),
        (0..UPSTREAMS).prop_map(Step::Remove),
        Just(Step::Backup),
        Just(Step::Restore),
        Just(Step::Rewrite),
        (0..READERS).prop_map(Step::Read),
        (READERS..BOXES, 0..READERS).prop_map(|(n, of)| Step::Query(n, of)),
    ]
}

struct World {
    store: Store,
    backup: Store,
    /// Actual state of each present upstream.
    actual: HashMap<UpstreamId, Upstream>,
    boxes: Vec<Mirror>,
}

impl World {
    fn new() -> Self {
        let mut world = World {
            store: Store::default(),
            backup: Store::default(),
            actual: HashMap::new(),
            boxes: vec![Mirror::default(); BOXES],
        };
        for n in 0..UPSTREAMS {
            world.publish(upstream(&format!("u{n}"), false, None));
        }
        world.backup = world.store.clone();
        (0..READERS).for_each(|n| world.read(n));
        (READERS..BOXES).for_each(|n| world.query(n, 0));
        world
    }

    fn publish(&mut self, upstream: Upstream) {
        self.actual.insert(upstream.id.clone(), upstream.clone());
        self.store.put(upstream);
    }

    fn change(&mut self, n: usize, change: impl FnOnce(&mut Upstream)) {
        let id: UpstreamId = format!("u{n}").into();
        if let Some(mut upstream) = self.actual.get(&id).cloned() {
            change(&mut upstream);
            self.publish(upstream);
        }
    }

    fn read(&mut self, n: usize) {
        let at = self.store.at();
        self.boxes[n].replace_all(at, self.store.list());
        self.boxes[n].mark_read_to(at);
    }

    fn query(&mut self, n: usize, of: usize) {
        let after = self.boxes[n].covered();
        let update = self.boxes[of].update(after, true);
        // A box that knows of the restore ignores data from before it.
        if era(update.up_to) >= era(after) {
            self.boxes[n].apply(update);
        }
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Leave(n) => self.change(*n, |u| u.leaving = true),
            Step::SetLayers(n, end) => self.change(*n, |u| {
                u.layers = Some(LayerRange {
                    first: 0,
                    end: *end,
                });
            }),
            Step::Remove(n) => {
                let id: UpstreamId = format!("u{n}").into();
                self.actual.remove(&id);
                self.store.remove(&id);
            }
            Step::Backup => self.backup = self.store.clone(),
            Step::Restore => {
                let era = self.store.era + 1;
                self.store = Store {
                    era,
                    ..self.backup.clone()
                };
            }
            Step::Rewrite => self.rewrite_all(),
            Step::Read(n) => self.read(*n),
            Step::Query(n, of) => self.query(*n, *of),
        }
    }

    fn rewrite_all(&mut self) {
        let gone: Vec<_> = self.store.entries.keys().cloned().collect();
        for id in gone.iter().filter(|id| !self.actual.contains_key(*id)) {
            self.store.remove(id);
        }
        for upstream in self.actual.values() {
            self.store.put(upstream.clone());
        }
    }
}

/// Upstreams as a box knows them.
fn known_upstreams(mirror: &Mirror) -> BTreeMap<UpstreamId, Upstream> {
    let all = mirror.upstreams();
    all.map(|u| (u.id.clone(), u.clone())).collect()
}

proptest! {
    #[test]
    fn no_box_reverts_to_an_older_state(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        for step in &steps {
            let before: Vec<_> = world.boxes.iter().map(known_upstreams).collect();
            world.apply_step(step);
            for (mirror, before) in world.boxes.iter().zip(&before) {
                let now = known_upstreams(mirror);
                for (id, upstream) in &now {
                    match before.get(id) {
                        Some(old) => {
                            prop_assert!(upstream.leaving || !old.leaving, "{id} no longer leaves");
                            let emptied = upstream.layers.is_none() && old.layers.is_some();
                            prop_assert!(!emptied, "{id} lost its layers");
                        }
                        None => prop_assert!(
                            world.actual.contains_key(id) || mirror.covered() == 0 || !is_removed(&steps, id),
                            "{id} reappeared"
                        ),
                    }
                }
            }
        }
    }

    #[test]
    fn all_boxes_learn_what_is_written_after_a_restore(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        steps.iter().for_each(|step| world.apply_step(step));
        world.rewrite_all();
        (0..READERS).for_each(|n| world.read(n));
        // All upstreams have had the time to write again.
        for mirror in &mut world.boxes {
            mirror.accept_restored();
        }
        (0..READERS).for_each(|n| world.read(n));
        for n in READERS..BOXES {
            world.query(n, n % READERS);
            let actual: BTreeMap<_, _> = world.actual.clone().into_iter().collect();
            prop_assert_eq!(known_upstreams(&world.boxes[n]), actual);
        }
    }
}

/// Whether the steps remove an upstream, after which it must not reappear.
fn is_removed(steps: &[Step], id: &str) -> bool {
    let removes = |step: &Step| matches!(step, Step::Remove(n) if *id == *format!("u{n}"));
    steps.iter().any(removes)
}

#[test]
fn later_era_precedes_a_larger_count() {
    let mut reader = Mirror::default();
    reader.replace_all(97, vec![(90, upstream("u1", false, None))]);
    reader.mark_read_to(97);
    let mut poller = Mirror::default();
    poller.apply(reader.update(0, true));
    // The store is restored to count 93, and u1 starts to leave.
    let (at, leaves) = (from_parts(1, 93), from_parts(1, 94));
    reader.replace_all(at, vec![(from_parts(1, 90), upstream("u1", false, None))]);
    reader.mark_read_to(at);
    assert!(!poller.covers(at));
    reader.put(leaves, upstream("u1", true, None));
    let changes = poller.apply(reader.update(poller.covered(), true));
    assert!(!changes.is_empty());
    assert!(poller.upstream("u1").unwrap().leaving);
    assert!(poller.covers(leaves));
}
