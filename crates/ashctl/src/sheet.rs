//! Text formats of the table: aligned columns and CSV.

use std::collections::{BTreeMap, BTreeSet};

use ashgauge::table::{COLUMNS, Cell, Change, Table};
use eyre::{Result, eyre};

/// Cells by row and column.
pub type Rows = BTreeMap<String, BTreeMap<String, Cell>>;

/// Formats lines of cells as aligned columns.
pub fn align(lines: &[Vec<String>]) -> String {
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| {
        lines
            .iter()
            .filter_map(|l| l.get(c))
            .map(|s| s.chars().count())
            .max()
    };
    let widths: Vec<usize> = (0..columns).map(|c| width(c).unwrap_or(0)).collect();
    let mut text = String::new();
    for line in lines {
        let cells = line.iter().zip(&widths);
        let cells: Vec<String> = cells.map(|(s, w)| format!("{s:<w$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Formats the table as aligned columns, with one block for each kind of row.
pub fn format_table(table: &Table) -> String {
    let mut text = String::new();
    for kind in ["tier", "team", "route", "upstream"] {
        let columns = COLUMNS.iter().filter(|c| c.row_kind == kind);
        let names: Vec<&str> = columns.map(|c| c.name).collect();
        let mut header = vec![kind.to_uppercase()];
        header.extend(names.iter().map(|n| n.to_string()));
        let mut lines = vec![header];
        for (row, cells) in &table.rows {
            let Some(name) = row.strip_prefix(&format!("{kind}/")) else {
                continue;
            };
            let mut line = vec![name.to_string()];
            line.extend(
                names
                    .iter()
                    .map(|n| cells.get(*n).map_or("-".into(), abbreviate)),
            );
            lines.push(line);
        }
        if lines.len() > 1 {
            text.push_str(&align(&lines));
            text.push('\n');
        }
    }
    text
}

/// Formats the table as CSV, with a line for each row and a field for each column.
pub fn to_csv(table: &Table) -> Result<String> {
    let names: BTreeSet<&str> = COLUMNS.iter().map(|c| c.name).collect();
    let mut writer = csv::Writer::from_writer(Vec::new());
    let mut header = vec!["row"];
    header.extend(&names);
    writer.write_record(&header)?;
    for (row, cells) in &table.rows {
        let mut line = vec![row.clone()];
        line.extend(
            names
                .iter()
                .map(|n| cells.get(*n).map_or(String::new(), Cell::to_string)),
        );
        writer.write_record(&line)?;
    }
    Ok(String::from_utf8(writer.into_inner()?)?)
}

/// Parses rows from CSV.
pub fn from_csv(text: &str) -> Result<Rows> {
    let mut reader = csv::Reader::from_reader(text.as_bytes());
    let header = reader.headers()?.clone();
    if header.get(0) != Some("row") {
        return Err(eyre!(
            "the first column must be `row`; export shows the form"
        ));
    }
    let mut rows = Rows::new();
    for record in reader.records() {
        let record = record?;
        let name = record.get(0).unwrap_or_default().to_string();
        let cells = rows.entry(name).or_default();
        for (column, value) in header.iter().zip(&record).skip(1) {
            if !value.is_empty() {
                cells.insert(column.into(), parse_cell(value));
            }
        }
    }
    Ok(rows)
}

/// Returns the changes that turn `old` into `new`.
pub fn diff(old: &Rows, new: &Rows) -> Vec<Change> {
    let mut changes = Vec::new();
    let rows: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for row in rows {
        let (before, after) = (old.get(row), new.get(row));
        let names = before.into_iter().chain(after).flat_map(BTreeMap::keys);
        let names: BTreeSet<&String> = names.collect();
        for column in names {
            let seen = before.and_then(|c| c.get(column)).cloned();
            let value = after.and_then(|c| c.get(column)).cloned();
            if seen != value {
                changes.push(Change {
                    row: row.clone(),
                    column: column.clone(),
                    seen,
                    value,
                });
            }
        }
    }
    changes
}

/// Parses a cell's value as given by the operator: a finite number, or else text.
pub fn parse_cell(value: &str) -> Cell {
    value.parse().unwrap_or_else(|_| Cell::Text(value.into()))
}

fn abbreviate(cell: &Cell) -> String {
    let text = cell.to_string();
    match text.len() {
        64 => format!("{}...", &text[..8]),
        _ => text,
    }
}
