//! The relay and what it does to connections.

mod common;

use std::io;
use std::time::Duration;

use common::{LIMIT, cases};
use daisychute_standin::harness::{ANY_PORT, Client, HarnessError, wait_until};
use daisychute_standin::relay::Mode;
use daisychute_standin::{Relay, Service, service::ServiceConfig};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// How long a connection is watched that must stay silent.
const SILENCE: Duration = Duration::from_millis(50);
const REQUEST: &[u8] = b"GET /counts HTTP/1.1\r\nHost: a\r\n\r\n";

type Outcome = Result<(), HarnessError>;

cases! {
    bytes_go_both_ways: both_ways(),
    a_cut_resets_connections: cut(),
    a_silent_connection_stays_silent: silent(),
    a_silent_connection_can_be_cut: silent_then_cut(),
    a_blocked_relay_forwards_nothing_new: blocked(),
    a_refusing_relay_closes_new_connections: refusing(),
    the_switches_are_served: switches(),
    a_far_end_that_is_gone_resets: far_end_gone(),
}

struct Path {
    _service: Service,
    relay: Relay,
}

impl Path {
    async fn start() -> Self {
        let service = Service::start(ANY_PORT, ServiceConfig::new("sign-feed")).await;
        let service = service.expect("a free port");
        let relay = Relay::start(ANY_PORT, service.local_addr(), ANY_PORT).await;
        Self { _service: service, relay: relay.expect("a free port") }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.relay.local_addr()).await.expect("the relay listens")
    }

    /// A connection that has had one answer.
    async fn open(&self) -> TcpStream {
        let mut stream = self.connect().await;
        assert!(ask(&mut stream).await.expect("an answer") > 0);
        stream
    }
}

async fn ask(stream: &mut TcpStream) -> io::Result<usize> {
    stream.write_all(REQUEST).await?;
    stream.read(&mut [0; 4_096]).await
}

async fn is_silent(stream: &mut TcpStream) -> bool {
    actix_rt::time::timeout(SILENCE, ask(stream)).await.is_err()
}

async fn is_reset(stream: &mut TcpStream) -> bool {
    let read = stream.read(&mut [0; 1]).await;
    read.is_err_and(|it| it.kind() == io::ErrorKind::ConnectionReset)
}

async fn both_ways() -> Outcome {
    let path = Path::start().await;
    let client = Client::new(path.relay.local_addr());
    let large = json!("x".repeat(500_000));
    let answer: Value = client.post("/counts", &large).await?.json()?;
    assert_eq!(answer["echo"], large);
    let seen = path.relay.seen();
    assert!(seen.accepted == 1 && seen.bytes_to > 500_000 && seen.bytes_back > 500_000);
    wait_until("the connection is closed", LIMIT, || path.relay.seen().open == 0).await
}

async fn cut() -> Outcome {
    let path = Path::start().await;
    let mut stream = path.open().await;
    path.relay.cut();
    assert!(is_reset(&mut stream).await);
    path.open().await;
    Ok(())
}

async fn silent() -> Outcome {
    let path = Path::start().await;
    let mut stream = path.open().await;
    path.relay.silence();
    assert!(is_silent(&mut stream).await);
    path.relay.set_mode(Mode::Open);
    path.open().await;
    assert!(is_silent(&mut stream).await);
    assert_eq!(path.relay.seen().silent, 1);
    Ok(())
}

async fn silent_then_cut() -> Outcome {
    let path = Path::start().await;
    let mut stream = path.open().await;
    path.relay.silence();
    path.relay.cut();
    assert!(is_reset(&mut stream).await);
    wait_until("no connection is silent", LIMIT, || path.relay.seen().silent == 0).await
}

async fn blocked() -> Outcome {
    let path = Path::start().await;
    let mut before = path.open().await;
    path.relay.set_mode(Mode::Block);
    let mut during = path.connect().await;
    assert!(is_silent(&mut during).await);
    assert!(ask(&mut before).await.is_ok_and(|it| it > 0));
    path.relay.set_mode(Mode::Open);
    path.open().await;
    assert!(is_silent(&mut during).await);
    Ok(())
}

async fn refusing() -> Outcome {
    let path = Path::start().await;
    path.relay.set_mode(Mode::Refuse);
    let mut stream = path.connect().await;
    assert!(is_reset(&mut stream).await);
    Ok(())
}

async fn switches() -> Outcome {
    let path = Path::start().await;
    let admin = Client::new(path.relay.admin_addr());
    for (switch, mode) in [("/block", "block"), ("/refuse", "refuse"), ("/restore", "open")] {
        let seen: Value = admin.post(switch, &Value::Null).await?.json()?;
        assert_eq!(seen["mode"], mode);
    }
    let mut silent = path.open().await;
    admin.post("/silent", &Value::Null).await?;
    assert!(is_silent(&mut silent).await);
    let mut open = path.open().await;
    admin.post("/cut", &Value::Null).await?;
    assert!(is_reset(&mut silent).await && is_reset(&mut open).await);
    assert_eq!(admin.get("/seen").await?.json::<Value>()?["accepted"], 2);
    Ok(())
}

async fn far_end_gone() -> Outcome {
    let gone = std::net::TcpListener::bind(ANY_PORT).and_then(|it| it.local_addr());
    let relay = Relay::start(ANY_PORT, gone.expect("a free port"), ANY_PORT).await;
    let relay = relay.expect("a free port");
    let mut stream = TcpStream::connect(relay.local_addr()).await.expect("the relay listens");
    assert!(is_reset(&mut stream).await);
    Ok(())
}
