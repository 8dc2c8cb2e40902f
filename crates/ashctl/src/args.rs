//! Command-line arguments.

use std::path::PathBuf;
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use lexopt::prelude::*;
use operator::OperatorClient;

const HELP: &str = "\
usage: ashctl [OPTIONS] COMMAND

the table
  show                             the table as a spreadsheet
  columns                          every column with its meaning
  set ROW COLUMN VALUE [...]       set cells in one edit; an empty VALUE clears
  export                           the table as CSV on standard output
  import FILE                      make the table equal to a CSV file
  history                          who changed what
  hash-key                         hash the bearer key on standard input
the fleet
  status                           every box
  upstreams                        upstreams as one box sees them
  chains MODEL                     which upstreams hold which layers
  leases                           who holds the lease for orders
  drain                            stop the box given by --box
  timeline                         events of all boxes in one order
on the users' platform
  relay                            a box's state, upstreams, layers and chains;
                                   --box is the address of its metrics
  configs                          configuration of each box, its age and source;
                                   --box lists those addresses: A,B,...
  serving                          whether each of those boxes serves each
                                   service, or why not

options
  --box ADDR               operators' port of a box (or ASHCTL_BOX)
  --credential-file FILE   operators' credential (or ASHCTL_CREDENTIAL)
  --json                   JSON instead of text
  --wait                   after an edit, wait until it is in force everywhere
  --wait-ms N              how long at most (default 10000)
  --who NAME               operator's name in the history (default: USER)
  --id ID                  id of the edit, to send the same edit again
  --seen VALUE             with set: value the cell must still have
  --base FILE              with import: the CSV that the file is based on
  --request N              with timeline: one request
  --upstream NAME          with timeline: one upstream
  --last-ms N              with timeline: only the last N milliseconds

exit codes: 0 done, 1 refused, 2 invalid call or no box, 3 unknown";

/// Command to run.
pub enum Command {
    /// Show the table.
    Show,
    /// List the columns.
    Columns,
    /// Set cells: row, column, value.
    Set(Vec<(String, String, String)>),
    /// Write the table as CSV.
    Export,
    /// Read the table from CSV.
    Import(PathBuf),
    /// Show past edits.
    History,
    /// Show the boxes.
    Status,
    /// Show the upstreams.
    Upstreams,
    /// Show which upstreams hold which layers of a model.
    Chains(String),
    /// Show the state of a box that forwards requests as a whole.
    Relay,
    /// Show the configurations of several such boxes.
    Configs,
    /// Show whether several such boxes serve.
    Serving,
    /// Show which box holds the lease for orders.
    Leases,
    /// Drain a box.
    Drain,
    /// Show the merged timeline of all boxes.
    Timeline,
    /// Hash a bearer key.
    HashKey,
}

/// Parsed command line.
pub struct Args {
    /// Command with its arguments.
    pub command: Command,
    /// Address of the box's operator port.
    pub box_addr: String,
    /// Operators' credential.
    pub credential: String,
    /// Print JSON.
    pub json: bool,
    /// After an edit, wait until it is in force on all boxes.
    pub wait: bool,
    /// Time limit of that wait.
    pub wait_timeout: Duration,
    /// Operator's name in the history.
    pub who: String,
    /// Id of the edit, to send the same edit again.
    pub id: Option<String>,
    /// Value that the cell to set must still have.
    pub seen: Option<String>,
    /// CSV file that the imported file is based on.
    pub base: Option<PathBuf>,
    /// Show only records of this request.
    pub request: Option<u64>,
    /// Show only records that name this upstream.
    pub upstream: Option<String>,
    /// Show only records of the last so many milliseconds.
    pub last_ms: Option<u64>,
}

impl Args {
    /// Returns a client of the given box.
    pub fn operator(&self) -> OperatorClient {
        OperatorClient::new(&self.box_addr, &self.credential)
    }
}

/// Parses the command line.
pub fn parse() -> Result<Args> {
    let env = |name: &str| std::env::var(name).unwrap_or_default();
    let mut args = Args {
        command: Command::Show,
        box_addr: env("ASHCTL_BOX"),
        credential: env("ASHCTL_CREDENTIAL"),
        json: false,
        wait: false,
        wait_timeout: Duration::from_secs(10),
        who: env("USER"),
        id: None,
        seen: None,
        base: None,
        request: None,
        upstream: None,
        last_ms: None,
    };
    let mut positional = Vec::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Value(arg) => positional.push(arg.string()?),
            Long("box") => args.box_addr = parser.value()?.string()?,
            Long("credential-file") => args.credential = read_file(&parser.value()?.string()?)?,
            Long("json") => args.json = true,
            Long("wait") => args.wait = true,
            Long("wait-ms") => args.wait_timeout = Duration::from_millis(parser.value()?.parse()?),
            Long("who") => args.who = parser.value()?.string()?,
            Long("id") => args.id = Some(parser.value()?.string()?),
            Long("seen") => args.seen = Some(parser.value()?.string()?),
            Long("base") => args.base = Some(PathBuf::from(parser.value()?)),
            Long("request") => args.request = Some(parser.value()?.parse()?),
            Long("upstream") => args.upstream = Some(parser.value()?.string()?),
            Long("last-ms") => args.last_ms = Some(parser.value()?.parse()?),
            Long("help") | Short('h') => {
                println!("{HELP}");
                std::process::exit(0);
            }
            Long("version") => {
                println!("ashctl {}", env!("CARGO_PKG_VERSION"));
                std::process::exit(0);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    if args.who.is_empty() {
        args.who = "operator".into();
    }
    args.command = parse_command(positional)?;
    let is_local = matches!(args.command, Command::Columns | Command::HashKey);
    if args.box_addr.is_empty() && !is_local {
        bail!("no box given; use --box ADDR or set ASHCTL_BOX");
    }
    Ok(args)
}

fn parse_command(args: Vec<String>) -> Result<Command> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Ok(match args.as_slice() {
        ["show"] => Command::Show,
        ["columns"] => Command::Columns,
        ["set", cells @ ..] if !cells.is_empty() && cells.len() % 3 == 0 => {
            let cells = cells.chunks(3);
            Command::Set(
                cells
                    .map(|c| (c[0].into(), c[1].into(), c[2].into()))
                    .collect(),
            )
        }
        ["set", ..] => bail!("set takes ROW COLUMN VALUE, once or more"),
        ["export"] => Command::Export,
        ["import", file] => Command::Import(file.into()),
        ["history"] => Command::History,
        ["status"] => Command::Status,
        ["upstreams"] => Command::Upstreams,
        ["chains", model] => Command::Chains((*model).into()),
        ["relay"] => Command::Relay,
        ["configs"] => Command::Configs,
        ["serving"] => Command::Serving,
        ["leases"] => Command::Leases,
        ["drain"] => Command::Drain,
        ["timeline"] => Command::Timeline,
        ["hash-key"] => Command::HashKey,
        [] => bail!("no command given\n{HELP}"),
        other => {
            return Err(eyre!(
                "unknown command `{}`; see ashctl --help",
                other.join(" ")
            ));
        }
    })
}

fn read_file(path: &str) -> Result<String> {
    let text = std::fs::read_to_string(path);
    let text = text.wrap_err_with(|| format!("cannot read {path}; name a file with it"))?;
    Ok(text.trim().into())
}
