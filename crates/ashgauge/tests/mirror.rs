//! Copies of the store that boxes update from each other, whatever messages are lost, late
//! or repeated.

mod common;
mod engines;

use std::collections::BTreeMap;

use ashgauge::mirror::{Change, ChangeKind, Mirror, Revision, Update};
use ashgauge::upstream::Upstream;
use engines::upstream;
use proptest::prelude::*;

/// History of the store: what each revision changed.
#[derive(Default)]
struct Store {
    history: Vec<ChangeKind>,
}

impl Store {
    fn change(&mut self, kind: ChangeKind) -> Revision {
        self.history.push(kind);
        self.at()
    }

    fn at(&self) -> Revision {
        self.history.len() as Revision
    }

    /// Entries as of a revision, with the revision of their last change.
    fn entries(&self, at: Revision) -> BTreeMap<String, (Revision, Option<Upstream>)> {
        let mut entries = BTreeMap::new();
        for (n, kind) in self.history.iter().take(at as usize).enumerate() {
            let revision = n as Revision + 1;
            match kind {
                ChangeKind::Put(u) => entries.insert(u.id.to_string(), (revision, Some(u.clone()))),
                ChangeKind::Removed(id) => entries.insert(id.to_string(), (revision, None)),
                ChangeKind::Config(_) => None,
            };
        }
        entries
    }

    fn list(&self) -> Vec<(Revision, Upstream)> {
        let entries = self.entries(self.at()).into_values();
        entries.filter_map(|(r, u)| u.map(|u| (r, u))).collect()
    }
}

/// Reads everything, as a box does that starts to read the store. The configuration was
/// read `before` revisions before the list.
fn read_all(mirror: &mut Mirror, store: &Store, before: u64) {
    mirror.replace_all(store.at(), store.list());
    mirror.mark_read_to(store.at().saturating_sub(before));
}

/// Applies the changes of a watch.
fn watch(mirror: &mut Mirror, store: &Store) {
    let from = mirror.covered();
    for (n, kind) in store.history.iter().enumerate().skip(from as usize) {
        let revision = n as Revision + 1;
        match kind.clone() {
            ChangeKind::Put(u) => mirror.put(revision, u),
            ChangeKind::Removed(id) => mirror.remove(revision, &id),
            ChangeKind::Config(bytes) => mirror.set_config(revision, bytes),
        };
    }
}

/// Checks that a copy holds everything up to the revision that it claims to cover.
fn check_complete(mirror: &Mirror, store: &Store) -> Result<(), TestCaseError> {
    let held: BTreeMap<&str, &Upstream> = mirror.upstreams().map(|u| (&*u.id, u)).collect();
    let now = store.entries(store.at());
    for (id, (revision, known)) in store.entries(mirror.covered()) {
        // Later changes may be known already.
        if now[&id].0 > revision {
            continue;
        }
        prop_assert_eq!(held.get(id.as_str()).copied(), known.as_ref(), "{}", id);
    }
    for id in held.keys() {
        prop_assert!(now.contains_key(*id));
    }
    Ok(())
}

#[derive(Clone, Debug)]
enum Step {
    Put(u8, u32),
    Remove(u8),
    /// A box that reads the store receives all changes.
    Watch(usize),
    /// The store has dropped the history, so the box lists.
    List(usize, u64),
    /// A box queries another; the answer stays in flight.
    Query(usize, usize),
    /// An answer in flight arrives, perhaps for a second time.
    Arrive(usize, usize),
    /// A box restarts.
    Restart(usize),
}

const BOXES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..6u8, 0..4u32).prop_map(|(id, slots)| Step::Put(id, slots)),
        (0..6u8).prop_map(Step::Remove),
        (0..2usize).prop_map(Step::Watch),
        (0..2usize, 0..6u64).prop_map(|(n, before)| Step::List(n, before)),
        (0..BOXES, 0..BOXES).prop_map(|(a, b)| Step::Query(a, b)),
        (0..BOXES, 0..64usize).prop_map(|(a, n)| Step::Arrive(a, n)),
        (0..BOXES).prop_map(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(common::seeded(256))]

    /// Two boxes read the store, all query each other; answers arrive late, twice or never.
    #[test]
    fn covered_revisions_are_known(steps in proptest::collection::vec(step(), 1..120)) {
        let mut store = Store::default();
        let mut boxes: Vec<Mirror> = (0..BOXES).map(|_| Mirror::default()).collect();
        let mut answers: Vec<Vec<Update>> = vec![Vec::new(); BOXES];
        for step in steps {
            match step {
                Step::Put(id, slots) => {
                    let mut entry = upstream(&format!("e{id}"), "a", "small", None, 1);
                    entry.slots = slots;
                    store.change(ChangeKind::Put(entry));
                }
                Step::Remove(id) => {
                    store.change(ChangeKind::Removed(format!("e{id}").as_str().into()));
                }
                Step::Watch(n) if boxes[n].covered() > 0 => watch(&mut boxes[n], &store),
                Step::Watch(n) => read_all(&mut boxes[n], &store, 0),
                Step::List(n, before) => read_all(&mut boxes[n], &store, before),
                Step::Query(a, b) if a != b && boxes[b].covered() > 0 => {
                    let update = boxes[b].update(boxes[a].covered(), true);
                    answers[a].push(update);
                }
                Step::Query(..) => {}
                Step::Arrive(a, n) => {
                    if let Some(update) = answers[a].get(n % answers[a].len().max(1)).cloned() {
                        boxes[a].apply(update);
                    }
                }
                Step::Restart(n) => {
                    boxes[n] = Mirror::default();
                    // Its queries ended with its process.
                    answers[n].clear();
                }
            }
            for mirror in &boxes {
                check_complete(mirror, &store)?;
            }
        }
    }
}

#[test]
fn old_copy_removes_nothing() {
    let mut reader = Mirror::default();
    let entry = |id: &str| upstream(id, "a", "small", None, 1);
    reader.replace_all(4, vec![(3, entry("e1"))]);
    reader.mark_read_to(4);
    let old = reader.update(0, true);
    assert!(old.is_full);
    let mut other = Mirror::default();
    other.apply(old.clone());
    reader.put(5, entry("e2"));
    other.apply(reader.update(other.covered(), true));
    assert_eq!(other.covered(), 5);
    assert!(other.apply(old).is_empty());
    assert_eq!(other.upstreams().count(), 2);
}

#[test]
fn removal_is_reported_once() {
    let mut reader = Mirror::default();
    reader.replace_all(2, vec![(1, upstream("e1", "a", "small", None, 1))]);
    reader.mark_read_to(2);
    let mut other = Mirror::default();
    other.apply(reader.update(0, true));
    reader.remove(3, &"e1".into());
    let update = reader.update(other.covered(), true);
    assert!(!update.is_full);
    let gone = Change {
        revision: 3,
        kind: ChangeKind::Removed("e1".into()),
    };
    assert_eq!(other.apply(update.clone()), [gone]);
    assert!(other.apply(update).is_empty());
}

/// The list of past removals is bounded; a box that missed more gets everything.
#[test]
fn too_many_removals_cause_a_full_update() {
    let mut reader = Mirror::default();
    reader.replace_all(1, Vec::new());
    reader.mark_read_to(1);
    for n in 0..3000u64 {
        let id = format!("e{n}");
        reader.put(2 + 2 * n, upstream(&id, "a", "small", None, 1));
        reader.remove(3 + 2 * n, &id.as_str().into());
    }
    assert!(reader.update(1, true).is_full);
    assert!(!reader.update(6000, true).is_full);
    assert!(reader.update(1, true).changes.is_empty());
}

/// Guards against a box that passes on removals incompletely: one that learned from a list
/// newer than the revision that it covers does not know what was removed before the list.
#[test]
fn removals_before_a_list_are_not_skipped() {
    let entry = |id: &str| upstream(id, "a", "small", None, 1);
    let mut reader = Mirror::default();
    reader.replace_all(10, vec![(2, entry("e1"))]);
    reader.mark_read_to(3);
    let mut between = Mirror::default();
    between.apply(reader.update(0, true));
    reader.mark_read_to(12);
    between.apply(reader.update(between.covered(), true));
    assert_eq!(between.covered(), 12);
    // `e2` was removed at revision 7.
    let mut late = Mirror::default();
    late.replace_all(5, vec![(2, entry("e1")), (4, entry("e2"))]);
    late.mark_read_to(5);
    late.apply(between.update(late.covered(), true));
    assert_eq!(late.covered(), 12);
    assert_eq!(late.upstreams().map(|u| &*u.id).collect::<Vec<_>>(), ["e1"]);
}

/// Guards against a cached update that lacks a change. An update is encoded once for several
/// boxes. A change that arrives before earlier ones leaves the covered revision as it was, but
/// must be passed on all the same: it may say that an upstream leaves.
#[test]
fn generation_changes_with_the_update() {
    let mut mirror = Mirror::default();
    mirror.replace_all(1, vec![(1, upstream("a", "p", "large", None, 1))]);
    mirror.mark_read_to(1);
    let (covered, before) = (mirror.covered(), mirror.update(0, true));
    let generation = mirror.generation();
    let leaving = Upstream {
        leaving: true,
        ..upstream("a", "p", "large", None, 1)
    };
    assert!(mirror.put(5, leaving.clone()));
    assert_eq!(mirror.covered(), covered);
    assert_ne!(mirror.update(0, true), before);
    assert_ne!(mirror.generation(), generation);
    let generation = mirror.generation();
    assert!(!mirror.put(5, leaving), "no change");
    assert_eq!(mirror.generation(), generation);
    assert!(mirror.remove(7, &"a".into()));
    assert_ne!(mirror.generation(), generation);
    let generation = mirror.generation();
    assert!(mirror.set_config(9, b"routes".to_vec()));
    assert_ne!(mirror.generation(), generation);
}
