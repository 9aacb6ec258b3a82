//! Connections of callers.

pub(crate) mod answerer;
pub(crate) mod connection;
pub(crate) mod exchange;
pub(crate) mod incoming;
pub(crate) mod server;
