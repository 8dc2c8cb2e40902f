//! Notifications between boxes about engines that accept no connections.

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

/// Guards against one notification to all boxes for each stream: the streams of one box detect
/// a lost engine one after the other.
#[test]
fn engine_is_reported_once_in_half_a_second() {
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

/// Guards against nine datagrams to each box for nine engines that are lost together.
#[test]
fn engines_found_together_are_reported_together() {
    let mut own = SuspectReports::default();
    let found: Vec<_> = (0..9).map(engine).collect();
    for (n, instance) in found.iter().enumerate() {
        assert!(own.record_found(SECOND + MS * (9 - n as u32), *instance));
    }
    let pending = own.take_pending(SECOND + MS * 10);
    let oldest: Vec<_> = found.iter().rev().map(|s| (*s, Audience::All)).collect();
    assert_eq!(pending, oldest);
}

/// Guards against datagrams that grow with the number of engines that a box finds lost.
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

/// Guards against notifications about an engine that all boxes were already notified of: 86
/// boxes would send 7,310 datagrams for one engine.
#[test]
fn engine_reported_by_another_box_is_not_reported_again() {
    let mut own = SuspectReports::default();
    assert!(!own.record_report(SECOND, engine(1), None));
    assert!(!own.record_found(SECOND + MS, engine(1)));
    assert_eq!(own.take_pending(SECOND + MS), []);
    assert!(own.record_found(SECOND + MIN_REPEAT_INTERVAL, engine(1)));
}

/// Guards against a hub that forwards each of several reports of one engine by its leaves.
#[test]
fn notification_is_forwarded_once() {
    let mut own = SuspectReports::default();
    let leaves = Some(Audience::Leaves);
    assert!(own.record_report(SECOND, engine(1), leaves));
    assert!(!own.record_report(SECOND, engine(1), Some(Audience::All)));
    assert_eq!(own.take_pending(SECOND), [(engine(1), Audience::Leaves)]);
    for ms in 1..MIN_REPEAT_INTERVAL.as_millis() as u32 {
        assert!(!own.record_report(SECOND + MS * ms, engine(1), leaves));
    }
    assert_eq!(own.take_pending(SECOND + MIN_REPEAT_INTERVAL - MS), []);
}

/// Guards against notifications that loop between hubs or do not reach a box.
#[test]
fn notification_reaches_each_box_of_a_large_fleet_once() {
    const HUBS: usize = 3;
    const LEAVES: usize = 40;
    // Hubs come first; leaf `n` belongs to hub `n % HUBS`.
    let mut boxes = vec![SuspectReports::default(); HUBS + LEAVES];
    let mut received = vec![0; HUBS + LEAVES];
    let hub = |n: usize| if n < HUBS { n } else { n % HUBS };
    // The first leaf detects the lost engine, and later all other boxes do.
    boxes[HUBS].record_found(SECOND, engine(1));
    for step in 1..10 {
        let now = SECOND + MS * 5 * step;
        let mut sent = Vec::new();
        for (n, own) in boxes.iter_mut().enumerate() {
            for (instance, to) in own.take_pending(now) {
                let hubs = (0..HUBS).filter(|to| *to != n);
                let leaves = (HUBS..HUBS + LEAVES).filter(|to| hub(*to) == n);
                match (n < HUBS, to) {
                    (true, Audience::All) => {
                        sent.extend(hubs.chain(leaves).map(|to| (n, to, instance)))
                    }
                    (true, Audience::Leaves) => sent.extend(leaves.map(|to| (n, to, instance))),
                    (false, _) => sent.push((n, hub(n), instance)),
                }
            }
        }
        for (from, to, instance) in sent {
            received[to] += 1;
            let audience = match (to < HUBS, from < HUBS) {
                (true, true) => Some(Audience::Leaves),
                (true, false) => Some(Audience::All),
                (false, _) => None,
            };
            boxes[to].record_report(now, instance, audience);
        }
        if step == 4 {
            boxes.iter_mut().for_each(|own| {
                own.record_found(now, engine(1));
            });
        }
    }
    assert_eq!(received, vec![1; HUBS + LEAVES]);
}

/// Guards against a box that reports ever more engines, and makes others store all of them or
/// forget which ones they have already sent.
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
    // Notifications that could not be sent in time are dropped.
    assert_eq!(own.take_pending(later).len(), 1);
}

/// Guards against a box that repeatedly reports an engine in error, and makes all others
/// connect to it each time.
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

/// Guards against reports of many engines that make a box connect to all of them at once.
#[test]
fn checks_under_way_are_bounded() {
    let mut own = SuspectReports::default();
    for n in 0..MAX_CHECKS {
        assert!(own.begin_check(SECOND, engine(n), || true));
    }
    assert_eq!(own.active_checks(), MAX_CHECKS);
    let budget = || -> bool { unreachable!("the budget is not used without a check") };
    assert!(!own.begin_check(SECOND, engine(MAX_CHECKS), budget));
    own.end_check();
    // The engine was not checked, so its next check need not wait.
    assert!(own.begin_check(SECOND, engine(MAX_CHECKS), || true));
}

/// Guards against a check that the budget refused and that blocks the check for the next
/// report.
#[test]
fn refused_check_does_not_count() {
    let mut own = SuspectReports::default();
    assert!(!own.begin_check(SECOND, engine(1), || false));
    assert_eq!(own.active_checks(), 0);
    assert!(own.begin_check(SECOND + MS, engine(1), || true));
}

/// Boxes of the previous version must still decode all other datagrams, and drop this one,
/// whose variant number they do not know.
#[test]
fn notification_is_the_last_variant_and_small() -> postcard::Result<()> {
    let instances = (0..MAX_SUSPECTS_SENT).map(engine).collect();
    let datagram = Datagram::Suspects("box-1".into(), instances);
    let bytes = postcard::to_allocvec(&datagram)?;
    assert_eq!(bytes[0], 7);
    assert!(bytes.len() <= 200, "{}", bytes.len());
    assert_eq!(&**datagram.from(), "box-1");
    assert_eq!(postcard::from_bytes::<Datagram>(&bytes)?, datagram);
    Ok(())
}
