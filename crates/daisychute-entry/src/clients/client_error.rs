//! Why a caller gets an error in place of an answer.

use std::time::Duration;

use actix_http::StatusCode;
use daisychute_core::{
    ClassName, NameError, Refusal, RefusalReason, RequestId, ServiceName, Verdict,
};
use daisychute_runtime::{BodyError, HeadTooLarge};
use serde::Serialize;
use thiserror::Error;

/// Why a caller gets an error in place of an answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The path is none of ours.
    #[error("there is nothing at this path")]
    NoSuchPath,
    /// The method doesn't fit the path.
    #[error("this path takes no such method")]
    NoSuchMethod,
    /// No configuration has been accepted yet.
    #[error("no configuration is in force yet")]
    NoConfiguration,
    /// The caller didn't say who it is, or its token is unknown.
    #[error("the request names no known tenant")]
    UnknownTenant,
    /// The tenant may not use this class.
    #[error("the tenant may not use the class {0}")]
    ClassNotAllowed(ClassName),
    /// A header is no text or no name.
    #[error("the header {header} is malformed")]
    BadHeader {
        /// The header.
        header: &'static str,
        /// What is wrong with it.
        #[source]
        source: Option<NameError>,
    },
    /// The head is too large.
    #[error(transparent)]
    Head(#[from] HeadTooLarge),
    /// The body could not be read.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The body is no JSON object of the expected form.
    #[error("the body is malformed: {0}")]
    Json(#[from] serde_json::Error),
    /// A field has a value that can't be served.
    #[error("the field {field} must be {accepted}")]
    BadField {
        /// The field.
        field: &'static str,
        /// What would be accepted.
        accepted: &'static str,
    },
    /// The configuration has no such model.
    #[error("there is no model {0}")]
    NoSuchModel(String),
    /// The configuration has no such service.
    #[error("there is no service {0}")]
    NoSuchService(String),
    /// The service has no route for this path.
    #[error("the service {service} has no route for {path}")]
    NoSuchRoute {
        /// The service.
        service: ServiceName,
        /// The path below it.
        path: String,
    },
    /// The request was refused after it was accepted.
    #[error("{refusal}")]
    Refused {
        /// The request.
        id: RequestId,
        /// Why.
        refusal: Refusal,
    },
    /// The process is stopping.
    #[error("the entry is stopping")]
    Stopping,
}

/// The JSON body of an error.
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
    /// The HTTP status.
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

    /// A stable word for programs.
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

    /// What is known of the request's effect. Everything that never reached an agent was not run.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Refused { refusal, .. } => refusal.verdict,
            _ => Verdict::NotRun,
        }
    }

    /// When the caller may come back.
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
