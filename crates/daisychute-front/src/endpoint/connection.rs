//! One connection to an endpoint.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::ServiceConfig;
use actix_http::h1::ClientCodec;
use bytes::BytesMut;
use nix::sys::socket::{MsgFlags, recv};
use socket2::{SockRef, TcpKeepalive};
use std::os::fd::AsRawFd;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for establishing a connection. A full accept queue drops the SYN packet, and the kernel retransmits it
/// only after a second: trying another endpoint is quicker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time within which a connection that is established leads to the process that listened when it was begun: another one
/// takes longer to listen at the address.
const PROMPT_CONNECT: Duration = Duration::from_millis(100);
/// Idle time before the first TCP keep-alive probe: an unreachable endpoint must be detected before clients give up.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between TCP keep-alive probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes that end the connection; more than one, so that a single lost packet doesn't.
const KEEP_ALIVE_PROBES: u32 = 3;
/// `TCP_USER_TIMEOUT`: sent bytes that aren't acknowledged within this time end the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of requests that end unserved on one connection before it is closed.
const MAX_UNSERVED: usize = 32;
/// Number of served requests whose ids are kept. A client that comes back with an id does so after few other requests, and
/// a late response to any other request ends the use of the connection.
const MAX_SERVED: usize = 32;

/// An HTTP/1.1 connection that carries one request at a time.
///
/// Responses are matched to requests by id. A request may be sent again under its id, by this front or by its client; on
/// the same connection, a copy of the earlier response would pass for the response to the new attempt.
pub(crate) struct EndpointConnection {
    pub(crate) stream: TcpStream,
    pub(crate) codec: ClientCodec,
    pub(crate) buf: BytesMut,
    pub(crate) history: RequestHistory,
    /// When the process at the other end listened already.
    pub(crate) opened_at: Instant,
}

/// Ids of the requests that a connection has carried.
#[derive(Debug, Default)]
pub(crate) struct RequestHistory {
    /// The requests that ended unserved; at most `MAX_UNSERVED` while the connection is idle.
    unserved: Vec<Arc<str>>,
    /// The latest requests whose response was passed on; at most `MAX_SERVED`.
    served: VecDeque<Arc<str>>,
}

impl RequestHistory {
    /// Records a request that has ended.
    pub(crate) fn record(&mut self, request: Arc<str>, is_served: bool) {
        if !is_served {
            self.unserved.push(request);
            return;
        }
        if self.served.len() == MAX_SERVED {
            self.served.pop_front();
        }
        self.served.push_back(request);
    }

    fn contains(&self, request: &str) -> bool {
        self.unserved.iter().chain(&self.served).any(|it| **it == *request)
    }
}

impl EndpointConnection {
    /// Opens a TCP connection, within [`CONNECT_TIMEOUT`].
    pub(crate) async fn open(address: SocketAddr, http: &ServiceConfig) -> io::Result<Self> {
        Self::open_since(Instant::now(), address, http).await
    }

    /// Opens a TCP connection that was decided on at `started`.
    pub(crate) async fn open_since(
        started: Instant,
        address: SocketAddr,
        http: &ServiceConfig,
    ) -> io::Result<Self> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connect.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        detect_unresponsive_peer(&stream)?;
        let connected = Instant::now();
        let is_prompt = connected.duration_since(started) <= PROMPT_CONNECT;
        Ok(Self {
            stream,
            codec: ClientCodec::new(http.clone()),
            buf: BytesMut::new(),
            history: RequestHistory::default(),
            opened_at: if is_prompt { started } else { connected },
        })
    }

    /// Whether the request may be sent on this connection: it wasn't sent here before.
    pub(crate) fn takes(&self, request: &str) -> bool {
        !self.history.contains(request)
    }

    /// Whether the connection may carry further requests.
    pub(crate) const fn is_worth_keeping(&self) -> bool {
        self.history.unserved.len() <= MAX_UNSERVED
    }

    /// Whether the idle connection is open and has no unexpected bytes to read.
    pub(crate) fn is_reusable(&self) -> bool {
        let mut byte = [0; 1];
        let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
        let peeked = recv(self.stream.as_raw_fd(), &mut byte, flags);
        self.buf.is_empty() && peeked == Err(nix::errno::Errno::EAGAIN)
    }
}

/// Configures TCP keep-alive and `TCP_USER_TIMEOUT` so that the kernel closes a connection whose peer is unresponsive,
/// and disables Nagle's algorithm.
pub(crate) fn detect_unresponsive_peer(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_IDLE)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
