//! The role of a process, with the settings that only this role has.

use std::net::SocketAddr;

use daisychute_core::{EndpointKind, EndpointName, ServiceName};

use crate::BaseUrl;
use crate::field::raw_section;
use crate::listen::RawListen;
use crate::problem::{Problem, Problems};
use crate::process::RawProcess;
use crate::rule::{Address, Choice, Name, Url};

raw_section! {
    /// Section `[endpoint]` as it stands in the file.
    RawEndpoint {
        name = "name",
        kind = "kind",
        service = "service",
        url = "url",
    }
}

/// The role of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoleSettings {
    /// It takes requests from callers.
    Entry(EntrySettings),
    /// It gives orders and work to one endpoint.
    Agent(AgentSettings),
}

/// What only an entry has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntrySettings {
    /// The address that it listens on for callers.
    pub callers: SocketAddr,
}

/// What only an agent has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// The endpoint beside it.
    pub endpoint: EndpointSettings,
}

/// The endpoint beside an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Its name.
    pub name: EndpointName,
    /// What it is.
    pub kind: EndpointKind,
    /// Its base URL.
    pub url: BaseUrl,
}

#[derive(Debug, Clone, Copy)]
enum RoleWord {
    Entry,
    Agent,
}

#[derive(Debug, Clone, Copy)]
enum KindWord {
    Engine,
    Service,
}

impl RoleSettings {
    /// The role as the file names it.
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
        match process.role.required(&Choice(Self::WORDS))? {
            RoleWord::Entry => entry(listen, endpoint).map(Self::Entry),
            RoleWord::Agent => agent(listen, endpoint).map(Self::Agent),
        }
    }
}

fn entry(listen: &RawListen, endpoint: &RawEndpoint) -> Result<EntrySettings, Problems> {
    let mut problems = Problems::default();
    let callers = problems.keep(listen.callers.required(&Address));
    for field in [&endpoint.name, &endpoint.kind, &endpoint.service, &endpoint.url] {
        problems.keep(field.absent(RoleSettings::ENTRY));
    }
    match callers {
        Some(callers) if problems.is_empty() => Ok(EntrySettings { callers }),
        _ => Err(problems),
    }
}

fn agent(listen: &RawListen, endpoint: &RawEndpoint) -> Result<AgentSettings, Problems> {
    let mut problems = Problems::default();
    let callers = problems.keep(listen.callers.absent(RoleSettings::AGENT));
    let endpoint = problems.keep(EndpointSettings::try_from(endpoint));
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
        let name = problems.keep(raw.name.required(&Name::new()));
        let kind = problems.keep(endpoint_kind(raw));
        let url = problems.keep(raw.url.required(&Url));
        match (name, kind, url) {
            (Some(name), Some(kind), Some(url)) => Ok(Self { name, kind, url }),
            _ => Err(problems),
        }
    }
}

fn endpoint_kind(raw: &RawEndpoint) -> Result<EndpointKind, Problem> {
    match raw.kind.required(&Choice(EndpointSettings::KINDS))? {
        KindWord::Engine => {
            raw.service.absent("agent of an engine")?;
            Ok(EndpointKind::Engine)
        }
        KindWord::Service => {
            let service = raw.service.required(&Name::<ServiceName>::new())?;
            Ok(EndpointKind::Service(service))
        }
    }
}
