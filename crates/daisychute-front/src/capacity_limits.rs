//! How much a front can handle on its machine.

/// Maximum load of a front, derived from the memory and file descriptors of its machine.
///
/// Requests and connections beyond the limits are refused at once, before they take memory or descriptors from accepted
/// ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityLimits {
    /// Maximum number of requests in flight.
    pub requests: usize,
    /// Maximum number of open client connections.
    pub connections: usize,
    /// Maximum number of bytes that clients make the front hold at once: their connections, and the bodies of requests.
    pub client_bytes: usize,
}

impl CapacityLimits {
    /// Memory of the program itself, in KiB.
    const PROGRAM_KIB: u64 = 20 * 1_024;
    /// Requests may take the memory beside the program divided by this; what nobody may take is for the rest.
    const REQUEST_DIVISOR: u64 = 4;
    /// Memory per request, in KiB: a long prompt and a response.
    const REQUEST_KIB: u64 = 96;
    /// Eighths of the memory beside the program that connections and bodies may take.
    const CLIENT_EIGHTHS: u64 = 6;
    /// Where the program takes most of the memory, connections and bodies may take the total divided by this.
    const MIN_CLIENT_DIVISOR: u64 = 4;
    /// Tenths of the descriptors that client connections may take; the rest is for endpoints, the directory and files.
    const CLIENT_DESCRIPTOR_TENTHS: u64 = 6;
    /// Memory per client connection, in bytes: its task and buffers, and what the system has received for it.
    pub const CONNECTION_BYTES: usize = 40 * 1_024;
    /// Size of the system's receive buffer of a client connection, in bytes. The system may hold three quarters more.
    pub const RECEIVE_BUFFER_BYTES: usize = 16 * 1_024;
    /// Size of the system's receive buffer while a large body arrives, in bytes, so that its client sends at full speed.
    pub const LARGE_RECEIVE_BUFFER_BYTES: usize = 64 * 1_024;
    /// What the system may hold in such a buffer, in bytes. It is part of the body's memory meanwhile.
    pub const LARGE_RECEIVED_BYTES: usize = 112 * 1_024;
    /// Size of the system's send buffer of a client connection, in bytes: what a client may leave unread before the front
    /// notices.
    pub const SEND_BUFFER_BYTES: usize = 64 * 1_024;
    /// Quarters of the clients' memory that their connections may take; the rest is for bodies.
    const CONNECTION_QUARTERS: usize = 3;

    /// Streams and pipelined requests leave the limit of requests divided by this to others.
    const RESERVE_DIVISOR: usize = 8;

    /// Number of requests in flight up to which streams are accepted, and requests that a client pipelines.
    #[must_use]
    pub const fn unreserved_requests(self) -> usize {
        self.requests - self.requests / Self::RESERVE_DIVISOR
    }

    /// Returns the limits for a machine with `memory_mib` MiB of memory and `descriptors` file descriptors.
    #[must_use]
    pub const fn for_machine(memory_mib: u32, descriptors: u32) -> Self {
        let memory = memory_mib as u64 * 1_024;
        let rest = memory.saturating_sub(Self::PROGRAM_KIB);
        let min_requests = memory / Self::MIN_CLIENT_DIVISOR / Self::REQUEST_DIVISOR;
        let requests = max(rest / Self::REQUEST_DIVISOR, min_requests) / Self::REQUEST_KIB;
        let min_clients = memory / Self::MIN_CLIENT_DIVISOR;
        let client_kib = max(rest * Self::CLIENT_EIGHTHS / 8, min_clients);
        let client_bytes = client_kib as usize * 1_024;
        let by_memory = client_bytes / 4 * Self::CONNECTION_QUARTERS / Self::CONNECTION_BYTES;
        let by_descriptors = (descriptors as u64 * Self::CLIENT_DESCRIPTOR_TENTHS / 10) as usize;
        let connections = if by_memory < by_descriptors { by_memory } else { by_descriptors };
        Self { requests: requests as usize, connections, client_bytes }
    }
}

const fn max(a: u64, b: u64) -> u64 {
    if a > b { a } else { b }
}
