//! Reports to the platform's load balancer whether this front accepts new connections.

use std::rc::Rc;

use actix_http::{RequestHead, StatusCode};
use tokio::net::TcpListener;

use crate::Dialect;
use crate::plain_server;
use crate::state::FrontState;

/// Serves readiness checks for the life of the process.
pub(crate) async fn serve<D: Dialect>(state: Rc<FrontState<D>>, listener: TcpListener) {
    let http = state.http.clone();
    let respond = move |head: &RequestHead| {
        let is_readiness_path = head.uri.path() == state.dialect.readiness_path();
        let status = match (is_readiness_path, state.is_ready()) {
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            (false, _) => StatusCode::NOT_FOUND,
        };
        (status, String::new())
    };
    plain_server::serve(http, listener, respond).await;
}
