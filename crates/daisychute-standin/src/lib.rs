//! Stand-ins for the platform, an engine and a plain service, for tests and the demo.
//!
//! Each stand-in runs as a subcommand of the program `daisychute-standin` and inside a test through its type here.
//! All of them are single-threaded and need a running `actix_rt` system.
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
//!     let answer = client.get("/apis/daisychute.dev/v1/plans/morocco").await?;
//!     assert_eq!(answer.status, 200);
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
