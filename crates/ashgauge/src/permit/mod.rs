//! Upstreams in need name how many requests a second they take from all boxes together.

mod limits;

pub use limits::{Limits, Told};
