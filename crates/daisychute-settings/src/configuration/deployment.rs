//! Section `[deployment]`: settings of the whole deployment.

use daisychute_core::{Preference, Revision};

use crate::field::raw_section;
use crate::problem::Problem;
use crate::rule::{Integer, OneOf};

/// Values of the key `prefer`.
pub(super) const PREFERENCES: &[(&str, Preference)] =
    &[("goodput", Preference::Goodput), ("few-role-changes", Preference::FewRoleChanges)];

raw_section! {
    /// Unchecked section `[deployment]`.
    RawDeployment {
        prefer = "prefer",
        revision = "revision",
    }
}

impl RawDeployment {
    pub(super) fn preference(&self) -> Result<Preference, Problem> {
        self.prefer.optional_or(Preference::default(), &OneOf(PREFERENCES))
    }

    pub(super) fn base(&self) -> Result<Option<Revision>, Problem> {
        Ok(self.revision.optional(&Integer)?.map(Revision::new))
    }
}
