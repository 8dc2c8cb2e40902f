//! Temporary directories of fleets that one process starts concurrently. If two
//! fleets get the same directory, they overwrite each other's records; if a
//! directory is gone, its records must not read as "no work was done".

use std::collections::BTreeSet;
use std::sync::Barrier;

use eyre::Result;
use proof::{Fleet, Folder, Plan};

/// Directories created per thread. With names taken from the time of day, about
/// one in 4,000 rounds gave the same directory twice.
const ROUNDS: usize = 20_000;
const THREADS: usize = 3;

/// Creates `ROUNDS` directories, each at the same moment as the other threads.
fn create_folders(barrier: &Barrier) -> Result<Vec<Folder>> {
    let asked = (0..ROUNDS).map(|_| {
        barrier.wait();
        Folder::new("at-once")
    });
    asked.collect()
}

#[test]
fn folders_asked_for_at_once_differ() -> Result<()> {
    let barrier = Barrier::new(THREADS);
    let folders = std::thread::scope(|scope| {
        let threads = [(); THREADS].map(|()| scope.spawn(|| create_folders(&barrier)));
        let asked = threads
            .into_iter()
            .map(|t| t.join().expect("the thread does not panic"));
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
