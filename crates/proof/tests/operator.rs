//! Runs `ashctl` against a fleet: every subcommand, exit codes, JSON output, CSV
//! export and import, and `--wait`.

use std::process::Command;

use eyre::Result;
use proof::{Fleet, OPERATOR, Plan, binary, wait_until};
use serde_json::Value;

struct Output {
    code: i32,
    text: String,
    error: String,
}

fn ashctl(fleet: &Fleet, node: usize, args: &[&str]) -> Result<Output> {
    let mut command = Command::new(binary("ashctl")?);
    command.env("ASHCTL_BOX", &fleet.boxes[node].operator);
    command.env("ASHCTL_CREDENTIAL", OPERATOR);
    let output = command.args(args).output()?;
    Ok(Output {
        code: output.status.code().unwrap_or(-1),
        text: String::from_utf8_lossy(&output.stdout).into(),
        error: String::from_utf8_lossy(&output.stderr).into(),
    })
}

fn ashctl_ok(fleet: &Fleet, args: &[&str]) -> Result<String> {
    let output = ashctl(fleet, 0, args)?;
    assert_eq!(output.code, 0, "{args:?}: {}{}", output.text, output.error);
    Ok(output.text)
}

#[tokio::test(flavor = "multi_thread")]
async fn table_subcommands() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let shown = ashctl_ok(&fleet, &["show"])?;
    assert!(shown.contains("TEAM") && shown.contains("payroll") && shown.contains("weight"));
    let set = ashctl_ok(
        &fleet,
        &[
            "set",
            "team/payroll",
            "weight",
            "7",
            "--who",
            "ana",
            "--wait",
        ],
    )?;
    assert!(
        set.contains("accepted, version 2") && set.contains("in force on every box"),
        "{set}"
    );
    // `--wait` returned, so the version is in force on the other box too.
    let other = ashctl(&fleet, 1, &["show", "--json"])?;
    let other: Value = serde_json::from_str(&other.text)?;
    assert_eq!(other["table"]["rows"]["team/payroll"]["weight"], 7.0);
    let history = ashctl_ok(&fleet, &["history"])?;
    assert!(
        history.contains("ana") && history.contains("team/payroll:weight"),
        "{history}"
    );
    let columns = ashctl_ok(&fleet, &["columns"])?;
    assert!(columns.contains("tokens a second over the whole fleet"));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_edits_exit_with_1_and_name_the_conflict() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    ashctl_ok(
        &fleet,
        &["set", "team/payroll", "weight", "7", "--who", "ana"],
    )?;
    let args = [
        "set",
        "team/payroll",
        "weight",
        "8",
        "--seen",
        "3",
        "--who",
        "ben",
    ];
    let refused = ashctl(&fleet, 1, &args)?;
    assert_eq!(refused.code, 1);
    assert!(
        refused.error.contains("set to 7 by ana"),
        "{}",
        refused.error
    );
    let bad = ashctl(&fleet, 0, &["set", "team/payroll", "weight", "many"])?;
    assert_eq!(
        (bad.code, bad.error.contains("must be a number")),
        (1, true),
        "{}",
        bad.error
    );
    let bad = ashctl(&fleet, 0, &["set", "team/payroll", "colour", "red"])?;
    assert_eq!(
        (bad.code, bad.error.contains("ashctl columns")),
        (1, true),
        "{}",
        bad.error
    );
    let wrong = Command::new(binary("ashctl")?)
        .args(["show", "--box", &fleet.boxes[0].operator])
        .env("ASHCTL_CREDENTIAL", "wrong")
        .output()?;
    assert_eq!(wrong.status.code(), Some(2));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn table_is_exported_to_csv_and_imported() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let csv = ashctl_ok(&fleet, &["export"])?;
    let (base, file) = (fleet.dir().join("base.csv"), fleet.dir().join("new.csv"));
    std::fs::write(&base, &csv)?;
    let new = csv.replace("team/cellar,", "team/cellar-two,");
    std::fs::write(&file, &new)?;
    let path = |p: &std::path::Path| p.display().to_string();
    // A concurrent edit of a cell that the import does not change is kept.
    ashctl_ok(&fleet, &["set", "team/payroll", "weight", "9"])?;
    ashctl_ok(&fleet, &["import", &path(&file), "--base", &path(&base)])?;
    let shown: Value = serde_json::from_str(&ashctl_ok(&fleet, &["show", "--json"])?)?;
    let rows = &shown["table"]["rows"];
    assert_eq!(rows["team/payroll"]["weight"], 9.0);
    assert!(rows["team/cellar"].is_null() && rows["team/cellar-two"].is_object());
    let again = ashctl_ok(&fleet, &["import", &path(&file), "--base", &path(&file)])?;
    assert!(again.contains("nothing to change"));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn fleet_subcommands() -> Result<()> {
    let mut fleet = Fleet::start(Plan::default()).await?;
    fleet.boxes[0]
        .complete("seen in the time line", 3, &[])
        .await?;
    let status = ashctl_ok(&fleet, &["status"])?;
    assert!(status.contains("box-1") && status.contains("box-2") && status.contains("ready"));
    let upstreams = ashctl_ok(&fleet, &["upstreams"])?;
    assert!(
        upstreams.contains("engine-4") && upstreams.contains("chat:4-8"),
        "{upstreams}"
    );
    let chains = ashctl_ok(&fleet, &["chains", "chat"])?;
    assert_eq!(chains.matches("usable").count(), 4, "{chains}");
    ashctl_ok(&fleet, &["set", "upstream/engine-1", "adapter", "v1"])?;
    wait_until("a holder of the lease", || async {
        ashctl_ok(&fleet, &["leases"])
            .ok()?
            .contains("held by box-")
            .then_some(())
    })
    .await?;
    let timeline = ashctl_ok(&fleet, &["timeline", "--json"])?;
    let records: Vec<Value> = timeline
        .lines()
        .map(serde_json::from_str)
        .collect::<Result<_, _>>()?;
    let stamp = |r: &Value| (r["at"]["wall"].as_u64(), r["at"]["count"].as_u64());
    assert!(records.windows(2).all(|w| stamp(&w[0]) <= stamp(&w[1])));
    let nodes = ["box-1", "box-2"];
    assert!(
        nodes
            .iter()
            .all(|n| records.iter().any(|r| r["node"] == *n))
    );
    let events = ["arrived", "chosen", "ended", "table", "edit", "lease"];
    assert!(
        events
            .iter()
            .all(|e| records.iter().any(|r| r["event"] == *e)),
        "{timeline}"
    );
    let drained = ashctl(&fleet, 1, &["drain"])?;
    assert_eq!(drained.code, 0);
    assert_eq!(fleet.boxes[1].process.ended().await?, 0);
    let status = ashctl(&fleet, 0, &["status"])?;
    assert_eq!(
        (status.code, status.error.contains("box-2")),
        (2, true),
        "{}",
        status.error
    );
    Ok(())
}
