//! A TCP relay between a client and a server, with faults that a test injects.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;
use actix_rt::task::JoinHandle;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::StandinError;
use crate::http::{ByteCount, Handler, Incoming, Reply, Server, empty, json};

/// Size of the copy buffer of one direction of a connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// How the relay treats new connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Forwards them to the server.
    #[default]
    Open,
    /// Resets them at once.
    Refuse,
    /// Accepts them and never forwards a byte, even after the mode has changed.
    Block,
}

/// Counters of the relay since it started, and its mode.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelaySeen {
    /// Number of connections accepted.
    pub accepted: u64,
    /// Number of open connections, including silent ones.
    pub open: u64,
    /// Number of open connections on which nothing is forwarded any more.
    pub silent: u64,
    /// Bytes forwarded from clients to the server.
    pub bytes_to: u64,
    /// Bytes forwarded from the server to clients.
    pub bytes_back: u64,
    /// How new connections are treated.
    pub mode: Mode,
}

/// What is done to all connections accepted since the last cut or silencing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayAction {
    Forward,
    /// Forward nothing more and leave the connection open.
    Silence,
    /// Reset the connection.
    Reset,
}

#[derive(Debug)]
struct State {
    to: SocketAddr,
    mode: Cell<Mode>,
    seen: Cell<RelaySeen>,
    /// Action for the connections that are open now. Replaced by a new channel at each cut or silencing, so that
    /// later connections are unaffected.
    action: RefCell<watch::Sender<RelayAction>>,
    /// Number of cuts so far. Silent connections wait for its next change, which resets them.
    cuts: watch::Sender<u64>,
}

/// A running relay. Dropping it stops it and resets every connection.
#[derive(Debug)]
pub struct Relay {
    local_addr: SocketAddr,
    accepting: JoinHandle<()>,
    state: Rc<State>,
    admin: Server,
}

impl Relay {
    /// Listens on `addr` and forwards to `to`. The HTTP API that injects faults listens on `admin`.
    ///
    /// # Errors
    ///
    /// One of the two listening sockets can't be bound.
    pub async fn start(
        addr: SocketAddr,
        to: SocketAddr,
        admin: SocketAddr,
    ) -> Result<Self, StandinError> {
        let bind = |source| StandinError::Bind { addr, source };
        let listener = TcpListener::bind(addr).await.map_err(bind)?;
        let local_addr = listener.local_addr().map_err(bind)?;
        let state = Rc::new(State {
            to,
            mode: Cell::default(),
            seen: Cell::default(),
            action: RefCell::new(watch::Sender::new(RelayAction::Forward)),
            cuts: watch::Sender::new(0),
        });
        let accepting = actix_rt::spawn(accept(listener, Rc::clone(&state)));
        let handler = Rc::new(Admin { state: Rc::clone(&state) });
        let admin = Server::start(admin, handler, ByteCount::default()).await?;
        Ok(Self { local_addr, accepting, state, admin })
    }

    /// Address on which connections to forward are accepted.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Address of the HTTP API that injects faults.
    #[must_use]
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin.local_addr()
    }

    /// Resets every open connection. New ones are treated according to the mode.
    pub fn cut(&self) {
        self.state.cut();
    }

    /// Stops forwarding on every open connection, until it is cut. New ones are treated according to the mode.
    pub fn silence(&self) {
        self.state.silence();
    }

    /// Sets how new connections are treated.
    pub fn set_mode(&self, mode: Mode) {
        self.state.mode.set(mode);
    }

    /// Counters since the relay started, and its mode.
    #[must_use]
    pub fn seen(&self) -> RelaySeen {
        self.state.seen()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
        self.state.cut();
    }
}

impl State {
    fn cut(&self) {
        self.action.borrow().send_replace(RelayAction::Reset);
        self.action.replace(watch::Sender::new(RelayAction::Forward));
        self.cuts.send_modify(|it| *it += 1);
    }

    fn silence(&self) {
        self.action.borrow().send_replace(RelayAction::Silence);
        self.action.replace(watch::Sender::new(RelayAction::Forward));
    }

    fn seen(&self) -> RelaySeen {
        RelaySeen { mode: self.mode.get(), ..self.seen.get() }
    }

    fn update_seen(&self, change: impl FnOnce(&mut RelaySeen)) {
        let mut seen = self.seen.get();
        change(&mut seen);
        self.seen.set(seen);
    }
}

async fn accept(listener: TcpListener, state: Rc<State>) {
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        state.update_seen(|it| it.accepted += 1);
        actix_rt::spawn(relay_connection(client, Rc::clone(&state)));
    }
}

/// Relays one connection until it ends or is reset.
async fn relay_connection(client: TcpStream, state: Rc<State>) {
    let mut action = state.action.borrow().subscribe();
    let mut cuts = state.cuts.subscribe();
    let _open = OpenGuard::new(&state);
    match state.mode.get() {
        Mode::Open => {}
        Mode::Refuse => return reset_on_close(&client),
        Mode::Block => {
            hold_silent(&state, &mut cuts).await;
            return reset_on_close(&client);
        }
    }
    let Ok(server) = TcpStream::connect(state.to).await else { return reset_on_close(&client) };
    let client = no_delay(client);
    let server = no_delay(server);
    let mut streams = (client, server);
    let ended = tokio::select! {
        forwarded = forward(&mut streams, &state) => forwarded.err().map(|Reset| RelayAction::Reset),
        action = next_action(&mut action) => Some(action),
    };
    match ended {
        None => return,
        Some(RelayAction::Silence) => hold_silent(&state, &mut cuts).await,
        Some(RelayAction::Reset | RelayAction::Forward) => {}
    }
    reset_on_close(&streams.0);
    reset_on_close(&streams.1);
}

async fn next_action(action: &mut watch::Receiver<RelayAction>) -> RelayAction {
    action.wait_for(|it| *it != RelayAction::Forward).await.map_or(RelayAction::Reset, |it| *it)
}

/// Keeps a connection open without forwarding until the next cut. `cuts` was subscribed when it was accepted.
async fn hold_silent(state: &State, cuts: &mut watch::Receiver<u64>) {
    state.update_seen(|it| it.silent += 1);
    if cuts.changed().await.is_err() {
        log::debug!("the relay has stopped");
    }
    state.update_seen(|it| it.silent -= 1);
}

/// One side of a connection was reset.
#[derive(Debug)]
struct Reset;

/// Forwards both directions until both have ended in order, or one side is reset.
async fn forward(
    (client, server): &mut (TcpStream, TcpStream),
    state: &State,
) -> Result<(), Reset> {
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let to_server = copy(client_read, server_write, |n| state.update_seen(|it| it.bytes_to += n));
    let to_client = copy(server_read, client_write, |n| state.update_seen(|it| it.bytes_back += n));
    tokio::try_join!(to_server, to_client).map(|_| ())
}

/// Copies one direction until its end, then shuts the write side down.
///
/// # Errors
///
/// The read side was reset.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    add_bytes: impl Fn(u64),
) -> Result<(), Reset> {
    let mut buf = [0; BUFFER_BYTES];
    loop {
        let n = from.read(&mut buf).await.map_err(|_| Reset)?;
        if n == 0 {
            break;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            break;
        }
        add_bytes(n as u64);
    }
    if let Err(err) = to.shutdown().await {
        log::debug!("can't shut the write side down: {err}");
    }
    Ok(())
}

fn no_delay(stream: TcpStream) -> TcpStream {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("can't set TCP_NODELAY: {err}");
    }
    stream
}

/// Makes the later close of a stream send RST instead of FIN.
fn reset_on_close(stream: &TcpStream) {
    if let Err(err) = stream.set_zero_linger() {
        log::debug!("can't set SO_LINGER to zero: {err}");
    }
}

/// Counts a connection as open until dropped.
struct OpenGuard<'a> {
    state: &'a State,
}

impl<'a> OpenGuard<'a> {
    fn new(state: &'a State) -> Self {
        state.update_seen(|it| it.open += 1);
        Self { state }
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.state.update_seen(|it| it.open -= 1);
    }
}

/// HTTP API that injects faults and serves the counters.
struct Admin {
    state: Rc<State>,
}

impl Handler for Admin {
    async fn handle(&self, req: Incoming) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/seen") => {}
            ("POST", "/cut") => self.state.cut(),
            ("POST", "/silent") => self.state.silence(),
            ("POST", "/refuse") => self.state.mode.set(Mode::Refuse),
            ("POST", "/block") => self.state.mode.set(Mode::Block),
            ("POST", "/restore") => self.state.mode.set(Mode::Open),
            _ => return empty(StatusCode::NOT_FOUND),
        }
        json(StatusCode::OK, &self.state.seen())
    }
}
