//! An upstream that turns work away may say for how long; until then it gets no new work
//! from the box. The verdict is the upstreams' own records.

use eyre::Result;
use proof::{Fleet, Plan, outcome};
use standin::engine::{self, Record};

/// Longer than any test takes.
const REST_MS: u64 = 60_000;

/// Requests that follow; their runs take several times the pauses that a box makes on
/// its own before it tries an engine again.
const SENDS: usize = 30;

fn refusals(fleet: &Fleet, n: usize) -> Result<usize> {
    let records = fleet.engines[n].records()?;
    let refused = records
        .iter()
        .filter(|r| matches!(r, Record::Refused { .. }));
    Ok(refused.count())
}

/// A box that drives each stage left an engine that was full out for pauses of its own,
/// 0.25 s to 2 s, whatever it had asked for.
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_asked_for_rest_gets_no_new_session() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let mode = engine::Mode {
        rest_ms: REST_MS,
        ..engine::Mode::default()
    };
    fleet.engines[0].set(&mode).await?;
    let mut first = 0;
    for n in 0..SENDS {
        // Some at once, so that both engines of the first layers are used.
        let prompts = [0, 1, 2].map(|i| format!("note {n} {i}"));
        let send = |i: usize| fleet.boxes[0].stream(&prompts[i], 40, &[]);
        let (a, b, c) = tokio::join!(send(0), send(1), send(2));
        for reply in [a?, b?, c?] {
            assert_eq!(outcome(&reply), "done");
        }
        if n == 0 {
            first = refusals(&fleet, 0)?;
            assert!(first > 0, "none reached it");
        }
    }
    assert_eq!(refusals(&fleet, 0)?, first);
    Ok(())
}
