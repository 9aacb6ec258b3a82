//! Fronts and endpoints that end under some requests.

use std::time::Duration;

use daisychute_core::{EndpointName, Role};
use daisychute_dispatch::{
    Action, Cause, CrashNews, Endpoint, Event, Prompt, PromptPart, Quarantine, Reason, Removal,
    RequestInfo, RequestKey, SendDecision, SendFailure, Task,
};

use super::{Front, HOST, SHORT, endpoint, fleet};

/// Part under which engines end.
pub(crate) const POISON: u64 = 666;
/// First part of all prompts.
pub(crate) const COMMON: u64 = 7;
/// Number of endpoints that may end under a request or part before it is refused.
pub(crate) const MAX_ENDS: usize = 3;
/// Time between two requests of a test, more than within which ends of engines count as one.
pub(crate) const PAUSE: Duration = Duration::from_millis(300);
/// Duration of a first quarantine.
pub(crate) const QUARANTINE: Duration = Duration::from_secs(60);

/// A request that an endpoint has.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) front: usize,
    pub(crate) key: RequestKey,
    pub(crate) decision: Box<SendDecision>,
    /// Whether the endpoint has begun to respond.
    pub(crate) begun: bool,
}

/// How a request ended, or that an endpoint has it.
#[derive(Debug, Clone)]
pub(crate) enum Outcome {
    Sent(Sent),
    Refused(Reason, Duration),
    Failed(Reason),
}

impl Outcome {
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(Reason::Quarantined, _))
    }
}

/// Fronts that tell each other their news at once, and the endpoints that they share. Those that end are replaced.
pub(crate) struct World {
    pub(crate) fronts: Vec<Front>,
    /// Number of the next endpoint that starts.
    pub(crate) engines: usize,
    pub(crate) in_flight: Vec<Sent>,
    /// Number of pieces of news of each kind: ends, quarantines, complete responses.
    pub(crate) news: [usize; 3],
}

impl World {
    pub(crate) fn new(fronts: usize) -> Self {
        let fronts = (0..fronts).map(|_| Front::new(fleet())).collect();
        Self { fronts, engines: 12, in_flight: Vec::new(), news: [0; 3] }
    }

    /// Lets time pass at all fronts, and something happen at each of them, as on a busy one.
    pub(crate) fn wait(&mut self, time: Duration) {
        self.fronts.iter_mut().for_each(|it| it.wait(time));
        for front in 0..self.fronts.len() {
            self.handle(front, Event::Tick);
        }
    }

    /// Passes an event to a front, and its news to the others. Returns the other actions.
    pub(crate) fn handle(&mut self, front: usize, event: Event) -> Vec<Action> {
        let mut others = Vec::new();
        for action in self.fronts[front].handle(event) {
            let Action::AnnounceCrashNews { news } = action else {
                others.push(action);
                continue;
            };
            self.news[match &news {
                CrashNews::EndpointEnded { .. } => 0,
                CrashNews::Quarantined(_) => 1,
                CrashNews::Sound { .. } => 2,
            }] += 1;
            for other in (0..self.fronts.len()).filter(|it| *it != front) {
                let news = vec![news.clone()];
                self.handle(other, Event::CrashNewsReported { news });
            }
        }
        others
    }

    /// Starts a request with these shared parts and a part of its own, and plays it until an engine runs it.
    pub(crate) fn begin(&mut self, front: usize, shared: &[u64]) -> Outcome {
        self.begin_at(front, SHORT, shared)
    }

    pub(crate) fn begin_at(&mut self, front: usize, path: &str, shared: &[u64]) -> Outcome {
        let mut outcome = self.arrive(front, path, shared);
        while let Outcome::Sent(sent) = &outcome
            && sent.decision.task == Task::Prefill
        {
            outcome = self.prefilled(&sent.clone());
        }
        if let Outcome::Sent(sent) = &outcome {
            self.start_response(sent);
        }
        outcome
    }

    /// Lets the endpoint of a request begin to respond.
    pub(crate) fn start_response(&mut self, sent: &Sent) {
        self.handle(sent.front, Event::ResponseStarted { key: sent.key });
        let is_sent = |it: &&mut Sent| (it.front, it.key) == (sent.front, sent.key);
        self.in_flight.iter_mut().filter(is_sent).for_each(|it| it.begun = true);
    }

    /// Starts a request. Its first engine has it afterwards, perhaps only to prefill its prompt.
    pub(crate) fn arrive(&mut self, front: usize, path: &str, shared: &[u64]) -> Outcome {
        let key = self.fronts[front].next_key();
        let number = key.number() * 10 + front as u64;
        let keys = shared.iter().copied().chain([1_000_000 + number]);
        let parts: Vec<_> = keys.map(|key| PromptPart { key, tokens: 100 }).collect();
        let prompt = Prompt { parts, tokens: 300, max_output: 40 };
        let request = RequestInfo::new(format!("{number}"), HOST, format!("{path}{number}"))
            .client_timeout(Duration::from_secs(3))
            .prompt(prompt);
        self.arrive_request(front, key, request)
    }

    /// Starts this request.
    pub(crate) fn arrive_request(
        &mut self,
        front: usize,
        key: RequestKey,
        request: RequestInfo,
    ) -> Outcome {
        let actions = self.handle(front, Event::Arrived { key, request });
        self.outcome(front, key, &actions)
    }

    pub(crate) fn prefilled(&mut self, sent: &Sent) -> Outcome {
        let Sent { front, key, .. } = *sent;
        self.in_flight.retain(|it| (it.front, it.key) != (front, key));
        let handle = "h".into();
        let actions = self.handle(front, Event::Prefilled { key, handle });
        self.outcome(front, key, &actions)
    }

    pub(crate) fn outcome(&mut self, front: usize, key: RequestKey, actions: &[Action]) -> Outcome {
        let outcome = actions.iter().find_map(|it| match it {
            Action::Send { decision, .. } => {
                let decision = decision.clone();
                Some(Outcome::Sent(Sent { front, key, decision, begun: false }))
            }
            Action::Refuse { reason, retry_after, .. } => {
                Some(Outcome::Refused(*reason, retry_after.unwrap_or_default()))
            }
            Action::Fail { reason, .. } => Some(Outcome::Failed(*reason)),
            _ => None,
        });
        let outcome = outcome.expect("the request is sent or ends");
        if let Outcome::Sent(sent) = &outcome {
            self.in_flight.push(sent.clone());
        }
        outcome
    }

    /// Responds to a request completely.
    pub(crate) fn finish(&mut self, sent: &Sent) {
        let Sent { front, key, .. } = *sent;
        self.in_flight.retain(|it| (it.front, it.key) != (front, key));
        self.handle(front, Event::FirstOutput { key });
        self.handle(front, Event::Finished { key });
    }

    /// Ends an endpoint with everything that it has, and replaces it. Returns what becomes of its requests.
    pub(crate) fn end(&mut self, engine: &EndpointName) -> Vec<Outcome> {
        let (lost, kept) =
            self.in_flight.drain(..).partition(|it: &Sent| it.decision.name == *engine);
        self.in_flight = kept;
        let lost: Vec<Sent> = lost;
        let outcomes = lost.iter().map(|it| self.lose(it)).collect();
        let successor = self.successor(engine);
        for front in 0..self.fronts.len() {
            let (name, removal) = (engine.clone(), Removal::Left);
            self.handle(front, Event::EndpointRemoved { name, removal });
            self.handle(front, Event::EndpointUpserted(successor.clone()));
        }
        outcomes
    }

    /// Fails a request whose endpoint ended.
    pub(crate) fn lose(&mut self, sent: &Sent) -> Outcome {
        let failure = if sent.begun {
            SendFailure::MidAnswer { head_passed: false }
        } else {
            SendFailure::NoAnswer
        };
        self.fail(sent, failure)
    }

    /// Returns what takes the place of an endpoint: a worker of the plain service, or an engine that generates.
    fn successor(&mut self, endpoint_name: &EndpointName) -> Endpoint {
        let number = self.engines;
        self.engines += 1;
        if endpoint_name.as_str().starts_with("feed") {
            endpoint(number, "feed", None)
        } else {
            endpoint(number, "lm", Some(Role::Decode))
        }
    }

    pub(crate) fn fail(&mut self, sent: &Sent, failure: SendFailure) -> Outcome {
        let Sent { front, key, .. } = *sent;
        let actions = self.handle(front, Event::SendFailed { key, failure });
        self.outcome(front, key, &actions)
    }

    /// Plays a request with [`POISON`]: it ends its engine. Returns whether it was sent.
    pub(crate) fn poisoned(&mut self, front: usize, shared: &[u64]) -> bool {
        let Outcome::Sent(sent) = self.begin(front, shared) else { return false };
        self.wait(Duration::from_millis(60));
        self.end(&sent.decision.name);
        true
    }

    /// Plays a request that is answered. Returns whether it was sent.
    pub(crate) fn sound(&mut self, front: usize, shared: &[u64]) -> bool {
        let Outcome::Sent(sent) = self.begin(front, shared) else { return false };
        self.wait(Duration::from_millis(60));
        self.finish(&sent);
        true
    }

    /// Plays requests with [`POISON`] at all fronts in turn until one is refused. Returns the number of those sent.
    pub(crate) fn until_refused(&mut self) -> usize {
        for sent in 0..40 {
            self.wait(PAUSE);
            if !self.poisoned(sent % self.fronts.len(), &[COMMON, POISON]) {
                return sent;
            }
        }
        panic!("no request was refused");
    }

    pub(crate) fn quarantine(&self, front: usize, part: u64) -> Option<Quarantine> {
        let Front { dispatcher, now, .. } = &self.fronts[front];
        dispatcher.quarantine(*now, [Cause::Part(part)])
    }
}
