//! Role planning: moves engines between prefill and decode as the mix of demand changes.

mod demand;
mod forecast;
mod meter;
mod planner;
mod engine_capacity;
mod demand_trend;

pub use self::demand::{Demand, DemandTable};
pub use self::meter::{DemandMeter, UnitCosts};
pub use self::planner::{EngineView, Fleet, RoleChange, RolePlanner};
