//! Requests whose prompts may end the engines that respond to them.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Time;

use crate::core::crash_quarantine::{CrashAdmission, CrashQuarantine, Soundness};
use crate::core::crash_record::EngineEnd;
use crate::core::request_state::InFlightAttempt;
use crate::{
    Action, CrashNews, Dispatcher, PromptPart, Quarantine, Reason, RequestKey, SendFailure,
};

/// An engine that ends later than this after the first output of a request didn't end under that request.
const BEGINNING: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Returns the quarantine of the first of these shared prompt parts that is quarantined.
    #[must_use]
    pub fn quarantined_part(&self, now: Time, shared: &[PromptPart]) -> Option<Quarantine> {
        self.crash_quarantine.active(now, shared)
    }

    /// Returns the number of prompt parts that are quarantined.
    #[must_use]
    pub fn quarantined_parts(&self, now: Time) -> usize {
        self.crash_quarantine.all_active(now).count()
    }

    /// Returns the quarantines that last longest, at most `limit`.
    #[must_use]
    pub fn quarantines(&self, now: Time, limit: usize) -> Vec<Quarantine> {
        let mut active: Vec<_> = self.crash_quarantine.all_active(now).collect();
        active.sort_unstable_by_key(|it| (Reverse(it.until), it.part));
        active.truncate(limit);
        active
    }

    /// Ends a request with a quarantined prompt part. Returns whether it was ended.
    ///
    /// Asked before each send, as a part may be quarantined while a prompt is prefilled or a retry is due.
    pub(crate) fn end_quarantined(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.decide_quarantines(now, actions);
        let Some(state) = self.requests.get_mut(&key) else { return false };
        let Some(prompt) = &state.request.prompt else { return false };
        match self.crash_quarantine.admit(now, prompt.shared(), state.trial_of) {
            CrashAdmission::Admitted => false,
            CrashAdmission::Trial(quarantine) => {
                state.trial_of = Some(quarantine.part);
                actions
                    .push(Action::AnnounceCrashNews { news: CrashNews::Quarantined(quarantine) });
                false
            }
            CrashAdmission::Refused(quarantine) => {
                let retry_after = quarantine.until.since(now);
                self.fail_or_refuse_for(key, Reason::Quarantined, retry_after, actions);
                true
            }
        }
    }

    /// Records under which prompt parts an engine ended, and tells the other fronts.
    pub(crate) fn record_engine_end(
        &mut self,
        now: Time,
        key: RequestKey,
        sent: &InFlightAttempt,
        failure: SendFailure,
        actions: &mut Vec<Action>,
    ) {
        if !matches!(failure, SendFailure::NoAnswer | SendFailure::MidAnswer { .. }) {
            return;
        }
        let Some(state) = self.requests.get(&key) else { return };
        let has_long_begun = state.first_output_at.is_some_and(|it| now.since(it) > BEGINNING);
        let Some(prompt) = state.request.prompt.as_ref().filter(|_| !has_long_begun) else {
            return;
        };
        let Some(incarnation) = self.fleet.incarnation(sent.endpoint) else { return };
        let parts = self.crash_quarantine.suspects(prompt.shared());
        if parts.is_empty() {
            return;
        }
        let engine = incarnation.id();
        let begun = matches!(failure, SendFailure::MidAnswer { .. });
        let news = CrashNews::EngineEnded { engine, parts: Arc::clone(&parts), begun, at: now };
        actions.push(Action::AnnounceCrashNews { news });
        let end = EngineEnd { engine, at: now, begun };
        let longer = self.crash_quarantine.record_end(now, end, &parts, false);
        push_verdicts(longer, actions);
    }

    /// Quarantines the prompt parts that the ends of engines speak against, if a verdict is due.
    pub(crate) fn decide_quarantines(&mut self, now: Time, actions: &mut Vec<Action>) {
        push_verdicts(self.crash_quarantine.decide(now), actions);
    }

    /// Records that the prompt parts of a request don't end engines, since it was answered completely.
    pub(crate) fn record_sound_parts(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(prompt) = self.requests.get(&key).and_then(|it| it.request.prompt.as_ref()) else {
            return;
        };
        for part in prompt.shared().iter().take(CrashQuarantine::MAX_PARTS) {
            let soundness = self.crash_quarantine.record_sound(now, part.key, now);
            if soundness != Soundness::Known {
                let news = CrashNews::Sound { part: part.key, at: now };
                actions.push(Action::AnnounceCrashNews { news });
            }
            if soundness == Soundness::Released {
                actions.push(Action::RecordRelease { part: part.key, by_peer: false });
            }
        }
    }

    /// Records what other fronts told about prompt parts.
    pub(crate) fn crash_news_reported(
        &mut self,
        now: Time,
        news: Vec<CrashNews>,
        actions: &mut Vec<Action>,
    ) {
        for it in news {
            match it {
                CrashNews::EngineEnded { engine, parts, begun, at } => {
                    let end = EngineEnd { engine, at, begun };
                    // The front that lost the engine prolongs the quarantine as well, and announces it.
                    let longer = self.crash_quarantine.record_end(now, end, &parts, true);
                    actions.extend(
                        longer.map(|quarantine| Action::RecordQuarantine {
                            quarantine,
                            by_peer: true,
                        }),
                    );
                    let rebuttals = self.crash_quarantine.rebuttals(&parts).into_iter();
                    actions.extend(rebuttals.map(|(part, at)| Action::AnnounceCrashNews {
                        news: CrashNews::Sound { part, at },
                    }));
                }
                CrashNews::Quarantined(quarantine) => {
                    if self.crash_quarantine.adopt(now, quarantine) {
                        actions.push(Action::RecordQuarantine { quarantine, by_peer: true });
                    }
                }
                CrashNews::Sound { part, at } => {
                    if self.crash_quarantine.record_sound(now, part, at) == Soundness::Released {
                        actions.push(Action::RecordRelease { part, by_peer: true });
                    }
                }
            }
        }
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
