//! The text of a streamed completion reaches the client as the engine wrote it, wherever the agent's chunks end.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::time::Duration;

use daisychute_agent::Fifo;
use daisychute_agent::core::{AgentConfig, AgentCore};
use daisychute_agent::shell::{AgentOptions, AgentShell};
use daisychute_core::{
    Class, ClassName, Configuration, EndpointKind, EndpointRecord, EndpointState, EngineTarget,
    Incarnation, Model, ModelName, Precedence, Role, Tenant, TenantName,
};
use daisychute_entry::LeastLoad;
use daisychute_entry::clients::ClientApi;
use daisychute_entry::core::{EntryConfig, EntryCore, Event};
use daisychute_entry::shell::{EntryOptions, EntryShell};
use daisychute_link::LinkConfig;
use daisychute_runtime::{Clock, HttpLimits, HttpServer};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time limit of one test case.
const CASE_LIMIT: Duration = Duration::from_secs(10);
/// Time between two attempts while the entry doesn't know the engine yet.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Characters of the text that the engine writes in one event.
const CHARACTERS: usize = 3_000;
const EVENT_PREFIX: &str = "data: ";
const DONE_EVENT: &str = "[DONE]";
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// Request line of the agent's state reads.
const STATE_REQUEST_LINE: &str = "GET /state HTTP/1.1";

/// One test for each character and flow control window in bytes. The window isn't a multiple of the character's
/// length, so that the agent has to end a chunk inside a character.
macro_rules! streamed_texts {
    ($($name:ident: $character:expr, $window:expr;)*) => {$(
        #[test]
        fn $name() {
            actix_rt::System::new().block_on(async {
                let text = $character.repeat(CHARACTERS);
                let received = timeout(CASE_LIMIT, streamed_text(&text, $window)).await;
                let received = received.expect("the case ends in time");
                let garbled = received.matches(char::REPLACEMENT_CHARACTER).count();
                assert_eq!(garbled, 0, "replacement characters in {} characters", received.chars().count());
                assert_eq!(received, text);
            });
        }
    )*};
}

// Each guards against characters that are replaced by U+FFFD because a chunk ended inside them.
streamed_texts! {
    characters_of_two_bytes: "é", 1_001;
    characters_of_three_bytes: "字", 1_000;
    characters_of_four_bytes: "🙂", 1_003;
}

/// Sends a streamed completion through an entry and an agent, and returns the text of all its events.
async fn streamed_text(text: &str, window: u32) -> String {
    let engine = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let engine_addr = engine.local_addr().expect("an address");
    actix_rt::spawn(serve_engine(engine, text.to_owned()));
    let agent = start_agent(engine_addr);
    let entry = start_entry(agent, window);
    loop {
        let response = complete(entry).await;
        if response.starts_with("HTTP/1.1 200") {
            return text_of_events(&response);
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

/// The concatenated text of a response whose last event says that it is complete.
fn text_of_events(response: &str) -> String {
    assert!(response.contains(DONE_EVENT), "the response is truncated");
    let events = response.lines().filter_map(|it| it.strip_prefix(EVENT_PREFIX));
    let texts = events.take_while(|it| *it != DONE_EVENT).map(|it| {
        let event: Value = serde_json::from_str(it).expect("an event in JSON");
        event["choices"][0]["text"].as_str().expect("a text").to_owned()
    });
    texts.collect()
}

async fn complete(entry: SocketAddr) -> String {
    let body = json!({"model": "clerk-lm", "prompt": "Bonjour", "stream": true}).to_string();
    let mut stream = TcpStream::connect(entry).await.expect("the entry listens");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {entry}\r\nx-daisychute-tenant: clerks\r\n\
        connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).await.expect("the entry reads");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.expect("the entry answers");
    String::from_utf8(received).expect("a response in UTF-8")
}

async fn serve_engine(engine: TcpListener, text: String) {
    while let Ok((stream, _)) = engine.accept().await {
        actix_rt::spawn(serve_agent(stream, text.clone()));
    }
}

/// Answers the agent's state reads, and its completion with the whole text in one event.
async fn serve_agent(mut stream: TcpStream, text: String) {
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await.is_ok_and(|it| it > 0) {
        let Some(end) = received.windows(END_OF_HEAD.len()).position(|it| it == END_OF_HEAD) else {
            continue;
        };
        let is_state_read = received.starts_with(STATE_REQUEST_LINE.as_bytes());
        if !is_state_read && !received[end + END_OF_HEAD.len()..].ends_with(b"}") {
            continue;
        }
        received.clear();
        let (content_type, body) = match is_state_read {
            true => ("application/json", state()),
            false => ("text/event-stream", events(&text)),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).await.expect("the agent reads");
    }
}

fn state() -> String {
    let state = json!({
        "role": "mixed", "model": "clerk-lm", "version": "1", "changing": false, "fence": 0,
        "checks_fence": true, "started": 1,
    });
    state.to_string()
}

fn events(text: &str) -> String {
    let output = json!({"choices": [{"text": text, "finish_reason": null}]});
    let last = json!({"choices": [{"text": "", "finish_reason": "stop"}]});
    format!("data: {output}\n\ndata: {last}\n\ndata: {DONE_EVENT}\n\n")
}

fn start_agent(engine: SocketAddr) -> EndpointRecord {
    let listener = StdListener::bind("127.0.0.1:0").expect("a free port");
    let record = record(listener.local_addr().expect("an address"));
    let core = AgentCore::new(AgentConfig::default(), Fifo::new(4), record.clone());
    let options = AgentOptions {
        process: "agent-1".try_into().expect("a name"),
        data_centre: "agdal".try_into().expect("a name"),
        region: "morocco".try_into().expect("a name"),
        endpoint_url: format!("http://{engine}"),
        link: LinkConfig::default(),
    };
    let shell = AgentShell::new(options, core, Clock::start(), listener, ()).expect("a listener");
    actix_rt::spawn(shell.run());
    record
}

fn start_entry(agent: EndpointRecord, window: u32) -> SocketAddr {
    let cfg = EntryConfig { window, ..EntryConfig::default() };
    let core = EntryCore::new(cfg, LeastLoad::default(), Incarnation::new(7));
    let options = EntryOptions {
        process: "entry-1".try_into().expect("a name"),
        instance: "i-2".try_into().expect("a name"),
        data_centre: "agdal".try_into().expect("a name"),
        region: "morocco".try_into().expect("a name"),
        link: LinkConfig::default(),
    };
    let shell = EntryShell::new(options, core, Clock::start(), ());
    let handle = shell.handle();
    actix_rt::spawn(shell.run());
    handle.configure(Arc::new(configuration()));
    handle.event(Event::Endpoints(vec![agent]));
    let limits = HttpLimits::default();
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), limits).expect("a free port");
    let addr = server.local_addr();
    let api = ClientApi::new(handle, limits);
    actix_rt::spawn(server.serve(move |req| api.clone().handle(req)));
    addr
}

fn record(agent: SocketAddr) -> EndpointRecord {
    EndpointRecord {
        endpoint: "clerk-lm-1".try_into().expect("a name"),
        instance: "i-1".try_into().expect("a name"),
        data_centre: "agdal".try_into().expect("a name"),
        kind: EndpointKind::Engine,
        agent,
        incarnation: Incarnation::new(1),
        state: EndpointState::Live,
        target: Some(EngineTarget {
            role: Role::Mixed,
            model: "clerk-lm".try_into().expect("a name"),
            version: "1".try_into().expect("a name"),
            adapter: None,
        }),
    }
}

fn configuration() -> Configuration {
    let class: ClassName = "desk".try_into().expect("a name");
    let tenant: TenantName = "clerks".try_into().expect("a name");
    let model: ModelName = "clerk-lm".try_into().expect("a name");
    Configuration {
        classes: BTreeMap::from([(
            class.clone(),
            Class::new(class.clone(), Precedence::Interactive),
        )]),
        tenants: BTreeMap::from([(
            tenant.clone(),
            Tenant {
                name: tenant,
                token: None,
                default_class: class.clone(),
                classes: [class].into(),
            },
        )]),
        models: BTreeMap::from([(
            model.clone(),
            Model {
                name: model,
                version: "1".try_into().expect("a name"),
                adapters: Default::default(),
                context_tokens: 8_192,
                kv_bytes_per_token: 1_024,
            },
        )]),
        ..Configuration::default()
    }
}
