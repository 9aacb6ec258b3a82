//! Requests that may end the endpoints which run them.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Time;

use crate::core::crash_quarantine::{CrashAdmission, CrashQuarantine, Soundness};
use crate::core::crash_record::EndpointEnd;
use crate::core::request_state::InFlightAttempt;
use crate::{
    Action, Cause, CrashNews, Dispatcher, Quarantine, Reason, RequestKey, SendFailure, Suspect,
};

/// An endpoint that ends later than this after the first output of a request didn't end under that request.
const BEGINNING: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Returns the quarantine of the first of these causes that is quarantined.
    #[must_use]
    pub fn quarantine(
        &self,
        now: Time,
        causes: impl IntoIterator<Item = Cause>,
    ) -> Option<Quarantine> {
        self.crash_quarantine.active(now, causes)
    }

    /// Returns the number of prompt parts that are quarantined.
    #[must_use]
    pub fn quarantined_parts(&self, now: Time) -> usize {
        let active = self.crash_quarantine.all_active(now);
        active.filter(|it| matches!(it.cause, Cause::Part(_))).count()
    }

    /// Returns the number of requests that are quarantined.
    #[must_use]
    pub fn quarantined_requests(&self, now: Time) -> usize {
        let active = self.crash_quarantine.all_active(now);
        active.filter(|it| matches!(it.cause, Cause::Request(_))).count()
    }

    /// Returns the quarantines that last longest, at most `limit`.
    #[must_use]
    pub fn quarantines(&self, now: Time, limit: usize) -> Vec<Quarantine> {
        let mut active: Vec<_> = self.crash_quarantine.all_active(now).collect();
        active.sort_unstable_by_key(|it| (Reverse(it.until), it.cause));
        active.truncate(limit);
        active
    }

    /// Ends a request that is quarantined, or has a quarantined prompt part. Returns whether it was ended.
    ///
    /// Asked before each send, as the quarantine may begin while a prompt is prefilled or a retry is due.
    pub(crate) fn end_quarantined(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.decide_quarantines(now, actions);
        let Some(state) = self.requests.get_mut(&key) else { return false };
        match self.crash_quarantine.admit(now, state.request.causes(), state.trial_of) {
            CrashAdmission::Admitted => false,
            CrashAdmission::Trial(quarantine) => {
                state.trial_of = Some(quarantine.cause);
                let news = CrashNews::Quarantined(quarantine);
                actions.push(Action::AnnounceCrashNews { news });
                false
            }
            CrashAdmission::Refused(quarantine) => {
                let retry_after = quarantine.until.since(now);
                self.fail_or_refuse_for(key, Reason::Quarantined, retry_after, actions);
                true
            }
        }
    }

    /// Records under which request an endpoint ended, and tells the other fronts.
    pub(crate) fn record_endpoint_end(
        &mut self,
        now: Time,
        key: RequestKey,
        sent: &InFlightAttempt,
        failure: SendFailure,
        actions: &mut Vec<Action>,
    ) {
        let begun = matches!(failure, SendFailure::MidAnswer { .. });
        if !begun && failure != SendFailure::NoAnswer {
            return;
        }
        let Some(state) = self.requests.get_mut(&key) else { return };
        if state.first_output_at.is_some_and(|it| now.since(it) > BEGINNING) {
            return;
        }
        // The trial is over: another attempt would be a second one.
        state.trial_of = None;
        let Some(incarnation) = self.fleet.incarnation(sent.endpoint) else { return };
        let end = EndpointEnd { endpoint: incarnation.id(), at: now, begun };
        let request = state.request.fingerprint.map(Cause::Request);
        let parts = self.crash_quarantine.suspects(state.request.shared_parts());
        let request = self.crash_quarantine.suspects(request.into_iter());
        for suspects in [parts, request] {
            if !suspects.is_empty() {
                self.record_own_end(now, end, suspects, actions);
            }
        }
    }

    fn record_own_end(
        &mut self,
        now: Time,
        end: EndpointEnd,
        suspects: Arc<[Suspect]>,
        actions: &mut Vec<Action>,
    ) {
        let EndpointEnd { endpoint, at, begun } = end;
        let verdicts = self.crash_quarantine.record_end(now, end, &suspects, false);
        let news = CrashNews::EndpointEnded { endpoint, suspects, begun, at };
        actions.push(Action::AnnounceCrashNews { news });
        push_verdicts(verdicts, actions);
    }

    /// Quarantines the prompt parts that the ends of endpoints speak against, if a verdict is due.
    pub(crate) fn decide_quarantines(&mut self, now: Time, actions: &mut Vec<Action>) {
        push_verdicts(self.crash_quarantine.decide(now), actions);
    }

    /// Records that a request and its prompt parts don't end endpoints, since it was answered completely.
    pub(crate) fn record_sound_request(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&key).map(|it| &it.request) else { return };
        let parts = request.shared_parts().take(CrashQuarantine::MAX_SUSPECTS);
        for cause in parts.chain(request.fingerprint.map(Cause::Request)) {
            let soundness = self.crash_quarantine.record_sound(now, cause, now);
            if soundness != Soundness::Known {
                let news = CrashNews::Sound { cause, at: now };
                actions.push(Action::AnnounceCrashNews { news });
            }
            if soundness == Soundness::Released {
                actions.push(Action::RecordRelease { cause, by_peer: false });
            }
        }
    }

    /// Records what other fronts told about endpoints that end.
    pub(crate) fn crash_news_reported(
        &mut self,
        now: Time,
        news: Vec<CrashNews>,
        actions: &mut Vec<Action>,
    ) {
        for it in news {
            match it {
                CrashNews::EndpointEnded { endpoint, suspects, begun, at } => {
                    let end = EndpointEnd { endpoint, at, begun };
                    self.end_reported(now, end, &suspects, actions);
                }
                CrashNews::Quarantined(quarantine) => {
                    if self.crash_quarantine.adopt(now, quarantine) {
                        actions.push(Action::RecordQuarantine { quarantine, by_peer: true });
                    }
                }
                CrashNews::Sound { cause, at } => {
                    let soundness = self.crash_quarantine.record_sound(now, cause, at);
                    if soundness == Soundness::Released {
                        actions.push(Action::RecordRelease { cause, by_peer: true });
                    }
                }
            }
        }
    }

    fn end_reported(
        &mut self,
        now: Time,
        end: EndpointEnd,
        suspects: &[Suspect],
        actions: &mut Vec<Action>,
    ) {
        // The front that lost the endpoint comes to the same verdicts, and announces them.
        let verdicts = self.crash_quarantine.record_end(now, end, suspects, true);
        actions.extend(
            verdicts
                .into_iter()
                .map(|quarantine| Action::RecordQuarantine { quarantine, by_peer: true }),
        );
        let rebuttals = self.crash_quarantine.rebuttals(suspects).into_iter();
        actions.extend(
            rebuttals.map(|(cause, at)| Action::AnnounceCrashNews {
                news: CrashNews::Sound { cause, at },
            }),
        );
    }

    /// Announces quarantines again, for fronts that have started since.
    pub(crate) fn announce_quarantines(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.decide_quarantines(now, actions);
        self.crash_quarantine.expire(now);
        let due = self.crash_quarantine.due_announcements(now, self.fronts);
        let news = due.into_iter().map(CrashNews::Quarantined);
        actions.extend(news.map(|news| Action::AnnounceCrashNews { news }));
    }
}

/// Adds the actions that record and announce verdicts of this front.
fn push_verdicts(verdicts: impl IntoIterator<Item = Quarantine>, actions: &mut Vec<Action>) {
    for quarantine in verdicts {
        actions.push(Action::RecordQuarantine { quarantine, by_peer: false });
        let news = CrashNews::Quarantined(quarantine);
        actions.push(Action::AnnounceCrashNews { news });
    }
}
