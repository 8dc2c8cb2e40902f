//! Offers between boxes, and the verdict that a box is cut off.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ashgauge::egress::{Decline, Declines, OFFER_TTL, OfferReply, Offers, Tokens};
use ashgauge::member::BoxId;
use ashgauge::reachability::Reachability;
use ashgauge::routing::ServiceId;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SECOND: Duration = Duration::from_secs(1);

fn offer(n: u8, load: u32) -> OfferReply {
    OfferReply {
        from: format!("box-{n}").as_str().into(),
        id: 1,
        addr: SocketAddr::from(([10, 0, 0, n], 7340)),
        token: u64::from(n),
        load,
        is_reserve: false,
    }
}

#[test]
fn requests_are_spread_over_the_offers() {
    const BOXES: u8 = 8;
    const REQUESTS: usize = 4000;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut offers = Offers::default();
    (0..BOXES).for_each(|n| offers.add(SECOND, &offer(n, 0)));
    let mut counts: HashMap<SocketAddr, usize> = HashMap::new();
    for _ in 0..REQUESTS {
        let (addr, _) = offers
            .choose(SECOND, &mut rng)
            .expect("offers that are valid");
        *counts.entry(addr).or_default() += 1;
    }
    let mean = REQUESTS / usize::from(BOXES);
    assert!(
        counts
            .values()
            .all(|count| count.abs_diff(mean) < mean / 10),
        "{counts:?}"
    );
}

#[test]
fn busy_box_gets_less() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut offers = Offers::default();
    offers.add(SECOND, &offer(1, 50));
    offers.add(SECOND, &offer(2, 0));
    let chosen = (0..40).filter_map(|_| offers.choose(SECOND, &mut rng));
    let busy = chosen.filter(|(_, token)| *token == 1).count();
    // It is chosen only where both picks fall on it.
    assert!(busy <= 20, "{busy} of 40");
}

#[test]
fn offers_and_tokens_end() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut offers, mut tokens) = (Offers::default(), Tokens::default());
    offers.add(SECOND, &offer(1, 0));
    assert!(tokens.insert(SECOND, 1));
    let late = SECOND + OFFER_TTL;
    assert!(offers.choose(late, &mut rng).is_none());
    // A request that was sent with the last use of the offer is still accepted.
    assert!(tokens.is_valid(late, 1));
    assert!(!tokens.is_valid(late * 3, 1));
    assert!(!tokens.is_valid(SECOND, 2));
}

#[test]
fn tokens_are_bounded() {
    let mut tokens = Tokens::default();
    let accepted = (0..100_000).filter(|token| tokens.insert(SECOND, *token));
    assert!(accepted.count() <= 1024);
    assert!(tokens.insert(SECOND * 60, 1));
}

#[test]
fn two_lost_upstreams_do_not_cut_a_box_off() {
    let mut reachability = Reachability::default();
    let service: ServiceId = "model".into();
    for upstream in ["a", "b", "a", "b"] {
        reachability.note_failed(SECOND, &service, &upstream.into());
    }
    assert!(!reachability.conclude(SECOND, &service, 10));
    // Nor do they if there are no others.
    assert!(!reachability.conclude(SECOND, &service, 2));
    // Failures that are long ago do not count.
    reachability.note_failed(SECOND * 10, &service, &"c".into());
    assert!(!reachability.conclude(SECOND * 10, &service, 10));
}

#[test]
fn box_may_be_cut_off_from_one_service_only() {
    let mut reachability = Reachability::default();
    let (model, records): (ServiceId, ServiceId) = ("model".into(), "records".into());
    for upstream in ["a", "b", "c"] {
        reachability.note_failed(SECOND, &model, &upstream.into());
    }
    assert!(reachability.conclude(SECOND, &model, 10));
    assert!(!reachability.is_cut_off(&records));
    // Requests may have crashed these three.
    assert!(!reachability.is_isolated(&model));
    // An answer of another service does not end it.
    assert_eq!(
        reachability.note_reached(SECOND * 2, &records, SECOND * 2),
        None
    );
    assert!(reachability.is_cut_off(&model));
    let lost: Vec<_> = reachability.lost_services().collect();
    assert_eq!(lost, [&model]);
    // A service with two upstreams is lost with those of another one.
    for upstream in ["d", "e"] {
        reachability.note_failed(SECOND * 3, &records, &upstream.into());
    }
    assert!(reachability.conclude(SECOND * 3, &records, 2));
    assert!(reachability.is_isolated(&records) && reachability.is_isolated(&model));
}

#[test]
fn hub_is_used_only_if_nobody_else_offers() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut offers = Offers::default();
    let hub = OfferReply {
        is_reserve: true,
        ..offer(1, 0)
    };
    offers.add(SECOND, &hub);
    assert_eq!(offers.choose(SECOND, &mut rng), Some((hub.addr, 1)));
    offers.add(SECOND, &offer(2, 100));
    for _ in 0..20 {
        assert_eq!(
            offers.choose(SECOND, &mut rng).map(|(_, token)| token),
            Some(2)
        );
    }
}

#[test]
fn declines_are_forgotten_and_bounded() {
    let mut declines = Declines::default();
    let service: ServiceId = "model".into();
    for n in 0..100_000 {
        let from: BoxId = format!("box-{n}").as_str().into();
        let service = service.clone();
        declines.insert(SECOND, Decline { from, service });
    }
    assert_eq!(declines.of_service(SECOND, &service).len(), 1024);
    assert!(declines.of_service(SECOND, "records").is_empty());
    assert!(declines.of_service(SECOND * 2, &service).is_empty());
}
