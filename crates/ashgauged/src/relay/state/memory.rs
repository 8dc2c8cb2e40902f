//! Memory of this box for messages.

use http::Budget;

/// Parts of the memory for each kind of message: bodies of callers, answers of upstreams, and
/// what the store and other boxes send. None takes that of another.
const SHARES: (usize, usize, usize) = (2, 3, 2);

/// Memory for messages, by who sends them.
#[derive(Debug)]
pub struct Memory {
    /// Bodies of callers' requests.
    pub callers: Budget,
    /// Answers and reports of upstreams, as far as they are held here.
    pub upstreams: Budget,
    /// What the store and other boxes send.
    pub platform: Budget,
}

impl Memory {
    /// Divides so many bytes.
    pub fn new(bytes: usize) -> Self {
        let (callers, upstreams, platform) = SHARES;
        let part = bytes / (callers + upstreams + platform);
        Memory {
            callers: Budget::new(part * callers),
            upstreams: Budget::new(part * upstreams),
            platform: Budget::new(part * platform),
        }
    }

    /// Returns the budgets, each with its name.
    pub fn budgets(&self) -> [(&'static str, &Budget); 3] {
        [
            ("callers", &self.callers),
            ("upstreams", &self.upstreams),
            ("platform", &self.platform),
        ]
    }
}
