//! One request of a trace.

use daisychute_core::Time;
use daisychute_policy::prefix::{BLOCK_TOKENS, MAX_BLOCKS};
use serde::{Deserialize, Serialize};

/// One request of a trace. Its line is the array of its fields in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Line", into = "Line")]
pub struct Request {
    /// Milliseconds after the start.
    pub at_ms: u32,
    /// Place of its class in the header.
    pub class: u8,
    /// Place of its tenant in the header.
    pub tenant: u8,
    /// Tokens of its prompt; zero for a call.
    pub prompt_tokens: u32,
    /// Which shared prefix the prompt begins with.
    pub prefix: u32,
    /// Tokens of that prefix.
    // Invariant: at most `prompt_tokens`.
    pub prefix_tokens: u32,
    /// Tokens that the answer has.
    pub output_tokens: u32,
    /// The greatest number of tokens that the caller allows.
    // Invariant: at least `output_tokens`.
    pub max_tokens: u32,
}

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
    /// When it arrives.
    #[must_use]
    pub fn at(&self) -> Time {
        Time::from_millis(u64::from(self.at_ms))
    }

    /// Hashes of the blocks of its shared prefix.
    #[must_use]
    pub fn blocks(&self) -> Vec<u64> {
        let whole = (self.prefix_tokens / BLOCK_TOKENS) as usize;
        (0..whole.min(MAX_BLOCKS)).map(|it| block(self.prefix, it)).collect()
    }
}

fn block(prefix: u32, place: usize) -> u64 {
    let base = (u64::from(prefix) << 32) + place as u64 + 1;
    base.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
