//! Streams of workers that are processes of their own, while workers and fronts end and are replaced: whether each reaches
//! its client in order, from one software version, and looks whole only if it is.

mod check;
mod clients;
mod deadlines;
mod departures;
mod disruption;
mod ends;
mod rough;
mod run;
mod tails;

pub(crate) use check::Counts;
pub(crate) use run::run;
