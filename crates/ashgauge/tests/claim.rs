//! At most one claim of a key is granted, whatever messages are lost, late or duplicated.

mod common;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use ashgauge::claim::{
    ClaimAction, ClaimResult, Claims, Config, ShardId, StoredShard, WriteResult,
};
use proptest::prelude::*;

const BOXES: usize = 3;

fn config() -> Config {
    Config {
        shards: 2,
        retention: Duration::from_secs(1000),
        write_interval: Duration::from_millis(5),
        timeout: Duration::from_millis(60),
    }
}

/// A call to the store that is in flight.
#[derive(Clone)]
enum Call {
    Read(usize, ShardId),
    Write(usize, ShardId, u64, StoredShard),
}

#[derive(Default)]
struct World {
    store: HashMap<ShardId, (u64, StoredShard)>,
    calls: Vec<Call>,
    /// Writes that may take effect long after their box timed out on them.
    late: Vec<(ShardId, u64, StoredShard)>,
    granted: BTreeMap<String, Vec<String>>,
    answered: HashSet<String>,
    keys: HashMap<String, String>,
}

impl World {
    fn perform(&mut self, node: usize, steps: Vec<ClaimAction>) {
        for step in steps {
            match step {
                ClaimAction::Read(shard) => self.calls.push(Call::Read(node, shard)),
                ClaimAction::Write(shard, version, entries) => {
                    self.calls.push(Call::Write(node, shard, version, entries));
                }
                ClaimAction::Respond(id, verdict) => {
                    assert!(self.answered.insert(id.clone()), "{id} was answered twice");
                    if verdict == ClaimResult::Granted {
                        let key = self.keys[&id].clone();
                        self.granted.entry(key).or_default().push(id);
                    }
                }
            }
        }
    }

    fn write(&mut self, shard: ShardId, version: u64, entries: &StoredShard) -> WriteResult {
        let current = self.store.get(&shard).map_or(0, |(v, _)| *v);
        if current != version {
            return WriteResult::Conflict;
        }
        self.store.insert(shard, (version + 1, entries.clone()));
        WriteResult::Done(version + 1)
    }
}

proptest! {
    #![proptest_config(common::seeded(400))]

    #[test]
    fn one_grant_per_key(
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
                    let out = boxes[*node].claim(now, wall, &key, &id);
                    world.perform(*node, out);
                }
                3 => {
                    let out = boxes[*node].tick(now, wall);
                    world.perform(*node, out);
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
                            let out = boxes[b].on_read(now, wall, shard, answer);
                            world.perform(b, out);
                        }
                        Call::Write(b, shard, version, entries) => {
                            let result = match step {
                                // The request is delayed; it may still arrive.
                                5 => {
                                    world.late.push((shard, version, entries.clone()));
                                    WriteResult::Unknown
                                }
                                // The write took effect, but the answer was lost.
                                6 => {
                                    world.write(shard, version, &entries);
                                    WriteResult::Unknown
                                }
                                7 => WriteResult::Refused,
                                _ => world.write(shard, version, &entries),
                            };
                            let out = boxes[b].on_written(now, wall, shard, entries, result);
                            world.perform(b, out);
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
    use ashgauge::claim::ClaimState;
    let mut claims = Claims::new(config());
    let ms = Duration::from_millis;
    let steps = claims.claim(ms(0), 1, "k", "a");
    let ClaimAction::Read(shard) = steps[0] else {
        panic!("{steps:?}")
    };
    let steps = claims.on_read(ms(1), 1, shard, Some((0, StoredShard::default())));
    let ClaimAction::Write(_, 0, entries) = steps[0].clone() else {
        panic!("{steps:?}")
    };
    let steps = claims.on_written(ms(2), 1, shard, entries, WriteResult::Done(1));
    assert_eq!(
        steps,
        [ClaimAction::Respond("a".into(), ClaimResult::Granted)]
    );
    claims.update_state("k", "a", ClaimState::NotRun);
    let steps = claims.claim(ms(3), 1, "k", "b");
    let ClaimAction::Write(_, 1, entries) = steps[0].clone() else {
        panic!("{steps:?}")
    };
    let steps = claims.on_written(ms(51), 1, shard, entries, WriteResult::Done(2));
    assert_eq!(
        steps,
        [ClaimAction::Respond("b".into(), ClaimResult::Granted)]
    );
}

#[test]
fn idle_shard_writes_at_once_and_a_busy_one_once_per_interval() {
    let mut claims = Claims::new(Config {
        write_interval: Duration::from_millis(100),
        timeout: Duration::from_secs(60),
        shards: 1,
        ..config()
    });
    let (mut version, mut writes) = (0, Vec::new());
    for ms in 0..1000u64 {
        let now = Duration::from_millis(ms);
        let mut steps = claims.claim(now, 1, &format!("key-{ms}"), &format!("claim-{ms}"));
        while let Some(step) = steps.pop() {
            match step {
                ClaimAction::Read(shard) => {
                    steps.extend(claims.on_read(now, 1, shard, Some((0, StoredShard::default()))));
                }
                ClaimAction::Write(shard, of, entries) => {
                    assert_eq!(of, version);
                    version += 1;
                    writes.push(ms);
                    let done = WriteResult::Done(version);
                    steps.extend(claims.on_written(now, 1, shard, entries, done));
                }
                ClaimAction::Respond(_, verdict) => assert_eq!(verdict, ClaimResult::Granted),
            }
        }
    }
    assert_eq!(writes[..3], [0, 1, 2]);
    assert!(writes.len() <= 3 + 10, "{writes:?}");
}

#[test]
fn silent_platform_is_not_read_in_a_busy_loop() {
    let mut claims = Claims::new(Config {
        write_interval: Duration::from_millis(100),
        shards: 1,
        ..config()
    });
    claims.update_state("k", "a", ashgauge::claim::ClaimState::Done);
    let mut reads = 0;
    for ms in (0..4000).step_by(10) {
        let now = Duration::from_millis(ms);
        for step in claims.tick(now, 1) {
            let ClaimAction::Read(shard) = step else {
                panic!("{step:?}")
            };
            reads += 1;
            assert!(claims.on_read(now, 1, shard, None).is_empty());
        }
    }
    assert!(reads <= 11, "{reads} reads in 4 s");
}

#[test]
fn keys_with_timestamps_spread_over_time_slices_and_others_do_not() {
    let claims = Claims::new(Config {
        retention: Duration::from_secs(3600),
        ..config()
    });
    let key = |seconds: u64, n: u64| {
        let ms = seconds * 1000;
        format!(
            "team/{:08x}-{:04x}-7cc3-98c4-{n:012x}",
            ms >> 16,
            ms & 0xffff
        )
    };
    let shards = |seconds| (0..200).map(move |n| (seconds, n));
    let of = |(seconds, n)| claims.shard_of(&key(seconds, n));
    let early: HashSet<ShardId> = shards(1_800_000_000).map(of).collect();
    let same: HashSet<ShardId> = shards(1_800_000_009).map(of).collect();
    let later: HashSet<ShardId> = shards(1_800_000_010).map(of).collect();
    assert_eq!(early, same);
    assert_eq!(early.len(), 2);
    assert!(early.is_disjoint(&later));
    // A new key never shares a shard with the time slice of a key that is still retained.
    let last: HashSet<ShardId> = shards(1_800_003_600).map(of).collect();
    assert!(early.is_disjoint(&last));
    assert!((0..200).all(|n| claims.shard_of(&format!("team/note-{n}")) < 2));
}
