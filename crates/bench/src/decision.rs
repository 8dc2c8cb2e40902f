//! What the decisions of a box cost that hands requests on whole, by engines.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ashgauge::choice;
use ashgauge::pipes::Pipes;
use ashgauge::placement::{self, Seat};
use ashgauge::roster::Roster;
use ashgauge::routing::{Card, Model};
use ashgauge::scene::Scene;
use ashgauge::shape::Shape;
use ashgauge::share::Shares;
use ashgauge::upstream::Upstream;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::slopes::Point;

/// Engines of one service.
const ENGINES: [usize; 4] = [300, 1000, 3000, 6000];

/// Data centres over which they are spread.
const PLACES: usize = 5;

/// Kinds of accelerators, with their part of a hundred engines.
const CARDS: [(&str, usize); 4] = [("large", 2), ("medium", 8), ("small", 45), ("tiny", 45)];

/// Chains that are chosen for one figure.
const CHOICES: u32 = 20;

const MODEL: &str = "model";

/// Milliseconds of a plan for engines that hold nothing, and of one for the same
/// engines at rest.
pub fn plans() -> (Vec<Point>, Vec<Point>) {
    let model = model();
    let (mut first, mut rest) = (Vec::new(), Vec::new());
    for engines in ENGINES {
        let mut seats = seats(engines);
        let began = Instant::now();
        let ranges = placement::plan(&model, &seats);
        first.push((engines as f64, millis(began)));
        for (seat, range) in seats.iter_mut().zip(sorted(ranges)) {
            seat.span = Some(range.span);
        }
        let began = Instant::now();
        black_box(placement::plan(&model, &seats));
        rest.push((engines as f64, millis(began)));
    }
    (first, rest)
}

/// Milliseconds of choosing a chain over the whole model for a usual request, and for
/// one with a long prompt, by its own shape.
pub fn chains() -> (Vec<Point>, Vec<Point>) {
    let model = model();
    let long = Shape::of(4 * model.prompt, model.answer, &model);
    let (mut usual, mut shaped) = (Vec::new(), Vec::new());
    for engines in ENGINES {
        usual.push((engines as f64, chain(&model, engines, None)));
        shaped.push((engines as f64, chain(&model, engines, Some(long))));
    }
    (usual, shaped)
}

fn chain(model: &Model, engines: usize, shape: Option<Shape>) -> f64 {
    let seats = seats(engines);
    let ranges = sorted(placement::plan(model, &seats));
    let mut roster = Roster::default();
    for (seat, range) in seats.into_iter().zip(ranges) {
        roster.put(Upstream {
            id: seat.id,
            born: None,
            service: MODEL.into(),
            addr: "10.0.0.1:80".into(),
            place: seat.place,
            slots: 192,
            leaving: false,
            card: Some(seat.card),
            layers: Some(range.span),
            models: Vec::new(),
        });
    }
    let (pipes, shares, place) = (Pipes::default(), Shares::default(), Arc::from("place-0"));
    let scene = Scene {
        roster: &roster,
        pipes: &pipes,
        shares: &shares,
        service: MODEL,
        place: &place,
        lag: Duration::from_millis(100),
        stay: Duration::from_secs(2),
        boxes: 1000.0,
        neighbours: 200.0,
        together: false,
        shape,
        now: Duration::from_secs(100),
    };
    let (all, mut rng) = (choice::whole(model.layers), SmallRng::seed_from_u64(1));
    let began = Instant::now();
    for _ in 0..CHOICES {
        black_box(choice::chain(&scene, model, all, &[], None, &mut rng));
    }
    millis(began) / f64::from(CHOICES)
}

/// Ranges in the order of the seats.
fn sorted(mut ranges: Vec<placement::Assignment>) -> Vec<placement::Assignment> {
    ranges.sort_by(|a, b| a.id.cmp(&b.id));
    ranges
}

/// Engines in the order of their ids.
fn seats(engines: usize) -> Vec<Seat> {
    let kinds = CARDS.iter();
    let kinds = kinds.flat_map(|(card, part)| std::iter::repeat_n(*card, *part));
    let kinds: Vec<&str> = kinds.collect();
    let seat = |n: usize| Seat {
        id: format!("engine-{n:05}").into(),
        place: format!("place-{}", n % PLACES).into(),
        card: kinds[n / PLACES % kinds.len()].into(),
        span: None,
        movable: true,
    };
    (0..engines).map(seat).collect()
}

fn model() -> Model {
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
        event_tokens: 3,
        read_rate: 236_000.0,
        load: Duration::from_secs(14),
        loads: 6,
        prompt: 772,
        answer: 140,
        activation_mb: 0.0295,
        pipe_mb: 650.0,
        cards: [
            ("large".to_string(), card(72_000.0, 1.4, 1.0)),
            ("medium".to_string(), card(36_000.0, 3.1, 3.2)),
            ("small".to_string(), card(22_000.0, 16.0, 8.2)),
            ("tiny".to_string(), card(14_400.0, 15.0, 15.0)),
        ]
        .into(),
    }
}

fn millis(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}
