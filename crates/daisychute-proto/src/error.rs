//! Errors of encoding and decoding frames.

use thiserror::Error;

use crate::MAX_FRAME_BYTES;

/// Why bytes can't be decoded as a frame.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// There are no bytes, not even the kind.
    #[error("the frame is empty")]
    Empty,
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("the frame has {len} bytes, the maximum is {max}", max = MAX_FRAME_BYTES)]
    TooLarge {
        /// The length of the frame in bytes, kind included.
        len: usize,
    },
    /// A kind that this version doesn't know, as a newer peer may send. The frame can be skipped.
    #[error("unknown frame kind {kind}")]
    UnknownKind {
        /// The first byte of the frame.
        kind: u8,
    },
    /// The message isn't valid CBOR of the type that belongs to its kind, or bytes follow it.
    #[error("malformed frame of kind {kind}: {reason}")]
    Malformed {
        /// The first byte of the frame.
        kind: u8,
        /// The decoder's description of the error.
        reason: String,
    },
}

/// Why a frame can't be encoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// The frame would be larger than [`MAX_FRAME_BYTES`].
    #[error("the frame would have {len} bytes, the maximum is {max}", max = MAX_FRAME_BYTES)]
    TooLarge {
        /// The length of the frame in bytes, kind included.
        len: usize,
    },
    /// The CBOR encoder failed, with its description of the error.
    #[error("the message can't be encoded: {0}")]
    Message(String),
}
