//! The planner and the collector of a data centre: decision cores and their shells.
