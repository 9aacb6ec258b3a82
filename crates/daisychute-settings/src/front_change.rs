//! What a new settings file of a front changes.

use crate::FrontSettings;

/// The keys that differ between two settings of a front, as `section.key`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FrontChange {
    /// Keys that a running front takes over.
    pub applied: Vec<&'static str>,
    /// Keys that take effect with the next start: what the front is called, where it listens and what it was connected
    /// with at its start.
    pub at_next_start: Vec<&'static str>,
}

impl FrontChange {
    /// Compares the settings of a running front with new ones.
    #[must_use]
    pub fn between(old: &FrontSettings, new: &FrontSettings) -> Self {
        let mut change = Self::default();
        change.compare_live(old, new);
        change.compare_fixed(old, new);
        change
    }

    fn compare_live(&mut self, old: &FrontSettings, new: &FrontSettings) {
        let keys = [
            ("front.seeds", old.seeds != new.seeds),
            ("machine.memory-mib", old.machine.memory_mib != new.machine.memory_mib),
            ("machine.descriptors", old.machine.descriptors != new.machine.descriptors),
            ("retries.ratio", old.retries.ratio != new.retries.ratio),
            ("retries.window", old.retries.window != new.retries.window),
            ("retries.slack", old.retries.slack != new.retries.slack),
            ("balance.max-heartbeat-delay", old.max_heartbeat_delay != new.max_heartbeat_delay),
            ("store.max-silence", old.max_silence != new.max_silence),
            ("endpoints.drain-time", old.drain_time != new.drain_time),
            ("stop.within", old.stop_within != new.stop_within),
            ("log.level", old.log.level != new.log.level),
        ];
        self.applied.extend(changed(keys));
    }

    fn compare_fixed(&mut self, old: &FrontSettings, new: &FrontSettings) {
        let keys = [
            ("front.name", old.name != new.name),
            ("front.region", old.region != new.region),
            ("front.data-centre", old.data_centre != new.data_centre),
            ("front.callers", old.callers != new.callers),
            ("front.ready", old.ready != new.ready),
            ("front.inner", old.inner != new.inner),
            ("front.snapshots", old.snapshots != new.snapshots),
            ("front.metrics", old.metrics != new.metrics),
            ("store.address", old.store != new.store),
            ("duties.address", old.duties.address != new.duties.address),
            ("duties.require-fence", old.duties.require_fence != new.duties.require_fence),
            ("duties.lease", old.duties.lease != new.duties.lease),
            ("duties.usage-window", old.duties.usage_window != new.duties.usage_window),
            ("duties.usage-due", old.duties.usage_due != new.duties.usage_due),
            ("duties.duties", old.duties.duties != new.duties.duties),
            ("log.format", old.log.format != new.log.format),
        ];
        self.at_next_start.extend(changed(keys));
    }
}

fn changed(
    keys: impl IntoIterator<Item = (&'static str, bool)>,
) -> impl Iterator<Item = &'static str> {
    keys.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key)
}
