//! Tells the platform's balancer whether new connections are welcome.

use std::rc::Rc;

use actix_http::StatusCode;
use tokio::net::TcpListener;

use crate::Dialect;
use crate::plain_server;
use crate::shared::Shared;

/// Answers questions for the life of the process.
pub(crate) async fn serve<D: Dialect>(shared: Rc<Shared<D>>, listener: TcpListener) {
    let http = shared.http.clone();
    let answer = move |path: &str| {
        let known = path == shared.dialect.readiness_path();
        let status = match (known, shared.is_ready()) {
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            (false, _) => StatusCode::NOT_FOUND,
        };
        (status, String::new())
    };
    plain_server::serve(http, listener, answer).await;
}
