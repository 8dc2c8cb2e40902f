//! How much a request has to read and to write.

use crate::routing::Model;

/// Factor by which a request is taken to differ from the usual one at the most: callers'
/// figures are not checked, and an absurd one must not outweigh all else.
const RANGE: u32 = 8;

/// Tokens that a request has to read and to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Tokens that are read before the next event.
    pub prompt: u32,
    /// Tokens that are still to be written.
    pub answer: u32,
    /// Tokens that are read if the request goes on as a stream.
    pub(crate) reread: u32,
}

impl Shape {
    /// The shape of a usual request.
    pub fn usual(model: &Model) -> Self {
        Shape::new(model.prompt, model.answer)
    }

    /// The shape of a request by its caller's figures, of which 0 stands for an unknown
    /// one; they are bounded to 1/8 to 8 times the usual ones.
    pub fn of(prompt: u32, answer: u32, model: &Model) -> Self {
        Shape::new(bounded(prompt, model.prompt), bounded(answer, model.answer))
    }

    /// The shape of the rest of a request of which so many tokens are written, which are
    /// read together with its prompt.
    ///
    /// An answer that is longer than expected has at least an eighth of a usual one left.
    pub fn after(self, written: u32, model: &Model) -> Self {
        let (least, most) = range(model.answer);
        let written = written.min(most);
        let prompt = self.prompt.saturating_add(written);
        Shape {
            prompt,
            answer: self.answer.saturating_sub(written).max(least),
            reread: prompt,
        }
    }

    /// The shape of the rest of a request after so many events of its answer.
    pub fn after_events(self, events: u64, model: &Model) -> Self {
        let tokens = events.saturating_mul(u64::from(model.event_tokens));
        self.after(tokens.try_into().unwrap_or(u32::MAX), model)
    }

    /// A stream that goes on is in the middle of its answer, if nothing else is known.
    fn new(prompt: u32, answer: u32) -> Self {
        Shape {
            prompt,
            answer,
            reread: prompt.saturating_add(answer / 2),
        }
    }
}

fn bounded(tokens: u32, usual: u32) -> u32 {
    let (least, most) = range(usual);
    match tokens {
        0 => usual,
        known => known.clamp(least, most),
    }
}

fn range(usual: u32) -> (u32, u32) {
    (usual / RANGE, usual.saturating_mul(RANGE))
}
