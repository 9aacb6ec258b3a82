//! A small HTTP client for tests.

use std::net::SocketAddr;
use std::time::Duration;

use awc::ClientRequest;
use awc::http::Method;
use serde_json::Value;

use super::{FullResponse, HarnessError, Response};

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Calls one server. Every call opens a new connection.
#[derive(Debug, Clone)]
pub struct Client {
    base: String,
    headers: Vec<(String, String)>,
}

impl Client {
    /// Creates a client of the server at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { base: format!("http://{addr}"), headers: Vec::new() }
    }

    /// Adds a header to every call.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends a `GET` and reads the complete response.
    ///
    /// # Errors
    ///
    /// No response arrives, or its body is truncated.
    pub async fn get(&self, path: &str) -> Result<FullResponse, HarnessError> {
        self.send(Method::GET, path, None).await
    }

    /// Sends a `POST` with a JSON body and reads the complete response.
    ///
    /// # Errors
    ///
    /// No response arrives, or its body is truncated.
    pub async fn post(&self, path: &str, body: &Value) -> Result<FullResponse, HarnessError> {
        self.send(Method::POST, path, Some(body)).await
    }

    /// Sends a `PUT` with a JSON body and reads the complete response.
    ///
    /// # Errors
    ///
    /// No response arrives, or its body is truncated.
    pub async fn put(&self, path: &str, body: &Value) -> Result<FullResponse, HarnessError> {
        self.send(Method::PUT, path, Some(body)).await
    }

    /// Sends a `DELETE` and reads the complete response.
    ///
    /// # Errors
    ///
    /// No response arrives, or its body is truncated.
    pub async fn delete(&self, path: &str) -> Result<FullResponse, HarnessError> {
        self.send(Method::DELETE, path, None).await
    }

    /// Sends a request, with a JSON body if given, and reads the complete response.
    ///
    /// # Errors
    ///
    /// No response arrives, or its body is truncated.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<FullResponse, HarnessError> {
        self.open(method, path, body).await?.read_full().await
    }

    /// Sends a request, with a JSON body if given, and returns once the head of the response has arrived.
    ///
    /// # Errors
    ///
    /// No head of a response arrives in time.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Response, HarnessError> {
        let url = format!("{}{path}", self.base);
        let req = self.request(method, &url);
        let sent = match body {
            Some(body) => req.send_json(body).await,
            None => req.send().await,
        };
        match sent {
            Ok(res) => Ok(Response::new(url, res)),
            Err(source) => Err(HarnessError::NoResponse { url, source: Box::new(source) }),
        }
    }

    fn request(&self, method: Method, url: &str) -> ClientRequest {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        let req = client.request(method, url).no_decompress();
        self.headers
            .iter()
            .fold(req, |req, (name, value)| req.insert_header((name.as_str(), value.as_str())))
    }
}
