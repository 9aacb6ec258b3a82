//! Keeps the directory's records of the software versions that may have streams.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use daisychute_core::ServiceName;
use daisychute_dispatch::{Event, SoftwareVersions};
use tokio::time::sleep;

use crate::state::FrontState;
use crate::{Dialect, Directory, DirectoryError, Position, VersionRecord};

/// Interval at which a front checks whether a version has been gone for long enough to be dropped from a record. That
/// calls the directory only if one has.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time over which the fronts spread their calls after a change that all of them see, multiplied by their number. The
/// first one writes the record; the others find it written.
const SPREAD_PER_FRONT: Duration = Duration::from_millis(5);
/// Maximum time over which the fronts spread their calls. Until its call, a front begins streams at other versions.
const MAX_SPREAD: Duration = Duration::from_millis(500);
/// Delay after the first failed call; it doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum delay after failed calls. Without records a front still serves: it refuses to resume some streams.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Why the records couldn't be brought up to date.
#[derive(Debug, thiserror::Error)]
enum UpdateError {
    #[error(transparent)]
    Directory(#[from] DirectoryError),
    #[error("the directory was restored meanwhile")]
    Outdated,
    #[error("another front has written the record meanwhile")]
    Conflict,
}

/// Keeps the records up to date.
pub(crate) struct VersionRecorder<D, S> {
    state: Rc<FrontState<D>>,
    directory: S,
    records: BTreeMap<ServiceName, VersionRecord>,
    /// Era in which the records were read. `None` before the first time.
    read_in: Option<u64>,
    /// Consecutive failed updates.
    failures: u32,
}

impl<D: Dialect, S: Directory> VersionRecorder<D, S> {
    pub(crate) const fn new(state: Rc<FrontState<D>>, directory: S) -> Self {
        Self { state, directory, records: BTreeMap::new(), read_in: None, failures: 0 }
    }

    /// Runs for the life of the process.
    pub(crate) async fn run(mut self) {
        loop {
            if self.is_up_to_date() {
                tokio::select! {
                    () = sleep(self.state.jitter(CHECK_INTERVAL)) => {}
                    () = self.state.versions_may_differ.notified() => {}
                }
                continue;
            }
            // A front that has just started, or has missed news, needs the records to resume streams.
            if self.read_in.is_some() && !self.state.version_records_outdated.get() {
                let spread = (SPREAD_PER_FRONT * self.state.front_count()).min(MAX_SPREAD);
                sleep(self.state.spread(spread)).await;
            }
            match self.update().await {
                Ok(()) => self.failures = 0,
                Err(e) => self.handle_failure(&e).await,
            }
        }
    }

    fn is_up_to_date(&self) -> bool {
        let wanted = self.wanted();
        if !wanted.is_empty() && self.state.version_records_outdated.get() {
            return false;
        }
        wanted.is_empty()
            || self.read_in.is_some_and(|era| {
                era == self.state.era.latest() && self.outdated(era, wanted).is_empty()
            })
    }

    /// Returns the services that have records, with the versions that these should contain as far as they are known here.
    fn wanted(&self) -> Vec<(ServiceName, Option<SoftwareVersions>)> {
        let now = self.state.now();
        self.state.with_dispatcher(|it| it.versions_to_record(now))
    }

    /// Returns the records that are to be written in this era.
    fn outdated(
        &self,
        era: u64,
        wanted: Vec<(ServiceName, Option<SoftwareVersions>)>,
    ) -> Vec<VersionRecord> {
        // A front that lacks changes of endpoints could drop versions that serve.
        let revisions = &self.state.revisions;
        if revisions.endpoints_covered() == Position::default() || revisions.is_behind() {
            return Vec::new();
        }
        let mut outdated = Vec::new();
        for (service, wanted) in wanted {
            let Some(wanted) = wanted else { continue };
            let known = self.records.get(&service);
            let revision = known.and_then(|it| it.revision);
            let versions = match known.filter(|it| it.era == era) {
                // Fronts see versions leave at different moments. One that was dropped isn't added again while no endpoint
                // of it is listed: fronts would otherwise write in turns until all of them have forgotten it.
                Some(known) => {
                    let listed = self.state.with_dispatcher(|it| it.listed_versions(&service));
                    let versions = known.versions.intersection(&wanted).cloned().chain(listed);
                    let versions: SoftwareVersions = versions.collect();
                    if versions == known.versions {
                        continue;
                    }
                    versions
                }
                None => wanted,
            };
            outdated.push(VersionRecord { service, versions, era, revision });
        }
        outdated
    }

    /// Reads all records, then writes those that are out of date.
    async fn update(&mut self) -> Result<(), UpdateError> {
        self.state.version_records_outdated.set(false);
        let answer = self.directory.version_records().await;
        if let Some(era) = answer.era {
            self.state.record_era(era, "directory");
        }
        let records = answer.result?;
        let era = answer.era.unwrap_or_default();
        if era < self.state.era.latest() {
            return Err(UpdateError::Outdated);
        }
        self.read_in = Some(era);
        self.records = records.into_iter().map(|it| (it.service.clone(), it)).collect();
        for record in self.records.values().filter(|it| it.era == era) {
            self.apply(record);
        }
        for record in self.outdated(era, self.wanted()) {
            self.write(record).await?;
        }
        Ok(())
    }

    fn apply(&self, record: &VersionRecord) {
        let VersionRecord { service, versions, .. } = record.clone();
        self.state.handle(Event::VersionsRecorded { service, versions });
    }

    async fn write(&mut self, record: VersionRecord) -> Result<(), UpdateError> {
        let answer = self.directory.write_version_record(&record).await;
        if let Some(era) = answer.era {
            self.state.record_era(era, "directory");
        }
        if !answer.result? {
            return Err(UpdateError::Conflict);
        }
        if answer.era.unwrap_or_default() != record.era {
            return Err(UpdateError::Outdated);
        }
        let (service, versions) = (&record.service, format!("{:?}", record.versions));
        log::info!(service:%, versions, era = record.era; "versions that may have streams recorded");
        self.apply(&record);
        self.records.insert(record.service.clone(), record);
        Ok(())
    }

    async fn handle_failure(&mut self, error: &UpdateError) {
        self.failures += 1;
        // They may not have been read.
        self.state.version_records_outdated.set(true);
        if self.failures == 1 {
            log::info!(error:%; "versions that may have streams not recorded yet");
        }
        let delay = INITIAL_RETRY_DELAY * 2_u32.pow(self.failures.min(8) - 1);
        sleep(self.state.jitter(delay.min(MAX_RETRY_DELAY))).await;
    }
}
