//! Connections that are opened as a listener is closed.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use daisychute_runtime::stop_listening;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Number of listeners that are closed, one after another.
const LISTENERS: usize = 100;
/// Number of clients of each listener.
const CLIENTS: usize = 3;
/// Time for which a listener accepts connections.
const OPEN_TIME: Duration = Duration::from_millis(3);
/// Time for connections that are being opened.
const HANDSHAKE_TIME: Duration = Duration::from_millis(2);
/// Time limit for opening a connection: shorter than the second after which the kernel tries again, when another program
/// may listen there.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause of a client between two connections, so that the listener keeps up.
const PAUSE: Duration = Duration::from_micros(20);

/// What became of the connections of the clients.
#[derive(Debug, Default, Clone, Copy)]
struct Outcomes {
    answered: usize,
    /// Opened and not answered.
    lost: usize,
    /// Opened and reset before the client had sent anything.
    reset: usize,
    /// Not opened: refused, or dropped while the listener was stopping.
    refused: usize,
}

/// Asks on one connection after another, without waiting for the answers, until none is opened. Returns why.
fn ask_until_refused(address: SocketAddr, asked: &Sender<TcpStream>) -> ErrorKind {
    loop {
        match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
            Ok(mut stream) => {
                // A failure shows as a lack of the answer.
                let _ = stream.write_all(b"?");
                asked.send(stream).expect("the answers are read");
            }
            Err(error) => return error.kind(),
        }
        thread::sleep(PAUSE);
    }
}

/// Returns the numbers of connections that were answered and that weren't.
fn count_answers(asked: &Receiver<TcpStream>) -> (usize, usize) {
    let (answered, lost): (Vec<bool>, Vec<bool>) =
        asked.iter().map(|mut it| it.read_exact(&mut [0]).is_ok()).partition(|it| *it);
    (answered.len(), lost.len())
}

fn answer(mut stream: tokio::net::TcpStream) {
    actix_rt::spawn(async move {
        if stream.read_exact(&mut [0]).await.is_ok() {
            let _ = stream.write_all(b"!").await;
        }
    });
}

async fn accept(listener: &TcpListener) {
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        answer(stream);
    }
}

/// Guards against connections that the kernel opens between the last accept and the close of the listener, and resets.
#[test]
fn connections_opened_as_a_listener_closes_are_answered() {
    actix_rt::System::new().block_on(async {
        let (mut asking, mut counting) = (Vec::new(), Vec::new());
        for _ in 0..LISTENERS {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("an address");
            for _ in 0..CLIENTS {
                let (tx, rx) = channel();
                asking.push(thread::spawn(move || ask_until_refused(address, &tx)));
                counting.push(thread::spawn(move || count_answers(&rx)));
            }
            let _ = timeout(OPEN_TIME, accept(&listener)).await;
            let (last, accepted) = stop_listening(listener, HANDSHAKE_TIME).await;
            accepted.expect("the last connections");
            last.into_iter().for_each(answer);
        }
        while !counting.iter().all(thread::JoinHandle::is_finished) {
            sleep(Duration::from_millis(20)).await;
        }
        let mut total = Outcomes::default();
        for client in asking {
            match client.join().expect("the client doesn't panic") {
                ErrorKind::ConnectionRefused | ErrorKind::TimedOut => total.refused += 1,
                ErrorKind::ConnectionReset => total.reset += 1,
                other => panic!("{other}"),
            }
        }
        for answers in counting {
            let (answered, lost) = answers.join().expect("the client doesn't panic");
            total.answered += answered;
            total.lost += lost;
        }
        println!("{total:?}");
        assert!(total.answered > 1_000, "{total:?}");
        assert_eq!((total.lost, total.reset), (0, 0), "{total:?}");
        assert_eq!(total.refused, LISTENERS * CLIENTS, "{total:?}");
    });
}
