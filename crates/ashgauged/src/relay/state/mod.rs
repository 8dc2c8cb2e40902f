//! What the desk holds and the tasks use. Nothing here knows the desk.

mod budgets;
mod clock;
mod gates;
mod permits;
pub mod probes;

pub use budgets::Budgets;
pub use clock::{Clock, boot_time};
pub use gates::{Gates, State};
pub use permits::Permits;
pub use probes::Probes;
