//! Errors of the object API and their HTTP responses.

use actix_http::StatusCode;
use actix_http::header::RETRY_AFTER;
use serde::Serialize;
use thiserror::Error;

use crate::http::{Reply, json};

/// The reason why the API refuses a call. The `Debug` text is the `reason` of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum ApiError {
    #[error("there is no such object")]
    NotFound,
    #[error("there is such an object already")]
    AlreadyExists,
    #[error("the object has changed since the version given")]
    Conflict,
    #[error("the version given is too old")]
    Expired,
    #[error("the object is too large")]
    RequestEntityTooLarge,
    #[error("too many calls")]
    TooManyRequests,
    #[error("the platform is not available")]
    ServiceUnavailable,
    #[error("the object is malformed")]
    Invalid,
    #[error("there is no such call")]
    MethodNotAllowed,
}

/// JSON body of an error response.
#[derive(Serialize)]
struct Status<'a> {
    kind: &'a str,
    status: &'a str,
    reason: String,
    code: u16,
    message: String,
}

impl ApiError {
    fn code(self) -> StatusCode {
        match self {
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::AlreadyExists | Self::Conflict => StatusCode::CONFLICT,
            Self::Expired => StatusCode::GONE,
            Self::RequestEntityTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooManyRequests => StatusCode::TOO_MANY_REQUESTS,
            Self::ServiceUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::Invalid => StatusCode::BAD_REQUEST,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        }
    }

    /// Converts the error to a response.
    pub(super) fn reply(self) -> Reply {
        let status = Status {
            kind: "Status",
            status: "Failure",
            reason: format!("{self:?}"),
            code: self.code().as_u16(),
            message: self.to_string(),
        };
        let mut reply = json(self.code(), &status);
        if self == Self::TooManyRequests {
            reply
                .headers_mut()
                .insert(RETRY_AFTER, actix_http::header::HeaderValue::from_static("1"));
        }
        reply
    }
}
