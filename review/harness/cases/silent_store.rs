//! All open connections to the store go silent, then a new configuration moves a route to another service.

use super::*;

/// Figures of the sheet of Rabat-Salé.
const STABLE: f64 = 3.0;
const CONFIG_APPLY: f64 = 2.0;
/// Beyond the bounds, for the time that stand-ins and threads take on a busy machine.
const SLACK: f64 = 0.15;
const FRONTS: usize = 8;
/// Time before the disruption, in which the fronts settle.
const SETTLE: Duration = Duration::from_secs(20);
/// Time from the disruption to its check's end.
const OBSERVED: f64 = 15.0;
const PATH: &str = "/pule252/";

struct Answered {
    front: usize,
    sent: f64,
    service: String,
}

pub fn run(cx: &Context) -> Result<bool, Error> {
    let record = cx.record()?;
    let store = Store::start(&record)?;
    let services = ["sign-feed", "sign-feed-b"];
    let behaviour = Behaviour::Plain(Duration::from_millis(15));
    let mut workers = Vec::new();
    for (service, id) in [(0, "i-a1"), (0, "i-a2"), (1, "i-b1"), (1, "i-b2")] {
        let worker = Worker::start(id, services[service], "1.0", behaviour, &record)?;
        store.put("servers", id, &worker.entry("ready"));
        workers.push(worker);
    }
    let routed = |version, service| {
        let route = Route {
            name: "barrier-count",
            path: PATH,
            kind: "non_idempotent",
            service,
            attempts: 1,
            timeout_ms: 1000,
            goal_ms: 100,
        };
        configuration(version, &[route], &services, 4_194_304)
    };
    store.put("config", "main", &routed(10, services[0]));
    let settings = Settings { memory_mb: 260, store: store.address() };
    let fronts = cx.start_fronts(FRONTS, &settings)?;
    record.tell(format!("{FRONTS} fronts are ready; version 10 routes {PATH} to {}", services[0]));
    thread::sleep(SETTLE);

    let silent_at = record.now();
    if cx.trouble {
        let count = store.silence_connections();
        record.tell(format!("silence: the {count} connections to the store opened so far answer nothing more; new ones work"));
    }
    thread::sleep(Duration::from_millis(200));
    store.put("config", "main", &routed(11, services[1]));
    let acknowledged = record.now();
    record.tell(format!(
        "operator: version 11 acknowledged at {acknowledged:.3}; it routes {PATH} to {}",
        services[1]
    ));
    let bound = (silent_at + STABLE).max(acknowledged + CONFIG_APPLY) + SLACK;
    record.tell(format!("requests sent later than {bound:.3} must be handled as version 11 says"));

    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = fronts.iter().map(|it| it.addresses.callers).enumerate().map(|(front, address)| {
        let (record, answers) = (record.clone(), Arc::clone(&answers));
        thread::spawn(move || {
            let mut number = 0;
            while record.now() < silent_at + OBSERVED {
                number += 1;
                let id = format!("{front:04x}{number:012x}");
                let request = format!(
                    "POST {PATH}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1000\r\n\
                     Content-Length: 5\r\n\r\nhello"
                );
                let sent = record.now();
                let response = http::call(address, request.as_bytes(), Duration::from_secs(2));
                let status = response.as_ref().map_or(0, |it| it.status());
                let body = response.map_or(String::new(), |it| it.text());
                let service = crate::json::get(&body, "service").map(crate::json::string).unwrap_or_default().to_owned();
                record.line(format!("client: {id} sent to front {front} at {sent:.3}: {status} {service}"));
                answers.lock().expect("no client panics").push(Answered { front, sent, service });
                thread::sleep(Duration::from_millis(50));
            }
        })
    }).collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let answers = answers.lock().expect("no client panics");
    let mut held = true;
    for front in 0..FRONTS {
        let of_front = || answers.iter().filter(|it| it.front == front);
        let last =
            of_front().filter(|it| it.service == services[0]).map(|it| it.sent).fold(0.0, f64::max);
        let late = of_front().filter(|it| it.service == services[0] && it.sent > bound).count();
        record.tell(format!(
            "front {front}: the last request run by {} was sent {:.2} s after the acknowledgement; {late} of {} requests broke the bound",
            services[0], last - acknowledged, of_front().count()
        ));
        held &= late == 0;
    }
    if answers.iter().filter(|it| it.service == services[1]).count() < FRONTS {
        return Err("the new service served hardly anything".into());
    }
    record.tell(if held { "CONFIG held" } else { "CONFIG broken" });
    Ok(held)
}
