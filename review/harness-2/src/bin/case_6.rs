//! Case 6: a front that is restarted in a rolling restart, while the store returns from a copy, calls the platform with the
//! fencing token of another front.

use std::net::SocketAddr;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_2::control_api::{ControlApi, UsageCall};
use review_2::exit::{BROKEN, HELD, NOT_RUN};
use review_2::front::{Front, wait_until};
use review_2::http::call;
use review_2::json::Json;
use review_2::record::Record;
use review_2::store::{Copy, Store};
use review_2::worker::Worker;
use review_2::{HOST, has_trouble, wall_clock};

/// `window_s` of the deployment.
const WINDOW: Duration = Duration::from_secs(5);
/// Time from the SIGTERM to the end of the window in which it is sent, so that the successor reports soon.
const STOP_BEFORE_WINDOW_END: Duration = Duration::from_millis(1_200);
/// How long the store is away in the drill.
const AWAY: Duration = Duration::from_millis(300);
/// Number of rolling restarts that are tried, until the rule is broken. A front that hears the other one before it has read the
/// lease isn't caught: they send each other a heartbeat every 40 ms.
const RESTARTS: u32 = 3;
/// Time after which no further restart is tried, so that the script ends within 120 s.
const LAST_RESTART: Duration = Duration::from_secs(70);
/// Time for which the calls are observed after the restart: longer than a window and a lease, and until its report is due.
const OBSERVED: Duration = Duration::from_secs(16);

fn main() {
    let record = Record::create(Path::new("review/6/record.txt"));
    let code = match record {
        Ok(record) => run(&record).unwrap_or_else(|e| {
            record.line(format!("the case couldn't run: {e}"));
            NOT_RUN
        }),
        Err(_) => NOT_RUN,
    };
    exit(code);
}

fn run(record: &Record) -> Result<i32, String> {
    let text = |e: std::io::Error| e.to_string();
    let dir = std::env::temp_dir().join(format!("review-6-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(text)?;
    let store = Store::start().map_err(text)?;
    let api = ControlApi::start(record.clone()).map_err(text)?;
    let worker = Worker::start("i-7f3a91c2", record.clone()).map_err(text)?;
    store.put("config", "main", configuration());
    store.put("servers", &worker.id, worker.entry("ledger-api", 1));
    // The copy of the store is taken when the holder has released its lease.
    let copy = Arc::new(Mutex::new(None::<Copy>));
    observe_leases(&store, &copy, record);

    let mut fronts = Vec::new();
    for name in ["front-ahd-a-1", "front-gnr-b-1"] {
        fronts.push(Front::new(&dir, name, &sections(&store, &api)).map_err(text)?);
    }
    let seeds: Vec<_> = fronts.iter().map(|it| it.snapshots).collect();
    for front in &mut fronts {
        front.set_seeds(&seeds).map_err(text)?;
        front.start().map_err(text)?;
        record.line(format!("{} started", front.name));
    }
    if !fronts.iter().all(|it| it.wait_ready(Duration::from_secs(10))) {
        return Err("the fronts aren't ready".to_owned());
    }
    let done = Arc::new(AtomicBool::new(false));
    let clients = fronts.iter().map(|it| spawn_client(it.callers, Arc::clone(&done), record));
    let clients: Vec<_> = clients.collect();
    let mut code = Ok(HELD);
    let started_at = Instant::now();
    for _ in 0..RESTARTS {
        if started_at.elapsed() > LAST_RESTART {
            break;
        }
        code = rolling_restart(&mut fronts, &store, &api, &copy, record);
        if code != Ok(HELD) {
            break;
        }
    }
    done.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    fronts.iter_mut().for_each(Front::kill);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    code
}

/// Stops the holder and starts it again, while the store returns from a copy.
fn rolling_restart(
    fronts: &mut [Front],
    store: &Store,
    api: &ControlApi,
    copy: &Mutex<Option<Copy>>,
    record: &Record,
) -> Result<i32, String> {
    if !wait_until(Duration::from_secs(40), || !api.calls().is_empty()) {
        return Err("no front reports usage".to_owned());
    }
    let calls = api.calls();
    let UsageCall { holder, token, .. } = calls.last().cloned().ok_or("no calls")?;
    record.line(format!("{holder} holds the duty with fencing token {token}"));
    let front = fronts.iter_mut().find(|it| it.name == holder).ok_or("an unknown holder")?;
    let window_ms = WINDOW.as_millis();
    let stop_at_ms = window_ms - STOP_BEFORE_WINDOW_END.as_millis();
    let wait_ms = (window_ms + stop_at_ms - wall_clock().as_millis() % window_ms) % window_ms;
    thread::sleep(Duration::from_millis(wait_ms as u64));
    copy.lock().expect("no thread panicked").take();
    front.signal("TERM");
    record.line(format!("SIGTERM to {holder}"));
    let stopped_at = Instant::now();
    let successor_called = || api.calls().iter().skip(calls.len()).any(|it| it.holder != holder);
    if !wait_until(Duration::from_secs(20), successor_called) {
        return Err("no other front takes the duty over".to_owned());
    }
    front.wait_ended(Duration::from_secs(8));
    record.line(format!(
        "{holder} has ended, {:.1} s after its SIGTERM",
        stopped_at.elapsed().as_secs_f64()
    ));
    if has_trouble() {
        let copy = copy.lock().expect("no thread panicked").take();
        let copy = copy.ok_or("the lease was never released")?;
        store.set_away(true);
        record.line("the store is away");
        thread::sleep(AWAY);
        store.restore(&copy);
        store.set_away(false);
        record.line(format!(
            "the store is back from a copy, {:.1} s old",
            stopped_at.elapsed().as_secs_f64()
        ));
    }
    front.start().map_err(|e| e.to_string())?;
    record.line(format!("{holder} started again"));
    thread::sleep(OBSERVED);
    Ok(verdict(&api.calls(), record))
}

/// Logs the writes of the lease, and copies the store when the lease was released.
fn observe_leases(store: &Store, copy: &Arc<Mutex<Option<Copy>>>, record: &Record) {
    let (copy, record) = (Arc::clone(copy), record.clone());
    let mut last = String::new();
    store.on_write(move |written, content| {
        if written.kind != "leases" {
            return;
        }
        let lease = written.spec.get("record");
        let line = format!("lease: term {}, holder {}", lease.get("term"), lease.get("holder"));
        if line != last {
            record.line(format!("store: {line}"));
            last = line;
        }
        let mut copy = copy.lock().expect("no thread panicked");
        if *lease.get("holder") == Json::Null && copy.is_none() {
            *copy = Some(content.clone());
            record.line("store: copied");
        }
    });
}

/// Checks that no two fronts used the same token, and that tokens never fell.
fn verdict(calls: &[UsageCall], record: &Record) -> i32 {
    let mut is_broken = false;
    for (index, call) in calls.iter().enumerate() {
        let before = &calls[..index];
        let UsageCall { holder, token, .. } = call;
        if let Some(other) = before.iter().find(|it| it.token == *token && it.holder != *holder) {
            is_broken = true;
            let since = call.at.duration_since(other.at).as_secs_f64();
            record.line(format!(
                "ONE broken: {holder} calls with fencing token {token}, with which {} called {since:.1} s before",
                other.holder
            ));
        }
        if before.iter().any(|it| it.token > *token) {
            is_broken = true;
            record.line(format!(
                "ONE broken: {holder} calls with fencing token {token} after a higher one"
            ));
        }
    }
    if !is_broken {
        record.line("ONE held");
    }
    if is_broken { BROKEN } else { HELD }
}

/// Sends a request of a tenant every 100 ms until `done`.
fn spawn_client(
    front: SocketAddr,
    done: Arc<AtomicBool>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        for number in 0_u64.. {
            if done.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("{:04x}{number:012x}", front.port());
            let request = format!(
                "GET /balance/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1000\r\n\
                 Authorization: Token key-acme\r\nConnection: close\r\n\r\n"
            );
            let status = call(front, &request, Duration::from_secs(1)).map(|it| it.status());
            // A front that is down refuses the connection.
            let status = status.map_or_else(|e| e.kind().to_string(), |it| it.to_string());
            record.line(format!("client: {id} to {front}: {status}"));
            thread::sleep(Duration::from_millis(100));
        }
    })
}

fn configuration() -> Json {
    let text = format!(
        r#"{{"version":7,"routes":[{{"name":"balance-read","host":"{HOST}","path_prefix":"/balance/","kind":"idempotent",
        "timeout_ms":1000,"latency_goal_ms":150,"priority":2,"service":"ledger-api","max_attempts":2,"public":false}}],
        "services":[{{"name":"ledger-api","health_path":"/health","max_conns":200}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
        "tenants":[{{"name":"acme","api_keys":["key-acme"],"priority":1}}]}}"#
    );
    Json::parse(&text).expect("valid JSON")
}

/// Sections of the settings with the bounds of the site.
fn sections(store: &Store, api: &ControlApi) -> String {
    let (store, api) = (store.address, api.address);
    format!(
        "[store]\naddress = {store}\nmax-silence = 4000ms\n\n[endpoints]\ndrain-time = 3000ms\n\n\
         [machine]\nmemory-mib = 512\ndescriptors = 8192\n\n[retries]\nratio = 0.2\nwindow = 10s\nslack = 88\n\n\
         [duties]\naddress = {api}\nrequire-fence = false\nlease = 3000ms\nusage-window = 5s\nusage-due = 10s\n\
         duties = usage_report,autoscale\n\n[stop]\nwithin = 8s\n"
    )
}
