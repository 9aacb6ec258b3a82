//! Runs a review case: starts fronts as separate processes before stand-ins, injects one disruption, and checks a rule.
//!
//! Only the standard library is used, so that the program builds with `rustc` alone. The stand-ins speak the protocol of
//! the users' pages: the platform's store, workers, and clients that use a new connection for each request.

mod cases;
mod front;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::process::exit;

/// Exit status of a case that could not run.
const COULD_NOT_RUN: i32 = 2;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &args[..] else {
        eprintln!("usage: harness CASE ROOT FOLDER");
        exit(COULD_NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let cx = cases::Context { root: root.into(), folder: folder.into(), trouble };
    match cases::run(case, &cx) {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(COULD_NOT_RUN);
        }
    }
}
