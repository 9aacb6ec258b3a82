//! Counts the requests of one front.

use std::collections::BTreeMap;

use daisychute_core::{TenantName, Time};

use crate::{UnixTime, UsageSettings, UsageShare, WindowId};

#[derive(Debug, Clone, Default)]
struct Counted {
    // Invariant: at most `MAX_TENANTS`.
    counts: BTreeMap<TenantName, u64>,
    changed: bool,
    complete: bool,
    sent_at: Option<Time>,
}

/// Cumulative counts of one front per open window and tenant.
#[derive(Debug, Clone)]
pub struct UsageCounter {
    settings: UsageSettings,
    source: u64,
    started_at: Time,
    // Invariant: at most `MAX_WINDOWS`, none up to `reported`.
    windows: BTreeMap<WindowId, Counted>,
    reported: Option<WindowId>,
}

impl UsageCounter {
    /// Creates the counter of a front that started counting at `started_at`. `source` is the incarnation id of the
    /// front: a restarted front is another source.
    #[must_use]
    pub const fn new(settings: UsageSettings, source: u64, started_at: Time) -> Self {
        Self { settings, source, started_at, windows: BTreeMap::new(), reported: None }
    }

    /// Counts a request of the tenant that began at `began_at`, where `true_time` is the true time at `now`. Returns
    /// whether it was counted; it isn't if its window was reported or a bound is reached.
    pub fn record(
        &mut self,
        now: Time,
        true_time: UnixTime,
        tenant: &TenantName,
        began_at: Time,
    ) -> bool {
        let began = true_time - now.since(began_at);
        let window = WindowId::containing(began, self.settings.window);
        let Some(counted) = self.open(window) else { return false };
        if let Some(count) = counted.counts.get_mut(tenant) {
            *count = count.saturating_add(1);
        } else if counted.counts.len() < UsageSettings::MAX_TENANTS {
            counted.counts.insert(tenant.clone(), 1);
        } else {
            return false;
        }
        counted.changed = true;
        true
    }

    /// Drops all windows up to this one: their reports are frozen.
    pub fn forget_through(&mut self, window: WindowId) {
        self.reported = self.reported.max(Some(window));
        self.windows.retain(|&it, _| it > window);
    }

    /// Has all shares sent again, because they go to another receiver from now on.
    pub fn resend_all(&mut self) {
        for counted in self.windows.values_mut() {
            counted.changed = true;
        }
    }

    /// Returns the shares to send now, in pieces of at most `budget` bytes: those that changed, and those that were
    /// last sent a while ago. A piece holds at least one tenant, whatever the budget.
    pub fn shares(&mut self, now: Time, true_time: UnixTime, budget: usize) -> Vec<UsageShare> {
        let settings = self.settings.clone();
        let started = true_time - now.since(self.started_at);
        let current = WindowId::containing(true_time, settings.window);
        self.windows.retain(|it, _| it.end(settings.window) + settings.keep > true_time);
        // Windows without requests have shares as well: the holder waits for them.
        let mut window = WindowId::containing(started, settings.window)
            .max(current.back(UsageSettings::MAX_WINDOWS as u64 - 1));
        while window <= current {
            if window.end(settings.window) + settings.keep > true_time {
                self.open(window);
            }
            window = window.next();
        }
        let source = self.source;
        let mut shares = Vec::new();
        for (&window, counted) in &mut self.windows {
            let complete = counted.complete
                || true_time >= window.end(settings.window) + settings.complete_after;
            let resend = counted.sent_at.is_none_or(|at| now.since(at) >= settings.resend);
            if !(counted.changed || resend || complete != counted.complete) {
                continue;
            }
            counted.changed = false;
            counted.complete = complete;
            counted.sent_at = Some(now);
            let empty = UsageShare {
                source,
                window,
                counts: BTreeMap::new(),
                total: counted.counts.values().sum(),
                from_start: started <= window.begin(settings.window),
                complete,
            };
            split(&empty, &counted.counts, budget, &mut shares);
        }
        shares
    }

    fn open(&mut self, window: WindowId) -> Option<&mut Counted> {
        if self.reported >= Some(window) {
            return None;
        }
        while !self.windows.contains_key(&window)
            && self.windows.len() >= UsageSettings::MAX_WINDOWS
        {
            match self.windows.first_key_value() {
                Some((&first, _)) if first < window => self.windows.remove(&first),
                _ => return None,
            };
        }
        Some(self.windows.entry(window).or_default())
    }
}

fn split(
    empty: &UsageShare,
    counts: &BTreeMap<TenantName, u64>,
    budget: usize,
    out: &mut Vec<UsageShare>,
) {
    let mut piece = empty.clone();
    let mut size = UsageShare::OVERHEAD;
    for (tenant, &count) in counts {
        let entry = UsageShare::entry_size(tenant);
        if !piece.counts.is_empty() && size + entry > budget {
            out.push(std::mem::replace(&mut piece, empty.clone()));
            size = UsageShare::OVERHEAD;
        }
        piece.counts.insert(tenant.clone(), count);
        size += entry;
    }
    out.push(piece);
}
