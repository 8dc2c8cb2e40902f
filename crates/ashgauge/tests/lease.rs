//! At most one box holds a lease at a time, and no two holders share a term.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use ashgauge::claim::WriteResult;
use ashgauge::lease::{Lease, LeaseAction, StoredLease};
use proptest::prelude::*;

const TTL: Duration = Duration::from_millis(1000);

enum Call {
    Read(usize),
    Write(usize, u64, StoredLease),
    /// The result of a write that already took effect, still in flight.
    Answer(usize, WriteResult),
}

fn write(store: &mut (u64, StoredLease), version: u64, next: &StoredLease) -> WriteResult {
    if store.0 != version {
        return WriteResult::Conflict;
    }
    *store = (version + 1, next.clone());
    WriteResult::Done(version + 1)
}

proptest! {
    #![proptest_config(common::seeded(300))]

    #[test]
    fn one_holder_at_a_time_with_its_own_terms(
        steps in prop::collection::vec((0usize..3, 0u8..8, 0u16..200, any::<u16>()), 50..400),
    ) {
        let mut store = (0, StoredLease::default());
        let mut boxes: Vec<Lease> =
            (0..3).map(|n| Lease::new(format!("box-{n}.1"), TTL)).collect();
        let mut calls: Vec<Call> = Vec::new();
        let mut terms: HashMap<u64, usize> = HashMap::new();
        let mut now = Duration::ZERO;
        for (node, outcome, wait, pick) in steps {
            now += Duration::from_millis(u64::from(wait));
            match boxes[node].tick(now) {
                Some(LeaseAction::Read) => calls.push(Call::Read(node)),
                Some(LeaseAction::Write(version, next)) => calls.push(Call::Write(node, version, next)),
                None => {}
            }
            // A box may be paused for a long time between a call and its answer.
            if !calls.is_empty() && outcome > 0 {
                match calls.swap_remove(usize::from(pick) % calls.len()) {
                    Call::Read(b) => boxes[b].on_read(now, (outcome > 1).then(|| store.clone())),
                    Call::Write(b, version, next) => {
                        let result = match outcome {
                            1 => WriteResult::Unknown,
                            2 => {
                                write(&mut store, version, &next);
                                WriteResult::Unknown
                            }
                            3 => WriteResult::Refused,
                            _ => write(&mut store, version, &next),
                        };
                        calls.push(Call::Answer(b, result));
                    }
                    Call::Answer(b, result) => boxes[b].on_written(now, result),
                }
            }
            let holders: Vec<(usize, u64)> =
                (0..3).filter_map(|b| Some((b, boxes[b].term(now)?))).collect();
            prop_assert!(holders.len() <= 1, "{holders:?} at {now:?}");
            for (b, term) in holders {
                prop_assert_eq!(*terms.entry(term).or_insert(b), b);
            }
        }
    }
}
