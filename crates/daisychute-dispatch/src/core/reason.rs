//! Reasons for refused and failed requests.

/// Cause of a refusal or failure, as reported to the client, in logs and in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No configuration was received yet.
    NoConfiguration,
    /// No route matches the host and path.
    NoRoute,
    /// The request carries no key of the client accounts in force.
    UnknownKey,
    /// The request has no id.
    NoId,
    /// The front shuts down, and the response may not end before that.
    Stopping,
    /// No endpoint of the service takes requests.
    NoEndpoint,
    /// The client resumes a stream, and it isn't known which software version began it.
    OriginUnknown,
    /// No endpoint of the software version that began the stream takes requests.
    VersionGone,
    /// All endpoints of the service that could take the request asked for a pause.
    Paused,
    /// Limits that all endpoints of the service named which could take the request are used up.
    Limited,
    /// Endpoints ended under the request or a part of its prompt, which is quarantined.
    Quarantined,
    /// The latency objective can't be met at the current load.
    Overload,
    /// The endpoint refused the request without running it, and no retry is left.
    Rejected,
    /// No endpoint could be reached.
    Unreachable,
    /// The deadline or the route's timeout passed.
    Deadline,
    /// The endpoint's response was missing, truncated or an error, and no retry is possible.
    Broken,
}

impl Reason {
    /// All reasons, for metrics that are labelled by reason.
    pub const ALL: [Self; 16] = [
        Self::NoConfiguration,
        Self::NoRoute,
        Self::UnknownKey,
        Self::NoId,
        Self::Stopping,
        Self::NoEndpoint,
        Self::OriginUnknown,
        Self::VersionGone,
        Self::Paused,
        Self::Limited,
        Self::Quarantined,
        Self::Overload,
        Self::Rejected,
        Self::Unreachable,
        Self::Deadline,
        Self::Broken,
    ];

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::NoId => "no_id",
            Self::Stopping => "stopping",
            Self::NoEndpoint => "no_endpoint",
            Self::OriginUnknown => "origin_unknown",
            Self::VersionGone => "version_gone",
            Self::Paused => "paused",
            Self::Limited => "limited",
            Self::Quarantined => "quarantined",
            Self::Overload => "overload",
            Self::Rejected => "rejected",
            Self::Unreachable => "unreachable",
            Self::Deadline => "deadline",
            Self::Broken => "broken",
        }
    }
}
