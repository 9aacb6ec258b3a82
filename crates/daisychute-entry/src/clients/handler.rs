//! The HTTP handler of the callers' listener.

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

use super::answer_body::{completion_events, error_json, service_bytes};
use super::{
    AnswerParts, ClientError, ClientHeaders, CompletionFormat, CompletionRequest, ServiceRequest,
};
use crate::core::{Part, Submission};
use crate::shell::EntryHandle;

const COMPLETIONS: &str = "/v1/completions";
const CHAT_COMPLETIONS: &str = "/v1/chat/completions";
const MODELS: &str = "/v1/models";
const HEALTHY: &str = "/healthz";
const READY: &str = "/readyz";
const JSON: &str = "application/json";
const EVENT_STREAM: &str = "text/event-stream";

/// Answers the requests of callers.
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
    /// Answers by the entry behind `entry`.
    #[must_use]
    pub const fn new(entry: EntryHandle, limits: HttpLimits) -> Self {
        Self { entry, limits }
    }

    /// Answers one request.
    ///
    /// # Errors
    ///
    /// Never; a failure becomes a response.
    pub async fn handle(self, mut req: Request) -> Result<Response<BoxBody>, Infallible> {
        let mut res = match self.route(&mut req).await {
            Ok(res) => res,
            Err(error) => error_response(&error),
        };
        if self.entry.is_shutting_down() {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(res)
    }

    async fn route(&self, req: &mut Request) -> Result<Response<BoxBody>, ClientError> {
        check_head(req, &self.limits)?;
        let path = req.path().to_owned();
        match path.as_str() {
            HEALTHY => Ok(Response::with_body(StatusCode::OK, BoxBody::new("ok\n"))),
            READY => Ok(self.readiness()),
            MODELS => self.models(),
            COMPLETIONS => self.completion(req, false).await,
            CHAT_COMPLETIONS => self.completion(req, true).await,
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
        Ok(respond(StatusCode::OK, JSON, body))
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
        let asked = CompletionRequest::read(&body, chat, &cfg)?;
        let model = asked.completion.model.clone();
        let work = Work::Completion(asked.completion);
        let submission = submission(&headers, &cfg, tenant, None, work, asked.continuable)?;
        let mut parts = self.entry.submit(submission).await.ok_or(ClientError::Stopping)?;
        let format = CompletionFormat::new(chat, parts.id(), model, unix_seconds());
        match parts.next().await {
            Some(Part::Refused(refusal)) => Err(ClientError::Refused { id: parts.id(), refusal }),
            Some(Part::Head { status, content_type, .. }) if status != StatusCode::OK.as_u16() => {
                Ok(pass_on(status, content_type, parts))
            }
            _ if asked.stream => Ok(respond(
                StatusCode::OK,
                EVENT_STREAM,
                BodyStream::new(completion_events(parts, format)),
            )),
            _ => whole_completion(parts, &format).await,
        }
    }

    async fn call(&self, req: &mut Request) -> Result<Response<BoxBody>, ClientError> {
        let headers = ClientHeaders::try_from(&*req)?;
        let body = read_body(req, &self.limits).await?;
        let cfg = self.entry.configuration().ok_or(ClientError::NoConfiguration)?;
        let tenant = headers.tenant(&cfg)?;
        let path_and_query = req.uri().path_and_query().map_or("", |it| it.as_str());
        let asked = ServiceRequest::resolve(path_and_query, &cfg)?;
        let work = Work::Call(call(req, &headers, &asked, body));
        let submission =
            submission(&headers, &cfg, tenant, asked.route.class.as_ref(), work, false)?;
        let mut parts = self.entry.submit(submission).await.ok_or(ClientError::Stopping)?;
        match parts.next().await {
            Some(Part::Head { status, content_type, .. }) => {
                Ok(pass_on(status, content_type, parts))
            }
            Some(Part::Refused(refusal)) => Err(ClientError::Refused { id: parts.id(), refusal }),
            _ => Err(ClientError::Stopping),
        }
    }
}

fn call(req: &Request, headers: &ClientHeaders, asked: &ServiceRequest<'_>, body: Bytes) -> Call {
    let repeatable = asked.repeatable();
    // A key made here tells its age, and no other entry ever uses it.
    let made_key = || (!repeatable).then(|| Uuid::now_v7().to_string());
    let content_type = req.head().headers().get(header::CONTENT_TYPE);
    Call {
        service: asked.service.name.clone(),
        method: req.method().as_str().to_owned(),
        path: asked.path.to_owned(),
        content_type: content_type.and_then(|it| it.to_str().ok()).map(str::to_owned),
        body,
        key: headers.key.clone().or_else(made_key),
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

async fn whole_completion(
    mut parts: AnswerParts,
    format: &CompletionFormat,
) -> Result<Response<BoxBody>, ClientError> {
    let mut text = BytesMut::new();
    while let Some(part) = parts.next().await {
        match part {
            Part::Head { .. } => {}
            Part::Data { data, .. } => text.extend_from_slice(&data),
            Part::End { finish, usage } => return whole_response(format, &text, finish, usage),
            Part::Refused(refusal) => return Err(ClientError::Refused { id: parts.id(), refusal }),
        }
    }
    Err(ClientError::Stopping)
}

fn whole_response(
    format: &CompletionFormat,
    text: &[u8],
    finish: Option<FinishReason>,
    usage: Usage,
) -> Result<Response<BoxBody>, ClientError> {
    let body = format.whole(&String::from_utf8_lossy(text), finish, usage)?;
    Ok(respond(StatusCode::OK, JSON, body))
}

/// An endpoint's answer as it is.
fn pass_on(status: u16, content_type: Option<String>, parts: AnswerParts) -> Response<BoxBody> {
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
    builder.insert_header((header::CONTENT_TYPE, JSON));
    if let Some(span) = error.retry_after() {
        // The header counts whole seconds; rounding up keeps the promise.
        let seconds = span.as_millis().div_ceil(1_000).max(1);
        builder.insert_header((header::RETRY_AFTER, seconds.to_string()));
    }
    builder.body(error_json(&error.body())).map_into_boxed_body()
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
