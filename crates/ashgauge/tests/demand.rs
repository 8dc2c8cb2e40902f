//! Demand that boxes report to each other: sums, their bounds, and sums without one part.

mod common;

use std::time::Duration;

use ashgauge::class::Class;
use ashgauge::demand::{
    Demand, DemandMeter, DemandSource, Demands, TeamSketch, Traffic, name_key, relative_work,
};
use ashgauge::level::AdmissionLevel;
use proptest::prelude::*;

/// Largest number of demands in one load report.
const MAX_DEMANDS: usize = 64;

fn source(service: u32, team_rank: u8, route: u8, team: Option<u32>) -> DemandSource {
    let class = Class {
        team: team_rank,
        route,
        is_retry: false,
    };
    DemandSource {
        service,
        class,
        team,
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Demand over all sources, in thousandths.
fn total(traffic: &Traffic) -> u64 {
    let rates = traffic.demands.iter().map(|(_, d)| u64::from(d.rate));
    rates.sum()
}

/// Demand of each service and class, in thousandths.
fn by_class(traffic: &Traffic) -> Vec<(u32, Class, u64)> {
    let mut sums: Vec<(u32, Class, u64)> = Vec::new();
    for (source, demand) in &traffic.demands {
        let rate = u64::from(demand.rate);
        let same = |s: &&mut (u32, Class, u64)| (s.0, s.1) == (source.service, source.class);
        match sums.iter_mut().find(same) {
            Some(sum) => sum.2 += rate,
            None => sums.push((source.service, source.class, rate)),
        }
    }
    sums
}

prop_compose! {
    fn a_demand(rate: u32)(
        service in 0..3u32,
        ranks in (0..2u8, 0..3u8),
        is_retry: bool,
        team in 0..60u32,
        rate in 1..rate,
    ) -> (DemandSource, Demand) {
        let mut source = source(service, ranks.0, ranks.1, Some(team));
        source.class.is_retry = is_retry;
        let teams = TeamSketch::single(team);
        (source, Demand { rate, work: rate, teams })
    }
}

/// Traffic of one box, with each source once and in order.
fn traffic() -> impl Strategy<Value = Traffic> {
    let demands = prop::collection::vec(a_demand(1_000_000), 0..150);
    let completions = prop::collection::vec((0..3u32, 0..1_000_000u32), 0..3);
    (demands, completions).prop_map(|(demands, completions)| {
        let reported = Traffic {
            demands,
            completions,
        };
        Traffic::sum(std::iter::once(&reported))
    })
}

proptest! {
    #![proptest_config(common::seeded(128))]

    /// Guards against demand that is counted twice where hubs report sums of sums.
    #[test]
    fn sum_over_hubs_is_the_sum_of_all(all in prop::collection::vec(traffic(), 1..9), cut in 0..9usize) {
        let (one, other) = all.split_at(cut.min(all.len()));
        let hubs = [Traffic::sum(one.iter()), Traffic::sum(other.iter())];
        prop_assert_eq!(Traffic::sum(hubs.iter()), Traffic::sum(all.iter()));
    }

    /// Guards against a box that receives the sum of all and counts its own part twice.
    #[test]
    fn sum_without_a_part_is_the_sum_of_the_others(all in prop::collection::vec(traffic(), 1..9)) {
        let rest = Traffic::sum(all.iter()).minus(&all[0]);
        let others = Traffic::sum(all[1..].iter());
        prop_assert_eq!(&rest.demands, &others.demands);
        let completions = |traffic: &Traffic| [0, 1, 2].map(|service| traffic.completion_rate(service));
        prop_assert_eq!(completions(&rest), completions(&others));
    }

    /// Guards against reports that drop the demand that does not fit, after which engines are
    /// filled past their limit.
    #[test]
    fn truncation_keeps_the_total_of_each_class(all in prop::collection::vec(traffic(), 1..4)) {
        let sum = Traffic::sum(all.iter());
        let reported = sum.clone().truncated();
        prop_assert!(reported.demands.len() <= MAX_DEMANDS);
        prop_assert_eq!(by_class(&reported), by_class(&sum));
        prop_assert_eq!(&reported.completions, &sum.completions);
    }

    /// `Traffic::minus` and `FleetLoad` find sources by binary search, so they must be sorted.
    #[test]
    fn reported_sources_are_sorted(all in prop::collection::vec(traffic(), 1..4)) {
        let reported = Traffic::sum(all.iter()).truncated();
        let sources: Vec<DemandSource> = reported.demands.iter().map(|(s, _)| *s).collect();
        prop_assert!(sources.is_sorted());
    }

    /// A part may be newer than the sum that contains it, and so larger.
    #[test]
    fn subtracting_more_than_the_sum_leaves_nothing(less in traffic(), more in traffic()) {
        let more = Traffic::sum([&less, &more].into_iter());
        let rest = less.minus(&more);
        prop_assert_eq!(total(&rest), 0);
        prop_assert!(rest.completions.iter().all(|(_, rate)| *rate == 0));
    }

    /// Sizes come from callers and may be absurd.
    #[test]
    fn work_is_bounded(prompt: u32, answer: u32, typical: (u32, u32)) {
        let work = relative_work((prompt, answer), typical);
        prop_assert!((0.1..=8.0).contains(&work), "{}", work);
    }

    /// Whatever boxes report, a share is between 0 and 1.
    #[test]
    fn shares_are_between_zero_and_one(
        demands in prop::collection::vec((0..3u8, prop::option::of(0..9u32), any::<u32>(), any::<u32>()), 1..20),
        allowed in prop_oneof![Just(f64::INFINITY), Just(0.0), 0.0..1e7],
    ) {
        let demand = |(route, team, rate, other): (u8, Option<u32>, u32, u32)| {
            let teams = team.map(TeamSketch::single).unwrap_or(TeamSketch::single(other));
            (source(0, 0, route, team), Demand { rate, work: rate, teams })
        };
        let demands: Demands = demands.into_iter().map(demand).collect();
        if let Some(level) = AdmissionLevel::new(&demands, allowed) {
            for route in 0..3 {
                for team in 0..9 {
                    let share = level.share(source(0, 0, route, None).class, team);
                    prop_assert!((0.0..=1.0).contains(&share), "{}", share);
                }
            }
        }
    }
}

/// Sketch of as many teams as a report can count.
fn all_teams() -> TeamSketch {
    (0..9999)
        .map(TeamSketch::single)
        .fold(TeamSketch::default(), TeamSketch::union)
}

/// Guards against rates that wrap around, which would admit all requests.
#[test]
fn largest_rates_stay_the_largest() {
    let most = Demand {
        rate: u32::MAX,
        work: u32::MAX,
        teams: all_teams(),
    };
    let reported = Traffic {
        demands: vec![(source(0, 0, 0, None), most)],
        completions: vec![(0, u32::MAX)],
    };
    let sum = Traffic::sum([&reported, &reported].into_iter());
    assert_eq!(sum, reported);
    assert_eq!(sum.minus(&reported).demands, Vec::new());
}

/// Guards against an overflow where boxes report absurd numbers of teams.
#[test]
fn level_is_finite_with_the_largest_numbers_of_teams() {
    let many = |route, team| {
        let demand = Demand {
            rate: 1000,
            work: 1000,
            teams: all_teams(),
        };
        (source(0, 0, route, team), demand)
    };
    let level = AdmissionLevel::new(&vec![many(0, None), many(0, Some(1))], 1.0).expect("a level");
    assert!(level.team_limit.is_finite(), "{}", level.team_limit);
}

/// A team that many boxes report counts once, also where they report it in a group.
#[test]
fn teams_are_counted_once() {
    let three = [1, 2, 3].map(TeamSketch::single).into_iter();
    let three = three.fold(TeamSketch::default(), TeamSketch::union);
    let one = |team, rate, teams| {
        let work = rate;
        (source(0, 0, 0, team), Demand { rate, work, teams })
    };
    let reported = Traffic {
        demands: vec![
            one(None, 10, three),
            one(Some(1), 20, TeamSketch::single(1)),
        ],
        completions: Vec::new(),
    };
    let sum = Traffic::sum([&reported, &reported].into_iter());
    let twice = [
        one(None, 20, three),
        one(Some(1), 40, TeamSketch::single(1)),
    ];
    assert_eq!(sum.demands, twice);
    assert_eq!(three.count().round(), 3.0);
}

/// Guards against state that grows with all teams that ever sent a request.
#[test]
fn idle_teams_are_forgotten() {
    let mut meter = DemandMeter::default();
    for team in 0..1000 {
        meter.record(ms(0), source(0, 0, 0, Some(team)), 1.0);
    }
    assert_eq!(meter.traffic(ms(0)).demands.len(), 1000);
    assert!(meter.traffic(ms(10_000)).demands.is_empty());
}

/// The meter reports a steady rate of requests as it is.
#[test]
fn steady_requests_are_reported_at_their_rate() {
    let mut meter = DemandMeter::default();
    let service = name_key("model");
    for n in 0..500 {
        meter.record(ms(n * 10), source(service, 0, 0, Some(1)), 1.0);
        meter.record_completion(ms(n * 10), service);
    }
    let traffic = meter.traffic(ms(5000));
    let rate = traffic.demands[0].1.rate();
    assert!((95.0..105.0).contains(&rate), "{rate}");
    assert!((95.0..105.0).contains(&traffic.completion_rate(service)));
}

/// Guards against a mean work that boxes learn starting from that of a typical request. As
/// each of many boxes has few requests, all reported several times the real demand, and too
/// few requests were admitted.
#[test]
fn requests_of_one_size_count_one_each_from_the_first() {
    for size in [0.2, 1.0, 5.0] {
        let mut meter = DemandMeter::default();
        for _ in 0..10 {
            meter.record(ms(0), source(0, 0, 0, Some(1)), size);
        }
        let rate = meter.traffic(ms(0)).demands[0].1.rate();
        assert!((39.5..40.5).contains(&rate), "work {size}: {rate}");
    }
}
