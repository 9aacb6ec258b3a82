//! Section `[limits]`: limits on the resources that clients and peers may use.

use std::time::Duration;

use crate::ByteSize;
use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::{CountRange, DurationRange, SizeRange};

raw_section! {
    /// Unchecked section `[limits]`.
    RawLimits {
        body_bytes = "body-bytes",
        header_bytes = "header-bytes",
        connections = "connections",
        request_timeout = "request-timeout",
        keep_alive = "keep-alive",
        stream_buffer_bytes = "stream-buffer-bytes",
    }
}

/// Limits on the resources that clients and peers may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum size of a request body.
    pub body_bytes: ByteSize,
    /// Maximum size of a request head: the request line and all headers.
    pub header_bytes: ByteSize,
    /// Maximum number of open connections of each listener.
    pub connections: u32,
    /// Timeout for receiving the head of a request, and once more for receiving its body. Slower requests are
    /// rejected.
    pub request_timeout: Duration,
    /// Idle time after which a connection is closed.
    pub keep_alive: Duration,
    /// Maximum amount of buffered data of one stream that its client hasn't read yet.
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
    const BODY: SizeRange = SizeRange { min: ByteSize::kib(1), max: ByteSize::mib(64) };
    const HEADER: SizeRange = SizeRange { min: ByteSize::kib(1), max: ByteSize::mib(1) };
    const CONNECTIONS: CountRange = CountRange { min: 1, max: 1_000_000 };
    const REQUEST_TIMEOUT: DurationRange =
        DurationRange { min: Duration::from_millis(100), max: Duration::from_secs(600) };
    const KEEP_ALIVE: DurationRange =
        DurationRange { min: Duration::from_secs(1), max: Duration::from_secs(3_600) };
    const STREAM_BUFFER: SizeRange = SizeRange { min: ByteSize::kib(4), max: ByteSize::mib(64) };
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
        problems.into_result(checked)
    }
}
