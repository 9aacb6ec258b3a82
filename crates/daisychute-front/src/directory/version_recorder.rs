//! Keeps the directory's records of the software versions that may have streams, and reads them for clients that resume
//! streams.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use daisychute_core::ServiceName;
use daisychute_dispatch::{DirectoryRead, Event, RecordedVersions, SoftwareVersions};
use tokio::time::sleep;

use crate::state::FrontState;
use crate::{Collection, Continuity, Dialect, Directory, DirectoryError, Position, VersionRecord};

/// Interval at which a front checks whether a version has been gone for long enough to be dropped from a record. That
/// calls the directory only if one has.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time over which the fronts spread their calls after a change that all of them see, multiplied by their number. The
/// first one writes the record; the others find it written.
const SPREAD_PER_FRONT: Duration = Duration::from_millis(5);
/// Maximum time over which the fronts spread their calls. Until its call, a front begins streams at other versions.
const MAX_SPREAD: Duration = Duration::from_millis(500);
/// Minimum time between two reads, multiplied by the number of fronts: all fronts together make at most a hundred a second,
/// however many clients come back.
const READ_INTERVAL_PER_FRONT: Duration = Duration::from_millis(10);
/// Maximum of the minimum time between two reads, well below the time that clients wait for one.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(150);
/// Wait time of the watch that shows whether there is a later configuration, so that it returns at once.
const PROBE_WAIT: Duration = Duration::from_millis(1);
/// Delay after the first failed call; it doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum delay after failed calls, unless there are news or clients wait. Without records a front still serves: it refuses to
/// resume some streams.
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
    /// Position of the directory at which the records were read. `None` before the first time.
    read_at: Option<Position>,
    /// Consecutive failed updates.
    failures: u32,
}

impl<D: Dialect, S: Directory> VersionRecorder<D, S> {
    pub(crate) const fn new(state: Rc<FrontState<D>>, directory: S) -> Self {
        Self { state, directory, records: BTreeMap::new(), read_at: None, failures: 0 }
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
            if self.read_at.is_some() && !self.state.version_records_outdated.get() {
                let spread = (SPREAD_PER_FRONT * self.state.front_count()).min(MAX_SPREAD);
                sleep(self.state.spread(spread)).await;
            }
            match self.update().await {
                Ok(()) => {
                    self.failures = 0;
                    sleep(self.read_interval()).await;
                }
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
            || self.read_at.is_some_and(|it| {
                it.era() == self.state.era.latest()
                    && self.outdated(it.era(), wanted, self.may_drop()).is_empty()
            })
    }

    /// Returns the minimum time between two reads.
    fn read_interval(&self) -> Duration {
        (READ_INTERVAL_PER_FRONT * self.state.front_count()).min(MAX_READ_INTERVAL)
    }

    /// Returns the services that have records, with the versions that these should contain as far as they are known here.
    fn wanted(&self) -> Vec<(ServiceName, Option<SoftwareVersions>)> {
        let now = self.state.now();
        self.state.with_dispatcher(|it| it.versions_to_record(now))
    }

    /// Whether this front has seen all changes of endpoints up to the last read, so that versions which are gone by what it
    /// knows were gone then.
    fn may_drop(&self) -> bool {
        let revisions = &self.state.revisions;
        let covered = revisions.endpoints_covered();
        self.read_at.is_some_and(|it| covered >= it) && !revisions.is_behind()
    }

    /// Returns the records that are to be written in this era.
    ///
    /// A version is added as soon as an endpoint of it is listed, since streams begin at recorded versions only. It is
    /// dropped only if `may_drop`.
    fn outdated(
        &self,
        era: u64,
        wanted: Vec<(ServiceName, Option<SoftwareVersions>)>,
        may_drop: bool,
    ) -> Vec<VersionRecord> {
        let mut outdated = Vec::new();
        for (service, wanted) in wanted {
            let listed = self.state.with_dispatcher(|it| it.listed_versions(&service));
            let known = self.records.get(&service);
            let wanted = wanted.filter(|_| may_drop);
            let (kept, record_era) = match (known, wanted) {
                // Fronts see versions leave at different moments. One that was dropped isn't added again while no endpoint
                // of it is listed: fronts would otherwise write in turns until all of them have forgotten it.
                (Some(known), Some(wanted)) if known.era == era => {
                    (known.versions.intersection(&wanted).cloned().collect(), era)
                }
                (_, Some(wanted)) => (wanted, era),
                // It stays as incomplete as it is, or begins so: a copy of the directory may have lacked it.
                (Some(known), None) => (known.versions.clone(), known.era),
                (None, None) if listed.is_empty() => continue,
                (None, None) => (SoftwareVersions::new(), era.saturating_sub(1)),
            };
            let versions: SoftwareVersions = kept.into_iter().chain(listed).collect();
            if known.is_none_or(|it| it.versions != versions || it.era != record_era) {
                let revision = known.and_then(|it| it.revision);
                outdated.push(VersionRecord { service, versions, era: record_era, revision });
            }
        }
        outdated
    }

    /// Reads all records, then writes those that are out of date.
    async fn update(&mut self) -> Result<(), UpdateError> {
        let is_wanted = self.state.version_records_outdated.replace(false);
        let begun_at = self.state.now();
        let configuration =
            async { if is_wanted { self.newest_configuration().await } else { None } };
        let (answer, configuration) = tokio::join!(self.directory.version_records(), configuration);
        if let Some(era) = answer.era {
            self.state.record_era(era, "directory");
        }
        let (position, records) = answer.result?;
        let era = position.era();
        if era < self.state.era.latest() {
            return Err(UpdateError::Outdated);
        }
        let may_drop = self.may_drop();
        self.read_at = Some(position);
        self.records = records.into_iter().map(|it| (it.service.clone(), it)).collect();
        let records = self.records.values().map(|it| {
            let (versions, is_complete) = (it.versions.clone(), it.era == era);
            (it.service.clone(), RecordedVersions { versions, is_complete })
        });
        let records = records.collect();
        self.state.handle(Event::DirectoryRead(DirectoryRead { begun_at, records, configuration }));
        self.state.news.notify_waiters();
        for record in self.outdated(era, self.wanted(), may_drop) {
            self.write(era, record).await?;
        }
        Ok(())
    }

    /// Returns the version of the newest configuration; `None` if this front may lack it.
    async fn newest_configuration(&self) -> Option<u64> {
        let version = self.state.with_dispatcher(|it| it.table().map(|it| it.version()))?;
        let position = self.state.revisions.configuration_covered();
        let watch = self.directory.watch(Collection::Configuration, position, PROBE_WAIT).await;
        let listing = self.directory.receive(watch.result.ok()?).await.result.ok()?;
        let continues =
            self.state.era.continuity(Some(position), listing.position) == Continuity::Continues;
        (continues && listing.changes.is_empty()).then_some(version)
    }

    /// Writes a record in this era of the directory.
    async fn write(&mut self, era: u64, record: VersionRecord) -> Result<(), UpdateError> {
        let answer = self.directory.write_version_record(&record).await;
        if let Some(era) = answer.era {
            self.state.record_era(era, "directory");
        }
        if matches!(answer.result, Err(DirectoryError::Refused(status)) if is_final(status))
            && record.revision.is_none()
        {
            self.state.handle(Event::RecordRefused { service: record.service.clone() });
            self.state.news.notify_waiters();
        }
        if !answer.result? {
            return Err(UpdateError::Conflict);
        }
        if answer.era.unwrap_or_default() != era {
            return Err(UpdateError::Outdated);
        }
        let VersionRecord { service, versions, .. } = record.clone();
        let text = format!("{versions:?}");
        log::info!(service:%, versions = text, era = record.era; "versions that may have streams recorded");
        self.state.handle(Event::VersionsRecorded { service, versions });
        self.state.news.notify_waiters();
        // The revision of the written record isn't known here; the next read tells it.
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
        let delay = self.state.jitter(delay.min(MAX_RETRY_DELAY));
        let news = async {
            sleep(delay.min(self.read_interval())).await;
            self.state.versions_may_differ.notified().await;
        };
        tokio::select! {
            () = sleep(delay) => {}
            () = news => {}
        }
    }
}

/// Whether a refusal with this HTTP status tells that the directory will never take such a record.
const fn is_final(status: u16) -> bool {
    matches!(status, 400..500) && !matches!(status, 408 | 425 | 429)
}
