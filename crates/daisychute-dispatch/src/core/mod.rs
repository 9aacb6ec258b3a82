//! State machine of the dispatcher: its events, its actions and the state per request.

pub(crate) mod action;
pub(crate) mod dispatcher;
pub(crate) mod ending;
pub(crate) mod event;
pub(crate) mod fairness;
pub(crate) mod limits;
pub(crate) mod answered_requests;
pub(crate) mod cause;
pub(crate) mod contact;
pub(crate) mod crash_news;
pub(crate) mod crash_quarantine;
pub(crate) mod crash_record;
pub(crate) mod crash_records;
pub(crate) mod quarantine;
pub(crate) mod placement;
pub(crate) mod preview;
pub(crate) mod reason;
pub(crate) mod request_info;
pub(crate) mod request_state;
pub(crate) mod stream_origins;
pub(crate) mod version_records;
mod crashes;
mod notices;
pub(crate) mod overdue;
mod kv_cache;
mod resumption;
mod shutdown;
