//! Merging of edits: the order of edits to different cells does not matter, and no edit
//! overwrites a value that its operator did not see.

mod common;

use ashgauge::table::{Cell, Change, Edit, MAX_EDITS, Table};
use proptest::prelude::*;

const ROWS: [&str; 3] = ["tier/a", "tier/b", "tier/c"];
const COLUMNS: [&str; 2] = ["rank", "floor"];

fn base_table() -> Table {
    let mut table = Table::default();
    for row in ROWS {
        let cells = COLUMNS.map(|c| (c.to_string(), Cell::Number(0.0)));
        table.rows.insert(row.into(), cells.into());
    }
    table
}

fn edit(id: usize, base: &Table, row: usize, column: usize, value: u32) -> Edit {
    let (row, column) = (ROWS[row], COLUMNS[column]);
    Edit {
        id: format!("edit-{id}"),
        who: format!("operator-{id}"),
        at: 0,
        changes: vec![Change {
            row: row.into(),
            column: column.into(),
            seen: base.cell(row, column).cloned(),
            value: Some(Cell::Number(f64::from(value))),
        }],
    }
}

proptest! {
    #![proptest_config(common::seeded(256))]

    #[test]
    fn edits_of_one_base_merge_or_conflict(
        edits in prop::collection::vec((0usize..3, 0usize..2, 1u32..5), 1..12),
    ) {
        let base = base_table();
        let mut table = base.clone();
        let mut taken = std::collections::HashMap::new();
        for (id, (row, column, value)) in edits.iter().enumerate() {
            let e = edit(id, &base, *row, *column, *value);
            match table.apply(&e) {
                Ok(next) => {
                    prop_assert!(taken.insert((*row, *column), *value).is_none());
                    table = next;
                    // Applying the same edit again changes nothing.
                    prop_assert_eq!(&table.apply(&e).unwrap(), &table);
                }
                Err(error) => {
                    let won = taken[&(*row, *column)];
                    prop_assert!(error.is_conflict());
                    let text = error.to_string();
                    prop_assert!(text.contains(&format!("set to {won} by operator-")), "{}", text);
                }
            }
        }
        for ((row, column), value) in taken {
            let cell = table.cell(ROWS[row], COLUMNS[column]);
            prop_assert_eq!(cell, Some(&Cell::Number(f64::from(value))));
        }
    }

    #[test]
    fn order_of_edits_to_different_cells_does_not_matter(swap in any::<bool>(), a in 1u32..9, b in 1u32..9) {
        let base = base_table();
        let (one, two) = (edit(1, &base, 0, 0, a), edit(2, &base, 1, 1, b));
        let (first, second) = if swap { (&two, &one) } else { (&one, &two) };
        let merged = base.apply(first).unwrap().apply(second).unwrap();
        let straight = base.apply(&one).unwrap().apply(&two).unwrap();
        prop_assert_eq!(merged.rows, straight.rows);
    }
}

#[test]
fn history_is_bounded_and_keeps_the_newest() {
    let mut table = base_table();
    for n in 0..MAX_EDITS + 10 {
        table = table.apply(&edit(n, &table, 0, 0, n as u32 + 1)).unwrap();
    }
    assert_eq!(table.edits.len(), MAX_EDITS);
    assert!(
        table.contains_edit(&format!("edit-{}", MAX_EDITS + 9)) && !table.contains_edit("edit-9")
    );
}

#[test]
fn errors_name_the_bad_cell() {
    let cases = [
        (
            "tier/a",
            "rank",
            Some(Cell::Text("first".into())),
            "tier/a:rank",
        ),
        ("tier/a", "rank", None, "lacks column `rank`"),
        (
            "team/x",
            "tier",
            Some(Cell::Text("gone".into())),
            "lacks column",
        ),
        (
            "spoon/x",
            "rank",
            Some(Cell::Number(1.0)),
            "unknown row kind",
        ),
        (
            "tier/a",
            "colour",
            Some(Cell::Number(1.0)),
            "no column `colour`",
        ),
    ];
    for (row, column, value, message) in cases {
        let table = base_table();
        let change = Change {
            row: row.into(),
            column: column.into(),
            seen: table.cell(row, column).cloned(),
            value,
        };
        let edit = Edit {
            id: "e".into(),
            who: "o".into(),
            at: 0,
            changes: vec![change],
        };
        let error = table.apply(&edit).unwrap_err();
        assert!(error.to_string().contains(message), "{error}");
    }
}
