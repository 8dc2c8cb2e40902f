//! A small routing table for the tests that start whole nodes.

use ashgauge::policy::hash_key;
use ashgauge::table::{Cell, Table};

/// Returns a table of one tier, the team `payroll` with key `k` and weight 3, and the route
/// `chat` of kind `model`.
pub fn table(layers: u32) -> Table {
    let text = |s: &str| Cell::Text(s.into());
    let hash: String = hash_key("k").iter().map(|b| format!("{b:02x}")).collect();
    let rows = [
        ("tier/gold", vec![("rank", Cell::Number(0.0))]),
        (
            "team/payroll",
            vec![
                ("tier", text("gold")),
                ("weight", Cell::Number(3.0)),
                ("key", text(&hash)),
            ],
        ),
        (
            "route/chat",
            vec![
                ("kind", text("model")),
                ("layers", Cell::Number(f64::from(layers))),
            ],
        ),
    ];
    let mut table = Table::default();
    for (row, cells) in rows {
        let cells = cells.into_iter().map(|(c, v)| (c.to_string(), v));
        table.rows.insert(row.into(), cells.collect());
    }
    table
}
