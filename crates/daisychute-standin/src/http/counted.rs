//! A TCP stream that counts its bytes.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes of all connections of one server. Clones share the counters.
#[derive(Debug, Clone, Default)]
pub(crate) struct ByteCount {
    read: Rc<Cell<u64>>,
    written: Rc<Cell<u64>>,
}

impl ByteCount {
    /// Bytes received.
    pub(crate) fn read(&self) -> u64 {
        self.read.get()
    }

    /// Bytes sent.
    pub(crate) fn written(&self) -> u64 {
        self.written.get()
    }
}

/// A TCP stream that counts its bytes.
pub(super) struct Counted {
    stream: TcpStream,
    count: ByteCount,
}

impl Counted {
    /// Counts the bytes of `stream` in `count`.
    pub(super) fn new(stream: TcpStream, count: ByteCount) -> Self {
        Self { stream, count }
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let n = buf.filled().len() - before;
        self.count.read.update(|it| it + n as u64);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.count.written.update(|it| it + n as u64);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
