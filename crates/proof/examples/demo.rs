//! Demo of a small fleet: completions, a service call, an edit, a killed engine
//! and a planned stop. Run it with `./demo.sh`.

use std::process::Command;

use ashgauge::record::{Record, RecordKind};
use eyre::{Result, bail, ensure};
use proof::{BoxPlan, EnginePlan, Fleet, OPERATOR, Plan, binary, outcome, text_of, wait_until};
use serde_json::json;
use standin::model::reference;

const PROMPT: &str = "explain the NPF deduction";
const TOKENS: u32 = 24;

fn say(step: &str, what: &str) {
    println!("\n== {step}: {what}");
}

fn ashctl(fleet: &Fleet, args: &[&str]) -> Result<String> {
    let mut command = Command::new(binary("ashctl")?);
    command.env("ASHCTL_BOX", &fleet.boxes[0].operator);
    command.env("ASHCTL_CREDENTIAL", OPERATOR);
    let output = command.args(args).output()?;
    print!(
        "$ ashctl {}\n{}",
        args.join(" "),
        String::from_utf8_lossy(&output.stdout)
    );
    if !output.status.success() {
        bail!("ashctl failed: {}", String::from_utf8_lossy(&output.stderr));
    }
    Ok(String::from_utf8_lossy(&output.stdout).into())
}

#[tokio::main]
async fn main() -> Result<()> {
    say(
        "start",
        "a platform, 4 engines, a service and 3 boxes, each a process behind a link",
    );
    let plan = Plan {
        boxes: vec![BoxPlan::default(); 3],
        engines: [(0, 4), (4, 8), (0, 4), (4, 8)]
            .map(|(a, b)| EnginePlan::new(a, b))
            .into(),
        ..Plan::default()
    };
    let mut fleet = Fleet::start(plan).await?;
    ashctl(&fleet, &["status"])?;
    ashctl(&fleet, &["show"])?;
    requests(&fleet).await?;
    edit(&fleet).await?;
    lost_engine(&mut fleet).await?;
    planned_stop(&mut fleet).await?;
    say("end", "all processes are ended by their ids");
    drop(fleet);
    println!("\ndemo: everything went as said");
    Ok(())
}

async fn requests(fleet: &Fleet) -> Result<()> {
    say(
        "completion",
        "layers 0-8 on two engines, token by token, whole and streamed",
    );
    let expected = reference(fleet.layers, PROMPT, TOKENS);
    let whole = fleet.boxes[0].complete(PROMPT, TOKENS, &[]).await?;
    println!("whole:    {} ({})", text_of(&whole), outcome(&whole));
    let stream = fleet.boxes[1].stream(PROMPT, TOKENS, &[]).await?;
    println!("streamed: {} ({})", text_of(&stream), outcome(&stream));
    ensure!(
        text_of(&whole) == expected && text_of(&stream) == expected,
        "another text came"
    );
    say(
        "service",
        "a payslip note with a key; the same key again is not run again",
    );
    let headers = [("idempotency-key", "payslip-2026-11-ana")];
    let first = fleet.boxes[0]
        .post("/notes/send", "payslip of Ana", &headers)
        .await?;
    println!("first:  {} {} {}", first.status, first.outcome, first.body);
    let again = fleet.boxes[2]
        .post("/notes/send", "payslip of Ana", &headers)
        .await?;
    println!("again:  {} {} {}", again.status, again.outcome, again.body);
    ensure!(
        fleet.service_bodies()?.len() == 1,
        "the note ran more than once"
    );
    Ok(())
}

async fn edit(fleet: &Fleet) -> Result<()> {
    say("edit", "cells of the table, in force on every box");
    ashctl(
        fleet,
        &[
            "set",
            "team/payroll",
            "weight",
            "5",
            "--who",
            "ana",
            "--wait",
        ],
    )?;
    ashctl(fleet, &["history"])?;
    Ok(())
}

async fn lost_engine(fleet: &mut Fleet) -> Result<()> {
    say("fault", "an engine is killed in the middle of a request");
    let expected = reference(fleet.layers, PROMPT, 400);
    let node = &fleet.boxes[0];
    let answer = {
        let request = node.stream(PROMPT, 400, &[]);
        tokio::pin!(request);
        let busy = wait_until("a busy engine", || async {
            let status = node.operator_client().status().await.ok()?;
            let held = status
                .upstreams
                .iter()
                .find(|u| u.held > 0 && u.holds[0].ends_with("-8"));
            held.map(|u| u.id.to_string())
        });
        tokio::select! {
            answer = &mut request => answer?,
            id = busy => {
                let id = id?;
                let engine = fleet.engines.iter_mut().find(|e| e.id == id);
                if let Some(engine) = engine {
                    println!("killing {id}");
                    engine.process.kill();
                }
                request.await?
            }
        }
    };
    ensure!(
        text_of(&answer) == expected,
        "another text came: {}",
        answer.body
    );
    println!("all 400 tokens came, each once ({})", outcome(&answer));
    say(
        "time line",
        "what the box decided for that request, in order",
    );
    let events = fleet.boxes[0].operator_client().events().await?;
    let lost = |r: &&Record| matches!(r.kind, RecordKind::Lost { .. });
    let request = events
        .records
        .iter()
        .rev()
        .find(lost)
        .and_then(|r| r.request);
    if let Some(id) = request {
        ashctl(fleet, &["timeline", "--request", &id.to_string()])?;
    }
    Ok(())
}

async fn planned_stop(fleet: &mut Fleet) -> Result<()> {
    say(
        "planned stop",
        "SIGTERM; the request in flight ends whole, a new one is told not run",
    );
    let expected = reference(fleet.layers, PROMPT, 200);
    let node = &fleet.boxes[2];
    let running = node.stream(PROMPT, 200, &[]);
    let stop = async {
        wait_until("a request in flight", || async {
            let status = node.operator_client().status().await.ok()?;
            (status.inflight > 0).then_some(())
        })
        .await?;
        node.process.signal("TERM")?;
        wait_until("a box that drains", || async {
            let status = node.operator_client().status().await.ok()?;
            status.draining.then_some(())
        })
        .await?;
        node.complete(PROMPT, 1, &[]).await
    };
    let (answer, refused) = tokio::join!(running, stop);
    let answer = answer?;
    ensure!(
        text_of(&answer) == expected,
        "the request was cut: {}",
        answer.body
    );
    println!("in flight: whole ({})", outcome(&answer));
    let refused = refused?;
    println!(
        "new one:   {} {} {}",
        refused.status,
        refused.outcome,
        json!(refused.body)
    );
    ensure!(
        refused.outcome == "not_run",
        "the new request was not refused"
    );
    let code = fleet.boxes[2].process.ended().await?;
    println!("exit code: {code}");
    Ok(())
}
