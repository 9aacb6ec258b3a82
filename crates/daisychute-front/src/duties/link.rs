//! What the tasks of a front share about duties.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisychute_core::{TenantName, Term, Time};
use daisychute_usage::{
    StateStamp, TrueTime, UnixTime, UsageCounter, UsageReporter, UsageShare, WindowId,
};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::DutySettings;
use crate::duties::boot_clock::BootClock;
use crate::duties::duty_news::DutyNews;
use crate::duties::input::DutyInput;
use crate::duties::share_datagram::{self, MAX_SHARE_BYTES};

/// Time without a heartbeat after which a front isn't waited for and no shares are sent to it.
const SOURCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a holder that wasn't heard of may have lost its lease, so that any front may acquire it.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(6);
/// Number of fronts, in the order of their addresses, that may acquire the lease while a holder is heard of.
const CANDIDATES: usize = 3;
/// Number of fronts that collect shares: the holder and a standby.
const COLLECTORS: usize = 2;

/// A front that counts requests.
#[derive(Debug, Clone, Copy)]
struct Source {
    incarnation: u64,
    last_seen: Time,
}

/// A holder of the duty that was heard of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeardHolder {
    pub(crate) address: SocketAddr,
    pub(crate) term: Term,
    pub(crate) last_seen: Time,
}

/// The lease while this front holds it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    pub(crate) term: Term,
    /// When this front must stop acting, by the boot-time clock.
    pub(crate) until: Time,
}

/// The part of the duties that other tasks of the front use.
#[derive(Debug)]
pub(crate) struct DutyLink {
    pub(crate) settings: DutySettings,
    pub(crate) clock: BootClock,
    own_address: SocketAddr,
    pub(crate) own_incarnation: u64,
    socket: Rc<UdpSocket>,
    tx: UnboundedSender<DutyInput>,
    counter: RefCell<UsageCounter>,
    true_time: RefCell<TrueTime>,
    /// The fronts to which shares were last sent.
    last_collectors: RefCell<Vec<SocketAddr>>,
    /// Other fronts by their address.
    sources: RefCell<BTreeMap<SocketAddr, Source>>,
    heard_holder: Cell<Option<HeardHolder>>,
    /// The lease, if this front holds it.
    pub(crate) held: Cell<Option<Held>>,
    /// What the reporter announces: the stamp of the latest state, and the last window that may be reported.
    announced: Cell<Option<(StateStamp, WindowId)>>,
    /// The last window whose counts were logged.
    logged: Cell<Option<WindowId>>,
    released: Cell<bool>,
    release_ended: Notify,
}

impl DutyLink {
    /// Creates the link of a front that receives heartbeats at `own_address` on `socket`, and the input of its task.
    pub(crate) fn new(
        settings: DutySettings,
        own_incarnation: u64,
        own_address: SocketAddr,
        socket: Rc<UdpSocket>,
    ) -> (Rc<Self>, UnboundedReceiver<DutyInput>) {
        let (tx, rx) = unbounded_channel();
        let clock = BootClock::start();
        let counter = UsageCounter::new(settings.usage_settings(), own_incarnation, clock.now());
        let link = Self {
            settings,
            clock,
            own_address,
            own_incarnation,
            socket,
            tx,
            counter: RefCell::new(counter),
            true_time: RefCell::default(),
            last_collectors: RefCell::default(),
            sources: RefCell::default(),
            heard_holder: Cell::new(None),
            held: Cell::new(None),
            announced: Cell::new(None),
            logged: Cell::new(None),
            released: Cell::new(false),
            release_ended: Notify::new(),
        };
        (Rc::new(link), rx)
    }

    /// Returns a sender of input to the task.
    pub(crate) fn sender(&self) -> UnboundedSender<DutyInput> {
        self.tx.clone()
    }

    fn send(&self, input: DutyInput) {
        // The receiver lives as long as the process.
        let _ = self.tx.send(input);
    }

    /// Asks the task to release the lease.
    pub(crate) fn stop(&self) {
        self.send(DutyInput::Stop);
    }

    /// Records that the lease is released, after a stop was requested.
    pub(crate) fn record_released(&self) {
        self.released.set(true);
        self.release_ended.notify_waiters();
    }

    /// Waits until the lease is released, after a stop was requested.
    pub(crate) async fn wait_released(&self) {
        while !self.released.get() {
            self.release_ended.notified().await;
        }
    }

    /// Returns what the next heartbeat tells.
    pub(crate) fn news(&self) -> DutyNews {
        let term = self.held.get().map(|it| it.term);
        DutyNews(wall_clock_ms(), term, self.announced.get())
    }

    /// Records what a heartbeat told.
    pub(crate) fn record_news(&self, from: SocketAddr, incarnation: u64, news: DutyNews) {
        let DutyNews(wall_ms, term, announced) = news;
        let now = self.clock.now();
        self.sources.borrow_mut().insert(from, Source { incarnation, last_seen: now });
        self.true_time.borrow_mut().told(now, incarnation, UnixTime::from_millis(wall_ms));
        if let Some(term) = term {
            let heard = self.live_holder(now);
            if heard.is_none_or(|it| it.term <= term) {
                let holder = HeardHolder { address: from, term, last_seen: now };
                self.heard_holder.set(Some(holder));
            }
            if heard.is_none_or(|it| it.term < term) {
                self.send(DutyInput::TermSeen(term));
            }
        }
        if let Some((stamp, window)) = announced {
            let (own_stamp, own_window) = self.announced.get().unzip();
            if own_stamp < Some(stamp) || own_window < Some(window) {
                self.send(DutyInput::ReportedByPeer(stamp, window));
            }
        }
    }

    /// Counts a request of a tenant that began to run `age` ago.
    pub(crate) fn record_begin(&self, tenant: &TenantName, age: Duration) {
        let now = self.clock.now();
        let true_time = self.true_time(now);
        if !self.counter.borrow_mut().record(now, true_time, tenant, now - age) {
            log::warn!(tenant:%; "request not counted: its window is closed, or has too many tenants");
        }
    }

    /// Records what the reporter announces. Counts of frozen windows aren't sent again. Returns whether it changed.
    pub(crate) fn announce(&self, announcement: Option<(StateStamp, WindowId)>) -> bool {
        let changed = self.announced.replace(announcement) != announcement;
        if let Some((_, window)) = announcement.filter(|_| changed) {
            self.counter.borrow_mut().forget_through(window);
        }
        changed
    }

    /// Sends the counts of this front to the fronts that collect them.
    pub(crate) fn send_shares(&self) {
        let now = self.clock.now();
        let collectors = self.collectors(now);
        let mut counter = self.counter.borrow_mut();
        if *self.last_collectors.borrow() != collectors {
            counter.resend_all();
            self.last_collectors.borrow_mut().clone_from(&collectors);
        }
        let logged = self.logged.get();
        for share in counter.shares(now, self.true_time(now), MAX_SHARE_BYTES) {
            if share.complete && logged.is_none_or(|it| it < share.window) {
                log_counts(&share);
                self.logged.set(self.logged.get().max(Some(share.window)));
            }
            if collectors.contains(&self.own_address) {
                self.send(DutyInput::Share(share.clone()));
            }
            let Some(bytes) = share_datagram::encode(share) else { continue };
            for address in collectors.iter().filter(|it| **it != self.own_address) {
                // A datagram that can't be sent is treated like a lost one.
                let _ = self.socket.try_send_to(&bytes, *address);
            }
        }
    }

    /// Handles a datagram that isn't a heartbeat. Returns whether it has counts.
    pub(crate) fn receive_share(&self, bytes: &[u8]) -> bool {
        let Some(share) = share_datagram::decode(bytes) else { return false };
        self.send(DutyInput::Share(share));
        true
    }

    /// Creates the state machine of the reports.
    pub(crate) fn new_reporter(&self) -> UsageReporter {
        UsageReporter::new(self.settings.usage_settings())
    }

    /// The true time, as the clocks of most fronts have it.
    pub(crate) fn true_time(&self, now: Time) -> UnixTime {
        let own = UnixTime::from_millis(wall_clock_ms());
        let mut true_time = self.true_time.borrow_mut();
        true_time.told(now, self.own_incarnation, own);
        true_time.at(now).unwrap_or(own)
    }

    /// The other front that was last heard of as the holder of the duty.
    pub(crate) fn heard_holder(&self) -> Option<HeardHolder> {
        self.heard_holder.get()
    }

    /// The other front that holds the duty, if it was heard of lately.
    fn live_holder(&self, now: Time) -> Option<HeardHolder> {
        self.heard_holder.get().filter(|it| now.since(it.last_seen) < HOLDER_TIMEOUT)
    }

    /// Addresses of the live fronts, this one included, in order.
    fn live_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let mut sources = self.sources.borrow_mut();
        sources.retain(|_, it| now.since(it.last_seen) < SOURCE_TIMEOUT);
        let mut live: Vec<_> = sources.keys().copied().chain([self.own_address]).collect();
        live.sort_unstable();
        live
    }

    /// Incarnations of the live fronts, this one included.
    pub(crate) fn live_sources(&self, now: Time) -> Vec<u64> {
        let sources = self.sources.borrow();
        let live = sources.values().filter(|it| now.since(it.last_seen) < SOURCE_TIMEOUT);
        live.map(|it| it.incarnation).chain([self.own_incarnation]).collect()
    }

    /// Whether this front may acquire the lease: it is one of the first, or there seems to be no holder.
    pub(crate) fn is_candidate(&self, now: Time) -> bool {
        let live = self.live_addresses(now);
        live.iter().take(CANDIDATES).any(|it| *it == self.own_address)
            || (self.live_holder(now).is_none() && now.since(Time::ZERO) >= HOLDER_TIMEOUT)
    }

    /// The fronts that collect shares: the holder, and the first other one as its standby. Without a known holder, the
    /// first ones.
    fn collectors(&self, now: Time) -> Vec<SocketAddr> {
        let own = self.held.get().map(|_| self.own_address);
        let holder = own.or_else(|| self.live_holder(now).map(|it| it.address));
        let others = self.live_addresses(now).into_iter().filter(|it| Some(*it) != holder);
        holder.into_iter().chain(others).take(COLLECTORS).collect()
    }
}

/// Logs what this front counted in a window.
fn log_counts(share: &UsageShare) {
    let UsageShare { window, counts, from_start, .. } = share;
    let counts = format_counts(counts);
    log::info!(window:%, counts, from_start; "usage counted");
}

/// Formats counts by tenant for the log.
pub(crate) fn format_counts(counts: &BTreeMap<TenantName, u64>) -> String {
    let counts: Vec<_> = counts.iter().map(|(tenant, count)| format!("{tenant}={count}")).collect();
    counts.join(" ")
}

/// The machine's wall clock in Unix milliseconds.
fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
