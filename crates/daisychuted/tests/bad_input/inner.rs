//! Bad frames on the inner listener of an agent, which takes connections from entries.

use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::Incarnation;
use daisychute_proto::{
    Frame, GoodbyeReason, Heartbeat, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION, ProcessRole,
    Revisions,
};
use daisychute_testbed::Deployment;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async};

use crate::raw::Raw;
use crate::support::{assert_serves, deployment};

/// How long the agent may take to end a connection. It must exceed the agent's handshake timeout.
const TIMEOUT: Duration = Duration::from_secs(10);
/// A frame kind that no protocol version has used.
const UNKNOWN_KIND: u8 = 250;
const HEARTBEAT_KIND: u8 = 3;

/// How the agent treats a connection after the messages.
#[derive(Debug, PartialEq)]
enum Outcome {
    /// It sends a goodbye with this reason.
    Goodbye(GoodbyeReason),
    /// It closes the connection without a goodbye.
    Closed,
    /// It keeps the connection open.
    Open,
}

const MALFORMED: Outcome = Outcome::Goodbye(GoodbyeReason::Malformed);

struct Case {
    name: &'static str,
    messages: Vec<Message>,
    expected: Outcome,
}

macro_rules! cases {
    ($($name:ident: $messages:expr => $expected:expr,)*) => {
        fn cases() -> Vec<Case> {
            vec![$(Case { name: stringify!($name), messages: $messages, expected: $expected },)*]
        }
    };
}

cases! {
    good_peer: vec![binary(hello(1, 1)), binary(Heartbeat::default())] => Outcome::Open,
    text_in_place_of_hello: vec![Message::text("hello")] => MALFORMED,
    text_after_hello: vec![binary(hello(1, 1)), Message::text("hello")] => MALFORMED,
    empty_frame: vec![Message::binary(Vec::new())] => MALFORMED,
    garbage_frame: vec![Message::binary(vec![1, 0xff, 0x00, 0x13])] => MALFORMED,
    truncated_hello: vec![truncated(hello(1, 1))] => MALFORMED,
    truncated_frame: vec![binary(hello(1, 1)), truncated(Heartbeat::default())] => MALFORMED,
    frame_with_more_after_it: vec![binary(hello(1, 1)), with_trailing_byte(Heartbeat::default())] => MALFORMED,
    other_frame_in_place_of_hello: vec![binary(Heartbeat::default())] => MALFORMED,
    nested_arrays: vec![binary(hello(1, 1)), nested_arrays()] => MALFORMED,
    length_without_data: vec![binary(hello(1, 1)), oversized_byte_string()] => MALFORMED,
    newer_version: vec![binary(hello(PROTOCOL_VERSION + 1, PROTOCOL_VERSION + 1))]
        => Outcome::Goodbye(GoodbyeReason::Version),
    older_version: vec![binary(hello(0, 0))] => Outcome::Goodbye(GoodbyeReason::Version),
    unknown_kind_is_passed_over:
        vec![binary(hello(1, 1)), Message::binary(vec![UNKNOWN_KIND, 1, 2, 3])] => Outcome::Open,
    oversized_frame:
        vec![binary(hello(1, 1)), Message::binary(vec![HEARTBEAT_KIND; MAX_FRAME_BYTES + 1])]
        => Outcome::Closed,
}

fn binary(frame: impl Into<Frame>) -> Message {
    Message::binary(frame.into().encode().expect("a good frame"))
}

fn truncated(frame: impl Into<Frame>) -> Message {
    let buf = frame.into().encode().expect("a good frame");
    Message::binary(buf.slice(..buf.len() - 1))
}

fn with_trailing_byte(frame: impl Into<Frame>) -> Message {
    let mut buf = frame.into().encode().expect("a good frame").to_vec();
    buf.push(0);
    Message::binary(buf)
}

/// A heartbeat frame of 100,000 nested CBOR arrays with one element each.
fn nested_arrays() -> Message {
    let mut buf = vec![0x81; 100_000];
    buf[0] = HEARTBEAT_KIND;
    Message::binary(buf)
}

/// A heartbeat frame that announces a byte string of 2^62 bytes.
fn oversized_byte_string() -> Message {
    Message::binary(vec![HEARTBEAT_KIND, 0x5b, 0x40, 0, 0, 0, 0, 0, 0, 0])
}

fn hello(version: u16, min_version: u16) -> Hello {
    Hello {
        version,
        min_version,
        process: "entry-9".try_into().expect("a name"),
        incarnation: Incarnation::new(9),
        role: ProcessRole::Entry,
        data_centre: "agdal".try_into().expect("a name"),
        region: "morocco".try_into().expect("a name"),
        endpoint: None,
        revisions: Revisions::default(),
    }
}

#[test]
fn each_bad_frame_ends_only_its_connection() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment().await;
        let agent = deployment.agents()[0].record().agent;
        let mut failures = Vec::new();
        for case in cases() {
            let ended = timeout(TIMEOUT, send_all(agent, case.messages)).await;
            let ended = ended.unwrap_or_else(|_| panic!("{}: no end in time", case.name));
            if ended != case.expected {
                failures.push(format!("{}: {ended:?}, not {:?}", case.name, case.expected));
            }
            assert_serves(deployment.entry(0), case.name).await;
        }
        assert!(failures.is_empty(), "{}", failures.join("\n"));
    });
}

async fn send_all(agent: SocketAddr, messages: Vec<Message>) -> Outcome {
    let stream = TcpStream::connect(agent).await.expect("the agent accepts");
    let (mut socket, _) = client_async(format!("ws://{agent}/"), stream).await.expect("a socket");
    for message in messages {
        // The agent may have closed after an earlier one.
        let _ = socket.send(message).await;
    }
    read_outcome(&mut socket).await
}

/// Reads until the connection ends, or until further heartbeats show that it stays open.
async fn read_outcome(socket: &mut WebSocketStream<TcpStream>) -> Outcome {
    let mut heartbeats = 0;
    while let Some(Ok(message)) = socket.next().await {
        let Message::Binary(buf) = message else { continue };
        match Frame::decode(&buf) {
            Ok(Frame::Goodbye(goodbye)) => return Outcome::Goodbye(goodbye.reason),
            // Earlier ones may have been sent before the agent read the last message.
            Ok(Frame::Heartbeat(_)) if heartbeats == 2 => return Outcome::Open,
            Ok(Frame::Heartbeat(_)) => heartbeats += 1,
            _ => {}
        }
    }
    Outcome::Closed
}

/// Bytes that are not a WebSocket handshake, and connections that send nothing or an incomplete one.
const NOT_WEBSOCKET: [(&str, &[u8]); 5] = [
    ("silence", b""),
    ("garbage", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n"),
    ("plain_http", b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"),
    ("half_a_handshake", b"GET / HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\n"),
    ("wrong_method", b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"),
];

#[test]
fn what_is_no_websocket_is_cut_off() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment().await;
        let agent = deployment.agents()[0].record().agent;
        for (name, bytes) in NOT_WEBSOCKET {
            let mut raw = Raw::open(agent).await;
            raw.send(bytes).await;
            let reply = raw.reply_and_close().await;
            assert_ne!(reply.status(), Some(101), "{name}: {}", reply.text);
            assert_serves(deployment.entry(0), name).await;
        }
    });
}

#[test]
fn a_websocket_without_hello_is_cut_off() {
    actix_rt::System::new().block_on(async {
        let deployment: Deployment = deployment().await;
        let agent = deployment.agents()[0].record().agent;
        let ended = timeout(TIMEOUT, send_all(agent, Vec::new())).await.expect("an end in time");
        assert_eq!(ended, Outcome::Closed);
        assert_serves(deployment.entry(0), "no hello").await;
    });
}
