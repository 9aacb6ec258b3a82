//! Case 7: a stream without length whose worker is cut off, crashes behind the cut and starts again under its id, reaches the
//! client as complete.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

use review_2::engine::{EVENTS, Engine};
use review_2::exit::{BROKEN, HELD, NOT_RUN};
use review_2::front::{Front, wait_until};
use review_2::json::Json;
use review_2::record::Record;
use review_2::store::Store;
use review_2::{HOST, has_trouble};

/// Number of workers, one of which is cut off: a share of a sixth.
const WORKERS: usize = 6;
/// Number of events of the stream after which its worker is cut off.
const EVENTS_BEFORE: usize = 4;
/// Time from the cut to the crash of the worker.
const CRASH_AFTER: Duration = Duration::from_millis(300);
/// How long the worker is down.
const DOWN: Duration = Duration::from_millis(700);
/// Time from the worker's start to the end of the cut.
const HEAL_AFTER: Duration = Duration::from_millis(300);
/// Number of streams that are tried, one after the other.
const STREAMS: u32 = 3;
/// Pause between two streams, in which the machines are calm.
const CALM: Duration = Duration::from_secs(5);

fn main() {
    let code = match Record::create(Path::new("review/7/record.txt")) {
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
    let dir = std::env::temp_dir().join(format!("review-7-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(text)?;
    let store = Store::start().map_err(text)?;
    store.put("config", "main", configuration());
    let mut engines = Vec::new();
    for index in 0..WORKERS {
        let mut engine = Engine::new(&dir, &format!("i-7f3a91c{index}")).map_err(text)?;
        engine.start().map_err(text)?;
        store.put("servers", &engine.id, engine.entry("llm-pool", 1));
        engines.push(engine);
    }
    let mut front = Front::new(&dir, "front-ahd-a-1", &sections(&store)).map_err(text)?;
    front.set_seeds(&[front.snapshots]).map_err(text)?;
    front.start().map_err(text)?;
    if !front.wait_ready(Duration::from_secs(10)) {
        return Err("the front isn't ready".to_owned());
    }
    // The engines are asked what they keep, and machines are in touch.
    thread::sleep(CALM);
    let mut code = HELD;
    for number in 0..STREAMS {
        if try_stream(number, &mut engines, &front, &store, record)? == BROKEN {
            code = BROKEN;
        }
        thread::sleep(CALM);
    }
    front.kill();
    drop(engines);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    Ok(code)
}

/// Sends one stream, whose worker crashes behind a cut.
fn try_stream(
    number: u32,
    engines: &mut [Engine],
    front: &Front,
    store: &Store,
    record: &Record,
) -> Result<i32, String> {
    let id = format!("9c41d07be2a3{number:04x}");
    let callers = front.callers;
    let attempt = id.clone();
    let client = thread::spawn(move || receive(callers, &attempt));
    let mark = format!("event {EVENTS_BEFORE} of {id}\n");
    let mut runner = None;
    let found = wait_until(Duration::from_secs(5), || {
        runner = engines.iter().position(|it| it.log().contains(&mark));
        runner.is_some()
    });
    let engine = runner.filter(|_| found).ok_or("no worker runs the stream")?;
    let engine = &mut engines[engine];
    record.line(format!("worker {} has sent {EVENTS_BEFORE} events of {id}", engine.id));
    if has_trouble() {
        engine.link.set_cut(true);
        record.line(format!("worker {} is cut off", engine.id));
        thread::sleep(CRASH_AFTER);
        engine.kill();
        record.line(format!("worker {} crashes", engine.id));
        thread::sleep(DOWN);
        engine.start().map_err(|e| e.to_string())?;
        store.put("servers", &engine.id, engine.entry("llm-pool", 1));
        record.line(format!("worker {} starts again under its id", engine.id));
        thread::sleep(HEAL_AFTER);
        engine.link.set_cut(false);
        record.line("the cut has healed");
    }
    let answer = client.join().map_err(|_| "the client panicked")?.map_err(|e| e.to_string())?;
    let events =
        answer.text.matches("\ndata: ").count() + usize::from(answer.text.starts_with("data: "));
    let sent = engine.log().lines().filter(|it| it.ends_with(&format!("of {id}"))).count();
    let Answer { status, is_whole, took, .. } = answer;
    record.line(format!(
        "client: {id}: status {status}, {events} of {EVENTS} events, ends as complete: {is_whole}, after {:.2} s; the worker sent {sent}",
        took.as_secs_f64()
    ));
    let is_broken = status == 200 && is_whole && events < EVENTS as usize;
    if is_broken {
        record
            .line(format!("ORDER broken: the stream {id} ends as complete before its last piece"));
    }
    Ok(if is_broken { BROKEN } else { HELD })
}

struct Answer {
    status: u16,
    text: String,
    /// Whether the last chunk arrived.
    is_whole: bool,
    took: Duration,
}

/// Sends the request, and reads the answer until its last chunk or the end of the connection.
fn receive(front: SocketAddr, id: &str) -> std::io::Result<Answer> {
    let started = Instant::now();
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let request = format!(
        "POST /review/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 5000\r\nX-Model: m\r\n\
         X-Token-Count: 300,40\r\nX-Prompt-Prefix: 5c1e07a2:100,{id}:200\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes())?;
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    let mut is_whole = false;
    while let Ok(count @ 1..) = stream.read(&mut chunk) {
        bytes.extend_from_slice(&chunk[..count]);
        is_whole = bytes.ends_with(b"\r\n0\r\n\r\n");
        if is_whole {
            break;
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    Ok(Answer { status, text, is_whole, took: started.elapsed() })
}

fn configuration() -> Json {
    let text = format!(
        r#"{{"version":7,"routes":[{{"name":"kyc-review","host":"{HOST}","path_prefix":"/review/","kind":"streaming",
        "timeout_ms":5000,"latency_goal_ms":1200,"priority":2,"service":"llm-pool","max_attempts":1,"public":false,
        "sticky":true,"resumable":false,"gap_aim_ms":300}}],
        "services":[{{"name":"llm-pool","health_path":"/health","max_conns":400,"engine":{{"slots":48,"kv_tokens":560025,
        "kv_bytes":18432,"link_mbps":370000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    );
    Json::parse(&text).expect("valid JSON")
}

/// Sections of the settings with the bounds of the site.
fn sections(store: &Store) -> String {
    let store = store.address;
    format!(
        "[store]\naddress = {store}\nmax-silence = 4000ms\n\n[endpoints]\ndrain-time = 3000ms\n\n\
         [machine]\nmemory-mib = 512\ndescriptors = 8192\n\n[retries]\nratio = 0.2\nwindow = 10s\nslack = 88\n\n\
         [stop]\nwithin = 8s\n"
    )
}
