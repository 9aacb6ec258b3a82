//! Role planning: prefill and decode capacity follow the mix.

mod demand;
mod forecast;
mod meter;
mod planner;
mod supply;
mod track;

pub use self::demand::{Demand, DemandTable};
pub use self::meter::{DemandMeter, UnitCosts};
pub use self::planner::{EngineView, Fleet, RoleChange, RolePlanner};
