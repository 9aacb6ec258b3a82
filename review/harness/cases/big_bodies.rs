//! Twice as many users as usual upload bodies within the operator's limit at once.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;

use super::*;

/// Figures of the sheet of Rabat-Salé and of its site file.
const MEMORY_MB: u32 = 260;
const MAX_BODY_BYTES: usize = 4_194_304;
/// Factor and length of `burst` for one kind of request on a day of the site file.
const BURST: f64 = 1.9;
const BURST_TIME: Duration = Duration::from_secs(14);
/// Users at each front in usual traffic.
const USERS: usize = 16;
const FRONTS: usize = 2;
/// Time in which a user sends its body, and time that a worker takes.
const UPLOAD: Duration = Duration::from_millis(1_000);
const WORK: Duration = Duration::from_millis(600);
/// Time of usual traffic, without the burst.
const OBSERVED: Duration = Duration::from_secs(40);
/// Time until the platform starts a process that has ended again.
const RESTART: Duration = Duration::from_millis(500);
/// Ends of processes on each of two machines that break the rule.
const ENDS: usize = 3;
const PATH: &str = "/pule252/";

/// Pause of a client after a closed connection.
const RETRY: Duration = Duration::from_millis(200);

/// End of the traffic, which may come early. Clones are the same.
#[derive(Clone)]
struct Until {
    at: Instant,
    ended: Arc<AtomicBool>,
}

impl Until {
    fn new(time: Duration) -> Self {
        Self { at: Instant::now() + time, ended: Arc::default() }
    }

    fn load(&self) -> Instant {
        if self.ended.load(Ordering::SeqCst) {
            Instant::now() - Duration::from_secs(1)
        } else {
            self.at
        }
    }

    fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

pub fn run(cx: &Context) -> Result<bool, Error> {
    let record = cx.record()?;
    let store = Store::start(&record)?;
    for index in 0..12 {
        let id = format!("i-{index}");
        let worker = Worker::start(&id, "sign-feed", "1.0", Behaviour::Plain(WORK), &record)?;
        store.put("servers", &id, &worker.entry("ready"));
    }
    let route = Route {
        name: "plate-photo",
        path: PATH,
        kind: "non_idempotent",
        service: "sign-feed",
        attempts: 1,
        timeout_ms: 8_000,
        goal_ms: 3_000,
    };
    store.put(
        "config",
        "main",
        &configuration(10, &[route], &["sign-feed"], MAX_BODY_BYTES as u64),
    );
    let settings = Settings { memory_mb: MEMORY_MB, store: store.address() };
    let mut fronts = cx.start_fronts(FRONTS, &settings)?;
    thread::sleep(Duration::from_secs(3));
    let users = if cx.trouble { (USERS as f64 * BURST) as usize } else { USERS };
    record.tell(format!("{FRONTS} fronts of {MEMORY_MB} MB are ready; {users} users at each send {MAX_BODY_BYTES} bytes again and again"));

    let until = Until::new(if cx.trouble { BURST_TIME } else { OBSERVED });
    let answered = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for (front, address) in fronts.iter().map(|it| it.addresses.callers).enumerate() {
        for user in 0..users {
            let (record, answered, until) = (record.clone(), Arc::clone(&answered), until.clone());
            clients.push(thread::spawn(move || {
                let mut number = 0;
                while Instant::now() < until.load() {
                    number += 1;
                    let id = format!("{front:02x}{user:04x}{number:010x}");
                    let status = upload(address, &id).unwrap_or(0);
                    record.line(format!("client: {id}: {status}"));
                    if status == 0 {
                        thread::sleep(RETRY);
                    }
                    if status == 200 {
                        answered.fetch_add(1, Ordering::SeqCst);
                    }
                }
            }));
        }
    }
    let mut peaks = vec![0; FRONTS];
    let mut ends = vec![0; FRONTS];
    let broken = |ends: &[usize]| ends.iter().filter(|it| **it >= ENDS).count() >= 2;
    while Instant::now() < until.load() && !broken(&ends) {
        for (index, front) in fronts.iter_mut().enumerate() {
            let kib = front.memory_kib("VmRSS:").unwrap_or(0);
            peaks[index] = kib.max(peaks[index]);
            if kib > u64::from(MEMORY_MB) * 1_024 || front.has_ended() {
                ends[index] += 1;
                record.tell(format!("front {index} holds {kib} KiB of {MEMORY_MB} MB: the platform kills it and starts it again"));
                front.kill();
                thread::sleep(RESTART);
                front.restart()?;
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    until.end();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let answered = answered.load(Ordering::SeqCst);
    record
        .tell(format!("peaks {peaks:?} KiB, ends {ends:?}; {answered} requests answered with 200"));
    if answered == 0 {
        return Err("nothing was served".into());
    }
    let held = !broken(&ends);
    record.tell(if held {
        "Fault: none"
    } else {
        "Fault: on two machines processes ended three times"
    });
    Ok(held)
}

/// Sends a request with a body of the maximum size, evenly over [`UPLOAD`]. Returns the status of the response.
fn upload(address: std::net::SocketAddr, id: &str) -> Option<u16> {
    let mut connection = http::Connection::open(address).ok()?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let head = format!(
        "POST {PATH}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 8000\r\n\
         Content-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    connection.write(head.as_bytes()).ok()?;
    let piece = vec![b'x'; MAX_BODY_BYTES / 64];
    for _ in 0..64 {
        connection.write(&piece).ok()?;
        thread::sleep(UPLOAD / 64);
    }
    connection.read().ok()?.map(|it| it.status())
}
