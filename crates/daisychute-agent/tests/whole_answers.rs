//! A response that is truncated between endpoint and agent is never reported as complete.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisychute_agent::Fifo;
use daisychute_agent::core::{AgentConfig, AgentCore};
use daisychute_agent::shell::{AgentOptions, AgentShell};
use daisychute_core::{
    EndpointKind, EndpointRecord, EndpointState, EngineTarget, Incarnation, Precedence,
    ProcessName, RefusalReason, RequestId, Role, Verdict,
};
use daisychute_link::{Documents, Link, LinkConfig, LinkEvent, LinkId, connect};
use daisychute_proto::{
    Call, Completion, Frame, Hello, PROTOCOL_VERSION, ProcessRole, Prompt, Revisions, Start, Work,
};
use daisychute_runtime::Clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(10);
const REQUEST: RequestId = RequestId::new(Incarnation::new(7), 1);
/// Time for which an entry doesn't read on.
const UNREAD_TIME: Duration = Duration::from_secs(2);
/// Bytes that an agent, and the system, may hold of a body beyond the window of its request.
const MAX_UNREAD_BYTES: usize = 16 * 1024 * 1024;
/// Body of each request. A service has read the whole request when it has received this.
const BODY: &str = "passed=1";

/// Head of a stream in chunks.
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
/// Part of the path by which an agent reads a stream again that broke off; the endpoint doesn't keep any.
const RESUME_PATH: &str = "/stream?from=";
/// Request line of the agent's state reads.
const STATE_REQUEST_LINE: &str = "GET /state HTTP/1.1";

/// The outcome that the entry receives for a request.
#[derive(Debug, PartialEq)]
enum Outcome {
    Complete { status: u16, body: String },
    Refused { verdict: Verdict, reason: RefusalReason },
}

/// No document replication, as the requests need none.
#[derive(Debug)]
struct NoDocuments;

impl Documents for NoDocuments {
    fn revisions_reported(&self, _: &ProcessName, _: Revisions) {}
    fn peer_disconnected(&self, _: &ProcessName) {}
    fn frame_received(&self, _: &ProcessName, _: Frame) {}
    fn endpoint_observed(&self, _: &EndpointRecord) {}
    fn confirm_plan(&self) {}
}

fn complete(status: u16, body: &str) -> Outcome {
    Outcome::Complete { status, body: body.to_owned() }
}

const ENDPOINT_LOST: Outcome =
    Outcome::Refused { verdict: Verdict::Unknown, reason: RefusalReason::EndpointLost };
const BAD_RESPONSE: Outcome =
    Outcome::Refused { verdict: Verdict::Unknown, reason: RefusalReason::BadAnswer };

macro_rules! service_responses {
    ($($name:ident: $bytes:expr => $ended:expr,)*) => {$(
        #[test]
        fn $name() {
            for work in [call(false), call(true)] {
                let ended = actix_rt::System::new().block_on(run($bytes, &work));
                assert_eq!(ended, $ended, "{work:?}");
            }
        }
    )*};
}

macro_rules! engine_streams_without_end {
    ($($name:ident: $unit:expr,)*) => {$(
        /// Guards against memory that grows with an event which doesn't end, and a request that waits for it.
        #[test]
        fn $name() {
            let asked_at = Instant::now();
            let ended = actix_rt::System::new().block_on(run_with(STREAM_HEAD, $unit, &completion()));
            assert_eq!(ended, ENDPOINT_LOST);
            assert!(asked_at.elapsed() < TIMEOUT / 2);
        }
    )*};
}

macro_rules! responses_without_end {
    ($($name:ident: $start:expr, $unit:expr => $ended:expr,)*) => {$(
        /// Guards against memory that grows with a head which doesn't end, and a request that waits for it.
        #[test]
        fn $name() {
            for work in [call(false), completion()] {
                let asked_at = Instant::now();
                let ended = actix_rt::System::new().block_on(run_with($start, $unit, &work));
                assert_eq!(ended, $ended, "{work:?}");
                assert!(asked_at.elapsed() < TIMEOUT / 2, "{work:?}");
            }
        }
    )*};
}

macro_rules! engine_errors_without_end {
    ($($name:ident: $start:expr, $unit:expr,)*) => {$(
        /// Guards against memory that grows with an error which doesn't end, and a request that waits for it.
        #[test]
        fn $name() {
            let asked_at = Instant::now();
            let ended = actix_rt::System::new().block_on(run_with($start, $unit, &completion()));
            assert_eq!(ended, ENDPOINT_LOST);
            assert!(asked_at.elapsed() < TIMEOUT / 2);
        }
    )*};
}

macro_rules! unread_bodies {
    ($($name:ident: $start:expr, $unit:expr, $work:expr,)*) => {$(
        /// Guards against memory that grows with a body which the entry doesn't read.
        #[test]
        fn $name() {
            let bytes = actix_rt::System::new().block_on(count_unread($start, $unit, &$work));
            println!("{bytes} bytes were taken");
            assert!(bytes < MAX_UNREAD_BYTES, "{bytes} bytes were taken");
        }
    )*};
}

macro_rules! engine_refusals {
    ($($name:ident: $bytes:expr => $ended:expr,)*) => {$(
        #[test]
        fn $name() {
            let ended = actix_rt::System::new().block_on(run($bytes, &completion()));
            assert_eq!(ended, $ended);
        }
    )*};
}

service_responses! {
    whole_answer_of_known_length:
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello" => complete(200, "hello"),
    whole_answer_in_chunks:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
            => complete(200, "hello"),
    whole_answer_without_a_body: "HTTP/1.1 204 No Content\r\n\r\n" => complete(204, ""),
    refusal_of_the_service_passes:
        "HTTP/1.1 409 Conflict\r\ncontent-length: 4\r\n\r\nfull" => complete(409, "full"),
    cut_of_known_length: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello" => ENDPOINT_LOST,
    cut_of_known_length_before_the_body: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n" => ENDPOINT_LOST,
    cut_inside_a_chunk:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhello" => ENDPOINT_LOST,
    cut_between_chunks:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n" => ENDPOINT_LOST,
    cut_before_the_first_chunk:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" => ENDPOINT_LOST,
    cut_inside_the_last_chunk:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" => ENDPOINT_LOST,
    cut_inside_the_head: "HTTP/1.1 200 OK\r\ncontent-le" => ENDPOINT_LOST,
    malformed_chunk:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhello\r\n" => ENDPOINT_LOST,
    end_marked_only_by_the_close: "HTTP/1.1 200 OK\r\n\r\nhello" => BAD_RESPONSE,
}

engine_streams_without_end! {
    line_without_end: "40\r\nyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n",
    event_of_many_lines_without_end: "8\r\ndata: y\n\r\n",
    comments_without_end: "4\r\n: y\n\r\n",
}

responses_without_end! {
    bytes_in_place_of_a_head: "", "x" => ENDPOINT_LOST,
    header_lines_without_end: "HTTP/1.1 200 OK\r\n", "x-more: yes\r\n" => ENDPOINT_LOST,
    blank_lines_in_place_of_a_head: "", "\r\n" => ENDPOINT_LOST,
    interim_responses_of_an_endpoint_without_end: "", "HTTP/1.1 100 Continue\r\n\r\n" => ENDPOINT_LOST,
}

engine_errors_without_end! {
    error_chunks_without_end:
        "HTTP/1.1 400 Bad Request\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\n: y\n\r\n",
    error_body_of_a_huge_length:
        "HTTP/1.1 400 Bad Request\r\ncontent-length: 100000000000\r\n\r\n", "y",
    error_chunk_extension_without_end:
        "HTTP/1.1 400 Bad Request\r\ntransfer-encoding: chunked\r\n\r\n1;", "y",
}

unread_bodies! {
    unread_body_of_a_huge_length:
        "HTTP/1.1 200 OK\r\ncontent-length: 100000000000\r\n\r\n", "y", call(false),
    unread_chunks_without_end: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "10\r\nyyyyyyyyyyyyyyyy\r\n", call(false),
    unread_tokens_without_end: STREAM_HEAD,
        "31\r\ndata: {\"choices\":[{\"index\":0,\"text\":\"yyyyy\"}]}\n\n\r\n", completion(),
}

engine_refusals! {
    whole_refusal_of_an_engine:
        "HTTP/1.1 400 Bad Request\r\ncontent-length: 9\r\n\r\n{\"no\": 1}" => complete(400, "{\"no\": 1}"),
    empty_refusal_of_an_engine:
        "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n" => complete(404, ""),
    cut_refusal_of_an_engine:
        "HTTP/1.1 400 Bad Request\r\ncontent-length: 9\r\n\r\n{\"no\"" => ENDPOINT_LOST,
    cut_refusal_of_an_engine_before_the_body:
        "HTTP/1.1 400 Bad Request\r\ncontent-length: 9\r\n\r\n" => ENDPOINT_LOST,
    cut_refusal_of_an_engine_in_chunks:
        "HTTP/1.1 400 Bad Request\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"no\"\r\n" => ENDPOINT_LOST,
}

/// Runs one request on an endpoint that responds with these bytes and closes the connection.
async fn run(response: &'static str, work: &Work) -> Outcome {
    run_with(response, "", work).await
}

/// Runs one request on an endpoint that responds with these bytes, and then with `unit` again and again, unless it is
/// empty, until the connection is closed.
async fn run_with(response: &'static str, unit: &'static str, work: &Work) -> Outcome {
    let service = StdListener::bind("127.0.0.1:0").expect("a free port");
    service.set_nonblocking(true).expect("a listener");
    let service_addr = service.local_addr().expect("an address");
    // Writing without end must not take the agent's time.
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            serve(TcpListener::from_std(service).expect("a listener"), response, unit).await;
        });
    });
    let agent_addr = start_agent(service_addr, work);
    let (tx, mut rx) = unbounded_channel();
    connect(agent_addr, LinkId::new(1), hello(), LinkConfig::default(), tx);
    let ended = timeout(TIMEOUT, run_to_end(&mut rx, work)).await;
    ended.expect("the call ends in time")
}

/// Runs one request whose entry doesn't ask for more than the window. Returns how many bytes of its body the agent takes
/// in a second.
async fn count_unread(response: &'static str, unit: &'static str, work: &Work) -> usize {
    let service = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let service_addr = service.local_addr().expect("an address");
    let count = Rc::new(Cell::new(0));
    let written = Rc::clone(&count);
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = service.accept().await {
            let written = Rc::clone(&written);
            actix_rt::spawn(async move {
                if read_request(&mut stream).await {
                    stream.write_all(response.as_bytes()).await.expect("the agent reads");
                    let block = unit.repeat(1_000);
                    while stream.write_all(block.as_bytes()).await.is_ok() {
                        written.set(written.get() + block.len());
                    }
                }
            });
        }
    });
    let agent_addr = start_agent(service_addr, work);
    let (tx, mut rx) = unbounded_channel();
    connect(agent_addr, LinkId::new(1), hello(), LinkConfig::default(), tx);
    let _ = timeout(UNREAD_TIME, run_to_end(&mut rx, work)).await;
    count.get()
}

async fn serve(service: TcpListener, response: &'static str, unit: &'static str) {
    while let Ok((mut stream, _)) = service.accept().await {
        actix_rt::spawn(async move {
            if read_request(&mut stream).await {
                stream.write_all(response.as_bytes()).await.expect("the agent reads");
                let block = unit.repeat(64 * 1024 / unit.len().max(1));
                while !unit.is_empty() && stream.write_all(block.as_bytes()).await.is_ok() {}
            }
        });
    }
}

/// Returns whether a whole request arrived that the endpoint runs. State reads, which an engine gets before, are answered.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if text.contains(BODY) {
            return true;
        }
        if text.contains(RESUME_PATH) {
            return false;
        }
        if text.contains(STATE_REQUEST_LINE) {
            stream.write_all(state_response().as_bytes()).await.expect("the agent reads");
            received.clear();
        }
        if stream.read_buf(&mut received).await.expect("the agent writes") == 0 {
            return false;
        }
    }
}

fn state_response() -> String {
    let body = "{\"role\":\"mixed\",\"model\":\"clerk-lm\",\"version\":\"1\",\"changing\":false,\"fence\":0,\
        \"checks_fence\":true,\"started\":1}";
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn start_agent(service: SocketAddr, work: &Work) -> SocketAddr {
    let listener = StdListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let core = AgentCore::new(AgentConfig::default(), Fifo::new(4), record(addr, work));
    let options = AgentOptions {
        process: "agent-1".try_into().expect("a name"),
        data_centre: "agdal".try_into().expect("a name"),
        region: "morocco".try_into().expect("a name"),
        endpoint_url: format!("http://{service}"),
        // The entry sends no heartbeats.
        link: LinkConfig::default().heartbeat_timeout(2 * TIMEOUT),
    };
    let shell =
        AgentShell::new(options, core, Clock::start(), listener, NoDocuments).expect("a listener");
    actix_rt::spawn(shell.run());
    addr
}

fn record(agent: SocketAddr, work: &Work) -> EndpointRecord {
    let (kind, target) = match work {
        Work::Call(call) => (EndpointKind::Service(call.service.clone()), None),
        Work::Completion(completion) => (EndpointKind::Engine, Some(target(completion))),
    };
    EndpointRecord {
        endpoint: "sign-feed-1".try_into().expect("a name"),
        instance: "i-1".try_into().expect("a name"),
        data_centre: "agdal".try_into().expect("a name"),
        kind,
        agent,
        incarnation: Incarnation::new(1),
        state: EndpointState::Live,
        target,
    }
}

fn target(completion: &Completion) -> EngineTarget {
    EngineTarget {
        role: Role::Mixed,
        model: completion.model.clone(),
        version: "1".try_into().expect("a name"),
        adapter: None,
    }
}

fn hello() -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        min_version: PROTOCOL_VERSION,
        process: "entry-1".try_into().expect("a name"),
        incarnation: REQUEST.origin,
        role: ProcessRole::Entry,
        data_centre: "agdal".try_into().expect("a name"),
        region: "morocco".try_into().expect("a name"),
        endpoint: None,
        revisions: Revisions::default(),
    }
}

fn start(work: Work) -> Start {
    Start {
        id: REQUEST,
        attempt: 1,
        tenant: "clerks".try_into().expect("a name"),
        class: "panel".try_into().expect("a name"),
        precedence: Precedence::First,
        deadline: TIMEOUT,
        first_token: None,
        between_tokens: None,
        window: 1 << 16,
        work,
    }
}

fn call(repeatable: bool) -> Work {
    Work::Call(Call {
        service: "sign-feed".try_into().expect("a name"),
        method: "POST".to_owned(),
        path: "/counts".to_owned(),
        content_type: None,
        body: Bytes::from_static(BODY.as_bytes()),
        key: Some("count-1".to_owned()),
        repeatable,
    })
}

fn completion() -> Work {
    Work::Completion(Completion {
        model: "clerk-lm".try_into().expect("a name"),
        adapter: None,
        version: None,
        prompt: Prompt::Text(BODY.to_owned()),
        max_tokens: 4,
        options: String::new(),
        emitted: String::new(),
        emitted_tokens: 0,
    })
}

/// Sends the request as soon as the endpoint admits work, and waits for its outcome.
async fn run_to_end(rx: &mut UnboundedReceiver<LinkEvent>, work: &Work) -> Outcome {
    let mut status = 0;
    let mut body = String::new();
    let mut open: Option<Link> = None;
    let mut waiting = Some(start(work.clone()));
    loop {
        let record = match rx.recv().await.expect("the connection stays open") {
            LinkEvent::Up { link, hello, .. } => {
                open = Some(link);
                hello.endpoint
            }
            LinkEvent::Down { reason, .. } => panic!("the connection is down: {reason}"),
            LinkEvent::Frame { frame, .. } => match *frame {
                Frame::Heartbeat(heartbeat) => heartbeat.endpoint,
                Frame::Head(head) => {
                    status = head.status;
                    None
                }
                Frame::Chunk(chunk) => {
                    body.push_str(&String::from_utf8_lossy(&chunk.data));
                    None
                }
                Frame::End(_) => return Outcome::Complete { status, body },
                Frame::Refused(refused) => {
                    let refusal = refused.refusal;
                    return Outcome::Refused { verdict: refusal.verdict, reason: refusal.reason };
                }
                _ => None,
            },
        };
        if record.is_some_and(|it| it.state == EndpointState::Live)
            && let (Some(link), Some(start)) = (&open, waiting.take())
        {
            link.send(start);
        }
    }
}
