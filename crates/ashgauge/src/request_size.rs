//! How much a request has to read and to write.

use crate::routing::Model;

/// Factor by which a request is taken to differ from the usual one at the most: callers'
/// figures are not checked, and an absurd one must not outweigh all else.
const MAX_SIZE_RATIO: u32 = 8;

/// Tokens that a request has to read and to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens that are read before the next event.
    pub prompt: u32,
    /// Tokens that are still to be written.
    pub output: u32,
    /// Tokens that are read if the request goes on as a stream.
    pub(crate) resume_prompt: u32,
}

impl RequestSize {
    /// The shape of a usual request.
    pub fn typical(model: &Model) -> Self {
        RequestSize::new(model.typical_prompt, model.typical_output)
    }

    /// The shape of a request by its caller's figures, of which 0 stands for an unknown
    /// one; they are bounded to 1/8 to 8 times the usual ones.
    pub fn clamped(prompt: u32, answer: u32, model: &Model) -> Self {
        RequestSize::new(
            clamp_tokens(prompt, model.typical_prompt),
            clamp_tokens(answer, model.typical_output),
        )
    }

    /// The shape of the rest of a request of which so many tokens are written, which are
    /// read together with its prompt.
    ///
    /// An answer that is longer than expected has at least an eighth of a usual one left.
    pub fn after_tokens(self, written: u32, model: &Model) -> Self {
        let (least, most) = token_range(model.typical_output);
        let written = written.min(most);
        let prompt = self.prompt.saturating_add(written);
        RequestSize {
            prompt,
            output: self.output.saturating_sub(written).max(least),
            resume_prompt: prompt,
        }
    }

    /// The shape of the rest of a request after so many events of its answer.
    pub fn after_events(self, events: u64, model: &Model) -> Self {
        let tokens = events.saturating_mul(u64::from(model.event_tokens));
        self.after_tokens(tokens.try_into().unwrap_or(u32::MAX), model)
    }

    /// A stream that goes on is in the middle of its answer, if nothing else is known.
    fn new(prompt: u32, answer: u32) -> Self {
        RequestSize {
            prompt,
            output: answer,
            resume_prompt: prompt.saturating_add(answer / 2),
        }
    }
}

fn clamp_tokens(tokens: u32, usual: u32) -> u32 {
    let (least, most) = token_range(usual);
    match tokens {
        0 => usual,
        known => known.clamp(least, most),
    }
}

fn token_range(usual: u32) -> (u32, u32) {
    (usual / MAX_SIZE_RATIO, usual.saturating_mul(MAX_SIZE_RATIO))
}
