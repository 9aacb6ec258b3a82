//! Sections `[service NAME]`.

use daisychute_core::{ClassName, Route, RouteKind, Service, ServiceName};

use crate::field::{Field, raw_section};
use crate::problem::{Problem, Problems};
use crate::rule::{Name, RoutePaths};

raw_section! {
    /// A section `[service NAME]` as it stands in the file.
    RawService {
        repeatable = "repeatable",
        non_repeatable = "non-repeatable",
        class = "class",
    }
}

impl RawService {
    /// The routes are ordered by path.
    pub(super) fn check(&self, name: &ServiceName) -> Result<Service, Problems> {
        let mut problems = Problems::default();
        let class = problems.keep(self.class.optional(&Name::new())).flatten();
        let repeatable = problems.keep(routes(&self.repeatable, RouteKind::Repeatable, &class));
        let non_repeatable =
            problems.keep(routes(&self.non_repeatable, RouteKind::NonRepeatable, &class));
        let (Some(mut routes), Some(more), true) =
            (repeatable, non_repeatable, problems.is_empty())
        else {
            return Err(problems);
        };
        routes.extend(more);
        routes.sort_by(|a, b| a.path.cmp(&b.path));
        Ok(Service { name: name.clone(), routes })
    }
}

fn routes(
    field: &Field,
    kind: RouteKind,
    default: &Option<ClassName>,
) -> Result<Vec<Route>, Problem> {
    let paths = field.or(Vec::new(), &RoutePaths)?;
    let route = |(path, class): (String, Option<ClassName>)| {
        let class = class.or_else(|| default.clone());
        Route { path, kind, class }
    };
    Ok(paths.into_iter().map(route).collect())
}
