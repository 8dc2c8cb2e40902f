//! What a box that hands requests on whole knows of the fleet.

use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use http::{Client, Full};
use hyper::{Request, StatusCode};
use serde_json::Value;

use crate::args::Args;

/// For the box's answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Shows one box's view; `--box` is the address of its metrics.
///
/// # Errors
///
/// Fails if the box gives no answer that can be read.
pub async fn status(args: &Args) -> Result<i32> {
    let request = Request::builder()
        .uri("/status")
        .header("host", &args.box_addr)
        .body(Full::default())?;
    let client = Client::new(REPLY_TIMEOUT);
    let answer = client.send(&args.box_addr, request, REPLY_TIMEOUT).await;
    let answer = answer.wrap_err_with(|| {
        format!(
            "no answer from {}; give the metrics' address",
            args.box_addr
        )
    })?;
    if answer.status() != StatusCode::OK {
        bail!("{} answered {}", args.box_addr, answer.status());
    }
    let text = std::str::from_utf8(answer.body())?;
    if args.json {
        println!("{text}");
        return Ok(crate::EXIT_OK);
    }
    print_status(&serde_json::from_str(text)?);
    Ok(crate::EXIT_OK)
}

fn print_status(status: &Value) {
    for name in [
        "id",
        "data_centre",
        "ready",
        "config_version",
        "config_age_ms",
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
        let answer = u["answer_ms"].as_f64().unwrap_or(0.0);
        println!(
            "{:14} {:14} {:10} {layers:>9} {:>8} {answer:>9.0}  {}",
            text("id"),
            text("service"),
            text("data_centre"),
            u["inflight"].to_string(),
            format_state(u),
        );
    }
}

/// What the box has of the fleet's retries, by service.
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

/// Boxes that this one informs, by data centre.
fn print_informed(status: &Value) {
    for place in status["informs"].as_array().into_iter().flatten() {
        println!(
            "informs         {} of {} in {}, the last word {} ms old",
            place["current"],
            place["boxes"],
            place["data_centre"].as_str().unwrap_or_default(),
            place["oldest_ms"],
        );
    }
}

/// Services for which shedding is switched on, and their classes.
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

/// A class as the rank of its team, that of its route, and whether its callers retry.
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

/// Requests a second; a rate without a bound is none in JSON.
fn format_rate(rate: &Value) -> String {
    rate.as_f64().map_or("-".into(), |r| format!("{r:.1}"))
}

fn format_share(share: &Value) -> String {
    share.as_f64().map_or("-".into(), |s| format!("{s:.2}"))
}

fn format_state(upstream: &Value) -> String {
    let mut words: Vec<String> = Vec::new();
    for name in ["leaving", "suspect"] {
        if upstream[name] == Value::Bool(true) {
            words.push(name.into());
        }
    }
    let slowness = upstream["slowness"].as_f64().unwrap_or(1.0);
    if slowness > 1.0 {
        words.push(format!("slow x{slowness:.1}"));
    }
    if let Some(rate) = upstream["limit"].as_f64() {
        words.push(format!("takes {rate:.1}/s"));
    }
    if let Some(ms) = upstream["rest_ms"].as_f64() {
        words.push(format!("rests {:.1} s", ms / 1e3));
    }
    words.join(" ")
}
