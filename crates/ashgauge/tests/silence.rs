//! When a silence is looked into.

use std::time::Duration;

use ashgauge::silence::{SilenceTimer, next_wait};
use proptest::prelude::*;

const MOST: Duration = Duration::from_millis(1300);

/// Time after which a send is given up whose first look comes after `first`, if
/// each look takes `look`.
fn given_up_after(first: Duration, look: Duration) -> Duration {
    let (mut waited, mut wait) = (Duration::ZERO, first);
    loop {
        waited += wait;
        if waited >= MOST {
            return waited;
        }
        waited += look;
        wait = next_wait(wait, waited, MOST);
    }
}

/// Silences after which a stream is checked of which nothing comes.
fn checked_after(first: Duration, checks: usize) -> Vec<Duration> {
    let mut silence = SilenceTimer::new(Duration::ZERO);
    let due = (0..checks).map(|_| {
        let due = silence.next_check_within(first, Duration::from_millis(100), MOST);
        silence.record_check();
        due
    });
    due.collect()
}

/// A stream whose engines were busy, and then lost, was left after 2 s, as its next check
/// came twice as late as the long first one.
#[test]
fn stream_that_was_waited_for_is_left_in_time() {
    let ms = Duration::from_millis;
    assert_eq!(checked_after(ms(1000), 3), [ms(1000), MOST, ms(4000)]);
    assert_eq!(checked_after(MOST, 2), [MOST, ms(2600)]);
    let usual = checked_after(ms(250), 4);
    assert_eq!(usual, [ms(250), ms(500), ms(1000), MOST]);
}

/// A stream of which something had come would be checked less often than before.
#[test]
fn checks_between_events_stay_as_they_are() {
    let ms = Duration::from_millis;
    let mut silence = SilenceTimer::new(ms(0));
    silence.record_event(ms(90));
    silence.record_event(ms(190));
    let due = silence.next_check(ms(900), ms(100));
    assert_eq!(silence.next_check_within(ms(900), ms(100), MOST), due);
}

/// An answer that was lost is waited for as long as is meant, not for as long as
/// the doubled waits add up to.
#[test]
fn answer_that_is_lost_is_given_up_in_time() {
    let ms = Duration::from_millis;
    assert_eq!(given_up_after(ms(250), Duration::ZERO), MOST);
}

proptest! {
    /// A check that is due at once after the one before would be made without end, and one
    /// that is skipped leaves a lost stream waiting.
    #[test]
    fn one_check_comes_after_the_most(first in 1u64..=1300) {
        let checks = checked_after(Duration::from_millis(first), 6);
        prop_assert!(checks.is_sorted_by(|a, b| a < b), "{checks:?}");
        let is_late = first * 32 < 1300;
        prop_assert!(is_late || checks.contains(&MOST), "{checks:?}");
    }

    #[test]
    fn waits_never_pass_the_most(first in 1u64..1300, look in 0u64..150) {
        let look = Duration::from_millis(look);
        let after = given_up_after(Duration::from_millis(first), look);
        prop_assert!(after <= MOST + look, "{after:?}");
    }
}
