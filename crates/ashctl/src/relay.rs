//! Commands `relay` and `configs`: the state of boxes that forward requests as a whole.

use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use http::{Client, Full};
use hyper::{Request, StatusCode};
use serde_json::Value;

use crate::args::Args;

/// Time limit for the box's response.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Shows the box's view of the fleet; `--box` is the address of its metrics port.
///
/// # Errors
///
/// Fails if the box cannot be reached or sends no valid response.
pub async fn status(args: &Args) -> Result<i32> {
    let body = fetch_status(&args.box_addr).await?;
    match args.json {
        true => println!("{body}"),
        false => print_status(&serde_json::from_str(&body)?),
    }
    Ok(crate::EXIT_OK)
}

/// Shows which configuration each box uses, how old it is and where it came from; `--box` is
/// a list of the addresses of their metrics ports, separated by commas.
///
/// # Errors
///
/// Fails if a response is not valid. A box that cannot be reached is shown as such.
pub async fn configs(args: &Args) -> Result<i32> {
    println!("{:24} {:>8} {:>8}  from", "box", "version", "age_ms");
    let mut code = crate::EXIT_OK;
    for addr in args.box_addr.split(',') {
        let Ok(body) = fetch_status(addr).await else {
            println!("{addr:24} {:>8} {:>8}  not reached", "-", "-");
            code = crate::EXIT_FAILED;
            continue;
        };
        let status: Value = serde_json::from_str(&body)?;
        println!(
            "{:24} {:>8} {:>8}  {}",
            status["id"].as_str().unwrap_or(addr),
            status["config_version"].to_string(),
            status["config_age_ms"].to_string(),
            status["config_from"].as_str().unwrap_or("-"),
        );
    }
    Ok(code)
}

/// Fetches the status of a box from its metrics port.
///
/// # Errors
///
/// Fails if the box cannot be reached or its response is not a status.
pub async fn fetch_status(addr: &str) -> Result<String> {
    let request = Request::builder()
        .uri("/status")
        .header("host", addr)
        .body(Full::default())?;
    let client = Client::new(REPLY_TIMEOUT);
    let response = client.send(addr, request, REPLY_TIMEOUT).await;
    let response = response.wrap_err_with(|| {
        format!("no answer from {addr}; --box must be the address of its metrics port")
    })?;
    if response.status() != StatusCode::OK {
        bail!("{addr} answered {}", response.status());
    }
    Ok(String::from_utf8(response.body().to_vec())?)
}

fn print_status(status: &Value) {
    for name in [
        "id",
        "data_centre",
        "ready",
        "config_version",
        "config_age_ms",
        "config_from",
        "store_away",
        "reads",
        "era",
        "revision",
        "boxes",
        "role",
        "readers",
        "boxes_heard",
        "inflight",
    ] {
        println!("{name:15} {}", status[name]);
    }
    print_retries(status);
    print_informed(status);
    print_levels(status);
    println!(
        "\n{:14} {:14} {:10} {:>9} {:>8} {:>9}  state",
        "upstream", "service", "place", "layers", "inflight", "answer_ms"
    );
    for u in status["upstreams"].as_array().into_iter().flatten() {
        let text = |name: &str| u[name].as_str().unwrap_or_default().to_string();
        let layers = match &u["layers"] {
            Value::Array(l) if l.len() == 2 => format!("{}-{}", l[0], l[1]),
            _ => "-".into(),
        };
        let answer_ms = u["answer_ms"].as_f64().unwrap_or(0.0);
        println!(
            "{:14} {:14} {:10} {layers:>9} {:>8} {answer_ms:>9.0}  {}",
            text("id"),
            text("service"),
            text("data_centre"),
            u["inflight"].to_string(),
            format_state(u),
        );
    }
}

/// Prints the box's part of the fleet's retry budget, by service.
fn print_retries(status: &Value) {
    for retries in status["retries"].as_array().into_iter().flatten() {
        println!(
            "retries         {}: {:.0} taken, {:.1} left",
            retries["service"].as_str().unwrap_or_default(),
            retries["spent"].as_f64().unwrap_or_default(),
            retries["left"].as_f64().unwrap_or_default(),
        );
    }
}

/// Prints the boxes that this box keeps up to date, by data centre.
fn print_informed(status: &Value) {
    for entry in status["informs"].as_array().into_iter().flatten() {
        println!(
            "informs         {} of {} in {}, oldest report {} ms old",
            entry["current"],
            entry["boxes"],
            entry["data_centre"].as_str().unwrap_or_default(),
            entry["oldest_ms"],
        );
    }
}

/// Prints the services for which load shedding is enabled, and their classes.
fn print_levels(status: &Value) {
    let levels = status["levels"].as_array().map_or(&[][..], |l| l);
    if levels.is_empty() {
        return;
    }
    println!(
        "\n{:14} {:14} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "admission", "level", "since_s", "asked", "allowed", "ending", "memory", "slots"
    );
    for l in levels {
        let since = l["since_ms"].as_f64().unwrap_or_default() / 1e3;
        println!(
            "{:14} {:14} {since:>8.1} {:>8} {:>8} {:>8} {:>8} {:>8}",
            l["service"].as_str().unwrap_or_default(),
            format_class(&l["class"]),
            format_rate(&l["asked"]),
            format_rate(&l["allowed"]),
            format_rate(&l["ends"]),
            format_share(&l["memory"]),
            format_share(&l["slots"]),
        );
    }
    println!(
        "\n{:14} {:14} {:>8} {:>8} {:>8} {:>8}",
        "service", "class", "asked", "admits", "let in", "refused"
    );
    for l in levels {
        for c in l["classes"].as_array().into_iter().flatten() {
            println!(
                "{:14} {:14} {:>8} {:>8} {:>8} {:>8}",
                l["service"].as_str().unwrap_or_default(),
                format_class(&c["class"]),
                format_rate(&c["asked"]),
                c["admits"].as_str().unwrap_or_default(),
                c["admitted"].to_string(),
                c["refused"].to_string(),
            );
        }
    }
}

/// Formats a class: the priorities of its team and route, and whether its callers retry.
fn format_class(class: &Value) -> String {
    if class.is_null() {
        return "all admitted".into();
    }
    let retried = match class["back"] == Value::Bool(true) {
        true => " retried",
        false => "",
    };
    format!("{}/{}{retried}", class["team"], class["route"])
}

/// Formats a rate in requests per second; an unlimited rate is null in JSON.
fn format_rate(rate: &Value) -> String {
    rate.as_f64().map_or("-".into(), |r| format!("{r:.1}"))
}

fn format_share(share: &Value) -> String {
    share.as_f64().map_or("-".into(), |s| format!("{s:.2}"))
}

fn format_state(upstream: &Value) -> String {
    let mut labels: Vec<String> = Vec::new();
    for name in ["leaving", "suspect"] {
        if upstream[name] == Value::Bool(true) {
            labels.push(name.into());
        }
    }
    let slowness = upstream["slowness"].as_f64().unwrap_or(1.0);
    if slowness > 1.0 {
        labels.push(format!("slow x{slowness:.1}"));
    }
    if let Some(rate) = upstream["limit"].as_f64() {
        labels.push(format!("takes {rate:.1}/s"));
    }
    if let Some(ms) = upstream["rest_ms"].as_f64() {
        labels.push(format!("rests {:.1} s", ms / 1e3));
    }
    labels.join(" ")
}
