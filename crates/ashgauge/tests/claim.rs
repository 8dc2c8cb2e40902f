//! At most one claim of a key is granted, whatever is lost, late or doubled.

mod common;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use ashgauge::claim::{Claims, Config, Entries, ShardId, Step, Verdict, Written};
use proptest::prelude::*;

const BOXES: usize = 3;

fn config() -> Config {
    Config {
        shards: 2,
        keep: Duration::from_secs(1000),
        interval: Duration::from_millis(5),
        patience: Duration::from_millis(60),
    }
}

/// A call on its way to the store.
#[derive(Clone)]
enum Call {
    Read(usize, ShardId),
    Write(usize, ShardId, u64, Entries),
}

#[derive(Default)]
struct World {
    store: HashMap<ShardId, (u64, Entries)>,
    calls: Vec<Call>,
    /// Writes that may take effect long after their box gave up on them.
    late: Vec<(ShardId, u64, Entries)>,
    granted: BTreeMap<String, Vec<String>>,
    told: HashSet<String>,
    keys: HashMap<String, String>,
}

impl World {
    fn take(&mut self, node: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Read(shard) => self.calls.push(Call::Read(node, shard)),
                Step::Write(shard, version, entries) => {
                    self.calls.push(Call::Write(node, shard, version, entries));
                }
                Step::Tell(id, verdict) => {
                    assert!(self.told.insert(id.clone()), "{id} was told twice");
                    if verdict == Verdict::Granted {
                        let key = self.keys[&id].clone();
                        self.granted.entry(key).or_default().push(id);
                    }
                }
            }
        }
    }

    fn write(&mut self, shard: ShardId, version: u64, entries: &Entries) -> Written {
        let current = self.store.get(&shard).map_or(0, |(v, _)| *v);
        if current != version {
            return Written::Conflict;
        }
        self.store.insert(shard, (version + 1, entries.clone()));
        Written::Done(version + 1)
    }
}

proptest! {
    #![proptest_config(common::seeded(400))]

    #[test]
    fn one_grant_a_key(
        steps in prop::collection::vec((0u8..10, 0usize..BOXES, 0u8..4, any::<u16>()), 20..200),
    ) {
        let mut boxes: Vec<Claims> = (0..BOXES).map(|_| Claims::new(config())).collect();
        let mut world = World::default();
        let mut now = Duration::ZERO;
        for (n, (step, node, key, pick)) in steps.iter().enumerate() {
            now += Duration::from_millis(u64::from(pick % 7));
            let wall = 1000 + now.as_secs();
            match step {
                0..=2 => {
                    let (key, id) = (format!("key-{key}"), format!("claim-{n}"));
                    world.keys.insert(id.clone(), key.clone());
                    let out = boxes[*node].ask(now, wall, &key, &id);
                    world.take(*node, out);
                }
                3 => {
                    let out = boxes[*node].tick(now, wall);
                    world.take(*node, out);
                }
                4 if !world.late.is_empty() => {
                    let n = usize::from(*pick) % world.late.len();
                    let (shard, version, entries) = world.late.swap_remove(n);
                    world.write(shard, version, &entries);
                }
                _ if !world.calls.is_empty() => {
                    let n = usize::from(*pick) % world.calls.len();
                    match world.calls.swap_remove(n) {
                        Call::Read(b, shard) => {
                            let stored = world.store.get(&shard).cloned().unwrap_or_default();
                            let answer = (*step != 5).then_some(stored);
                            let out = boxes[b].read(now, wall, shard, answer);
                            world.take(b, out);
                        }
                        Call::Write(b, shard, version, entries) => {
                            let result = match step {
                                // Lost on the way; it may still arrive.
                                5 => {
                                    world.late.push((shard, version, entries.clone()));
                                    Written::Unknown
                                }
                                // Took effect, and the answer was lost.
                                6 => {
                                    world.write(shard, version, &entries);
                                    Written::Unknown
                                }
                                7 => Written::Refused,
                                _ => world.write(shard, version, &entries),
                            };
                            let out = boxes[b].written(now, wall, shard, entries, result);
                            world.take(b, out);
                        }
                    }
                }
                _ => {}
            }
            for (key, ids) in &world.granted {
                prop_assert!(ids.len() <= 1, "{key} was granted to {ids:?}");
            }
        }
    }
}

#[test]
fn key_is_free_again_after_a_request_that_did_not_run() {
    use ashgauge::claim::Stage;
    let mut claims = Claims::new(config());
    let ms = Duration::from_millis;
    let steps = claims.ask(ms(0), 1, "k", "a");
    let Step::Read(shard) = steps[0] else {
        panic!("{steps:?}")
    };
    let steps = claims.read(ms(1), 1, shard, Some((0, Entries::default())));
    let Step::Write(_, 0, entries) = steps[0].clone() else {
        panic!("{steps:?}")
    };
    let steps = claims.written(ms(2), 1, shard, entries, Written::Done(1));
    assert_eq!(steps, [Step::Tell("a".into(), Verdict::Granted)]);
    claims.finish("k", "a", Stage::NotRun);
    assert!(claims.ask(ms(3), 1, "k", "b").is_empty());
    let steps = claims.tick(ms(50), 1);
    let Step::Write(_, 1, entries) = steps[0].clone() else {
        panic!("{steps:?}")
    };
    let steps = claims.written(ms(51), 1, shard, entries, Written::Done(2));
    assert_eq!(steps, [Step::Tell("b".into(), Verdict::Granted)]);
}
