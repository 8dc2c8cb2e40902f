//! Load tool: boxes as processes, stand-ins in this process, open-loop load.

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
