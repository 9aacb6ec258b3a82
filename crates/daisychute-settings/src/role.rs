//! Role of a process, with the settings specific to it.

use std::net::SocketAddr;

use daisychute_core::{EndpointKind, EndpointName, ServiceName};

use crate::BaseUrl;
use crate::field::raw_section;
use crate::listen::RawListen;
use crate::problem::{Problem, Problems};
use crate::process::RawProcess;
use crate::rule::{Address, Name, OneOf, Url};

raw_section! {
    /// Unchecked section `[endpoint]`.
    RawEndpoint {
        name = "name",
        kind = "kind",
        service = "service",
        url = "url",
    }
}

/// Role of a process, with the settings specific to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoleSettings {
    /// Accepts requests from clients.
    Entry(EntrySettings),
    /// Sends orders and requests to one endpoint.
    Agent(AgentSettings),
}

/// Settings specific to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntrySettings {
    /// HTTP address that clients connect to.
    pub callers: SocketAddr,
}

/// Settings specific to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Endpoint that the agent is responsible for.
    pub endpoint: EndpointSettings,
}

/// The endpoint that an agent is responsible for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Whether the endpoint is an engine or a worker of a plain service, and of which service.
    pub kind: EndpointKind,
    /// Base URL that the endpoint serves its API at.
    pub url: BaseUrl,
}

/// Values of the key `role`.
#[derive(Debug, Clone, Copy)]
enum RoleWord {
    Entry,
    Agent,
}

/// Values of the key `kind`.
#[derive(Debug, Clone, Copy)]
enum KindWord {
    Engine,
    Service,
}

impl RoleSettings {
    /// Returns the value of the key `role`.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Entry(_) => Self::ENTRY,
            Self::Agent(_) => Self::AGENT,
        }
    }

    const ENTRY: &'static str = "entry";
    const AGENT: &'static str = "agent";
    const WORDS: &'static [(&'static str, RoleWord)] =
        &[(Self::ENTRY, RoleWord::Entry), (Self::AGENT, RoleWord::Agent)];

    pub(crate) fn check(
        process: &RawProcess,
        listen: &RawListen,
        endpoint: &RawEndpoint,
    ) -> Result<Self, Problems> {
        match process.role.required(&OneOf(Self::WORDS))? {
            RoleWord::Entry => check_entry(listen, endpoint).map(Self::Entry),
            RoleWord::Agent => check_agent(listen, endpoint).map(Self::Agent),
        }
    }
}

fn check_entry(listen: &RawListen, endpoint: &RawEndpoint) -> Result<EntrySettings, Problems> {
    let mut problems = Problems::default();
    let callers = problems.record(listen.callers.required(&Address));
    for field in [&endpoint.name, &endpoint.kind, &endpoint.service, &endpoint.url] {
        problems.record(field.must_be_absent(RoleSettings::ENTRY));
    }
    match callers {
        Some(callers) if problems.is_empty() => Ok(EntrySettings { callers }),
        _ => Err(problems),
    }
}

fn check_agent(listen: &RawListen, endpoint: &RawEndpoint) -> Result<AgentSettings, Problems> {
    let mut problems = Problems::default();
    let callers = problems.record(listen.callers.must_be_absent(RoleSettings::AGENT));
    let endpoint = problems.record(EndpointSettings::try_from(endpoint));
    match (callers, endpoint) {
        (Some(()), Some(endpoint)) => Ok(AgentSettings { endpoint }),
        _ => Err(problems),
    }
}

impl EndpointSettings {
    const KINDS: &'static [(&'static str, KindWord)] =
        &[("engine", KindWord::Engine), ("service", KindWord::Service)];
}

impl TryFrom<&RawEndpoint> for EndpointSettings {
    type Error = Problems;

    fn try_from(raw: &RawEndpoint) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let name = problems.record(raw.name.required(&Name::new()));
        let kind = problems.record(check_endpoint_kind(raw));
        let url = problems.record(raw.url.required(&Url));
        match (name, kind, url) {
            (Some(name), Some(kind), Some(url)) => Ok(Self { name, kind, url }),
            _ => Err(problems),
        }
    }
}

fn check_endpoint_kind(raw: &RawEndpoint) -> Result<EndpointKind, Problem> {
    match raw.kind.required(&OneOf(EndpointSettings::KINDS))? {
        KindWord::Engine => {
            raw.service.must_be_absent("agent, kind = engine")?;
            Ok(EndpointKind::Engine)
        }
        KindWord::Service => {
            let service = raw.service.required(&Name::<ServiceName>::new())?;
            Ok(EndpointKind::Service(service))
        }
    }
}
