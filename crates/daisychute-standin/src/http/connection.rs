//! One accepted connection and the means to close it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future;
use std::rc::Rc;

use tokio::sync::Notify;

/// One accepted connection. Clones stand for the same connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct Connection {
    closed: Rc<Notify>,
}

impl Connection {
    /// Closes the connection at once, whatever is still to be sent.
    pub(crate) fn close(&self) {
        self.closed.notify_one();
    }

    /// Closes the connection in place of an answer. The future never ends; it is dropped with the connection.
    pub(crate) async fn close_unanswered<T>(&self) -> T {
        self.close();
        future::pending().await
    }

    /// Waits until [`Connection::close`] is called.
    pub(super) async fn wait_closed(&self) {
        self.closed.notified().await;
    }
}

/// The open connections of one server.
#[derive(Debug, Clone, Default)]
pub(super) struct Connections {
    open: Rc<RefCell<Open>>,
}

#[derive(Debug, Default)]
struct Open {
    next: u64,
    by_number: BTreeMap<u64, Connection>,
}

impl Connections {
    /// Notes a new connection until the guard is dropped.
    pub(super) fn open(&self) -> OpenGuard {
        let mut open = self.open.borrow_mut();
        let number = open.next;
        open.next += 1;
        let connection = Connection::default();
        open.by_number.insert(number, connection.clone());
        OpenGuard { number, connection, connections: self.clone() }
    }

    /// Closes every open connection.
    pub(super) fn close_all(&self) {
        self.open.borrow().by_number.values().for_each(Connection::close);
    }
}

/// Forgets a connection when dropped.
#[derive(Debug)]
pub(super) struct OpenGuard {
    number: u64,
    /// The connection.
    pub(super) connection: Connection,
    connections: Connections,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().by_number.remove(&self.number);
    }
}
