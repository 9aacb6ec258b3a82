//! Submits, faults and what must hold after them.

use super::*;

impl World {
    pub fn submit(&mut self, at: usize) {
        let job = JobSpec {
            tenant: TenantName::try_from("rabat-sale").expect("a name"),
            class: ClassName::try_from("digest").expect("a name"),
            work: Arc::from(self.submitted.to_string()),
        };
        let waiter = RequestId::new(self.entries[at].id.incarnation, self.submitted);
        let wall = self.wall();
        self.submitted += 1;
        self.post(at, 0, Message::Submit(SubmitEvent::Submit { waiter, job, wall }));
    }

    pub fn step(&mut self, step: Step) {
        let entry = |it: u8| usize::from(it) % ENTRIES;
        match step {
            Step::Submit { entry: at, jobs } => (0..jobs).for_each(|_| self.submit(entry(at))),
            Step::Wait(quarters) => {
                self.run_for(Duration::from_millis(250) * u32::from(quarters));
            }
            Step::Kill(at) => self.kill(entry(at)),
            Step::KillAll => (0..ENTRIES).for_each(|it| self.kill(it)),
            Step::Pause(at, secs) => {
                self.entries[entry(at)].paused = true;
                self.post(entry(at), u64::from(secs) * 1_000, Message::Resume);
            }
            Step::Outage(on) => self.outage = on,
            Step::Lossy(on) => self.lossy = on,
        }
        self.run_for(Duration::from_millis(5));
    }

    pub(super) fn kill(&mut self, at: usize) {
        let next = self.entries[at].id.incarnation.get() + 1;
        self.entries[at] = Entry::new(at, next, self.limits);
        self.start(at);
    }

    /// The published result of a job.
    pub fn result(&self, job: &JobId) -> Option<&JobResult> {
        let state = &self.states.peek(&job.segment)?.body;
        match state.jobs.get(job.index as usize)? {
            JobState::Done(id) => self.results.peek(id)?.body.results.get(&job.index),
            _ => None,
        }
    }

    pub fn check_end(&mut self) -> Result<(), String> {
        self.outage = false;
        self.lossy = false;
        self.run_for(Duration::from_secs(250));
        for (job, number) in &self.accepted {
            let Some(result) = self.result(job) else { return Err(format!("{job} has no result")) };
            if !result.body.starts_with(&format!("{number} by ")) {
                return Err(format!("{job} got {:?} for {number}", result.body));
            }
        }
        if let Some(it) = self.not_run.iter().find(|it| self.runs.contains_key(it)) {
            return Err(format!("submit {it} was refused as not_run and ran"));
        }
        self.fetch_all();
        self.run_for(Duration::from_secs(90));
        let left = self.states.len() + self.segments.len() + self.results.len();
        let cores =
            |it: &Entry| it.submitter.bytes() == 0 && it.runner.is_empty() && it.keeper.is_empty();
        if left != 0 || !self.entries.iter().all(cores) {
            return Err(format!("{left} objects are left, or a core is not empty"));
        }
        self.faults.first().map_or(Ok(()), |it| Err(it.clone()))
    }

    /// Has every answered job fetched, those included whose submit ended as unknown.
    pub fn fetch_all(&mut self) {
        for segment in self.states.keys() {
            let jobs = self.states.peek(&segment).map_or(0, |it| it.body.jobs.len());
            for index in 0..u32::try_from(jobs).unwrap_or_default() {
                let job = JobId { segment: segment.clone(), index };
                self.post(0, 0, Message::Keep(KeeperEvent::Fetched(job)));
            }
        }
    }
}
