//! Requests of a trace.

use daisychute_core::Time;
use daisychute_policy::prefix::{BLOCK_TOKENS, MAX_BLOCKS};
use serde::{Deserialize, Serialize};

/// One request of a trace. In the file, it is the array of its fields in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Line", into = "Line")]
pub struct Request {
    /// Arrival, in milliseconds after the start of the trace.
    pub at_ms: u32,
    /// Index of the class in the header.
    pub class: u8,
    /// Index of the tenant in the header.
    pub tenant: u8,
    /// Length of the prompt in tokens; zero for a call.
    pub prompt_tokens: u32,
    /// Number of the shared prefix that the prompt begins with.
    pub prefix: u32,
    /// Length of that prefix in tokens.
    // Invariant: at most `prompt_tokens`.
    pub prefix_tokens: u32,
    /// Length of the response in tokens.
    pub output_tokens: u32,
    /// Maximum length of the response that the client allows, in tokens.
    // Invariant: at least `output_tokens`.
    pub max_tokens: u32,
}

/// The fields of a request as they are in the file.
type Line = (u32, u8, u8, u32, u32, u32, u32, u32);

impl From<Line> for Request {
    fn from(line: Line) -> Self {
        Self {
            at_ms: line.0,
            class: line.1,
            tenant: line.2,
            prompt_tokens: line.3,
            prefix: line.4,
            prefix_tokens: line.5.min(line.3),
            output_tokens: line.6,
            max_tokens: line.7.max(line.6),
        }
    }
}

impl From<Request> for Line {
    fn from(it: Request) -> Self {
        (
            it.at_ms,
            it.class,
            it.tenant,
            it.prompt_tokens,
            it.prefix,
            it.prefix_tokens,
            it.output_tokens,
            it.max_tokens,
        )
    }
}

impl Request {
    /// Time of arrival.
    #[must_use]
    pub fn at(&self) -> Time {
        Time::from_millis(u64::from(self.at_ms))
    }

    /// Hashes of the whole blocks of the shared prefix.
    #[must_use]
    pub fn blocks(&self) -> Vec<u64> {
        let whole_blocks = (self.prefix_tokens / BLOCK_TOKENS) as usize;
        (0..whole_blocks.min(MAX_BLOCKS)).map(|it| block_hash(self.prefix, it)).collect()
    }
}

/// Hash of one block of a prefix.
fn block_hash(prefix: u32, index: usize) -> u64 {
    let base = (u64::from(prefix) << 32) + index as u64 + 1;
    base.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
