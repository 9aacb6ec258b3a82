//! The text of a prompt.

use crate::trace::Request;

/// Bytes of text for one token.
const TOKEN_BYTES: usize = 4;

/// A prompt of so many tokens as the request has. Two requests with the same prefix begin with the same text.
#[must_use]
pub fn prompt(request: &Request, place: usize) -> String {
    let shared = request.prefix_tokens as usize;
    let own = request.prompt_tokens as usize - shared;
    let mut text = String::with_capacity(request.prompt_tokens as usize * TOKEN_BYTES);
    push_tokens(&mut text, u64::from(request.prefix), shared);
    push_tokens(&mut text, (1 << 32) + place as u64, own);
    text
}

/// Appends tokens that only `seed` decides: three hexadecimal digits and a space each.
fn push_tokens(text: &mut String, seed: u64, count: usize) {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    for _ in 0..count {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        text.push_str(&format!("{:03x} ", state >> 52));
    }
}
