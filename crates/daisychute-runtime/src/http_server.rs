//! HTTP listener that serves on the calling thread.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, Request, Response};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::HttpLimits;

/// Delay after a failed accept, for example while no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// HTTP/1.1 listener that serves its connections on the thread that calls [`HttpServer::serve`].
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    local_addr: SocketAddr,
    limits: HttpLimits,
}

impl HttpServer {
    /// Binds `addr`. Must be called inside an async runtime.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub fn bind(addr: SocketAddr, limits: HttpLimits) -> io::Result<Self> {
        let listener = StdListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let local_addr = listener.local_addr()?;
        Ok(Self { listener, local_addr, limits })
    }

    /// The bound address, with the actual port if port 0 was requested.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Accepts connections and handles their requests with `handler` until the future is dropped. Connections that are
    /// open at that time are served to completion.
    ///
    /// The handler must check the sizes of head and body itself, with [`check_head`](crate::check_head) and
    /// [`read_body`](crate::read_body), so that it can choose the error response.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP service can't be built.
    pub async fn serve<H, F, E>(self, handler: H) -> io::Result<()>
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Result<Response<BoxBody>, E>> + 'static,
        E: Into<Response<BoxBody>> + std::fmt::Debug + 'static,
    {
        let service = fn_service(handler);
        let factory = HttpService::build()
            .keep_alive(self.limits.keep_alive)
            .client_request_timeout(self.limits.head_timeout)
            .h1(service.into_factory())
            .tcp();
        let service = factory
            .new_service(())
            .await
            .map_err(|()| io::Error::other("failed to build the HTTP service"))?;
        let service = Rc::new(service);
        let connection_slots = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            let Ok(permit) = connection_slots.clone().acquire_owned().await else { return Ok(()) };
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if let Err(error) = stream.set_nodelay(true) {
                // Not fatal: the connection is served without the option.
                log::debug!("failed to set TCP_NODELAY: {error}");
            }
            let service = service.clone();
            actix_rt::spawn(async move {
                if let Err(error) = service.call(stream).await {
                    log::debug!("connection ended: {error}");
                }
                drop(permit);
            });
        }
    }
}
