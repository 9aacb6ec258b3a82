//! `cargo xtask measure frames`: sizes of the heartbeat frames, which connections between entries and agents also carry
//! when no request is in flight.

use std::time::Duration;

use daisychute_core::{
    EndpointKind, EndpointRecord, EndpointState, EngineTarget, Incarnation, LoadReport, NameError,
    Revision, Role, Term,
};
use daisychute_proto::{Frame, Heartbeat, Revisions};

use crate::XtaskError;

/// Bytes of the WebSocket header of a server's message of up to 64 KiB.
const SERVER_HEADER_BYTES: usize = 4;
/// The same for a client's message, which also carries a mask of 4 bytes.
const CLIENT_HEADER_BYTES: usize = 8;
/// As long as the names in large deployments.
const ENDPOINT: &str = "clerk-lm-worker-0123";

pub(crate) fn run() -> Result<(), XtaskError> {
    let revisions = Revisions {
        configuration: Revision::new(200_000),
        plan: Revision::new(80_000),
        term: Term::new(900),
    };
    let from_entry = Heartbeat { seq: 1_000_000, revisions, load: None, endpoint: None };
    let from_agent =
        Heartbeat { load: Some(load()), endpoint: Some(record()?), ..from_entry.clone() };
    let unchanged = Heartbeat { endpoint: None, ..from_agent.clone() };
    print_size("heartbeat_from_entry", from_entry, CLIENT_HEADER_BYTES)?;
    print_size("heartbeat_from_agent", from_agent, SERVER_HEADER_BYTES)?;
    print_size("heartbeat_from_agent_without_record", unchanged, SERVER_HEADER_BYTES)
}

fn print_size(name: &str, heartbeat: Heartbeat, header_bytes: usize) -> Result<(), XtaskError> {
    let buf = Frame::from(heartbeat).encode()?;
    println!("{name} {} bytes", buf.len() + header_bytes);
    Ok(())
}

fn load() -> LoadReport {
    LoadReport {
        queued: 12,
        running: 48,
        queued_prompt_tokens: 90_000,
        pending_output_tokens: 30_000,
        wait: Duration::from_millis(350),
        prompt_token: Duration::from_micros(55),
        between_tokens: Duration::from_millis(31),
        age: Duration::ZERO,
    }
}

fn record() -> Result<EndpointRecord, NameError> {
    let target = EngineTarget {
        role: Role::Mixed,
        model: "clerk-lm".try_into()?,
        version: "2026-11-30".try_into()?,
        adapter: None,
    };
    Ok(EndpointRecord {
        endpoint: ENDPOINT.try_into()?,
        instance: ENDPOINT.try_into()?,
        data_centre: "hay-riad".try_into()?,
        kind: EndpointKind::Engine,
        agent: ([127, 0, 0, 1], 4_100).into(),
        incarnation: Incarnation::new(1_796_000_000_000_000),
        state: EndpointState::Live,
        target: Some(target),
    })
}
