//! Fetches and serves snapshots.
//!
//! A front that starts while the directory is away, or that the directory turns away while others are served, learns
//! configuration and endpoints from a peer. One WebSocket message carries the whole snapshot.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error, Message};
use tokio_tungstenite::{accept_async_with_config, client_async_with_config};

use crate::Dialect;
use crate::peers::snapshot::Snapshot;
use crate::shared::Shared;

/// A peer that doesn't send its snapshot within this time is passed over.
const FETCH: Duration = Duration::from_millis(800);
/// The pause between two rounds over all peers.
const ROUND: Duration = Duration::from_millis(500);
/// The largest snapshot: some thousand routes.
const MOST_BYTES: usize = 8 * 1024 * 1024;
/// The pause after a failed accept.
const PAUSE: Duration = Duration::from_millis(50);

/// Why a peer's snapshot couldn't be had.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("the connection broke: {0}")]
    Socket(#[from] Box<Error>),
    #[error("the peer knows nothing yet")]
    Empty,
    #[error("the snapshot can't be read: {0}")]
    Unreadable(String),
    #[error("no answer in time")]
    Late,
}

/// Serves snapshots for the life of the process.
pub(crate) async fn serve<D: Dialect>(shared: Rc<Shared<D>>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        let shared = Rc::clone(&shared);
        actix_rt::spawn(async move {
            let sent = timeout(FETCH, send(&shared, stream)).await;
            if let Ok(Err(error)) = sent {
                log::debug!(error:%; "snapshot not sent");
            }
        });
    }
}

async fn send<D: Dialect>(shared: &Shared<D>, stream: TcpStream) -> Result<(), FetchError> {
    let socket = accept_async_with_config(stream, Some(config())).await;
    let mut socket = socket.map_err(Box::new)?;
    let Some(mut snapshot) = shared.view(Snapshot::of) else { return Err(FetchError::Empty) };
    snapshot.revisions = shared.revisions.own();
    snapshot.fresh = !shared.directory_lost.get();
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(&snapshot, &mut bytes);
    written.map_err(|e| FetchError::Unreadable(e.to_string()))?;
    socket.send(Message::Binary(bytes.into())).await.map_err(Box::new)?;
    socket.close(None).await.map_err(Box::new)?;
    Ok(())
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default().max_message_size(Some(MOST_BYTES)).max_frame_size(Some(MOST_BYTES))
}

/// Learns from peers while nothing is known, or while a peer is ahead and the directory doesn't answer.
pub(crate) async fn learn<D: Dialect>(
    shared: Rc<Shared<D>>,
    seeds: Vec<SocketAddr>,
    own: SocketAddr,
) {
    loop {
        sleep(shared.jitter(ROUND)).await;
        if !shared.needs_snapshot() {
            continue;
        }
        for peer in seeds.iter().copied().filter(|it| *it != own) {
            match fetch(peer).await {
                Ok(snapshot) => {
                    take(&shared, peer, &snapshot);
                    break;
                }
                Err(error) => log::debug!(peer:%, error:%; "no snapshot from peer"),
            }
        }
    }
}

async fn fetch(peer: SocketAddr) -> Result<Snapshot, FetchError> {
    timeout(FETCH, fetch_whole(peer)).await.map_err(|_| FetchError::Late)?
}

async fn fetch_whole(peer: SocketAddr) -> Result<Snapshot, FetchError> {
    let stream = TcpStream::connect(peer).await?;
    let url = format!("ws://{peer}/");
    let opened = client_async_with_config(url, stream, Some(config())).await;
    let (mut socket, _) = opened.map_err(Box::new)?;
    let message = socket.next().await.ok_or(FetchError::Empty)?.map_err(Box::new)?;
    let Message::Binary(bytes) = message else { return Err(FetchError::Empty) };
    ciborium::from_reader(&bytes[..]).map_err(|e| FetchError::Unreadable(e.to_string()))
}

fn take<D: Dialect>(shared: &Rc<Shared<D>>, peer: SocketAddr, snapshot: &Snapshot) {
    match snapshot.table() {
        Ok(table) => {
            let version = table.version();
            log::info!(peer:%, version, endpoints = snapshot.endpoints.len(); "snapshot taken from peer");
            shared.configured(table);
            shared.learn_endpoints(&snapshot.endpoints, snapshot.fresh);
            shared.revisions.caught_up(snapshot.revisions);
        }
        Err(error) => log::warn!(peer:%, error:%; "faulty snapshot from peer"),
    }
}
