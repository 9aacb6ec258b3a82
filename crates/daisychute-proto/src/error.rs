//! Errors of the codec.

use thiserror::Error;

use crate::MAX_FRAME_BYTES;

/// Why bytes are no frame.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// There is not even a kind.
    #[error("the frame is empty")]
    Empty,
    /// It is larger than [`MAX_FRAME_BYTES`].
    #[error("the frame has {len} bytes, at most {max} are allowed", max = MAX_FRAME_BYTES)]
    TooLarge {
        /// Its length in bytes.
        len: usize,
    },
    /// A newer peer sent a kind that this version doesn't know. It may be passed over.
    #[error("the frame kind {kind} is unknown")]
    UnknownKind {
        /// The kind.
        kind: u8,
    },
    /// The message is not what its kind says.
    #[error("the frame of kind {kind} is malformed: {reason}")]
    Malformed {
        /// The kind.
        kind: u8,
        /// What the decoder said.
        reason: String,
    },
}

/// Why a frame can't be sent.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// It would be larger than [`MAX_FRAME_BYTES`].
    #[error("the frame would have {len} bytes, at most {max} are allowed", max = MAX_FRAME_BYTES)]
    TooLarge {
        /// Its length in bytes.
        len: usize,
    },
    /// The message can't be written as CBOR.
    #[error("the message can't be encoded: {0}")]
    Message(String),
}
