//! # ashgauge
//!
//! Coordination parts of a router for pipelines that run language models over
//! mixed accelerators. Every part is a state machine without I/O: events go in
//! with the time at which they happened, actions come out. A daemon, a test
//! and a recorded session drive the same code.
//!
//! The whole of one box is a [`Node`]:
//!
//! ```
//! use std::time::Duration;
//! use ashgauge::{Config, Event, Node};
//!
//! let mut node = Node::new(Config::new("box-1", 1));
//! let actions = node.handle(Duration::ZERO, Event::Tick);
//! // A fresh node asks the platform for the table.
//! assert!(!actions.is_empty());
//! assert!(!node.is_ready(Duration::ZERO));
//! ```
//!
//! The parts can be used alone. The cheapest chain of engines over a model's
//! layers:
//!
//! ```
//! use ashgauge::chain::{cheapest_chain, Edge};
//!
//! let edge = |id: &str, first, end, layer_cost| Edge {
//!     upstream: id.into(), first, end, fixed_cost: 0.0, layer_cost, data_centre: 0,
//! };
//! let edges = [edge("slow", 0, 8, 0.02), edge("fast", 0, 4, 0.01), edge("rest", 4, 8, 0.01)];
//! let chain = cheapest_chain(0, 8, &edges).unwrap();
//! assert_eq!(chain.len(), 2);
//! ```
//!
//! - [`table`], [`policy`], [`editor`]: the operators' table, its compiled form
//!   and its edits.
//! - [`queue`], [`limit`], [`retry`]: order, limits shared by the fleet, retry
//!   budget.
//! - [`chain`], [`upstream_stats`]: which stages serve a request, and what was learned.
//! - [`claim`], [`lease`], [`order`]: at most once, one doer, fenced orders.
//! - [`ident`], [`member`], [`message`]: boxes and upstreams, and what boxes tell each
//!   other.
//! - [`clock`], [`record`]: the time line.
//! - [`routing`], [`registry`], [`load_report`], [`hub`], [`context`]: what a box knows of services,
//!   upstreams and other boxes.
//! - [`selection`], [`cost`], [`request_size`], [`wan`], [`slack`], [`admission`], [`request_duration`]: where a
//!   request goes, and whether there is room for it.
//! - [`placement`], [`throughput`], [`pending`]: which engines hold which layers.
//! - [`attempts`], [`digest`], [`quarantine`], [`events`], [`freshness`], [`suspension`]: what
//!   a box owes a request that it hands on whole.
//! - [`class`], [`demand`], [`pressure`], [`estimate`], [`level`], [`report`]: who is let in
//!   where callers ask for more than engines can do in time.
//! - [`forecast`]: when a chain brings the first event of a stream, and how far apart the
//!   next are.
//! - [`recovery`]: how much is done for streams that are held up.
//! - [`suspicion`]: what boxes tell each other of engines that accept no connections.
//! - [`permit`]: limits that upstreams name for all boxes together, and who may send.
//! - [`mirror`], [`revision`], [`reader`], [`query`], [`poller`]: a store that few boxes
//!   read and all know, also where it comes back from a copy.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod admission;
pub mod attempts;
pub mod chain;
pub mod claim;
pub mod class;
pub mod clock;
pub mod context;
pub mod cost;
pub mod demand;
pub mod digest;
pub mod editor;
mod error;
pub mod estimate;
pub mod events;
pub mod forecast;
pub mod freshness;
pub mod hub;
pub mod ident;
pub mod lease;
pub mod level;
pub mod limit;
pub mod load_report;
pub mod member;
pub mod message;
pub mod mirror;
pub mod node;
pub mod notice;
pub mod order;
pub mod pending;
pub mod permit;
pub mod placement;
pub mod policy;
pub mod poller;
pub mod pressure;
pub mod progress;
pub mod quarantine;
pub mod query;
pub mod queue;
pub mod reader;
pub mod record;
pub mod recovery;
pub mod registry;
pub mod report;
pub mod request_duration;
pub mod request_size;
pub mod retry;
pub mod revision;
pub mod routing;
pub mod selection;
pub mod silence;
pub mod slack;
pub mod suspension;
pub mod suspicion;
pub mod table;
pub mod throughput;
pub mod upstream;
pub mod upstream_state;
pub mod upstream_stats;
pub mod wan;

pub use error::{Category, Error, Result};
pub use node::{Action, Config, Event, Node};
