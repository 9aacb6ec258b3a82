//! The client HTTP API: parses and validates requests, and writes response parts back as HTTP.

mod client_error;
mod client_headers;
mod completion_format;
mod completion_request;
mod handler;
mod response_body;
mod response_parts;
mod service_request;

pub use self::client_error::ClientError;
pub use self::client_headers::ClientHeaders;
pub use self::completion_format::CompletionFormat;
pub use self::completion_request::CompletionRequest;
pub use self::handler::ClientApi;
pub(crate) use self::response_parts::ResponseParts;
pub use self::service_request::ServiceRequest;
