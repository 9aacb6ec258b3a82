//! Sends and receives heartbeats between fronts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_dispatch::{CrashNews, Event, FrontPosition};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::directory::watcher::collect_time;
use crate::peers::crash_reports::CrashReports;
use crate::peers::limit_report::LimitReport;

use crate::peers::peer_heartbeat::{Eras, Leaving, Load, Origins, Part, PeerHeartbeat};
use crate::state::FrontState;
use crate::{Dialect, Directory};

/// Minimum interval between heartbeats: a prefill takes an engine tens of milliseconds.
const MIN_INTERVAL: Duration = Duration::from_millis(40);
/// Minimum interval before a heartbeat that is needed at once: a client takes longer to come back to another front.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum interval between heartbeats: older load reports say little about an engine.
const MAX_INTERVAL: Duration = Duration::from_millis(400);
/// Interval per peer, so that a front without urgent heartbeats sends fewer than a hundred datagrams a second.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(12);
/// Maximum size of a received heartbeat, in bytes: about four packets on most networks, enough for the load at some
/// hundred endpoints.
const MAX_DATAGRAM_BYTES: usize = 5_600;
/// Maximum number of quarantines that a front which has just started is told at once.
const MAX_GREETING_QUARANTINES: usize = 64;
/// Delay before another attempt to register this front in the directory.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Time over which the fronts register again after a return of the directory, multiplied by their number.
const REGISTRATION_TIME_PER_FRONT: Duration = Duration::from_millis(15);
/// Maximum time until a front registers again after a return of the directory, in which peers keep its record.
pub(crate) const MAX_REGISTRATION_TIME: Duration = Duration::from_secs(5);

/// Sends heartbeats with this front's load to its peers, for the life of the process.
pub(crate) async fn send_heartbeats<D: Dialect>(state: Rc<FrontState<D>>, socket: Rc<UdpSocket>) {
    let mut known = FrontPosition::default();
    loop {
        state.check_suspension();
        let peers = state.peers.addresses(state.now());
        let interval = INTERVAL_PER_PEER * u32::try_from(peers.len()).unwrap_or(u32::MAX);
        let interval = state.jitter(interval.clamp(MIN_INTERVAL, MAX_INTERVAL));
        let requested = async {
            sleep(MIN_INTERVAL).await;
            state.peers.heartbeat_requested().await;
        };
        let needed_at_once = async {
            sleep(MIN_URGENT_INTERVAL).await;
            state.peers.urgent_heartbeat_requested().await;
        };
        // A heartbeat that wasn't requested reports what has ended, and that the front is alive.
        tokio::select! {
            () = requested => {}
            () = needed_at_once => {}
            () = sleep(interval) => {}
        }
        let position = state.peers.position(state.now());
        if position.count != known.count || position.is_complete != known.is_complete {
            let (fronts, before, complete) = (position.count, known.count, position.is_complete);
            log::info!(fronts, before, complete; "number of known fronts changed");
        }
        known = position;
        state.handle(Event::FrontsCounted(position));
        let Some(bytes) = encode(&state) else { continue };
        for peer in peers {
            // A datagram that can't be sent is treated like a lost one.
            let _ = socket.try_send_to(&bytes, peer);
        }
    }
}

fn encode<D: Dialect>(state: &FrontState<D>) -> Option<Vec<u8>> {
    let now = state.now();
    let parts = state.peers.cached_parts.borrow_mut().take(now);
    let parts: Vec<Part> = parts.into_iter().map(Part::from).collect();
    let origins = state.peers.origins.borrow_mut().take(now);
    let wanted_origins = state.peers.wanted_origins.borrow_mut().take(now);
    let leaving = state.peers.leaving.borrow_mut().take(now);
    let leaving: Vec<Leaving> = leaving.into_iter().map(Leaving::from).collect();
    let part_reports = CrashReports::new(now, state.peers.part_news.borrow_mut().take(now));
    let request_news = state.peers.request_news.borrow_mut().take(now);
    let request_reports = CrashReports::new(now, request_news).join_requests();
    let limits = state.peers.limits.borrow_mut().take(now);
    let limits = limits.into_iter().map(|it| LimitReport::new(now, it)).collect();
    let heartbeat = state.with_dispatcher(|it| {
        let loads = it.fleet().own_load(now).map(Load::from).collect();
        heartbeat(state, loads, parts)
            .exits_in(state.shutdown.ends_in(now))
            .leaving(leaving)
            .origins(origins)
            .wanted_origins(wanted_origins)
            .part_reports(part_reports)
            .request_reports(request_reports)
            .limits(limits)
            .duties(state.duties.as_ref().map(|it| it.news()))
    });
    to_bytes(&heartbeat)
}

/// Returns a heartbeat without news but for cached prompt parts.
fn heartbeat<D: Dialect>(
    state: &FrontState<D>,
    loads: Vec<Load>,
    parts: Vec<Part>,
) -> PeerHeartbeat {
    let (era, positions) = (state.era.latest(), state.revisions.latest_seen());
    PeerHeartbeat::new(state.incarnation_id, era, positions, loads, parts)
        .snapshot_port(state.snapshot_port)
}

fn to_bytes(heartbeat: &PeerHeartbeat) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(512);
    let written = ciborium::into_writer(heartbeat, &mut bytes);
    written.inspect_err(|error| log::warn!(error:%; "heartbeat could not be encoded")).ok()?;
    Some(bytes)
}

/// Receives the heartbeats of peers, for the life of the process.
pub(crate) async fn receive_heartbeats<D: Dialect>(
    state: Rc<FrontState<D>>,
    socket: Rc<UdpSocket>,
) {
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            sleep(MIN_INTERVAL).await;
            continue;
        };
        let heartbeat: Result<PeerHeartbeat, _> = ciborium::from_reader(&buf[..len]);
        let Ok(heartbeat) = heartbeat else {
            if state.duties.as_ref().is_some_and(|it| it.receive_share(&buf[..len])) {
                continue;
            }
            log::debug!(from:%; "malformed heartbeat datagram dropped");
            continue;
        };
        let positions = heartbeat.positions();
        let PeerHeartbeat(
            peer,
            _,
            loads,
            parts,
            Eras(era, ..),
            exits_in_ms,
            leaving,
            origins,
            part_reports,
            limits,
            request_reports,
            duty_news,
            snapshot_port,
            origin_services,
            wanted_origins,
        ) = heartbeat;
        state.peers.record_heartbeat(state.now(), from);
        if state.peers.record_incarnation(peer) {
            greet(&state, &socket, from);
        }
        if let (Some(duties), Some(news)) = (&state.duties, duty_news) {
            duties.record_news(from, peer, news);
        }
        state.record_peer_era(era, from);
        if let Some(port) = snapshot_port {
            let address = SocketAddr::new(from.ip(), port);
            state.peers.snapshot_sources.borrow_mut().record(state.now(), address, positions);
        }
        state.revisions.record_reported(state.now(), positions, || collect_time(&state));
        if state.needs_snapshot() {
            state.snapshot_wanted.notify_one();
        }
        state.record_leaving_reported(leaving.into_iter().map(Into::into).collect());
        let origins: Vec<_> = Origins::ungroup(origins, origin_services).collect();
        if !origins.is_empty() {
            state.handle(Event::OriginsReported { origins });
            state.news.notify_waiters();
        }
        tell_origins(&state, &socket, from, &wanted_origins);
        let now = state.now();
        let news = part_reports.into_part_news(now).chain(request_reports.into_request_news(now));
        let news: Vec<_> = news.collect();
        if !news.is_empty() {
            state.handle(Event::CrashNewsReported { news });
        }
        let limits: Vec<_> = limits.into_iter().map(|it| it.into_news(state.now())).collect();
        if !limits.is_empty() {
            state.handle(Event::LimitsReported { limits });
        }
        let loads = loads.into_iter().map(Into::into).collect();
        let parts = parts.into_iter().map(Into::into).collect();
        state.handle(Event::PeerHeartbeat { peer, loads, parts });
        if let Some(ms) = exits_in_ms {
            let exits_in = Duration::from_millis(ms.into());
            state.handle(Event::PeerStopping { peer, exits_in });
        }
    }
}

/// Tells a front that has just started which requests and prompt parts are quarantined, before it learns them at the cost
/// of endpoints.
fn greet<D: Dialect>(state: &FrontState<D>, socket: &UdpSocket, newcomer: SocketAddr) {
    let now = state.now();
    let quarantines = state.with_dispatcher(|it| it.quarantines(now, MAX_GREETING_QUARANTINES));
    if quarantines.is_empty() {
        return;
    }
    let news = quarantines.into_iter().map(CrashNews::Quarantined);
    let (requests, parts): (Vec<_>, Vec<_>) = news.partition(CrashNews::is_about_requests);
    let (requests, parts) = (CrashReports::new(now, requests), CrashReports::new(now, parts));
    let greeting = state.with_dispatcher(|it| {
        let loads = it.fleet().own_load(now).map(Load::from).collect();
        heartbeat(state, loads, Vec::new()).part_reports(parts).request_reports(requests)
    });
    if let Some(bytes) = to_bytes(&greeting) {
        // A datagram that can't be sent is treated like a lost one.
        let _ = socket.try_send_to(&bytes, newcomer);
    }
}

/// Tells another front where the streams began that it asks for, as far as that is known here.
fn tell_origins<D: Dialect>(
    state: &FrontState<D>,
    socket: &UdpSocket,
    asker: SocketAddr,
    attempts: &[u64],
) {
    let now = state.now();
    let known = |it: &u64| state.with_dispatcher(|dispatcher| dispatcher.stream_origin(now, *it));
    let origins: Vec<_> = attempts.iter().filter_map(known).collect();
    if origins.is_empty() {
        return;
    }
    log::debug!(asker:%, origins = origins.len(); "origins of streams told");
    // The loads of this front are for its heartbeats to all; a heartbeat without them says that there are none.
    let answer = state.with_dispatcher(|it| {
        let loads = it.fleet().own_load(now).map(Load::from).collect();
        heartbeat(state, loads, Vec::new()).origins(origins)
    });
    if let Some(bytes) = to_bytes(&answer) {
        // A datagram that can't be sent is treated like a lost one.
        let _ = socket.try_send_to(&bytes, asker);
    }
}

/// Registers this front in the directory, so that its peers find it, and again after each return of the directory, for
/// the life of the process.
pub(crate) async fn announce<D: Dialect>(
    state: Rc<FrontState<D>>,
    directory: impl Directory,
    name: String,
    own_address: SocketAddr,
) {
    loop {
        let answer = directory.announce(&name, own_address).await;
        if let Some(era) = answer.era {
            state.record_era(era, "directory");
        }
        match answer.result {
            Ok(()) => {
                let era = answer.era.unwrap_or_default();
                log::info!(name, address:% = own_address, era; "front registered in the directory");
                if era < state.era.latest() {
                    // The directory was restored while it answered.
                    sleep(state.jitter(REGISTRATION_RETRY_DELAY)).await;
                }
                state.era.wait_until_after(era).await;
                let spread = REGISTRATION_TIME_PER_FRONT * state.front_count();
                sleep(state.spread(spread.min(MAX_REGISTRATION_TIME))).await;
            }
            Err(error) => {
                log::warn!(error:%; "registering this front in the directory failed");
                sleep(state.jitter(REGISTRATION_RETRY_DELAY)).await;
            }
        }
    }
}
