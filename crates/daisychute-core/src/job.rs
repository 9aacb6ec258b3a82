//! What an entry says of an accepted may-wait request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{ClassName, EndpointName, Refusal, TenantName};

/// How far a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// It is kept on the platform and waits for its turn.
    Waiting,
    /// A process has claimed it and runs it.
    Running,
    /// Its result is kept until it is fetched or its retention ends.
    Done,
    /// It was refused for good.
    Refused,
}

/// One item of the answer to `GET /jobs`, and the whole answer to `GET /jobs/{id}`, on the admin address of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Its id, as its caller got it.
    pub id: String,
    /// The tenant that it is for.
    pub tenant: TenantName,
    /// Its class.
    pub class: ClassName,
    /// How far it is.
    pub state: JobState,
    /// How long ago it was accepted.
    pub age: Duration,
    /// How often it was claimed.
    pub attempts: u32,
    /// The endpoint that runs it or ran it last.
    #[serde(default)]
    pub endpoint: Option<EndpointName>,
    /// Why it was refused.
    #[serde(default)]
    pub refusal: Option<Refusal>,
}
