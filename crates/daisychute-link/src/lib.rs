//! Connections of the protocol between processes: opening, accepting, framing and timeouts.
//!
//! A [`Link`] is one WebSocket connection to another process. It carries [`Frame`](daisychute_proto::Frame)s in both
//! directions and reports to its owner by [`LinkEvent`]s. It makes no decisions: which processes are connected, what is
//! sent again and when a heartbeat is sent are up to the owner.
//!
//! ```no_run
//! use daisychute_link::{LinkConfig, LinkId, connect};
//! # async fn example(hello: daisychute_proto::Hello) {
//! let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
//! connect("127.0.0.1:4100".parse().unwrap(), LinkId::new(1), hello, LinkConfig::default(), tx);
//! while let Some(event) = rx.recv().await {
//!     println!("{event:?}");
//! }
//! # }
//! ```

mod config;
mod documents;
mod down;
mod event;
mod id;
mod link;
mod shell;

pub use crate::config::LinkConfig;
pub use crate::documents::Documents;
pub use crate::down::DownReason;
pub use crate::event::LinkEvent;
pub use crate::id::LinkId;
pub use crate::link::Link;
pub use crate::shell::{accept, connect};
