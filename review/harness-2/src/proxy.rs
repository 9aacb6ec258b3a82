//! A link to a worker that can be cut: while it is, nothing passes, and what was sent waits.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// Whether the link is cut. Clones share it.
#[derive(Clone, Default)]
pub struct Link {
    is_cut: Arc<(Mutex<bool>, Condvar)>,
}

impl Link {
    /// Forwards the connections to `listener` to the worker at `target`.
    pub fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let link = Self::default();
        let shared = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = shared.clone();
                thread::spawn(move || link.forward(stream, target));
            }
        });
        link
    }

    /// Cuts the link, or heals it.
    pub fn set_cut(&self, is_cut: bool) {
        *self.is_cut.0.lock().expect("no thread panicked") = is_cut;
        self.is_cut.1.notify_all();
    }

    fn wait_healed(&self) {
        let is_cut = self.is_cut.0.lock().expect("no thread panicked");
        drop(self.is_cut.1.wait_while(is_cut, |it| *it));
    }

    fn forward(&self, front: TcpStream, target: SocketAddr) {
        self.wait_healed();
        // A worker that is down refuses the connection.
        let Ok(worker) = TcpStream::connect(target) else { return };
        let _ = (front.set_nodelay(true), worker.set_nodelay(true));
        let (Ok(front_read), Ok(worker_read)) = (front.try_clone(), worker.try_clone()) else {
            return;
        };
        let link = self.clone();
        let back = thread::spawn(move || link.pass(worker_read, front));
        self.pass(front_read, worker);
        let _ = back.join();
    }

    /// Passes bytes on, and the end of the connection after them.
    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0; 8192];
        loop {
            let count = from.read(&mut chunk).unwrap_or(0);
            self.wait_healed();
            if count == 0 || to.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        let _ = (to.shutdown(Shutdown::Write), from.shutdown(Shutdown::Read));
    }
}
