//! State of a box: routes, upstreams, the age of its data, and complete stream events.

mod common;
mod engines;

use std::time::Duration;

use ashgauge::events::{CompleteEvents, scan_complete};
use ashgauge::freshness::{Freshness, RevisionTracker};
use ashgauge::notice::AbsentNotices;
use ashgauge::registry::UpstreamRegistry;
use ashgauge::routing::{Access, ClientLimits, Route, RoutingConfig, Team};
use ashgauge::upstream::Upstream;
use engines::upstream;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotent: true,
        stream: None,
        timeout: SECOND,
        target_latency: SECOND,
        priority: 1,
        traffic_split: vec![("s".into(), 1.0)],
        max_attempts: 1,
        allow_anonymous: name == "open",
    }
}

fn routing() -> RoutingConfig {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/"),
        route("open", "a.example", "/open/"),
    ];
    let team = Team {
        name: "payroll".into(),
        priority: None,
        keys: vec!["k1".into(), "k2".into()],
    };
    RoutingConfig::new(
        7,
        routes,
        Vec::new(),
        Some(vec![team]),
        ClientLimits::default(),
    )
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let routing = routing();
    let find = |host: &str, path: &str| routing.find_route(host, path).map(|r| r.name.clone());
    assert_eq!(find("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(find("a.example", "/x/z").as_deref(), Some("short"));
    assert_eq!(find("b.example", "/x/y/").as_deref(), Some("other"));
    assert_eq!(find("b.example", "/x/z"), None);
    assert_eq!(find("c.example", "/x/y/"), None);
    assert_eq!(find("a.example", "/xy"), None);
}

#[test]
fn keys_lead_to_teams() {
    let routing = routing();
    let closed = routing.find_route("a.example", "/x/").expect("a route");
    let open = routing.find_route("a.example", "/open/").expect("a route");
    let team = |key| match routing.authorize(closed, key) {
        Access::Team(team) => Some(team.name.clone()),
        _ => None,
    };
    assert_eq!(team(Some("k2")).as_deref(), Some("payroll"));
    assert_eq!(routing.authorize(closed, Some("k3")), Access::Denied);
    assert_eq!(routing.authorize(closed, None), Access::Denied);
    assert_eq!(routing.authorize(open, None), Access::Anonymous);
}

#[test]
fn upstream_missing_after_an_outage_may_come_back() {
    let mut registry = UpstreamRegistry::default();
    let engines = [
        upstream("e1", "a", "small", None, 1),
        upstream("e2", "a", "small", None, 2),
    ];
    engines.iter().for_each(|e| registry.put(e.clone()));
    let now = SECOND * 10;
    registry.replace(now, vec![engines[0].clone()], false);
    let usable =
        |registry: &UpstreamRegistry, id: &str, now| registry.get(id).map(|e| e.is_usable(now));
    assert_eq!(usable(&registry, "e2", now), Some(false));
    registry.expire(now + SECOND);
    registry.put(engines[1].clone());
    assert_eq!(usable(&registry, "e2", now + SECOND), Some(true));
    registry.replace(now, vec![engines[0].clone()], false);
    registry.expire(now + SECOND * 2);
    assert_eq!(usable(&registry, "e2", now), None);
}

#[test]
fn suspect_is_avoided_for_a_while() {
    let mut registry = UpstreamRegistry::default();
    registry.put(upstream("e1", "a", "small", None, 1));
    assert!(registry.mark_suspect(SECOND, "e1"));
    assert!(!registry.mark_suspect(SECOND, "e1"));
    let usable =
        |registry: &UpstreamRegistry, now| registry.get("e1").is_some_and(|e| e.is_usable(now));
    assert!(!usable(&registry, SECOND * 2));
    assert!(usable(&registry, SECOND * 6));
    registry.mark_suspect(SECOND * 6, "e1");
    registry.record_latency(SECOND, "e1", SECOND);
    assert!(usable(&registry, SECOND * 6));
}

fn started_engine(id: &str, started_engine: u64) -> Upstream {
    Upstream {
        started_ms: Some(started_engine),
        ..upstream(id, "a", "small", None, 1)
    }
}

/// Guards against a restarted engine that is avoided, or counted as slow and full, for what
/// its previous process had done. The id stays the same across a restart.
#[test]
fn restarted_engine_has_no_history() {
    let mut registry = UpstreamRegistry::default();
    registry.put(started_engine("e1", 1));
    registry.begin_request("e1", 700);
    registry.mark_suspect(SECOND, "e1");
    registry.note_full(SECOND, "e1");
    registry.note_slow(SECOND, "e1", 4.0);
    registry.record_failure(SECOND, "e1");
    registry.put(started_engine("e1", 1));
    let entry = registry.get("e1").expect("an entry");
    assert!(!entry.is_usable(SECOND), "it is the same process");
    registry.put(started_engine("e1", 2));
    let entry = registry.get("e1").expect("an entry");
    assert!(entry.is_usable(SECOND) && !entry.is_full(SECOND));
    assert_eq!(
        (entry.slowness(SECOND), entry.failure_rate(SECOND)),
        (1.0, 0.0)
    );
    // Requests that ran on the previous process are still subtracted when they end.
    assert_eq!(entry.inflight, 1);
    registry.end_request("e1", 700);
    assert_eq!(
        registry.get("e1").map(|e| (e.inflight, e.token_layers)),
        Some((0, 0))
    );
}

/// Guards against a backoff that ends with the entry of its upstream. A box learns of
/// upstreams by lists and by changes and removals of single entries, and the store loses
/// entries in an outage. None of these ends a backoff, on which the upstream relies.
#[test]
fn backoff_holds_whatever_happens_to_the_entry() {
    let mut registry = UpstreamRegistry::default();
    let upstreams = [started_engine("e1", 1), started_engine("e2", 1)];
    let backoff =
        |registry: &UpstreamRegistry, now| registry.get("e1").and_then(|e| e.backoff(now));
    registry.replace(SECOND, upstreams.to_vec(), true);
    registry.note_backoff(SECOND, "e1", SECOND * 30);
    registry.note_backoff(SECOND, "e1", SECOND);
    assert_eq!(backoff(&registry, SECOND * 11), Some(SECOND * 20));
    registry.put(Upstream {
        slots: 7,
        ..started_engine("e1", 1)
    });
    assert_eq!(backoff(&registry, SECOND * 11), Some(SECOND * 20));
    registry.replace(SECOND, vec![started_engine("e2", 1)], false);
    registry.expire(SECOND * 5);
    assert!(registry.get("e1").is_none());
    registry.replace(SECOND * 6, upstreams.to_vec(), true);
    assert_eq!(backoff(&registry, SECOND * 11), Some(SECOND * 20));
    registry.remove(SECOND * 7, "e1");
    registry.put(started_engine("e1", 1));
    assert_eq!(backoff(&registry, SECOND * 11), Some(SECOND * 20));
    // Entries arrive later than answers, so the answer may be from the new process.
    registry.put(started_engine("e1", 2));
    assert_eq!(backoff(&registry, SECOND * 11), Some(SECOND * 20));
    assert_eq!(backoff(&registry, SECOND * 31), None);
    assert!(
        registry
            .get("e2")
            .is_some_and(|e| e.accepts_requests(SECOND))
    );
}

/// Guards against a lost backoff where the entry expires while a request is in flight, and
/// comes back.
#[test]
fn backoff_holds_though_the_entry_was_gone_when_it_was_requested() {
    let mut registry = UpstreamRegistry::default();
    registry.note_backoff(SECOND, "e1", SECOND * 30);
    registry.put(started_engine("e1", 1));
    let entry = registry.get("e1").expect("an entry");
    assert_eq!(entry.backoff(SECOND * 11), Some(SECOND * 20));
    assert!(entry.is_usable(SECOND) && !entry.accepts_requests(SECOND));
}

/// An upstream announces in its answers that it leaves before its entry does so, or while
/// the store is unavailable; an entry that lists it as ready is older. A new process does
/// not leave.
#[test]
fn leaving_holds_until_a_restart() {
    let mut registry = UpstreamRegistry::default();
    registry.put(started_engine("e1", 1));
    assert!(registry.note_leaving(SECOND, "e1"));
    assert!(!registry.note_leaving(SECOND, "e1"));
    let leaving = |registry: &UpstreamRegistry| registry.get("e1").map(|e| e.is_leaving());
    registry.put(started_engine("e1", 1));
    assert_eq!(leaving(&registry), Some(true));
    registry.remove(SECOND, "e1");
    registry.put(started_engine("e1", 1));
    assert_eq!(leaving(&registry), Some(true));
    registry.remove(SECOND, "e1");
    registry.put(started_engine("e1", 2));
    assert_eq!(leaving(&registry), Some(false));
    registry.note_leaving(SECOND, "e1");
    registry.put(started_engine("e1", 3));
    assert_eq!(leaving(&registry), Some(false));
}

proptest! {
    /// However many upstreams come and go, notices of removed ones expire.
    #[test]
    fn notices_of_removed_upstreams_expire(steps in prop::collection::vec((0u8..8, 0u16..900), 1..200)) {
        let mut absent = AbsentNotices::default();
        let (mut now, mut last) = (Duration::ZERO, [None; 8]);
        for (id, pause) in steps {
            now += Duration::from_secs(pause.into());
            let name = format!("e{id}");
            absent.update(now, &name, |n| n.extend_backoff(now, SECOND * 2000));
            last[usize::from(id)] = Some(now);
            let kept = last.iter().flatten().filter(|at| now < **at + SECOND * 600);
            prop_assert_eq!(absent.len(), kept.count());
        }
    }
}

/// Guards against a crash of the box by a backoff of absurd length.
#[test]
fn longest_backoff_is_kept() {
    let mut registry = UpstreamRegistry::default();
    registry.put(started_engine("e1", 1));
    registry.note_backoff(SECOND, "e1", Duration::MAX);
    assert!(
        registry
            .get("e1")
            .is_some_and(|e| !e.accepts_requests(SECOND * 9))
    );
}

/// Guards against an upstream that is avoided for its failures for ever, as without
/// requests it cannot show that it has recovered.
#[test]
fn failure_rate_decays_while_an_upstream_is_avoided() {
    let mut registry = UpstreamRegistry::default();
    registry.put(upstream("e1", "a", "small", None, 1));
    for _ in 0..10 {
        registry.record_failure(SECOND, "e1");
    }
    let failures = |now| registry.get("e1").map_or(0.0, |e| e.failure_rate(now));
    assert!(failures(SECOND) > 0.9);
    assert!(failures(SECOND * 40) < 0.05);
}

#[test]
fn prefill_backlog_shrinks_with_time() {
    let mut registry = UpstreamRegistry::default();
    registry.put(upstream("e1", "a", "small", None, 1));
    registry.note_prefill(SECOND, "e1", 1.0);
    registry.note_prefill(SECOND, "e1", 0.5);
    let backlog = |now| registry.get("e1").map_or(9.0, |e| e.prefill_backlog(now));
    assert!((backlog(SECOND * 2) - 0.5).abs() < 1e-9);
    assert_eq!(backlog(SECOND * 3), 0.0);
}

fn stream(lens: &[usize]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (n, len) in lens.iter().enumerate() {
        let event = format!("id: {}\ndata: {}\n\n", n + 1, "x".repeat(*len));
        bytes.extend_from_slice(event.as_bytes());
    }
    bytes
}

proptest! {
    #![proptest_config(common::seeded(200))]

    /// A box that is frozen at any point does not use data that is older than the limit. Age
    /// counts from the query, not from the answer.
    #[test]
    fn data_ages_from_the_query(
        queries in prop::collection::vec((0..3000u64, 0..3000u64), 1..20),
        frozen in 0..20_000u64,
    ) {
        let most = Duration::from_millis(3500);
        let mut fresh = Freshness::new(most);
        let mut now = Duration::ZERO;
        let mut latest = None;
        for (pause, answer) in queries {
            let asked = now + Duration::from_millis(pause);
            now = asked + Duration::from_millis(answer);
            fresh.confirm(asked);
            latest = Some(asked);
        }
        now += Duration::from_millis(frozen);
        let age = now - latest.expect("a question");
        prop_assert_eq!(fresh.is_fresh(now), age <= most);
    }

    /// A revision is covered only if every change up to it was read.
    #[test]
    fn tracker_covers_only_what_was_read(
        read in prop::collection::vec(1..60u64, 0..80),
        base in 0..20u64,
        asked in 0..60u64,
    ) {
        let mut tracker = RevisionTracker::default();
        tracker.mark_read_to(base);
        read.iter().for_each(|r| tracker.mark_read(*r));
        let all = (base + 1..=asked).all(|r| read.contains(&r));
        prop_assert_eq!(tracker.covers(asked), all);
    }

    /// However the bytes are split, complete events come out in order, and incomplete
    /// ones stay in the buffer.
    #[test]
    fn events_come_out_complete(
        lens in prop::collection::vec(0..30usize, 0..12),
        pieces in prop::collection::vec(1..20usize, 1..40),
        cut_off in 0..40usize,
    ) {
        let all = stream(&lens);
        let kept = &all[..all.len().saturating_sub(cut_off)];
        let (mut buffer, mut out, mut at) = (Vec::new(), Vec::new(), 0);
        let mut last = 0;
        for piece in pieces.iter().cycle() {
            if at >= kept.len() {
                break;
            }
            let end = (at + piece).min(kept.len());
            buffer.extend_from_slice(&kept[at..end]);
            at = end;
            let complete = scan_complete(&buffer);
            if complete.count > 0 {
                prop_assert_eq!(complete.first_id, Some(last + 1));
                last = complete.last_id.expect("an id");
            }
            out.extend(buffer.drain(..complete.len));
        }
        let expected = stream(&lens[..last as usize]);
        prop_assert_eq!(out, expected);
    }
}

/// A keep-alive comment is forwarded, but does not show that the request runs.
#[test]
fn comments_are_no_events() {
    let bytes = b": waiting\n\n:\r\n\r\n: first\nid: 1\ndata: a\n\n: ";
    let complete = scan_complete(bytes);
    assert_eq!((complete.count, complete.last_id), (1, Some(1)));
    assert_eq!(complete.len, bytes.len() - 2);
    assert_eq!(
        scan_complete(&bytes[..11]),
        CompleteEvents {
            len: 11,
            ..CompleteEvents::default()
        }
    );
}

/// Guards against silent streams that open a probe connection to every engine of their
/// chain, although most of these have just served other streams.
#[test]
fn active_upstream_needs_no_probe() {
    let mut registry = UpstreamRegistry::default();
    registry.put(upstream("e1", "a", "small", None, 1));
    let is_active =
        |registry: &UpstreamRegistry, now| registry.get("e1").is_some_and(|e| e.is_active(now));
    assert!(!is_active(&registry, SECOND));
    registry.note_activity(SECOND, "e1");
    assert!(is_active(&registry, SECOND + Duration::from_millis(50)));
    assert!(!is_active(&registry, SECOND + Duration::from_millis(70)));
}

/// Guards against new requests to an engine whose connection broke and that accepts no new
/// one, because other streams had activity from it a moment ago. Those streams may continue.
#[test]
fn unreachable_upstream_gets_no_new_requests_and_keeps_its_streams() {
    let mut registry = UpstreamRegistry::default();
    registry.put(upstream("e1", "a", "large", None, 1));
    registry.note_activity(SECOND, "e1");
    registry.note_unreachable(SECOND, "e1");
    let entry = registry.get("e1").expect("an entry");
    assert!(!entry.accepts_requests(SECOND));
    assert!(entry.is_usable(SECOND) && !entry.is_suspect(SECOND));
    assert!(entry.accepts_requests(SECOND * 2));
    // A new process counts as another engine.
    registry.note_unreachable(SECOND * 3, "e1");
    let mut started_engine = upstream("e1", "a", "large", None, 1);
    started_engine.started_ms = Some(7);
    registry.put(started_engine);
    assert!(
        registry
            .get("e1")
            .is_some_and(|e| e.accepts_requests(SECOND * 3))
    );
}

#[test]
fn cut_off_box_forgets_what_it_concluded_from_failed_connections() {
    let mut registry = UpstreamRegistry::default();
    registry.put(upstream("e1", "a", "small", None, 1));
    registry.put(upstream("e2", "a", "small", None, 1));
    registry.mark_suspect(SECOND, "e1");
    registry.mark_suspect(SECOND * 2, "e2");
    registry.note_unreachable(SECOND * 2, "e2");
    registry.clear_suspects("another", SECOND);
    registry.clear_suspects("model", SECOND * 2);
    let now = SECOND * 2;
    let accepts = |id| registry.get(id).is_some_and(|e| e.accepts_requests(now));
    assert!(!accepts("e1"), "it was marked before the box was cut off");
    assert!(accepts("e2"));
}
