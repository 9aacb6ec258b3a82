//! How the resources of a machine bound what clients may use.

use daisychute_front::CapacityLimits;

const MIB: usize = 1024 * 1024;
/// Memory of the program itself, in MiB.
const PROGRAM_MIB: usize = 20;

/// Each case has the memory of a machine in MiB and its descriptors, and how many connections and requests it takes.
macro_rules! cases {
    ($($name:ident: $memory_mib:expr, $descriptors:expr => $connections:expr, $requests:expr;)*) => {$(
        #[test]
        fn $name() {
            let limits = CapacityLimits::for_machine($memory_mib, $descriptors);
            assert_eq!((limits.connections, limits.requests), ($connections, $requests));
            assert!(limits.unreserved_requests() < limits.requests);
            // A quarter is left for bodies.
            let taken = limits.connections * CapacityLimits::CONNECTION_BYTES;
            assert!(taken <= limits.client_bytes / 4 * 3, "{taken} of {}", limits.client_bytes);
            let all = limits.client_bytes + limits.requests * 96 * 1024;
            let rest = ($memory_mib as usize * MIB).saturating_sub(PROGRAM_MIB * MIB);
            assert!(all <= rest || $memory_mib < 2 * PROGRAM_MIB, "{all} of {rest}");
        }
    )*};
}

cases! {
    descriptors_bound_the_connections: 512, 4_096 => 2_457, 1_312;
    descriptors_bound_those_of_a_machine_with_less_memory: 260, 4_100 => 2_460, 640;
    memory_bounds_those_of_a_machine_with_little: 32, 4_096 => 172, 32;
    memory_bounds_those_of_the_smallest_machine: 16, 4_096 => 76, 10;
}
