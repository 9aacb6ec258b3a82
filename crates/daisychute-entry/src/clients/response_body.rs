//! HTTP response bodies made of response parts.

use std::io;

use bytes::Bytes;
use daisychute_core::Verdict;
use futures_util::{Stream, stream};

use super::client_error::{ClientError, ErrorBody};
use super::{CompletionFormat, ResponseParts};
use crate::core::ResponsePart;

const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Streams a completion as server-sent events. A truncated response ends with an error event and without `[DONE]`.
pub(super) fn completion_events(
    parts: ResponseParts,
    format: CompletionFormat,
) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold((parts, format), |(mut parts, format)| async {
        let part = parts.next().await?;
        let bytes = match part {
            ResponsePart::Head { .. } => Ok(Bytes::new()),
            ResponsePart::Data { data, .. } => {
                let text = String::from_utf8_lossy(&data);
                format.event(&text, None, None).map(|it| event(&it))
            }
            ResponsePart::End { finish, usage } => format
                .event("", finish, Some(usage))
                .map(|it| Bytes::from(format!("data: {it}\n\n{DONE_EVENT}"))),
            ResponsePart::Refused(mut refusal) => {
                // The response already began, so the request was run at least in part.
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

/// Streams the response of a plain service. A truncated response aborts the connection, so that the client can't
/// mistake it for a complete one.
pub(super) fn service_bytes(parts: ResponseParts) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(parts, |mut parts| async {
        loop {
            match parts.next().await? {
                ResponsePart::Head { .. } => {}
                ResponsePart::Data { data, .. } => return Some((Ok(data), parts)),
                ResponsePart::End { .. } => return None,
                ResponsePart::Refused(refusal) => {
                    return Some((Err(io::Error::other(refusal)), parts));
                }
            }
        }
    })
}

/// Serializes an error body to JSON.
pub(super) fn error_json(body: &ErrorBody) -> String {
    // Serialization can't fail: the body contains only strings and numbers.
    serde_json::to_string(body).unwrap_or_default()
}
