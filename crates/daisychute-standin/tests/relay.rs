//! The relay and the faults that it injects into connections.

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

/// Time without a byte after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(50);
const REQUEST: &[u8] = b"GET /counts HTTP/1.1\r\nHost: a\r\n\r\n";

type Outcome = Result<(), HarnessError>;

cases! {
    bytes_are_forwarded_both_ways: both_ways(),
    a_cut_resets_connections: cut(),
    a_silent_connection_stays_silent: silent(),
    a_silent_connection_can_be_cut: silent_then_cut(),
    a_blocked_relay_forwards_no_new_connection: blocked(),
    a_refusing_relay_closes_new_connections: refusing(),
    faults_are_injected_over_http: control_api(),
    an_unreachable_server_resets_connections: unreachable_server(),
}

/// A service and a relay in front of it.
struct Setup {
    _service: Service,
    relay: Relay,
}

impl Setup {
    async fn start() -> Self {
        let service = Service::start(ANY_PORT, ServiceConfig::new("sign-feed")).await;
        let service = service.expect("a free port");
        let relay = Relay::start(ANY_PORT, service.local_addr(), ANY_PORT).await;
        Self { _service: service, relay: relay.expect("a free port") }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.relay.local_addr()).await.expect("the relay listens")
    }

    /// Opens a connection and receives one response on it.
    async fn open(&self) -> TcpStream {
        let mut stream = self.connect().await;
        assert!(call(&mut stream).await.expect("a response") > 0);
        stream
    }
}

async fn call(stream: &mut TcpStream) -> io::Result<usize> {
    stream.write_all(REQUEST).await?;
    stream.read(&mut [0; 4_096]).await
}

async fn is_silent(stream: &mut TcpStream) -> bool {
    actix_rt::time::timeout(SILENCE_TIMEOUT, call(stream)).await.is_err()
}

async fn is_reset(stream: &mut TcpStream) -> bool {
    let read = stream.read(&mut [0; 1]).await;
    read.is_err_and(|it| it.kind() == io::ErrorKind::ConnectionReset)
}

async fn both_ways() -> Outcome {
    let setup = Setup::start().await;
    let client = Client::new(setup.relay.local_addr());
    let large = json!("x".repeat(500_000));
    let response: Value = client.post("/counts", &large).await?.json()?;
    assert_eq!(response["echo"], large);
    let seen = setup.relay.seen();
    assert!(seen.accepted == 1 && seen.bytes_to > 500_000 && seen.bytes_back > 500_000);
    wait_until("the connection is closed", LIMIT, || setup.relay.seen().open == 0).await
}

async fn cut() -> Outcome {
    let setup = Setup::start().await;
    let mut stream = setup.open().await;
    setup.relay.cut();
    assert!(is_reset(&mut stream).await);
    setup.open().await;
    Ok(())
}

async fn silent() -> Outcome {
    let setup = Setup::start().await;
    let mut stream = setup.open().await;
    setup.relay.silence();
    assert!(is_silent(&mut stream).await);
    setup.relay.set_mode(Mode::Open);
    setup.open().await;
    assert!(is_silent(&mut stream).await);
    assert_eq!(setup.relay.seen().silent, 1);
    Ok(())
}

async fn silent_then_cut() -> Outcome {
    let setup = Setup::start().await;
    let mut stream = setup.open().await;
    setup.relay.silence();
    setup.relay.cut();
    assert!(is_reset(&mut stream).await);
    wait_until("no connection is silent", LIMIT, || setup.relay.seen().silent == 0).await
}

async fn blocked() -> Outcome {
    let setup = Setup::start().await;
    let mut before = setup.open().await;
    setup.relay.set_mode(Mode::Block);
    let mut during = setup.connect().await;
    assert!(is_silent(&mut during).await);
    assert!(call(&mut before).await.is_ok_and(|it| it > 0));
    setup.relay.set_mode(Mode::Open);
    setup.open().await;
    assert!(is_silent(&mut during).await);
    Ok(())
}

async fn refusing() -> Outcome {
    let setup = Setup::start().await;
    setup.relay.set_mode(Mode::Refuse);
    let mut stream = setup.connect().await;
    assert!(is_reset(&mut stream).await);
    Ok(())
}

async fn control_api() -> Outcome {
    let setup = Setup::start().await;
    let admin = Client::new(setup.relay.admin_addr());
    for (path, mode) in [("/block", "block"), ("/refuse", "refuse"), ("/restore", "open")] {
        let seen: Value = admin.post(path, &Value::Null).await?.json()?;
        assert_eq!(seen["mode"], mode);
    }
    let mut silent = setup.open().await;
    admin.post("/silent", &Value::Null).await?;
    assert!(is_silent(&mut silent).await);
    let mut open = setup.open().await;
    admin.post("/cut", &Value::Null).await?;
    assert!(is_reset(&mut silent).await && is_reset(&mut open).await);
    assert_eq!(admin.get("/seen").await?.json::<Value>()?["accepted"], 2);
    Ok(())
}

async fn unreachable_server() -> Outcome {
    let closed = std::net::TcpListener::bind(ANY_PORT).and_then(|it| it.local_addr());
    let relay = Relay::start(ANY_PORT, closed.expect("a free port"), ANY_PORT).await;
    let relay = relay.expect("a free port");
    let mut stream = TcpStream::connect(relay.local_addr()).await.expect("the relay listens");
    assert!(is_reset(&mut stream).await);
    Ok(())
}
