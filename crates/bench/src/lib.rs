//! Benchmarks of fleets and of single parts. Boxes run as processes of their own,
//! the stand-ins in this process. The policy experiments send open-loop load, except
//! `recovery`.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod bound;
pub mod call;
pub mod claim;
pub mod decision;
pub mod experiment;
pub mod fit;
pub mod load;
pub mod sample;
pub mod slopes;
pub mod world;
