//! Verdicts from the engines' own records.

use std::collections::BTreeMap;

use eyre::{Result, bail};
use standin::engine::Record;

/// Checks that every layer ran once for each position of a request.
///
/// Replays that only rebuild a lost stage's state are not counted. `lost` are
/// the records of engines that were lost: the last order each of them ran may
/// have run again elsewhere, as its answer may not have got out.
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

/// As [`check_layers`], for the records of one layer.
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
    let of: Vec<&Record> = lost.iter().filter(|r| is_of(r, request)).collect();
    let last = of.last().copied();
    let before = of.iter().take(of.len().saturating_sub(1)).copied();
    let sure = records.iter().filter(|r| is_of(r, request)).chain(before);
    for cell in sure.flat_map(cells) {
        *counts.entry(cell).or_default() += 1;
    }
    for cell in last.into_iter().flat_map(cells) {
        counts.entry(cell).or_insert(1);
    }
    counts
}

fn is_of(record: &Record, wanted: &str) -> bool {
    matches!(record, Record::Ran { request, .. } if request == wanted)
}

/// Positions and layers that a record ran for the first time.
fn cells(record: &Record) -> Vec<(u32, u32)> {
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

/// Positions times layers that only rebuilt state, over all requests.
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

/// Names of the requests in the records, in the order of their first run.
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
