//! # ashgauge
//!
//! Coordination logic of a router for pipelines that run language models over mixed
//! accelerators. Every component is a state machine without I/O: it takes events, each with
//! the time at which it happened, and returns actions to perform. So a daemon, a test and the
//! replay of a recorded session can run the same code.
//!
//! A [`Node`] contains the whole logic of one box:
//!
//! ```
//! use std::time::Duration;
//! use ashgauge::{Config, Event, Node};
//!
//! let mut node = Node::new(Config::new("box-1", 1));
//! let actions = node.handle(Duration::ZERO, Event::Tick);
//! // A new node first reads the table from the platform.
//! assert!(!actions.is_empty());
//! assert!(!node.is_ready(Duration::ZERO));
//! ```
//!
//! The components can be used separately. This finds the cheapest chain of engines for all
//! layers of a model:
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
//! - [`table`], [`policy`], [`editor`]: the operators' table, its compiled form, and edits of
//!   it.
//! - [`queue`], [`limit`], [`retry`]: the order of waiting requests, rate limits shared by the
//!   fleet, and the retry budget.
//! - [`chain`], [`upstream_stats`]: the stages that serve a request, and statistics about
//!   upstreams.
//! - [`claim`], [`lease`], [`order`]: at-most-once requests, a lease with a single holder, and
//!   orders with fencing tokens.
//! - [`ident`], [`member`], [`message`]: boxes and upstreams, and the messages between boxes.
//! - [`clock`], [`record`]: the timeline of recorded events.
//! - [`routing`], [`registry`], [`load_report`], [`hub`], [`context`]: what a box knows of
//!   services, upstreams and other boxes.
//! - [`selection`], [`cost`], [`request_size`], [`wan`], [`slack`], [`admission`],
//!   [`request_duration`]: which upstreams get a request, and whether there is capacity for it.
//! - [`placement`], [`throughput`], [`pending`]: which engines hold which layers.
//! - [`attempts`], [`digest`], [`quarantine`], [`crashing_part`], [`gossip`], [`events`], [`freshness`], [`suspension`]: the
//!   handling of requests that are forwarded as a whole.
//! - [`class`], [`demand`], [`pressure`], [`estimate`], [`level`], [`report`]: which requests
//!   are admitted when callers ask for more than the engines can serve in time.
//! - [`forecast`]: when a chain will deliver the first event of a stream, and the intervals
//!   between the next ones.
//! - [`recovery`]: the budget for repairing stalled streams.
//! - [`suspicion`]: reports between boxes of engines that do not accept connections.
//! - [`reachability`], [`egress`]: whether the box reaches any upstream at all, and requests
//!   sent through other boxes while it does not.
//! - [`permit`]: limits that upstreams announce for all boxes together, and permits to send.
//! - [`mirror`], [`revision`], [`reader`], [`query`], [`poller`]: the content of a store that
//!   few boxes read and all boxes need, also after the store was restored from a backup.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod admission;
pub mod attempts;
pub mod chain;
pub mod claim;
pub mod class;
pub mod clock;
pub mod completion_time;
pub mod context;
pub mod cost;
pub mod crashing_part;
pub mod demand;
pub mod digest;
pub mod editor;
pub mod egress;
mod error;
pub mod estimate;
pub mod events;
pub mod forecast;
pub mod freshness;
pub mod gossip;
pub mod hub;
pub mod ident;
pub mod lease;
pub mod level;
pub mod limit;
pub mod liveness;
pub mod load_report;
mod loss_report;
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
pub mod reachability;
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
mod staleness;
pub mod suspension;
pub mod suspicion;
pub mod table;
pub mod throughput;
pub mod upstream;
pub mod upstream_state;
pub mod upstream_stats;
pub mod wan;
pub mod weight_share;

pub use error::{Category, Error, Result};
pub use node::{Action, Config, Event, Node};
