//! `docs/INNER-PROTOCOL.md` lists exactly the frames, versions and reasons of the code.

use std::collections::BTreeMap;

use daisychute_proto::{DecodeError, Frame, GoodbyeReason, MAX_FRAME_BYTES, PROTOCOL_VERSION};

const PAGE: &str = include_str!("../../../docs/INNER-PROTOCOL.md");

/// Returns the first two cells of each row of the table with this header.
fn table(header: &str) -> Vec<(String, String)> {
    let rows = PAGE.lines().skip_while(|it| !it.starts_with(header)).skip(2);
    let rows = rows.take_while(|it| it.starts_with('|'));
    rows.map(|row| {
        let cells: Vec<_> = row.split('|').map(|it| it.trim().trim_matches('`')).collect();
        (cells[1].to_owned(), cells[2].to_owned())
    })
    .collect()
}

/// Returns the kinds that the decoder knows.
fn known_kinds() -> Vec<u8> {
    let is_known = |kind: &u8| {
        let decoded = Frame::decode(&[*kind]);
        !matches!(decoded, Err(DecodeError::UnknownKind { .. }))
    };
    (0..=u8::MAX).filter(is_known).collect()
}

#[test]
fn frames_are_those_of_the_code() {
    let documented: BTreeMap<u8, String> = table("| kind | frame |")
        .into_iter()
        .map(|(kind, name)| (kind.parse().expect("a number"), name))
        .collect();
    let in_code: BTreeMap<u8, String> =
        Frame::KINDS.iter().map(|(kind, name)| (*kind, (*name).to_owned())).collect();
    assert_eq!(documented, in_code);
    assert_eq!(known_kinds(), in_code.into_keys().collect::<Vec<_>>());
}

#[test]
fn version_and_size_are_those_of_the_code() {
    assert!(PAGE.contains(&format!("The present version is {PROTOCOL_VERSION}.")));
    assert!(PAGE.contains(&format!("at most {MAX_FRAME_BYTES} bytes")));
}

#[test]
fn reasons_are_those_of_the_code() {
    use GoodbyeReason::{Idle, Leaving, Malformed, Replaced, Version};
    let documented: Vec<_> = table("| reason |").into_iter().map(|(reason, _)| reason).collect();
    let in_code = [Version, Leaving, Idle, Malformed, Replaced].map(|it| format!("{it:?}"));
    assert_eq!(documented, in_code);
}
