//! Which streams stay on engines that leave or drop their layers.

use std::time::Duration;

use ashgauge::progress::Progress;
use proptest::prelude::*;

/// Time for which engines still serve after they announced that they leave.
const DRAIN: Duration = Duration::from_secs(3);

/// Typical answers of streams, in tokens, at five tokens per event and 25 ms between events:
/// all end within 1.5 s.
#[test]
fn typical_streams_stay_until_their_end() {
    for answer in [172, 280, 285] {
        let progress = Progress {
            answer_tokens: answer,
            events: 0,
            event_gap: 0.025,
        };
        assert!(progress.ends_within(5, DRAIN), "{answer} tokens");
    }
}

#[test]
fn long_or_slow_streams_are_moved() {
    let long = Progress {
        answer_tokens: 2000,
        events: 10,
        event_gap: 0.025,
    };
    assert!(!long.ends_within(5, DRAIN));
    let slow = Progress {
        answer_tokens: 280,
        events: 10,
        event_gap: 0.1,
    };
    assert!(!slow.ends_within(5, DRAIN));
}

proptest! {
    /// Each event brings the end nearer, and more tokens per event never delay it.
    #[test]
    fn time_left_only_shrinks(
        answer in 0u32..5000,
        events in 0u64..1000,
        pause in 0.0..1.0f64,
        event_tokens in 1u32..20,
    ) {
        let progress = Progress { answer_tokens: answer, events, event_gap: pause };
        let next = Progress { events: events + 1, ..progress };
        prop_assert!(next.time_left(event_tokens) <= progress.time_left(event_tokens));
        prop_assert!(progress.time_left(event_tokens + 1) <= progress.time_left(event_tokens));
    }
}
