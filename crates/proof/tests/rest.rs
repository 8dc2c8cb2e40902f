//! An upstream that refuses work may state for how long (`retry-after`); until then the box
//! sends it no new work. Tests check the upstreams' records.

use eyre::Result;
use proof::{Fleet, Plan, outcome};
use standin::engine::{self, Record};

/// Time in `retry-after`, in milliseconds; longer than any test runs.
const REST_MS: u64 = 60_000;

/// Rounds of requests. Together they take several times as long as a box's own back-off
/// before it tries an engine again.
const SENDS: usize = 30;

fn refusal_count(fleet: &Fleet, n: usize) -> Result<usize> {
    let records = fleet.engines[n].records()?;
    let refused = records
        .iter()
        .filter(|r| matches!(r, Record::Refused { .. }));
    Ok(refused.count())
}

/// Guards against a fault of boxes that drive each stage themselves: they backed off from a
/// full engine for 0.25 s to 2 s, whatever `retry-after` it had sent.
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_sent_retry_after_gets_no_new_session() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let mode = engine::Mode {
        rest_ms: REST_MS,
        ..engine::Mode::default()
    };
    fleet.engines[0].set(&mode).await?;
    let mut first = 0;
    for n in 0..SENDS {
        // Three at once, so that both engines of the first layers are used.
        let prompts = [0, 1, 2].map(|i| format!("note {n} {i}"));
        let send = |i: usize| fleet.boxes[0].stream(&prompts[i], 40, &[]);
        let (a, b, c) = tokio::join!(send(0), send(1), send(2));
        for reply in [a?, b?, c?] {
            assert_eq!(outcome(&reply), "done");
        }
        if n == 0 {
            first = refusal_count(&fleet, 0)?;
            assert!(first > 0, "no request reached engine 0");
        }
    }
    assert_eq!(refusal_count(&fleet, 0)?, first);
    Ok(())
}
