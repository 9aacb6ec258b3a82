//! How the resources of a machine bound what clients may use.

use daisychute_front::CapacityLimits;

const MIB: usize = 1024 * 1024;

/// Each case has the memory of a machine in MiB and its descriptors, and how many connections it takes.
macro_rules! cases {
    ($($name:ident: $memory_mib:expr, $descriptors:expr => $connections:expr;)*) => {$(
        #[test]
        fn $name() {
            let limits = CapacityLimits::for_machine($memory_mib, $descriptors);
            assert_eq!(limits.connections, $connections);
            // A quarter is left for bodies.
            let taken = limits.connections * CapacityLimits::CONNECTION_BYTES;
            assert!(taken <= limits.client_bytes / 4 * 3, "{taken} of {}", limits.client_bytes);
            assert_eq!(limits.client_bytes, $memory_mib as usize * MIB / 2);
        }
    )*};
}

cases! {
    descriptors_bound_the_connections: 512, 4_096 => 2_457;
    descriptors_bound_those_of_a_machine_with_less_memory: 260, 4_100 => 2_460;
    memory_bounds_those_of_a_machine_with_little: 32, 4_096 => 307;
    memory_bounds_those_of_the_smallest_machine: 16, 4_096 => 153;
}
