//! The decisions on requests.

pub(crate) mod action;
pub(crate) mod attempt;
pub(crate) mod dispatcher;
pub(crate) mod event;
pub(crate) mod reason;
pub(crate) mod request_facts;
