//! Another writer puts an entry with bytes that can't be read among those of the workers. Later a worker drains, and a new
//! one comes.

use std::collections::BTreeMap;
use std::time::Instant;

use super::*;

/// Figures of the sheet of Rabat-Salé.
const DRAIN: f64 = 2.0;
/// Beyond the bound, for the time that stand-ins and threads take on a busy machine.
const SLACK: f64 = 0.15;
const FRONTS: usize = 4;
/// Time before the disruption, in which the fronts settle.
const SETTLE: Duration = Duration::from_secs(6);
/// Time between the foreign entry and the draining of the worker.
const PAUSE: Duration = Duration::from_millis(500);
/// Silence after which the store removes an entry: three heartbeat intervals.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// Time for which the draining worker serves on.
const SERVED_ON: Duration = Duration::from_secs(8);
const PATH: &str = "/pule252/";
/// The zone holds the byte FF, which is no UTF-8, as JSON writes it that escapes what isn't ASCII.
const FOREIGN_ENTRY: &str = r#"{"service":"sign-feed","address":"127.0.0.1:9","zone":"agdal\udcff","version":"1.0","slots":16,"state":"ready","cold_left_ms":0,"sequence":1}"#;

/// Returns the entry of the other writer: with bytes that can't be read, or as `ENTRY` says.
fn foreign_entry() -> String {
    match std::env::var("ENTRY").as_deref() {
        Ok("number") => {
            FOREIGN_ENTRY.replace("\\udcff", "").replace("\"slots\":16", "\"slots\":1e400")
        }
        Ok("depth") => {
            let nested = format!("{}{}", "[".repeat(130), "]".repeat(130));
            FOREIGN_ENTRY.replace("\"agdal\\udcff\"", &nested)
        }
        _ => FOREIGN_ENTRY.to_owned(),
    }
}

pub fn run(cx: &Context) -> Result<bool, Error> {
    let record = cx.record()?;
    let store = Store::start(&record)?;
    let behaviour = Behaviour::Plain(Duration::from_millis(15));
    let start = |id: &str| -> Result<Worker, Error> {
        let worker = Worker::start(id, "sign-feed", "1.0", behaviour, &record)?;
        store.put("servers", id, &worker.entry("ready"));
        Ok(worker)
    };
    let workers: Vec<_> =
        ["i-1", "i-2", "i-3", "i-4"].into_iter().map(start).collect::<Result<_, _>>()?;
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

    let until = Instant::now() + PAUSE + SERVED_ON;
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
    if cx.trouble {
        let entry = foreign_entry();
        store.put("servers", "i-0", &entry);
        record.tell(format!("another writer puts servers/i-0: {entry}"));
    }
    thread::sleep(PAUSE);
    store.put("servers", "i-1", &workers[0].entry("draining"));
    let acknowledged = record.now();
    let bound = acknowledged + DRAIN + SLACK;
    record.tell(format!(
        "i-1 drains, acknowledged at {acknowledged:.3}; no request that is sent later than {bound:.3} may reach it"
    ));
    let new = start("i-5")?;
    record.tell("i-5 is new");
    if cx.trouble {
        thread::sleep(EXPIRY - PAUSE);
        store.delete("servers", "i-0");
        record.tell(format!(
            "the store removes i-0, {:.2} s after the acknowledgement",
            record.now() - acknowledged
        ));
    }
    let removed = record.now();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let sent = sent.lock().expect("no client panics");
    let runs = workers[0].runs();
    let mut held = true;
    let while_listed = runs
        .iter()
        .filter_map(|it| sent.get(it))
        .filter(|it| it.1 > bound && it.1 < removed)
        .count();
    for front in 0..FRONTS {
        let of_front =
            || runs.iter().filter_map(|it| sent.get(it)).filter(|it| it.0 == front).map(|it| it.1);
        let last = of_front().fold(0.0, f64::max);
        let late = of_front().filter(|it| *it > bound).count();
        record.tell(format!(
            "front {front}: the last request that reached i-1 was sent {:.2} s after the acknowledgement; {late} broke the bound",
            last - acknowledged
        ));
        held &= late == 0;
    }
    if cx.trouble {
        record.tell(format!("{while_listed} requests broke the bound before i-0 was removed"));
    }
    record.tell(format!("i-5 ran {} requests", new.runs().len()));
    if runs.is_empty() {
        return Err("i-1 never ran a request".into());
    }
    record.tell(if held { "DRAIN held" } else { "DRAIN broken" });
    Ok(held)
}
