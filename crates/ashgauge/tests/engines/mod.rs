//! A model and engines of the kinds that the users run.

#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use ashgauge::pipes::Pipes;
use ashgauge::placement::{Assignment, Seat, plan};
use ashgauge::roster::Roster;
use ashgauge::routing::{Card, Model};
use ashgauge::scene::Scene;
use ashgauge::share::Shares;
use ashgauge::upstream::{Span, Upstream};

/// A model of 80 layers and four kinds of accelerators.
pub fn model() -> Model {
    let card = |memory_mb, step_factor, read_factor| Card {
        memory_mb,
        step_factor,
        read_factor,
    };
    Model {
        layers: 80,
        layer_mb: 1750.0,
        token_mb: 0.59,
        slots: 192,
        step: Duration::from_micros(850),
        step_request: Duration::from_nanos(3820),
        event_tokens: 2,
        read_rate: 196_000.0,
        load: Duration::from_secs(14),
        loads: 6,
        prompt: 772,
        answer: 172,
        activation_mb: 0.0295,
        pipe_mb: 1125.0,
        cards: [
            ("large".to_string(), card(72_000.0, 1.4, 1.0)),
            ("medium".to_string(), card(36_000.0, 3.1, 3.2)),
            ("small".to_string(), card(21_600.0, 16.0, 8.2)),
            ("tiny".to_string(), card(14_400.0, 15.0, 15.0)),
        ]
        .into(),
    }
}

/// Engines that hold nothing: `(place, kind, how many)`.
pub fn seats(groups: &[(&str, &str, usize)]) -> Vec<Seat> {
    let mut seats = Vec::new();
    for (place, card, count) in groups {
        for n in 0..*count {
            seats.push(Seat {
                id: format!("{place}-{card}-{n}").into(),
                place: Arc::from(*place),
                card: card.to_string(),
                span: None,
                movable: true,
            });
        }
    }
    seats
}

/// The engines of a fleet in three data centres.
pub fn fleet() -> Vec<Seat> {
    seats(&[
        ("a", "medium", 2),
        ("a", "small", 4),
        ("a", "tiny", 7),
        ("b", "large", 1),
        ("b", "medium", 1),
        ("b", "small", 5),
        ("b", "tiny", 7),
        ("c", "medium", 1),
        ("c", "small", 8),
        ("c", "tiny", 3),
    ])
}

/// Gives the seats what was assigned.
pub fn apply(seats: &mut [Seat], assignments: &[Assignment]) {
    for a in assignments {
        for seat in seats.iter_mut().filter(|s| s.id == a.id) {
            seat.span = Some(a.span);
        }
    }
}

/// A roster of seats that hold layers, as engines of the service `model`.
pub fn roster(seats: &[Seat]) -> Roster {
    let mut roster = Roster::default();
    for (n, seat) in seats.iter().enumerate() {
        roster.put(upstream(&seat.id, &seat.place, &seat.card, seat.span, n));
    }
    roster
}

/// One engine.
pub fn upstream(id: &str, place: &str, card: &str, span: Option<Span>, n: usize) -> Upstream {
    Upstream {
        id: id.into(),
        born: None,
        service: "model".into(),
        addr: format!("10.0.0.{n}:80"),
        place: place.into(),
        slots: 192,
        leaving: false,
        card: Some(card.into()),
        layers: span,
        models: Vec::new(),
    }
}

/// Boxes of a fleet in three data centres.
pub const BOXES: f64 = 8.0;

/// What a box of data centre `place` chooses from, at second 100.
pub fn scene<'a>(
    roster: &'a Roster,
    pipes: &'a Pipes,
    shares: &'a Shares,
    place: &'a Arc<str>,
) -> Scene<'a> {
    Scene {
        roster,
        pipes,
        shares,
        service: "model",
        place,
        lag: Duration::from_millis(100),
        stay: Duration::from_secs(2),
        boxes: BOXES,
        neighbours: BOXES / 3.0,
        together: false,
        shape: None,
        now: Duration::from_secs(100),
    }
}

/// Two engines for each half of the layers, all in one data centre.
pub fn twins() -> Roster {
    let mut roster = Roster::default();
    for (n, (id, first)) in [("a1", 0), ("a2", 0), ("b1", 40), ("b2", 40)]
        .into_iter()
        .enumerate()
    {
        let end = first + 40;
        let span = Some(Span { first, end });
        roster.put(upstream(id, "a", "large", span, n));
    }
    roster
}

/// The engines of [`fleet`] as placement gives them layers.
pub fn placed() -> Roster {
    let mut seats = fleet();
    let assignments = plan(&model(), &seats);
    apply(&mut seats, &assignments);
    roster(&seats)
}
