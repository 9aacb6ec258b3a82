//! A small HTTP client for tests.

use std::net::SocketAddr;
use std::time::Duration;

use awc::ClientRequest;
use awc::http::Method;
use serde_json::Value;

use super::{Answer, HarnessError, Response};

/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Calls one address. Every call uses a connection of its own.
#[derive(Debug, Clone)]
pub struct Client {
    base: String,
    headers: Vec<(String, String)>,
}

impl Client {
    /// A client of the server at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { base: format!("http://{addr}"), headers: Vec::new() }
    }

    /// The same client, sending one more header with every call.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// `GET`.
    ///
    /// # Errors
    ///
    /// There is no whole answer.
    pub async fn get(&self, path: &str) -> Result<Answer, HarnessError> {
        self.send(Method::GET, path, None).await
    }

    /// `POST` of a JSON body.
    ///
    /// # Errors
    ///
    /// There is no whole answer.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Answer, HarnessError> {
        self.send(Method::POST, path, Some(body)).await
    }

    /// `PUT` of a JSON body.
    ///
    /// # Errors
    ///
    /// There is no whole answer.
    pub async fn put(&self, path: &str, body: &Value) -> Result<Answer, HarnessError> {
        self.send(Method::PUT, path, Some(body)).await
    }

    /// `DELETE`.
    ///
    /// # Errors
    ///
    /// There is no whole answer.
    pub async fn delete(&self, path: &str) -> Result<Answer, HarnessError> {
        self.send(Method::DELETE, path, None).await
    }

    /// Any call, up to its whole answer.
    ///
    /// # Errors
    ///
    /// There is no whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Answer, HarnessError> {
        self.open(method, path, body).await?.whole().await
    }

    /// Any call, up to the head of its answer.
    ///
    /// # Errors
    ///
    /// There is no answer.
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
            Err(source) => Err(HarnessError::NoAnswer { url, source: Box::new(source) }),
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
