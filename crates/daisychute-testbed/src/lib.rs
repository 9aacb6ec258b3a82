//! Runs complete deployments of real processes and stand-ins on loopback, for the demo, tests and measurements.
//!
//! daisychute itself starts no processes; only this test support does.
//!
//! ```no_run
//! use daisychute_testbed::{Deployment, DeploymentSpec};
//!
//! # async fn example() -> Result<(), daisychute_testbed::TestbedError> {
//! let spec = DeploymentSpec::rabat_sale().engines(2).services(1).entries(2);
//! let mut deployment = Deployment::start(spec).await?;
//! println!("clients connect to {}", deployment.entry(0).client_addr());
//! deployment.stop().await?;
//! # Ok(())
//! # }
//! ```

mod addr;
mod configuration;
mod deployment;
mod error;
mod load;
mod node;
mod operator;
mod deployment_spec;

pub use crate::addr::ReservedAddr;
pub use crate::configuration::configuration;
pub use crate::deployment::Deployment;
pub use crate::deployment_spec::DeploymentSpec;
pub use crate::error::TestbedError;
pub use crate::load::{Fault, Load, Report};
pub use crate::node::{AgentNode, EntryNode};
pub use crate::operator::CommandOutput;
