//! Text of the prompts of a live replay.

use crate::trace::Request;

/// Bytes of text for one token of a prompt.
const TOKEN_BYTES: usize = 4;

/// Prompt text with as many tokens as the request has. Requests with the same prefix begin with the same text; the rest
/// is unique to `index`, the index of the request in the trace.
#[must_use]
pub fn prompt(request: &Request, index: usize) -> String {
    let prefix_tokens = request.prefix_tokens as usize;
    let own_tokens = request.prompt_tokens as usize - prefix_tokens;
    let mut text = String::with_capacity(request.prompt_tokens as usize * TOKEN_BYTES);
    push_tokens(&mut text, u64::from(request.prefix), prefix_tokens);
    push_tokens(&mut text, (1 << 32) + index as u64, own_tokens);
    text
}

/// Appends pseudorandom tokens that depend on `seed` only: three hexadecimal digits and a space each.
fn push_tokens(text: &mut String, seed: u64, count: usize) {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    for _ in 0..count {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        text.push_str(&format!("{:03x} ", state >> 52));
    }
}
