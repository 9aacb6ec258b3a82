//! Errors returned to clients, with their HTTP statuses and codes.

use std::time::Duration;

use actix_http::StatusCode;
use daisychute_core::{
    ClassName, NameError, Refusal, RefusalReason, RequestId, ServiceName, Verdict,
};
use daisychute_runtime::{BodyError, HeadTooLarge};
use serde::Serialize;
use thiserror::Error;

/// Reason why a client receives an error instead of a response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The path isn't part of the API.
    #[error("there is nothing at this path")]
    NoSuchPath,
    /// The path doesn't support the method.
    #[error("this path takes no such method")]
    NoSuchMethod,
    /// The entry has just started and has no accepted configuration yet.
    #[error("no configuration is in force yet")]
    NoConfiguration,
    /// The request has neither a known token nor the name of a tenant without token.
    #[error("the request names no known tenant")]
    UnknownTenant,
    /// The tenant isn't allowed to use this class, or the configuration doesn't define it.
    #[error("the tenant may not use the class {0}")]
    ClassNotAllowed(ClassName),
    /// A header isn't visible ASCII, isn't a valid name, or has an invalid length.
    #[error("the header {header} is malformed")]
    BadHeader {
        /// Name of the header.
        header: &'static str,
        /// Why the value isn't a valid name; `None` if it fails for another reason.
        #[source]
        source: Option<NameError>,
    },
    /// The request head exceeds the size limit.
    #[error(transparent)]
    Head(#[from] HeadTooLarge),
    /// The request body is too large, arrived too slowly or could not be read.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The request body isn't a JSON object of the expected form.
    #[error("the body is malformed: {0}")]
    Json(#[from] serde_json::Error),
    /// A field of the request body is missing or has an unsupported value.
    #[error("the field {field} must be {accepted}")]
    BadField {
        /// Name of the field.
        field: &'static str,
        /// Description of the accepted values.
        accepted: &'static str,
    },
    /// The configuration doesn't define the model or adapter.
    #[error("there is no model {0}")]
    NoSuchModel(String),
    /// The configuration doesn't define the service.
    #[error("there is no service {0}")]
    NoSuchService(String),
    /// The service has no route that matches the path.
    #[error("the service {service} has no route for {path}")]
    NoSuchRoute {
        /// Name of the service.
        service: ServiceName,
        /// Path and query below the service.
        path: String,
    },
    /// The entry or an agent refused the request after it was submitted.
    #[error("{refusal}")]
    Refused {
        /// Id of the refused request.
        id: RequestId,
        /// Reason, whether the request may have run, and the retry delay.
        refusal: Refusal,
    },
    /// The entry's task has ended because the process shuts down.
    #[error("the entry is stopping")]
    Stopping,
}

/// JSON body of an error response.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody {
    pub(crate) error: ErrorDetail,
}

#[derive(Debug, Serialize)]
pub(crate) struct ErrorDetail {
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) outcome: Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_ms: Option<u128>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) request_id: Option<String>,
}

impl ClientError {
    /// Returns the HTTP status of the error response.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::NoSuchPath
            | Self::NoSuchModel(_)
            | Self::NoSuchService(_)
            | Self::NoSuchRoute { .. } => StatusCode::NOT_FOUND,
            Self::NoSuchMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::NoConfiguration | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownTenant => StatusCode::UNAUTHORIZED,
            Self::ClassNotAllowed(_) => StatusCode::FORBIDDEN,
            Self::Head(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::Body(BodyError::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body(BodyError::TooSlow) => StatusCode::REQUEST_TIMEOUT,
            Self::BadHeader { .. } | Self::Body(_) | Self::Json(_) | Self::BadField { .. } => {
                StatusCode::BAD_REQUEST
            }
            Self::Refused { refusal, .. } => refusal_status(refusal.reason),
        }
    }

    /// Returns the error code, a stable identifier for client programs.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::NoSuchPath => "no_such_path",
            Self::NoSuchMethod => "no_such_method",
            Self::NoConfiguration => "no_configuration",
            Self::UnknownTenant => "unknown_tenant",
            Self::ClassNotAllowed(_) => "class_not_allowed",
            Self::BadHeader { .. } => "bad_header",
            Self::Head(_) => "head_too_large",
            Self::Body(BodyError::TooLarge { .. }) => "body_too_large",
            Self::Body(BodyError::TooSlow) => "body_too_slow",
            Self::Body(BodyError::Broken(_)) => "body_broken",
            Self::Json(_) => "malformed_body",
            Self::BadField { .. } => "bad_field",
            Self::NoSuchModel(_) => "no_such_model",
            Self::NoSuchService(_) => "no_such_service",
            Self::NoSuchRoute { .. } => "no_such_route",
            Self::Refused { refusal, .. } => refusal_code(refusal.reason),
            Self::Stopping => "stopping",
        }
    }

    /// Returns whether the request may have been run. Requests that were never submitted were not run.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Refused { refusal, .. } => refusal.verdict,
            _ => Verdict::NotRun,
        }
    }

    /// Returns how long the client should wait before it retries; `None` if a retry won't help or no delay is known.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { refusal, .. } => refusal.retry_after,
            Self::NoConfiguration | Self::Stopping => Some(Duration::from_secs(1)),
            _ => None,
        }
    }

    pub(crate) fn body(&self) -> ErrorBody {
        let request_id = match self {
            Self::Refused { id, .. } => Some(id.to_string()),
            _ => None,
        };
        let error = ErrorDetail {
            code: self.code(),
            message: self.to_string(),
            outcome: self.verdict(),
            retry_after_ms: self.retry_after().map(|it| it.as_millis()),
            request_id,
        };
        ErrorBody { error }
    }
}

const fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::EndpointLost | RefusalReason::BadAnswer => StatusCode::BAD_GATEWAY,
        RefusalReason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::NoEndpoint
        | RefusalReason::Leaving
        | RefusalReason::Cancelled
        | RefusalReason::RetryBudget
        | RefusalReason::PlatformDown
        | RefusalReason::MemoryBound => StatusCode::SERVICE_UNAVAILABLE,
    }
}

const fn refusal_code(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::NoEndpoint => "no_endpoint",
        RefusalReason::Leaving => "leaving",
        RefusalReason::Deadline => "deadline",
        RefusalReason::EndpointLost => "endpoint_lost",
        RefusalReason::BadAnswer => "bad_answer",
        RefusalReason::Cancelled => "cancelled",
        RefusalReason::RetryBudget => "retry_budget",
        RefusalReason::KeyReused => "key_reused",
        RefusalReason::PlatformDown => "platform_down",
        RefusalReason::MemoryBound => "memory_bound",
    }
}
