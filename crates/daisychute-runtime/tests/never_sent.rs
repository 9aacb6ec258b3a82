//! Which failures prove that a call was never sent.

use std::net::SocketAddr;

use daisychute_runtime::never_sent;
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};

/// What a server does with each connection.
type Treat = fn(TcpStream);

fn drop_at_once(stream: TcpStream) {
    drop(stream);
}

fn drop_after_reading(mut stream: TcpStream) {
    actix_rt::spawn(async move {
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).await;
    });
}

async fn serve(treat: Option<Treat>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    if let Some(treat) = treat {
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                treat(stream);
            }
        });
    }
    addr
}

macro_rules! failures {
    ($($name:ident: $treat:expr => $proves:literal;)*) => {$(
        #[test]
        fn $name() {
            actix_rt::System::new().block_on(async {
                let addr = serve($treat).await;
                let sent = awc::Client::default().post(format!("http://{addr}/")).send_body("body").await;
                let error = sent.expect_err("no answer comes");
                assert_eq!(never_sent(&error), $proves, "{error:?}");
            });
        }
    )*};
}

failures! {
    nothing_listens: None => true;
    closed_at_once: Some(drop_at_once) => false;
    closed_after_the_request: Some(drop_after_reading) => false;
}
