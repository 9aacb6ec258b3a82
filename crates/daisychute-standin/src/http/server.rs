//! The accept loop of the HTTP server.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::{HttpService, Protocol, Request, StatusCode};
use actix_rt::task::JoinHandle;
use actix_service::{Service as _, ServiceFactory as _};
use tokio::net::{TcpListener, TcpStream};

use super::connection::{Connections, OpenGuard};
use super::counting_stream::CountingStream;
use super::{ByteCount, Connection, Incoming, Reply, empty};
use crate::StandinError;

/// Handles the requests of a server.
pub(crate) trait Handler: 'static {
    /// Handles one request.
    fn handle(&self, req: Incoming) -> impl Future<Output = Reply>;
}

/// A listening server. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub(crate) struct Server {
    local_addr: SocketAddr,
    accepting: JoinHandle<()>,
    connections: Connections,
}

impl Server {
    /// Listens on `addr` and passes requests to `handler`. Adds the traffic of all connections to `count`.
    pub(crate) async fn start(
        addr: SocketAddr,
        handler: Rc<impl Handler>,
        count: ByteCount,
    ) -> Result<Self, StandinError> {
        let bind = |source| StandinError::Bind { addr, source };
        let listener = TcpListener::bind(addr).await.map_err(bind)?;
        let local_addr = listener.local_addr().map_err(bind)?;
        let connections = Connections::default();
        let accepting = actix_rt::spawn(accept(listener, handler, count, connections.clone()));
        Ok(Self { local_addr, accepting, connections })
    }

    /// Address on which the server listens.
    pub(crate) fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
        self.connections.close_all();
    }
}

async fn accept(
    listener: TcpListener,
    handler: Rc<impl Handler>,
    count: ByteCount,
    connections: Connections,
) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else { continue };
        let guard = connections.register();
        actix_rt::spawn(serve(stream, peer, Rc::clone(&handler), count.clone(), guard));
    }
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Rc<impl Handler>,
    count: ByteCount,
    guard: OpenGuard,
) {
    let connection = guard.connection.clone();
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("can't set TCP_NODELAY: {err}");
    }
    let factory = HttpService::build().h1_allow_half_closed(false).finish(move |req: Request| {
        let handler = Rc::clone(&handler);
        let connection = connection.clone();
        async move { Ok::<_, Infallible>(respond(&*handler, req, connection).await) }
    });
    let Ok(service) = factory.new_service(()).await else { return };
    let io = CountingStream::new(stream, count);
    tokio::select! {
        ended = service.call((io, Protocol::Http1, Some(peer))) => {
            if let Err(err) = ended {
                log::debug!("connection from {peer}: {err}");
            }
        }
        () = guard.connection.wait_closed() => {}
    }
}

async fn respond(handler: &impl Handler, req: Request, connection: Connection) -> Reply {
    match Incoming::read(req, connection).await {
        Ok(incoming) => handler.handle(incoming).await,
        Err(_) => empty(StatusCode::BAD_REQUEST),
    }
}
