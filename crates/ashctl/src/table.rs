//! Commands about the table.

use std::path::Path;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use ashgauge::editor::EditResult;
use ashgauge::policy::hash_key as hash;
use ashgauge::table::{COLUMNS, Change, Edit};
use eyre::{Result, WrapErr, bail};

use crate::args::Args;
use crate::{EXIT_OK, EXIT_REFUSED, EXIT_UNKNOWN, fleet, sheet};

/// Runs `show`: prints the table.
pub async fn show(args: &Args) -> Result<i32> {
    let response = args.operator().table().await?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&response)?);
    } else {
        print!("{}", sheet::format_table(&response.table));
        println!("version {}", response.version);
    }
    Ok(EXIT_OK)
}

/// Runs `columns`: prints every column with its meaning.
pub fn columns(_args: &Args) -> Result<i32> {
    let line = |c: &ashgauge::table::Column| {
        let presence = if c.required { "required" } else { "optional" };
        vec![
            c.row_kind.into(),
            c.name.into(),
            presence.into(),
            c.help.into(),
        ]
    };
    let lines: Vec<Vec<String>> = COLUMNS.iter().map(line).collect();
    print!("{}", sheet::align(&lines));
    Ok(EXIT_OK)
}

/// Runs `set`: sets cells in one edit.
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

/// Runs `export`: prints the table as CSV.
pub async fn export(args: &Args) -> Result<i32> {
    let response = args.operator().table().await?;
    print!("{}", sheet::to_csv(&response.table)?);
    Ok(EXIT_OK)
}

/// Runs `import`: makes the table equal to a CSV file.
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

/// Runs `history`: prints the past edits.
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

/// Runs `hash-key`: prints the hash of the bearer key on standard input.
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

async fn send_edit(args: &Args, changes: Vec<Change>) -> Result<i32> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let generated_id = format!("{}-{:x}-{}", args.who, now.as_nanos(), std::process::id());
    let edit = Edit {
        id: args.id.clone().unwrap_or(generated_id),
        who: args.who.clone(),
        at: now.as_millis() as u64,
        changes,
    };
    let started = Instant::now();
    let response = args.operator().edit(&edit).await?;
    if args.json {
        println!("{}", serde_json::to_string(&response)?);
    }
    match response {
        EditResult::Accepted { version } => {
            if !args.json {
                println!("accepted, version {version}");
            }
            if !args.wait {
                return Ok(EXIT_OK);
            }
            let code = fleet::wait_in_force(args, version).await?;
            if code == EXIT_OK && !args.json {
                let ms = started.elapsed().as_millis();
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
    let name = path.display();
    std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {name}; name a CSV file"))
}
