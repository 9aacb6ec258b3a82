//! Section `[process]`: name and location of an entry or agent.

use daisychute_core::{DataCentreName, InstanceName, ProcessName, RegionName};

use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::Name;

raw_section! {
    /// Unchecked section `[process]`. `role` is checked together with the sections that depend on it.
    RawProcess {
        name = "name",
        role = "role",
        region = "region",
        data_centre = "data-centre",
        instance = "instance",
    }
}

/// Name and location of an entry or agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessSettings {
    /// Name of the process, unique within its region.
    pub name: ProcessName,
    /// Region that the process runs in.
    pub region: RegionName,
    /// Data centre that the process runs in.
    pub data_centre: DataCentreName,
    /// Instance that the process runs on.
    pub instance: InstanceName,
}

impl TryFrom<&RawProcess> for ProcessSettings {
    type Error = Problems;

    fn try_from(raw: &RawProcess) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let name = problems.record(raw.name.required(&Name::new()));
        let region = problems.record(raw.region.required(&Name::new()));
        let data_centre = problems.record(raw.data_centre.required(&Name::new()));
        let instance = problems.record(raw.instance.required(&Name::new()));
        match (name, region, data_centre, instance) {
            (Some(name), Some(region), Some(data_centre), Some(instance)) => {
                Ok(Self { name, region, data_centre, instance })
            }
            _ => Err(problems),
        }
    }
}
