//! The frame: one message of the protocol.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    Cancel, Chunk, Credit, DecodeError, Document, EncodeError, End, Goodbye, Head, Heartbeat,
    Hello, Probe, ProbeAnswer, Pull, Refused, Resume, Start,
};

/// The largest frame, in bytes: a platform object of 1 MiB and its envelope.
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
            /// All kinds, each with its name.
            pub const KINDS: &[(u8, &str)] = &[$(($kind, stringify!($name)),)*];

            /// Reads a frame.
            ///
            /// # Errors
            ///
            /// Whatever is not exactly one frame of a known kind. Allocation is bounded by the length of `buf`.
            pub fn decode(buf: &[u8]) -> Result<Self, DecodeError> {
                if buf.len() > MAX_FRAME_BYTES {
                    return Err(DecodeError::TooLarge { len: buf.len() });
                }
                let (&kind, body) = buf.split_first().ok_or(DecodeError::Empty)?;
                match kind {
                    $($kind => read(kind, body).map(Self::$name),)*
                    _ => Err(DecodeError::UnknownKind { kind }),
                }
            }

            /// Writes a frame.
            ///
            /// # Errors
            ///
            /// The frame would be too large, or its message can't be written.
            pub fn encode(&self) -> Result<Bytes, EncodeError> {
                match self {
                    $(Self::$name(message) => write($kind, message),)*
                }
            }

            /// The name of its kind, for logs.
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
    2 Goodbye "Last frame of a side that closes the connection.",
    3 Heartbeat "Sent by each side while the connection is open.",
    10 Start "Entry to agent: run this request.",
    11 Head "Agent to entry: the request runs, and its answer begins.",
    12 Chunk "Agent to entry: a part of the answer.",
    13 End "Agent to entry: the answer is whole.",
    14 Refused "Agent to entry: the request ends without a whole answer.",
    15 Cancel "Entry to agent: nobody waits for this request any more.",
    16 Credit "Entry to agent: how much was taken, and how much more may be sent.",
    17 Resume "Entry to agent: go on with the answer from this offset.",
    20 Probe "Entry to agent: what would a request like this meet.",
    21 ProbeAnswer "Agent to entry: answer to a probe.",
    30 Pull "Send me this document if yours is newer.",
    31 Document "A document that lives on the platform.",
}

fn read<M: DeserializeOwned>(kind: u8, body: &[u8]) -> Result<M, DecodeError> {
    let mut rest = body;
    let message = ciborium::from_reader(&mut rest)
        .map_err(|it| DecodeError::Malformed { kind, reason: it.to_string() })?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(DecodeError::Malformed {
            kind,
            reason: format!("{} bytes follow the message", rest.len()),
        })
    }
}

fn write<M: Serialize>(kind: u8, message: &M) -> Result<Bytes, EncodeError> {
    let mut buf = vec![kind];
    ciborium::into_writer(message, &mut buf).map_err(|it| EncodeError::Message(it.to_string()))?;
    if buf.len() > MAX_FRAME_BYTES {
        Err(EncodeError::TooLarge { len: buf.len() })
    } else {
        Ok(Bytes::from(buf))
    }
}
