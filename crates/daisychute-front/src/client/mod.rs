//! The HTTP server for clients.

pub(crate) mod response_writer;
pub(crate) mod body;
pub(crate) mod body_room;
pub(crate) mod connection;
pub(crate) mod exchange;
pub(crate) mod fingerprint;
pub(crate) mod incoming;
pub(crate) mod server;
