//! The agent: the one process that gives its endpoint work and orders.

pub mod orders;
