//! Events that a connection reports to its owner.

use daisychute_proto::{Frame, Hello};

use crate::{DownReason, Link, LinkId};

/// An event of a connection. `Down` comes exactly once and last, whether or not `Up` came before.
#[derive(Debug)]
pub enum LinkEvent {
    /// The other side's hello arrived: the connection is open.
    Up {
        /// The connection that the event concerns.
        id: LinkId,
        /// The hello of the other side: its name, role and protocol versions.
        hello: Box<Hello>,
        /// The handle for sending frames on the connection.
        link: Link,
    },
    /// A frame other than a goodbye arrived after the hello.
    Frame {
        /// The connection that the event concerns.
        id: LinkId,
        /// The decoded frame.
        frame: Box<Frame>,
    },
    /// The connection ended or could not be established.
    Down {
        /// The connection that the event concerns.
        id: LinkId,
        /// Why it ended.
        reason: DownReason,
    },
}
