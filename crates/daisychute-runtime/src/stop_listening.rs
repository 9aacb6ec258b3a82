//! Stops listening without resetting connections that have just been opened.

use std::io;
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// `BPF_LD | BPF_B | BPF_ABS`: loads one byte of the segment.
const LOAD_BYTE: u16 = 0x30;
/// `BPF_JMP | BPF_JSET | BPF_K`: jumps by whether one of these bits is set.
const JUMP_IF_SET: u16 = 0x45;
/// `BPF_RET | BPF_K`: keeps so many bytes of the segment; 0 drops it.
const KEEP: u16 = 0x06;
/// Offset of the flags in a TCP header.
const FLAGS_OFFSET: u32 = 13;
/// Flag of the segment that opens a connection.
const SYN: u32 = 0x02;

/// Drops the segments that open a connection and keeps the others.
const WITHOUT_SYN: [SockFilter; 4] = [
    SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    SockFilter::new(JUMP_IF_SET, 0, 1, SYN),
    SockFilter::new(KEEP, 0, 0, 0),
    SockFilter::new(KEEP, 0, 0, u32::MAX),
];

/// Closes a listener. Returns the connections that it had still to accept, and whether those were all.
///
/// The kernel resets connections that it opens between the last accept and the close, when their clients may have sent a
/// request. So it is first told to open no further ones, and those that are being opened get `handshake_time`. A client
/// whose segment is dropped sends it again after a second, and is refused then.
///
/// Where the kernel doesn't support socket filters, the listener is closed at once.
pub async fn stop_listening(
    listener: TcpListener,
    handshake_time: Duration,
) -> (Vec<TcpStream>, io::Result<()>) {
    match SockRef::from(&listener).attach_filter(&WITHOUT_SYN) {
        Ok(()) => sleep(handshake_time).await,
        Err(error) => log::warn!(error:%; "connections that are being opened may be reset"),
    }
    let mut streams = Vec::new();
    let accepted = accept_waiting(listener, &mut streams);
    (streams, accepted)
}

/// Accepts the connections that the kernel has opened.
fn accept_waiting(listener: TcpListener, streams: &mut Vec<TcpStream>) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                streams.push(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            // The client has closed it already.
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}
