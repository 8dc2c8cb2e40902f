//! Detection of suspended machines.

use std::time::Duration;

use ashgauge::freshness::Freshness;
use ashgauge::suspension::SuspensionDetector;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against serving a revoked key after a suspension. A key that is revoked while its
/// box is suspended for longer than keys stay valid was still accepted by the monotonic clock,
/// which stops during a suspension.
#[test]
fn data_ages_while_suspended() {
    let (monotonic, boot_time) = (SECOND * 10, SECOND * 10);
    let mut by_monotonic = Freshness::new(SECOND * 4);
    let mut by_boot_time = Freshness::new(SECOND * 4);
    by_monotonic.confirm(monotonic);
    by_boot_time.confirm(boot_time);
    let (monotonic, boot_time) = (monotonic + SECOND, boot_time + SECOND * 6);
    assert!(by_monotonic.is_fresh(monotonic));
    assert!(!by_boot_time.is_fresh(boot_time));
}

proptest! {
    /// However often the clocks are checked, the detected times sum to those of the suspensions.
    /// A machine that only runs, or whose clocks both stand still, was not suspended.
    #[test]
    fn detected_times_add_up(steps in prop::collection::vec((0u64..2_000, prop::option::of(60u64..9_000)), 0..40)) {
        let (mut monotonic, mut boot_time) = (SECOND, SECOND * 70);
        let mut detector = SuspensionDetector::new(monotonic, boot_time);
        let (mut detected, mut suspended_total) = (Duration::ZERO, Duration::ZERO);
        for (ran, suspended) in steps {
            let time = Duration::from_millis(suspended.unwrap_or(0));
            monotonic += Duration::from_millis(ran);
            boot_time += Duration::from_millis(ran) + time;
            suspended_total += time;
            detected += detector.check(monotonic, boot_time).unwrap_or_default();
        }
        prop_assert_eq!(detected, suspended_total);
    }

    /// Two clocks that are read one after the other differ slightly.
    #[test]
    fn small_differences_are_ignored(steps in prop::collection::vec((0u64..2_000, 0u64..30), 0..40)) {
        let (mut monotonic, mut boot_time) = (SECOND, SECOND * 70);
        let mut detector = SuspensionDetector::new(monotonic, boot_time);
        for (ran, apart) in steps {
            monotonic += Duration::from_millis(ran);
            boot_time += Duration::from_millis(ran);
            let read = boot_time + Duration::from_millis(apart);
            prop_assert_eq!(detector.check(monotonic, read), None);
        }
    }
}
