//! Folders of fleets that one process starts at once.

use std::collections::BTreeSet;
use std::sync::Barrier;

use eyre::Result;
use proof::{Fleet, Folder, Plan};

/// Folders a thread, and threads that ask at once: by the time of day alone
/// about one in 4,000 rounds gives one folder twice.
const ROUNDS: usize = 20_000;
const THREADS: usize = 3;

/// Asks for a folder at the same moment as the other threads, `ROUNDS` times.
fn ask(line: &Barrier) -> Result<Vec<Folder>> {
    let asked = (0..ROUNDS).map(|_| {
        line.wait();
        Folder::new("at-once")
    });
    asked.collect()
}

#[test]
fn folders_asked_for_at_once_differ() -> Result<()> {
    let line = Barrier::new(THREADS);
    let folders = std::thread::scope(|scope| {
        let threads = [(); THREADS].map(|()| scope.spawn(|| ask(&line)));
        let asked = threads.into_iter().map(|t| t.join().expect("a thread"));
        asked.collect::<Result<Vec<_>>>()
    })?;
    let folders = folders.iter().flatten();
    let paths: BTreeSet<_> = folders.map(Folder::path).collect();
    assert_eq!(paths.len(), ROUNDS * THREADS);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn records_that_are_gone_are_an_error() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    assert!(fleet.engine_records()?.is_empty());
    std::fs::remove_dir_all(fleet.dir())?;
    assert!(fleet.engine_records().is_err());
    Ok(())
}
