//! Refusals for overload, by what earlier requests really waited.
//!
//! Pattern: short questions at engines that generate for many requests at once. Their prompts wait for less than all the
//! work that is reported ahead of them.

mod common;

use std::time::Duration;

use daisychute_core::Role;
use daisychute_dispatch::{
    Action, Backlog, Endpoint, Event, PeerLoad, Prompt, PromptPart, Reason, RequestInfo, RequestKey,
};

use crate::common::{Front, HOST, SHORT};

/// Time from sending to the first output at an engine without other work: the prior of the cost model.
const OWN_TIME: Duration = Duration::from_millis(70);
/// Pending prefills that the engines report while the front learns; they allow no refusal.
const LIGHT_BACKLOG_MS: u64 = 120;
/// Pending prefills that exceed the latency objective of 300 ms.
const HEAVY_BACKLOG_MS: u64 = 400;

impl Front {
    /// A peer reports this backlog, of the priority of short prompts, at every engine.
    fn report_backlog(&mut self, ms: u64) {
        let pending_prefill = Backlog::of(0, Duration::from_millis(ms));
        let load = PeerLoad { requests: 1, pending_prefill, ..PeerLoad::default() };
        let engines = common::fleet().into_iter().filter(|it| it.stage == Some(Role::Decode));
        let loads = engines.map(|it| (it.name, load)).collect();
        self.handle(Event::PeerHeartbeat { peer: 1, loads, parts: Vec::new() });
    }

    /// Sends a short prompt behind this backlog. `None` if it is refused for overload.
    fn arrive_behind(&mut self, ms: u64) -> Option<RequestKey> {
        self.report_backlog(ms);
        let key = self.next_key();
        let mut request = RequestInfo::new(format!("id-{}", key.number()), HOST, SHORT);
        let parts = vec![PromptPart { key: key.number(), tokens: 383 }];
        request.prompt = Some(Prompt { parts, tokens: 383, max_output: 20 });
        let actions = self.handle(Event::arrived(key, request));
        let is_refused =
            |it: &Action| matches!(it, Action::Refuse { reason: Reason::Overload, .. });
        (!actions.iter().any(is_refused)).then_some(key)
    }

    /// Serves requests behind a light backlog, each of which waits for this share of it.
    fn serve_many(&mut self, waited_share: f64) {
        for _ in 0..200 {
            let key = self.arrive_behind(LIGHT_BACKLOG_MS).expect("the request is accepted");
            let wait = Duration::from_millis(LIGHT_BACKLOG_MS).mul_f64(waited_share);
            self.wait(OWN_TIME + wait);
            self.handle(Event::ResponseStarted { key });
            self.handle(Event::FirstOutput { key });
            self.handle(Event::Finished { key });
        }
    }
}

/// Whether a request is refused behind this backlog, after earlier ones waited for a share of theirs.
fn is_refused(backlog_ms: u64, waited_share: Option<f64>) -> bool {
    let generates = |it: &Endpoint| it.stage != Some(Role::Prefill);
    let mut front = Front::new(common::fleet().into_iter().filter(generates));
    if let Some(share) = waited_share {
        front.serve_many(share);
    }
    front.arrive_behind(backlog_ms).is_none()
}

macro_rules! refusals {
    ($($name:ident: $backlog_ms:expr, $waited_share:expr => $refused:expr,)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(is_refused($backlog_ms, $waited_share), $refused);
        }
    )*};
}

refusals! {
    light_backlog_is_accepted: LIGHT_BACKLOG_MS, None => false,
    heavy_backlog_is_refused_at_first: HEAVY_BACKLOG_MS, None => true,
    heavy_backlog_is_refused_if_requests_wait_for_all_of_it: HEAVY_BACKLOG_MS, Some(1.0) => true,
    heavy_backlog_is_accepted_if_requests_wait_for_a_little_of_it: HEAVY_BACKLOG_MS, Some(0.2) => false,
    overload_is_refused_however_little_requests_waited: 10 * HEAVY_BACKLOG_MS, Some(0.0) => true,
}
