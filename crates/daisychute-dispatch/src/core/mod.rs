//! The decisions on requests.

pub(crate) mod action;
pub(crate) mod attempt;
pub(crate) mod dispatcher;
pub(crate) mod ending;
pub(crate) mod event;
pub(crate) mod placing;
pub(crate) mod reason;
pub(crate) mod request_info;
