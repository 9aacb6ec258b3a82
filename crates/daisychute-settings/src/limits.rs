//! Section `[limits]`: bounds on what callers and peers may use.

use std::time::Duration;

use crate::ByteSize;
use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::{Count, Size, Span};

raw_section! {
    /// Section `[limits]` as it stands in the file.
    RawLimits {
        body_bytes = "body-bytes",
        header_bytes = "header-bytes",
        connections = "connections",
        request_timeout = "request-timeout",
        keep_alive = "keep-alive",
        stream_buffer_bytes = "stream-buffer-bytes",
    }
}

/// Bounds on what callers and peers may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// The largest body of a request.
    pub body_bytes: ByteSize,
    /// The largest head of a request: its line and all headers.
    pub header_bytes: ByteSize,
    /// The most open connections of one listener.
    pub connections: u32,
    /// The time in which a request must arrive whole; a slower sender is cut off.
    pub request_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub keep_alive: Duration,
    /// The most that one stream may have unread by its caller.
    pub stream_buffer_bytes: ByteSize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: ByteSize::mib(4),
            header_bytes: ByteSize::kib(32),
            connections: 4_096,
            request_timeout: Duration::from_secs(10),
            keep_alive: Duration::from_secs(60),
            stream_buffer_bytes: ByteSize::kib(256),
        }
    }
}

impl LimitSettings {
    const BODY: Size = Size { min: ByteSize::kib(1), max: ByteSize::mib(64) };
    const HEADER: Size = Size { min: ByteSize::kib(1), max: ByteSize::mib(1) };
    const CONNECTIONS: Count = Count { min: 1, max: 1_000_000 };
    const REQUEST_TIMEOUT: Span =
        Span { min: Duration::from_millis(100), max: Duration::from_secs(600) };
    const KEEP_ALIVE: Span = Span { min: Duration::from_secs(1), max: Duration::from_secs(3_600) };
    const STREAM_BUFFER: Size = Size { min: ByteSize::kib(4), max: ByteSize::mib(64) };
}

impl TryFrom<&RawLimits> for LimitSettings {
    type Error = Problems;

    fn try_from(raw: &RawLimits) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let mut checked = Self::default();
        problems.set(&mut checked.body_bytes, raw.body_bytes.optional(&Self::BODY));
        problems.set(&mut checked.header_bytes, raw.header_bytes.optional(&Self::HEADER));
        problems.set(&mut checked.connections, raw.connections.optional(&Self::CONNECTIONS));
        let request_timeout = raw.request_timeout.optional(&Self::REQUEST_TIMEOUT);
        problems.set(&mut checked.request_timeout, request_timeout);
        problems.set(&mut checked.keep_alive, raw.keep_alive.optional(&Self::KEEP_ALIVE));
        let stream_buffer = raw.stream_buffer_bytes.optional(&Self::STREAM_BUFFER);
        problems.set(&mut checked.stream_buffer_bytes, stream_buffer);
        problems.none_or(checked)
    }
}
