//! Stand-ins for the platform, a model engine, a plain service and a network path, for tests and the demo.
//!
//! Each stand-in can be run as a subcommand of the program `daisychute-standin`, or started within a test through its
//! type in this crate. All of them are single-threaded and need a running `actix_rt` system.
//!
//! ```
//! use daisychute_standin::Platform;
//! use daisychute_standin::harness::{ANY_PORT, Client};
//! use daisychute_standin::platform::PlatformConfig;
//! use serde_json::json;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! actix_rt::System::new().block_on(async {
//!     let platform = Platform::start(ANY_PORT, PlatformConfig::default()).await?;
//!     platform.put("plans", "morocco", json!({"revision": 1}));
//!     let client = Client::new(platform.local_addr());
//!     let response = client.get("/apis/daisychute.dev/v1/plans/morocco").await?;
//!     assert_eq!(response.status, 200);
//!     Ok(())
//! })
//! # }
//! ```

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
