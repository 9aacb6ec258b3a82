//! `docs/CALLERS.md` names the error codes and statuses of the code, and no others.

use std::collections::BTreeMap;

use daisychute_core::{Incarnation, NameError, Refusal, RefusalReason, RequestId, TenantName};
use daisychute_entry::callers::CallerError;
use daisychute_runtime::{BodyError, HeadTooLarge};

const PAGE: &str = include_str!("../../../docs/CALLERS.md");

const REASONS: [RefusalReason; 11] = [
    RefusalReason::Overloaded,
    RefusalReason::NoEndpoint,
    RefusalReason::Leaving,
    RefusalReason::Deadline,
    RefusalReason::EndpointLost,
    RefusalReason::BadAnswer,
    RefusalReason::Cancelled,
    RefusalReason::RetryBudget,
    RefusalReason::KeyReused,
    RefusalReason::PlatformDown,
    RefusalReason::MemoryBound,
];

/// Codes and statuses of the page's table.
fn documented() -> BTreeMap<String, u16> {
    let rows = PAGE.lines().skip_while(|it| !it.starts_with("| code |")).skip(2);
    let rows = rows.take_while(|it| it.starts_with('|'));
    rows.map(|row| {
        let cells: Vec<_> = row.split('|').map(|it| it.trim().trim_matches('`')).collect();
        (cells[1].to_owned(), cells[2].parse().expect("a status"))
    })
    .collect()
}

/// One error of each kind.
fn errors() -> Vec<CallerError> {
    let json = serde_json::from_str::<u8>("{").expect_err("no number");
    let mut errors = vec![
        CallerError::NoSuchPath,
        CallerError::NoSuchMethod,
        CallerError::NoConfiguration,
        CallerError::UnknownTenant,
        CallerError::ClassNotAllowed("desk".try_into().expect("a name")),
        CallerError::BadHeader { header: "x-daisychute-tenant", source: Some(name_error()) },
        CallerError::Head(HeadTooLarge { most: 1 }),
        CallerError::Body(BodyError::TooLarge { most: 1 }),
        CallerError::Body(BodyError::TooSlow),
        CallerError::Body(BodyError::Broken(String::new())),
        CallerError::Json(json),
        CallerError::BadField { field: "n", accepted: "1" },
        CallerError::NoSuchModel("other".to_owned()),
        CallerError::NoSuchService("other".to_owned()),
        CallerError::NoSuchRoute {
            service: "sign-feed".try_into().expect("a name"),
            path: "/other".to_owned(),
        },
        CallerError::Stopping,
    ];
    let id = RequestId::new(Incarnation::new(1), 1);
    let refused = |reason| CallerError::Refused { id, refusal: Refusal::not_run(reason) };
    errors.extend(REASONS.map(refused));
    errors
}

fn name_error() -> NameError {
    TenantName::try_from("a b").expect_err("no name")
}

/// Does not compile while [`errors`] or [`REASONS`] may lack a kind that the code has.
const fn is_listed(error: &CallerError) -> bool {
    match error {
        CallerError::NoSuchPath
        | CallerError::NoSuchMethod
        | CallerError::NoConfiguration
        | CallerError::UnknownTenant
        | CallerError::ClassNotAllowed(_)
        | CallerError::BadHeader { .. }
        | CallerError::Head(_)
        | CallerError::Body(
            BodyError::TooLarge { .. } | BodyError::TooSlow | BodyError::Broken(_),
        )
        | CallerError::Json(_)
        | CallerError::BadField { .. }
        | CallerError::NoSuchModel(_)
        | CallerError::NoSuchService(_)
        | CallerError::NoSuchRoute { .. }
        | CallerError::Stopping => true,
        CallerError::Refused { refusal, .. } => match refusal.reason {
            RefusalReason::Overloaded
            | RefusalReason::NoEndpoint
            | RefusalReason::Leaving
            | RefusalReason::Deadline
            | RefusalReason::EndpointLost
            | RefusalReason::BadAnswer
            | RefusalReason::Cancelled
            | RefusalReason::RetryBudget
            | RefusalReason::KeyReused
            | RefusalReason::PlatformDown
            | RefusalReason::MemoryBound => true,
        },
    }
}

#[test]
fn errors_are_those_of_the_code() {
    let errors = errors();
    assert!(errors.iter().all(is_listed));
    let in_code: BTreeMap<_, _> =
        errors.iter().map(|it| (it.code().to_owned(), it.status().as_u16())).collect();
    assert_eq!(in_code.len(), errors.len(), "two errors have one code");
    assert_eq!(documented(), in_code);
}
