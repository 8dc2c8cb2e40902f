//! Verdicts from the engines' own records.

use std::collections::BTreeMap;

use eyre::{Result, bail};
use standin::engine::Record;

/// Checks that every layer ran once for each position, in order.
///
/// `lost` names the sessions whose engine was lost: their last order may have
/// run there and again on the replacement, since nobody can know. Replays that
/// only rebuild state are not counted.
///
/// # Errors
///
/// Fails with the first layer and position that ran more or less than once.
pub fn check_layers(records: &[Record], request: &str, layers: u32, positions: u32) -> Result<()> {
    let mut counts: BTreeMap<(u32, u32), u32> = BTreeMap::new();
    for record in records {
        let Record::Ran {
            request: of,
            first,
            end,
            start,
            count,
            rebuild,
            ..
        } = record
        else {
            continue;
        };
        if of != request {
            continue;
        }
        for position in start + rebuild..start + count {
            for layer in *first..*end {
                *counts.entry((position, layer)).or_default() += 1;
            }
        }
    }
    for position in 0..positions {
        for layer in 0..layers {
            let n = counts.remove(&(position, layer)).unwrap_or(0);
            if n != 1 {
                bail!("layer {layer} ran {n} times for position {position} of {request}");
            }
        }
    }
    match counts.into_keys().next() {
        Some((position, layer)) => bail!("layer {layer} ran for position {position}, past the end"),
        None => Ok(()),
    }
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
