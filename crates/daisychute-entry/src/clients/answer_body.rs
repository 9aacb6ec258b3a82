//! Answers as bodies of HTTP responses.

use std::io;

use bytes::Bytes;
use daisychute_core::Verdict;
use futures_util::{Stream, stream};

use super::client_error::{ClientError, ErrorBody};
use super::{AnswerParts, CompletionFormat};
use crate::core::Part;

const DONE_EVENT: &str = "data: [DONE]\n\n";

/// A completion as server-sent events. A broken answer ends in an error event and without `[DONE]`.
pub(super) fn completion_events(
    parts: AnswerParts,
    format: CompletionFormat,
) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold((parts, format), |(mut parts, format)| async {
        let part = parts.next().await?;
        let bytes = match part {
            Part::Head { .. } => Ok(Bytes::new()),
            Part::Data { data, .. } => {
                let text = String::from_utf8_lossy(&data);
                format.event(&text, None, None).map(|it| event(&it))
            }
            Part::End { finish, usage } => format
                .event("", finish, Some(usage))
                .map(|it| Bytes::from(format!("data: {it}\n\n{DONE_EVENT}"))),
            Part::Refused(mut refusal) => {
                // Something was sent, so something was run.
                refusal.verdict = Verdict::Unknown;
                let error = ClientError::Refused { id: parts.id(), refusal };
                serde_json::to_string(&error.body()).map(|it| event(&it))
            }
        };
        Some((bytes.map_err(io::Error::from), (parts, format)))
    })
}

fn event(json: &str) -> Bytes {
    Bytes::from(format!("data: {json}\n\n"))
}

/// The answer of a plain service. A broken answer ends the connection, so that it doesn't pass for whole.
pub(super) fn service_bytes(parts: AnswerParts) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(parts, |mut parts| async {
        loop {
            match parts.next().await? {
                Part::Head { .. } => {}
                Part::Data { data, .. } => return Some((Ok(data), parts)),
                Part::End { .. } => return None,
                Part::Refused(refusal) => return Some((Err(io::Error::other(refusal)), parts)),
            }
        }
    })
}

/// The JSON text of an error.
pub(super) fn error_json(body: &ErrorBody) -> String {
    // The body is made of strings and numbers only.
    serde_json::to_string(body).unwrap_or_default()
}
