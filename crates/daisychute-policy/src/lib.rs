//! Admission, choice of endpoint and role planning as pure functions on checked types.
