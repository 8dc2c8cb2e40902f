//! Measures what each part costs as the fleet grows, and fits lines.
//!
//! `cargo run --release -p ashgauge-bench --bin slopes` prints a line of JSON
//! for each. docs/CAPACITY.md works from them.

use bench::decision;
use bench::fit::line;
use bench::slopes::*;
use eyre::Result;
use serde_json::json;

#[tokio::main]
async fn main() -> Result<()> {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let want = |name: &str| wanted.is_empty() || wanted.iter().any(|w| w == name);
    if want("node") {
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
        print("loans, bytes of an ask, by teams", &limits());
    }
    if want("decisions") {
        let (first, rest) = decision::plans();
        print("first plan, milliseconds, by engines", &first);
        print("plan at rest, milliseconds, by engines", &rest);
        let (usual, shaped) = decision::chains();
        print("chain, milliseconds, by engines", &usual);
        print("chain by shape, milliseconds, by engines", &shaped);
        print("level, milliseconds, by engines", &decision::levels());
    }
    if want("memory") {
        print("request, bytes, by requests in flight", &request_memory());
    }
    if want("busy") {
        let (times, memory) = busy_box().await?;
        print(
            "busy box, microseconds a second, by stage orders a second",
            &times,
        );
        print("busy box, resident megabytes, by streams", &memory);
    }
    if want("wire") {
        print(
            "peer message, bytes on the wire, by bytes of the message",
            &wire().await?,
        );
    }
    if want("box") {
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
