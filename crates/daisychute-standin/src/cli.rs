//! Command line arguments of the program `daisychute-standin`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use daisychute_core::{AdapterName, EngineTarget, ModelName, ModelVersion, Role};
use daisychute_standin::engine::EngineConfig;
use daisychute_standin::platform::PlatformConfig;
use daisychute_standin::service::ServiceConfig;

/// Stand-ins for the platform, a model engine, a plain service and a network path.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run the object API and the weight store of a platform.
    Platform(PlatformArgs),
    /// Run a model engine.
    Engine(Box<EngineArgs>),
    /// Run a plain service.
    Service(ServiceArgs),
    /// Run a TCP relay.
    Relay(RelayArgs),
}

#[derive(Debug, Args)]
pub(crate) struct PlatformArgs {
    /// Address to listen on.
    #[arg(long)]
    pub(crate) listen: SocketAddr,
    /// File with a JSON array of instance records, stored before the stand-in is ready.
    #[arg(long)]
    pub(crate) instances: Option<PathBuf>,
    /// Delay before a change of the list of instances is visible, in milliseconds.
    #[arg(long, default_value_t = 0)]
    instances_lag_ms: u64,
    /// Maximum number of reads per second, watches included; unlimited if not given.
    #[arg(long)]
    read_rate: Option<u32>,
    /// Maximum number of writes per second; unlimited if not given.
    #[arg(long)]
    write_rate: Option<u32>,
    /// Number of past changes that a new watch can replay.
    #[arg(long, default_value_t = 10_000)]
    history: usize,
    /// Interval between the bookmarks of an idle watch, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    bookmark_ms: u64,
    /// Maximum number of concurrent downloads from the weight store.
    #[arg(long, default_value_t = 4)]
    weight_loads: u32,
    /// Duration of one download from the weight store, in milliseconds.
    #[arg(long, default_value_t = 0)]
    weight_ms: u64,
}

impl PlatformArgs {
    pub(crate) fn config(&self) -> PlatformConfig {
        PlatformConfig {
            history: self.history,
            bookmark_interval: Duration::from_millis(self.bookmark_ms),
            instances_lag: Duration::from_millis(self.instances_lag_ms),
            read_rate: self.read_rate,
            write_rate: self.write_rate,
            weight_loads: self.weight_loads,
            weight_time: Duration::from_millis(self.weight_ms),
        }
    }
}

/// Command line form of [`Role`]: the phases of a generation that an engine runs.
#[derive(Debug, Clone, Copy, ValueEnum)]
enum RoleArg {
    Prefill,
    Decode,
    Mixed,
}

impl From<RoleArg> for Role {
    fn from(role: RoleArg) -> Self {
        match role {
            RoleArg::Prefill => Self::Prefill,
            RoleArg::Decode => Self::Decode,
            RoleArg::Mixed => Self::Mixed,
        }
    }
}

#[derive(Debug, Args)]
pub(crate) struct EngineArgs {
    /// Address to listen on.
    #[arg(long)]
    pub(crate) listen: SocketAddr,
    /// Model that the engine serves at the start.
    #[arg(long, default_value = "clerk-lm", value_parser = parse_model)]
    model: ModelName,
    /// Version of that model.
    #[arg(long, default_value = "1", value_parser = parse_version)]
    model_version: ModelVersion,
    /// Adapter applied to that model.
    #[arg(long, value_parser = parse_adapter)]
    adapter: Option<AdapterName>,
    /// Role of the engine at the start.
    #[arg(long, value_enum, default_value_t = RoleArg::Mixed)]
    role: RoleArg,
    /// Fixed part of the duration of a step, in microseconds.
    #[arg(long, default_value_t = 10_000)]
    token_us: u64,
    /// Time that each prefilled prompt token adds to a step, in microseconds.
    #[arg(long, default_value_t = 50)]
    prefill_us: u64,
    /// Time that each running sequence adds to a step, in microseconds.
    #[arg(long, default_value_t = 200)]
    sequence_us: u64,
    /// Maximum number of sequences in the running batch.
    #[arg(long, default_value_t = 32)]
    max_batch: usize,
    /// Maximum number of prompt tokens prefilled in one step.
    #[arg(long, default_value_t = 512)]
    prefill_chunk: u32,
    /// KV memory of all running sequences together, in tokens.
    #[arg(long, default_value_t = 65_536)]
    kv_tokens: u32,
    /// Capacity of the prefix cache, in blocks.
    #[arg(long, default_value_t = 2_048)]
    cache_blocks: usize,
    /// Number of output tokens after which a generation stops with `stop`; never if not given.
    #[arg(long)]
    natural_tokens: Option<u32>,
    /// Duration of a change to another role, model or version, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    change_ms: u64,
    /// Accept orders with an outdated fencing token.
    #[arg(long)]
    ignore_fence: bool,
    /// Delay of load reports, in milliseconds.
    #[arg(long, default_value_t = 200)]
    load_lag_ms: u64,
    /// Delay of cache events, in milliseconds.
    #[arg(long, default_value_t = 200)]
    event_lag_ms: u64,
    /// Drop every N-th cache event; none if not given.
    #[arg(long)]
    event_loss: Option<u64>,
    /// Base URL of the weight store, as `http://host:port`; a change downloads nothing if not given.
    #[arg(long)]
    weights: Option<String>,
}

impl EngineArgs {
    pub(crate) fn config(&self) -> EngineConfig {
        EngineConfig {
            step: Duration::from_micros(self.token_us),
            prefill_token: Duration::from_micros(self.prefill_us),
            sequence: Duration::from_micros(self.sequence_us),
            max_batch: self.max_batch,
            prefill_chunk: self.prefill_chunk,
            kv_tokens: self.kv_tokens,
            cache_blocks: self.cache_blocks,
            natural_tokens: self.natural_tokens,
            change: Duration::from_millis(self.change_ms),
            checks_fence: !self.ignore_fence,
            load_lag: Duration::from_millis(self.load_lag_ms),
            event_lag: Duration::from_millis(self.event_lag_ms),
            event_loss: self.event_loss,
            weights: self.weights.clone(),
            ..EngineConfig::new(self.target())
        }
    }

    fn target(&self) -> EngineTarget {
        EngineTarget {
            role: self.role.into(),
            model: self.model.clone(),
            version: self.model_version.clone(),
            adapter: self.adapter.clone(),
        }
    }
}

#[derive(Debug, Args)]
pub(crate) struct ServiceArgs {
    /// Address to listen on.
    #[arg(long)]
    pub(crate) listen: SocketAddr,
    /// Name of the service, included in its responses.
    #[arg(long)]
    name: String,
    /// Duration of one call, in milliseconds.
    #[arg(long, default_value_t = 0)]
    service_ms: u64,
}

impl ServiceArgs {
    pub(crate) fn config(&self) -> ServiceConfig {
        let service_time = Duration::from_millis(self.service_ms);
        ServiceConfig { service_time, ..ServiceConfig::new(self.name.as_str()) }
    }
}

#[derive(Debug, Args)]
pub(crate) struct RelayArgs {
    /// Address to listen on.
    #[arg(long)]
    pub(crate) listen: SocketAddr,
    /// Address to forward to.
    #[arg(long)]
    pub(crate) to: SocketAddr,
    /// Listen address of the HTTP API that injects faults.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub(crate) admin: SocketAddr,
}

fn parse_model(raw: &str) -> Result<ModelName, daisychute_core::NameError> {
    raw.try_into()
}

fn parse_version(raw: &str) -> Result<ModelVersion, daisychute_core::NameError> {
    raw.try_into()
}

fn parse_adapter(raw: &str) -> Result<AdapterName, daisychute_core::NameError> {
    raw.try_into()
}
