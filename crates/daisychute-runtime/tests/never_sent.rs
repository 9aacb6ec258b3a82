//! Checks which failures of an HTTP call prove that it was never sent.

use std::net::SocketAddr;

use daisychute_runtime::never_sent;
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};

/// Handles one connection of the test server.
type ConnectionHandler = fn(TcpStream);

fn close_immediately(stream: TcpStream) {
    drop(stream);
}

fn close_after_reading(mut stream: TcpStream) {
    actix_rt::spawn(async move {
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).await;
    });
}

async fn serve(handler: Option<ConnectionHandler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    if let Some(handler) = handler {
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                handler(stream);
            }
        });
    }
    addr
}

macro_rules! failures {
    ($($name:ident: $handler:expr => $never_sent:literal;)*) => {$(
        #[test]
        fn $name() {
            actix_rt::System::new().block_on(async {
                let addr = serve($handler).await;
                let sent = awc::Client::default().post(format!("http://{addr}/")).send_body("body").await;
                let error = sent.expect_err("no response arrives");
                assert_eq!(never_sent(&error), $never_sent, "{error:?}");
            });
        }
    )*};
}

failures! {
    nothing_listens: None => true;
    closed_at_once: Some(close_immediately) => false;
    closed_after_the_request: Some(close_after_reading) => false;
}
