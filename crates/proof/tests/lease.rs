//! Only the box that holds the lease sends orders to upstreams. A former holder
//! that was frozen past its lease may still send old orders when it resumes; the
//! upstream must end up in the current state, whether or not it checks the
//! fencing term.

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
    let unfenced = |a, b| EnginePlan {
        fenced: false,
        ..EnginePlan::new(a, b)
    };
    Plan {
        boxes: vec![node; 3],
        engines: vec![EnginePlan::new(0, 4), unfenced(4, 8)],
        ..Plan::default()
    }
}

/// Edits the table so that both engines should load `adapter`.
async fn set_adapter(fleet: &Fleet, node: usize, seen: Option<&str>, adapter: &str) -> Result<()> {
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
    match fleet.boxes[node].operator_client().edit(&edit).await? {
        EditResult::Accepted { .. } => Ok(()),
        other => bail!("{other:?}"),
    }
}

fn applied_orders(fleet: &Fleet, engine: usize) -> Result<Vec<(u64, String)>> {
    let records = fleet.engines[engine].records()?;
    let of = |r: Record| match r {
        Record::Obeyed { term, adapter, .. } => Some((term, adapter.unwrap_or_default())),
        _ => None,
    };
    Ok(records.into_iter().filter_map(of).collect())
}

async fn wait_adapter(fleet: &Fleet, engine: usize, adapter: &str) -> Result<u64> {
    wait_until("an engine with the adapter", || async {
        let (term, has) = applied_orders(fleet, engine).ok()?.pop()?;
        (has == adapter).then_some(term)
    })
    .await
}

async fn wait_holder(fleet: &Fleet, besides: Option<usize>) -> Result<usize> {
    wait_until("a holder of the lease", || async {
        for (n, node) in fleet.boxes.iter().enumerate() {
            if Some(n) != besides
                && node
                    .operator_client()
                    .status()
                    .await
                    .ok()?
                    .lease_term
                    .is_some()
            {
                return Some(n);
            }
        }
        None
    })
    .await
}

fn assert_terms_grow(fleet: &Fleet, engine: usize) -> Result<()> {
    let terms: Vec<u64> = applied_orders(fleet, engine)?
        .into_iter()
        .map(|(t, _)| t)
        .collect();
    assert!(
        terms.is_sorted(),
        "an outdated order was applied: {terms:?}"
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn adapter_set_in_the_table_reaches_the_engines() -> Result<()> {
    let fleet = Fleet::start(plan()).await?;
    set_adapter(&fleet, 0, None, "payslip-v1").await?;
    for engine in 0..2 {
        wait_adapter(&fleet, engine, "payslip-v1").await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_that_resumes_after_its_lease_ended_does_no_harm() -> Result<()> {
    let fleet = Fleet::start(plan()).await?;
    set_adapter(&fleet, 0, None, "v1").await?;
    let first = wait_adapter(&fleet, 0, "v1").await?;
    wait_adapter(&fleet, 1, "v1").await?;
    let old = wait_holder(&fleet, None).await?;
    fleet.boxes[old].process.signal("STOP")?;
    let other = (old + 1) % 3;
    set_adapter(&fleet, other, Some("v1"), "v2").await?;
    let second = wait_adapter(&fleet, 0, "v2").await?;
    wait_adapter(&fleet, 1, "v2").await?;
    assert!(second > first, "no new term: {first} then {second}");
    fleet.boxes[old].process.signal("CONT")?;
    // The former holder learns of the new table and of its lost lease; one more
    // edit then shows that both engines follow the current holder.
    fleet.boxes[old].wait_ready().await?;
    set_adapter(&fleet, other, Some("v2"), "v3").await?;
    for engine in 0..2 {
        wait_adapter(&fleet, engine, "v3").await?;
    }
    assert_terms_grow(&fleet, 0)?;
    let last = applied_orders(&fleet, 1)?.pop();
    assert_eq!(last.map(|(_, a)| a), Some("v3".into()));
    Ok(())
}

/// Orders of a former holder are delayed on the links and arrive together with
/// those of the new holder, in any order.
#[tokio::test(flavor = "multi_thread")]
async fn late_orders_of_a_former_holder_do_not_stay_in_effect() -> Result<()> {
    let fleet = Fleet::start(plan()).await?;
    set_adapter(&fleet, 0, None, "v1").await?;
    wait_adapter(&fleet, 0, "v1").await?;
    wait_adapter(&fleet, 1, "v1").await?;
    let old = wait_holder(&fleet, None).await?;
    for engine in &fleet.engines {
        engine
            .link
            .set(Mode {
                freeze: true,
                ..Mode::default()
            })
            .await?;
    }
    set_adapter(&fleet, (old + 1) % 3, Some("v1"), "v2").await?;
    fleet.boxes[old].process.signal("STOP")?;
    let new = wait_holder(&fleet, Some(old)).await?;
    set_adapter(&fleet, new, Some("v2"), "v3").await?;
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
