//! Role planning: prefill and decode capacity follow the mix.

mod demand;
mod planner;

pub use self::demand::{Demand, DemandTable};
pub use self::planner::{EngineView, Fleet, RoleChange, RolePlanner};
