//! An accepted edit is applied on every box within seconds, exactly once, and is
//! never reverted by stale reads, outages or frozen boxes. A refused edit reports
//! the conflicting value and what to do.

use ashgauge::editor::EditResult;
use ashgauge::table::{Cell, Change, Edit};
use eyre::{Result, bail};
use proof::{BoxPlan, Fleet, Plan, wait_until};
use serde_json::json;
use standin::link::Mode;
use standin::platform;

fn weight_edit(id: &str, who: &str, team: &str, seen: f64, value: f64) -> Edit {
    let change = Change {
        row: format!("team/{team}"),
        column: "weight".into(),
        seen: Some(Cell::Number(seen)),
        value: Some(Cell::Number(value)),
    };
    Edit {
        id: id.into(),
        who: who.into(),
        at: 0,
        changes: vec![change],
    }
}

fn accepted(answer: &EditResult) -> Result<u64> {
    match answer {
        EditResult::Accepted { version } => Ok(*version),
        other => bail!("not accepted: {other:?}"),
    }
}

async fn weight_at(fleet: &Fleet, node: usize, team: &str) -> Result<Option<Cell>> {
    let table = fleet.boxes[node].operator_client().table().await?.table;
    Ok(table.cell(&format!("team/{team}"), "weight").cloned())
}

async fn wait_all(fleet: &Fleet, version: u64) -> Result<()> {
    for node in &fleet.boxes {
        node.wait_version(version).await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn race_on_one_cell_accepts_one_and_names_it_to_the_other() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    for round in 0..5 {
        let seen = if round == 0 {
            3.0
        } else {
            f64::from(round) * 10.0 + 1.0
        };
        let next = f64::from(round + 1) * 10.0;
        let (ana, ben) = (
            weight_edit(&format!("ana-{round}"), "ana", "payroll", seen, next + 1.0),
            weight_edit(
                &format!("ben-{round}"),
                "ben",
                "payroll",
                seen,
                next + 1.0 + 0.5,
            ),
        );
        let (a, b) = (
            fleet.boxes[0].operator_client(),
            fleet.boxes[1].operator_client(),
        );
        let (a, b) = tokio::join!(a.edit(&ana), b.edit(&ben));
        let (a, b) = (a?, b?);
        let (won, lost, value) = match (&a, &b) {
            (EditResult::Accepted { version }, EditResult::Refused { .. }) => {
                (*version, &b, next + 1.0)
            }
            (EditResult::Refused { .. }, EditResult::Accepted { version }) => {
                (*version, &a, next + 1.5)
            }
            other => bail!("{other:?}"),
        };
        let EditResult::Refused { message, conflict } = lost else {
            unreachable!()
        };
        assert!(
            *conflict && message.contains(&value.to_string()),
            "{message}"
        );
        assert!(message.contains("read the table again"), "{message}");
        wait_all(&fleet, won).await?;
        for node in 0..2 {
            assert_eq!(
                weight_at(&fleet, node, "payroll").await?,
                Some(Cell::Number(value))
            );
        }
        // Resets the cell to the value that the next round expects.
        let reset = weight_edit(
            &format!("reset-{round}"),
            "eva",
            "payroll",
            value,
            next + 1.0,
        );
        let answer = fleet.boxes[0].operator_client().edit(&reset).await?;
        wait_all(&fleet, accepted(&answer)?).await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn race_on_different_cells_accepts_both() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let (ana, ben) = (
        weight_edit("ana", "ana", "payroll", 3.0, 4.0),
        weight_edit("ben", "ben", "cellar", 1.0, 2.0),
    );
    let (a, b) = (
        fleet.boxes[0].operator_client(),
        fleet.boxes[1].operator_client(),
    );
    let (a, b) = tokio::join!(a.edit(&ana), b.edit(&ben));
    wait_all(&fleet, accepted(&a?)?.max(accepted(&b?)?)).await?;
    for node in 0..2 {
        assert_eq!(
            weight_at(&fleet, node, "payroll").await?,
            Some(Cell::Number(4.0))
        );
        assert_eq!(
            weight_at(&fleet, node, "cellar").await?,
            Some(Cell::Number(2.0))
        );
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_settled_and_the_edit_accepted_once() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let before = fleet.platform_counts().await?.writes;
    let (version, _) = fleet.stored_table().await?;
    let edit = weight_edit("lost", "ana", "payroll", 3.0, 4.0);
    let operator_client = fleet.boxes[0].operator_client();
    let link = &fleet.boxes[0].platform;
    // The read of the edit is answered; the response to its write is lost.
    link.set(Mode {
        swallow_puts: true,
        ..Mode::default()
    })
    .await?;
    let edited = operator_client.edit(&edit);
    let fault = async {
        wait_until("the write at the platform", || async {
            (fleet.platform_counts().await.ok()?.writes > before).then_some(())
        })
        .await?;
        link.heal().await
    };
    let (edited, fault) = tokio::join!(edited, fault);
    fault?;
    assert_eq!(accepted(&edited?)?, version + 1);
    let again = fleet.boxes[1].operator_client().edit(&edit).await?;
    assert_eq!(accepted(&again)?, version + 1);
    let (_, table) = fleet.stored_table().await?;
    assert_eq!(table.edits.iter().filter(|e| e.id == "lost").count(), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_keeps_the_table_in_force_and_refuses_edits() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let first = fleet.boxes[0]
        .operator_client()
        .edit(&weight_edit("one", "ana", "payroll", 3.0, 4.0))
        .await?;
    wait_all(&fleet, accepted(&first)?).await?;
    fleet
        .set_platform(platform::Mode {
            down: true,
            ..platform::Mode::default()
        })
        .await?;
    // A read in flight when the outage began may still have been answered, so
    // that the write of this first edit is lost and its outcome unknown. The
    // second edit cannot get that far.
    let probe = weight_edit("probe", "ana", "payroll", 4.0, 4.5);
    let probe = fleet.boxes[0].operator_client().edit(&probe).await?;
    assert!(!matches!(probe, EditResult::Accepted { .. }), "{probe:?}");
    let edit = weight_edit("two", "ana", "payroll", 4.0, 5.0);
    let refused = fleet.boxes[0].operator_client().edit(&edit).await?;
    let EditResult::Refused {
        message,
        conflict: false,
    } = refused
    else {
        bail!("{refused:?}");
    };
    assert!(message.contains("again later"), "{message}");
    for node in 0..2 {
        assert_eq!(
            weight_at(&fleet, node, "payroll").await?,
            Some(Cell::Number(4.0))
        );
        assert_eq!(fleet.boxes[node].complete("x", 2, &[]).await?.status, 200);
    }
    fleet.set_platform(platform::Mode::default()).await?;
    let answer = fleet.boxes[1].operator_client().edit(&edit).await?;
    wait_all(&fleet, accepted(&answer)?).await
}

#[tokio::test(flavor = "multi_thread")]
async fn box_that_starts_on_stale_reads_takes_the_peers_version() -> Result<()> {
    let mut fleet = Fleet::start(Plan::default()).await?;
    let old = fleet.stored_table().await?.0;
    let stale = platform::Mode {
        stale: true,
        ..platform::Mode::default()
    };
    fleet.set_platform(stale).await?;
    // The write is conditional on the current version and succeeds; only reads
    // return the old table.
    let answer = fleet.boxes[0]
        .operator_client()
        .edit(&weight_edit("new", "ana", "payroll", 3.0, 4.0))
        .await?;
    let version = accepted(&answer)?;
    assert!(version > old);
    wait_all(&fleet, version).await?;
    // The peers' messages arrive after the platform's stale response.
    for peer in &fleet.boxes {
        let late = Mode {
            delay_ms: 300,
            ..Mode::default()
        };
        peer.peer_link.set(late).await?;
    }
    let node = fleet.add_box(&BoxPlan::default())?;
    fleet.publish().await?;
    fleet.boxes[node].wait_ready().await?;
    let status = fleet.boxes[node].operator_client().status().await?;
    assert_eq!(status.version, version);
    for node in 0..3 {
        assert_eq!(
            weight_at(&fleet, node, "payroll").await?,
            Some(Cell::Number(4.0))
        );
    }
    Ok(())
}

/// A box that has applied a version repeatedly reads an older one and must not
/// go back to it.
#[tokio::test(flavor = "multi_thread")]
async fn stale_reads_do_not_revert_a_box() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let stale = platform::Mode {
        stale: true,
        ..platform::Mode::default()
    };
    fleet.set_platform(stale).await?;
    let operator_client = fleet.boxes[0].operator_client();
    let first = operator_client
        .edit(&weight_edit("one", "ana", "payroll", 3.0, 4.0))
        .await?;
    let version = accepted(&first)?;
    let before = fleet.platform_counts().await?.reads;
    let edit = weight_edit("two", "ana", "payroll", 4.0, 5.0);
    let second = operator_client.edit(&edit);
    let watch = async {
        loop {
            let status = operator_client.status().await?;
            assert!(status.version >= version, "reverted to {}", status.version);
            if fleet.platform_counts().await?.reads > before + 3 {
                break;
            }
        }
        assert_eq!(
            weight_at(&fleet, 0, "payroll").await?,
            Some(Cell::Number(4.0))
        );
        fleet.set_platform(platform::Mode::default()).await
    };
    let (second, watch) = tokio::join!(second, watch);
    watch?;
    assert_eq!(accepted(&second?)?, version + 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn box_that_starts_in_an_outage_takes_the_peers_table() -> Result<()> {
    let mut fleet = Fleet::start(Plan::default()).await?;
    let answer = fleet.boxes[0]
        .operator_client()
        .edit(&weight_edit("new", "ana", "payroll", 3.0, 4.0))
        .await?;
    let version = accepted(&answer)?;
    wait_all(&fleet, version).await?;
    fleet
        .set_platform(platform::Mode {
            down: true,
            ..platform::Mode::default()
        })
        .await?;
    let seeds: Vec<String> = fleet
        .boxes
        .iter()
        .map(|b| b.peer_link.addr.clone())
        .collect();
    let node = fleet.add_box(&BoxPlan {
        settings: json!({"seeds": seeds}),
    })?;
    fleet.boxes[node].wait_ready().await?;
    assert_eq!(
        fleet.boxes[node].operator_client().status().await?.version,
        version
    );
    assert_eq!(fleet.boxes[node].complete("x", 2, &[]).await?.status, 200);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_box_that_resumes_takes_the_new_version_and_keeps_it() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    fleet.boxes[1].process.signal("STOP")?;
    let mut last = 0;
    for n in 0..3 {
        let (seen, value) = (3.0 + f64::from(n), 4.0 + f64::from(n));
        let edit = weight_edit(&format!("e{n}"), "ana", "payroll", seen, value);
        last = accepted(&fleet.boxes[0].operator_client().edit(&edit).await?)?;
    }
    fleet.boxes[1].process.signal("CONT")?;
    let mut seen = 0;
    while seen < last {
        let version = fleet.boxes[1].operator_client().status().await?.version;
        assert!(
            version >= seen,
            "version went back from {seen} to {version}"
        );
        seen = version;
    }
    assert_eq!(
        weight_at(&fleet, 1, "payroll").await?,
        Some(Cell::Number(6.0))
    );
    Ok(())
}

/// A box that is cut off from the platform and all peers for `isolation_ms`
/// reports not ready to the load balancer but still serves requests with the
/// state that it has. It is ready again once the network is back.
#[tokio::test(flavor = "multi_thread")]
async fn box_cut_off_from_all_is_not_ready_until_it_hears_again() -> Result<()> {
    let settings = json!({"timing": {"isolation_ms": 3000, "list_ms": 100, "heartbeat_ms": 200}});
    let fleet = Fleet::start(Plan {
        boxes: vec![BoxPlan { settings }; 2],
        ..Plan::default()
    })
    .await?;
    let cut = Mode {
        cut: true,
        ..Mode::default()
    };
    let node = &fleet.boxes[0];
    node.platform.set(cut.clone()).await?;
    for node in &fleet.boxes {
        node.peer_link.set(cut.clone()).await?;
    }
    wait_until("a box that is not ready", || async {
        let status = node.operator_client().status().await.ok()?;
        (!status.ready).then_some(())
    })
    .await?;
    assert_eq!(node.complete("x", 2, &[]).await?.status, 200);
    assert!(fleet.boxes[1].operator_client().status().await?.ready);
    node.platform.heal().await?;
    node.wait_ready().await
}
