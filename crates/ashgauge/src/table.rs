//! The operators' table: rows, columns, cell edits and their merge.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind, Result};

/// Version of an object in the platform's store; 0 means "not there".
pub type Version = u64;

/// How many past edits a table keeps for its history.
///
/// An answer lost after its write took effect is settled by finding the
/// edit's id here, so the number bounds how many edits may come in between.
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

/// What a column accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColumnKind {
    /// A number of at least the given value.
    Number(f64),
    /// Free text.
    Text,
    /// One of the given words.
    OneOf(&'static [&'static str]),
    /// A SHA-256 in 64 hexadecimal digits.
    Hash,
}

/// One column that rows of a kind may have.
#[derive(Clone, Copy, Debug)]
pub struct Column {
    /// Kind of row: `team`, `tier`, `route` or `upstream`.
    pub row_kind: &'static str,
    /// Name of the column.
    pub name: &'static str,
    /// What it accepts.
    pub kind: ColumnKind,
    /// Whether each such row must have it.
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

/// Every column there is.
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

/// One cell's change, with the value its operator saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Row, such as `team/payroll`.
    pub row: String,
    /// Column, such as `weight`.
    pub column: String,
    /// Value before, as the operator saw it; `None` for an empty cell.
    pub seen: Option<Cell>,
    /// Value wanted; `None` clears the cell.
    pub value: Option<Cell>,
}

/// A set of changes that is accepted whole or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Unique id, made by whoever sends the edit.
    pub id: String,
    /// The operator.
    pub who: String,
    /// When it was made, in milliseconds since 1970.
    pub at: u64,
    /// The cells.
    #[serde(rename = "cells")]
    pub changes: Vec<Change>,
}

/// All rows, and the last edits that made them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Cells by row and column.
    pub rows: BTreeMap<String, BTreeMap<String, Cell>>,
    /// The last [`MAX_EDITS`] edits, oldest first.
    pub edits: Vec<Edit>,
}

/// Decodes a table from the platform's stored JSON.
///
/// # Errors
///
/// Fails if the text is not a table.
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

    /// Hash of the whole table, the same on every box.
    pub fn hash(&self) -> u64 {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }

    /// The last `n` edits, oldest first; `None` if they are no longer held.
    pub fn last_edits(&self, n: u64) -> Option<&[Edit]> {
        let from = self.edits.len().checked_sub(usize::try_from(n).ok()?)?;
        Some(&self.edits[from..])
    }

    /// Returns true if the edit is part of this table's history.
    pub fn contains_edit(&self, id: &str) -> bool {
        self.edits.iter().any(|e| e.id == id)
    }

    /// Returns this table with the edit merged in.
    ///
    /// Cells that changed since the operator read them refuse the whole edit;
    /// other cells do not matter. An edit that is already in is left as it is.
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
    /// Fails with a conflict that names the other's value, or if the table
    /// would not be valid.
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

    /// Checks every cell against [`COLUMNS`] and every name against the rows.
    ///
    /// # Errors
    ///
    /// Fails on the first bad cell, with its place and the remedy.
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
        let touches = |e: &&Edit| e.changes.iter().any(|c| c.row == row && c.column == column);
        self.edits
            .iter()
            .rev()
            .find(touches)
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
    let need = match (c.kind, cell) {
        (ColumnKind::Number(least), Cell::Number(n)) if *n >= least && n.is_finite() => {
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
        expected: need,
    }))
}

fn is_hash(s: &str) -> bool {
    s.len() == 64 && s.bytes().all(|b| b.is_ascii_hexdigit())
}
