//! Frames: the messages of the protocol with their encoding.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    Cancel, Chunk, Credit, DecodeError, Document, EncodeError, End, Goodbye, Head, Heartbeat,
    Hello, Probe, ProbeAnswer, Pull, Refused, Resume, Start,
};

/// Maximum size of a frame, in bytes: fits a store object of 1 MiB and its envelope.
pub const MAX_FRAME_BYTES: usize = 1_114_112;

macro_rules! frames {
    ($($kind:literal $name:ident $doc:literal,)*) => {
        /// One message of the protocol.
        #[derive(Debug, Clone, PartialEq)]
        pub enum Frame {$(
            #[doc = $doc]
            $name($name),
        )*}

        impl Frame {
            /// The numbers and names of all kinds.
            pub const KINDS: &[(u8, &str)] = &[$(($kind, stringify!($name)),)*];

            /// Decodes a frame.
            ///
            /// # Errors
            ///
            /// The bytes aren't exactly one frame of a known kind. Allocations are bounded by the length of `buf`.
            pub fn decode(buf: &[u8]) -> Result<Self, DecodeError> {
                if buf.len() > MAX_FRAME_BYTES {
                    return Err(DecodeError::TooLarge { len: buf.len() });
                }
                let (&kind, body) = buf.split_first().ok_or(DecodeError::Empty)?;
                match kind {
                    $($kind => decode_message(kind, body).map(Self::$name),)*
                    _ => Err(DecodeError::UnknownKind { kind }),
                }
            }

            /// Encodes a frame.
            ///
            /// # Errors
            ///
            /// The frame would be too large, or its message can't be encoded.
            pub fn encode(&self) -> Result<Bytes, EncodeError> {
                match self {
                    $(Self::$name(message) => encode_message($kind, message),)*
                }
            }

            /// Returns the name of the frame's kind, for logs.
            #[must_use]
            pub const fn kind(&self) -> &'static str {
                match self {
                    $(Self::$name(_) => stringify!($name),)*
                }
            }
        }

        $(impl From<$name> for Frame {
            fn from(message: $name) -> Self {
                Self::$name(message)
            }
        })*
    };
}

frames! {
    1 Hello "First frame of each side.",
    2 Goodbye "Last frame of a side, with its reason for closing the connection.",
    3 Heartbeat "Sent at a fixed interval by each side while the connection is open.",
    10 Start "Entry to agent: run this request.",
    11 Head "Agent to entry: the request runs, and its response starts.",
    12 Chunk "Agent to entry: a part of the response.",
    13 End "Agent to entry: the response is complete.",
    14 Refused "Agent to entry: the request ended without a complete response.",
    15 Cancel "Entry to agent: the result of this request is no longer needed.",
    16 Credit "Entry to agent: how many bytes were received, and how many more may be sent.",
    17 Resume "Entry to agent: continue the response from this offset.",
    20 Probe "Entry to agent: asks for the load and cached blocks that a request would meet.",
    21 ProbeAnswer "Agent to entry: response to a probe.",
    30 Pull "Requests a document if the receiver's revision is newer.",
    31 Document "A copy of a replicated document.",
}

fn decode_message<M: DeserializeOwned>(kind: u8, body: &[u8]) -> Result<M, DecodeError> {
    let mut rest = body;
    let message = ciborium::from_reader(&mut rest)
        .map_err(|it| DecodeError::Malformed { kind, reason: it.to_string() })?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(DecodeError::Malformed {
            kind,
            reason: format!("{} unexpected bytes follow the message", rest.len()),
        })
    }
}

fn encode_message<M: Serialize>(kind: u8, message: &M) -> Result<Bytes, EncodeError> {
    let mut buf = vec![kind];
    ciborium::into_writer(message, &mut buf).map_err(|it| EncodeError::Message(it.to_string()))?;
    if buf.len() > MAX_FRAME_BYTES {
        Err(EncodeError::TooLarge { len: buf.len() })
    } else {
        Ok(Bytes::from(buf))
    }
}
