//! One connection to an endpoint.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::ServiceConfig;
use actix_http::h1::ClientCodec;
use bytes::BytesMut;
use nix::sys::socket::{MsgFlags, recv};
use socket2::{SockRef, TcpKeepalive};
use std::os::fd::AsRawFd;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a connection may take to be established. A full accept queue drops the opening packet, and the retry of
/// the system comes a second later: another endpoint is quicker.
const CONNECT: Duration = Duration::from_millis(400);
/// Probes start after so long without traffic: the way to an endpoint that fell silent must be known before callers
/// give up.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// The pause between probes.
const PROBE_EACH: Duration = Duration::from_secs(1);
/// So many probes without an answer end the connection: one lost packet must not.
const PROBES: u32 = 3;
/// Sent bytes that aren't acknowledged for this long end the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection that carries one request at a time.
pub(crate) struct EndpointConnection {
    pub(crate) stream: TcpStream,
    pub(crate) codec: ClientCodec,
    pub(crate) buf: BytesMut,
}

impl EndpointConnection {
    /// Connects.
    pub(crate) async fn open(address: SocketAddr, http: &ServiceConfig) -> io::Result<Self> {
        let connect = timeout(CONNECT, TcpStream::connect(address)).await;
        let stream = connect.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        watch_silence(&stream)?;
        let codec = ClientCodec::new(http.clone());
        Ok(Self { stream, codec, buf: BytesMut::new() })
    }

    /// Whether the idle connection is open and nothing has come in on it.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
        let peeked = recv(self.stream.as_raw_fd(), &mut byte, flags);
        self.buf.is_empty() && peeked == Err(nix::errno::Errno::EAGAIN)
    }
}

/// Makes the system notice a peer that has gone silent.
pub(crate) fn watch_silence(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_EACH).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
