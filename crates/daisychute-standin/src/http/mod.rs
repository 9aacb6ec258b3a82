//! The small HTTP/1.1 server that all stand-ins share.

mod connection;
mod counted;
mod incoming;
mod reply;
mod server;

pub(crate) use self::connection::Connection;
pub(crate) use self::counted::ByteCount;
pub(crate) use self::incoming::Incoming;
pub(crate) use self::reply::{Cut, Reply, empty, json, raw, stream, truncated};
pub(crate) use self::server::{Handler, Server};
