//! Revisions of a store whose count of changes may go back.
//!
//! A store that comes back from a copy gives out numbers again. It says how often it did,
//! its era, and a change of a later era is later than any of an earlier one. So a revision
//! holds both, the era in its upper bits, and revisions are compared as the numbers that
//! they are.

/// A change of the store: its era, and its count within it.
pub type Revision = u64;

/// How often the store has come back from a copy.
pub type Era = u64;

/// Bits of a revision that hold the count. With eras below 512 a revision is a whole
/// number that any reader of JSON can hold.
const COUNT_BITS: u32 = 44;

/// Largest count, and largest era, that a revision holds.
const MAX_COUNT: u64 = (1 << COUNT_BITS) - 1;
const MAX_ERA: Era = (1 << (u64::BITS - COUNT_BITS)) - 1;

/// The revision of a change that the store counts as `count` in an era.
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

/// The era of a revision.
pub fn era(revision: Revision) -> Era {
    revision >> COUNT_BITS
}

/// What the store counts a revision as.
pub fn count(revision: Revision) -> u64 {
    revision & MAX_COUNT
}
