//! What a connection tells its owner.

use daisychute_proto::{Frame, Hello};

use crate::{DownReason, Link, LinkId};

/// What a connection tells its owner. `Down` comes exactly once, last, whether or not `Up` came before.
#[derive(Debug)]
pub enum LinkEvent {
    /// The other side's hello has arrived.
    Up {
        /// Which connection.
        id: LinkId,
        /// The other side's hello.
        hello: Box<Hello>,
        /// For sending on it.
        link: Link,
    },
    /// A frame has arrived.
    Frame {
        /// Which connection.
        id: LinkId,
        /// The frame.
        frame: Box<Frame>,
    },
    /// The connection has ended.
    Down {
        /// Which connection.
        id: LinkId,
        /// Why.
        reason: DownReason,
    },
}
