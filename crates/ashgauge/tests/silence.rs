//! Times at which a silent upstream is checked.

use std::time::Duration;

use ashgauge::silence::{SilenceTimer, next_wait};
use proptest::prelude::*;

const MAX_SILENCE: Duration = Duration::from_millis(1300);

/// Time after which a send times out whose first check is due after `first`, if each check
/// takes `check_time`.
fn times_out_after(first: Duration, check_time: Duration) -> Duration {
    let (mut waited, mut wait) = (Duration::ZERO, first);
    loop {
        waited += wait;
        if waited >= MAX_SILENCE {
            return waited;
        }
        waited += check_time;
        wait = next_wait(wait, waited, MAX_SILENCE);
    }
}

/// Durations of silence at which a stream without events is checked.
fn check_times(first: Duration, checks: usize) -> Vec<Duration> {
    let mut silence = SilenceTimer::new(Duration::ZERO);
    let due = (0..checks).map(|_| {
        let due = silence.next_check_within(first, Duration::from_millis(100), MAX_SILENCE);
        silence.record_check();
        due
    });
    due.collect()
}

/// Guards against a late check of a stream whose engines were busy first and then lost. It was
/// moved after 2 s, as the second check was due twice as late as the already long first one.
#[test]
fn stream_with_a_long_first_wait_is_checked_in_time() {
    let ms = Duration::from_millis;
    assert_eq!(check_times(ms(1000), 3), [ms(1000), MAX_SILENCE, ms(4000)]);
    assert_eq!(check_times(MAX_SILENCE, 2), [MAX_SILENCE, ms(2600)]);
    let typical = check_times(ms(250), 4);
    assert_eq!(typical, [ms(250), ms(500), ms(1000), MAX_SILENCE]);
}

/// Guards against rarer checks of a stream that already had events.
#[test]
fn checks_between_events_are_unchanged() {
    let ms = Duration::from_millis;
    let mut silence = SilenceTimer::new(ms(0));
    silence.record_event(ms(90));
    silence.record_event(ms(190));
    let due = silence.next_check(ms(900), ms(100));
    assert_eq!(
        silence.next_check_within(ms(900), ms(100), MAX_SILENCE),
        due
    );
}

/// Guards against waiting for a lost answer for the sum of the doubled waits instead of the
/// configured time.
#[test]
fn lost_answer_times_out_in_time() {
    let ms = Duration::from_millis;
    assert_eq!(times_out_after(ms(250), Duration::ZERO), MAX_SILENCE);
}

proptest! {
    /// Guards against a check that is due immediately after the previous one, which would repeat
    /// without end, and against a skipped one, which would leave a lost stream waiting.
    #[test]
    fn one_check_is_due_at_the_maximum(first in 1u64..=1300) {
        let checks = check_times(Duration::from_millis(first), 6);
        prop_assert!(checks.is_sorted_by(|a, b| a < b), "{checks:?}");
        let is_late = first * 32 < 1300;
        prop_assert!(is_late || checks.contains(&MAX_SILENCE), "{checks:?}");
    }

    #[test]
    fn waits_never_exceed_the_maximum(first in 1u64..1300, check_time in 0u64..150) {
        let check_time = Duration::from_millis(check_time);
        let after = times_out_after(Duration::from_millis(first), check_time);
        prop_assert!(after <= MAX_SILENCE + check_time, "{after:?}");
    }
}
