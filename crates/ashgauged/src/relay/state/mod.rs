//! What the desk holds and the tasks use. Nothing here knows the desk.

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
