//! The callers' interface: from raw HTTP to a checked submission, and from parts of an answer back to HTTP.

mod answer;
mod answer_body;
mod client_error;
mod client_headers;
mod completion_format;
mod completion_request;
mod handler;
mod service_request;

pub(crate) use self::answer::AnswerParts;
pub use self::client_error::ClientError;
pub use self::client_headers::ClientHeaders;
pub use self::completion_format::CompletionFormat;
pub use self::completion_request::CompletionRequest;
pub use self::handler::ClientApi;
pub use self::service_request::ServiceRequest;
