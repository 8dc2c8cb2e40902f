//! What boxes tell each other of engines that accept no connections.

use std::time::Duration;

use ashgauge::quarantine::{Audience, InstanceKey, instance_key};
use ashgauge::query::Datagram;
use ashgauge::suspicion::{
    MAX_CHECKS, MAX_ENTRIES, MAX_SUSPECTS_SENT, MIN_REPEAT_INTERVAL, SuspectReports,
};

const SECOND: Duration = Duration::from_secs(1);

const MS: Duration = Duration::from_millis(1);

fn engine(n: usize) -> InstanceKey {
    instance_key(&format!("e{n}"), None)
}

/// The streams of one box find a lost engine one after the other; each must not send a
/// notification to all boxes.
#[test]
fn engine_is_told_of_once_in_half_a_second() {
    let mut own = SuspectReports::default();
    assert!(own.record_found(SECOND, engine(1)));
    assert!(!own.record_found(SECOND, engine(1)));
    assert_eq!(own.take_pending(SECOND), [(engine(1), Audience::All)]);
    assert_eq!(own.take_pending(SECOND), []);
    let later = SECOND + MIN_REPEAT_INTERVAL;
    assert!(!own.record_found(later - MS, engine(1)));
    assert_eq!(own.take_pending(later - MS), []);
    assert!(own.record_found(later, engine(1)));
    assert_eq!(own.take_pending(later), [(engine(1), Audience::All)]);
}

/// Nine engines that are lost together must not cost nine datagrams to each box.
#[test]
fn engines_found_together_are_told_of_together() {
    let mut own = SuspectReports::default();
    let found: Vec<_> = (0..9).map(engine).collect();
    for (n, start) in found.iter().enumerate() {
        assert!(own.record_found(SECOND + MS * (9 - n as u32), *start));
    }
    let told = own.take_pending(SECOND + MS * 10);
    let oldest: Vec<_> = found.iter().rev().map(|s| (*s, Audience::All)).collect();
    assert_eq!(told, oldest);
}

/// The datagrams of a box that finds many engines must not grow with their number.
#[test]
fn one_notification_is_bounded() {
    let mut own = SuspectReports::default();
    for n in 0..MAX_SUSPECTS_SENT + 1 {
        assert!(own.record_found(SECOND, engine(n)));
    }
    assert_eq!(own.take_pending(SECOND).len(), MAX_SUSPECTS_SENT);
    assert_eq!(own.take_pending(SECOND).len(), 1);
    assert_eq!(own.take_pending(SECOND), []);
}

/// A box must not tell again what all were told: 86 boxes would send 7,310 datagrams for one
/// engine.
#[test]
fn engine_told_of_by_another_box_is_not_told_of_again() {
    let mut own = SuspectReports::default();
    assert!(!own.record_report(SECOND, engine(1), None));
    assert!(!own.record_found(SECOND + MS, engine(1)));
    assert_eq!(own.take_pending(SECOND + MS), []);
    assert!(own.record_found(SECOND + MIN_REPEAT_INTERVAL, engine(1)));
}

/// Several leaves report one engine; a hub must not forward each report.
#[test]
fn notification_is_forwarded_once() {
    let mut own = SuspectReports::default();
    let below = Some(Audience::Leaves);
    assert!(own.record_report(SECOND, engine(1), below));
    assert!(!own.record_report(SECOND, engine(1), Some(Audience::All)));
    assert_eq!(own.take_pending(SECOND), [(engine(1), Audience::Leaves)]);
    for ms in 1..MIN_REPEAT_INTERVAL.as_millis() as u32 {
        assert!(!own.record_report(SECOND + MS * ms, engine(1), below));
    }
    assert_eq!(own.take_pending(SECOND + MIN_REPEAT_INTERVAL - MS), []);
}

/// Notifications must not go round between hubs, nor miss a box.
#[test]
fn notification_reaches_each_box_of_a_large_fleet_once() {
    const HUBS: usize = 3;
    const LEAVES: usize = 40;
    // Hubs come first; leaf `n` hears of others by hub `n % HUBS`.
    let mut boxes = vec![SuspectReports::default(); HUBS + LEAVES];
    let mut heard = vec![0; HUBS + LEAVES];
    let hub = |n: usize| if n < HUBS { n } else { n % HUBS };
    // The first leaf finds the engine, and then all others do.
    boxes[HUBS].record_found(SECOND, engine(1));
    for step in 1..10 {
        let now = SECOND + MS * 5 * step;
        let mut sent = Vec::new();
        for (n, own) in boxes.iter_mut().enumerate() {
            for (start, to) in own.take_pending(now) {
                let hubs = (0..HUBS).filter(|to| *to != n);
                let below = (HUBS..HUBS + LEAVES).filter(|to| hub(*to) == n);
                match (n < HUBS, to) {
                    (true, Audience::All) => {
                        sent.extend(hubs.chain(below).map(|to| (n, to, start)))
                    }
                    (true, Audience::Leaves) => sent.extend(below.map(|to| (n, to, start))),
                    (false, _) => sent.push((n, hub(n), start)),
                }
            }
        }
        for (from, to, start) in sent {
            heard[to] += 1;
            let audience = match (to < HUBS, from < HUBS) {
                (true, true) => Some(Audience::Leaves),
                (true, false) => Some(Audience::All),
                (false, _) => None,
            };
            boxes[to].record_report(now, start, audience);
        }
        if step == 4 {
            boxes.iter_mut().for_each(|own| {
                own.record_found(now, engine(1));
            });
        }
    }
    assert_eq!(heard, vec![1; HUBS + LEAVES]);
}

/// A box that reports engines without end must not make others keep them all, or forget
/// which they have told of.
#[test]
fn entries_are_bounded_and_expire_by_time() {
    let mut own = SuspectReports::default();
    assert!(own.record_found(SECOND, engine(0)));
    for n in 1..2 * MAX_ENTRIES {
        own.record_report(SECOND, engine(n), Some(Audience::Leaves));
        assert!(own.len() <= MAX_ENTRIES);
    }
    assert!(!own.record_found(SECOND, engine(2 * MAX_ENTRIES)));
    assert!(!own.begin_check(SECOND, engine(2 * MAX_ENTRIES), || true));
    assert!(!own.record_found(SECOND + MS, engine(0)));
    let later = SECOND + MIN_REPEAT_INTERVAL;
    assert!(own.record_found(later, engine(2 * MAX_ENTRIES)));
    assert_eq!(own.len(), 1);
    // What could not be sent in time is of no use any more.
    assert_eq!(own.take_pending(later).len(), 1);
}

/// A box that falsely reports an engine again and again must not make all others connect to
/// it each time.
#[test]
fn engine_is_checked_twice_a_second_at_most() {
    let mut own = SuspectReports::default();
    let mut checks = 0;
    for ms in 0..3000 {
        let now = SECOND + MS * ms;
        own.record_report(now, engine(1), None);
        if own.begin_check(now, engine(1), || true) {
            checks += 1;
            own.end_check();
        }
    }
    assert_eq!(checks, 6);
}

/// Reports of many engines must not make a box connect to all of them at one time.
#[test]
fn checks_under_way_are_bounded() {
    let mut own = SuspectReports::default();
    for n in 0..MAX_CHECKS {
        assert!(own.begin_check(SECOND, engine(n), || true));
    }
    assert_eq!(own.active_checks(), MAX_CHECKS);
    let asked = || -> bool { unreachable!("the budget is not asked in vain") };
    assert!(!own.begin_check(SECOND, engine(MAX_CHECKS), asked));
    own.end_check();
    // It was not checked, so it need not wait.
    assert!(own.begin_check(SECOND, engine(MAX_CHECKS), || true));
}

/// A check that the account did not allow must not keep the next report from one.
#[test]
fn check_without_budget_is_none() {
    let mut own = SuspectReports::default();
    assert!(!own.begin_check(SECOND, engine(1), || false));
    assert_eq!(own.active_checks(), 0);
    assert!(own.begin_check(SECOND + MS, engine(1), || true));
}

/// Boxes of the version before must read all other datagrams as they did, and drop this
/// one, whose number they do not know.
#[test]
fn notification_is_the_last_variant_and_small() -> postcard::Result<()> {
    let starts = (0..MAX_SUSPECTS_SENT).map(engine).collect();
    let datagram = Datagram::Suspects("box-1".into(), starts);
    let bytes = postcard::to_allocvec(&datagram)?;
    assert_eq!(bytes[0], 7);
    assert!(bytes.len() <= 200, "{}", bytes.len());
    assert_eq!(&**datagram.from(), "box-1");
    assert_eq!(postcard::from_bytes::<Datagram>(&bytes)?, datagram);
    Ok(())
}
