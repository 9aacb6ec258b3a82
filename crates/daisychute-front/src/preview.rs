//! Tells operators where a request would go now, without sending it.

use actix_http::uri::PathAndQuery;
use actix_http::{RequestHead, StatusCode, Uri};

use crate::Dialect;
use crate::state::FrontState;

/// Prefix of the paths of previews; the path and query of the request follow it.
const PATH_PREFIX: &str = "/where";
/// Id of a request that is asked about without one. Ids only break ties between endpoints.
const DEFAULT_ID: &str = "preview";

/// Responds with a preview, as JSON, of the request that has this head but for the prefix of its path. `None` if the path
/// has another prefix.
pub(crate) fn respond<D: Dialect>(
    state: &FrontState<D>,
    head: &RequestHead,
) -> Option<(StatusCode, String)> {
    let path = head.uri.path_and_query().map_or("", PathAndQuery::as_str);
    let path = path.strip_prefix(PATH_PREFIX).filter(|it| it.starts_with('/'))?;
    let mut asked = RequestHead::default();
    asked.method = head.method.clone();
    asked.uri = Uri::try_from(path).ok()?;
    asked.headers = head.headers.clone();
    let mut info = state.dialect.parse_request(&asked);
    if info.id.is_empty() {
        info.id = DEFAULT_ID.into();
    }
    let preview = state.with_dispatcher(|it| it.preview(state.now(), info));
    Some(match serde_json::to_string(&preview) {
        Ok(body) => (StatusCode::OK, body),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    })
}
