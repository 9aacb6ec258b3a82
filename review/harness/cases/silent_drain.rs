//! All open connections to the store go silent, then a worker leaves: its entry is removed.

use std::time::Instant;

use super::*;

/// Figures of the sheet of Rabat-Salé.
const STABLE: f64 = 3.0;
const DRAIN: f64 = 2.0;
/// Beyond the bounds, for the time that stand-ins and threads take on a busy machine.
const SLACK: f64 = 0.15;
const FRONTS: usize = 8;
/// Time before the disruption, in which the fronts settle.
const SETTLE: Duration = Duration::from_secs(20);
/// Time for which the worker serves on after its entry is removed: `drain_ms` and many seconds.
const SERVED_ON: f64 = 10.0;
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

    let until = Instant::now() + Duration::from_secs_f64(2.2 + SERVED_ON);
    let sent = Arc::new(Mutex::new(std::collections::BTreeMap::new()));
    let clients: Vec<_> = fronts.iter().map(|it| it.addresses.callers).enumerate().map(|(front, address)| {
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
                record.line(format!("client: {id} sent to front {front} at {at:.3}: {}", response.map_or(0, |it| it.status())));
                thread::sleep(Duration::from_millis(50));
            }
        })
    }).collect();
    thread::sleep(Duration::from_secs(2));
    let silent_at = record.now();
    if cx.trouble {
        let count = store.silence_connections();
        record.tell(format!("silence: the {count} connections to the store opened so far answer nothing more; new ones work"));
    }
    thread::sleep(Duration::from_millis(200));
    store.delete("servers", "i-1");
    let acknowledged = record.now();
    record.tell(format!("the entry of i-1 is removed, acknowledged at {acknowledged:.3}; i-1 serves on for {SERVED_ON} s"));
    let bound = (silent_at + STABLE).max(acknowledged + DRAIN) + SLACK;
    record.tell(format!("no request that is sent later than {bound:.3} may reach i-1"));

    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let sent = sent.lock().expect("no client panics");
    let runs = workers[0].runs();
    let mut held = true;
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
    if runs.is_empty() {
        return Err("i-1 never ran a request".into());
    }
    record.tell(if held { "DRAIN held" } else { "DRAIN broken" });
    Ok(held)
}
