//! HTTP handler of the client API.

use std::convert::Infallible;
use std::time::{SystemTime, UNIX_EPOCH};

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::{self, HeaderValue};
use actix_http::{Method, Request, Response, ResponseBuilder, StatusCode};
use bytes::{Bytes, BytesMut};
use daisychute_core::{Configuration, FinishReason, ModelName, Tenant, Usage};
use daisychute_proto::{Call, Work};
use daisychute_runtime::{HttpLimits, check_head, read_body};
use serde::Serialize;
use uuid::Uuid;

use super::response_body::{completion_events, error_json, service_bytes};
use super::{
    ClientError, ClientHeaders, CompletionFormat, CompletionRequest, ResponseParts, ServiceRequest,
};
use crate::core::{ResponsePart, Submission};
use crate::shell::EntryHandle;

const COMPLETIONS_PATH: &str = "/v1/completions";
const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";
const MODELS_PATH: &str = "/v1/models";
const HEALTH_PATH: &str = "/healthz";
const READINESS_PATH: &str = "/readyz";
const CONTENT_TYPE_JSON: &str = "application/json";
const CONTENT_TYPE_EVENT_STREAM: &str = "text/event-stream";

/// HTTP handler that serves the client API.
#[derive(Debug, Clone)]
pub struct ClientApi {
    entry: EntryHandle,
    limits: HttpLimits,
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelItem<'a>>,
}

#[derive(Serialize)]
struct ModelItem<'a> {
    id: &'a ModelName,
    object: &'static str,
}

impl ClientApi {
    /// Creates a handler that submits requests to the entry behind `entry`. `limits` bounds request heads and bodies.
    #[must_use]
    pub const fn new(entry: EntryHandle, limits: HttpLimits) -> Self {
        Self { entry, limits }
    }

    /// Handles one request.
    ///
    /// # Errors
    ///
    /// Never: errors become responses.
    pub async fn handle(self, mut req: Request) -> Result<Response<BoxBody>, Infallible> {
        let mut res = match self.route(&mut req).await {
            Ok(res) => res,
            Err(error) => error_response(&error),
        };
        if self.entry.is_shutdown_announced() {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(res)
    }

    async fn route(&self, req: &mut Request) -> Result<Response<BoxBody>, ClientError> {
        check_head(req, &self.limits)?;
        let path = req.path().to_owned();
        match path.as_str() {
            HEALTH_PATH => Ok(Response::with_body(StatusCode::OK, BoxBody::new("ok\n"))),
            READINESS_PATH => Ok(self.readiness()),
            MODELS_PATH => self.models(),
            COMPLETIONS_PATH => self.completion(req, false).await,
            CHAT_COMPLETIONS_PATH => self.completion(req, true).await,
            path if ServiceRequest::matches(path) => self.call(req).await,
            _ => Err(ClientError::NoSuchPath),
        }
    }

    fn readiness(&self) -> Response<BoxBody> {
        if self.entry.is_ready() {
            Response::with_body(StatusCode::OK, BoxBody::new("ready\n"))
        } else {
            Response::with_body(StatusCode::SERVICE_UNAVAILABLE, BoxBody::new("not ready\n"))
        }
    }

    fn models(&self) -> Result<Response<BoxBody>, ClientError> {
        let cfg = self.entry.configuration().ok_or(ClientError::NoConfiguration)?;
        let data = cfg.models.keys().map(|id| ModelItem { id, object: "model" }).collect();
        let body = serde_json::to_string(&ModelList { object: "list", data })?;
        Ok(respond(StatusCode::OK, CONTENT_TYPE_JSON, body))
    }

    async fn completion(
        &self,
        req: &mut Request,
        chat: bool,
    ) -> Result<Response<BoxBody>, ClientError> {
        if req.method() != Method::POST {
            return Err(ClientError::NoSuchMethod);
        }
        let headers = ClientHeaders::try_from(&*req)?;
        let body = read_body(req, &self.limits).await?;
        let cfg = self.entry.configuration().ok_or(ClientError::NoConfiguration)?;
        let tenant = headers.tenant(&cfg)?;
        let parsed = CompletionRequest::parse(&body, chat, &cfg)?;
        let model = parsed.completion.model.clone();
        let work = Work::Completion(parsed.completion);
        let submission = submission(&headers, &cfg, tenant, None, work, parsed.continuable)?;
        let mut parts = self.entry.submit(submission).await.ok_or(ClientError::Stopping)?;
        let format = CompletionFormat::new(chat, parts.id(), model, unix_seconds());
        match parts.next().await {
            Some(ResponsePart::Refused(refusal)) => {
                Err(ClientError::Refused { id: parts.id(), refusal })
            }
            Some(ResponsePart::Head { status, content_type, .. })
                if status != StatusCode::OK.as_u16() =>
            {
                Ok(stream_response(status, content_type, parts))
            }
            _ if parsed.stream => Ok(respond(
                StatusCode::OK,
                CONTENT_TYPE_EVENT_STREAM,
                BodyStream::new(completion_events(parts, format)),
            )),
            _ => collect_completion(parts, &format).await,
        }
    }

    async fn call(&self, req: &mut Request) -> Result<Response<BoxBody>, ClientError> {
        let headers = ClientHeaders::try_from(&*req)?;
        let body = read_body(req, &self.limits).await?;
        let cfg = self.entry.configuration().ok_or(ClientError::NoConfiguration)?;
        let tenant = headers.tenant(&cfg)?;
        let path_and_query = req.uri().path_and_query().map_or("", |it| it.as_str());
        let resolved = ServiceRequest::resolve(path_and_query, &cfg)?;
        let work = Work::Call(call(req, &headers, &resolved, body));
        let submission =
            submission(&headers, &cfg, tenant, resolved.route.class.as_ref(), work, false)?;
        let mut parts = self.entry.submit(submission).await.ok_or(ClientError::Stopping)?;
        match parts.next().await {
            Some(ResponsePart::Head { status, content_type, .. }) => {
                Ok(stream_response(status, content_type, parts))
            }
            Some(ResponsePart::Refused(refusal)) => {
                Err(ClientError::Refused { id: parts.id(), refusal })
            }
            _ => Err(ClientError::Stopping),
        }
    }
}

fn call(
    req: &Request,
    headers: &ClientHeaders,
    resolved: &ServiceRequest<'_>,
    body: Bytes,
) -> Call {
    let repeatable = resolved.repeatable();
    // A generated key is a UUIDv7: it contains its creation time and is unique across entries.
    let generated_key = || (!repeatable).then(|| Uuid::now_v7().to_string());
    let content_type = req.head().headers().get(header::CONTENT_TYPE);
    Call {
        service: resolved.service.name.clone(),
        method: req.method().as_str().to_owned(),
        path: resolved.path.to_owned(),
        content_type: content_type.and_then(|it| it.to_str().ok()).map(str::to_owned),
        body,
        key: headers.key.clone().or_else(generated_key),
        repeatable,
    }
}

fn submission(
    headers: &ClientHeaders,
    cfg: &Configuration,
    tenant: &Tenant,
    route_class: Option<&daisychute_core::ClassName>,
    work: Work,
    continuable: bool,
) -> Result<Submission, ClientError> {
    let class = headers.class(cfg, tenant, route_class)?;
    Ok(Submission {
        tenant: tenant.name.clone(),
        class: class.name.clone(),
        precedence: class.precedence,
        deadline: class.deadline(),
        first_token: class.targets.first_token,
        between_tokens: class.targets.between_tokens,
        work,
        continuable,
    })
}

async fn collect_completion(
    mut parts: ResponseParts,
    format: &CompletionFormat,
) -> Result<Response<BoxBody>, ClientError> {
    let mut text = BytesMut::new();
    while let Some(part) = parts.next().await {
        match part {
            ResponsePart::Head { .. } => {}
            ResponsePart::Data { data, .. } => text.extend_from_slice(&data),
            ResponsePart::End { finish, usage } => {
                return completion_response(format, &text, finish, usage);
            }
            ResponsePart::Refused(refusal) => {
                return Err(ClientError::Refused { id: parts.id(), refusal });
            }
        }
    }
    Err(ClientError::Stopping)
}

fn completion_response(
    format: &CompletionFormat,
    text: &[u8],
    finish: Option<FinishReason>,
    usage: Usage,
) -> Result<Response<BoxBody>, ClientError> {
    let body = format.response(&String::from_utf8_lossy(text), finish, usage)?;
    Ok(respond(StatusCode::OK, CONTENT_TYPE_JSON, body))
}

/// Streams an endpoint's response to the client unchanged.
fn stream_response(
    status: u16,
    content_type: Option<String>,
    parts: ResponseParts,
) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = content_type.unwrap_or_else(|| "application/octet-stream".to_owned());
    respond(status, &content_type, BodyStream::new(Box::pin(service_bytes(parts))))
}

fn respond(
    status: StatusCode,
    content_type: &str,
    body: impl MessageBody + 'static,
) -> Response<BoxBody> {
    ResponseBuilder::new(status)
        .insert_header((header::CONTENT_TYPE, content_type))
        .body(BoxBody::new(body))
        .map_into_boxed_body()
}

fn error_response(error: &ClientError) -> Response<BoxBody> {
    let mut builder = ResponseBuilder::new(error.status());
    builder.insert_header((header::CONTENT_TYPE, CONTENT_TYPE_JSON));
    if let Some(delay) = error.retry_after() {
        // The header has a resolution of whole seconds. Rounding down would let clients return too early.
        let seconds = delay.as_millis().div_ceil(1_000).max(1);
        builder.insert_header((header::RETRY_AFTER, seconds.to_string()));
    }
    builder.body(error_json(&error.body())).map_into_boxed_body()
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
