//! The I/O shell of the agent: connections from entries, the endpoint's HTTP interface and timers.

mod agent_shell;
mod completion_event;
mod completion_run;
mod endpoint_client;
mod handle;
mod input;
mod reporter;
mod service_client;
mod service_run;

pub use self::agent_shell::{AgentOptions, AgentShell};
pub use self::endpoint_client::EndpointClient;
pub use self::handle::AgentHandle;
pub(crate) use self::input::Input;
pub(crate) use self::reporter::Reporter;
