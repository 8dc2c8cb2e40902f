//! Verbs about the table.

use std::path::Path;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use ashgauge::editor::EditResult;
use ashgauge::policy::hash_key as hash;
use ashgauge::table::{COLUMNS, Change, Edit};
use eyre::{Result, WrapErr, bail};

use crate::args::Args;
use crate::{EXIT_OK, EXIT_REFUSED, EXIT_UNKNOWN, fleet, sheet};

/// `show`.
pub async fn show(args: &Args) -> Result<i32> {
    let answer = args.operator().table().await?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&answer)?);
    } else {
        print!("{}", sheet::format_table(&answer.table));
        println!("version {}", answer.version);
    }
    Ok(EXIT_OK)
}

/// `columns`.
pub fn columns(_args: &Args) -> Result<i32> {
    let line = |c: &ashgauge::table::Column| {
        let need = if c.required { "required" } else { "optional" };
        vec![c.row_kind.into(), c.name.into(), need.into(), c.help.into()]
    };
    let lines: Vec<Vec<String>> = COLUMNS.iter().map(line).collect();
    print!("{}", sheet::align(&lines));
    Ok(EXIT_OK)
}

/// `set`.
pub async fn set(args: &Args, cells: &[(String, String, String)]) -> Result<i32> {
    if args.seen.is_some() && cells.len() > 1 {
        bail!("--seen goes with one cell; set the others in another call");
    }
    let table = args.operator().table().await?.table;
    let change = |(row, column, value): &(String, String, String)| {
        let seen = match &args.seen {
            Some(seen) => Some(seen.as_str())
                .filter(|s| !s.is_empty())
                .map(sheet::parse_cell),
            None => table.cell(row, column).cloned(),
        };
        Change {
            row: row.clone(),
            column: column.clone(),
            seen,
            value: Some(value.as_str())
                .filter(|v| !v.is_empty())
                .map(sheet::parse_cell),
        }
    };
    send_edit(args, cells.iter().map(change).collect()).await
}

/// `export`.
pub async fn export(args: &Args) -> Result<i32> {
    let answer = args.operator().table().await?;
    print!("{}", sheet::to_csv(&answer.table)?);
    Ok(EXIT_OK)
}

/// `import`.
pub async fn import(args: &Args, file: &Path) -> Result<i32> {
    let new = sheet::from_csv(&read_file(file)?)?;
    let old = match &args.base {
        Some(base) => sheet::from_csv(&read_file(base)?)?,
        None => args.operator().table().await?.table.rows,
    };
    let changes = sheet::diff(&old, &new);
    if changes.is_empty() {
        println!("nothing to change");
        return Ok(EXIT_OK);
    }
    send_edit(args, changes).await
}

/// `history`.
pub async fn history(args: &Args) -> Result<i32> {
    let table = args.operator().table().await?.table;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&table.edits)?);
        return Ok(EXIT_OK);
    }
    let mut lines = vec![
        ["AT", "WHO", "CELL", "FROM", "TO", "EDIT"]
            .map(String::from)
            .to_vec(),
    ];
    for edit in &table.edits {
        for c in &edit.changes {
            let text = |cell: &Option<ashgauge::table::Cell>| {
                cell.as_ref().map_or("-".into(), |c| c.to_string())
            };
            let cell = format!("{}:{}", c.row, c.column);
            let at = edit.at.to_string();
            let (from, to) = (text(&c.seen), text(&c.value));
            lines.push(vec![at, edit.who.clone(), cell, from, to, edit.id.clone()]);
        }
    }
    print!("{}", sheet::align(&lines));
    Ok(EXIT_OK)
}

/// `hash-key`.
pub fn hash_key() -> Result<i32> {
    let mut key = String::new();
    std::io::stdin().read_line(&mut key)?;
    let hex: Vec<String> = hash(key.trim())
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    println!("{}", hex.concat());
    Ok(EXIT_OK)
}

async fn send_edit(args: &Args, cells: Vec<Change>) -> Result<i32> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let made = format!("{}-{:x}-{}", args.who, since.as_nanos(), std::process::id());
    let edit = Edit {
        id: args.id.clone().unwrap_or(made),
        who: args.who.clone(),
        at: since.as_millis() as u64,
        changes: cells,
    };
    let began = Instant::now();
    let answer = args.operator().edit(&edit).await?;
    if args.json {
        println!("{}", serde_json::to_string(&answer)?);
    }
    match answer {
        EditResult::Accepted { version } => {
            if !args.json {
                println!("accepted, version {version}");
            }
            if !args.wait {
                return Ok(EXIT_OK);
            }
            let code = fleet::wait_in_force(args, version).await?;
            if code == EXIT_OK && !args.json {
                let ms = began.elapsed().as_millis();
                println!("in force on every box after {ms} ms");
            }
            Ok(code)
        }
        EditResult::Refused { message, .. } => {
            eprintln!("ashctl: refused: {message}");
            Ok(EXIT_REFUSED)
        }
        EditResult::Unknown => {
            eprintln!("ashctl: not known; send it again with --id {}", edit.id);
            Ok(EXIT_UNKNOWN)
        }
    }
}

fn read_file(path: &Path) -> Result<String> {
    let place = path.display();
    std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {place}; name a CSV file"))
}
