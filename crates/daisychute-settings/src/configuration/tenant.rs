//! Sections `[tenant NAME]`.

use std::collections::BTreeSet;

use daisychute_core::{ClassName, Tenant, TenantName};

use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::{Name, Names, Token};

raw_section! {
    /// An unchecked section `[tenant NAME]`.
    RawTenant {
        token = "token",
        classes = "classes",
        default_class = "default-class",
    }
}

impl RawTenant {
    pub(super) fn check(&self, name: &TenantName) -> Result<Tenant, Problems> {
        let mut problems = Problems::default();
        let token = problems.record(self.token.optional(&Token));
        let classes = problems.record(self.classes.required(&Names::<ClassName>::new()));
        let default_class = problems.record(self.default_class.optional(&Name::new()));
        let (Some(token), Some(classes), Some(default_class)) = (token, classes, default_class)
        else {
            return Err(problems);
        };
        // `Names` rejects an empty list, so there is a first class.
        let default_class = default_class.unwrap_or_else(|| classes[0].clone());
        let classes = BTreeSet::from_iter(classes);
        Ok(Tenant { name: name.clone(), token, default_class, classes })
    }
}
