//! What a run of a seed consists of.

use crate::poison::PoisonKind;

/// What a run of a seed consists of.
#[derive(Debug, Clone, Copy, clap::Args)]
pub(crate) struct RunOptions {
    /// How long faults are injected, in minutes
    #[arg(long, default_value_t = 0.2)]
    pub(crate) minutes: f64,
    /// Number of fronts to start
    #[arg(long, default_value_t = 3)]
    pub(crate) fronts: usize,
    /// Inject planned changes only, such as stops, under which no request may be cut
    #[arg(long)]
    pub(crate) planned_only: bool,
    /// Also let workers announce that they leave or want a pause, and check that fronts heed it
    #[arg(long)]
    pub(crate) notices: bool,
    /// Run workers of two software versions, and check that no stream holds events of both
    #[arg(long)]
    pub(crate) versions: bool,
    /// Also cut fronts off from others and, mostly, from the store, in series, while workers of new software versions join and
    /// replace all others
    #[arg(long, requires = "versions", conflicts_with_all = ["restores", "changes"])]
    pub(crate) cuts: bool,
    /// Also restore the store from copies that are some seconds old
    #[arg(long)]
    pub(crate) restores: bool,
    /// Also let fronts report usage, restart the one that does and another one around returns of the store, and check the
    /// fencing tokens of the reports. Returns and other faults come less often, so that there are reports in between
    #[arg(long, requires = "restores", conflicts_with = "changes")]
    pub(crate) duties: bool,
    /// Also send prompts with a part that ends each worker which responds to it, and check that it is refused
    #[arg(long)]
    pub(crate) poison: bool,
    /// Also send a call that ends each worker which runs it, again and again, and check that it is refused
    #[arg(long, conflicts_with = "poison")]
    pub(crate) crashing_requests: bool,
    /// Also change routes and take workers away, beside disruptions of the store and of fronts, and check that each front
    /// heeds it in time
    #[arg(long, conflicts_with_all = ["poison", "crashing_requests", "limits", "notices", "restores"])]
    pub(crate) changes: bool,
    /// Also connect every other front to the store by a slow link, and have configurations that take long on it
    #[arg(long, requires = "changes")]
    pub(crate) slow_links: bool,
    /// Run streams only, of workers that are processes, while workers and fronts end and are replaced, and check that they
    /// are in order and look whole only if they are
    #[arg(long, conflicts_with_all = ["planned_only", "poison", "crashing_requests", "limits", "notices", "restores", "changes", "versions"])]
    pub(crate) streams: bool,
    /// Also let workers of streams stop as servers do, such as by closing their streams before they end, and suspend or end
    /// fronts meanwhile
    #[arg(long, requires = "streams")]
    pub(crate) departures: bool,
    /// Also let workers of streams go silent, turn slow, fail and spoil streams, kill all fronts at once, and run more and
    /// longer streams, whose clients may go on at another front at any time
    #[arg(long, requires = "streams")]
    pub(crate) rough: bool,
    /// Also let clients of streams ask with deadlines that many of them reach, and workers stop work there by a last chunk, a
    /// close or a reset
    #[arg(long, requires = "streams")]
    pub(crate) deadlines: bool,
    /// Also let another writer put entries into lists that are longer than a page, under names that aren't safe in a URL, and
    /// kill all fronts while they stand: at the end, and in between without `--planned-only` and `--changes`
    #[arg(long, conflicts_with = "streams")]
    pub(crate) foreign_entries: bool,
    /// Also let workers name limits on the rate of requests, and check that fronts keep to them together
    #[arg(long)]
    pub(crate) limits: bool,
}

impl RunOptions {
    /// Returns which requests end workers; `None` if none do.
    pub(crate) const fn poison_kind(&self) -> Option<PoisonKind> {
        match (self.poison, self.crashing_requests) {
            (true, _) => Some(PoisonKind::Part),
            (false, true) => Some(PoisonKind::Request),
            (false, false) => None,
        }
    }
}
