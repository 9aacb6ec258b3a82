//! The deployment that a trace was made for.

use std::time::Duration;

use clap::ValueEnum;
use daisychute_core::{
    DataCentreName, EndpointName, ModelName, NameError, Preference, RegionName, ServiceName,
};
use serde::{Deserialize, Serialize};

/// Which deployment.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, ValueEnum,
)]
#[serde(rename_all = "kebab-case")]
pub enum DeploymentName {
    /// The street signs of Rabat-Salé.
    RabatSale,
    /// The statement matching of the Budapest region.
    Budapest,
}

impl DeploymentName {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::RabatSale, Self::Budapest];

    /// Its name in files and tables.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RabatSale => "rabat-sale",
            Self::Budapest => "budapest",
        }
    }
}

/// An endpoint and where it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSite {
    /// Its name.
    pub endpoint: EndpointName,
    /// Where it is.
    pub data_centre: DataCentreName,
}

/// How fast the engines are, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineSpeed {
    /// Each step of the batch.
    pub step: f64,
    /// Each uncached prompt token in a step.
    pub prompt_token: f64,
    /// Each stream that gets a token in a step.
    pub stream: f64,
    /// Each 1,000 tokens of context of those streams.
    pub context: f64,
    /// Prompt tokens in one step of an engine that only computes prompts.
    pub prefill_chunk: u32,
    /// Prompt tokens in one step of an engine that also decodes.
    pub mixed_chunk: u32,
    /// The greatest number of streams.
    pub streams: u32,
    /// Tokens of finished prompts that the prefix cache holds.
    pub cache_tokens: u32,
    /// Tokens of KV cache that move between two engines of a data centre in a second.
    pub transfer_tokens: f64,
    /// The same between two data centres.
    pub far_transfer_tokens: f64,
    /// One call of a plain service.
    pub call: f64,
    /// A change of role after the engine is empty, in milliseconds.
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
    /// The least microseconds of an engine for this many uncached prompt and output tokens: a full batch in each
    /// step, and prompt tokens that ride along in steps that are made anyway.
    #[must_use]
    pub fn least_work(&self, uncached_tokens: u32, output_tokens: u32) -> f64 {
        let output = self.stream + self.step / f64::from(self.streams);
        f64::from(uncached_tokens) * self.prompt_token + f64::from(output_tokens) * output
    }

    /// A change of role.
    #[must_use]
    pub fn role_change(&self) -> Duration {
        Duration::from_millis(self.role_change_ms)
    }
}

/// A deployment at today's size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    /// Which.
    pub name: DeploymentName,
    /// Its region.
    pub region: RegionName,
    /// What it weighs more.
    pub preference: Preference,
    /// The model of all its engines.
    pub model: ModelName,
    /// Its engines.
    pub engines: Vec<EngineSite>,
    /// Its plain service.
    pub service: ServiceName,
    /// The workers of the service.
    pub workers: Vec<EngineSite>,
    /// Data centres, in the order of the entries that they hold.
    pub data_centres: Vec<DataCentreName>,
    /// One way between two data centres, in microseconds.
    pub distance_us: u64,
    /// How fast its engines are.
    pub speed: EngineSpeed,
}

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

    /// The deployment of this name.
    ///
    /// # Errors
    ///
    /// A name is malformed.
    pub fn today(name: DeploymentName) -> Result<Self, NameError> {
        let (names, engines, distance_us, preference) = match name {
            DeploymentName::RabatSale => {
                (RABAT_SALE, Self::RABAT_SALE_ENGINES, 1_500, Preference::Goodput)
            }
            DeploymentName::Budapest => {
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
            engines: sites(names.model, engines, &data_centres)?,
            service: ServiceName::try_from(names.service)?,
            workers: sites(names.service, Self::WORKERS, &data_centres)?,
            data_centres,
            distance_us,
            speed: EngineSpeed::default(),
        })
    }

    /// One way between two data centres.
    #[must_use]
    pub fn distance(&self, from: &DataCentreName, to: &DataCentreName) -> Duration {
        if from == to { Duration::ZERO } else { Duration::from_micros(self.distance_us) }
    }
}

fn sites(
    prefix: &str,
    count: usize,
    data_centres: &[DataCentreName],
) -> Result<Vec<EngineSite>, NameError> {
    let site = |i: usize| {
        let endpoint = EndpointName::try_from(format!("{prefix}-{}", i + 1))?;
        Ok(EngineSite { endpoint, data_centre: data_centres[i % data_centres.len()].clone() })
    };
    (0..count).map(site).collect()
}
