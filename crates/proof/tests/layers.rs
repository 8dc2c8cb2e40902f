//! Every layer runs exactly once for each position, in order, however the layers
//! are distributed over engines and whichever engines fail in mid-request. Tests
//! check the engines' records and the generated text, which depends on the order
//! of the layers.

use eyre::{Result, eyre};
use proof::{EnginePlan, Fleet, Plan, check_layers, outcome, replayed, runs, text_of, wait_until};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standin::engine::Record;
use standin::link::Mode;
use standin::model::reference;

const PROMPT: &str = "yield of parcel nine";

fn positions(tokens: u32) -> u32 {
    PROMPT.len() as u32 + tokens - 1
}

fn plan(ranges: &[(u32, u32)]) -> Plan {
    Plan {
        engines: ranges
            .iter()
            .map(|(a, b)| EnginePlan::new(*a, *b))
            .collect(),
        ..Plan::default()
    }
}

/// Waits until box 0 has received `tokens` tokens, and returns the index of the
/// engine that it uses for the layer.
async fn engine_of(fleet: &Fleet, layer: u32, tokens: u64) -> Result<usize> {
    let node = &fleet.boxes[0];
    wait_until("an engine in use", || async {
        let status = node.operator_client().status().await.ok()?;
        if status.stats.tokens < tokens {
            return None;
        }
        let holds = |id: &str| {
            let u = fleet.listing.upstreams.iter().find(|u| &*u.id == id);
            u.is_some_and(|u| u.holds.iter().any(|h| h.first <= layer && layer < h.end))
        };
        let busy = status
            .upstreams
            .iter()
            .find(|u| u.held > 0 && holds(&u.id))?;
        fleet.engines.iter().position(|e| e.id == *busy.id)
    })
    .await
}

/// Returns the records of the surviving engines and those of the lost ones.
fn split(fleet: &Fleet, lost: &[usize]) -> Result<(Vec<Record>, Vec<Record>)> {
    let (mut live, mut gone) = (Vec::new(), Vec::new());
    for (n, engine) in fleet.engines.iter().enumerate() {
        let records = engine.records()?;
        if lost.contains(&n) {
            gone.extend(records);
        } else {
            live.extend(records);
        }
    }
    Ok((live, gone))
}

fn check(fleet: &Fleet, lost: &[usize], tokens: u32) -> Result<()> {
    let (live, gone) = split(fleet, lost)?;
    let all: Vec<Record> = live.iter().chain(&gone).cloned().collect();
    for request in runs(&all) {
        check_layers(&live, &gone, &request, fleet.layers, positions(tokens))?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn overlapping_and_uneven_ranges() -> Result<()> {
    let fleet = Fleet::start(plan(&[(0, 5), (3, 8), (0, 1), (1, 7), (6, 8)])).await?;
    let expected = reference(fleet.layers, PROMPT, 20);
    for n in 0..6 {
        let reply = fleet.boxes[n % 2].complete(PROMPT, 20, &[]).await?;
        assert_eq!(text_of(&reply), expected, "{}", reply.body);
    }
    check(&fleet, &[], 20)
}

/// Where the ranges of a fast and a slow engine overlap, the fast engine runs the
/// shared layers, so the slow engine starts at layer 5 rather than at its first.
#[tokio::test(flavor = "multi_thread")]
async fn slow_engine_runs_only_layers_that_the_fast_one_lacks() -> Result<()> {
    let mut plan = plan(&[(0, 5), (3, 8)]);
    plan.engines[1].layer_time = std::time::Duration::from_millis(2);
    let fleet = Fleet::start(plan).await?;
    let expected = reference(fleet.layers, PROMPT, 6);
    for _ in 0..6 {
        let reply = fleet.boxes[0].complete(PROMPT, 6, &[]).await?;
        assert_eq!(text_of(&reply), expected, "{}", reply.body);
    }
    let entered = |r: &Record| matches!(r, Record::Ran { first: 5, .. });
    assert!(fleet.engines[1].records()?.iter().any(entered));
    check(&fleet, &[], 6)
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_killed_at_a_random_token() -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut fleet = Fleet::start(plan(&[(0, 4), (4, 8), (0, 4), (4, 8), (0, 8), (2, 6)])).await?;
    let expected = reference(fleet.layers, PROMPT, 200);
    let (reply, lost) = {
        let request = fleet.boxes[0].stream(PROMPT, 200, &[]);
        let kill = async {
            let layer = rng.random_range(0..8);
            let n = engine_of(&fleet, layer, rng.random_range(3..100)).await?;
            fleet.engines[n].process.signal("KILL")?;
            Ok::<usize, eyre::Report>(n)
        };
        let (reply, lost) = tokio::join!(request, kill);
        (reply?, lost?)
    };
    fleet.engines[lost].process.kill();
    assert_eq!(
        (text_of(&reply), outcome(&reply)),
        (expected, "done".into())
    );
    check(&fleet, &[lost], 200)?;
    // Only the layers of the lost stage are replayed, on its replacement.
    let (live, _) = split(&fleet, &[lost])?;
    let whole = u64::from(positions(200) * fleet.layers);
    assert!(replayed(&live) > 0 && replayed(&live) <= whole);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stage_frozen_in_mid_request() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let expected = reference(fleet.layers, PROMPT, 100);
    let request = fleet.boxes[0].stream(PROMPT, 100, &[]);
    let freeze = async {
        let n = engine_of(&fleet, 5, 20).await?;
        fleet.engines[n].process.signal("STOP")?;
        Ok::<usize, eyre::Report>(n)
    };
    let (reply, lost) = tokio::join!(request, freeze);
    let (reply, lost) = (reply?, lost?);
    assert_eq!(
        (text_of(&reply), outcome(&reply)),
        (expected, "done".into())
    );
    fleet.engines[lost].process.signal("CONT")?;
    check(&fleet, &[lost], 100)
}

#[tokio::test(flavor = "multi_thread")]
async fn two_stages_lost_together() -> Result<()> {
    let mut fleet = Fleet::start(Plan::default()).await?;
    let expected = reference(fleet.layers, PROMPT, 150);
    let (reply, lost) = {
        let request = fleet.boxes[0].stream(PROMPT, 150, &[]);
        let kill = async {
            let (a, b) = (
                engine_of(&fleet, 0, 20).await?,
                engine_of(&fleet, 4, 20).await?,
            );
            fleet.engines[a].process.signal("KILL")?;
            fleet.engines[b].process.signal("KILL")?;
            Ok::<[usize; 2], eyre::Report>([a, b])
        };
        let (reply, lost) = tokio::join!(request, kill);
        (reply?, lost?)
    };
    lost.iter().for_each(|n| fleet.engines[*n].process.kill());
    assert_eq!(
        (text_of(&reply), outcome(&reply)),
        (expected, "done".into())
    );
    // The last order of each lost engine may have run again elsewhere, so the
    // layers are checked one by one.
    let records: Vec<Vec<Record>> = fleet
        .engines
        .iter()
        .map(|e| e.records())
        .collect::<Result<_>>()?;
    let live: Vec<Record> = (0..records.len())
        .filter(|n| !lost.contains(n))
        .flat_map(|n| records[n].clone())
        .collect();
    let request = runs(&live)
        .first()
        .cloned()
        .ok_or_else(|| eyre!("no engine ran a request"))?;
    for layer in 0..fleet.layers {
        let held = |r: &Record| matches!(r, Record::Ran { first, end, .. } if *first <= layer && layer < *end);
        let of = |all: &[Record]| all.iter().filter(|r| held(r)).cloned().collect::<Vec<_>>();
        let gone: Vec<Record> = lost.iter().flat_map(|n| of(&records[*n])).collect();
        proof::check_layer(&of(&live), &gone, &request, layer, positions(150))?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn replacement_joins_in_mid_request() -> Result<()> {
    let mut fleet = Fleet::start(plan(&[(0, 4), (4, 8)])).await?;
    let expected = reference(fleet.layers, PROMPT, 120);
    let caller = fleet.boxes[0].caller.clone();
    let body = format!(r#"{{"model":"chat","prompt":"{PROMPT}","max_tokens":120}}"#);
    let asker = tokio::spawn(async move { post_completion(&caller, &body).await });
    let lost = engine_of(&fleet, 4, 10).await?;
    fleet.engines[lost].process.kill();
    wait_until("a stalled request", || async {
        let events = fleet.boxes[0].operator_client().events().await.ok()?;
        let stalled = |r: &ashgauge::record::Record| {
            matches!(r.kind, ashgauge::record::RecordKind::Stalled { .. })
        };
        events.records.iter().any(stalled).then_some(())
    })
    .await?;
    fleet.add_engine(&EnginePlan::new(4, 8))?;
    fleet.publish().await?;
    let text = asker.await??;
    assert!(text.contains(&expected), "{text}");
    check(&fleet, &[lost], 120)
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_behind_a_slow_link_is_avoided() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let expected = reference(fleet.layers, PROMPT, 4);
    let slow = Mode {
        delay_ms: 100,
        ..Mode::default()
    };
    fleet.engines[0].link.set(slow).await?;
    for _ in 0..12 {
        let reply = fleet.boxes[0].complete(PROMPT, 4, &[]).await?;
        assert_eq!(text_of(&reply), expected);
    }
    check(&fleet, &[], 4)?;
    let used = runs(&fleet.engines[0].records()?).len();
    assert!(
        used <= 3,
        "the slow engine was used for {used} of 12 requests"
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn non_repeatable_completion_reruns_nothing() -> Result<()> {
    let mut fleet = Fleet::start(Plan::default()).await?;
    let (reply, lost) = {
        let request = fleet.boxes[0].complete(PROMPT, 200, &[("ashgauge-repeat", "no")]);
        let kill = async {
            let n = engine_of(&fleet, 4, 20).await?;
            fleet.engines[n].process.signal("KILL")?;
            Ok::<usize, eyre::Report>(n)
        };
        let (reply, lost) = tokio::join!(request, kill);
        (reply?, lost?)
    };
    fleet.engines[lost].process.kill();
    assert_eq!(reply.outcome, "unknown", "{}", reply.body);
    let records = fleet.engine_records()?;
    assert_eq!(replayed(&records), 0);
    assert_eq!(runs(&records).len(), 1);
    let attempts = records.iter().filter_map(|r| match r {
        Record::Ran { attempt, .. } => Some(*attempt),
        _ => None,
    });
    assert_eq!(attempts.max(), Some(1));
    Ok(())
}

async fn post_completion(addr: &str, body: &str) -> Result<String> {
    proof::post(addr, "/v1/completions", body)
        .await
        .map(|r| r.body)
}
