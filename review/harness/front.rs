//! A front process, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http;

/// Time limit for a front to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Ports that are tried.
const FIRST_PORT: u16 = 12_000;
const PORTS: u32 = 18_000;

/// Settings that differ between cases.
#[derive(Clone)]
pub struct Settings {
    pub memory_mb: u32,
    pub store: SocketAddr,
}

/// The addresses of a front.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    inner: SocketAddr,
    pub snapshots: SocketAddr,
    metrics: SocketAddr,
}

impl Addresses {
    /// Finds free ports, below those that the system gives to outgoing connections.
    pub fn free() -> std::io::Result<Self> {
        let mut listeners = Vec::new();
        while listeners.len() < 4 {
            listeners.extend(TcpListener::bind(("127.0.0.1", next_port())).ok());
        }
        let socket = loop {
            if let Ok(socket) = UdpSocket::bind(("127.0.0.1", next_port())) {
                break socket;
            }
        };
        let address = |at: usize| listeners[at].local_addr();
        Ok(Self {
            callers: address(0)?,
            ready: address(1)?,
            snapshots: address(2)?,
            metrics: address(3)?,
            inner: socket.local_addr()?,
        })
    }
}

/// Returns the next port to try. Each run begins elsewhere.
fn next_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(131) % PORTS;
    let offset = first + NEXT.fetch_add(1, Ordering::SeqCst);
    FIRST_PORT + u16::try_from(offset % PORTS).unwrap_or(0)
}

/// A front. It is killed when the value is dropped.
pub struct Front {
    pub name: String,
    pub addresses: Addresses,
    child: Child,
    root: PathBuf,
    settings_path: PathBuf,
}

impl Front {
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        addresses: Addresses,
        seeds: &[SocketAddr],
        settings: &Settings,
    ) -> std::io::Result<Self> {
        let settings_path = folder.join(format!("{name}.ini"));
        fs::write(&settings_path, ini(name, addresses, seeds, settings))?;
        let child = spawn(root, &settings_path)?;
        Ok(Self { name: name.to_owned(), addresses, child, root: root.to_owned(), settings_path })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::call(self.addresses.ready, request, Duration::from_secs(1))
            .is_some_and(|it| it.status() == 200)
    }

    pub fn wait_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > deadline {
                return Err(format!("{} isn't ready", self.name));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Asks the process to stop (SIGTERM), by the `kill` of the shell.
    pub fn terminate(&self) -> std::io::Result<()> {
        let command = format!("kill -TERM {}", self.pid());
        Command::new("sh").args(["-c", &command]).status().map(drop)
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.child = spawn(&self.root, &self.settings_path)?;
        Ok(())
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)) | Err(_))
    }

    /// Returns a field of `/proc/PID/status` in KiB.
    pub fn memory_kib(&self, field: &str) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = text.lines().find(|it| it.starts_with(field))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(root: &Path, settings: &Path) -> std::io::Result<Child> {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"))?;
    let errors = log.try_clone()?;
    let child = Command::new(root.join("target/release/daisychuted"))
        .arg(settings)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()?;
    // The script ends what is left if this program is stopped.
    fs::write(settings.with_extension("pid"), child.id().to_string())?;
    Ok(child)
}

/// Renders `platform/front.ini` with the figures of the sheet of Rabat-Salé.
fn ini(name: &str, addresses: Addresses, seeds: &[SocketAddr], settings: &Settings) -> String {
    let Addresses { callers, ready, inner, snapshots, metrics } = addresses;
    let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
    let Settings { memory_mb, store } = settings;
    format!(
        "[front]\nname = {name}\nregion = rabat-sale\ndata-centre = agdal\ncallers = {callers}\nready = {ready}\n\
         inner = {inner}\nsnapshots = {snapshots}\nmetrics = {metrics}\nseeds = {}\n\n[store]\naddress = {store}\n\n\
         [machine]\nmemory-mib = {memory_mb}\ndescriptors = 4100\n\n[retries]\nratio = 0.2\nwindow = 10s\nslack = 52\n\n\
         [duties]\naddress = \nrequire-fence = true\nlease = 3000ms\nduties = \n\n[stop]\nwithin = 8s\n\n\
         [log]\nformat = json\n",
        seeds.join(","),
    )
}
