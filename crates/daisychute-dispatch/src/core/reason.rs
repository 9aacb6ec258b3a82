//! Why a request was not served.

/// The cause of a refusal or failure, as it stands in logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The request has no id.
    NoId,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// It can't be served in time at the present load.
    Overload,
    /// The endpoint refused it without running it, and no further send is left.
    Rejected,
    /// No endpoint could be reached.
    Unreachable,
    /// The deadline or the route's timeout passed.
    Deadline,
    /// The endpoint's answer broke off or couldn't be read.
    Broken,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 9] = [
        Self::NoConfiguration,
        Self::NoRoute,
        Self::NoId,
        Self::NoEndpoint,
        Self::Overload,
        Self::Rejected,
        Self::Unreachable,
        Self::Deadline,
        Self::Broken,
    ];

    /// Its name.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoId => "no_id",
            Self::NoEndpoint => "no_endpoint",
            Self::Overload => "overload",
            Self::Rejected => "rejected",
            Self::Unreachable => "unreachable",
            Self::Deadline => "deadline",
            Self::Broken => "broken",
        }
    }
}
