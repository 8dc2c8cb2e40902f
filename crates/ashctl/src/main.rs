//! `ashctl`: the operators' command-line tool.

mod args;
mod fleet;
mod relay;
mod sheet;
mod table;

use args::{Args, Verb};
use eyre::Result;

/// Everything went as asked.
const OK: i32 = 0;
/// The fleet refused, such as an edit that met another.
const REFUSED: i32 = 1;
/// The call was wrong, or no box could be asked.
const FAILED: i32 = 2;
/// Nobody knows yet: an edit without an answer, or a wait that took too long.
const UNKNOWN: i32 = 3;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let code = match args::parse() {
        Ok(args) => run(&args).await.unwrap_or_else(|e| fail(&e)),
        Err(e) => fail(&e),
    };
    std::process::exit(code);
}

async fn run(args: &Args) -> Result<i32> {
    match &args.verb {
        Verb::Show => table::show(args).await,
        Verb::Columns => table::columns(args),
        Verb::Set(cells) => table::set(args, cells).await,
        Verb::Export => table::export(args).await,
        Verb::Import(file) => table::import(args, file).await,
        Verb::History => table::history(args).await,
        Verb::Status => fleet::status(args).await,
        Verb::Upstreams => fleet::upstreams(args).await,
        Verb::Chains(model) => fleet::chains(args, model).await,
        Verb::Relay => relay::status(args).await,
        Verb::Leases => fleet::leases(args).await,
        Verb::Drain => fleet::drain(args).await,
        Verb::Timeline => fleet::timeline(args).await,
        Verb::HashKey => table::hash_key(),
    }
}

fn fail(error: &eyre::Report) -> i32 {
    eprintln!("ashctl: {error:#}");
    FAILED
}
