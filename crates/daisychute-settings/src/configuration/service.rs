//! Sections `[service NAME]`.

use daisychute_core::{ClassName, Route, RouteKind, Service, ServiceName};

use crate::field::{Field, raw_section};
use crate::problem::{Problem, Problems};
use crate::rule::{Name, RoutePaths};

raw_section! {
    /// An unchecked section `[service NAME]`.
    RawService {
        repeatable = "repeatable",
        non_repeatable = "non-repeatable",
        class = "class",
    }
}

impl RawService {
    /// Returns the checked service, with its routes sorted by path.
    pub(super) fn check(&self, name: &ServiceName) -> Result<Service, Problems> {
        let mut problems = Problems::default();
        let class = problems.record(self.class.optional(&Name::new())).flatten();
        let repeatable = problems.record(routes(&self.repeatable, RouteKind::Repeatable, &class));
        let non_repeatable =
            problems.record(routes(&self.non_repeatable, RouteKind::NonRepeatable, &class));
        let (Some(mut routes), Some(non_repeatable), true) =
            (repeatable, non_repeatable, problems.is_empty())
        else {
            return Err(problems);
        };
        routes.extend(non_repeatable);
        routes.sort_by(|a, b| a.path.cmp(&b.path));
        Ok(Service { name: name.clone(), routes })
    }
}

fn routes(
    field: &Field,
    kind: RouteKind,
    default_class: &Option<ClassName>,
) -> Result<Vec<Route>, Problem> {
    let paths = field.optional_or(Vec::new(), &RoutePaths)?;
    let to_route = |(path, class): (String, Option<ClassName>)| {
        let class = class.or_else(|| default_class.clone());
        Route { path, kind, class }
    };
    Ok(paths.into_iter().map(to_route).collect())
}
