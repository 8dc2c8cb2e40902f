//! Revisions of a store whose change counter may go back.
//!
//! A store that is restored from a backup copy uses numbers of its counter again. It reports
//! how often it was restored, its era, and a change of a later era is later than any change
//! of an earlier one. A revision contains both, with the era in the upper bits, so that
//! revisions can be compared as plain numbers.

/// Identifies a change of the store: the era and the counter within it.
pub type Revision = u64;

/// How often the store was restored from a backup copy.
pub type Era = u64;

/// Bits of a revision that hold the counter. With eras below 512, a revision is below 2^53,
/// so every JSON parser reads it as an exact integer.
const COUNT_BITS: u32 = 44;

/// Largest counter value that a revision can hold.
const MAX_COUNT: u64 = (1 << COUNT_BITS) - 1;
/// Largest era that a revision can hold.
const MAX_ERA: Era = (1 << (u64::BITS - COUNT_BITS)) - 1;

/// Returns the revision of the change with number `count` in an era; both are capped at what
/// a revision can hold.
///
/// # Example
///
/// ```
/// use ashgauge::revision::{count, era, from_parts};
///
/// assert_eq!(from_parts(0, 97), 97);
/// assert!(from_parts(1, 60) > from_parts(0, 97));
/// assert_eq!((era(from_parts(3, 60)), count(from_parts(3, 60))), (3, 60));
/// ```
pub fn from_parts(era: Era, count: u64) -> Revision {
    era.min(MAX_ERA) << COUNT_BITS | count.min(MAX_COUNT)
}

/// Returns the era of a revision.
pub fn era(revision: Revision) -> Era {
    revision >> COUNT_BITS
}

/// Returns the store's counter value of a revision.
pub fn count(revision: Revision) -> u64 {
    revision & MAX_COUNT
}
