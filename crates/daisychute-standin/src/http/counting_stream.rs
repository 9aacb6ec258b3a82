//! A TCP stream that counts the bytes read and written.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Byte counters of all connections of one server. Clones share the counters.
#[derive(Debug, Clone, Default)]
pub(crate) struct ByteCount {
    read: Rc<Cell<u64>>,
    written: Rc<Cell<u64>>,
}

impl ByteCount {
    /// Total number of bytes received.
    pub(crate) fn read(&self) -> u64 {
        self.read.get()
    }

    /// Total number of bytes sent.
    pub(crate) fn written(&self) -> u64 {
        self.written.get()
    }
}

/// A TCP stream that adds its traffic to a [`ByteCount`].
pub(super) struct CountingStream {
    stream: TcpStream,
    count: ByteCount,
}

impl CountingStream {
    /// Wraps `stream` and adds its traffic to `count`.
    pub(super) fn new(stream: TcpStream, count: ByteCount) -> Self {
        Self { stream, count }
    }
}

impl AsyncRead for CountingStream {
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

impl AsyncWrite for CountingStream {
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
