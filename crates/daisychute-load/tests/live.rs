//! Live replay against a small HTTP server.

use std::net::SocketAddr;
use std::rc::Rc;

use daisychute_load::generate::{Scenario, generate};
use daisychute_load::live::{LiveOptions, LiveReport, prompt, replay_live};
use daisychute_load::trace::{SampleDeployment, Trace};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
    connection: close\r\n\r\n\
    14\r\ndata: {\"choices\":[]}\r\n2\r\n\n\n\r\n\
    24\r\ndata: {\"choices\":[]}\n\ndata: [DONE]\n\n\r\n0\r\n\r\n";
const TRUNCATED_STREAM: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n\
    16\r\ndata: {\"choices\":[]}\n\n\r\n0\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 429 Too Many Requests\r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Starts a server that sends this response to every request.
async fn serve(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(respond(stream, response));
        }
    });
    addr
}

async fn respond(mut stream: TcpStream, response: &'static str) {
    let mut received = Vec::new();
    while !received.windows(4).any(|it| it == b"\r\n\r\n") {
        match stream.read_buf(&mut received).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    let head_end = received.windows(4).position(|it| it == b"\r\n\r\n").unwrap() + 4;
    let head = String::from_utf8_lossy(&received[..head_end]).to_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|it| it.split("\r\n").next());
    let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
    while received.len() < head_end + length {
        match stream.read_buf(&mut received).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    stream.write_all(response.as_bytes()).await.ok();
    stream.shutdown().await.ok();
}

fn trace() -> Rc<Trace> {
    let mut trace = generate(SampleDeployment::RabatSale, Scenario::Steady, 2);
    trace.requests.truncate(20);
    Rc::new(trace)
}

fn replay(response: &'static str) -> LiveReport {
    actix_rt::System::new().block_on(async {
        let addr = serve(response).await;
        let options = LiveOptions::new(format!("http://{addr}")).speed(10.0);
        replay_live(trace(), options).await
    })
}

macro_rules! live_cases {
    ($($name:ident: $response:expr => ($refused:expr, $failed:expr);)*) => {$(
        #[test]
        fn $name() {
            let report = replay($response);
            assert_eq!(report.sent(), 20);
            assert_eq!((report.refused(), report.failed()), ($refused, $failed), "{report}");
        }
    )*};
}

fn completions() -> u32 {
    trace().requests.iter().filter(|it| it.prompt_tokens > 0).count() as u32
}

live_cases! {
    complete_responses_are_counted: STREAM => (0, 0);
    refusals_are_counted: REFUSAL => (20, 0);
    a_stream_without_its_last_event_fails: TRUNCATED_STREAM => (0, completions());
}

#[test]
fn prompts_share_the_text_of_their_prefix() {
    let trace = generate(SampleDeployment::Budapest, Scenario::Steady, 1);
    let requests: Vec<_> =
        trace.requests.iter().enumerate().filter(|(_, it)| it.prefix_tokens > 64).collect();
    let (first_index, first) = requests[0];
    let (second_index, second) =
        *requests[1..].iter().find(|(_, it)| it.prefix == first.prefix).unwrap();
    let prefix_bytes = first.prefix_tokens.min(second.prefix_tokens) as usize * 4;
    assert_eq!(
        prompt(first, first_index)[..prefix_bytes],
        prompt(second, second_index)[..prefix_bytes]
    );
    assert_ne!(
        prompt(first, first_index)[prefix_bytes..],
        prompt(second, second_index)[prefix_bytes..]
    );
    assert_eq!(prompt(first, first_index).len(), first.prompt_tokens as usize * 4);
}
