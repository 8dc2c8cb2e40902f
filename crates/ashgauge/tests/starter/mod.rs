//! A small table for the tests of whole nodes.

use ashgauge::policy::hash_key;
use ashgauge::table::{Cell, Table};

/// One tier, the team `payroll` of key `k` and weight 3, the model `chat`.
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
