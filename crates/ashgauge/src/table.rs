//! The operators' configuration table: rows, columns, and edits of cells with conflict checks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind, Result};

/// Version of an object in the platform's store; 0 means that the object does not exist.
pub type Version = u64;

/// Maximum number of past edits that a table keeps as its history.
///
/// If the response to a write is lost, the editor finds out whether the write took effect
/// by looking for the edit's id in the history. So this also bounds how many other edits
/// may be accepted in the meantime.
pub const MAX_EDITS: usize = 200;

/// Value of one cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Cell {
    /// A weight, limit or other number.
    Number(f64),
    /// A name or a hash.
    Text(String),
}

/// Type of value that a column accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColumnKind {
    /// A finite number that is at least the given minimum.
    Number(f64),
    /// Free text.
    Text,
    /// One of the given words.
    OneOf(&'static [&'static str]),
    /// A SHA-256 in 64 hexadecimal digits.
    Hash,
}

/// A column that rows of one kind may have.
#[derive(Clone, Copy, Debug)]
pub struct Column {
    /// Kind of row that has the column: `team`, `tier`, `route` or `upstream`.
    pub row_kind: &'static str,
    /// Name of the column.
    pub name: &'static str,
    /// Type of value that it accepts.
    pub kind: ColumnKind,
    /// Whether every row of that kind must have it.
    pub required: bool,
    /// Meaning and unit, for help texts.
    pub help: &'static str,
}

const fn column(
    row: &'static str,
    name: &'static str,
    kind: ColumnKind,
    required: bool,
    help: &'static str,
) -> Column {
    Column {
        row_kind: row,
        name,
        kind,
        required,
        help,
    }
}

/// All columns.
#[rustfmt::skip]
pub const COLUMNS: &[Column] = &[
    column("tier", "rank", ColumnKind::Number(0.0), true, "order between tiers, 0 goes first"),
    column("tier", "floor", ColumnKind::Number(0.0), false, "share of tokens kept for the tier, 0 to 1"),
    column("team", "tier", ColumnKind::Text, true, "name of the team's tier"),
    column("team", "weight", ColumnKind::Number(0.001), true, "share within the tier"),
    column("team", "rate", ColumnKind::Number(0.0), false, "tokens a second over the whole fleet"),
    column("team", "queue", ColumnKind::Number(1.0), false, "requests that may wait on one box"),
    column("team", "key", ColumnKind::Hash, true, "SHA-256 of the bearer key, in hexadecimal"),
    column("route", "kind", ColumnKind::OneOf(&["model", "service"]), true, "model or service"),
    column("route", "layers", ColumnKind::Number(1.0), false, "layers of the model"),
    column("route", "path", ColumnKind::Text, false, "path prefix of a service"),
    column("route", "repeat", ColumnKind::OneOf(&["yes", "no"]), false, "whether a request may be sent twice"),
    column("upstream", "load", ColumnKind::Text, false, "layers to hold, such as chat:0-8"),
    column("upstream", "adapter", ColumnKind::Text, false, "adapter to load"),
    column("upstream", "version", ColumnKind::Text, false, "version of the weights"),
    column("upstream", "role", ColumnKind::Text, false, "role, such as prefill or decode"),
    column("route", "deadline", ColumnKind::Number(1.0), false, "longest time for a request, in milliseconds"),
];

/// A change of one cell, with the value that it is expected to replace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Row, such as `team/payroll`.
    pub row: String,
    /// Column, such as `weight`.
    pub column: String,
    /// Value that the operator read before the edit; `None` if the cell was empty.
    pub seen: Option<Cell>,
    /// New value; `None` clears the cell.
    pub value: Option<Cell>,
}

/// A set of changes that is applied atomically.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Unique id, chosen by the client that sends the edit.
    pub id: String,
    /// Name of the operator who made the edit.
    pub who: String,
    /// Time of the edit, in milliseconds since 1970 (the Unix epoch).
    pub at: u64,
    /// The changed cells.
    #[serde(rename = "cells")]
    pub changes: Vec<Change>,
}

/// All rows of the table and the most recent edits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Cells by row and column.
    pub rows: BTreeMap<String, BTreeMap<String, Cell>>,
    /// The last [`MAX_EDITS`] edits, oldest first.
    pub edits: Vec<Edit>,
}

/// Decodes a table from the JSON that the platform stores.
///
/// # Errors
///
/// Fails if the JSON does not describe a table.
pub fn from_json(value: &serde_json::Value) -> Result<Table> {
    serde::Deserialize::deserialize(value).map_err(|e| {
        Error::new(ErrorKind::Decode {
            what: "the table",
            cause: e.to_string(),
        })
    })
}

impl Table {
    /// Returns the cell at `row` and `column`.
    pub fn cell(&self, row: &str, column: &str) -> Option<&Cell> {
        self.rows.get(row)?.get(column)
    }

    /// Returns a hash of the whole table, which is the same on every box.
    pub fn hash(&self) -> u64 {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }

    /// Returns the last `n` edits, oldest first; `None` if the history has fewer.
    pub fn last_edits(&self, n: u64) -> Option<&[Edit]> {
        let from = self.edits.len().checked_sub(usize::try_from(n).ok()?)?;
        Some(&self.edits[from..])
    }

    /// Returns whether this table's history contains the edit.
    pub fn contains_edit(&self, id: &str) -> bool {
        self.edits.iter().any(|e| e.id == id)
    }

    /// Returns this table with the edit applied.
    ///
    /// If a cell of the edit has changed since the operator read it, the whole edit is
    /// refused; changes of other cells do not matter. An edit that the history already
    /// contains is not applied again.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::table::{Cell, Change, Edit, Table};
    ///
    /// let rank = Change {
    ///     row: "tier/gold".into(),
    ///     column: "rank".into(),
    ///     seen: None,
    ///     value: Some(Cell::Number(0.0)),
    /// };
    /// let edit = Edit { id: "e1".into(), who: "ana".into(), at: 0, changes: vec![rank] };
    /// let table = Table::default().apply(&edit).unwrap();
    /// assert!(table.contains_edit("e1"));
    /// assert!(Table::default().apply(&edit).unwrap().apply(&edit).unwrap() == table);
    /// ```
    ///
    /// # Errors
    ///
    /// Fails with a conflict that names the current value and who set it, or if the resulting
    /// table would be invalid.
    pub fn apply(&self, edit: &Edit) -> Result<Table> {
        if self.contains_edit(&edit.id) {
            return Ok(self.clone());
        }
        let mut next = self.clone();
        for change in &edit.changes {
            self.check_unchanged(change)?;
            next.apply_change(change);
        }
        next.validate()?;
        next.edits.push(edit.clone());
        let extra = next.edits.len().saturating_sub(MAX_EDITS);
        next.edits.drain(..extra);
        Ok(next)
    }

    /// Checks every cell against [`COLUMNS`], and that every tier named by a row exists.
    ///
    /// # Errors
    ///
    /// Fails on the first invalid cell; the message names its row and column and how to fix it.
    pub fn validate(&self) -> Result<()> {
        for (row, cells) in &self.rows {
            let kind = row_kind(row)?;
            for (name, cell) in cells {
                check_cell(row, kind, name, cell)?;
            }
            for c in COLUMNS.iter().filter(|c| c.row_kind == kind && c.required) {
                if !cells.contains_key(c.name) {
                    return Err(Error::new(ErrorKind::MissingCell {
                        row: row.clone(),
                        column: c.name,
                    }));
                }
            }
            self.check_tier_ref(row, cells)?;
        }
        Ok(())
    }

    fn check_tier_ref(&self, row: &str, cells: &BTreeMap<String, Cell>) -> Result<()> {
        let Some(Cell::Text(tier)) = cells.get("tier") else {
            return Ok(());
        };
        if self.rows.contains_key(&format!("tier/{tier}")) {
            return Ok(());
        }
        Err(Error::new(ErrorKind::DanglingRef {
            row: row.into(),
            column: "tier",
            target: tier.clone(),
        }))
    }

    fn check_unchanged(&self, change: &Change) -> Result<()> {
        let current = self.cell(&change.row, &change.column);
        if current == change.seen.as_ref() {
            return Ok(());
        }
        let who = self.last_editor(&change.row, &change.column);
        Err(Error::new(ErrorKind::Conflict {
            row: change.row.clone(),
            column: change.column.clone(),
            value: current.map_or("empty".into(), Cell::to_string),
            who: who.unwrap_or("an earlier operator").into(),
        }))
    }

    fn last_editor(&self, row: &str, column: &str) -> Option<&str> {
        let changes_cell = |e: &&Edit| e.changes.iter().any(|c| c.row == row && c.column == column);
        self.edits
            .iter()
            .rev()
            .find(changes_cell)
            .map(|e| e.who.as_str())
    }

    fn apply_change(&mut self, change: &Change) {
        match &change.value {
            Some(v) => {
                let cells = self.rows.entry(change.row.clone()).or_default();
                cells.insert(change.column.clone(), v.clone());
            }
            None => {
                let Some(cells) = self.rows.get_mut(&change.row) else {
                    return;
                };
                cells.remove(&change.column);
                if cells.is_empty() {
                    self.rows.remove(&change.row);
                }
            }
        }
    }
}

impl std::fmt::Display for Cell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Cell::Number(n) => write!(f, "{n}"),
            Cell::Text(s) => f.write_str(s),
        }
    }
}

impl std::str::FromStr for Cell {
    type Err = std::convert::Infallible;

    fn from_str(s: &str) -> std::result::Result<Self, Self::Err> {
        let number = s.parse::<f64>().ok().filter(|n| n.is_finite());
        Ok(number.map_or_else(|| Cell::Text(s.into()), Cell::Number))
    }
}

fn row_kind(row: &str) -> Result<&str> {
    let unknown = || Error::new(ErrorKind::UnknownRow { row: row.into() });
    let (kind, name) = row.split_once('/').ok_or_else(unknown)?;
    let known = COLUMNS.iter().any(|c| c.row_kind == kind);
    if known && !name.is_empty() {
        Ok(kind)
    } else {
        Err(unknown())
    }
}

fn check_cell(row: &str, kind: &str, name: &str, cell: &Cell) -> Result<()> {
    let Some(c) = COLUMNS
        .iter()
        .find(|c| c.row_kind == kind && c.name == name)
    else {
        return Err(Error::new(ErrorKind::UnknownColumn {
            row: row.into(),
            column: name.into(),
        }));
    };
    let expected = match (c.kind, cell) {
        (ColumnKind::Number(min), Cell::Number(n)) if *n >= min && n.is_finite() => {
            return Ok(());
        }
        (ColumnKind::Text, Cell::Text(_)) => return Ok(()),
        (ColumnKind::OneOf(words), Cell::Text(s)) if words.contains(&s.as_str()) => return Ok(()),
        (ColumnKind::Hash, Cell::Text(s)) if is_hash(s) => return Ok(()),
        (ColumnKind::Number(_), _) => "a number that is large enough",
        (ColumnKind::Text, _) => "text",
        (ColumnKind::OneOf(_), _) => "one of the words of its column",
        (ColumnKind::Hash, _) => "a SHA-256 in 64 hexadecimal digits",
    };
    Err(Error::new(ErrorKind::BadCell {
        row: row.into(),
        column: name.into(),
        expected,
    }))
}

fn is_hash(s: &str) -> bool {
    s.len() == 64 && s.bytes().all(|b| b.is_ascii_hexdigit())
}
