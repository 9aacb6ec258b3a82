//! Entries of another writer in the lists of the store, under names that aren't safe in a URL.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::faults::Fault;
use crate::run::{Soak, SoakError};

/// Offset from the seed of a run to that of its generator of entries.
const FOREIGN_SEED: u64 = 1 << 55;
/// One in this many steps has another entry, and one in this many of all steps kills all fronts, if they may be killed.
const FOREIGN_INTERVAL: u32 = 4;
const KILL_INTERVAL: u32 = 24;
/// Maximum number of entries that stand at the same time.
const MAX_STANDING: usize = 4;
/// Maximum number of objects on a page of a list, fewer than there are workers.
const MAX_PAGE_SIZE: usize = 4;

/// The entries of another writer. They stand until others take their place, so that some stand at the end of a run.
#[derive(Debug)]
pub(super) struct ForeignEntries {
    rng: Pcg64Mcg,
    /// Kinds and names, oldest first.
    standing: VecDeque<(&'static str, String)>,
    /// Number of entries so far.
    pub(super) count: usize,
}

impl Soak {
    /// Lets another writer put entries into lists, which have short pages from now on.
    pub(super) fn start_foreign_entries(&mut self, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ FOREIGN_SEED);
        self.fleet.store.set_page_size(rng.random_range(1..=MAX_PAGE_SIZE));
        self.foreign = Some(ForeignEntries { rng, standing: VecDeque::new(), count: 0 });
    }

    /// Puts an entry into a list in some of the steps, and kills all fronts in few of them if they may be killed.
    pub(super) fn inject_foreign_entry(&mut self, may_kill: bool) -> Result<(), SoakError> {
        let Some(foreign) = &mut self.foreign else { return Ok(()) };
        let rng = &mut foreign.rng;
        let entry =
            (rng.random_range(0..FOREIGN_INTERVAL) == 0).then(|| Fault::random_foreign_entry(rng));
        let kill = rng.random_range(0..KILL_INTERVAL) == 0 && may_kill;
        let kill = kill.then_some(Fault::KillAll);
        entry.into_iter().chain(kill).try_for_each(|it| self.inject(it))
    }

    /// Puts an entry into a list, and discards the history of the store, so that the list is read again.
    pub(super) fn put_foreign_entry(&mut self, kind: &'static str, name: String) {
        let Some(foreign) = &mut self.foreign else { return };
        // Among the workers, the entry has the content of a sound one, so that only its name tells that it is none.
        let spec = if kind == "servers" { self.records[0].clone() } else { json!({}) };
        self.fleet.store.put(kind, &name, spec);
        foreign.count += 1;
        foreign.standing.push_back((kind, name));
        if foreign.standing.len() > MAX_STANDING
            && let Some((kind, name)) = foreign.standing.pop_front()
        {
            self.fleet.store.delete(kind, &name);
        }
        self.fleet.store.compact();
    }
}
