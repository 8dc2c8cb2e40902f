//! A budget that keeps retries a small share of first tries.

/// Retries saved up at most.
const SAVED_MOST: f64 = 20.0;

/// Allows one retry for every so many first tries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    share: f64,
    saved: f64,
}

impl Budget {
    /// Makes a budget of `share` retries for each first try, 0 to 1.
    pub fn new(share: f64) -> Self {
        Budget {
            share,
            saved: SAVED_MOST / 2.0,
        }
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED_MOST);
    }

    /// Takes one retry out; returns false if none is left.
    pub fn take(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
