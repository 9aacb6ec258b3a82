//! The deployment that a trace is for.

use std::time::Duration;

use clap::ValueEnum;
use daisychute_core::{
    DataCentreName, EndpointName, ModelName, NameError, Preference, RegionName, ServiceName,
};
use serde::{Deserialize, Serialize};

/// Name of a modelled deployment.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, ValueEnum,
)]
#[serde(rename_all = "kebab-case")]
pub enum SampleDeployment {
    /// The street signs of Rabat-Salé.
    RabatSale,
    /// The statement matching of the Budapest region.
    Budapest,
}

impl SampleDeployment {
    /// All deployments.
    pub const ALL: [Self; 2] = [Self::RabatSale, Self::Budapest];

    /// Name of the deployment in files, in tables and on the command line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RabatSale => "rabat-sale",
            Self::Budapest => "budapest",
        }
    }
}

/// Name and data centre of an endpoint, which is an engine or a service worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLocation {
    /// Unique name of the endpoint.
    pub endpoint: EndpointName,
    /// Data centre that the endpoint runs in.
    pub data_centre: DataCentreName,
}

/// Speed and sizes of the engines. Times are in microseconds where no other unit is given.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineSpeed {
    /// Fixed time of a step.
    pub step: f64,
    /// Additional time for each uncached prompt token in a step.
    pub prompt_token: f64,
    /// Additional time for each stream that gets a token in a step.
    pub stream: f64,
    /// Additional time for each 1,000 tokens of context of those streams.
    pub context: f64,
    /// Maximum prompt tokens in one step of an engine that only prefills.
    pub prefill_chunk: u32,
    /// Maximum prompt tokens in one step of an engine that also decodes.
    pub mixed_chunk: u32,
    /// Maximum number of streams that get a token in one step.
    pub streams: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u32,
    /// Rate of KV cache transfers within a data centre, in tokens per second.
    pub transfer_tokens: f64,
    /// Rate of KV cache transfers between data centres, in tokens per second.
    pub far_transfer_tokens: f64,
    /// Duration of a call of the plain service.
    pub call: f64,
    /// Duration of a role change once the engine is drained, in milliseconds.
    pub role_change_ms: u64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            step: 10_000.0,
            prompt_token: 100.0,
            stream: 300.0,
            context: 40.0,
            prefill_chunk: 2_048,
            mixed_chunk: 512,
            streams: 64,
            cache_tokens: 40_000,
            transfer_tokens: 40_000.0,
            far_transfer_tokens: 10_000.0,
            call: 8_000.0,
            role_change_ms: 4_000,
        }
    }
}

impl EngineSpeed {
    /// Minimum work for this many uncached prompt and output tokens, in microseconds of an engine: every step has a
    /// full batch, and prompt tokens are prefilled in steps that run anyway.
    #[must_use]
    pub fn min_work(&self, uncached_tokens: u32, output_tokens: u32) -> f64 {
        let output = self.stream + self.step / f64::from(self.streams);
        f64::from(uncached_tokens) * self.prompt_token + f64::from(output_tokens) * output
    }

    /// Duration of a role change once the engine is drained.
    #[must_use]
    pub fn role_change(&self) -> Duration {
        Duration::from_millis(self.role_change_ms)
    }
}

/// A deployment with its engines, service workers and data centres.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    /// Which of the modelled deployments this is.
    pub name: SampleDeployment,
    /// Region that all its data centres are in.
    pub region: RegionName,
    /// Whether the role planner weighs goodput or few role changes more.
    pub preference: Preference,
    /// Model that all engines serve.
    pub model: ModelName,
    /// Endpoints of the engines; consecutive ones are in different data centres.
    pub engines: Vec<EndpointLocation>,
    /// Name of the plain service.
    pub service: ServiceName,
    /// Endpoints of the workers of the plain service.
    pub workers: Vec<EndpointLocation>,
    /// Data centres. Entry `i` of a replay runs in the one with index `i` modulo their number.
    pub data_centres: Vec<DataCentreName>,
    /// One-way network latency between two data centres, in microseconds.
    pub distance_us: u64,
    /// Speed of the engines and of the service workers.
    pub speed: EngineSpeed,
}

/// Names that a deployment is built from.
struct Names {
    region: &'static str,
    model: &'static str,
    service: &'static str,
    data_centres: [&'static str; 4],
}

const RABAT_SALE: Names = Names {
    region: "morocco",
    model: "clerk-lm",
    service: "sign-feed",
    data_centres: ["agdal", "hassan", "tabriquet", "hay-riad"],
};
const BUDAPEST: Names = Names {
    region: "hungary",
    model: "recon-llm",
    service: "ledger-api",
    data_centres: ["bud-a", "bud-b", "gyor-a", "kecs-a"],
};

impl Deployment {
    const RABAT_SALE_ENGINES: usize = 12;
    const BUDAPEST_ENGINES: usize = 9;
    const WORKERS: usize = 4;

    /// Builds the deployment of this name.
    ///
    /// # Errors
    ///
    /// A name is malformed.
    pub fn named(name: SampleDeployment) -> Result<Self, NameError> {
        let (names, engines, distance_us, preference) = match name {
            SampleDeployment::RabatSale => {
                (RABAT_SALE, Self::RABAT_SALE_ENGINES, 1_500, Preference::Goodput)
            }
            SampleDeployment::Budapest => {
                (BUDAPEST, Self::BUDAPEST_ENGINES, 1_000, Preference::FewRoleChanges)
            }
        };
        let data_centres: Vec<DataCentreName> = names
            .data_centres
            .into_iter()
            .map(DataCentreName::try_from)
            .collect::<Result<_, _>>()?;
        Ok(Self {
            name,
            region: RegionName::try_from(names.region)?,
            preference,
            model: ModelName::try_from(names.model)?,
            engines: endpoint_locations(names.model, engines, &data_centres)?,
            service: ServiceName::try_from(names.service)?,
            workers: endpoint_locations(names.service, Self::WORKERS, &data_centres)?,
            data_centres,
            distance_us,
            speed: EngineSpeed::default(),
        })
    }

    /// One-way network latency between two data centres; zero within one.
    #[must_use]
    pub fn distance(&self, from: &DataCentreName, to: &DataCentreName) -> Duration {
        if from == to { Duration::ZERO } else { Duration::from_micros(self.distance_us) }
    }
}

/// Endpoints named `prefix-1`, `prefix-2` and so on, assigned to the data centres in round-robin order.
fn endpoint_locations(
    prefix: &str,
    count: usize,
    data_centres: &[DataCentreName],
) -> Result<Vec<EndpointLocation>, NameError> {
    let location = |i: usize| {
        let endpoint = EndpointName::try_from(format!("{prefix}-{}", i + 1))?;
        Ok(EndpointLocation { endpoint, data_centre: data_centres[i % data_centres.len()].clone() })
    };
    (0..count).map(location).collect()
}
