//! `ashctl`: the operators' command-line tool.

mod args;
mod fleet;
mod relay;
mod serving;
mod sheet;
mod table;

use args::{Args, Command};
use eyre::Result;

/// Exit code: success.
const EXIT_OK: i32 = 0;
/// Exit code: the fleet refused, such as an edit that conflicts with another.
const EXIT_REFUSED: i32 = 1;
/// Exit code: the command line is invalid, or no box could be reached.
const EXIT_FAILED: i32 = 2;
/// Exit code: the result is unknown, after an edit without a response or a wait that timed out.
const EXIT_UNKNOWN: i32 = 3;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let code = match args::parse() {
        Ok(args) => run(&args).await.unwrap_or_else(|e| report_error(&e)),
        Err(e) => report_error(&e),
    };
    std::process::exit(code);
}

async fn run(args: &Args) -> Result<i32> {
    match &args.command {
        Command::Show => table::show(args).await,
        Command::Columns => table::columns(args),
        Command::Set(cells) => table::set(args, cells).await,
        Command::Export => table::export(args).await,
        Command::Import(file) => table::import(args, file).await,
        Command::History => table::history(args).await,
        Command::Status => fleet::status(args).await,
        Command::Upstreams => fleet::upstreams(args).await,
        Command::Chains(model) => fleet::chains(args, model).await,
        Command::Relay => relay::status(args).await,
        Command::Configs => relay::configs(args).await,
        Command::Serving => serving::serving(args).await,
        Command::Leases => fleet::leases(args).await,
        Command::Drain => fleet::drain(args).await,
        Command::Timeline => fleet::timeline(args).await,
        Command::HashKey => table::hash_key(),
    }
}

fn report_error(error: &eyre::Report) -> i32 {
    eprintln!("ashctl: {error:#}");
    EXIT_FAILED
}
