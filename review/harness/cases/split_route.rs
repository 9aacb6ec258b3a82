//! A front is killed while streams run on a route that is split between two services, which have different versions of
//! their software. Clients resume their streams at the other front.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::*;

const PATH: &str = "/lohu930/";
const EVENTS: u32 = 10;
const PAUSE: Duration = Duration::from_millis(120);
const STREAMS: usize = 24;
const FRONTS: usize = 4;

struct Stream {
    events: Vec<String>,
    whole: bool,
}

pub fn run(cx: &Context) -> Result<bool, Error> {
    let record = cx.record()?;
    let store = Store::start(&record)?;
    let behaviour = Behaviour::Stream { events: EVENTS, long: EVENTS, pause: PAUSE };
    for (service, version, id) in [
        ("lm-a", "1.0", "i-a1"),
        ("lm-a", "1.0", "i-a2"),
        ("lm-b", "2.0", "i-b1"),
        ("lm-b", "2.0", "i-b2"),
    ] {
        let worker = Worker::start(id, service, version, behaviour, &record)?;
        store.put("servers", id, &worker.entry("ready"));
    }
    store.put("config", "main", &split_configuration());
    let settings = Settings { memory_mb: 260, store: store.address() };
    let mut fronts = cx.start_fronts(FRONTS, &settings)?;
    record.tell(
        "4 fronts are ready; the route is split between lm-a (version 1.0) and lm-b (version 2.0)",
    );
    thread::sleep(Duration::from_secs(14));

    let addresses: Vec<_> = fronts.iter().map(|it| it.addresses.callers).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|index| {
            let (record, first) = (record.clone(), addresses[0]);
            let second = addresses[1 + index % (FRONTS - 1)];
            thread::spawn(move || client(&record, first, second, index))
        })
        .collect();
    thread::sleep(PAUSE * 5);
    if cx.trouble {
        record.tell("SIGKILL of the front that has the streams");
        fronts[0].kill();
    }
    let (mut whole, mut resumed, mut refused, mut joined) = (0, 0, 0, 0);
    for client in clients {
        let end = client.join().map_err(|_| "a client failed")?;
        whole += usize::from(end.whole);
        resumed += usize::from(end.resumed);
        refused += usize::from(end.refused);
        joined += usize::from(end.whole && end.sources.len() > 1);
    }
    record.tell(format!(
        "{STREAMS} streams; {resumed} resumed, {refused} of these refused; {whole} ended as whole, {joined} of these with \
         the text of two versions"
    ));
    if !cx.trouble && whole < STREAMS {
        return Err("streams broke off without a disruption".into());
    }
    record.tell(if joined == 0 { "ORDER held" } else { "ORDER broken" });
    Ok(joined == 0)
}

/// How a client's stream ended.
struct End {
    whole: bool,
    resumed: bool,
    refused: bool,
    /// Services and versions from which the client has events.
    sources: BTreeSet<String>,
}

/// Runs a stream, and resumes it at the other front if it broke off after an event.
fn client(record: &Record, first: SocketAddr, second: SocketAddr, index: usize) -> End {
    let mut end = End { whole: false, resumed: false, refused: false, sources: BTreeSet::new() };
    let Some(Stream { mut events, whole }) = stream(record, first, &format!("{index:016x}"), None)
    else {
        return end;
    };
    end.whole = whole;
    if !whole && !events.is_empty() {
        end.resumed = true;
        let id = format!("f{index:015x}");
        match stream(record, second, &id, Some(events.len())) {
            Some(rest) => {
                end.whole = rest.whole;
                events.extend(rest.events);
            }
            None => end.refused = true,
        }
    }
    end.sources =
        events.iter().filter_map(|it| it.rsplit_once('-')).map(|it| it.0.to_owned()).collect();
    let End { whole, sources, .. } = &end;
    record.line(format!(
        "client: stream {index} ended with {} events of {sources:?}, whole: {whole}",
        events.len()
    ));
    end
}

/// Runs a stream, or the rest of it after an event. `None` if it is refused.
fn stream(record: &Record, address: SocketAddr, id: &str, after: Option<usize>) -> Option<Stream> {
    let last = after.map_or(String::new(), |it| format!("Last-Event-Id: {it}\r\n"));
    let request = format!(
        "POST {PATH}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 5000\r\n{last}X-Model: m\r\n\
         X-Token-Count: 400,{EVENTS}\r\nX-Prompt-Prefix: a0:200,{id}:200\r\nContent-Length: 5\r\n\r\n{}",
        &id[id.len() - 5..]
    );
    let response = http::call(address, request.as_bytes(), Duration::from_secs(6))?;
    let status = response.status();
    let events: Vec<_> = response
        .text()
        .lines()
        .filter_map(|it| it.strip_prefix("data: ").map(str::to_owned))
        .collect();
    record.line(format!(
        "client: {id} after event {after:?}: {status}, {events:?}, whole: {}",
        response.whole
    ));
    (status == 200).then(|| Stream { events, whole: response.whole })
}

/// A configuration with one route, split evenly between two services.
fn split_configuration() -> String {
    let route = Route {
        name: "daily-digest",
        path: PATH,
        kind: "streaming",
        service: "lm-a",
        attempts: 2,
        timeout_ms: 5_000,
        goal_ms: 600,
    };
    let text = configuration(10, &[route], &["lm-a", "lm-b"], 4_194_304);
    text.replace(
        "\"service\":\"lm-a\",",
        "\"backends\":[{\"service\":\"lm-a\",\"weight\":1},{\"service\":\"lm-b\",\"weight\":1}],",
    )
}
