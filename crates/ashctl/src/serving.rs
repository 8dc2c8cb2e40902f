//! Command on several boxes that forward requests as a whole: whether they serve, or why not.

use eyre::Result;
use serde_json::Value;

use crate::args::Args;
use crate::relay::fetch_status;

/// Shows for each box and service whether the box serves it, and what stands against it; `--box`
/// is a list of the addresses of the boxes' metrics ports, separated by commas.
///
/// # Errors
///
/// Fails if a response is not valid. A box that cannot be reached is shown as such.
pub async fn serving(args: &Args) -> Result<i32> {
    println!(
        "{:20} {:14} {:>6} {:>8} {:>7} {:14} why not",
        "box", "service", "usable", "of", "age_ms", "informed by"
    );
    let mut code = crate::EXIT_OK;
    for addr in args.box_addr.split(',') {
        let Ok(body) = fetch_status(addr).await else {
            println!("{addr:20} not reached");
            code = crate::EXIT_FAILED;
            continue;
        };
        let status: Value = serde_json::from_str(&body)?;
        let all_serve = print_box(addr, &status);
        if !all_serve && code == crate::EXIT_OK {
            code = crate::EXIT_REFUSED;
        }
    }
    Ok(code)
}

/// Prints a line for each service of a box; returns whether it serves all.
fn print_box(addr: &str, status: &Value) -> bool {
    let id = status["id"].as_str().unwrap_or(addr);
    let services = status["services"].as_array().map_or(&[][..], |s| s);
    if services.is_empty() {
        println!("{id:20} {}", box_faults(status).join(", "));
        return false;
    }
    let mut all_serve = true;
    for service in services {
        let mut faults = box_faults(status);
        faults.extend(service_faults(status, service));
        all_serve &= faults.is_empty();
        println!(
            "{id:20} {:14} {:>6} {:>8} {:>7} {:14} {}",
            service["service"].as_str().unwrap_or_default(),
            service["usable"].to_string(),
            service["upstreams"].to_string(),
            status["config_age_ms"].to_string(),
            status["config_from"].as_str().unwrap_or("-"),
            faults.join(", "),
        );
    }
    all_serve
}

/// Returns what keeps a box from serving anything.
fn box_faults(status: &Value) -> Vec<String> {
    let mut faults = Vec::new();
    if status["config_version"] == 0 {
        faults.push("no configuration".into());
    }
    if status["ready"] != true {
        faults.push("not ready".into());
    }
    if status["store_away"] == true {
        faults.push("store away".into());
    }
    for task in status["tasks"].as_array().into_iter().flatten() {
        if task["alive"] != true {
            faults.push(format!("task {} has ended", task["name"]));
        }
    }
    faults
}

/// Returns what keeps a box from serving a service.
fn service_faults(status: &Value, service: &Value) -> Vec<String> {
    let mut faults = Vec::new();
    if service["usable"] == 0 {
        faults.push("no usable upstream".into());
    } else if service["whole"] == false {
        let empty = &service["empty"];
        faults.push(format!("layers missing, {empty} engines empty"));
    }
    let lost = status["lost_services"].as_array();
    if lost.is_some_and(|lost| lost.contains(&service["service"])) {
        faults.push("no upstream reached".into());
    }
    let mut levels = status["levels"].as_array().into_iter().flatten();
    let level = levels.find(|level| level["service"] == service["service"]);
    if let Some(class) = level.map(|l| &l["class"]).filter(|c| !c.is_null()) {
        faults.push(format!(
            "refuses from class {}/{}",
            class["team"], class["route"]
        ));
    }
    if let Some(held) = status["held"].as_array().filter(|held| !held.is_empty()) {
        faults.push(format!("{} requests or parts held back", held.len()));
    }
    faults
}
