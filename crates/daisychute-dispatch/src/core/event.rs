//! Events that a dispatcher handles.

use daisychute_core::{EndpointName, ServiceName, Time};
use std::sync::Arc;
use std::time::Duration;

use crate::{
    CrashNews, DirectoryRead, Endpoint, EndpointKey, FrontPosition, Incarnation, LimitNews,
    LoadSample, PeerLoad, PromptPart, Removal, RequestInfo, RequestKey, RequestRate, RouteTable,
    SoftwareVersions, StreamOrigin,
};

/// Why a send attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request was sent: the endpoint can't have run it.
    Unsent,
    /// The endpoint responded that it did not run the request.
    NotRun {
        /// Whether another endpoint has the address, or the endpoint runs another stage.
        misdirected: bool,
    },
    /// The request was sent, but the connection ended before a complete response head was received.
    NoAnswer,
    /// The endpoint sent a response that says nothing about the request and can't be passed on.
    Unusable,
    /// The response was truncated. Parts of it may have reached the client.
    MidAnswer {
        /// Whether the response head was passed on to the client.
        head_passed: bool,
    },
    /// The response was truncated after a part that reached the client and that no other attempt can continue.
    Unresumable,
    /// The endpoint sent an error response.
    ServerError,
    /// No response began in time, and the request is sent to another endpoint.
    TimedOut,
}

impl SendFailure {
    /// Returns the name used in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::NotRun { misdirected: true } => "misdirected",
            Self::NotRun { misdirected: false } => "not_run",
            Self::NoAnswer => "no_answer",
            Self::Unusable => "unusable",
            Self::MidAnswer { .. } => "mid_answer",
            Self::Unresumable => "unresumable",
            Self::ServerError => "server_error",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Something that happened, as reported by the I/O shell.
#[derive(Debug, Clone)]
pub enum Event {
    /// A request was received completely.
    Arrived {
        /// Key of the request, not used before in this process.
        key: RequestKey,
        /// Id, path, timeout and prompt of the request.
        request: RequestInfo,
    },
    /// An engine prefilled the prompt and holds its KV cache under a handle.
    Prefilled {
        /// Identifies the request.
        key: RequestKey,
        /// Handle under which the engine holds the KV cache.
        handle: Arc<str>,
    },
    /// The head of a response that will be passed on to the client arrived.
    ResponseStarted {
        /// Identifies the request.
        key: RequestKey,
    },
    /// The first event of a response stream arrived.
    FirstOutput {
        /// Identifies the request.
        key: RequestKey,
    },
    /// A large response has arrived so far, and isn't complete. Reported each time its size has doubled.
    ResponseGrew {
        /// Identifies the request.
        key: RequestKey,
        /// Size of the body so far, in bytes.
        bytes: u64,
        /// Time for which the endpoint or the client kept the front waiting since the beginning of the body.
        waited: Duration,
    },
    /// The body of a response ended with its connection. Whether it is whole isn't known yet.
    ResponseEnded {
        /// Identifies the request.
        key: RequestKey,
    },
    /// An endpoint reported its load in a response head.
    LoadReported {
        /// Identifies the request whose response carried the report.
        key: RequestKey,
        /// Load of the endpoint when it responded.
        sample: LoadSample,
    },
    /// A send attempt failed.
    SendFailed {
        /// Identifies the request.
        key: RequestKey,
        /// Cause of the failure; decides whether the request may be retried.
        failure: SendFailure,
    },
    /// The response of a send attempt is overdue by [`SendDecision::overdue_after`](crate::SendDecision::overdue_after).
    /// The attempt is replaced if an [`Action::Send`](crate::Action::Send) is the answer; otherwise it goes on.
    ResponseOverdue {
        /// Identifies the request.
        key: RequestKey,
    },
    /// The whole response was passed on to the client.
    Finished {
        /// Identifies the request.
        key: RequestKey,
    },
    /// The client disconnected before the end of the response.
    ClientDisconnected {
        /// Identifies the request.
        key: RequestKey,
    },
    /// The deadline of the request passed.
    Expired {
        /// Identifies the request.
        key: RequestKey,
    },
    /// A configuration was received.
    Configured(Arc<RouteTable>),
    /// A directory record of an endpoint was added or changed.
    EndpointUpserted(Endpoint),
    /// The directory record of an endpoint disappeared.
    EndpointRemoved {
        /// Name of the endpoint.
        name: EndpointName,
        /// Whether the endpoint is removed at once, or after a delay because the directory was unreachable.
        removal: Removal,
    },
    /// Another front sent a heartbeat.
    PeerHeartbeat {
        /// Identifies the other front's incarnation.
        peer: u64,
        /// Load of the other front at each endpoint where it has requests in flight.
        loads: Vec<(EndpointName, PeerLoad)>,
        /// Shared prompt parts that it sent recently, each with the endpoint that now caches it.
        parts: Vec<(EndpointName, PromptPart)>,
    },
    /// The machine was suspended for [`Dispatcher::MIN_SUSPENSION`] or longer. Checked before each request that resumes a
    /// stream.
    ///
    /// [`Dispatcher::MIN_SUSPENSION`]: crate::Dispatcher::MIN_SUSPENSION
    WasSuspended,
    /// Another front shuts down.
    PeerStopping {
        /// Identifies the other front's incarnation.
        peer: u64,
        /// Time until it has exited.
        exits_in: Duration,
    },
    /// An engine reported the prompt parts in its prefix cache, as asked by
    /// [`Action::QueryCache`](crate::Action::QueryCache).
    CacheReported {
        /// Key of the engine incarnation that was asked.
        endpoint: EndpointKey,
        /// Cached parts, least recently used first if the engine reports the order.
        parts: Vec<PromptPart>,
    },
    /// An endpoint announced in a response that it is leaving.
    LeavingAnnounced {
        /// Key of the incarnation that responded.
        endpoint: EndpointKey,
    },
    /// An endpoint refused a request and wants no more from this front for a time.
    PauseRequested {
        /// Key of the incarnation that responded.
        endpoint: EndpointKey,
        /// How long it wants none, from now on.
        pause: Duration,
        /// Random number from 0 to 1 that determines how much later this front returns than it could, so that not all
        /// fronts return together.
        spread: f64,
    },
    /// An endpoint responded, and named a limit on the rate of requests or names none any more.
    LimitNamed {
        /// Key of the incarnation that responded.
        endpoint: EndpointKey,
        /// The limit; `None` if the response names none.
        limit: Option<RequestRate>,
        /// When the request was sent that it responded to.
        sent_at: Time,
    },
    /// Another front reported endpoints that announced to it that they are leaving.
    LeavingReported {
        /// Identities of the endpoints, which this front may not know yet.
        endpoints: Vec<Incarnation>,
    },
    /// A leaving endpoint responded to a health check as one that stays, as asked by
    /// [`Action::CheckLeaving`](crate::Action::CheckLeaving).
    StayingConfirmed {
        /// Key of the incarnation that responded.
        endpoint: EndpointKey,
    },
    /// Another front reported where streams began.
    OriginsReported {
        /// The streams that clients may resume.
        origins: Vec<StreamOrigin>,
    },
    /// News may have come of where the stream began that the client resumes, or [`Action::AwaitNews`] has ended.
    ///
    /// [`Action::AwaitNews`]: crate::Action::AwaitNews
    NewsAwaited {
        /// Identifies the request.
        key: RequestKey,
    },
    /// The directory was read for streams that clients resume.
    DirectoryRead(DirectoryRead),
    /// Configurations may have been in force elsewhere that this front hasn't received. Precedes the one that it receives next.
    ConfigurationsMissed,
    /// The directory's record of the versions of a service that may have streams was written by this front.
    VersionsRecorded {
        /// The service.
        service: ServiceName,
        /// The versions in the record.
        versions: SoftwareVersions,
    },
    /// Another front reported requests and prompt parts under which endpoints ended or didn't end.
    CrashNewsReported {
        /// What it told, with times of this process.
        news: Vec<CrashNews>,
    },
    /// Another front reported limits that endpoints named to it.
    LimitsReported {
        /// The limits, with times of this process.
        limits: Vec<LimitNews>,
    },
    /// Another front told at which versions of a service it may begin streams, as they are recorded in the directory.
    VersionsAllowed {
        /// The service.
        service: ServiceName,
        /// The versions.
        versions: SoftwareVersions,
    },
    /// Endpoints may have come and gone without this front's knowledge, or records of them may have been lost.
    EndpointsMissed,
    /// The directory doesn't take a record of the versions of a service that may have streams.
    RecordRefused {
        /// The service.
        service: ServiceName,
    },
    /// The fronts that share the endpoints were counted.
    FrontsCounted(FrontPosition),
    /// The process was asked to stop. From now on requests are refused whose response may not end by `deadline`.
    ShutdownRequested {
        /// Time at which responses in progress are cut.
        deadline: Time,
    },
    /// The request is still open when responses in progress are cut.
    ShutdownExpired {
        /// Identifies the request.
        key: RequestKey,
    },
    /// Periodic event that removes endpoints whose pending removal is due.
    Tick,
}

impl Event {
    /// Returns the event for a request that arrived.
    #[must_use]
    pub const fn arrived(key: RequestKey, request: RequestInfo) -> Self {
        Self::Arrived { key, request }
    }
}
