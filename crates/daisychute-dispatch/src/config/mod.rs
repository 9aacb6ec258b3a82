//! Configuration that a dispatcher works by: routes, services and client limits.

pub(crate) mod accounts;
pub(crate) mod backends;
pub(crate) mod client_limits;
pub(crate) mod engine_spec;
pub(crate) mod request_kind;
pub(crate) mod route;
pub(crate) mod route_table;
pub(crate) mod service_spec;
