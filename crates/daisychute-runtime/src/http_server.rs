//! An HTTP listener on the thread of its caller.

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

/// Pause after a failed accept, for example while no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An HTTP/1.1 listener whose connections are served on the thread that calls [`HttpServer::serve`].
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    local_addr: SocketAddr,
    limits: HttpLimits,
}

impl HttpServer {
    /// Binds `addr`. Must be called inside a runtime.
    ///
    /// # Errors
    ///
    /// What the system says of binding.
    pub fn bind(addr: SocketAddr, limits: HttpLimits) -> io::Result<Self> {
        let listener = StdListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let local_addr = listener.local_addr()?;
        Ok(Self { listener, local_addr, limits })
    }

    /// The bound address, with the port that the system chose.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Accepts connections and answers their requests by `handler` until the future is dropped. Connections that are
    /// open then are served to their end.
    ///
    /// The handler checks the size of head and body itself, by [`check_head`](crate::check_head) and
    /// [`read_body`](crate::read_body), so that it words the refusal.
    ///
    /// # Errors
    ///
    /// The service could not be built.
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
        let service =
            factory.new_service(()).await.map_err(|()| io::Error::other("HTTP service"))?;
        let service = Rc::new(service);
        let room = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            let Ok(permit) = room.clone().acquire_owned().await else { return Ok(()) };
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    actix_rt::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if let Err(error) = stream.set_nodelay(true) {
                // The connection is served all the same, if it still lives.
                log::debug!("TCP_NODELAY: {error}");
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
