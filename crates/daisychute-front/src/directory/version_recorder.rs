//! Keeps the directory's records of the software versions that may have streams, and reads them for clients that resume
//! streams.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use daisychute_core::ServiceName;
use daisychute_dispatch::{DirectoryRead, Dispatcher, Event, RecordedVersions, SoftwareVersions};
use tokio::time::{sleep, timeout};

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
/// Minimum time between two reads, multiplied by the number of fronts: all fronts together make at most fifty a second, of two
/// calls each, however many clients come back.
const READ_INTERVAL_PER_FRONT: Duration = Duration::from_millis(20);
/// Maximum of the minimum time between two reads, well below the time that clients wait for one.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(150);
/// Wait time of the watch that shows whether there is a later configuration, so that it returns at once.
const PROBE_WAIT: Duration = Duration::from_millis(1);
/// Time limit for that watch: the records, which have arrived, may be enough.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Minimum delay after a failed call while clients wait.
const MIN_PRESSED_DELAY: Duration = Duration::from_millis(250);
/// Delay after the first failed call; it doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum delay after failed calls, unless clients wait. Without a read a front still serves: it refuses to resume some
/// streams, and to begin some at new versions.
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
                    () = self.state.read_wanted.notified() => {}
                }
                continue;
            }
            // A front that has just started, or has missed news, needs the records to resume streams.
            if self.read_at.is_some() && !self.state.version_records_outdated.get() {
                let spread = (SPREAD_PER_FRONT * self.state.front_count()).min(MAX_SPREAD);
                tokio::select! {
                    () = sleep(self.state.spread(spread)) => {}
                    () = self.state.read_wanted.notified() => {}
                }
            }
            let updated =
                if self.needs_read() { self.update().await } else { self.complete().await };
            match updated {
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
        wanted.is_empty() || (!self.needs_read() && self.completed(wanted).is_empty())
    }

    /// Whether the records have to be read: for clients that wait, since they may have changed, or to add versions to them.
    fn needs_read(&self) -> bool {
        self.state.version_records_outdated.get()
            || self.read_at.is_none_or(|it| it.era() != self.state.era.latest())
            || self.state.with_dispatcher(Dispatcher::awaits_records)
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

    /// Returns the records that lack versions of listed endpoints, with these: streams begin at recorded versions only.
    fn extended(&self, era: u64) -> Vec<VersionRecord> {
        let mut extended = Vec::new();
        for (service, _) in self.wanted() {
            let listed = self.state.with_dispatcher(|it| it.listed_versions(&service));
            let known = self.records.get(&service);
            let mut versions = known.map(|it| it.versions.clone()).unwrap_or_default();
            let count = versions.len();
            versions.extend(listed);
            if versions.len() > count {
                // It stays as incomplete as it is, or begins so: a copy of the directory may have lacked versions.
                let era = known.map_or(era.saturating_sub(1), |it| it.era);
                let revision = known.and_then(|it| it.revision);
                extended.push(VersionRecord { service, versions, era, revision });
            }
        }
        extended
    }

    /// Returns the records that were read and should contain just the versions that may have streams, as far as these are
    /// known here.
    ///
    /// Fronts see versions leave at different moments. One that was dropped isn't added again while no endpoint of it is
    /// listed: fronts would otherwise write in turns until all of them have forgotten it.
    fn completed(
        &self,
        wanted: Vec<(ServiceName, Option<SoftwareVersions>)>,
    ) -> Vec<VersionRecord> {
        let Some(read_at) = self.read_at else { return Vec::new() };
        // What is gone by changes of endpoints up to the read was gone when the record was read.
        let revisions = &self.state.revisions;
        if revisions.endpoints_covered() < read_at || revisions.is_behind() {
            return Vec::new();
        }
        let era = read_at.era();
        let completed = wanted.into_iter().filter_map(|(service, wanted)| {
            let (wanted, known) = (wanted?, self.records.get(&service)?);
            let versions: SoftwareVersions = if known.era == era {
                known.versions.intersection(&wanted).cloned().collect()
            } else {
                known.versions.union(&wanted).cloned().collect()
            };
            let is_same = known.era == era && known.versions == versions;
            let revision = known.revision;
            (!is_same).then_some(VersionRecord { service, versions, era, revision })
        });
        completed.collect()
    }

    /// Writes records that were read before, if nobody has changed them since.
    async fn complete(&mut self) -> Result<(), UpdateError> {
        let era = self.read_at.map_or(0, Position::era);
        for record in self.completed(self.wanted()) {
            // The next write has to name the revision of this one, which only a read tells.
            self.state.version_records_outdated.set(true);
            self.write(era, record).await?;
        }
        Ok(())
    }

    /// Reads all records, then writes those that are out of date.
    async fn update(&mut self) -> Result<(), UpdateError> {
        let is_wanted = self.state.version_records_outdated.replace(false);
        let begun_at = self.state.now();
        let configuration = async {
            if !is_wanted {
                return None;
            }
            timeout(PROBE_TIMEOUT, self.newest_configuration()).await.ok().flatten()
        };
        let (answer, configuration) = tokio::join!(self.directory.version_records(), configuration);
        if let Some(era) = answer.era {
            self.state.record_era(era, "directory");
        }
        let (position, records) = answer.result?;
        let era = position.era();
        if era < self.state.era.latest() {
            return Err(UpdateError::Outdated);
        }
        self.read_at = Some(position);
        self.records = records.into_iter().map(|it| (it.service.clone(), it)).collect();
        let records = self.records.values().map(|it| {
            let (versions, is_complete) = (it.versions.clone(), it.era == era);
            (it.service.clone(), RecordedVersions { versions, is_complete })
        });
        let records = records.collect();
        self.state.handle(Event::DirectoryRead(DirectoryRead { begun_at, records, configuration }));
        self.state.news.notify_waiters();
        let mut result = Ok(());
        for record in self.extended(era) {
            result = self.write(era, record).await.and(result);
        }
        result
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
        let wanted = async {
            sleep(delay.min(MIN_PRESSED_DELAY)).await;
            self.state.read_wanted.notified().await;
        };
        tokio::select! {
            () = sleep(delay) => {}
            () = wanted => {}
        }
    }
}

/// Whether a refusal with this HTTP status tells that the directory will never take such a record.
const fn is_final(status: u16) -> bool {
    matches!(status, 400..500) && !matches!(status, 408 | 425 | 429)
}
