//! The tasks that run a connection.

use std::io;
use std::net::SocketAddr;

use daisychute_proto::{
    DecodeError, Frame, Goodbye, GoodbyeReason, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use crate::{DownReason, Link, LinkConfig, LinkEvent, LinkId};

type Socket = WebSocketStream<TcpStream>;
type Events = UnboundedSender<LinkEvent>;

/// Opens a connection to `addr` and sends `hello`. Reports everything that follows to `events`.
pub fn connect(addr: SocketAddr, id: LinkId, hello: Hello, cfg: LinkConfig, events: Events) {
    actix_rt::spawn(async move {
        let opened = timeout(cfg.handshake_timeout, open(addr)).await;
        let socket = match opened {
            Ok(Ok(socket)) => socket,
            Ok(Err(reason)) => return report_down(&events, id, reason),
            Err(_) => return report_down(&events, id, DownReason::Refused("timeout".to_owned())),
        };
        run(socket, id, hello, cfg, events).await;
    });
}

/// Accepts a connection that another process opened and sends `hello`. Reports everything that follows to `events`.
pub fn accept(stream: TcpStream, id: LinkId, hello: Hello, cfg: LinkConfig, events: Events) {
    actix_rt::spawn(async move {
        let _ = stream.set_nodelay(true);
        let accepted = timeout(
            cfg.handshake_timeout,
            accept_async_with_config(stream, Some(websocket_config())),
        )
        .await;
        let socket = match accepted {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) => {
                return report_down(&events, id, DownReason::Refused(error.to_string()));
            }
            Err(_) => return report_down(&events, id, DownReason::Refused("timeout".to_owned())),
        };
        run(socket, id, hello, cfg, events).await;
    });
}

async fn open(addr: SocketAddr) -> Result<Socket, DownReason> {
    let stream = TcpStream::connect(addr).await.map_err(|it| connect_failure(&it))?;
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{addr}/");
    let (socket, _) = client_async_with_config(url, stream, Some(websocket_config()))
        .await
        .map_err(|it| DownReason::Refused(it.to_string()))?;
    Ok(socket)
}

fn connect_failure(error: &io::Error) -> DownReason {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => DownReason::NoListener,
        _ => DownReason::Refused(error.to_string()),
    }
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

fn report_down(events: &Events, id: LinkId, reason: DownReason) {
    log::debug!("{id} down: {reason}");
    // The receiver is dropped when the process shuts down.
    let _ = events.send(LinkEvent::Down { id, reason });
}

async fn run(socket: Socket, id: LinkId, hello: Hello, cfg: LinkConfig, events: Events) {
    let (sink, mut stream) = socket.split();
    let (tx, rx) = unbounded_channel();
    let link = Link::new(id, tx);
    link.send(hello);
    let writer = actix_rt::spawn(write_frames(sink, rx));
    let reason = match read_hello(&mut stream, cfg).await {
        Ok(hello) if hello.common_version(PROTOCOL_VERSION, PROTOCOL_VERSION).is_none() => {
            link.close(GoodbyeReason::Version);
            DownReason::Version
        }
        Ok(hello) => {
            let _ = events.send(LinkEvent::Up { id, hello: Box::new(hello), link: link.clone() });
            read_frames(stream, id, cfg, &events).await
        }
        Err(reason) => reason,
    };
    if let DownReason::Malformed(_) = reason {
        link.close(GoodbyeReason::Malformed);
    }
    if reason == DownReason::Silent {
        // Queued frames can't be sent on an unresponsive connection.
        writer.abort();
    }
    drop(link);
    report_down(&events, id, reason);
}

async fn read_hello(
    stream: &mut SplitStream<Socket>,
    cfg: LinkConfig,
) -> Result<Hello, DownReason> {
    match timeout(cfg.handshake_timeout, next(stream)).await {
        Ok(Ok(Frame::Hello(hello))) => Ok(hello),
        Ok(Ok(Frame::Goodbye(goodbye))) => Err(reason_for(&goodbye)),
        Ok(Ok(frame)) => Err(DownReason::Malformed(format!("{} instead of Hello", frame.kind()))),
        Ok(Err(reason)) => Err(reason),
        Err(_) => Err(DownReason::Refused("no hello within the time limit".to_owned())),
    }
}

async fn read_frames(
    mut stream: SplitStream<Socket>,
    id: LinkId,
    cfg: LinkConfig,
    events: &Events,
) -> DownReason {
    loop {
        let frame = match timeout(cfg.heartbeat_timeout, next(&mut stream)).await {
            Ok(Ok(frame)) => frame,
            Ok(Err(reason)) => return reason,
            Err(_) => return DownReason::Silent,
        };
        if let Frame::Goodbye(goodbye) = &frame {
            return reason_for(goodbye);
        }
        if events.send(LinkEvent::Frame { id, frame: Box::new(frame) }).is_err() {
            return DownReason::Closed;
        }
    }
}

fn reason_for(goodbye: &Goodbye) -> DownReason {
    match goodbye.reason {
        GoodbyeReason::Version => DownReason::Version,
        reason => DownReason::Goodbye(reason),
    }
}

/// Returns the next frame of a kind that this version knows, and skips others.
async fn next(stream: &mut SplitStream<Socket>) -> Result<Frame, DownReason> {
    loop {
        let message = match stream.next().await {
            Some(Ok(message)) => message,
            Some(Err(error)) => return Err(DownReason::Lost(error.to_string())),
            None => return Err(DownReason::Lost("closed".to_owned())),
        };
        match message {
            Message::Binary(buf) => match Frame::decode(&buf) {
                Ok(frame) => return Ok(frame),
                Err(DecodeError::UnknownKind { kind }) => {
                    log::debug!("frame kind {kind} skipped: unknown to this version")
                }
                Err(error) => return Err(DownReason::Malformed(error.to_string())),
            },
            Message::Text(_) => return Err(DownReason::Malformed("a text message".to_owned())),
            Message::Close(_) => return Err(DownReason::Lost("closed".to_owned())),
            Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
        }
    }
}

async fn write_frames(mut sink: SplitSink<Socket, Message>, mut rx: UnboundedReceiver<Frame>) {
    while let Some(frame) = rx.recv().await {
        if feed(&mut sink, &frame).await.is_err() {
            return;
        }
        while let Ok(frame) = rx.try_recv() {
            if feed(&mut sink, &frame).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
    let _ = sink.close().await;
}

async fn feed(
    sink: &mut SplitSink<Socket, Message>,
    frame: &Frame,
) -> Result<(), tokio_tungstenite::tungstenite::Error> {
    match frame.encode() {
        Ok(buf) => sink.feed(Message::Binary(buf)).await,
        Err(error) => {
            log::error!("frame {} dropped: {error}", frame.kind());
            Ok(())
        }
    }
}
