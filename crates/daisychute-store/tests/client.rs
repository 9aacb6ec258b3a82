//! The object client against a listener that gives prepared answers.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use daisychute_store::{
    CallError, CallRateSettings, ClientSettings, ObjectClient, ObjectKind, ResourceVersion,
    UnavailableCause, WatchKind,
};

const PLAN: &str = r#"{"apiVersion":"daisychute.dev/v1","kind":"plans","metadata":{"name":"morocco","resourceVersion":"17","annotations":{"writer":"entry-1/5f3a","write":"42"}},"spec":{"term":3}}"#;

/// Answers every connection once with these bytes, then holds it open for a while or closes it.
fn serve(answer: String, hold: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        for stream in listener.incoming() {
            reply(stream.unwrap(), &answer, hold);
        }
    });
    url
}

fn reply(mut stream: TcpStream, answer: &str, hold: Duration) {
    let mut buf = [0; 8_192];
    let _ = stream.read(&mut buf);
    let _ = stream.write_all(answer.as_bytes());
    thread::sleep(hold);
}

fn http(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn run<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(test)
}

fn client(url: String) -> ObjectClient {
    let settings = ClientSettings::new(url).call_timeout(Duration::from_millis(300));
    ObjectClient::new(settings.watch_silence(Duration::from_millis(300)))
}

macro_rules! answers {
    ($($name:ident: $status:literal $body:expr => $expected:pat,)*) => {$(
        #[test]
        fn $name() {
            run(async {
            let client = client(serve(http($status, $body), Duration::ZERO));
            let outcome = client.read(ObjectKind::Plans, "morocco").await;
            assert!(matches!(outcome, $expected), "{outcome:?}");
            });
        }
    )*};
}

answers! {
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
fn an_object_keeps_its_version_and_its_stamp() {
    run(async {
        let client = client(serve(http("200 OK", PLAN), Duration::ZERO));
        let plan = client.read(ObjectKind::Plans, "morocco").await.unwrap();
        assert_eq!(plan.metadata.resource_version, Some(ResourceVersion::from("17")));
        assert_eq!(plan.write_id().unwrap().to_string(), "entry-1/5f3a#42");
        assert_eq!(serde_json::to_string(&plan).unwrap().len(), PLAN.len());
    });
}

#[test]
fn a_silent_platform_is_an_outage_at_the_deadline() {
    run(async {
        let client = client(serve(String::new(), Duration::from_secs(3)));
        let outcome = client.read(ObjectKind::Plans, "morocco").await;
        assert_eq!(outcome, Err(CallError::Unavailable(UnavailableCause::Deadline)));
        assert!(outcome.unwrap_err().may_have_taken_effect());
    });
}

#[test]
fn no_connection_is_an_outage_without_effect() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        drop(listener);
        let outcome = client(url).read(ObjectKind::Plans, "morocco").await;
        assert_eq!(outcome, Err(CallError::Unavailable(UnavailableCause::Connect)));
    });
}

#[test]
fn a_watch_brings_lines_then_is_found_silent() {
    run(async {
        let lines = format!(
            "{{\"type\":\"MODIFIED\",\"object\":{PLAN}}}\n{{\"type\":\"BOOKMARK\",\"object\":{{\"kind\":\"plans\",\"metadata\":{{\"resourceVersion\":\"19\"}}}}}}\n"
        );
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{lines}");
        let client = client(serve(answer, Duration::from_secs(3)));
        let from = ResourceVersion::from("16");
        let mut watch = client.watch(ObjectKind::Plans, &from).await.unwrap();
        let changed = watch.next_event().await.unwrap();
        assert_eq!((changed.kind, changed.object.is_some()), (WatchKind::Modified, true));
        let bookmark = watch.next_event().await.unwrap();
        assert_eq!(bookmark.version, ResourceVersion::from("19"));
        assert_eq!(
            watch.next_event().await,
            Err(CallError::Unavailable(UnavailableCause::Deadline))
        );
    });
}

#[test]
fn calls_and_watches_stay_within_the_budget() {
    run(async {
        let url = serve(http("200 OK", PLAN), Duration::ZERO);
        let budget = CallRateSettings { calls_per_second: 1, burst: 2, waiting_watches: 1 };
        let client = ObjectClient::new(ClientSettings::new(url).budget(budget));
        let from = ResourceVersion::from("1");
        let watch = client.watch(ObjectKind::Plans, &from).await;
        let second = client.watch(ObjectKind::Plans, &from).await.err();
        assert!(matches!(second, Some(CallError::RateLimited(_))), "{second:?}");
        drop(watch);
        assert!(client.read(ObjectKind::Plans, "morocco").await.is_ok());
        let third = client.read(ObjectKind::Plans, "morocco").await;
        assert!(matches!(third, Err(CallError::RateLimited(_))), "{third:?}");
    });
}
