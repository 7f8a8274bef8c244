//! Entries and agents with their backend servers, in virtual time.
//!
//! Every message takes a millisecond. A process that is down neither receives nor
//! acts; a frozen one does so later, when it is woken.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::sync::Arc;

use fulmardrift::{
    AcceptorMessage, AgentTimes, Call, CallId, CallReply, CallRouter, CallRouterInput,
    CallRouterOutput, ClientAction, Initiator, InitiatorMessage, JobGuard, JobId, JobSpec, Millis,
    OperatorConfig, Owner, Queue, QueueSettings, Resources, ServerAgent, ServerAgentInput,
    ServerAgentOutput, ServerCall, ServerReply, SessionId, Step,
};

use super::server::{FakeServer, Span};

pub const HOLD: Millis = Millis(1_000);
/// Time of the fake wall clock at the start.
const WALL: u64 = 1_780_000_000_000;
/// A look that is not answered is given up so much later.
const GIVEN_UP: Millis = Millis(600);
const BEAT: u64 = 250;
const SILENCE: u64 = 900;

pub struct EntrySlot {
    pub router: Option<CallRouter>,
    pub life: u64,
    pub answers: Vec<(u64, CallReply)>,
    /// Milliseconds by which its wall clock is off.
    pub skew: i64,
}

pub struct AgentSlot {
    pub agent: ServerAgent,
    pub server: FakeServer,
    pub frozen: bool,
    /// Starts get no answer and are carried out so much later.
    pub late: Option<Millis>,
    /// So many of the next looks get no answer; the agent gives them up later.
    pub lost_looks: u32,
    inbox: Vec<ServerAgentInput>,
}

#[derive(Clone)]
struct Session {
    entry: usize,
    agent: usize,
    life: u64,
    id: SessionId,
    heard: u64,
}

pub struct Fleet {
    pub now: Millis,
    pub entries: Vec<EntrySlot>,
    pub agents: Vec<AgentSlot>,
    /// Pairs of entry and agent that cannot reach each other.
    pub cut: Vec<(usize, usize)>,
    /// Calls with the time at which they are carried out.
    late: VecDeque<(Millis, usize, ServerCall)>,
    /// Calls without an answer, with the time at which they are given up.
    lost: VecDeque<(Millis, usize, CallId)>,
    sessions: Vec<Session>,
    down: VecDeque<(Millis, SessionId, AcceptorMessage)>,
    up: VecDeque<(Millis, SessionId, InitiatorMessage)>,
    calls: VecDeque<(Millis, usize, ServerCall)>,
    last: u64,
    /// Rules that are turned off.
    off: Vec<JobGuard>,
    /// Between announcements of a backend server; a multiple of a heartbeat.
    pub announce: u64,
}

pub fn setup(version: u64) -> OperatorConfig {
    OperatorConfig {
        version,
        queues: vec![Queue {
            name: "q".to_owned(),
            host: "desk.example".to_owned(),
            prefix: "/jobs/".to_owned(),
            settings: QueueSettings {
                service: "desk".to_owned(),
                priority: 0,
                attempts: 3,
                slack: 1_600,
                target: Millis(60),
            },
        }],
        unguarded: Vec::new(),
        document: format!("document {version}").into_bytes(),
    }
}

/// A job of one step.
pub fn job(count: u32, estimate: u64, transient: bool) -> JobSpec {
    JobSpec {
        payload: "work".to_owned(),
        steps: vec![Step {
            count,
            need: Resources {
                cpu: 1_000,
                memory: 10,
                gpu: 0,
            },
            estimate: Millis(estimate),
            after: Vec::new(),
            label: None,
            rack: None,
            max_per_worker: 0,
        }],
        transient,
        unsupported: None,
    }
}

pub fn submit(id: JobId, spec: JobSpec) -> Call {
    Call::Client {
        host: "desk.example".to_owned(),
        path: format!("/jobs/{id}"),
        action: ClientAction::Submit(Some(spec)),
    }
}

impl Fleet {
    /// Entries and agents that know each other, with a configuration in force.
    pub fn new(entries: usize, agents: usize, work: u64) -> Self {
        Self::without(entries, agents, work, &[])
    }

    /// A fleet in which some rules are turned off.
    pub fn without(entries: usize, agents: usize, work: u64, off: &[JobGuard]) -> Self {
        let mut fleet = Self {
            now: Millis(1),
            entries: Vec::new(),
            agents: Vec::new(),
            cut: Vec::new(),
            late: VecDeque::new(),
            lost: VecDeque::new(),
            sessions: Vec::new(),
            down: VecDeque::new(),
            up: VecDeque::new(),
            calls: VecDeque::new(),
            last: 0,
            off: off.to_vec(),
            announce: BEAT,
        };
        for _ in 0..entries {
            fleet.entries.push(EntrySlot {
                router: None,
                life: 0,
                answers: Vec::new(),
                skew: 0,
            });
        }
        for at in 0..agents {
            let agent = fleet.fresh_agent();
            fleet.agents.push(AgentSlot {
                agent,
                server: FakeServer::new(&format!("s{at}"), &format!("dc{at}"), Millis(work)),
                frozen: false,
                late: None,
                lost_looks: 0,
                inbox: Vec::new(),
            });
        }
        for entry in 0..entries {
            fleet.start_entry(entry);
        }
        fleet.run(400);
        fleet
    }

    fn fresh_agent(&self) -> ServerAgent {
        let mut agent = ServerAgent::new(AgentTimes { max_lease: HOLD });
        for guard in &self.off {
            agent.disable(*guard);
        }
        agent
    }

    pub fn start_entry(&mut self, entry: usize) {
        self.last += 1;
        let life = 1_000 + self.last;
        let mut router = CallRouter::new(life, self.now);
        for guard in &self.off {
            router.disable(*guard);
        }
        let mut out = Vec::new();
        router.step(
            self.now,
            CallRouterInput::Config(Arc::new(setup(1))),
            &mut out,
        );
        self.entries[entry].router = Some(router);
        self.entries[entry].life = life;
    }

    /// Kills an entry: its connections are reset.
    pub fn kill_entry(&mut self, entry: usize) {
        self.entries[entry].router = None;
        let gone: Vec<_> = self
            .sessions
            .iter()
            .filter(|s| s.entry == entry)
            .cloned()
            .collect();
        self.sessions.retain(|s| s.entry != entry);
        for session in gone {
            self.agent_input(
                session.agent,
                ServerAgentInput::EntryDisconnected(session.life),
            );
        }
    }

    /// Restarts an agent's process; its backend server runs on and announces itself
    /// at once.
    pub fn restart_agent(&mut self, agent: usize) {
        self.restart_agent_unannounced(agent);
        let beat = self.agents[agent].server.beat();
        self.agent_input(agent, ServerAgentInput::Heartbeat(beat));
    }

    /// Restarts an agent's process; its backend server announces itself later.
    pub fn restart_agent_unannounced(&mut self, agent: usize) {
        self.agents[agent].agent = self.fresh_agent();
        self.agents[agent].inbox.clear();
        let gone: Vec<_> = self
            .sessions
            .iter()
            .filter(|s| s.agent == agent)
            .cloned()
            .collect();
        self.sessions.retain(|s| s.agent != agent);
        self.calls.retain(|(_, to, _)| *to != agent);
        for session in gone {
            self.router_input(session.entry, CallRouterInput::Closed(session.id));
        }
    }

    pub fn wake(&mut self, agent: usize) {
        self.agents[agent].frozen = false;
        for input in std::mem::take(&mut self.agents[agent].inbox) {
            self.agent_input(agent, input);
        }
    }

    pub fn call(&mut self, entry: usize, token: u64, call: Call, wait: u64) {
        let deadline = self.now + Millis(wait);
        let input = CallRouterInput::Call {
            token,
            call,
            deadline,
        };
        self.router_input(entry, input);
    }

    pub fn answer(&self, entry: usize, token: u64) -> Option<&CallReply> {
        let answers = &self.entries[entry].answers;
        answers
            .iter()
            .find(|(known, _)| *known == token)
            .map(|(_, reply)| reply)
    }

    pub fn is_ready(&self, entry: usize) -> bool {
        let router = self.entries[entry].router.as_ref();
        router.is_some_and(|router| router.is_ready(self.now))
    }

    fn wall(&self, entry: usize) -> Millis {
        let wall = WALL + self.now.0;
        Millis(wall.saturating_add_signed(self.entries[entry].skew))
    }

    pub fn router_input(&mut self, entry: usize, input: CallRouterInput) {
        let wall = self.wall(entry);
        let Some(router) = &mut self.entries[entry].router else {
            return;
        };
        let mut out = Vec::new();
        router.step(self.now, input, &mut out);
        router.flush(self.now, wall, &mut out);
        for output in out {
            match output {
                CallRouterOutput::Answer(token, reply) => {
                    self.entries[entry].answers.push((token, reply));
                }
                CallRouterOutput::Message(id, down) => self.down.push_back((self.now, id, down)),
                CallRouterOutput::Forward(..) => {}
            }
        }
    }

    pub fn agent_input(&mut self, agent: usize, input: ServerAgentInput) {
        if self.agents[agent].frozen {
            self.agents[agent].inbox.push(input);
            return;
        }
        let mut out = Vec::new();
        self.agents[agent].agent.step(self.now, input, &mut out);
        for output in out {
            match output {
                ServerAgentOutput::Call(call) => self.calls.push_back((self.now, agent, call)),
                ServerAgentOutput::Report(Owner::Entry(life), report) => {
                    let session = self
                        .sessions
                        .iter()
                        .find(|s| s.agent == agent && s.life == life);
                    if let Some(session) = session {
                        self.up
                            .push_back((self.now, session.id, InitiatorMessage::Report(report)));
                    }
                }
                ServerAgentOutput::Report(..) => {}
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = Millis(self.now.0 + 1);
            self.connect();
            self.deliver();
            self.serve();
            if self.now.0.is_multiple_of(20) {
                self.tick();
            }
            if self.now.0.is_multiple_of(BEAT) {
                self.beat();
            }
        }
    }

    fn connect(&mut self) {
        for entry in 0..self.entries.len() {
            for agent in 0..self.agents.len() {
                let known = self
                    .sessions
                    .iter()
                    .any(|s| (s.entry, s.agent) == (entry, agent));
                let able = self.entries[entry].router.is_some() && !self.agents[agent].frozen;
                let retry = self.now.0.is_multiple_of(50);
                if known || !able || !retry || self.cut.contains(&(entry, agent)) {
                    continue;
                }
                self.last += 1;
                let id = SessionId(self.last);
                self.sessions.push(Session {
                    entry,
                    agent,
                    life: self.entries[entry].life,
                    id,
                    heard: self.now.0,
                });
                let hello = InitiatorMessage::Hello(Initiator::Agent(format!("agent{agent}")));
                self.up.push_back((self.now, id, hello));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        while self.down.front().is_some_and(|(at, ..)| *at < now) {
            let Some((_, id, down)) = self.down.pop_front() else {
                break;
            };
            let Some(session) = self.sessions.iter_mut().find(|s| s.id == id) else {
                continue;
            };
            if self.cut.contains(&(session.entry, session.agent)) {
                continue;
            }
            session.heard = now.0;
            let (agent, owner) = (session.agent, Owner::Entry(session.life));
            let input = match down {
                AcceptorMessage::Welcome { life, runs } => {
                    Some(ServerAgentInput::Welcome(life, runs))
                }
                AcceptorMessage::HeartbeatAck { at, grant } => {
                    grant.map(|grant| ServerAgentInput::Granted(owner, at + grant))
                }
                AcceptorMessage::Order(order) => Some(ServerAgentInput::Order(owner, order)),
                AcceptorMessage::Recorded { life, upto } => {
                    Some(ServerAgentInput::Recorded { owner, life, upto })
                }
                _ => None,
            };
            if let Some(input) = input {
                self.agent_input(agent, input);
            }
        }
        while self.up.front().is_some_and(|(at, ..)| *at < now) {
            let Some((_, id, up)) = self.up.pop_front() else {
                break;
            };
            let Some(session) = self.sessions.iter().find(|s| s.id == id).cloned() else {
                continue;
            };
            if !self.cut.contains(&(session.entry, session.agent)) {
                self.router_input(session.entry, CallRouterInput::Message(id, up));
            }
        }
    }

    /// Carries out calls to backend servers.
    fn serve(&mut self) {
        let now = self.now;
        while let Some((_, agent, id)) = self.lost.pop_front_if(|(at, ..)| *at <= now) {
            self.reply(agent, id, ServerReply::NoAnswer);
        }
        while let Some((_, agent, call)) = self.late.pop_front_if(|(at, ..)| *at <= now) {
            self.agents[agent].server.call(now, &call);
        }
        while let Some((_, agent, call)) = self.calls.pop_front_if(|(at, ..)| *at < now) {
            let start = matches!(call.kind, fulmardrift::ServerCallKind::Start { .. });
            if !start && self.agents[agent].lost_looks > 0 {
                self.agents[agent].lost_looks -= 1;
                self.lost.push_back((now + GIVEN_UP, agent, call.id));
                continue;
            }
            let reply = match self.agents[agent].late {
                Some(delay) if start => {
                    self.late.push_back((now + delay, agent, call.clone()));
                    ServerReply::NoAnswer
                }
                _ => self.agents[agent].server.call(now, &call),
            };
            self.reply(agent, call.id, reply);
        }
    }

    fn reply(&mut self, agent: usize, id: CallId, reply: ServerReply) {
        self.agent_input(agent, ServerAgentInput::Replied(id, reply));
    }

    fn tick(&mut self) {
        for agent in 0..self.agents.len() {
            let now = self.now;
            self.agents[agent].server.tick(now);
            if !self.agents[agent].frozen {
                self.agent_input(agent, ServerAgentInput::Tick);
            }
        }
        for entry in 0..self.entries.len() {
            self.router_input(entry, CallRouterInput::Tick);
        }
    }

    fn beat(&mut self) {
        for agent in 0..self.agents.len() {
            if !self.now.0.is_multiple_of(self.announce) {
                break;
            }
            let beat = self.agents[agent].server.beat();
            self.agent_input(agent, ServerAgentInput::Heartbeat(beat));
        }
        for session in self.sessions.clone() {
            if !self.agents[session.agent].frozen {
                self.up
                    .push_back((self.now, session.id, InitiatorMessage::Heartbeat(self.now)));
            }
            let silent = self.now.0 - session.heard > SILENCE;
            if silent && !self.agents[session.agent].frozen {
                self.sessions.retain(|s| s.id != session.id);
                self.agent_input(
                    session.agent,
                    ServerAgentInput::EntryDisconnected(session.life),
                );
                self.router_input(session.entry, CallRouterInput::Closed(session.id));
            }
        }
    }

    /// All that ran, in order of start.
    pub fn spans(&self) -> Vec<Span> {
        let mut spans: Vec<Span> = Vec::new();
        for slot in &self.agents {
            spans.extend_from_slice(&slot.server.spans);
        }
        spans.sort_by_key(|span| span.from);
        spans
    }

    /// Pairs of runs of one task that overlap.
    pub fn overlaps(&self) -> Vec<(Span, Span)> {
        let spans = self.spans();
        let mut pairs = Vec::new();
        for (i, a) in spans.iter().enumerate() {
            for b in &spans[i + 1..] {
                let apart = a.to.is_some_and(|to| to <= b.from);
                if a.task == b.task && !apart {
                    pairs.push((*a, *b));
                }
            }
        }
        pairs
    }
}
