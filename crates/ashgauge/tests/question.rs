//! Proofs that boxes take from each other never say more than what was so.

mod common;

use std::time::Duration;

use ashgauge::freshness::Freshness;
use ashgauge::query::proven_at;
use proptest::prelude::*;

const BOXES: usize = 4;

/// One step of a fleet; times are true milliseconds that pass before it.
#[derive(Clone, Debug)]
enum Step {
    /// The operator changes the configuration.
    Change,
    /// A box asks the store; the answer shows the state `.1` ms later and
    /// arrives `.2` ms after that.
    Read(usize, u64, u64),
    /// A box asks another, which answers `.2` ms later; the answer arrives
    /// `.3` ms after that.
    Ask(usize, usize, u64, u64),
}

fn step() -> impl Strategy<Value = (u64, Step)> {
    let delay = || prop_oneof![0..5u64, 0..4000u64];
    let step = prop_oneof![
        Just(Step::Change),
        (0..2usize, delay(), delay()).prop_map(|(b, a, c)| Step::Read(b, a, c)),
        (0..BOXES, 0..BOXES, delay(), delay()).prop_map(|(a, b, c, d)| Step::Ask(a, b, c, d)),
    ];
    (0..700u64, step)
}

/// What happens at a moment.
#[derive(Clone, Debug)]
enum Event {
    Change,
    Show {
        who: usize,
        asked: u64,
        lag: u64,
    },
    Proof {
        who: usize,
        asked: u64,
        version: usize,
    },
    Answer {
        who: usize,
        by: usize,
        asked: u64,
        lag: u64,
    },
    Learn {
        who: usize,
        asked: u64,
        age: Duration,
        version: usize,
    },
}

/// A box: its clock runs from another start than the true time.
struct Seat {
    offset: Duration,
    fresh: Freshness,
    version: usize,
}

impl Seat {
    fn clock(&self, at: u64) -> Duration {
        Duration::from_millis(at) + self.offset
    }
}

proptest! {
    #![proptest_config(common::seeded(512))]

    /// Whenever a box holds its knowledge for as old as `age`, it knows every
    /// change that was made longer ago than that; slow, frozen and repeated
    /// ways in between change nothing about it.
    #[test]
    fn age_is_never_less_than_true(
        steps in proptest::collection::vec(step(), 1..60),
        offsets in proptest::array::uniform4(0..100_000u64),
    ) {
        let mut seats = offsets.map(|ms| Seat {
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
                Step::Read(who, to, lag) => (at + to, Event::Show { who, asked: at, lag }),
                Step::Ask(who, by, to, lag) => (at + to, Event::Answer { who, by, asked: at, lag }),
            };
            queue.push(event);
        }
        let mut changes: Vec<u64> = Vec::new();
        while !queue.is_empty() {
            let next = (0..queue.len()).min_by_key(|n| queue[*n].0).expect("an event");
            let (now, event) = queue.remove(next);
            match event {
                Event::Change => changes.push(now),
                Event::Show { who, asked, lag } => {
                    let version = changes.len();
                    queue.push((now + lag, Event::Proof { who, asked, version }));
                }
                Event::Proof { who, asked, version } => {
                    let seat = &mut seats[who];
                    seat.version = seat.version.max(version);
                    let asked = seat.clock(asked);
                    seat.fresh.confirm(asked);
                }
                Event::Answer { who, by, asked, lag } => {
                    let seat = &seats[by];
                    if let Some(age) = seat.fresh.age(seat.clock(now)) {
                        let version = seat.version;
                        let learn = Event::Learn { who, asked, age, version };
                        queue.push((now + lag, learn.clone()));
                        // It comes twice.
                        queue.push((now + 2 * lag + 1, learn));
                    }
                }
                Event::Learn { who, asked, age, version } => {
                    let seat = &mut seats[who];
                    seat.version = seat.version.max(version);
                    if let Some(moment) = proven_at(seat.clock(asked), age) {
                        seat.fresh.confirm(moment);
                    }
                }
            }
            for seat in &seats {
                let Some(age) = seat.fresh.age(seat.clock(now)) else {
                    continue;
                };
                let as_of = now.saturating_sub(age.as_millis() as u64);
                let made = changes.iter().filter(|c| **c < as_of).count();
                prop_assert!(seat.version >= made, "{} of {} at {}", seat.version, made, now);
            }
        }
    }
}
