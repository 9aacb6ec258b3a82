//! Section `[deployment]`: what holds for the whole deployment.

use daisychute_core::{Preference, Revision};

use crate::field::raw_section;
use crate::problem::Problem;
use crate::rule::{Choice, Number};

/// What a deployment may prefer.
pub(super) const PREFERENCES: &[(&str, Preference)] =
    &[("goodput", Preference::Goodput), ("few-role-changes", Preference::FewRoleChanges)];

raw_section! {
    /// Section `[deployment]` as it stands in the file.
    RawDeployment {
        prefer = "prefer",
        revision = "revision",
    }
}

impl RawDeployment {
    pub(super) fn preference(&self) -> Result<Preference, Problem> {
        self.prefer.or(Preference::default(), &Choice(PREFERENCES))
    }

    pub(super) fn base(&self) -> Result<Option<Revision>, Problem> {
        Ok(self.revision.optional(&Number)?.map(Revision::new))
    }
}
