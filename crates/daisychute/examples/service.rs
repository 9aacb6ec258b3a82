//! An entry and an agent in one process, before a plain service on a free port of the loopback interface. Sends one
//! call through them and prints the response.

use std::error::Error;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::time::Duration;

use daisychute::agent::Fifo;
use daisychute::agent::core::{AgentConfig, AgentCore};
use daisychute::agent::shell::{AgentOptions, AgentShell};
use daisychute::entry::LeastLoad;
use daisychute::entry::clients::ClientApi;
use daisychute::entry::core::{EntryConfig, EntryCore, Event};
use daisychute::entry::shell::{EntryOptions, EntryShell};
use daisychute::link::LinkConfig;
use daisychute::runtime::{Clock, HttpLimits, HttpServer};
use daisychute::settings::ConfigurationFile;
use daisychute::types::{EndpointKind, EndpointRecord, EndpointState, Incarnation};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// One class of work, one client account without a token, and one service whose calls must run at most once.
const CONFIGURATION: &str = "\
[class desk]
deadline = 5s

[tenant clerks]
classes = desk

[service counts]
non-repeatable = /add
";
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const SERVICE_RESPONSE: &str = "added\n";
/// End of a complete chunked body.
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Number of calls that the agent passes to the service at the same time.
const PARALLEL_CALLS: usize = 4;
/// Time until the entry must have answered.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two attempts while the entry isn't connected to the agent yet.
const RETRY_DELAY: Duration = Duration::from_millis(50);

fn main() -> Result<()> {
    actix_rt::System::new().block_on(async {
        let service = start_service().await?;
        let agent = start_agent(service)?;
        let entry = start_entry(agent)?;
        let response = timeout(TIMEOUT, call(entry)).await??;
        println!("{response}");
        let is_whole = response.ends_with(LAST_CHUNK) && response.contains(SERVICE_RESPONSE);
        assert!(is_whole, "the whole response of the service");
        Ok(())
    })
}

/// A service that answers each call with the same words.
async fn start_service() -> Result<SocketAddr> {
    let listener = TcpListener::bind(LOOPBACK).await?;
    let addr = listener.local_addr()?;
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4_096];
            if stream.read(&mut buf).await.is_ok_and(|it| it > 0) {
                let len = SERVICE_RESPONSE.len();
                let response =
                    format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n{SERVICE_RESPONSE}");
                let _ = stream.write_all(response.as_bytes()).await;
            }
        }
    });
    Ok(addr)
}

/// Starts the agent of the service, and returns the record by which entries find it.
fn start_agent(service: SocketAddr) -> Result<EndpointRecord> {
    let listener = StdListener::bind(LOOPBACK)?;
    let record = EndpointRecord {
        endpoint: "counts-1".try_into()?,
        instance: "i-1".try_into()?,
        data_centre: "agdal".try_into()?,
        kind: EndpointKind::Service("counts".try_into()?),
        agent: listener.local_addr()?,
        incarnation: Incarnation::new(1),
        state: EndpointState::Live,
        target: None,
    };
    let core = AgentCore::new(AgentConfig::default(), Fifo::new(PARALLEL_CALLS), record.clone());
    let options = AgentOptions {
        process: "agent-1".try_into()?,
        data_centre: "agdal".try_into()?,
        region: "morocco".try_into()?,
        endpoint_url: format!("http://{service}"),
        link: LinkConfig::default(),
    };
    // The unit type stands for a process without replicated documents.
    let shell = AgentShell::new(options, core, Clock::start(), listener, ())?;
    actix_rt::spawn(shell.run());
    Ok(record)
}

/// Starts an entry that knows the agent, and returns the address for clients.
fn start_entry(agent: EndpointRecord) -> Result<SocketAddr> {
    let core = EntryCore::new(EntryConfig::default(), LeastLoad::default(), Incarnation::new(2));
    let options = EntryOptions {
        process: "entry-1".try_into()?,
        instance: "i-2".try_into()?,
        data_centre: "agdal".try_into()?,
        region: "morocco".try_into()?,
        link: LinkConfig::default(),
    };
    let shell = EntryShell::new(options, core, Clock::start(), ());
    let handle = shell.handle();
    actix_rt::spawn(shell.run());
    let file = ConfigurationFile::parse("service.ini", CONFIGURATION)?;
    handle.configure(Arc::new(file.into_configuration()));
    handle.event(Event::Endpoints(vec![agent]));

    let limits = HttpLimits::default();
    let server = HttpServer::bind(LOOPBACK, limits)?;
    let addr = server.local_addr();
    let api = ClientApi::new(handle, limits);
    actix_rt::spawn(server.serve(move |req| api.clone().handle(req)));
    Ok(addr)
}

/// Calls the service through the entry. Sends the call again only after a refusal that says that nothing was run.
async fn call(entry: SocketAddr) -> Result<String> {
    loop {
        let mut stream = TcpStream::connect(entry).await?;
        let request = format!(
            "POST /services/counts/add HTTP/1.1\r\nhost: {entry}\r\nx-daisychute-tenant: clerks\r\n\
             connection: close\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await?;
        if !response.contains("\"outcome\":\"not_run\"") {
            return Ok(response);
        }
        sleep(RETRY_DELAY).await;
    }
}
