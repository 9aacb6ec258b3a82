//! The protocol between the processes of daisychute.
//!
//! One WebSocket message contains one [`Frame`]: a byte for its kind, then its fields in CBOR. Unknown fields are
//! ignored and missing optional ones take their default, so that adjacent versions are compatible; [`Hello`] describes
//! how other versions are handled.
//!
//! ```
//! use daisychute_core::{Incarnation, RequestId};
//! use daisychute_proto::{Cancel, Frame};
//!
//! let frame = Frame::from(Cancel { id: RequestId::new(Incarnation::new(7), 1) });
//! let bytes = frame.encode()?;
//! assert_eq!(Frame::decode(&bytes)?, frame);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod document;
mod error;
mod frame;
mod heartbeat;
mod hello;
mod probe;
mod start;
mod stream;

pub use daisychute_core::{ProcessRole, Revisions};

pub use crate::document::{Document, DocumentKind, Pull};
pub use crate::error::{DecodeError, EncodeError};
pub use crate::frame::{Frame, MAX_FRAME_BYTES};
pub use crate::heartbeat::Heartbeat;
pub use crate::hello::{Goodbye, GoodbyeReason, Hello, PROTOCOL_VERSION};
pub use crate::probe::{Probe, ProbeAnswer};
pub use crate::start::{Call, ChatMessage, Completion, Prompt, Start, Work};
pub use crate::stream::{Cancel, Chunk, Credit, End, Head, Refused, Resume};
