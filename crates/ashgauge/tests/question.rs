//! The age of the data that boxes take over from each other is never too low.

mod common;

use std::time::Duration;

use ashgauge::freshness::Freshness;
use ashgauge::query::proven_at;
use proptest::prelude::*;

const BOXES: usize = 4;

/// One step of a fleet. It comes with the real milliseconds that pass before it.
#[derive(Clone, Debug)]
enum Step {
    /// The operator changes the configuration.
    Change,
    /// A box reads the store; the answer shows the state `.1` ms later and
    /// arrives `.2` ms after that.
    Read(usize, u64, u64),
    /// A box queries another, which answers `.2` ms later; the answer arrives
    /// `.3` ms after that.
    Query(usize, usize, u64, u64),
}

fn step() -> impl Strategy<Value = (u64, Step)> {
    let delay = || prop_oneof![0..5u64, 0..4000u64];
    let step = prop_oneof![
        Just(Step::Change),
        (0..2usize, delay(), delay()).prop_map(|(b, a, c)| Step::Read(b, a, c)),
        (0..BOXES, 0..BOXES, delay(), delay()).prop_map(|(a, b, c, d)| Step::Query(a, b, c, d)),
    ];
    (0..700u64, step)
}

/// Event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    Change,
    StoreRead {
        box_index: usize,
        asked_at: u64,
        delay: u64,
    },
    ReadDone {
        box_index: usize,
        asked_at: u64,
        version: usize,
    },
    Answer {
        box_index: usize,
        source: usize,
        asked_at: u64,
        delay: u64,
    },
    Update {
        box_index: usize,
        asked_at: u64,
        age: Duration,
        version: usize,
    },
}

/// A box whose clock has an offset from the real time.
struct SimulatedBox {
    offset: Duration,
    fresh: Freshness,
    version: usize,
}

impl SimulatedBox {
    fn clock(&self, at: u64) -> Duration {
        Duration::from_millis(at) + self.offset
    }
}

proptest! {
    #![proptest_config(common::seeded(512))]

    /// Whenever a box takes its data to be `age` old, it knows every change that was made longer
    /// ago than that, whatever is delayed, paused or repeated in between.
    #[test]
    fn age_is_never_less_than_the_real_one(
        steps in proptest::collection::vec(step(), 1..60),
        offsets in proptest::array::uniform4(0..100_000u64),
    ) {
        let mut boxes = offsets.map(|ms| SimulatedBox {
            offset: Duration::from_millis(60_000 + ms),
            fresh: Freshness::new(Duration::MAX),
            version: 0,
        });
        let mut queue: Vec<(u64, Event)> = Vec::new();
        let mut at = 0;
        for (pause, step) in steps {
            at += pause;
            let event = match step {
                Step::Change => (at, Event::Change),
                Step::Read(box_index, outbound, delay) => (at + outbound, Event::StoreRead { box_index, asked_at: at, delay }),
                Step::Query(box_index, source, outbound, delay) => (at + outbound, Event::Answer { box_index, source, asked_at: at, delay }),
            };
            queue.push(event);
        }
        let mut changes: Vec<u64> = Vec::new();
        while !queue.is_empty() {
            let next = (0..queue.len()).min_by_key(|n| queue[*n].0).expect("an event");
            let (now, event) = queue.remove(next);
            match event {
                Event::Change => changes.push(now),
                Event::StoreRead { box_index, asked_at, delay } => {
                    let version = changes.len();
                    queue.push((now + delay, Event::ReadDone { box_index, asked_at, version }));
                }
                Event::ReadDone { box_index, asked_at, version } => {
                    let node = &mut boxes[box_index];
                    node.version = node.version.max(version);
                    let asked_at = node.clock(asked_at);
                    node.fresh.confirm(asked_at);
                }
                Event::Answer { box_index, source, asked_at, delay } => {
                    let node = &boxes[source];
                    if let Some(age) = node.fresh.age(node.clock(now)) {
                        let version = node.version;
                        let update = Event::Update { box_index, asked_at, age, version };
                        queue.push((now + delay, update.clone()));
                        // The answer arrives twice.
                        queue.push((now + 2 * delay + 1, update));
                    }
                }
                Event::Update { box_index, asked_at, age, version } => {
                    let node = &mut boxes[box_index];
                    node.version = node.version.max(version);
                    if let Some(time) = proven_at(node.clock(asked_at), age) {
                        node.fresh.confirm(time);
                    }
                }
            }
            for node in &boxes {
                let Some(age) = node.fresh.age(node.clock(now)) else {
                    continue;
                };
                let as_of = now.saturating_sub(age.as_millis() as u64);
                let made = changes.iter().filter(|c| **c < as_of).count();
                prop_assert!(node.version >= made, "{} of {} at {}", node.version, made, now);
            }
        }
    }
}
