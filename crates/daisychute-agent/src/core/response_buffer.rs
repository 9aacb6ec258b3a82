//! Buffers the part of a response that the entry has not acknowledged.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};

/// The unacknowledged part of a response, with the credit window that limits what may be sent of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseBuffer {
    /// Response bytes from offset `received` on.
    bytes: BytesMut,
    /// End offset of each output token that ends after `received`, ascending.
    token_ends: VecDeque<u64>,
    /// Number of output tokens that end at or before `received`.
    tokens_received: u32,
    /// Offset of the first byte in `bytes`, up to which the entry has acknowledged.
    received: u64,
    /// Offset of the first byte not yet sent on the current connection.
    // Invariant: received <= sent <= received + bytes.len().
    sent: u64,
    /// Credit: number of bytes after `received` that may be sent.
    window: u64,
}

impl ResponseBuffer {
    /// An empty buffer with an initial credit of `window` bytes.
    #[must_use]
    pub fn new(window: u32) -> Self {
        Self { window: u64::from(window), ..Self::default() }
    }

    /// Length of the response so far, in bytes, including acknowledged ones.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.received + self.bytes.len() as u64
    }

    /// Number of unacknowledged bytes in memory.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Number of output tokens of the response so far.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens_received + saturating_u32(self.token_ends.len())
    }

    /// Whether every buffered byte was sent on the current connection.
    #[must_use]
    pub fn all_sent(&self) -> bool {
        self.sent == self.length()
    }

    /// Appends data at whose end `tokens` further output tokens are complete.
    pub fn push(&mut self, data: &[u8], tokens: u32) {
        self.bytes.extend_from_slice(data);
        let end = self.length();
        self.token_ends.extend((0..tokens).map(|_| end));
    }

    /// Applies the entry's credit: it has `received` bytes and accepts `window` more. Returns the number of bytes
    /// released.
    pub fn credit(&mut self, received: u64, window: u32) -> usize {
        self.window = u64::from(window);
        let received = received.clamp(self.received, self.length());
        let released = usize::try_from(received - self.received).unwrap_or(usize::MAX);
        self.bytes.advance(released);
        self.received = received;
        self.sent = self.sent.max(received);
        let ended = self.token_ends.partition_point(|it| *it <= received);
        self.token_ends.drain(..ended);
        self.tokens_received += saturating_u32(ended);
        released
    }

    /// Resends from `offset` on, for a new connection. Returns `false` and changes nothing if that part is no longer
    /// buffered or doesn't exist yet.
    pub fn rewind(&mut self, offset: u64, window: u32) -> bool {
        if offset < self.received || offset > self.length() {
            return false;
        }
        self.credit(offset, window);
        self.sent = offset;
        true
    }

    /// Returns the next part to send, at most `max_bytes` long: its offset, the number of output tokens up to its end,
    /// and its bytes. A part never ends inside a UTF-8 sequence unless it would otherwise be empty.
    pub fn take(&mut self, max_bytes: usize) -> Option<(u64, u32, Bytes)> {
        let limit = (self.received + self.window).min(self.length());
        if self.sent >= limit {
            return None;
        }
        let offset = self.sent;
        let len = usize::try_from(limit - offset).unwrap_or(usize::MAX).min(max_bytes);
        let from = usize::try_from(offset - self.received).unwrap_or(usize::MAX);
        let len = complete_utf8_length(&self.bytes[from..], len);
        let data = Bytes::copy_from_slice(&self.bytes[from..from + len]);
        self.sent += len as u64;
        let ended = self.token_ends.partition_point(|it| *it <= self.sent);
        let tokens = self.tokens_received + saturating_u32(ended);
        Some((offset, tokens, data))
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// The greatest length up to `len` that doesn't split a UTF-8 sequence, or `len` if there is none.
fn complete_utf8_length(bytes: &[u8], len: usize) -> usize {
    let is_char_boundary = |at: &usize| bytes.get(*at).is_none_or(|it| it & 0xc0 != 0x80);
    (1..=len).rev().take(4).find(is_char_boundary).unwrap_or(len)
}
