//! Section `[process]`: who this process is and where it runs.

use daisychute_core::{DataCentreName, InstanceName, ProcessName, RegionName};

use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::Name;

raw_section! {
    /// Section `[process]` as it stands in the file. The role is checked with the sections that depend on it.
    RawProcess {
        name = "name",
        role = "role",
        region = "region",
        data_centre = "data-centre",
        instance = "instance",
    }
}

/// Who this process is and where it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessSettings {
    /// Its name, unique in its region.
    pub name: ProcessName,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The instance that it runs on.
    pub instance: InstanceName,
}

impl TryFrom<&RawProcess> for ProcessSettings {
    type Error = Problems;

    fn try_from(raw: &RawProcess) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let name = problems.keep(raw.name.required(&Name::new()));
        let region = problems.keep(raw.region.required(&Name::new()));
        let data_centre = problems.keep(raw.data_centre.required(&Name::new()));
        let instance = problems.keep(raw.instance.required(&Name::new()));
        match (name, region, data_centre, instance) {
            (Some(name), Some(region), Some(data_centre), Some(instance)) => {
                Ok(Self { name, region, data_centre, instance })
            }
            _ => Err(problems),
        }
    }
}
