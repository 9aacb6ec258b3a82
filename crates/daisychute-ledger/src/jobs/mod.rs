//! May-wait work that is made durable, run and answered once.

mod claim;
mod id;
mod keeper;
mod limits;
mod object;
mod runner;
mod runner_event;
mod submitter;

pub use self::id::{JobId, ParseJobIdError, ResultObjectId, SegmentId};
pub use self::keeper::{JobKeeper, KeeperAction, KeeperEvent};
pub use self::limits::JobLimits;
pub use self::object::{JobResult, JobSpec, JobState, ResultObject, Segment, SegmentState};
pub use self::runner::JobRunner;
pub use self::runner_event::{RunnerAction, RunnerEvent};
pub use self::submitter::{JobSubmitter, SubmitAction, SubmitEvent};
