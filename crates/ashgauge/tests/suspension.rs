//! Machines that are suspended.

use std::time::Duration;

use ashgauge::freshness::Freshness;
use ashgauge::suspension::SuspensionDetector;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

/// A key that was withdrawn while its box was suspended for longer than keys are
/// believed must not be served afterwards: by the steady clock it still was.
#[test]
fn what_is_known_grows_old_while_suspended() {
    let (steady, whole) = (SECOND * 10, SECOND * 10);
    let mut by_steady = Freshness::new(SECOND * 4);
    let mut by_whole = Freshness::new(SECOND * 4);
    by_steady.confirm(steady);
    by_whole.confirm(whole);
    let (steady, whole) = (steady + SECOND, whole + SECOND * 6);
    assert!(by_steady.is_fresh(steady));
    assert!(!by_whole.is_fresh(whole));
}

proptest! {
    /// However often one looks, the times add up to those for which it was suspended,
    /// and a machine that only runs, or stands still by its steady clock too, was not.
    #[test]
    fn times_add_up(steps in prop::collection::vec((0u64..2_000, prop::option::of(60u64..9_000)), 0..40)) {
        let (mut steady, mut whole) = (SECOND, SECOND * 70);
        let mut suspension = SuspensionDetector::new(steady, whole);
        let (mut found, mut stood) = (Duration::ZERO, Duration::ZERO);
        for (ran, suspended) in steps {
            let time = Duration::from_millis(suspended.unwrap_or(0));
            steady += Duration::from_millis(ran);
            whole += Duration::from_millis(ran) + time;
            stood += time;
            found += suspension.check(steady, whole).unwrap_or_default();
        }
        prop_assert_eq!(found, stood);
    }

    /// Reads of two clocks one after the other differ by a little.
    #[test]
    fn small_differences_are_none(steps in prop::collection::vec((0u64..2_000, 0u64..30), 0..40)) {
        let (mut steady, mut whole) = (SECOND, SECOND * 70);
        let mut suspension = SuspensionDetector::new(steady, whole);
        for (ran, apart) in steps {
            steady += Duration::from_millis(ran);
            whole += Duration::from_millis(ran);
            let read = whole + Duration::from_millis(apart);
            prop_assert_eq!(suspension.check(steady, read), None);
        }
    }
}
