//! Sections `[tenant NAME]`.

use std::collections::BTreeSet;

use daisychute_core::{ClassName, Tenant, TenantName};

use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::{Name, Names, Token};

raw_section! {
    /// A section `[tenant NAME]` as it stands in the file.
    RawTenant {
        token = "token",
        classes = "classes",
        default_class = "default-class",
    }
}

impl RawTenant {
    pub(super) fn check(&self, name: &TenantName) -> Result<Tenant, Problems> {
        let mut problems = Problems::default();
        let token = problems.keep(self.token.optional(&Token));
        let classes = problems.keep(self.classes.required(&Names::<ClassName>::new()));
        let default_class = problems.keep(self.default_class.optional(&Name::new()));
        let (Some(token), Some(classes), Some(default_class)) = (token, classes, default_class)
        else {
            return Err(problems);
        };
        // `Names` accepts no empty list.
        let default_class = default_class.unwrap_or_else(|| classes[0].clone());
        let classes = BTreeSet::from_iter(classes);
        Ok(Tenant { name: name.clone(), token, default_class, classes })
    }
}
