//! What boxes tell each other of their callers' demand: sums, their bounds, and what is
//! left without a part.

mod common;

use std::time::Duration;

use ashgauge::class::Class;
use ashgauge::demand::{
    Demand, DemandMeter, DemandSource, Demands, TeamSketch, Traffic, name_key, relative_work,
};
use ashgauge::level::AdmissionLevel;
use proptest::prelude::*;

/// Demands that one word holds at most.
const TOLD_MOST: usize = 64;

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
fn total(flows: &Traffic) -> u64 {
    let rates = flows.demands.iter().map(|(_, d)| u64::from(d.rate));
    rates.sum()
}

/// Demand of each service and class, in thousandths.
fn by_class(flows: &Traffic) -> Vec<(u32, Class, u64)> {
    let mut sums: Vec<(u32, Class, u64)> = Vec::new();
    for (source, demand) in &flows.demands {
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
        back: bool,
        team in 0..60u32,
        rate in 1..rate,
    ) -> (DemandSource, Demand) {
        let mut source = source(service, ranks.0, ranks.1, Some(team));
        source.class.is_retry = back;
        let teams = TeamSketch::single(team);
        (source, Demand { rate, work: rate, teams })
    }
}

/// What one box tells, with each source once and in order.
fn flows() -> impl Strategy<Value = Traffic> {
    let demands = prop::collection::vec(a_demand(1_000_000), 0..150);
    let ends = prop::collection::vec((0..3u32, 0..1_000_000u32), 0..3);
    (demands, ends).prop_map(|(demands, ends)| {
        let told = Traffic {
            demands,
            completions: ends,
        };
        Traffic::sum(std::iter::once(&told))
    })
}

proptest! {
    #![proptest_config(common::seeded(128))]

    /// Hubs tell sums of sums; these once counted nothing twice and must not begin to.
    #[test]
    fn sum_over_hubs_is_the_sum_of_all(all in prop::collection::vec(flows(), 1..9), cut in 0..9usize) {
        let (one, other) = all.split_at(cut.min(all.len()));
        let hubs = [Traffic::sum(one.iter()), Traffic::sum(other.iter())];
        prop_assert_eq!(Traffic::sum(hubs.iter()), Traffic::sum(all.iter()));
    }

    /// A box that hears the sum of all must not count its own part twice.
    #[test]
    fn sum_without_a_part_is_the_sum_of_the_others(all in prop::collection::vec(flows(), 1..9)) {
        let rest = Traffic::sum(all.iter()).minus(&all[0]);
        let others = Traffic::sum(all[1..].iter());
        prop_assert_eq!(&rest.demands, &others.demands);
        let ends = |flows: &Traffic| [0, 1, 2].map(|service| flows.completion_rate(service));
        prop_assert_eq!(ends(&rest), ends(&others));
    }

    /// Words lost demand that did not fit, so that engines were filled past their bound.
    #[test]
    fn fit_keeps_the_total_of_each_class(all in prop::collection::vec(flows(), 1..4)) {
        let sum = Traffic::sum(all.iter());
        let told = sum.clone().truncated();
        prop_assert!(told.demands.len() <= TOLD_MOST);
        prop_assert_eq!(by_class(&told), by_class(&sum));
        prop_assert_eq!(&told.completions, &sum.completions);
    }

    /// `without` and `Shares` find sources by halving.
    #[test]
    fn what_is_told_is_in_order(all in prop::collection::vec(flows(), 1..4)) {
        let told = Traffic::sum(all.iter()).truncated();
        let sources: Vec<DemandSource> = told.demands.iter().map(|(s, _)| *s).collect();
        prop_assert!(sources.is_sorted());
    }

    /// A part may be newer than the sum that held it.
    #[test]
    fn without_more_than_there_is_leaves_nothing(less in flows(), more in flows()) {
        let more = Traffic::sum([&less, &more].into_iter());
        let rest = less.minus(&more);
        prop_assert_eq!(total(&rest), 0);
        prop_assert!(rest.completions.iter().all(|(_, rate)| *rate == 0));
    }

    /// Sizes are what callers say.
    #[test]
    fn work_is_bounded(prompt: u32, answer: u32, usual: (u32, u32)) {
        let work = relative_work((prompt, answer), usual);
        prop_assert!((0.1..=8.0).contains(&work), "{}", work);
    }

    /// Whatever boxes tell, a share is a part of a request.
    #[test]
    fn shares_are_parts(
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

/// As many teams as a word can tell of.
fn all_teams() -> TeamSketch {
    (0..9999)
        .map(TeamSketch::single)
        .fold(TeamSketch::default(), TeamSketch::union)
}

/// A rate that wraps would let all requests in.
#[test]
fn largest_rates_stay_the_largest() {
    let most = Demand {
        rate: u32::MAX,
        work: u32::MAX,
        teams: all_teams(),
    };
    let told = Traffic {
        demands: vec![(source(0, 0, 0, None), most)],
        completions: vec![(0, u32::MAX)],
    };
    let sum = Traffic::sum([&told, &told].into_iter());
    assert_eq!(sum, told);
    assert_eq!(sum.minus(&told).demands, Vec::new());
}

/// Boxes that tell absurd numbers of teams made the sum of these overflow.
#[test]
fn level_holds_with_the_largest_numbers_of_teams() {
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

/// A team that many boxes name is one, also where they name it together with others.
#[test]
fn teams_are_counted_once() {
    let three = [1, 2, 3].map(TeamSketch::single).into_iter();
    let three = three.fold(TeamSketch::default(), TeamSketch::union);
    let one = |team, rate, teams| {
        let work = rate;
        (source(0, 0, 0, team), Demand { rate, work, teams })
    };
    let told = Traffic {
        demands: vec![
            one(None, 10, three),
            one(Some(1), 20, TeamSketch::single(1)),
        ],
        completions: Vec::new(),
    };
    let sum = Traffic::sum([&told, &told].into_iter());
    let twice = [
        one(None, 20, three),
        one(Some(1), 40, TeamSketch::single(1)),
    ];
    assert_eq!(sum.demands, twice);
    assert_eq!(three.count().round(), 3.0);
}

/// What a box keeps must not grow with all teams that ever asked.
#[test]
fn those_who_asked_long_ago_are_forgotten() {
    let mut meter = DemandMeter::default();
    for team in 0..1000 {
        meter.record(ms(0), source(0, 0, 0, Some(team)), 1.0);
    }
    assert_eq!(meter.traffic(ms(0)).demands.len(), 1000);
    assert!(meter.traffic(ms(10_000)).demands.is_empty());
}

/// The steady rate of requests is what a meter tells of them.
#[test]
fn steady_requests_are_told_as_their_rate() {
    let mut meter = DemandMeter::default();
    let service = name_key("model");
    for n in 0..500 {
        meter.record(ms(n * 10), source(service, 0, 0, Some(1)), 1.0);
        meter.record_completion(ms(n * 10), service);
    }
    let flows = meter.traffic(ms(5000));
    let rate = flows.demands[0].1.rate();
    assert!((95.0..105.0).contains(&rate), "{rate}");
    assert!((95.0..105.0).contains(&flows.completion_rate(service)));
}

/// Each of many boxes has few requests. While these learned their mean work from a usual
/// one on, all told several times as much as was asked for, and too little was let in.
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
