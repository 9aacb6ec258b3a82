//! Utilities shared by the I/O shells: the process clock, HTTP listeners with limits, shutdown signals.
//!
//! ```no_run
//! use std::convert::Infallible;
//!
//! use actix_http::{Request, Response, StatusCode};
//! use daisychute_runtime::{HttpLimits, HttpServer};
//!
//! # async fn example() -> std::io::Result<()> {
//! let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), HttpLimits::default())?;
//! println!("listening {}", server.local_addr());
//! server.serve(|_req: Request| async { Ok::<_, Infallible>(Response::new(StatusCode::NO_CONTENT)) }).await
//! # }
//! ```

mod check_head;
mod clock;
mod http_limits;
mod http_server;
mod labels;
mod never_sent;
mod read_body;
mod signal;
mod stop_listening;

pub use crate::check_head::{HeadTooLarge, check_head};
pub use crate::clock::Clock;
pub use crate::http_limits::HttpLimits;
pub use crate::http_server::HttpServer;
pub use crate::labels::Labels;
pub use crate::never_sent::never_sent;
pub use crate::read_body::{BodyError, read_body};
pub use crate::signal::{ignore_hangups, stop_requested};
pub use crate::stop_listening::stop_listening;
