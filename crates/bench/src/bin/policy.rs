//! Measures the routing policy against simple baselines.
//!
//! `cargo run --release -p ashgauge-bench --bin policy -- [EXPERIMENT ...]`
//! prints a line of JSON for each run. docs/MEASUREMENTS.md lists the figures.

use bench::claim::claims;
use bench::experiment::{limit, peak, recovery, saturation};
use eyre::{Result, bail};
use serde_json::{Value, json};
use standin::link::Mode;

const SEED: u64 = 20_261_202;

const EXPERIMENTS: [&str; 5] = ["saturation", "peak", "recovery", "limit", "claims"];

#[tokio::main]
async fn main() -> Result<()> {
    let mut wanted: Vec<String> = std::env::args().skip(1).collect();
    if wanted.is_empty() {
        wanted = EXPERIMENTS.map(String::from).to_vec();
    }
    for experiment in wanted {
        match experiment.as_str() {
            "saturation" => all_saturation().await?,
            "peak" => all_peak().await?,
            "recovery" => all_recovery().await?,
            "limit" => all_limit().await?,
            "claims" => all_claims().await?,
            other => bail!("no experiment `{other}`; there are {EXPERIMENTS:?}"),
        }
    }
    Ok(())
}

async fn all_saturation() -> Result<()> {
    let ways = [
        ("ours", json!({})),
        ("round robin", json!({"cheapest": false})),
        ("first come first served", json!({"fair": false})),
    ];
    for (name, tactics) in ways {
        print(
            "saturation",
            name,
            saturation(&tactics, 60, 2.2, SEED).await?,
        );
    }
    Ok(())
}

async fn all_peak() -> Result<()> {
    for (name, tactics) in [
        ("ours", json!({})),
        ("first come first served", json!({"fair": false})),
    ] {
        print("peak", name, peak(&tactics, 60, SEED).await?);
    }
    Ok(())
}

async fn all_recovery() -> Result<()> {
    let reset = Mode {
        cut: true,
        ..Mode::default()
    };
    let silent = Mode {
        freeze: true,
        ..Mode::default()
    };
    let ways = [
        ("replay one stage", json!({})),
        ("restart whole", json!({"replay": false})),
    ];
    for (name, tactics) in ways {
        let figures = recovery(&tactics, &reset, 4).await?;
        print("recovery, reset", name, figures);
        let figures = recovery(&tactics, &silent, 4).await?;
        print("recovery, silence", name, figures);
    }
    Ok(())
}

async fn all_limit() -> Result<()> {
    let ways = [
        ("loans", json!({})),
        ("equal parts", json!({"loans": false})),
    ];
    for (name, tactics) in ways {
        for fault in ["none", "kill", "cut"] {
            let figures = limit(&tactics, fault, 30, SEED).await?;
            print(&format!("limit, {fault}"), name, figures);
        }
    }
    Ok(())
}

async fn all_claims() -> Result<()> {
    for rate in [25.0, 50.0, 90.0, 200.0, 500.0, 1000.0] {
        for (name, shards) in [("shards", true), ("one object a request", false)] {
            print("claims", name, claims(rate, shards, SEED).await?);
        }
    }
    Ok(())
}

fn print(experiment: &str, way: &str, figures: Value) {
    println!(
        "{}",
        json!({"experiment": experiment, "way": way, "figures": figures})
    );
}
