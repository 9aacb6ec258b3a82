//! The object client against a server that sends a prepared response.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use daisychute_store::{
    CallError, CallRateSettings, ClientSettings, ObjectClient, ObjectKind, ResourceVersion,
    UnavailableCause, WatchKind,
};

const PLAN: &str = r#"{"apiVersion":"daisychute.dev/v1","kind":"plans","metadata":{"name":"morocco","resourceVersion":"17","annotations":{"writer":"entry-1/5f3a","write":"42"}},"spec":{"term":3}}"#;

/// Starts a server that sends `response` once on each connection and closes it after `hold`. Returns its URL.
fn serve(response: String, hold: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        for stream in listener.incoming() {
            serve_connection(stream.unwrap(), &response, hold);
        }
    });
    url
}

fn serve_connection(mut stream: TcpStream, response: &str, hold: Duration) {
    let mut buf = [0; 8_192];
    let _ = stream.read(&mut buf);
    let _ = stream.write_all(response.as_bytes());
    thread::sleep(hold);
}

fn http_response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn run<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(test)
}

fn client(url: String) -> ObjectClient {
    let settings = ClientSettings::new(url).call_timeout(Duration::from_millis(300));
    ObjectClient::new(settings.watch_idle_timeout(Duration::from_millis(300)))
}

macro_rules! response_cases {
    ($($name:ident: $status:literal $body:expr => $expected:pat,)*) => {$(
        #[test]
        fn $name() {
            run(async {
            let client = client(serve(http_response($status, $body), Duration::ZERO));
            let outcome = client.read(ObjectKind::Plans, "morocco").await;
            assert!(matches!(outcome, $expected), "{outcome:?}");
            });
        }
    )*};
}

response_cases! {
    not_found: "404 Not Found" "" => Err(CallError::NotFound),
    conflict: "409 Conflict" r#"{"reason":"Conflict"}"# => Err(CallError::Conflict),
    already_exists: "409 Conflict" r#"{"reason":"AlreadyExists"}"# => Err(CallError::AlreadyExists),
    expired: "410 Gone" r#"{"reason":"Expired"}"# => Err(CallError::Expired),
    too_large: "413 Content Too Large" "" => Err(CallError::TooLarge),
    throttled: "429 Too Many Requests" "" => Err(CallError::Throttled { .. }),
    unavailable: "503 Service Unavailable" ""
        => Err(CallError::Unavailable(UnavailableCause::ServerError { status: 503 })),
    refused: "400 Bad Request" "" => Err(CallError::Refused { status: 400 }),
    malformed: "200 OK" "{" => Err(CallError::Malformed),
}

#[test]
fn an_object_keeps_its_version_and_its_write_id() {
    run(async {
        let client = client(serve(http_response("200 OK", PLAN), Duration::ZERO));
        let plan = client.read(ObjectKind::Plans, "morocco").await.unwrap();
        assert_eq!(plan.metadata.resource_version, Some(ResourceVersion::from("17")));
        assert_eq!(plan.write_id().unwrap().to_string(), "entry-1/5f3a#42");
        assert_eq!(serde_json::to_string(&plan).unwrap().len(), PLAN.len());
    });
}

#[test]
fn a_platform_that_does_not_respond_is_unavailable_at_the_timeout() {
    run(async {
        let client = client(serve(String::new(), Duration::from_secs(3)));
        let outcome = client.read(ObjectKind::Plans, "morocco").await;
        assert_eq!(outcome, Err(CallError::Unavailable(UnavailableCause::Timeout)));
        assert!(outcome.unwrap_err().may_have_taken_effect());
    });
}

#[test]
fn a_failed_connect_is_unavailable_without_effect() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        drop(listener);
        let outcome = client(url).read(ObjectKind::Plans, "morocco").await;
        assert_eq!(outcome, Err(CallError::Unavailable(UnavailableCause::Connect)));
    });
}

#[test]
fn a_watch_delivers_events_then_reaches_its_idle_timeout() {
    run(async {
        let lines = format!(
            "{{\"type\":\"MODIFIED\",\"object\":{PLAN}}}\n{{\"type\":\"BOOKMARK\",\"object\":{{\"kind\":\"plans\",\"metadata\":{{\"resourceVersion\":\"19\"}}}}}}\n"
        );
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{lines}");
        let client = client(serve(response, Duration::from_secs(3)));
        let from = ResourceVersion::from("16");
        let mut watch = client.watch(ObjectKind::Plans, &from).await.unwrap();
        let changed = watch.next_event().await.unwrap();
        assert_eq!((changed.kind, changed.object.is_some()), (WatchKind::Modified, true));
        let bookmark = watch.next_event().await.unwrap();
        assert_eq!(bookmark.version, ResourceVersion::from("19"));
        assert_eq!(
            watch.next_event().await,
            Err(CallError::Unavailable(UnavailableCause::Timeout))
        );
    });
}

#[test]
fn calls_and_watches_stay_within_the_rate_limit() {
    run(async {
        let url = serve(http_response("200 OK", PLAN), Duration::ZERO);
        let call_rate = CallRateSettings { calls_per_second: 1, burst: 2, max_watches: 1 };
        let client = ObjectClient::new(ClientSettings::new(url).call_rate(call_rate));
        let from = ResourceVersion::from("1");
        let watch = client.watch(ObjectKind::Plans, &from).await;
        let second_watch = client.watch(ObjectKind::Plans, &from).await.err();
        assert!(matches!(second_watch, Some(CallError::RateLimited(_))), "{second_watch:?}");
        drop(watch);
        assert!(client.read(ObjectKind::Plans, "morocco").await.is_ok());
        let rejected = client.read(ObjectKind::Plans, "morocco").await;
        assert!(matches!(rejected, Err(CallError::RateLimited(_))), "{rejected:?}");
    });
}
