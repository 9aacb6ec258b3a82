//! Requests that take several runs or connections, event by event.

use std::time::Duration;

use bytes::Bytes;
use daisychute_core::{
    EndpointKind, EndpointRecord, EndpointState, EngineTarget, FinishReason, Incarnation,
    Precedence, Refusal, RequestId, Revisions, Role, Time, Usage, Verdict,
};
use daisychute_entry::LeastLoad;
use daisychute_entry::core::{
    Action, EntryConfig, EntryCore, Event, LinkEnd, ResponsePart, Submission,
};
use daisychute_link::LinkId;
use daisychute_proto::{
    Call, Chunk, Completion, End, Frame, Head, Hello, PROTOCOL_VERSION, ProcessRole, Prompt, Start,
    Work,
};

/// Flow control window of the entry in bytes.
const WINDOW: u32 = 1_000;
const ENGINES: u16 = 3;
const SERVICES: u16 = 3;
const FIRST_PORT: u16 = 4_000;

/// An entry with one request, whose agents answer as a test tells.
struct Entry {
    core: EntryCore<LeastLoad>,
    now: Time,
    id: RequestId,
    /// Connection and frame that started the current run.
    run: Option<(LinkId, Start)>,
    /// Bytes of the current run that the agents were allowed to send.
    credit: u64,
    /// Bytes of the current run that its agent sent.
    sent: u64,
    /// Text that the client was sent.
    text: Vec<u8>,
    /// Number of bytes of `text` that the client read.
    read: u64,
    ended: bool,
    refusal: Option<Refusal>,
}

impl Entry {
    fn submit(work: Work) -> Self {
        let cfg = EntryConfig { window: WINDOW, ..EntryConfig::default() };
        let mut core = EntryCore::new(cfg, LeastLoad::default(), Incarnation::new(9));
        let id = core.next_id();
        let now = Time::from_millis(1);
        let mut entry = Self {
            core,
            now,
            id,
            run: None,
            credit: 0,
            sent: 0,
            text: Vec::new(),
            read: 0,
            ended: false,
            refusal: None,
        };
        entry.handle(Event::Endpoints((0..ENGINES + SERVICES).map(record).collect()));
        entry.handle(Event::Submit { id, submission: Box::new(submission(work)) });
        entry
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        self.core.validate();
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Connect { link, addr } => {
                let hello = Box::new(hello(&record(addr.port() - FIRST_PORT)));
                self.handle(Event::LinkUp { link, hello });
            }
            Action::Send { link, frame } => match *frame {
                Frame::Start(start) => {
                    self.credit = u64::from(start.window);
                    self.sent = 0;
                    self.run = Some((link, start));
                }
                Frame::Credit(it) => self.credit = it.received + u64::from(it.window),
                Frame::Resume(it) => {
                    self.credit = it.offset + u64::from(it.window);
                    self.run.as_mut().expect("a run").0 = link;
                }
                _ => {}
            },
            Action::Respond { part, .. } => match part {
                ResponsePart::Data { data, .. } => self.text.extend_from_slice(&data),
                ResponsePart::End { .. } => self.ended = true,
                ResponsePart::Head { .. } => {}
                ResponsePart::Refused(refusal) => self.refusal = Some(refusal),
            },
            _ => {}
        }
    }

    fn run(&self) -> (LinkId, u32) {
        let (link, start) = self.run.as_ref().expect("a run");
        (*link, start.attempt)
    }

    fn frame(&mut self, frame: impl Into<Frame>) {
        let link = self.run().0;
        self.handle(Event::Frame { link, frame: Box::new(frame.into()) });
    }

    fn head(&mut self, status: u16) {
        let (id, attempt) = (self.id, self.run().1);
        let head = Head { id, attempt, status, content_type: None, version: None, replayed: false };
        self.frame(head);
    }

    fn chunk(&mut self, offset: u64, data: &[u8]) {
        let (id, attempt) = (self.id, self.run().1);
        self.frame(Chunk { id, attempt, offset, tokens: 1, data: Bytes::copy_from_slice(data) });
    }

    fn end(&mut self, length: u64) {
        let (id, attempt) = (self.id, self.run().1);
        let finish = Some(FinishReason::Stop);
        self.frame(End { id, attempt, length, finish, usage: Usage::default() });
    }

    /// Lets the agent send all that it may, and checks what the entry then holds for the client.
    fn fill(&mut self) {
        let bytes = usize::try_from(self.credit.saturating_sub(self.sent)).unwrap();
        if bytes > 0 {
            self.chunk(self.sent, &b"x".repeat(bytes));
            self.sent += bytes as u64;
        }
        let held = self.text.len() as u64 - self.read;
        assert!(held <= u64::from(WINDOW), "{held} bytes held in a window of {WINDOW}");
    }

    /// Lets the client read `bytes` of what it was sent.
    fn client_reads(&mut self, bytes: u64) {
        let bytes = bytes.min(self.text.len() as u64 - self.read);
        self.read += bytes;
        self.handle(Event::ClientRead { id: self.id, bytes });
    }

    /// Cuts the connection to the agent of the current run, which resumes it on a new one.
    fn cut_connection(&mut self) {
        let link = self.run().0;
        self.handle(Event::LinkDown { link, end: LinkEnd::ConnectionLost });
        self.now = self.now + Duration::from_millis(100);
        self.handle(Event::Wake);
        assert_ne!(self.run().0, link, "another connection");
    }

    /// Lets the agent of the current run say that it leaves.
    fn agent_leaves(&mut self) {
        let link = self.run().0;
        self.handle(Event::LinkDown { link, end: LinkEnd::AgentShutDown });
    }

    /// Ends the agent of the current run, so that another run starts elsewhere.
    fn lose_run(&mut self) {
        let (link, attempt) = self.run();
        self.handle(Event::LinkDown { link, end: LinkEnd::AgentTerminated });
        assert_eq!(self.run().1, attempt + 1, "another run");
    }

    /// Text that the current run continues.
    fn continued_text(&self) -> &str {
        match &self.run.as_ref().expect("a run").1.work {
            Work::Completion(completion) => &completion.emitted,
            Work::Call(_) => "",
        }
    }
}

fn record(index: u16) -> EndpointRecord {
    let is_engine = index < ENGINES;
    let target = EngineTarget {
        role: Role::Mixed,
        model: "clerk-lm".try_into().unwrap(),
        version: "1".try_into().unwrap(),
        adapter: None,
    };
    let service = EndpointKind::Service("sign-feed".try_into().unwrap());
    EndpointRecord {
        endpoint: format!("e-{index}").as_str().try_into().unwrap(),
        instance: format!("i-{index}").as_str().try_into().unwrap(),
        data_centre: "agdal".try_into().unwrap(),
        kind: if is_engine { EndpointKind::Engine } else { service },
        agent: ([127, 0, 0, 1], FIRST_PORT + index).into(),
        incarnation: Incarnation::new(1),
        state: EndpointState::Live,
        target: is_engine.then_some(target),
    }
}

fn hello(record: &EndpointRecord) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        min_version: PROTOCOL_VERSION,
        process: "agent".try_into().unwrap(),
        incarnation: record.incarnation,
        role: ProcessRole::Agent,
        data_centre: "agdal".try_into().unwrap(),
        region: "morocco".try_into().unwrap(),
        endpoint: Some(record.clone()),
        revisions: Revisions::default(),
    }
}

fn submission(work: Work) -> Submission {
    Submission {
        tenant: "clerks".try_into().unwrap(),
        class: "desk".try_into().unwrap(),
        precedence: Precedence::Interactive,
        deadline: Duration::from_secs(20),
        first_token: None,
        between_tokens: None,
        continuable: matches!(work, Work::Completion(_)),
        work,
    }
}

fn completion() -> Work {
    Work::Completion(Completion {
        model: "clerk-lm".try_into().unwrap(),
        adapter: None,
        version: None,
        prompt: Prompt::Text("Bonjour".to_owned()),
        max_tokens: 8,
        options: String::new(),
        emitted: String::new(),
        emitted_tokens: 0,
    })
}

/// A call that must run at most once.
fn call() -> Work {
    Work::Call(Call {
        service: "sign-feed".try_into().unwrap(),
        method: "POST".to_owned(),
        path: "/counts".to_owned(),
        content_type: None,
        body: Bytes::new(),
        key: None,
        repeatable: false,
    })
}

macro_rules! cases {
    ($($(#[doc = $guards:literal])+ $name:ident: $work:expr => |$entry:ident| $check:block)*) => {$(
        $(#[doc = $guards])+
        #[test]
        fn $name() {
            let mut $entry = Entry::submit($work);
            $check
        }
    )*};
}

cases! {
    /// Guards against half a character, followed by the whole one, when a run is lost inside a character.
    character_that_a_lost_run_began_is_whole: completion() => |entry| {
        entry.head(200);
        entry.chunk(0, b"caf");
        entry.chunk(3, &"\u{e9}".as_bytes()[..1]);
        entry.lose_run();
        assert_eq!(entry.continued_text(), "caf");
        entry.head(200);
        entry.chunk(0, "\u{e9}s".as_bytes());
        entry.end(3);
        assert!(entry.ended);
        assert_eq!(str::from_utf8(&entry.text), Ok("caf\u{e9}s"));
    }

    /// Guards against an error of an engine that loses its last bytes because they aren't UTF-8.
    error_that_is_not_utf8_arrives_unchanged: completion() => |entry| {
        let body = b"caf\xc3";
        entry.head(400);
        entry.chunk(0, body);
        entry.end(body.len() as u64);
        assert!(entry.ended);
        assert_eq!(entry.text, body);
    }

    /// Guards against an entry that holds a window for each run of a slow client.
    client_that_reads_slowly_over_two_runs_holds_one_window: completion() => |entry| {
        entry.head(200);
        entry.fill();
        entry.client_reads(300);
        entry.fill();
        entry.lose_run();
        entry.head(200);
        for _ in 0..100 {
            entry.fill();
            entry.client_reads(30);
        }
        assert!(entry.read > 2 * u64::from(WINDOW), "stalled after {} bytes", entry.read);
    }

    /// Guards against an entry that holds another window for each connection that is lost.
    client_that_reads_slowly_over_two_connections_holds_one_window: completion() => |entry| {
        entry.head(200);
        entry.fill();
        entry.client_reads(100);
        entry.cut_connection();
        entry.head(200);
        for _ in 0..100 {
            entry.fill();
            entry.client_reads(30);
        }
        assert!(entry.read > 2 * u64::from(WINDOW), "stalled after {} bytes", entry.read);
    }

    /// Guards against a second run of a call whose outcome was lost with its connection, when the agent leaves before it
    /// can repeat the outcome.
    resumed_call_at_an_agent_that_leaves_may_have_run: call() => |entry| {
        entry.cut_connection();
        entry.agent_leaves();
        assert_eq!(entry.run().1, 1, "no other run");
        assert_eq!(entry.refusal.map(|it| it.verdict), Some(Verdict::Unknown));
    }

    /// Guards against a second run of a call whose response has begun.
    call_in_mid_response_at_an_agent_that_leaves_may_have_run: call() => |entry| {
        entry.head(200);
        entry.agent_leaves();
        assert_eq!(entry.run().1, 1, "no other run");
        assert_eq!(entry.refusal.map(|it| it.verdict), Some(Verdict::Unknown));
    }

    /// Guards against a refusal of a call that an agent didn't take any more.
    call_that_a_leaving_agent_did_not_take_runs_elsewhere: call() => |entry| {
        entry.agent_leaves();
        assert_eq!((entry.run().1, entry.refusal), (2, None));
    }

    /// Guards against a completion that ends with its agent, though another one can go on with it.
    resumed_completion_at_an_agent_that_leaves_continues_elsewhere: completion() => |entry| {
        entry.head(200);
        entry.chunk(0, b"caf");
        entry.cut_connection();
        entry.agent_leaves();
        assert_eq!((entry.run().1, entry.continued_text()), (2, "caf"));
        entry.head(200);
        entry.chunk(0, "\u{e9}".as_bytes());
        entry.end(2);
        assert!(entry.ended);
        assert_eq!(str::from_utf8(&entry.text), Ok("caf\u{e9}"));
    }
}
