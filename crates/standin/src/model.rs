//! A toy model whose text depends on every layer running exactly once, in order.
//!
//! Each layer keeps a state that every position changes, like a key-value cache.
//! If a layer is skipped, run twice or run out of order, the text changes.

use ashgauge::node::StageValue;

/// State of a range of layers of one session.
#[derive(Clone, Debug)]
pub struct Layers {
    first: u32,
    states: Vec<u64>,
}

impl Layers {
    /// Creates the initial state of layers `first..end`.
    pub fn new(first: u32, end: u32) -> Self {
        let states = (first..end).map(|l| mix(0x5eed, u64::from(l))).collect();
        Layers { first, states }
    }

    /// Runs one position through the layers and returns the output.
    pub fn run(&mut self, input: StageValue) -> StageValue {
        let mut x = input;
        for (i, state) in self.states.iter_mut().enumerate() {
            *state = mix(*state, x);
            x = mix(x, *state ^ u64::from(self.first + i as u32));
        }
        x
    }
}

/// Decodes the output of the last layer to a token: its id and its text.
pub fn sample(output: StageValue) -> (StageValue, String) {
    let id = u64::from(b'a') + output % 26;
    let text = char::from(id as u8).to_string();
    (id, text)
}

/// Returns the text that the whole model of `layers` layers generates for a
/// prompt.
pub fn reference(layers: u32, prompt: &str, tokens: u32) -> String {
    let mut model = Layers::new(0, layers);
    let mut output = 0;
    for b in prompt.bytes() {
        output = model.run(u64::from(b));
    }
    let mut text = String::new();
    for _ in 0..tokens {
        let (id, piece) = sample(output);
        text.push_str(&piece);
        output = model.run(id);
    }
    text
}

fn mix(a: u64, b: u64) -> u64 {
    let x = (a ^ b.rotate_left(23)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x ^ (x >> 29)
}
