//! Fetches and serves snapshots.
//!
//! A front that starts while the directory is unreachable, or that the directory refuses while it serves others, gets
//! configuration and endpoints from a peer. One WebSocket message contains the whole snapshot.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::future::join_all;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_io_timeout::TimeoutStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::protocol::frame::Frame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::{Data, OpCode};
use tokio_tungstenite::tungstenite::{Error, Message};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use daisychute_dispatch::Event;

use crate::peers::snapshot::Snapshot;
use crate::side_listener;
use crate::state::FrontState;
use crate::{Collection, Dialect};

/// Maximum number of peers that fetch a snapshot at once.
const MAX_CONNECTIONS: usize = 64;
/// Maximum number of snapshots that are received and decoded at once, each of which takes up to `MAX_SNAPSHOT_BYTES` and
/// what it is decoded to.
const MAX_TRANSFERS: usize = 4;
/// Time limit for a connection, and for more of a snapshot to be transferred; a peer that takes longer is skipped.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for all of a snapshot: the largest ones take seconds over slow links.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);
/// Maximum number of snapshots that are sent at once, so that each is sent before the time limit.
const MAX_SENT: usize = 4;
/// Maximum time for which a peer waits for its turn before it is to ask another one.
const MAX_TURN_WAIT: Duration = Duration::from_millis(200);
/// Maximum number of peers ahead of this front that are asked in one attempt.
const MAX_SOURCES_ASKED: usize = 3;
/// Interval between attempts, each of which tries the peers in turn.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a snapshot: some thousand routes.
const MAX_SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;
/// Time after which a snapshot that is still being sent isn't sent to further peers, which share its memory.
const REUSE_TIME: Duration = Duration::from_millis(200);
/// Buffer for what a peer sends, in bytes. It is given a snapshot without a message of its own.
const READ_BUFFER_BYTES: usize = 1024;

/// Why a snapshot could not be transferred.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error("connecting failed: {0}")]
    Connect(#[from] io::Error),
    #[error("writing failed: {0}")]
    Write(#[source] io::Error),
    #[error("the connection failed: {0}")]
    Socket(#[from] Box<Error>),
    #[error("the peer has no snapshot yet")]
    Empty,
    #[error("the snapshot can't be encoded or decoded: {0}")]
    Codec(String),
    #[error("the transfer timed out")]
    Timeout,
    #[error("too many snapshots are being sent")]
    Busy,
}

/// Serves snapshots for the life of the process.
pub(crate) async fn serve<D: Dialect>(state: Rc<FrontState<D>>, listener: TcpListener) {
    let latest = Rc::<RefCell<Weak<EncodedSnapshot>>>::default();
    let turns = Rc::new(Semaphore::new(MAX_SENT));
    let serve = |stream, _| {
        let (state, latest, turns) = (Rc::clone(&state), Rc::clone(&latest), Rc::clone(&turns));
        async move {
            match send(&state, &latest, &turns, stream).await {
                Ok(()) => {}
                Err(FetchError::Timeout) => side_listener::count_closed("slow"),
                Err(error) => log::debug!(error:%; "sending a snapshot failed"),
            }
        }
    };
    side_listener::accept(listener, MAX_CONNECTIONS, serve).await;
}

/// A snapshot as it is sent, and when it was taken.
#[derive(Debug)]
struct EncodedSnapshot {
    /// The frames of the message and of the close.
    frames: Vec<u8>,
    taken_at: Instant,
}

async fn send<D: Dialect>(
    state: &FrontState<D>,
    latest: &RefCell<Weak<EncodedSnapshot>>,
    turns: &Semaphore,
    stream: TcpStream,
) -> Result<(), FetchError> {
    let config = websocket_config().read_buffer_size(READ_BUFFER_BYTES).write_buffer_size(0);
    let accepted = timeout(FETCH_TIMEOUT, accept_async_with_config(stream, Some(config))).await;
    let socket = accepted.map_err(|_| FetchError::Timeout)?;
    let mut stream = with_progress(socket.map_err(Box::new)?.into_inner());
    let turn = timeout(MAX_TURN_WAIT, turns.acquire()).await;
    let _turn = turn.map_err(|_| FetchError::Busy)?;
    let reusable = latest.borrow().upgrade().filter(|it| it.taken_at.elapsed() < REUSE_TIME);
    let snapshot = if let Some(snapshot) = reusable {
        snapshot
    } else {
        let snapshot = Rc::new(encode(state)?);
        latest.replace(Rc::downgrade(&snapshot));
        snapshot
    };
    // A socket of the library would copy the message for each peer.
    let written = timeout(MAX_TRANSFER_TIME, stream.write_all(&snapshot.frames)).await;
    match written.map_err(|_| FetchError::Timeout)? {
        Err(e) if e.kind() == io::ErrorKind::TimedOut => Err(FetchError::Timeout),
        written => written.map_err(FetchError::Write),
    }
}

/// A connection on which reading and writing fail once nothing moves for [`FETCH_TIMEOUT`].
type ProgressStream = Pin<Box<TimeoutStream<TcpStream>>>;

fn with_progress(stream: TcpStream) -> ProgressStream {
    let mut stream = TimeoutStream::new(stream);
    stream.set_read_timeout(Some(FETCH_TIMEOUT));
    stream.set_write_timeout(Some(FETCH_TIMEOUT));
    Box::pin(stream)
}

/// Takes a snapshot and encodes it.
fn encode<D: Dialect>(state: &FrontState<D>) -> Result<EncodedSnapshot, FetchError> {
    let Some(snapshot) = state.with_dispatcher(Snapshot::of) else {
        return Err(FetchError::Empty);
    };
    let (positions, covered) = (state.revisions.latest_seen(), state.revisions.endpoints_covered());
    let outdated = state.revisions.lacks_configuration();
    let snapshot = snapshot.with_positions(positions, covered).outdated(outdated);
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(&snapshot, &mut bytes);
    written.map_err(|e| FetchError::Codec(e.to_string()))?;
    let mut frames = Vec::new();
    let message = Frame::message(bytes, OpCode::Data(Data::Binary), true);
    message.format(&mut frames).map_err(Box::new)?;
    Frame::close(None).format(&mut frames).map_err(Box::new)?;
    Ok(EncodedSnapshot { frames, taken_at: Instant::now() })
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_SNAPSHOT_BYTES))
        .max_frame_size(Some(MAX_SNAPSHOT_BYTES))
}

/// Fetches snapshots from peers for the life of the process, whenever the directory is unreachable and no configuration
/// is in force or a peer is ahead.
pub(crate) async fn fetch_when_needed<D: Dialect>(
    state: Rc<FrontState<D>>,
    own_address: SocketAddr,
) {
    sleep(state.jitter(ROUND_INTERVAL)).await;
    loop {
        if !state.needs_snapshot() {
            tokio::select! {
                () = sleep(ROUND_INTERVAL) => {}
                () = state.snapshot_wanted.notified() => {}
            }
            continue;
        }
        take_from_peers(&state, own_address).await;
        sleep(state.jitter(ROUND_INTERVAL)).await;
    }
}

/// Asks the peers that are known to be ahead, and then the seeds, which may be as late as this front.
async fn take_from_peers<D: Dialect>(state: &Rc<FrontState<D>>, own_address: SocketAddr) {
    let mut peers = state.snapshot_sources(MAX_SOURCES_ASKED);
    let seeds = state.seeds().into_iter().filter(|it| *it != own_address && !peers.contains(it));
    peers.extend(seeds.collect::<Vec<_>>());
    if state.with_dispatcher(|it| it.table().is_none()) {
        return take_newest(state, peers).await;
    }
    let places = Semaphore::new(1);
    for peer in peers {
        match fetch(peer, &places).await {
            Ok(snapshot) if apply(state, peer, &snapshot) => return,
            Ok(_) => log::info!(peer:%; "snapshot of a peer isn't newer"),
            Err(error) => log::info!(peer:%, error:%; "fetching a snapshot from a peer failed"),
        }
    }
}

/// Asks all peers at once and applies the newest snapshot. A front that knows nothing can't tell that the first one is
/// older: it may have been started again, and have known that a key was revoked or that an endpoint left.
async fn take_newest<D: Dialect>(state: &Rc<FrontState<D>>, peers: Vec<SocketAddr>) {
    let places = Semaphore::new(MAX_TRANSFERS);
    let fetch = async |peer| (peer, fetch(peer, &places).await);
    let fetched = join_all(peers.into_iter().map(fetch)).await;
    let mut snapshots = Vec::new();
    for (peer, result) in fetched {
        match result {
            Ok(snapshot) => snapshots.push((peer, snapshot)),
            Err(error) => {
                log::debug!(peer:%, error:%; "fetching a snapshot from a peer failed")
            }
        }
    }
    // Older ones are ignored, but for an unsettled one, which a settled one replaces.
    snapshots.sort_by_key(|(_, it)| (it.unsettled, Reverse((it.version(), it.covered()))));
    for (peer, snapshot) in snapshots {
        apply(state, peer, &snapshot);
    }
}

/// Connects to a peer, and receives its snapshot once one of the `places` is free. Peers that don't accept the connection
/// take no place.
async fn fetch(peer: SocketAddr, places: &Semaphore) -> Result<Snapshot, FetchError> {
    let opened = timeout(FETCH_TIMEOUT, open(peer)).await;
    let socket = opened.map_err(|_| FetchError::Timeout)??;
    let _place = places.acquire().await;
    timeout(MAX_TRANSFER_TIME, receive(socket)).await.map_err(|_| FetchError::Timeout)?
}

async fn open(peer: SocketAddr) -> Result<WebSocketStream<ProgressStream>, FetchError> {
    let stream = with_progress(TcpStream::connect(peer).await?);
    let url = format!("ws://{peer}/");
    let opened = client_async_with_config(url, stream, Some(websocket_config())).await;
    Ok(opened.map_err(Box::new)?.0)
}

async fn receive(mut socket: WebSocketStream<ProgressStream>) -> Result<Snapshot, FetchError> {
    let message = socket.next().await.ok_or(FetchError::Empty)?.map_err(Box::new)?;
    let Message::Binary(bytes) = message else { return Err(FetchError::Empty) };
    ciborium::from_reader(&bytes[..]).map_err(|e| FetchError::Codec(e.to_string()))
}

/// Applies what is newer in a snapshot. Returns whether anything was.
///
/// While removals are pending at the peer, its endpoints are taken only by a front that knows none, which then asks again.
/// An older picture of the endpoints is ignored as a whole: it may lack endpoints that joined since, and contain ones
/// that left.
fn apply<D: Dialect>(state: &Rc<FrontState<D>>, peer: SocketAddr, snapshot: &Snapshot) -> bool {
    let table = match snapshot.table() {
        Ok(table) => table,
        Err(error) => {
            log::warn!(peer:%, error:%; "invalid snapshot from a peer");
            return false;
        }
    };
    let version = table.version();
    let known_version = state.with_dispatcher(|it| it.table().map(|it| it.version()));
    // A front that was started again may have known that keys were revoked.
    if known_version.is_none() && snapshot.may_have_revoked_keys() {
        log::warn!(peer:%, version; "snapshot of a peer that lacks a later configuration isn't taken: keys may have been revoked");
        return false;
    }
    let newer_table = known_version.is_none_or(|it| it < version);
    let covered = snapshot.covered();
    state.record_peer_era(covered.era(), peer);
    let knows_none = state.with_dispatcher(|it| it.fleet().is_empty());
    let newer_endpoints =
        state.revisions.endpoints_covered() < covered && (!snapshot.unsettled || knows_none);
    if !newer_table && !newer_endpoints {
        allow_versions(state, snapshot);
        return false;
    }
    let (endpoints, era, revision) = (snapshot.endpoints.len(), covered.era(), covered.revision());
    log::info!(peer:%, version, endpoints, era, covered = revision; "snapshot taken from peer");
    let (configuration_position, endpoints_position) = snapshot.positions();
    if newer_table {
        state.apply_configuration(table, peer, true);
        state.revisions.record_seen(Collection::Configuration, configuration_position);
    }
    if newer_endpoints {
        state.replace_endpoints(&snapshot.endpoints, covered);
    }
    // An endpoint that is listed voids what was known before of its version.
    allow_versions(state, snapshot);
    if newer_endpoints && !snapshot.unsettled {
        state.revisions.record_seen(Collection::Endpoints, endpoints_position);
        state.revisions.record_covered(Collection::Endpoints, covered);
    }
    true
}

/// Lets streams begin at the versions at which the sender of a snapshot may begin some.
fn allow_versions<D: Dialect>(state: &Rc<FrontState<D>>, snapshot: &Snapshot) {
    for (service, versions) in snapshot.allowed_versions.iter().cloned() {
        state.handle(Event::VersionsAllowed { service, versions });
    }
    state.news.notify_waiters();
}
