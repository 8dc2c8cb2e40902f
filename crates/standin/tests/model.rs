//! Checks that the text of the toy model changes if a layer is skipped, repeated
//! or run out of order; otherwise the tests that compare texts would miss such
//! faults. Also checks the usage text of the program.

use standin::model::{Layers, reference, sample};

fn run(order: &[(u32, u32)], prompt: &str) -> String {
    let mut parts: Vec<Layers> = order.iter().map(|(a, b)| Layers::new(*a, *b)).collect();
    let mut output = 0;
    for b in prompt.bytes() {
        output = parts.iter_mut().fold(u64::from(b), |x, p| p.run(x));
    }
    let mut text = String::new();
    for _ in 0..8 {
        let (id, piece) = sample(output);
        text.push_str(&piece);
        output = parts.iter_mut().fold(id, |x, p| p.run(x));
    }
    text
}

#[test]
fn split_layers_give_the_whole_models_text() {
    assert_eq!(run(&[(0, 3), (3, 8)], "pay"), reference(8, "pay", 8));
}

#[test]
fn missing_doubled_or_swapped_layers_give_another_text() {
    let whole = reference(8, "pay", 8);
    for wrong in [&[(0, 3), (4, 8)][..], &[(0, 4), (3, 8)], &[(4, 8), (0, 4)]] {
        assert_ne!(run(wrong, "pay"), whole);
    }
}

#[test]
fn program_prints_its_usage() {
    let program = env!("CARGO_BIN_EXE_standin");
    let output = std::process::Command::new(program)
        .arg("--help")
        .output()
        .unwrap();
    assert!(String::from_utf8_lossy(&output.stdout).contains("standin link"));
}
