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
    /// Maximum number of bytes of request bodies that are held at once.
    pub body_bytes: usize,
}

impl CapacityLimits {
    /// Requests may take the total memory divided by this; the rest is for the program and the kernel's buffers.
    const MEMORY_DIVISOR: u64 = 4;
    /// Memory per request, in KiB: a long prompt and a response.
    const REQUEST_KIB: u64 = 96;
    /// Bodies may take the total memory divided by this.
    const BODY_DIVISOR: u64 = 2;
    /// Tenths of the descriptors that client connections may take; the rest is for endpoints, the directory and files.
    const CLIENT_DESCRIPTOR_TENTHS: u64 = 6;

    /// Returns the limits for a machine with `memory_mib` MiB of memory and `descriptors` file descriptors.
    #[must_use]
    pub const fn for_machine(memory_mib: u32, descriptors: u32) -> Self {
        let requests = memory_mib as u64 * 1_024 / Self::MEMORY_DIVISOR / Self::REQUEST_KIB;
        let connections = descriptors as u64 * Self::CLIENT_DESCRIPTOR_TENTHS / 10;
        let body_bytes = memory_mib as u64 * 1_024 * 1_024 / Self::BODY_DIVISOR;
        Self {
            requests: requests as usize,
            connections: connections as usize,
            body_bytes: body_bytes as usize,
        }
    }
}
