//! Parts of the shared state of a box. Nothing here depends on
//! [`SharedState`](super::shared_state::SharedState).

mod budgets;
mod clock;
mod gates;
mod permits;
pub mod probes;

pub use budgets::RetryBudgets;
pub use clock::{Clock, boot_time};
pub use gates::{AdmissionStates, ServiceAdmission};
pub use permits::Permits;
pub use probes::Probes;
