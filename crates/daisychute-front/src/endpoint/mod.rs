//! The HTTP client for endpoints: connections, calls and responses.

pub(crate) mod response_reader;
pub(crate) mod activity;
pub(crate) mod body_end;
pub(crate) mod body_meter;
pub(crate) mod call;
pub(crate) mod connection;
pub(crate) mod cache_query;
mod control_call;
pub(crate) mod health_check;
pub(crate) mod looks;
pub(crate) mod pool;
pub(crate) mod presence;
pub(crate) mod release;
