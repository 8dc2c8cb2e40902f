//! What operators are told of a level, and how often.

use std::time::Duration;

use ashgauge::class::Class;
use ashgauge::demand::{Demand, DemandSource, Demands, TeamSketch, name_key};
use ashgauge::level::AdmissionLevel;
use ashgauge::pressure::Pressure;
use ashgauge::report::{ChangeReporter, LevelChange, LevelInputs};

fn class(route: u32) -> Class {
    Class::new(Some(0), route, false)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A level whose class alternated with each computation wrote up to 20 lines a second.
#[test]
fn changes_are_told_once_a_second_at_most() {
    let mut report = ChangeReporter::default();
    let mut told = Vec::new();
    for step in 0..200 {
        let now = ms(step * 50);
        let level = (step > 0).then(|| class(step as u32 % 2));
        told.extend(report.change(now, level).map(|_| now));
    }
    assert_eq!(told[0], ms(50));
    assert!((9..=10).contains(&told.len()), "{told:?}");
    for pair in told.windows(2) {
        assert!(pair[1] - pair[0] >= Duration::from_secs(1), "{told:?}");
    }
}

/// A level that ended within a second of its last line was never said to have ended.
#[test]
fn end_within_a_second_is_told_later() {
    let mut report = ChangeReporter::default();
    assert_eq!(report.change(ms(0), None), None);
    assert_eq!(
        report.change(ms(100), Some(class(1))),
        Some(LevelChange::Started)
    );
    assert_eq!(report.change(ms(600), None), None);
    let end = report.change(ms(1100), None);
    assert_eq!(end, Some(LevelChange::Ended(ms(1000))));
    assert_eq!(report.change(ms(3000), None), None);
}

/// A level that moves keeps its beginning.
#[test]
fn end_tells_how_long_the_level_lasted() {
    let mut report = ChangeReporter::default();
    report.change(ms(0), Some(class(2)));
    assert_eq!(
        report.change(ms(2000), Some(class(1))),
        Some(LevelChange::ClassChanged)
    );
    let end = report.change(ms(5000), None);
    assert_eq!(end, Some(LevelChange::Ended(ms(5000))));
}

fn demands(of: &[(u32, &str, u32)]) -> Demands {
    let demand = |(route, team, rate): &(u32, &str, u32)| {
        let source = DemandSource {
            service: name_key("model"),
            class: class(*route),
            team: Some(name_key(team)),
        };
        let (rate, teams) = (rate * 1000, TeamSketch::single(name_key(team)));
        let work = rate;
        (source, Demand { rate, work, teams })
    };
    of.iter().map(demand).collect()
}

/// The gauge of the level counts classes, not teams, and only those in front of it.
#[test]
fn classes_in_front_of_the_level_are_counted() {
    let asked = demands(&[(0, "a", 50), (0, "b", 10), (1, "a", 50), (2, "a", 100)]);
    let pressure = Pressure {
        requests: 100.0,
        memory: 0.87,
        slots: 0.1,
    };
    let basis = LevelInputs::new(&asked, pressure, 130.0, Duration::ZERO, 3);
    let classes = [(class(0), 60.0), (class(1), 50.0), (class(2), 100.0)];
    assert_eq!(basis.classes, classes);
    assert_eq!(basis.demand_rate(), 210.0);
    assert!(
        (basis.allowed_rate - 130.0).abs() < 1e-6,
        "{}",
        basis.allowed_rate
    );
    let level = AdmissionLevel::new(&asked, basis.allowed_rate).map(|l| l.class);
    assert_eq!(level, Some(class(2)));
    assert_eq!(basis.classes_before(class(2)), 2);
    assert_eq!(basis.classes_before(class(0)), 0);
}
