//! Sends and receives heartbeats.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_dispatch::Event;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::peers::peer_heartbeat::{Load, Part, PeerHeartbeat};
use crate::shared::Shared;
use crate::{Dialect, Directory};

/// The shortest pause between heartbeats: engines take tens of milliseconds for a prompt.
const SHORTEST: Duration = Duration::from_millis(40);
/// The longest pause between heartbeats: what is older says little about an engine.
const LONGEST: Duration = Duration::from_millis(400);
/// Added for each peer, so that the heartbeats of a front that has no news stay below a hundred datagrams a second.
const EACH: Duration = Duration::from_millis(12);
/// The largest heartbeat that is taken, in bytes: four packets of most networks, for work at some hundred endpoints.
const LARGEST: usize = 5_600;
/// Pause before another try to be listed.
const AGAIN: Duration = Duration::from_millis(800);

/// Tells the others what this front has under way, for the life of the process.
pub(crate) async fn tell<D: Dialect>(shared: Rc<Shared<D>>, socket: Rc<UdpSocket>) {
    loop {
        let peers = shared.peers.addresses();
        let pause = EACH * u32::try_from(peers.len()).unwrap_or(u32::MAX);
        let pause = shared.jitter(pause.clamp(SHORTEST, LONGEST));
        let urgent = async {
            sleep(SHORTEST).await;
            shared.peers.heartbeat_requested().await;
        };
        // A heartbeat that isn't urgent tells what has ended, and that the front lives.
        let _ = timeout(pause, urgent).await;
        let fronts = shared.peers.count(shared.now());
        shared.handle(Event::FrontCount(fronts));
        let Some(bytes) = encode(&shared) else { continue };
        for peer in peers {
            // A datagram that can't be sent is a lost one.
            let _ = socket.try_send_to(&bytes, peer);
        }
    }
}

fn encode<D: Dialect>(shared: &Shared<D>) -> Option<Vec<u8>> {
    let now = shared.now();
    let parts: Vec<Part> = shared.peers.take_parts().into_iter().map(Part::from).collect();
    let heartbeat = shared.view(|it| {
        let loads: Vec<Load> = it.fleet().own_load(now).map(Load::from).collect();
        PeerHeartbeat(shared.incarnation_id, shared.revisions.own(), loads, parts)
    });
    let mut bytes = Vec::with_capacity(512);
    let written = ciborium::into_writer(&heartbeat, &mut bytes);
    written.inspect_err(|error| log::warn!(error:%; "beat not written")).ok()?;
    Some(bytes)
}

/// Takes in what the others tell, for the life of the process.
pub(crate) async fn hear<D: Dialect>(shared: Rc<Shared<D>>, socket: Rc<UdpSocket>) {
    let mut buf = [0; LARGEST];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            sleep(SHORTEST).await;
            continue;
        };
        let heartbeat: Result<PeerHeartbeat, _> = ciborium::from_reader(&buf[..len]);
        let Ok(PeerHeartbeat(peer, revisions, loads, parts)) = heartbeat else {
            log::debug!(from:%; "datagram that can't be read");
            continue;
        };
        shared.peers.heard(shared.now(), from);
        shared.revisions.told(shared.now(), revisions);
        let loads = loads.into_iter().map(Into::into).collect();
        let parts = parts.into_iter().map(Into::into).collect();
        shared.handle(Event::PeerHeartbeat { peer, loads, parts });
    }
}

/// Writes the record by which the others find this front.
pub(crate) async fn announce<D: Dialect>(
    shared: Rc<Shared<D>>,
    store: impl Directory,
    name: String,
    own: SocketAddr,
) {
    while let Err(error) = store.announce(&name, own).await {
        log::warn!(error:%; "front not announced yet");
        sleep(shared.jitter(AGAIN)).await;
    }
    log::info!(name, address:% = own; "front announced");
}
