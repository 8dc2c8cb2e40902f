//! One box at a time gives orders to upstreams; an old holder that wakes does
//! no lasting harm, whether the upstream checks the fence or not.

use ashgauge::editor::EditResult;
use ashgauge::table::{Cell, Change, Edit};
use eyre::{Result, bail};
use proof::{BoxPlan, EnginePlan, Fleet, Plan, wait_until};
use serde_json::json;
use standin::engine::Record;
use standin::link::Mode;

fn plan() -> Plan {
    let node = BoxPlan {
        settings: json!({"timing": {"lease_ms": 1000, "list_ms": 100, "heartbeat_ms": 200}}),
    };
    let free = |a, b| EnginePlan {
        fenced: false,
        ..EnginePlan::new(a, b)
    };
    Plan {
        boxes: vec![node; 3],
        engines: vec![EnginePlan::new(0, 4), free(4, 8)],
        ..Plan::default()
    }
}

/// Sets the adapter that both engines should load.
async fn want(fleet: &Fleet, node: usize, seen: Option<&str>, adapter: &str) -> Result<()> {
    let cell = |s: &str| Cell::Text(s.into());
    let change = |engine: &str| Change {
        row: format!("upstream/{engine}"),
        column: "adapter".into(),
        seen: seen.map(cell),
        value: Some(cell(adapter)),
    };
    let edit = Edit {
        id: adapter.into(),
        who: "ana".into(),
        at: 0,
        changes: vec![change("engine-1"), change("engine-2")],
    };
    match fleet.boxes[node].desk().edit(&edit).await? {
        EditResult::Accepted { .. } => Ok(()),
        other => bail!("{other:?}"),
    }
}

fn obeyed(fleet: &Fleet, engine: usize) -> Result<Vec<(u64, String)>> {
    let records = fleet.engines[engine].records()?;
    let of = |r: Record| match r {
        Record::Obeyed { term, adapter, .. } => Some((term, adapter.unwrap_or_default())),
        _ => None,
    };
    Ok(records.into_iter().filter_map(of).collect())
}

async fn wait_adapter(fleet: &Fleet, engine: usize, adapter: &str) -> Result<u64> {
    wait_until("an engine with the adapter", || async {
        let (term, has) = obeyed(fleet, engine).ok()?.pop()?;
        (has == adapter).then_some(term)
    })
    .await
}

async fn holder(fleet: &Fleet, besides: Option<usize>) -> Result<usize> {
    wait_until("a holder of the lease", || async {
        for (n, node) in fleet.boxes.iter().enumerate() {
            if Some(n) != besides && node.desk().status().await.ok()?.lease_term.is_some() {
                return Some(n);
            }
        }
        None
    })
    .await
}

fn assert_terms_grow(fleet: &Fleet, engine: usize) -> Result<()> {
    let terms: Vec<u64> = obeyed(fleet, engine)?.into_iter().map(|(t, _)| t).collect();
    assert!(terms.is_sorted(), "an old order was obeyed: {terms:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_of_the_table_reach_the_engines() -> Result<()> {
    let fleet = Fleet::start(plan()).await?;
    want(&fleet, 0, None, "payslip-v1").await?;
    for engine in 0..2 {
        wait_adapter(&fleet, engine, "payslip-v1").await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_frozen_past_its_lease_wakes_and_does_no_harm() -> Result<()> {
    let fleet = Fleet::start(plan()).await?;
    want(&fleet, 0, None, "v1").await?;
    let first = wait_adapter(&fleet, 0, "v1").await?;
    wait_adapter(&fleet, 1, "v1").await?;
    let old = holder(&fleet, None).await?;
    fleet.boxes[old].process.signal("STOP")?;
    let other = (old + 1) % 3;
    want(&fleet, other, Some("v1"), "v2").await?;
    let second = wait_adapter(&fleet, 0, "v2").await?;
    wait_adapter(&fleet, 1, "v2").await?;
    assert!(second > first, "no new term: {first} then {second}");
    fleet.boxes[old].process.signal("CONT")?;
    // The old holder hears of the new table and of its lost lease; then one
    // more change shows that all follow one order.
    fleet.boxes[old].wait_ready().await?;
    want(&fleet, other, Some("v2"), "v3").await?;
    for engine in 0..2 {
        wait_adapter(&fleet, engine, "v3").await?;
    }
    assert_terms_grow(&fleet, 0)?;
    let last = obeyed(&fleet, 1)?.pop();
    assert_eq!(last.map(|(_, a)| a), Some("v3".into()));
    Ok(())
}

/// An old holder's orders are held up on the links and arrive together with
/// the new holder's, in whatever order.
#[tokio::test(flavor = "multi_thread")]
async fn old_orders_that_arrive_late_do_not_last() -> Result<()> {
    let fleet = Fleet::start(plan()).await?;
    want(&fleet, 0, None, "v1").await?;
    wait_adapter(&fleet, 0, "v1").await?;
    wait_adapter(&fleet, 1, "v1").await?;
    let old = holder(&fleet, None).await?;
    for engine in &fleet.engines {
        engine
            .link
            .set(Mode {
                freeze: true,
                ..Mode::default()
            })
            .await?;
    }
    want(&fleet, (old + 1) % 3, Some("v1"), "v2").await?;
    fleet.boxes[old].process.signal("STOP")?;
    let new = holder(&fleet, Some(old)).await?;
    want(&fleet, new, Some("v2"), "v3").await?;
    for engine in &fleet.engines {
        engine.link.heal().await?;
    }
    for engine in 0..2 {
        wait_adapter(&fleet, engine, "v3").await?;
    }
    fleet.boxes[old].process.signal("CONT")?;
    fleet.boxes[old].wait_ready().await?;
    for engine in 0..2 {
        wait_adapter(&fleet, engine, "v3").await?;
    }
    assert_terms_grow(&fleet, 0)
}
