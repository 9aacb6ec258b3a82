//! Checks that `docs/CALLERS.md` lists exactly the error codes and statuses of the code.

use std::collections::BTreeMap;

use daisychute_core::{Incarnation, NameError, Refusal, RefusalReason, RequestId, TenantName};
use daisychute_entry::clients::ClientError;
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

/// Parses the codes and statuses from the page's table.
fn documented() -> BTreeMap<String, u16> {
    let rows = PAGE.lines().skip_while(|it| !it.starts_with("| code |")).skip(2);
    let rows = rows.take_while(|it| it.starts_with('|'));
    rows.map(|row| {
        let cells: Vec<_> = row.split('|').map(|it| it.trim().trim_matches('`')).collect();
        (cells[1].to_owned(), cells[2].parse().expect("a status"))
    })
    .collect()
}

/// Returns one error of each code.
fn errors() -> Vec<ClientError> {
    let json = serde_json::from_str::<u8>("{").expect_err("no number");
    let mut errors = vec![
        ClientError::NoSuchPath,
        ClientError::NoSuchMethod,
        ClientError::NoConfiguration,
        ClientError::UnknownTenant,
        ClientError::ClassNotAllowed("desk".try_into().expect("a name")),
        ClientError::BadHeader { header: "x-daisychute-tenant", source: Some(name_error()) },
        ClientError::Head(HeadTooLarge { max_bytes: 1 }),
        ClientError::Body(BodyError::TooLarge { max_bytes: 1 }),
        ClientError::Body(BodyError::TooSlow),
        ClientError::Body(BodyError::Broken(String::new())),
        ClientError::Json(json),
        ClientError::BadField { field: "n", accepted: "1" },
        ClientError::NoSuchModel("other".to_owned()),
        ClientError::NoSuchService("other".to_owned()),
        ClientError::NoSuchRoute {
            service: "sign-feed".try_into().expect("a name"),
            path: "/other".to_owned(),
        },
        ClientError::Stopping,
    ];
    let id = RequestId::new(Incarnation::new(1), 1);
    let refused = |reason| ClientError::Refused { id, refusal: Refusal::not_run(reason) };
    errors.extend(REASONS.map(refused));
    errors
}

fn name_error() -> NameError {
    TenantName::try_from("a b").expect_err("no name")
}

/// Fails to compile if an error variant or refusal reason is added, as a reminder to add it to [`errors`] or
/// [`REASONS`].
const fn is_listed(error: &ClientError) -> bool {
    match error {
        ClientError::NoSuchPath
        | ClientError::NoSuchMethod
        | ClientError::NoConfiguration
        | ClientError::UnknownTenant
        | ClientError::ClassNotAllowed(_)
        | ClientError::BadHeader { .. }
        | ClientError::Head(_)
        | ClientError::Body(
            BodyError::TooLarge { .. } | BodyError::TooSlow | BodyError::Broken(_),
        )
        | ClientError::Json(_)
        | ClientError::BadField { .. }
        | ClientError::NoSuchModel(_)
        | ClientError::NoSuchService(_)
        | ClientError::NoSuchRoute { .. }
        | ClientError::Stopping => true,
        ClientError::Refused { refusal, .. } => match refusal.reason {
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
    assert_eq!(in_code.len(), errors.len(), "two errors have the same code");
    assert_eq!(documented(), in_code);
}
