//! The part of an answer that the entry doesn't have yet.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};

/// The part of an answer that the entry has not acknowledged, with what may be sent of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerBuffer {
    /// Bytes after `received`, in order.
    bytes: BytesMut,
    /// Where each output token after `received` ends.
    token_ends: VecDeque<u64>,
    /// Output tokens that end at or before `received`.
    tokens_received: u32,
    /// Offset of the first byte in `bytes`.
    received: u64,
    /// Offset of the first byte that was not sent on the present connection.
    // Invariant: received <= sent <= received + bytes.len().
    sent: u64,
    /// How many bytes beyond `received` may be sent.
    window: u64,
}

impl AnswerBuffer {
    /// An empty buffer that may send `window` bytes.
    #[must_use]
    pub fn new(window: u32) -> Self {
        Self { window: u64::from(window), ..Self::default() }
    }

    /// Bytes of the answer so far.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.received + self.bytes.len() as u64
    }

    /// Bytes held.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Output tokens of the answer so far.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens_received + count(self.token_ends.len())
    }

    /// Whether everything that is held was sent.
    #[must_use]
    pub fn all_sent(&self) -> bool {
        self.sent == self.length()
    }

    /// Adds a part, which ends so many output tokens.
    pub fn push(&mut self, data: &[u8], tokens: u32) {
        self.bytes.extend_from_slice(data);
        let end = self.length();
        self.token_ends.extend((0..tokens).map(|_| end));
    }

    /// The entry has `received` bytes and takes `window` more. Returns how many bytes were let go.
    pub fn credit(&mut self, received: u64, window: u32) -> usize {
        self.window = u64::from(window);
        let received = received.clamp(self.received, self.length());
        let gone = usize::try_from(received - self.received).unwrap_or(usize::MAX);
        self.bytes.advance(gone);
        self.received = received;
        self.sent = self.sent.max(received);
        let ended = self.token_ends.partition_point(|it| *it <= received);
        self.token_ends.drain(..ended);
        self.tokens_received += count(ended);
        gone
    }

    /// The entry asks for everything after `offset` on a new connection. Returns whether that is still held.
    pub fn rewind(&mut self, offset: u64, window: u32) -> bool {
        if offset < self.received || offset > self.length() {
            return false;
        }
        self.credit(offset, window);
        self.sent = offset;
        true
    }

    /// Takes the next part that may be sent: its offset, the output tokens up to its end, and its bytes. A part never ends inside a
    /// UTF-8 sequence unless it would be empty.
    pub fn take(&mut self, most: usize) -> Option<(u64, u32, Bytes)> {
        let limit = (self.received + self.window).min(self.length());
        if self.sent >= limit {
            return None;
        }
        let offset = self.sent;
        let len = usize::try_from(limit - offset).unwrap_or(usize::MAX).min(most);
        let from = usize::try_from(offset - self.received).unwrap_or(usize::MAX);
        let len = whole_characters(&self.bytes[from..], len);
        let data = Bytes::copy_from_slice(&self.bytes[from..from + len]);
        self.sent += len as u64;
        let ended = self.token_ends.partition_point(|it| *it <= self.sent);
        let tokens = self.tokens_received + count(ended);
        Some((offset, tokens, data))
    }
}

fn count(tokens: usize) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// The longest length up to `len` that doesn't cut a UTF-8 sequence, or `len` if there is none.
fn whole_characters(bytes: &[u8], len: usize) -> usize {
    let starts_character = |at: &usize| bytes.get(*at).is_none_or(|it| it & 0xc0 != 0x80);
    (1..=len).rev().take(4).find(starts_character).unwrap_or(len)
}
