//! When a silence is looked into.

use std::time::Duration;

use ashgauge::silence::next_wait;
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

/// An answer that was lost is waited for as long as is meant, not for as long as
/// the doubled waits add up to.
#[test]
fn answer_that_is_lost_is_given_up_in_time() {
    let ms = Duration::from_millis;
    assert_eq!(given_up_after(ms(250), Duration::ZERO), MOST);
}

proptest! {
    #[test]
    fn waits_never_pass_the_most(first in 1u64..1300, look in 0u64..150) {
        let look = Duration::from_millis(look);
        let after = given_up_after(Duration::from_millis(first), look);
        prop_assert!(after <= MOST + look, "{after:?}");
    }
}
