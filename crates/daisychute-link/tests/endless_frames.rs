//! The other side of a connection sends frames without end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use daisychute_core::Incarnation;
use daisychute_link::{DownReason, LinkConfig, LinkEvent, LinkId, connect};
use daisychute_proto::{Frame, Hello, PROTOCOL_VERSION, ProcessRole, Revisions};
use futures_util::SinkExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::accept_async;
use tokio_tungstenite::tungstenite::Message;

/// Time for which the receiver handles nothing.
const BUSY_TIME: Duration = Duration::from_secs(1);
/// Bytes that may be taken from the other side meanwhile.
const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Time within which the silence of the other side is noticed.
const SILENCE_TIME: Duration = Duration::from_secs(5);

fn hello() -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        min_version: PROTOCOL_VERSION,
        process: "agent-1".try_into().expect("a name"),
        incarnation: Incarnation::new(7),
        role: ProcessRole::Agent,
        data_centre: "agdal".try_into().expect("a name"),
        region: "morocco".try_into().expect("a name"),
        endpoint: None,
        revisions: Revisions::default(),
    }
}

/// Starts another side, in a thread of its own, that says hello and then sends `unit` again and again. Returns its address
/// and the number of bytes sent.
fn start_sender(unit: Vec<u8>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let sent = Arc::<AtomicUsize>::default();
    let count = Arc::clone(&sent);
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut socket = accept_async(stream).await.expect("a handshake");
            let hello = Frame::from(hello()).encode().expect("a frame");
            socket.send(Message::Binary(hello)).await.expect("a connection");
            let block = unit.repeat(64 * 1024 / unit.len());
            while socket.get_mut().write_all(&block).await.is_ok() {
                count.fetch_add(block.len(), Ordering::SeqCst);
            }
        });
    });
    (address, sent)
}

/// Connects to the other side. Events are received, but handled by the caller.
fn open(unit: Vec<u8>) -> (UnboundedReceiver<LinkEvent>, Arc<AtomicUsize>) {
    let (address, sent) = start_sender(unit);
    let (tx, rx) = unbounded_channel();
    connect(address, LinkId::new(1), hello(), LinkConfig::default(), tx);
    (rx, sent)
}

/// Guards against memory that grows with the frames that a busy process hasn't handled.
#[test]
fn frames_without_end_wait_for_their_receiver() {
    actix_rt::System::new().block_on(async {
        let payload = Frame::from(hello()).encode().expect("a frame");
        let length = u16::try_from(payload.len()).expect("a short frame").to_be_bytes();
        let unit = [&[0x82, 126], &length[..], &payload[..]].concat();
        let (rx, sent) = open(unit);
        sleep(BUSY_TIME).await;
        let (sent, queued) = (sent.load(Ordering::SeqCst), rx.len());
        println!("{sent} bytes were taken, {queued} events wait");
        assert!(sent < MAX_BYTES, "{sent} bytes were taken, {queued} events wait");
    });
}

/// Guards against a connection that is kept up by frames that say nothing.
#[test]
fn pings_without_end_are_silence() {
    actix_rt::System::new().block_on(async {
        let (mut rx, _) = open(vec![0x89, 0]);
        let down = async {
            loop {
                if let LinkEvent::Down { reason, .. } = rx.recv().await.expect("an event") {
                    return reason;
                }
            }
        };
        let reason = timeout(SILENCE_TIME, down).await;
        assert!(matches!(reason, Ok(DownReason::Silent)), "{reason:?}");
    });
}
