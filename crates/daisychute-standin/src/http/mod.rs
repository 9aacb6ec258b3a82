//! A small HTTP/1.1 server, shared by all stand-ins.

mod connection;
mod counting_stream;
mod incoming;
mod reply;
mod server;

pub(crate) use self::connection::Connection;
pub(crate) use self::counting_stream::ByteCount;
pub(crate) use self::incoming::Incoming;
pub(crate) use self::reply::{BodyAborted, Reply, empty, json, raw, stream, truncated};
pub(crate) use self::server::{Handler, Server};
