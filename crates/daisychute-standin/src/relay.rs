//! A TCP relay between two ends, which a test can make fail.

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

/// The size of the buffer of one direction of a connection, in bytes.
const BUFFER_LEN: usize = 16 * 1024;

/// What the relay does with new connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Forwards them.
    #[default]
    Open,
    /// Closes them at once.
    Refuse,
    /// Accepts them and forwards nothing for good.
    Block,
}

/// What the relay has seen since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelaySeen {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections open, the silent ones too.
    pub open: u64,
    /// Open connections that are silent for good.
    pub silent: u64,
    /// Bytes sent on towards the far end.
    pub bytes_to: u64,
    /// Bytes sent back from the far end.
    pub bytes_back: u64,
    /// What happens to new connections.
    pub mode: Mode,
}

/// What happens to the connections of one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Forward,
    Silent,
    Cut,
}

#[derive(Debug)]
struct State {
    to: SocketAddr,
    mode: Cell<Mode>,
    seen: Cell<RelaySeen>,
    /// Told to the connections that are open now; replaced for those that come later.
    fate: RefCell<watch::Sender<Fate>>,
    /// Told to the silent connections, which a later cut still reaches.
    cut: watch::Sender<u64>,
}

/// A running relay. Dropping it stops it and cuts every connection.
#[derive(Debug)]
pub struct Relay {
    local_addr: SocketAddr,
    accepting: JoinHandle<()>,
    state: Rc<State>,
    admin: Server,
}

impl Relay {
    /// Listens on `addr` and forwards to `to`; `admin` is where its switches are served.
    ///
    /// # Errors
    ///
    /// An address can't be listened on.
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
            fate: RefCell::new(watch::Sender::new(Fate::Forward)),
            cut: watch::Sender::new(0),
        });
        let accepting = actix_rt::spawn(accept(listener, Rc::clone(&state)));
        let handler = Rc::new(Admin { state: Rc::clone(&state) });
        let admin = Server::start(admin, handler, ByteCount::default()).await?;
        Ok(Self { local_addr, accepting, state, admin })
    }

    /// Where it listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Where its switches are served.
    #[must_use]
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin.local_addr()
    }

    /// Resets every open connection; new ones are treated as the mode says.
    pub fn cut(&self) {
        self.state.cut();
    }

    /// Makes every open connection silent for good; new ones are treated as the mode says.
    pub fn silence(&self) {
        self.state.silence();
    }

    /// Says what happens to new connections.
    pub fn set_mode(&self, mode: Mode) {
        self.state.mode.set(mode);
    }

    /// What it has seen.
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
        self.fate.borrow().send_replace(Fate::Cut);
        self.fate.replace(watch::Sender::new(Fate::Forward));
        self.cut.send_modify(|it| *it += 1);
    }

    fn silence(&self) {
        self.fate.borrow().send_replace(Fate::Silent);
        self.fate.replace(watch::Sender::new(Fate::Forward));
    }

    fn seen(&self) -> RelaySeen {
        RelaySeen { mode: self.mode.get(), ..self.seen.get() }
    }

    fn count(&self, change: impl FnOnce(&mut RelaySeen)) {
        let mut seen = self.seen.get();
        change(&mut seen);
        self.seen.set(seen);
    }
}

async fn accept(listener: TcpListener, state: Rc<State>) {
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        state.count(|it| it.accepted += 1);
        actix_rt::spawn(carry(near, Rc::clone(&state)));
    }
}

/// Carries one connection to its end.
async fn carry(near: TcpStream, state: Rc<State>) {
    let mut fate = state.fate.borrow().subscribe();
    let mut cut = state.cut.subscribe();
    let _open = OpenGuard::new(&state);
    match state.mode.get() {
        Mode::Open => {}
        Mode::Refuse => return reset(&near),
        Mode::Block => {
            hold_silent(&state, &mut cut).await;
            return reset(&near);
        }
    }
    let Ok(far) = TcpStream::connect(state.to).await else { return reset(&near) };
    let near = no_delay(near);
    let far = no_delay(far);
    let mut ends = (near, far);
    let ended = tokio::select! {
        () = forward(&mut ends, &state) => None,
        fate = next_fate(&mut fate) => Some(fate),
    };
    match ended {
        None => return,
        Some(Fate::Silent) => hold_silent(&state, &mut cut).await,
        Some(Fate::Cut | Fate::Forward) => {}
    }
    reset(&ends.0);
    reset(&ends.1);
}

async fn next_fate(fate: &mut watch::Receiver<Fate>) -> Fate {
    fate.wait_for(|it| *it != Fate::Forward).await.map_or(Fate::Cut, |it| *it)
}

/// Keeps a connection open without a byte until a cut that came after it was accepted.
async fn hold_silent(state: &State, cut: &mut watch::Receiver<u64>) {
    state.count(|it| it.silent += 1);
    if cut.changed().await.is_err() {
        log::debug!("the relay has stopped");
    }
    state.count(|it| it.silent -= 1);
}

async fn forward((near, far): &mut (TcpStream, TcpStream), state: &State) {
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let to = copy(near_read, far_write, |n| state.count(|it| it.bytes_to += n));
    let back = copy(far_read, near_write, |n| state.count(|it| it.bytes_back += n));
    tokio::join!(to, back);
}

/// Copies one direction until it ends, then closes it.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    count: impl Fn(u64),
) {
    let mut buf = [0; BUFFER_LEN];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        if to.write_all(&buf[..n]).await.is_err() {
            break;
        }
        count(n as u64);
    }
    if let Err(err) = to.shutdown().await {
        log::debug!("half-close: {err}");
    }
}

fn no_delay(stream: TcpStream) -> TcpStream {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("no TCP_NODELAY: {err}");
    }
    stream
}

/// Makes the close of a stream a reset.
fn reset(stream: &TcpStream) {
    if let Err(err) = stream.set_zero_linger() {
        log::debug!("no reset: {err}");
    }
}

/// Counts an open connection until dropped.
struct OpenGuard<'a> {
    state: &'a State,
}

impl<'a> OpenGuard<'a> {
    fn new(state: &'a State) -> Self {
        state.count(|it| it.open += 1);
        Self { state }
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.state.count(|it| it.open -= 1);
    }
}

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
