//! Merges the shares of all fronts.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::TenantName;

use crate::{UsageSettings, UsageShare, WindowId};

#[derive(Debug, Clone)]
struct Merged {
    counts: BTreeMap<TenantName, u64>,
    /// Highest total of the shares that were complete; `None` if none was.
    complete_total: Option<u64>,
    from_start: bool,
}

impl Merged {
    fn is_complete(&self) -> bool {
        let sum = self.counts.values().fold(0_u64, |sum, &it| sum.saturating_add(it));
        self.complete_total.is_some_and(|total| sum >= total)
    }
}

#[derive(Debug, Clone, Default)]
struct OpenWindow {
    // Invariant: at most `MAX_SOURCES`.
    sources: BTreeMap<u64, Merged>,
    // Invariant: the tenants of all sources, at most `MAX_TENANTS`.
    tenants: BTreeSet<TenantName>,
}

/// Shares of all sources for the windows that are not frozen.
///
/// Counts are merged by maximum, so lost, repeated and reordered shares do no harm.
#[derive(Debug, Clone, Default)]
pub struct UsageCollector {
    // Invariant: at most `MAX_WINDOWS`.
    windows: BTreeMap<WindowId, OpenWindow>,
    forgotten: Option<WindowId>,
}

impl UsageCollector {
    /// Creates an empty collector.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a share. Returns whether all of it was taken; it isn't for a forgotten window, one after `latest`, or
    /// where a bound is reached.
    pub fn merge(&mut self, share: &UsageShare, latest: WindowId) -> bool {
        let oldest = latest.back(UsageSettings::MAX_WINDOWS as u64 - 1);
        let known = self.windows.contains_key(&share.window);
        if self.forgotten >= Some(share.window)
            || share.window > latest
            || (share.window < oldest && !known)
        {
            return false;
        }
        while !known && self.windows.len() >= UsageSettings::MAX_WINDOWS {
            match self.windows.first_key_value() {
                Some((&first, _)) if first < share.window => self.windows.remove(&first),
                _ => return false,
            };
        }
        let open = self.windows.entry(share.window).or_default();
        if !open.sources.contains_key(&share.source)
            && open.sources.len() >= UsageSettings::MAX_SOURCES
        {
            return false;
        }
        let merged = open.sources.entry(share.source).or_insert_with(|| Merged {
            counts: BTreeMap::new(),
            complete_total: None,
            from_start: share.from_start,
        });
        merged.from_start &= share.from_start;
        if share.complete {
            merged.complete_total = merged.complete_total.max(Some(share.total));
        }
        let mut all = true;
        for (tenant, &count) in &share.counts {
            if !open.tenants.contains(tenant) {
                if open.tenants.len() >= UsageSettings::MAX_TENANTS {
                    all = false;
                    continue;
                }
                open.tenants.insert(tenant.clone());
            }
            let known = merged.counts.entry(tenant.clone()).or_default();
            *known = (*known).max(count);
        }
        all
    }

    /// Counts of a window over all sources, or `None` if none of them ran from the window's beginning.
    #[must_use]
    pub fn counts(&self, window: WindowId) -> Option<BTreeMap<TenantName, u64>> {
        let open = self.windows.get(&window)?;
        if !open.sources.values().any(|it| it.from_start) {
            return None;
        }
        let mut counts = BTreeMap::new();
        for (tenant, &count) in open.sources.values().flat_map(|it| &it.counts) {
            let sum: &mut u64 = counts.entry(tenant.clone()).or_default();
            *sum = sum.saturating_add(count);
        }
        Some(counts)
    }

    /// Whether all pieces of the source's complete share have arrived, or the source started after the window.
    #[must_use]
    pub fn is_complete(&self, window: WindowId, source: u64) -> bool {
        match self.windows.get(&window).and_then(|it| it.sources.get(&source)) {
            Some(merged) => merged.is_complete(),
            None => self
                .windows
                .range(window.next()..)
                .find_map(|(_, it)| it.sources.get(&source))
                .is_some_and(|it| !it.from_start),
        }
    }

    /// The first window that a source told about.
    #[must_use]
    pub fn first(&self) -> Option<WindowId> {
        self.windows.keys().next().copied()
    }

    /// Drops all windows up to this one and takes no more shares of them.
    pub fn forget_through(&mut self, window: WindowId) {
        self.forgotten = self.forgotten.max(Some(window));
        self.windows.retain(|&it, _| it > window);
    }
}
