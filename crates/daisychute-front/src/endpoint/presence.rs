//! Whether the process of an endpoint is still there.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::ServiceConfig;
use tokio::time::sleep;

use crate::endpoint::connection::EndpointConnection;

/// Time after which a connection that was accepted by the kernel for a process that is ending has been reset.
const RESET_TIME: Duration = Duration::from_millis(5);

/// What an attempt to connect tells about the process of an endpoint.
pub(crate) enum Presence {
    /// It accepts connections, such as this one.
    Accepts(EndpointConnection),
    /// Nothing listens on its address.
    Ended,
    /// It doesn't respond, or has no room for the connection.
    Unknown,
}

impl Presence {
    /// Connects to an endpoint.
    pub(crate) async fn check(address: SocketAddr, http: &ServiceConfig) -> Self {
        match Self::connect(address, http).await {
            Self::Accepts(connection) => {
                sleep(RESET_TIME).await;
                if connection.is_reusable() {
                    return Self::Accepts(connection);
                }
                // The endpoint has closed the connection, or ended after the kernel accepted it.
                Self::connect(address, http).await
            }
            presence => presence,
        }
    }

    async fn connect(address: SocketAddr, http: &ServiceConfig) -> Self {
        match EndpointConnection::open(address, http).await {
            Ok(connection) => Self::Accepts(connection),
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => Self::Ended,
            Err(_) => Self::Unknown,
        }
    }
}
