//! Commands about the fleet.

use std::time::{Duration, Instant};

use ashgauge::member::MemberState;
use ashgauge::node::Status;
use ashgauge::record::{Record, RecordKind};
use ashgauge::table::Version;
use eyre::Result;
use operator::OperatorClient;

use crate::args::Args;
use crate::sheet::align;
use crate::{EXIT_FAILED, EXIT_OK, EXIT_UNKNOWN};

/// Interval at which [`wait_in_force`] queries the boxes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs `status`: shows every box.
pub async fn status(args: &Args) -> Result<i32> {
    let mut statuses = Vec::new();
    let mut missing = Vec::new();
    for (id, operator) in boxes(args).await? {
        match operator.status().await {
            Ok(status) => statuses.push(status),
            Err(e) => missing.push(format!("{id}: {e}")),
        }
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&statuses)?);
    } else {
        print!("{}", format_status(&statuses));
    }
    missing.iter().for_each(|m| eprintln!("ashctl: {m}"));
    Ok(if missing.is_empty() {
        EXIT_OK
    } else {
        EXIT_FAILED
    })
}

/// Runs `upstreams`: shows the upstreams as one box knows them.
pub async fn upstreams(args: &Args) -> Result<i32> {
    let status = args.operator().status().await?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&status.upstreams)?);
        return Ok(EXIT_OK);
    }
    let header = ["UPSTREAM", "STATE", "HELD", "WINDOW", "LINK US", "HOLDS"];
    let mut lines = vec![header.map(String::from).to_vec()];
    for u in &status.upstreams {
        let state = match (u.state, u.suspect) {
            (MemberState::Leaving, _) => "leaving",
            (_, true) => "suspect",
            _ => "live",
        };
        lines.push(vec![
            u.id.to_string(),
            state.into(),
            u.held.to_string(),
            u.window.to_string(),
            u.link_us.to_string(),
            u.holds.join(" "),
        ]);
    }
    print!("{}", align(&lines));
    Ok(EXIT_OK)
}

/// Runs `chains`: shows which upstreams hold which layers of a model.
pub async fn chains(args: &Args, model: &str) -> Result<i32> {
    let status = args.operator().status().await?;
    let mut lines = vec![["LAYERS", "UPSTREAM", "STATE"].map(String::from).to_vec()];
    for u in &status.upstreams {
        for hold in &u.holds {
            let Some(range) = hold.strip_prefix(&format!("{model}:")) else {
                continue;
            };
            let usable = u.state == MemberState::Live && !u.suspect;
            let state = if usable { "usable" } else { "not usable" };
            lines.push(vec![range.into(), u.id.to_string(), state.into()]);
        }
    }
    lines[1..].sort();
    if args.json {
        println!("{}", serde_json::to_string(&lines[1..])?);
    } else {
        print!("{}", align(&lines));
    }
    Ok(EXIT_OK)
}

/// Runs `leases`: shows which box holds the lease for orders.
pub async fn leases(args: &Args) -> Result<i32> {
    let mut found = Vec::new();
    for (id, operator) in boxes(args).await? {
        if let Ok(status) = operator.status().await
            && let Some(term) = status.lease_term
        {
            found.push((id, term));
        }
    }
    if args.json {
        println!("{}", serde_json::to_string(&found)?);
        return Ok(EXIT_OK);
    }
    match found.as_slice() {
        [] => println!("orders: held by no box that answers"),
        all => all
            .iter()
            .for_each(|(id, term)| println!("orders: held by {id}, term {term}")),
    }
    Ok(EXIT_OK)
}

/// Runs `drain`: starts to drain a box.
pub async fn drain(args: &Args) -> Result<i32> {
    args.operator().drain().await?;
    println!("draining");
    Ok(EXIT_OK)
}

/// Runs `timeline`: shows the records of all boxes in one order.
pub async fn timeline(args: &Args) -> Result<i32> {
    let mut records = Vec::new();
    let mut code = EXIT_OK;
    for (id, operator) in boxes(args).await? {
        match operator.events().await {
            Ok(part) => {
                if part.dropped > 0 {
                    eprintln!(
                        "ashctl: {id} no longer holds its oldest {} events",
                        part.dropped
                    );
                }
                records.extend(part.records);
            }
            Err(e) => {
                eprintln!("ashctl: {id}: {e}");
                code = EXIT_FAILED;
            }
        }
    }
    let newest = records.iter().map(|r| r.at.wall_ms).max().unwrap_or(0);
    let oldest = args.last_ms.map_or(0, |last| newest.saturating_sub(last));
    records.retain(|r| r.at.wall_ms >= oldest && is_wanted(args, r));
    records.sort_by(|a, b| (a.at, &a.box_id).cmp(&(b.at, &b.box_id)));
    for record in &records {
        if args.json {
            println!("{}", serde_json::to_string(record)?);
        } else {
            println!("{}", format_record(record)?);
        }
    }
    Ok(code)
}

/// Waits until the table version is in force on every box.
pub async fn wait_in_force(args: &Args, version: Version) -> Result<i32> {
    let deadline = Instant::now() + args.wait_timeout;
    loop {
        let lagging = lagging_boxes(args, version).await?;
        if lagging.is_empty() {
            return Ok(EXIT_OK);
        }
        if Instant::now() >= deadline {
            eprintln!("ashctl: not yet in force on {}", lagging.join(", "));
            return Ok(EXIT_UNKNOWN);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn lagging_boxes(args: &Args, version: Version) -> Result<Vec<String>> {
    let mut lagging = Vec::new();
    for (id, operator) in boxes(args).await? {
        let status = operator.status().await;
        if !status.is_ok_and(|s| s.version >= version) {
            lagging.push(id);
        }
    }
    Ok(lagging)
}

/// Returns the names and operator API clients of all boxes that the given box knows of.
async fn boxes(args: &Args) -> Result<Vec<(String, OperatorClient)>> {
    let first = args.operator();
    let listed = first.boxes().await?.boxes;
    if listed.is_empty() {
        return Ok(vec![(args.box_addr.clone(), first)]);
    }
    let client = |addr: &str| OperatorClient::new(addr, &args.credential);
    Ok(listed
        .iter()
        .map(|b| (b.id.to_string(), client(&b.operator_addr)))
        .collect())
}

fn format_status(statuses: &[Status]) -> String {
    let header = [
        "BOX",
        "DATA CENTRE",
        "STATE",
        "TABLE",
        "IN FLIGHT",
        "WAITING",
        "DONE",
        "TOKENS",
    ];
    let mut lines = vec![header.map(String::from).to_vec()];
    for s in statuses {
        let state = match (s.draining, s.ready) {
            (true, _) => "draining",
            (_, true) => "ready",
            _ => "not ready",
        };
        lines.push(vec![
            s.id.to_string(),
            s.data_centre.clone(),
            state.into(),
            s.version.to_string(),
            s.inflight.to_string(),
            s.waiting.values().sum::<usize>().to_string(),
            s.stats.ended.get("Done").copied().unwrap_or(0).to_string(),
            s.stats.tokens.to_string(),
        ]);
    }
    align(&lines)
}

fn is_wanted(args: &Args, record: &Record) -> bool {
    let request = args.request.is_none_or(|id| record.request == Some(id));
    let upstream = args
        .upstream
        .as_ref()
        .is_none_or(|id| mentions(&record.kind, id));
    request && upstream
}

fn mentions(kind: &RecordKind, id: &str) -> bool {
    match kind {
        RecordKind::Chosen { stages, .. } | RecordKind::Replaced { stages, .. } => {
            stages.iter().any(|s| &*s.upstream == id)
        }
        RecordKind::Called { upstream, .. }
        | RecordKind::Resumed { upstream, .. }
        | RecordKind::Lost { upstream, .. }
        | RecordKind::Dropped { upstream }
        | RecordKind::Leaving { upstream, .. }
        | RecordKind::Ordered { upstream, .. } => &**upstream == id,
        _ => false,
    }
}

fn format_record(record: &Record) -> Result<String> {
    let request = record.request.map_or(String::new(), |id| format!(" #{id}"));
    let kind = serde_json::to_string(&record.kind)?;
    let at = record.at;
    Ok(format!(
        "{}.{:02} {}{request} {kind}",
        at.wall_ms, at.counter, record.box_id
    ))
}
