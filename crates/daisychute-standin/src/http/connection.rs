//! Accepted connections, which a handler can close.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future;
use std::rc::Rc;

use tokio::sync::Notify;

/// Handle of one accepted connection. Clones refer to the same connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct Connection {
    closed: Rc<Notify>,
}

impl Connection {
    /// Closes the connection at once and drops unsent data.
    pub(crate) fn close(&self) {
        self.closed.notify_one();
    }

    /// Closes the connection instead of sending a response. The future never completes; it is dropped with the
    /// connection.
    pub(crate) async fn close_without_response<T>(&self) -> T {
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
    open: Rc<RefCell<OpenConnections>>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    next_id: u64,
    by_id: BTreeMap<u64, Connection>,
}

impl Connections {
    /// Registers a new connection until the guard is dropped.
    pub(super) fn register(&self) -> OpenGuard {
        let mut open = self.open.borrow_mut();
        let id = open.next_id;
        open.next_id += 1;
        let connection = Connection::default();
        open.by_id.insert(id, connection.clone());
        OpenGuard { id, connection, connections: self.clone() }
    }

    /// Closes every open connection.
    pub(super) fn close_all(&self) {
        self.open.borrow().by_id.values().for_each(Connection::close);
    }
}

/// Removes a connection from the open ones when dropped.
#[derive(Debug)]
pub(super) struct OpenGuard {
    id: u64,
    /// Handle of the registered connection.
    pub(super) connection: Connection,
    connections: Connections,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().by_id.remove(&self.id);
    }
}
