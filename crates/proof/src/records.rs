//! Checks of which layers ran, from the engines' records.

use std::collections::BTreeMap;

use eyre::{Result, bail};
use standin::engine::Record;

/// Checks that every layer ran exactly once for each position of a request.
///
/// Replays that only rebuild the state of a lost stage are not counted. `lost`
/// holds the records of an engine that failed: the last order in it may have run
/// again on another engine, as its response may not have been sent.
///
/// # Errors
///
/// Fails with the first layer and position that ran more or less than once.
pub fn check_layers(
    records: &[Record],
    lost: &[Record],
    request: &str,
    layers: u32,
    positions: u32,
) -> Result<()> {
    let mut counts = count(records, lost, request);
    for layer in 0..layers {
        check_counts(&mut counts, request, layer, positions)?;
    }
    match counts.into_keys().next() {
        Some((position, layer)) => bail!("layer {layer} ran for position {position}, past the end"),
        None => Ok(()),
    }
}

/// Does the check of [`check_layers`] for a single layer.
///
/// # Errors
///
/// Fails with the first position that ran more or less than once.
pub fn check_layer(
    records: &[Record],
    lost: &[Record],
    request: &str,
    layer: u32,
    positions: u32,
) -> Result<()> {
    let mut counts = count(records, lost, request);
    check_counts(&mut counts, request, layer, positions)
}

fn check_counts(
    counts: &mut BTreeMap<(u32, u32), u32>,
    request: &str,
    layer: u32,
    positions: u32,
) -> Result<()> {
    for position in 0..positions {
        let n = counts.remove(&(position, layer)).unwrap_or(0);
        if n != 1 {
            bail!("layer {layer} ran {n} times for position {position} of {request}");
        }
    }
    Ok(())
}

fn count(records: &[Record], lost: &[Record], request: &str) -> BTreeMap<(u32, u32), u32> {
    let mut counts = BTreeMap::new();
    let of: Vec<&Record> = lost.iter().filter(|r| is_run_of(r, request)).collect();
    let last = of.last().copied();
    let before = of.iter().take(of.len().saturating_sub(1)).copied();
    let sure = records
        .iter()
        .filter(|r| is_run_of(r, request))
        .chain(before);
    for cell in sure.flat_map(first_runs) {
        *counts.entry(cell).or_default() += 1;
    }
    for cell in last.into_iter().flat_map(first_runs) {
        counts.entry(cell).or_insert(1);
    }
    counts
}

fn is_run_of(record: &Record, wanted: &str) -> bool {
    matches!(record, Record::Ran { request, .. } if request == wanted)
}

/// Returns the (position, layer) pairs that a record ran, without those that
/// it replayed to rebuild state.
fn first_runs(record: &Record) -> Vec<(u32, u32)> {
    let Record::Ran {
        first,
        end,
        start,
        count,
        rebuild,
        ..
    } = record
    else {
        return Vec::new();
    };
    let positions = start + rebuild..start + count;
    positions
        .flat_map(|p| (*first..*end).map(move |l| (p, l)))
        .collect()
}

/// Counts the (position, layer) pairs that were replayed to rebuild state, over
/// all requests.
pub fn replayed(records: &[Record]) -> u64 {
    let of = |r: &Record| match r {
        Record::Ran {
            first,
            end,
            rebuild,
            ..
        } => u64::from(*rebuild) * u64::from(end - first),
        _ => 0,
    };
    records.iter().map(of).sum()
}

/// Returns the ids of the requests in the records, in the order of their first
/// run.
pub fn runs(records: &[Record]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for record in records {
        if let Record::Ran { request, .. } = record
            && !names.contains(request)
        {
            names.push(request.clone());
        }
    }
    names
}
