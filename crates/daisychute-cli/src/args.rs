//! Command-line arguments.

use std::env;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use awc::http::header::{HeaderName, HeaderValue, InvalidHeaderName, InvalidHeaderValue};
use clap::{Parser, Subcommand};
use clap_complete::Shell;
use daisychute_core::{DeploymentName, EndpointName, RegionName, Revision};

use crate::output::OutputFormat;

/// Width of tables in columns, if neither `--width` nor `COLUMNS` is set.
const DEFAULT_WIDTH: u16 = 80;

/// Operates a daisychute deployment.
///
/// Exit codes: 0 done, 1 failure, 2 usage, 3 conflict, 4 no answer from the platform or the entries,
/// 5 refused file, 6 differences found.
#[derive(Debug, Parser)]
#[command(name = "daisychute", version)]
pub(crate) struct Args {
    #[command(flatten)]
    pub(crate) shared: SharedOptions,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Options that every command accepts.
#[derive(Debug, Clone, clap::Args)]
pub(crate) struct SharedOptions {
    /// Base URL of the platform's object API
    #[arg(long, global = true, value_name = "URL", env = "DAISYCHUTE_PLATFORM")]
    pub(crate) platform: Option<String>,
    /// Name of the deployment, as in its processes' settings
    #[arg(long, global = true, value_name = "NAME", env = "DAISYCHUTE_DEPLOYMENT", value_parser = parse_deployment)]
    pub(crate) deployment: Option<DeploymentName>,
    /// Name of the region, for status, plan, drain and undrain
    #[arg(long, global = true, value_name = "NAME", env = "DAISYCHUTE_REGION", value_parser = parse_region)]
    pub(crate) region: Option<RegionName>,
    /// Admin address of an entry, for status; may be given several times
    #[arg(
        long = "entry",
        global = true,
        value_name = "ADDR",
        env = "DAISYCHUTE_ENTRIES",
        value_delimiter = ','
    )]
    pub(crate) entries: Vec<SocketAddr>,
    /// Name of the operator or program that makes a change, as shown in the history
    #[arg(
        long,
        global = true,
        value_name = "NAME",
        env = "DAISYCHUTE_WRITER",
        default_value = "operator"
    )]
    pub(crate) writer: String,
    /// Output format
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Text)]
    pub(crate) output: OutputFormat,
    /// Width of tables, in columns; by default that in COLUMNS, or 80
    #[arg(long, global = true, value_name = "COLUMNS", default_value_t = terminal_width(), hide_default_value = true)]
    pub(crate) width: u16,
}

/// Command to run.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check a configuration file and make it the accepted configuration
    Apply {
        /// The configuration file
        file: PathBuf,
    },
    /// Print the accepted configuration as a file
    Get,
    /// Show what a configuration file would change
    Diff {
        /// The configuration file
        file: PathBuf,
    },
    /// List the accepted configurations, or print one of them as a file
    History {
        /// The revision to print
        #[arg(value_parser = parse_revision)]
        revision: Option<Revision>,
    },
    /// Show processes and endpoints, and which are not yet at the accepted revision
    Status {
        /// Repeat until interrupted
        #[arg(long)]
        watch: bool,
        /// Time between two repetitions of --watch
        #[arg(long, value_name = "TIME", default_value = "2s", value_parser = humantime::parse_duration)]
        interval: Duration,
    },
    /// Show the configuration in force and the requests in flight of fronts
    Fronts {
        /// Metrics address of a front
        #[arg(required = true, value_name = "ADDR")]
        fronts: Vec<SocketAddr>,
    },
    /// Show where a request would go now, and why, without sending it
    Where {
        /// Metrics address of the front that is asked
        #[arg(value_name = "ADDR")]
        front: SocketAddr,
        /// Path and query of the request
        path: String,
        /// Host that the request names
        #[arg(long, value_name = "NAME")]
        host: String,
        /// Header of the request, as NAME: VALUE; may be given several times
        #[arg(long = "header", value_name = "HEADER", value_parser = parse_header)]
        headers: Vec<Header>,
    },
    /// Let an endpoint finish its requests and send it no new ones
    Drain {
        /// Name of the endpoint
        #[arg(value_parser = parse_endpoint)]
        endpoint: EndpointName,
    },
    /// Send requests to a drained endpoint again
    Undrain {
        /// Name of the endpoint
        #[arg(value_parser = parse_endpoint)]
        endpoint: EndpointName,
    },
    /// Show the plan of the region
    Plan,
    /// Show from the logs of several processes how a request ended, and why
    Explain {
        /// Id of the request, as given by the client
        request: String,
        /// Log files; - is the standard input, which is also read if no file is given
        logs: Vec<PathBuf>,
    },
    /// Print the completion script for a shell
    Completions {
        /// Shell that reads the script
        shell: Shell,
    },
}

/// Name and value of a header of a request that is asked about.
#[derive(Debug, Clone)]
pub(crate) struct Header {
    pub(crate) name: HeaderName,
    pub(crate) value: HeaderValue,
}

/// Why an argument is no header.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HeaderError {
    /// There is no colon.
    #[error("a header has the form NAME: VALUE")]
    NoColon,
    /// The name has characters that are not allowed.
    #[error("the name is not valid in a header")]
    Name(#[from] InvalidHeaderName),
    /// The value has characters that are not allowed.
    #[error("the value is not valid in a header")]
    Value(#[from] InvalidHeaderValue),
}

fn parse_header(raw: &str) -> Result<Header, HeaderError> {
    let (name, value) = raw.split_once(':').ok_or(HeaderError::NoColon)?;
    Ok(Header { name: name.trim().try_into()?, value: value.trim().try_into()? })
}

/// The width in `COLUMNS`, which some shells export, or the default.
fn terminal_width() -> u16 {
    let columns = env::var("COLUMNS").ok().and_then(|it| it.parse().ok());
    columns.unwrap_or(DEFAULT_WIDTH)
}

fn parse_deployment(raw: &str) -> Result<DeploymentName, daisychute_core::NameError> {
    DeploymentName::try_from(raw)
}

fn parse_region(raw: &str) -> Result<RegionName, daisychute_core::NameError> {
    RegionName::try_from(raw)
}

fn parse_endpoint(raw: &str) -> Result<EndpointName, daisychute_core::NameError> {
    EndpointName::try_from(raw)
}

fn parse_revision(raw: &str) -> Result<Revision, std::num::ParseIntError> {
    raw.parse().map(Revision::new)
}
