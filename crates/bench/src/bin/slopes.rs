//! Measures the cost of each part as the fleet grows, and fits lines.
//!
//! `cargo run --release -p ashgauge-bench --bin slopes` prints a line of JSON
//! for each line. docs/CAPACITY.md is based on these figures.

use bench::decision;
use bench::fit::line;
use bench::slopes::*;
use eyre::Result;
use serde_json::json;

#[tokio::main]
async fn main() -> Result<()> {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let is_wanted = |name: &str| wanted.is_empty() || wanted.iter().any(|w| w == name);
    if is_wanted("node") {
        print(
            "request, microseconds, by engines of its model",
            &dispatch(),
        );
        print(
            "stage order in the node, microseconds, by orders",
            &order_cost(),
        );
        print("tick, microseconds, by requests in flight", &tick());
        print("list, bytes, by members", &listing().0);
        print("list, microseconds to take, by members", &listing().1);
        print("table, bytes, by teams", &table().0);
        print("table, microseconds to compile, by teams", &table().1);
        print("claims, bytes of a shard, by keys", &claims().0);
        print(
            "claims, microseconds a commit, by keys in the shard",
            &claims().1,
        );
        print("loans, bytes of an ask, by teams", &loan_requests());
    }
    if is_wanted("decisions") {
        let (first, unchanged) = decision::plans();
        print("first plan, milliseconds, by engines", &first);
        print("plan at rest, milliseconds, by engines", &unchanged);
        let (usual, by_size) = decision::chains();
        print("chain, milliseconds, by engines", &usual);
        print("chain by shape, milliseconds, by engines", &by_size);
        print("level, milliseconds, by engines", &decision::levels());
    }
    if is_wanted("memory") {
        print("request, bytes, by requests in flight", &request_memory());
    }
    if is_wanted("busy") {
        let (times, memory) = busy_box().await?;
        print(
            "busy box, microseconds a second, by stage orders a second",
            &times,
        );
        print("busy box, resident megabytes, by streams", &memory);
    }
    if is_wanted("wire") {
        print(
            "peer message, bytes on the wire, by bytes of the message",
            &wire().await?,
        );
    }
    if is_wanted("box") {
        for (name, points) in idle_box().await? {
            print(&name, &points);
        }
    }
    Ok(())
}

fn print(name: &str, points: &[Point]) {
    let fitted = line(points);
    let value = json!({
        "slope of": name,
        "base": (fitted.base * 1000.0).round() / 1000.0,
        "slope": (fitted.slope * 10_000.0).round() / 10_000.0,
        "fit": (fitted.fit * 1000.0).round() / 1000.0,
        "points": points,
    });
    println!("{value}");
}
