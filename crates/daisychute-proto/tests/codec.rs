//! Frames survive encoding and decoding, and malformed bytes are rejected without harm.

use std::time::Duration;

use bytes::Bytes;
use daisychute_core::{Incarnation, Precedence, RequestId};
use daisychute_proto::{
    Call, Cancel, Chunk, DecodeError, Frame, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION, Probe,
    ProcessRole, Start, Work,
};
use quickcheck::quickcheck;
use serde::Serialize;

const CANCEL: u8 = 15;

/// A cancel message as a later version may send it, with an additional field.
#[derive(Serialize)]
struct LaterCancel {
    id: RequestId,
    later: Vec<u32>,
}

fn id() -> RequestId {
    RequestId::new(Incarnation::new(0xfeed), 9)
}

fn start() -> Start {
    let call = Call {
        service: "sign-feed".try_into().unwrap(),
        method: "POST".to_owned(),
        path: "/counts".to_owned(),
        content_type: Some("application/json".to_owned()),
        body: Bytes::from_static(b"{\"gate\":4}"),
        key: Some("k-1".to_owned()),
        repeatable: false,
    };
    Start {
        id: id(),
        attempt: 1,
        tenant: "signs".try_into().unwrap(),
        class: "counts".try_into().unwrap(),
        precedence: Precedence::First,
        deadline: Duration::from_secs(5),
        first_token: None,
        between_tokens: None,
        window: 65_536,
        work: Work::Call(call),
    }
}

macro_rules! round_trips {
    ($($name:ident: $frame:expr,)*) => {$(
        #[test]
        fn $name() {
            let frame = Frame::from($frame);
            assert_eq!(Frame::decode(&frame.encode().unwrap()), Ok(frame));
        }
    )*};
}

round_trips! {
    cancel_round_trips: Cancel { id: id() },
    start_round_trips: start(),
    chunk_round_trips: Chunk { id: id(), attempt: 2, offset: 40, tokens: 1, data: Bytes::from_static(b" free") },
    probe_round_trips: Probe { seq: 3, model: None, blocks: vec![1, 2, u64::MAX] },
}

macro_rules! refusals {
    ($($name:ident: $bytes:expr => $pattern:pat,)*) => {$(
        #[test]
        fn $name() {
            let bytes: Vec<u8> = $bytes;
            let decoded = Frame::decode(&bytes);
            assert!(matches!(decoded, Err($pattern)), "{decoded:?}");
        }
    )*};
}

refusals! {
    empty_is_refused: vec![] => DecodeError::Empty,
    unknown_kind_is_named: vec![250, 0xa0] => DecodeError::UnknownKind { kind: 250 },
    kind_alone_is_malformed: vec![CANCEL] => DecodeError::Malformed { kind: CANCEL, .. },
    wrong_message_is_malformed: vec![CANCEL, 0xa0] => DecodeError::Malformed { kind: CANCEL, .. },
    trailing_bytes_are_malformed: with_trailing_byte() => DecodeError::Malformed { kind: CANCEL, .. },
    oversized_is_refused: vec![CANCEL; MAX_FRAME_BYTES + 1] => DecodeError::TooLarge { .. },
    claimed_length_allocates_nothing: vec![CANCEL, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]
        => DecodeError::Malformed { kind: CANCEL, .. },
    deep_nesting_is_refused: deeply_nested() => DecodeError::Malformed { kind: CANCEL, .. },
}

fn with_trailing_byte() -> Vec<u8> {
    let mut bytes = Frame::from(Cancel { id: id() }).encode().unwrap().to_vec();
    bytes.push(0);
    bytes
}

fn deeply_nested() -> Vec<u8> {
    let mut bytes = vec![0x81; 100_000];
    bytes[0] = CANCEL;
    bytes
}

#[test]
fn unknown_field_is_ignored() {
    let mut bytes = vec![CANCEL];
    ciborium::into_writer(&LaterCancel { id: id(), later: vec![1, 2] }, &mut bytes).unwrap();
    assert_eq!(Frame::decode(&bytes), Ok(Frame::from(Cancel { id: id() })));
}

#[test]
fn common_version_is_found_only_in_overlapping_ranges() {
    let hello = Hello {
        version: 3,
        min_version: 2,
        process: "entry-1".try_into().unwrap(),
        incarnation: Incarnation::new(1),
        role: ProcessRole::Entry,
        data_centre: "agdal".try_into().unwrap(),
        region: "morocco".try_into().unwrap(),
        endpoint: None,
        revisions: daisychute_proto::Revisions::default(),
    };
    assert_eq!(hello.common_version(2, 1), Some(2));
    assert_eq!(hello.common_version(PROTOCOL_VERSION, PROTOCOL_VERSION), None);
}

quickcheck! {
    fn decoder_never_panics(bytes: Vec<u8>) -> bool {
        let _ = Frame::decode(&bytes);
        true
    }

    fn damaged_start_never_panics(at: usize, to: u8) -> bool {
        let mut bytes = Frame::from(start()).encode().unwrap().to_vec();
        let at = at % bytes.len();
        bytes[at] = to;
        let _ = Frame::decode(&bytes);
        bytes.truncate(at);
        Frame::decode(&bytes).is_err()
    }
}
