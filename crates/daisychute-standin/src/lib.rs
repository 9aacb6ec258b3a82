//! Stand-ins for the platform, an engine and a plain service, for tests and the demo.
//!
//! Each stand-in runs as a subcommand of the program `daisychute-standin` and inside a test through its type here.
//! All of them are single-threaded and need a running `actix_rt` system.

mod error;
mod http;

pub mod engine;
pub mod harness;
pub mod platform;
pub mod relay;
pub mod service;

pub use crate::engine::Engine;
pub use crate::error::StandinError;
pub use crate::platform::Platform;
pub use crate::relay::Relay;
pub use crate::service::Service;
