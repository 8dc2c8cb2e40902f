//! Parts of the shared state of a box. Nothing here depends on
//! [`SharedState`](super::shared_state::SharedState).

mod admissions;
mod budgets;
mod clock;
mod config_source;
mod egress;
mod liveness;
mod memory;
mod permits;
pub mod probes;
mod reach;
mod stop;

pub use admissions::{AdmissionStates, ServiceAdmission};
pub use budgets::RetryBudgets;
pub use clock::{Clock, boot_time, process_time};
pub use config_source::ConfigSource;
pub use egress::{Egress, ServiceOffers};
pub use liveness::Liveness;
pub use memory::Memory;
pub use permits::Permits;
pub use probes::Probes;
pub use reach::Reach;
pub use stop::Stop;
