//! Actions that a dispatcher asks the I/O shell to perform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{EndpointName, ServiceName, SoftwareVersion, TenantName, Time};

use crate::{
    BudgetUse, Cause, CrashNews, EndpointKey, ForwardedIdentity, Incarnation, LimitNews,
    OriginBasis, PromptPart, Quarantine, Reason, RequestKey, RequestKind, RequestRate,
    StreamOrigin,
};

/// Work that an endpoint is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// Run the whole request.
    Run,
    /// Prefill the prompt only, and hold its KV cache for another engine.
    Prefill,
    /// Run the request from the KV cache that another engine prefilled.
    Decode {
        /// Address of the engine that holds the KV cache.
        source: SocketAddr,
        /// Handle under which the engine holds the KV cache.
        handle: Arc<str>,
    },
}

impl Task {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::Prefill => "prefill",
            Self::Decode { .. } => "decode",
        }
    }
}

/// One send attempt: its target, its limits and the predictions it is based on.
#[derive(Debug, Clone, PartialEq)]
pub struct SendDecision {
    /// Key of the endpoint that the request is sent to.
    pub endpoint: EndpointKey,
    /// Name of the endpoint; an endpoint with another name must not run the request.
    pub name: EndpointName,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Work that the endpoint is asked to do.
    pub task: Task,
    /// Time by which the response must be complete.
    pub deadline: Time,
    /// Whether the request may run more than once, and whether its response is a stream.
    pub kind: RequestKind,
    /// Priority of the request, from its client account or its route; 0 is the most urgent.
    pub priority: u8,
    /// Whose request the endpoint is told that it runs.
    pub identity: ForwardedIdentity,
    /// Failed send attempts before this one; those of which no byte was sent don't count.
    pub previous_attempts: u32,
    /// Predicted time to the first output of the response, penalties included.
    pub cost: Duration,
    /// Part of `cost` for which the request waits for other requests.
    pub wait: Duration,
    /// Difference between the largest and the smallest predicted wait at the endpoints that could have taken the
    /// request.
    pub wait_spread: Duration,
    /// Prompt tokens that the endpoint must prefill, since they aren't in its prefix cache; 0 without a prompt.
    pub uncached_tokens: u32,
    /// Engine from which cached parts of the prompt are fetched before the prefill; `None` if nothing is fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Maximum number of tokens that the request may generate; `None` without a prompt.
    pub max_output: Option<u32>,
    /// Time left until responses in progress are cut by a shutdown; `None` if none was requested.
    pub shutdown_in: Option<Duration>,
    /// Number of endpoints that could have taken the request.
    pub candidates: usize,
    /// Version of the endpoint's software; `None` if the directory doesn't say.
    pub software_version: Option<SoftwareVersion>,
    /// Age of the endpoint's latest load report; `None` if there is none.
    pub load_age: Option<Duration>,
    /// Maximum number of connections that this front may have to the endpoint.
    pub max_connections: usize,
    /// Time after which the response is overdue, to be reported as
    /// [`Event::ResponseOverdue`](crate::Event::ResponseOverdue); `None` if it never is.
    pub overdue_after: Option<Duration>,
}

impl SendDecision {
    /// Time after the deadline at which the endpoint is told to stop. A front gives a response up at the deadline, so that no end
    /// that it reads until then is due to the stop, as long as their clocks and the way between them differ by less.
    pub const STOP_GRACE: Duration = Duration::from_millis(250);

    /// Returns the time that the endpoint is told it has.
    #[must_use]
    pub fn endpoint_time(&self, now: Time) -> Duration {
        self.deadline.since(now) + Self::STOP_GRACE
    }

    /// Whether the endpoint may have stopped work on the request, and ended its response in order, because its time was over. A
    /// front that was held up past the deadline can't tell when the end came.
    #[must_use]
    pub fn may_have_timed_out(&self, now: Time) -> bool {
        now >= self.deadline
    }
}

/// Something that the I/O shell has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    Send {
        /// Identifies the request.
        key: RequestKey,
        /// Target of the request, its limits and the predictions.
        decision: Box<SendDecision>,
    },
    /// Respond to the client that the request has not run and will not run.
    Refuse {
        /// Identifies the request.
        key: RequestKey,
        /// Cause of the refusal, for the client, logs and metrics.
        reason: Reason,
        /// Predicted time to the first output at the best endpoint, plus the cost of delaying the outputs of other
        /// requests by the prefill; zero unless the reason is the load.
        cost: Duration,
        /// Part of `cost` for which the request would wait for other requests.
        wait: Duration,
        /// Delay after which the client may retry; `None` if a retry is pointless.
        retry_after: Option<Duration>,
    },
    /// Respond to the client that the request failed: it may have run, or it lacks an id or a route.
    Fail {
        /// Identifies the request.
        key: RequestKey,
        /// Cause of the failure, for the client, logs and metrics.
        reason: Reason,
    },
    /// Pass the endpoint's error response on to the client unchanged.
    RelayErrorResponse {
        /// Identifies the request.
        key: RequestKey,
    },
    /// Free a KV cache that no engine will fetch.
    ReleaseKvCache {
        /// Key of the engine that holds the KV cache.
        endpoint: EndpointKey,
        /// Address of the engine that holds the KV cache.
        address: SocketAddr,
        /// Handle under which the engine holds the KV cache.
        handle: Arc<str>,
    },
    /// Ask a newly registered engine for the prompt parts in its prefix cache. The result comes back as
    /// [`Event::CacheReported`]. Without a result the front learns them over time from the requests it sends there.
    ///
    /// [`Event::CacheReported`]: crate::Event::CacheReported
    QueryCache {
        /// Key of the engine's current incarnation.
        endpoint: EndpointKey,
        /// Name of the engine.
        name: EndpointName,
        /// Address that the engine listens on.
        address: SocketAddr,
    },
    /// Record that an endpoint gets no requests for a time, since a response has grown far beyond the usual.
    RecordOversized {
        /// Identifies the request.
        key: RequestKey,
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// Size of the body so far, in bytes.
        bytes: u64,
        /// Size of the largest whole response of the route of late, in bytes; 0 if none was large.
        usual: u64,
    },
    /// Tell the other fronts that an endpoint now caches this part of a shared prefix.
    AnnounceCachedPart {
        /// Name of the endpoint that caches the part.
        endpoint: EndpointName,
        /// Prompt part that is cached.
        part: PromptPart,
    },
    /// Tell the other fronts that an endpoint announced that it is leaving.
    AnnounceLeaving {
        /// Identity of the endpoint.
        endpoint: Incarnation,
    },
    /// Tell the other fronts where a stream began.
    AnnounceOrigin {
        /// The stream and the software version that began it.
        origin: StreamOrigin,
        /// Whether the service has several versions, so that a front that doesn't know the origin refuses the client
        /// that resumes the stream.
        at_once: bool,
    },
    /// Record that an endpoint gets nothing new because it announced that it is leaving.
    RecordLeaving {
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// Whether another front reported it; otherwise the endpoint announced it to this one.
        by_peer: bool,
    },
    /// Record that an endpoint gets no requests of this front for a time, as it asked.
    RecordPause {
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// Duration of the pause, which may differ from the one asked for.
        pause: Duration,
    },
    /// Record that an endpoint gets no requests of this front for a time, as it refused one that was meant for another
    /// endpoint.
    RecordMisdirection {
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// Time without requests.
        hold: Duration,
    },
    /// Record that an endpoint names another limit than before.
    RecordLimit {
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// The limit; `None` if it names none any more.
        limit: Option<RequestRate>,
        /// Whether another front reported it; otherwise the endpoint named it to this one.
        by_peer: bool,
    },
    /// Tell the other fronts about the limit that an endpoint names.
    AnnounceLimit {
        /// What they are told.
        news: LimitNews,
    },
    /// Check by a health check whether a leaving endpoint stays after all. If it does, the result comes back as
    /// [`Event::StayingConfirmed`].
    ///
    /// [`Event::StayingConfirmed`]: crate::Event::StayingConfirmed
    CheckLeaving {
        /// Key of the endpoint's current incarnation.
        endpoint: EndpointKey,
        /// Name of the endpoint.
        name: EndpointName,
        /// Address that the endpoint listens on.
        address: SocketAddr,
        /// Path of the health check.
        path: Arc<str>,
    },
    /// Tell the other fronts at once what was learned about endpoints that end.
    AnnounceCrashNews {
        /// What they are told.
        news: CrashNews,
    },
    /// Record that a request or a prompt part is quarantined, or for longer than before.
    RecordQuarantine {
        /// The quarantine.
        quarantine: Quarantine,
        /// Whether another front reported it, or the end of an endpoint that led to it.
        by_peer: bool,
    },
    /// Record that the quarantine of a request or a prompt part is lifted.
    RecordRelease {
        /// The request or the part.
        cause: Cause,
        /// Whether another front reported the complete response that speaks for it.
        by_peer: bool,
    },
    /// Send the other fronts a heartbeat at once. They would otherwise select the engine that this front just made
    /// busy, since it still looks idle to them.
    SendHeartbeat,
    /// Record the latency of a send attempt whose first output arrived, against its prediction.
    RecordLatency {
        /// Identifies the request.
        key: RequestKey,
        /// Name of the task, as returned by [`Task::as_str`].
        task: &'static str,
        /// Predicted time from sending to the first output.
        predicted: Duration,
        /// Measured time from sending to the first output.
        took: Duration,
    },
    /// Read the directory and ask the other fronts where the stream began that the client resumes. The answers come back as
    /// [`Event::DirectoryRead`] and [`Event::OriginsReported`]; [`Event::NewsAwaited`] follows each of them, and `until`.
    ///
    /// [`Event::DirectoryRead`]: crate::Event::DirectoryRead
    /// [`Event::OriginsReported`]: crate::Event::OriginsReported
    /// [`Event::NewsAwaited`]: crate::Event::NewsAwaited
    AwaitNews {
        /// Identifies the request.
        key: RequestKey,
        /// Identifies the stream, as [`StreamOrigin::attempt`] does; `None` if the client doesn't say which it is.
        attempt: Option<u64>,
        /// Time at which the request is refused if nothing has told the origin.
        until: Time,
    },
    /// Read the directory's records of software versions again: this front may have missed some. The result comes back as
    /// [`Event::DirectoryRead`].
    ///
    /// [`Event::DirectoryRead`]: crate::Event::DirectoryRead
    ReadVersionRecords,
    /// Record where the stream began that a client resumes, as far as this front knows.
    RecordResumption {
        /// Id that the client gave the request.
        request: Arc<str>,
        /// Service that the stream is resumed at.
        service: ServiceName,
        /// Version that the stream is resumed at; `None` if its endpoints don't say it, or if it isn't known.
        version: Option<SoftwareVersion>,
        /// How the front knows it.
        basis: OriginBasis,
        /// Time that the request waited for news of it.
        waited: Duration,
        /// Time since a heartbeat of another front arrived; `None` if none ever did.
        heard_ago: Option<Duration>,
    },
    /// Record that a request isn't sent again because the retry budget of its service is spent.
    RecordRetryDenied {
        /// Id that the client gave the request.
        request: Arc<str>,
        /// Service of the request.
        service: ServiceName,
        /// What this front has used of the budget.
        budget: BudgetUse,
        /// Number of fronts that share the budget; `None` if it isn't known.
        fronts: Option<usize>,
    },
    /// Count a request of a client account. Emitted once per client request, however often it is sent, when the first
    /// output of a stream or the response head of a plain request shows that it runs.
    RecordBegin {
        /// Client account of the request.
        tenant: TenantName,
        /// Time of the first output of a stream; for a plain request the time at which it was sent.
        began_at: Time,
    },
    /// Close the idle connections to an endpoint that takes no more requests.
    CloseIdleConnections {
        /// Key of the endpoint whose connections are closed.
        endpoint: EndpointKey,
    },
}

impl Action {
    /// Returns a refusal for a reason other than the load, without predictions.
    pub(crate) const fn refuse_without_prediction(
        key: RequestKey,
        reason: Reason,
        retry_after: Option<Duration>,
    ) -> Self {
        Self::Refuse { key, reason, cost: Duration::ZERO, wait: Duration::ZERO, retry_after }
    }
}
