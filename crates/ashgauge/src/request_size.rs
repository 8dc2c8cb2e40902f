//! Size of a request: the tokens that it has to read and to write.

use crate::routing::Model;

/// Maximum factor by which a request is assumed to differ from the typical one. The numbers
/// that callers give are not checked, and an absurd one must not outweigh everything else.
const MAX_SIZE_RATIO: u32 = 8;

/// Tokens that a request has to read and to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens to read before the next event.
    pub prompt: u32,
    /// Tokens left to generate.
    pub output: u32,
    /// Tokens to read if the request is continued as a stream on other engines.
    pub(crate) resume_prompt: u32,
}

impl RequestSize {
    /// Returns the size of a typical request.
    pub fn typical(model: &Model) -> Self {
        RequestSize::new(model.typical_prompt, model.typical_output)
    }

    /// Returns the size of a request by the numbers of its caller, where 0 means unknown.
    /// They are limited to 1/8 to 8 times the typical ones.
    pub fn clamped(prompt: u32, output: u32, model: &Model) -> Self {
        RequestSize::new(
            clamp_tokens(prompt, model.typical_prompt),
            clamp_tokens(output, model.typical_output),
        )
    }

    /// Returns the size of the rest of a request of which `generated` tokens exist, which
    /// are read together with its prompt.
    ///
    /// An answer that is longer than expected has at least an eighth of a typical one left.
    pub fn after_tokens(self, generated: u32, model: &Model) -> Self {
        let (min, max) = token_range(model.typical_output);
        let generated = generated.min(max);
        let prompt = self.prompt.saturating_add(generated);
        RequestSize {
            prompt,
            output: self.output.saturating_sub(generated).max(min),
            resume_prompt: prompt,
        }
    }

    /// Returns the size of the rest of a request after so many events of its answer.
    pub fn after_events(self, events: u64, model: &Model) -> Self {
        let tokens = events.saturating_mul(u64::from(model.event_tokens));
        self.after_tokens(tokens.try_into().unwrap_or(u32::MAX), model)
    }

    /// Creates the size of a request. A stream that is continued is assumed to be in the
    /// middle of its answer, as long as nothing else is known.
    fn new(prompt: u32, output: u32) -> Self {
        RequestSize {
            prompt,
            output,
            resume_prompt: prompt.saturating_add(output / 2),
        }
    }
}

fn clamp_tokens(tokens: u32, typical: u32) -> u32 {
    let (min, max) = token_range(typical);
    match tokens {
        0 => typical,
        known => known.clamp(min, max),
    }
}

fn token_range(typical: u32) -> (u32, u32) {
    (
        typical / MAX_SIZE_RATIO,
        typical.saturating_mul(MAX_SIZE_RATIO),
    )
}
