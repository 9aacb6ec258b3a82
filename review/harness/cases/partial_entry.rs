//! A worker leaves. Later another writer puts an entry under its id that lacks most fields.

use std::collections::BTreeMap;
use std::time::Instant;

use super::*;

/// Figures of the sheet of Rabat-Salé.
const DRAIN: f64 = 2.0;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Beyond the bound, for the time that stand-ins and threads take on a busy machine.
const SLACK: f64 = 0.15;
const FRONTS: usize = 4;
/// Time before the worker leaves, in which the fronts settle.
const SETTLE: Duration = Duration::from_secs(6);
/// Time between the removal of the worker's entry and the foreign one.
const PAUSE: Duration = Duration::from_secs(3);
/// Time for which the worker serves on after its entry is removed: `drain_ms` and some seconds.
const SERVED_ON: Duration = Duration::from_secs(9);
const PATH: &str = "/pule252/";

pub fn run(cx: &Context) -> Result<bool, Error> {
    let record = cx.record()?;
    let store = Store::start(&record)?;
    let behaviour = Behaviour::Plain(Duration::from_millis(15));
    let mut workers = Vec::new();
    for id in ["i-1", "i-2", "i-3", "i-4"] {
        let worker = Worker::start(id, "sign-feed", "1.0", behaviour, &record)?;
        store.put("servers", id, &worker.entry("ready"));
        workers.push(worker);
    }
    let route = Route {
        name: "barrier-count",
        path: PATH,
        kind: "non_idempotent",
        service: "sign-feed",
        attempts: 1,
        timeout_ms: 1000,
        goal_ms: 100,
    };
    store.put("config", "main", &configuration(10, &[route], &["sign-feed"], 4_194_304));
    let settings = Settings { memory_mb: 260, store: store.address() };
    let fronts = cx.start_fronts(FRONTS, &settings)?;
    record.tell(format!("{FRONTS} fronts are ready"));
    thread::sleep(SETTLE);

    let until = Instant::now() + Duration::from_secs(1) + SERVED_ON;
    let sent = Arc::new(Mutex::new(BTreeMap::new()));
    let clients: Vec<_> = fronts
        .iter()
        .map(|it| it.addresses.callers)
        .enumerate()
        .map(|(front, address)| {
            let (record, sent) = (record.clone(), Arc::clone(&sent));
            thread::spawn(move || {
                let mut number = 0;
                while Instant::now() < until {
                    number += 1;
                    let id = format!("{front:04x}{number:012x}");
                    let request = format!(
                        "POST {PATH}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1000\r\n\
                         Content-Length: 5\r\n\r\nhello"
                    );
                    let at = record.now();
                    sent.lock().expect("no client panics").insert(id.clone(), (front, at));
                    let response = http::call(address, request.as_bytes(), Duration::from_secs(2));
                    let status = response.map_or(0, |it| it.status());
                    record.line(format!("client: {id} sent to front {front} at {at:.3}: {status}"));
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    store.delete("servers", "i-1");
    let acknowledged = record.now();
    let bound = acknowledged + DRAIN + SLACK;
    record.tell(format!(
        "the entry of i-1 is removed, acknowledged at {acknowledged:.3}; no request that is sent later than {bound:.3} may reach it"
    ));
    thread::sleep(PAUSE);
    if cx.trouble {
        let address = workers[0].address;
        let entry = format!(
            "{{\"service\":\"sign-feed\",\"address\":\"{address}\",\"zone\":\"agdal\",\"state\":\"ready\"}}"
        );
        store.put("servers", "i-1", &entry);
        record.tell(format!("another writer puts servers/i-1: {entry}"));
    }
    thread::sleep(HEARTBEAT * 3);
    if cx.trouble {
        store.delete("servers", "i-1");
        record.tell("the store removes servers/i-1 after three heartbeat intervals of silence");
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let sent = sent.lock().expect("no client panics");
    let runs = workers[0].runs();
    let mut late = 0;
    for front in 0..FRONTS {
        let of_front =
            || runs.iter().filter_map(|it| sent.get(it)).filter(|it| it.0 == front).map(|it| it.1);
        let last = of_front().fold(0.0, f64::max);
        let of_front_late = of_front().filter(|it| *it > bound).count();
        record.tell(format!(
            "front {front}: the last request that reached i-1 was sent {:.2} s after the acknowledgement; {of_front_late} broke the bound",
            last - acknowledged
        ));
        late += of_front_late;
    }
    if runs.is_empty() {
        return Err("i-1 never ran a request".into());
    }
    record.tell(if late == 0 { "DRAIN held" } else { "DRAIN broken" });
    Ok(late == 0)
}
