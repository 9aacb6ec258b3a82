//! HTTP calls to a process's admin or metrics address.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::PayloadError;
use awc::http::header::HOST;
use awc::{Client, ClientRequest};
use daisychute_dispatch::Preview;
use prometheus_parse::Scrape;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::args::Header;

/// Timeout of one call, from connecting to the last byte of the body.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest response body that is read, in MiB.
const MAX_RESPONSE_MIB: usize = 16;

/// Why a call to a process failed.
#[derive(Debug, Error)]
pub(crate) enum AdminError {
    /// The connection failed, or the response did not arrive completely within the timeout.
    #[error("no connection, or no answer in time")]
    NoAnswer,
    /// HTTP 404: the process has no such path.
    #[error("the address has no such path (HTTP 404)")]
    NotFound,
    /// The response has a status other than 200 and 404.
    #[error("the response has HTTP status {status}")]
    Refused {
        /// HTTP status code of the response.
        status: u16,
    },
    /// The body is longer than the client reads.
    #[error("the response is larger than {MAX_RESPONSE_MIB} MiB")]
    TooLarge,
    /// The body is not the expected JSON.
    #[error("the response is malformed")]
    Malformed(#[from] serde_json::Error),
    /// The body is not in the Prometheus text format.
    #[error("the metrics can't be parsed")]
    MalformedMetrics(#[from] io::Error),
}

/// Fetches the JSON at `path` from an entry.
pub(crate) async fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, AdminError> {
    Ok(serde_json::from_slice(&fetch_body(address, path).await?)?)
}

/// Fetches the metrics of a process.
pub(crate) async fn get_metrics(address: SocketAddr) -> Result<Scrape, AdminError> {
    let body = fetch_body(address, "/metrics").await?;
    let text = String::from_utf8_lossy(&body).into_owned();
    Ok(Scrape::parse(text.lines().map(|it| Ok(it.to_owned())))?)
}

/// Fetches the preview of a request from a front.
pub(crate) async fn get_preview(
    address: SocketAddr,
    path: &str,
    host: &str,
    headers: Vec<Header>,
) -> Result<Preview, AdminError> {
    let mut req = client().get(format!("http://{address}/where{path}"));
    for Header { name, value } in headers {
        req = req.append_header((name, value));
    }
    let body = send(req.insert_header((HOST, host))).await?;
    Ok(serde_json::from_slice(&body)?)
}

fn client() -> Client {
    Client::builder().timeout(CALL_TIMEOUT).finish()
}

async fn fetch_body(address: SocketAddr, path: &str) -> Result<Vec<u8>, AdminError> {
    send(client().get(format!("http://{address}{path}"))).await
}

/// Sends a request and reads the body of its response.
async fn send(req: ClientRequest) -> Result<Vec<u8>, AdminError> {
    let mut response = req.send().await.map_err(|_| AdminError::NoAnswer)?;
    match response.status().as_u16() {
        200 => {}
        404 => return Err(AdminError::NotFound),
        status => return Err(AdminError::Refused { status }),
    }
    let body = response.body().limit(MAX_RESPONSE_MIB << 20).await;
    body.map(|it| it.to_vec()).map_err(|error| match error {
        PayloadError::Overflow => AdminError::TooLarge,
        _ => AdminError::NoAnswer,
    })
}
