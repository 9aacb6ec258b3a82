//! The command line.

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
    /// Run a platform.
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
    /// File with a JSON list of instance records.
    #[arg(long)]
    pub(crate) instances: Option<PathBuf>,
    /// How late the list of instances is, in milliseconds.
    #[arg(long, default_value_t = 0)]
    instances_lag_ms: u64,
    /// Reads a second.
    #[arg(long)]
    read_rate: Option<u32>,
    /// Writes a second.
    #[arg(long)]
    write_rate: Option<u32>,
    /// Changes that a watch can catch up on.
    #[arg(long, default_value_t = 10_000)]
    history: usize,
    /// Time between the bookmarks of a quiet watch, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    bookmark_ms: u64,
    /// Loads from the weight store that run at once.
    #[arg(long, default_value_t = 4)]
    weight_loads: u32,
    /// Time of one load from the weight store, in milliseconds.
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

/// The part of the work that an engine does.
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
    /// Model that it serves at the start.
    #[arg(long, default_value = "clerk-lm", value_parser = parse_model)]
    model: ModelName,
    /// Version of that model.
    #[arg(long, default_value = "1", value_parser = parse_version)]
    model_version: ModelVersion,
    /// Adapter on top of that model.
    #[arg(long, value_parser = parse_adapter)]
    adapter: Option<AdapterName>,
    /// Role at the start.
    #[arg(long, value_enum, default_value_t = RoleArg::Mixed)]
    role: RoleArg,
    /// Fixed part of the time of a step, in microseconds.
    #[arg(long, default_value_t = 10_000)]
    token_us: u64,
    /// Time that each prompt token adds to a step, in microseconds.
    #[arg(long, default_value_t = 50)]
    prefill_us: u64,
    /// Time that each running sequence adds to a step, in microseconds.
    #[arg(long, default_value_t = 200)]
    sequence_us: u64,
    /// Sequences that run at once.
    #[arg(long, default_value_t = 32)]
    max_batch: usize,
    /// Prompt tokens that one step computes.
    #[arg(long, default_value_t = 512)]
    prefill_chunk: u32,
    /// KV memory for running sequences, in tokens.
    #[arg(long, default_value_t = 65_536)]
    kv_tokens: u32,
    /// Blocks in the prefix cache.
    #[arg(long, default_value_t = 2_048)]
    cache_blocks: usize,
    /// Output tokens after which a text ends by itself.
    #[arg(long)]
    natural_tokens: Option<u32>,
    /// Time of a change, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    change_ms: u64,
    /// Take orders with an old fencing number.
    #[arg(long)]
    ignore_fence: bool,
    /// How late load reports are, in milliseconds.
    #[arg(long, default_value_t = 200)]
    load_lag_ms: u64,
    /// How late cache events are, in milliseconds.
    #[arg(long, default_value_t = 200)]
    event_lag_ms: u64,
    /// Lose one of so many cache events.
    #[arg(long)]
    event_loss: Option<u64>,
    /// Weight store, as `http://host:port`.
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
    /// Name of the service.
    #[arg(long)]
    name: String,
    /// Time of one call, in milliseconds.
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
    /// Address of its switches.
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
