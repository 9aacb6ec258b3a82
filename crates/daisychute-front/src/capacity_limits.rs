//! What a front can carry on its machine.

/// The most that a front takes on at once, by the memory and descriptors of its machine.
///
/// What is beyond is refused at once, before it takes memory or descriptors from what was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityLimits {
    /// Requests under way.
    pub requests: usize,
    /// Connections of callers.
    pub connections: usize,
}

impl CapacityLimits {
    /// The part of the memory that requests may take; the rest is for the program and the system's buffers.
    const MEMORY_PART: u64 = 4;
    /// Memory of a request, in KiB: a long prompt, its copy on the way to an endpoint, and an answer.
    const REQUEST_KIB: u64 = 96;
    /// The part of the descriptors that callers may take, in tenths; the rest is for endpoints, the store and files.
    const DESCRIPTOR_TENTHS: u64 = 6;

    /// What a machine of this memory, in MiB, and so many descriptors carries.
    #[must_use]
    pub const fn for_machine(memory_mib: u32, descriptors: u32) -> Self {
        let requests = memory_mib as u64 * 1_024 / Self::MEMORY_PART / Self::REQUEST_KIB;
        let connections = descriptors as u64 * Self::DESCRIPTOR_TENTHS / 10;
        Self { requests: requests as usize, connections: connections as usize }
    }
}
