//! Entries and agents with their backend servers, in virtual time.
//!
//! Every message takes one millisecond. A process that is down loses its messages; a frozen agent
//! handles them when it wakes.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::sync::Arc;

use fulmardrift::{
    AcceptorMessage, AgentOrder, AgentReport, Call, CallId, CallReply, CallRouter, CallRouterInput,
    CallRouterOutput, ClientAction, Denial, Initiator, InitiatorMessage, JobGuard, JobId, JobSpec,
    Millis, OperatorConfig, Owner, Queue, QueueSettings, Resources, SentAfter, ServerAgent,
    ServerAgentInput, ServerAgentOutput, ServerCall, ServerReply, SessionId, Step, TaskId,
    TimeLimits, Times,
};

use super::server::{FakeServer, Span};

/// Time of the fake wall clock at virtual time 0, in milliseconds since the Unix epoch.
const WALL_CLOCK_START: u64 = 1_780_000_000_000;
/// An agent gives up a hold or stop call without an answer after this long.
const CALL_TIMEOUT: Millis = Millis(600);
/// Interval at which backend servers may announce themselves.
const HEARTBEAT_INTERVAL_MS: u64 = 250;
/// A session is closed after this long without a message from the entry, in milliseconds.
const SESSION_TIMEOUT_MS: u64 = 900;

pub struct EntrySlot {
    pub router: Option<CallRouter>,
    /// Incarnation number.
    pub life: u64,
    pub answers: Vec<(u64, CallReply)>,
    /// Offset of its wall clock, in milliseconds.
    pub clock_skew_ms: i64,
    pub frozen: bool,
    /// While not 0, the entry handles what has arrived only this often, in milliseconds.
    pub turn_ms: u64,
    inbox: Vec<CallRouterInput>,
}

pub struct AgentSlot {
    pub agent: ServerAgent,
    pub server: FakeServer,
    pub frozen: bool,
    /// While set, start calls get no answer and are executed after this long.
    pub start_delay: Option<Millis>,
    /// Number of the next hold and stop calls that are lost and get no answer.
    pub unanswered_calls: u32,
    /// While true, calls are executed, and their answers are lost.
    pub mute: bool,
    /// Each answer comes this long after its call was executed, if the agent waits for so long.
    pub answer_delay: Millis,
    inbox: Vec<ServerAgentInput>,
}

#[derive(Clone)]
struct Session {
    entry: usize,
    agent: usize,
    /// The entry's incarnation number.
    life: u64,
    id: SessionId,
    /// When the last message from the entry arrived, in milliseconds.
    last_heard_at: u64,
}

pub struct Fleet {
    pub now: Millis,
    pub entries: Vec<EntrySlot>,
    pub agents: Vec<AgentSlot>,
    /// Pairs of entry and agent that cannot reach each other.
    pub cut: Vec<(usize, usize)>,
    /// Pairs of entry and agent between which messages to the agent are lost.
    pub cut_to_agent: Vec<(usize, usize)>,
    /// Pairs of entry and agent between which messages to the entry are lost.
    pub cut_to_entry: Vec<(usize, usize)>,
    /// Delayed start calls, with the time at which they are executed.
    delayed_calls: VecDeque<(Millis, usize, ServerCall)>,
    /// Calls without an answer, with the time at which the agent gives them up.
    lost_calls: VecDeque<(Millis, usize, CallId)>,
    /// Answers that come late: when, the agent, the call and what the agent gets.
    late_replies: Vec<(Millis, usize, CallId, ServerReply)>,
    sessions: Vec<Session>,
    to_agents: VecDeque<(Millis, SessionId, AcceptorMessage)>,
    to_entries: VecDeque<(Millis, SessionId, InitiatorMessage)>,
    calls: VecDeque<(Millis, usize, ServerCall)>,
    /// The highest number given to a session or an entry's incarnation.
    last_id: u64,
    times: Times,
    /// Safety rules that are turned off.
    disabled: Vec<JobGuard>,
    /// Number of reports of what other dispatchers use.
    pub usage_reports: u64,
    /// Number of start orders, and of those that were denied for want of room.
    pub start_orders: u64,
    pub denied_for_room: u64,
    /// Number of messages in which entries asked agents for capacity.
    pub want_messages: u64,
    /// Number of calls to backend servers.
    pub server_calls: u64,
    /// Time between announcements of a backend server, in milliseconds. Must be a multiple of
    /// `HEARTBEAT_INTERVAL_MS`.
    pub announcement_interval_ms: u64,
}

/// A configuration with one queue.
pub fn config(version: u64) -> OperatorConfig {
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

/// A job of one step with `count` tasks, which are estimated to take `estimate` milliseconds each.
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
    /// Starts entries with a configuration in force, and agents connected to them. Each run takes
    /// `work` milliseconds.
    pub fn new(entries: usize, agents: usize, work: u64) -> Self {
        Self::with_disabled(entries, agents, work, &[])
    }

    /// Starts a fleet in which some safety rules are turned off.
    pub fn with_disabled(entries: usize, agents: usize, work: u64, disabled: &[JobGuard]) -> Self {
        Self::with_limits(entries, agents, work, disabled, TimeLimits::default())
    }

    /// Starts a fleet for other limits of the users.
    pub fn with_limits(
        entries: usize,
        agents: usize,
        work: u64,
        disabled: &[JobGuard],
        limits: TimeLimits,
    ) -> Self {
        let mut fleet = Self {
            now: Millis(1),
            entries: Vec::new(),
            agents: Vec::new(),
            cut: Vec::new(),
            cut_to_agent: Vec::new(),
            cut_to_entry: Vec::new(),
            delayed_calls: VecDeque::new(),
            lost_calls: VecDeque::new(),
            late_replies: Vec::new(),
            sessions: Vec::new(),
            to_agents: VecDeque::new(),
            to_entries: VecDeque::new(),
            calls: VecDeque::new(),
            last_id: 0,
            times: Times::new(limits),
            disabled: disabled.to_vec(),
            usage_reports: 0,
            start_orders: 0,
            denied_for_room: 0,
            want_messages: 0,
            server_calls: 0,
            announcement_interval_ms: HEARTBEAT_INTERVAL_MS,
        };
        for _ in 0..entries {
            fleet.entries.push(EntrySlot {
                router: None,
                life: 0,
                answers: Vec::new(),
                clock_skew_ms: 0,
                frozen: false,
                turn_ms: 0,
                inbox: Vec::new(),
            });
        }
        for at in 0..agents {
            let agent = fleet.new_agent();
            fleet.agents.push(AgentSlot {
                agent,
                server: FakeServer::new(&format!("s{at}"), &format!("dc{at}"), Millis(work)),
                frozen: false,
                start_delay: None,
                answer_delay: Millis(0),
                unanswered_calls: 0,
                mute: false,
                inbox: Vec::new(),
            });
        }
        for entry in 0..entries {
            fleet.start_entry(entry);
        }
        fleet.run(400);
        fleet
    }

    /// Makes a task crash every backend server.
    pub fn make_deadly(&mut self, task: TaskId) {
        for slot in &mut self.agents {
            slot.server.deadly.push(task);
        }
    }

    fn new_agent(&self) -> ServerAgent {
        let mut agent = ServerAgent::new(self.times);
        for guard in &self.disabled {
            agent.disable(*guard);
        }
        agent
    }

    pub fn start_entry(&mut self, entry: usize) {
        self.start_entry_without_config(entry);
        self.router_input(entry, CallRouterInput::Config(Arc::new(config(1))));
    }

    /// Starts an entry that has not heard from the group's leader yet.
    pub fn start_entry_without_config(&mut self, entry: usize) {
        self.last_id += 1;
        let life = 1_000 + self.last_id;
        let mut router = CallRouter::new(life, self.now, self.times);
        for guard in &self.disabled {
            router.disable(*guard);
        }
        self.entries[entry].router = Some(router);
        self.entries[entry].life = life;
    }

    /// Kills an entry. Its sessions close at once.
    pub fn kill_entry(&mut self, entry: usize) {
        self.entries[entry].router = None;
        self.entries[entry].frozen = false;
        self.entries[entry].inbox.clear();
        let closed: Vec<_> = self
            .sessions
            .iter()
            .filter(|s| s.entry == entry)
            .cloned()
            .collect();
        self.sessions.retain(|s| s.entry != entry);
        for session in closed {
            self.agent_input(
                session.agent,
                ServerAgentInput::EntryDisconnected(session.life),
            );
        }
    }

    /// Restarts an agent's process. Its backend server keeps running and announces itself at once.
    pub fn restart_agent(&mut self, agent: usize) {
        self.restart_agent_unannounced(agent);
        let heartbeat = self.agents[agent].server.heartbeat();
        self.agent_input(agent, ServerAgentInput::Heartbeat(heartbeat));
    }

    /// Restarts an agent's process. Its backend server keeps running and announces itself at its
    /// next interval.
    pub fn restart_agent_unannounced(&mut self, agent: usize) {
        self.agents[agent].agent = self.new_agent();
        self.agents[agent].inbox.clear();
        let closed: Vec<_> = self
            .sessions
            .iter()
            .filter(|s| s.agent == agent)
            .cloned()
            .collect();
        self.sessions.retain(|s| s.agent != agent);
        self.calls.retain(|(_, target, _)| *target != agent);
        for session in closed {
            self.router_input(session.entry, CallRouterInput::Closed(session.id));
        }
    }

    /// Unfreezes an agent, which handles the inputs that arrived in the meantime.
    pub fn wake(&mut self, agent: usize) {
        self.agents[agent].frozen = false;
        for input in std::mem::take(&mut self.agents[agent].inbox) {
            self.agent_input(agent, input);
        }
    }

    /// Unfreezes an entry, which handles the inputs that arrived in the meantime.
    pub fn wake_entry(&mut self, entry: usize) {
        self.entries[entry].frozen = false;
        for input in std::mem::take(&mut self.entries[entry].inbox) {
            self.router_input(entry, input);
        }
    }

    pub fn call(&mut self, entry: usize, token: u64, call: Call, wait: u64) {
        self.call_aged(entry, token, call, [0; 2], wait);
    }

    /// A call that its caller sent at most `ages[0]` ms ago, usually `ages[1]`.
    pub fn call_aged(&mut self, entry: usize, token: u64, call: Call, ages: [u64; 2], wait: u64) {
        let deadline = self.now + Millis(wait);
        let sent = SentAfter {
            surely: self.now - Millis(ages[0]),
            usually: self.now - Millis(ages[1]),
        };
        let input = CallRouterInput::Call {
            token,
            call,
            sent,
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

    fn wall_clock(&self, entry: usize) -> Millis {
        let wall = WALL_CLOCK_START + self.now.0;
        Millis(wall.saturating_add_signed(self.entries[entry].clock_skew_ms))
    }

    pub fn router_input(&mut self, entry: usize, input: CallRouterInput) {
        let wall = self.wall_clock(entry);
        if self.entries[entry].frozen {
            self.entries[entry].inbox.push(input);
            return;
        }
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
                CallRouterOutput::Message(id, message) => {
                    self.to_agents.push_back((self.now, id, message));
                }
                CallRouterOutput::Forward(..) => {}
            }
        }
    }

    /// The payloads of the orders that are on their way to agents.
    pub fn ordered_payloads(&self) -> Vec<Arc<str>> {
        let messages = self.to_agents.iter();
        messages
            .filter_map(|(_, _, message)| match message {
                AcceptorMessage::Order(AgentOrder::Start { payload, .. }) => {
                    Some(Arc::clone(payload))
                }
                _ => None,
            })
            .collect()
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
                    let is_usage = matches!(report, AgentReport::OtherUsage(_));
                    self.usage_reports += u64::from(is_usage);
                    let is_denial = matches!(
                        report,
                        AgentReport::NotStarted {
                            reason: Denial::Room,
                            ..
                        }
                    );
                    self.denied_for_room += u64::from(is_denial);
                    let session = self
                        .sessions
                        .iter()
                        .find(|s| s.agent == agent && s.life == life);
                    if let Some(session) = session {
                        self.to_entries.push_back((
                            self.now,
                            session.id,
                            InitiatorMessage::Report(report),
                        ));
                    }
                }
                ServerAgentOutput::Report(..) => {}
            }
        }
    }

    /// Advances time by `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = Millis(self.now.0 + 1);
            self.connect();
            self.deliver();
            self.execute_calls();
            self.run_slow_entries();
            if self.now.0.is_multiple_of(20) {
                self.tick();
            }
            if self.now.0.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
                self.send_announcements();
            }
            if self.now.0.is_multiple_of(self.times.heartbeat.0) {
                self.send_heartbeats();
            }
        }
    }

    fn run_slow_entries(&mut self) {
        for entry in 0..self.entries.len() {
            let turn_ms = self.entries[entry].turn_ms;
            if turn_ms == 0 {
                continue;
            }
            if self.now.0.is_multiple_of(turn_ms) {
                self.wake_entry(entry);
                self.router_input(entry, CallRouterInput::Tick);
            }
            self.entries[entry].frozen = true;
        }
    }

    /// Makes an entry slow, or fast again if `turn_ms` is 0.
    pub fn set_turn(&mut self, entry: usize, turn_ms: u64) {
        self.entries[entry].turn_ms = turn_ms;
        if turn_ms == 0 {
            self.wake_entry(entry);
        }
    }

    /// Opens the missing sessions, at most every 50 ms.
    fn connect(&mut self) {
        for entry in 0..self.entries.len() {
            for agent in 0..self.agents.len() {
                let connected = self
                    .sessions
                    .iter()
                    .any(|s| (s.entry, s.agent) == (entry, agent));
                let both_up = self.entries[entry].router.is_some() && !self.agents[agent].frozen;
                let retry_due = self.now.0.is_multiple_of(50);
                if connected || !both_up || !retry_due || self.cut.contains(&(entry, agent)) {
                    continue;
                }
                self.last_id += 1;
                let id = SessionId(self.last_id);
                self.sessions.push(Session {
                    entry,
                    agent,
                    life: self.entries[entry].life,
                    id,
                    last_heard_at: self.now.0,
                });
                let hello = InitiatorMessage::Hello(Initiator::Agent(format!("agent{agent}")));
                self.to_entries.push_back((self.now, id, hello));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        while self.to_agents.front().is_some_and(|(at, ..)| *at < now) {
            let Some((_, id, message)) = self.to_agents.pop_front() else {
                break;
            };
            let Some(session) = self.sessions.iter_mut().find(|s| s.id == id) else {
                continue;
            };
            let pair = (session.entry, session.agent);
            if self.cut.contains(&pair) || self.cut_to_agent.contains(&pair) {
                continue;
            }
            session.last_heard_at = now.0;
            let (agent, owner) = (session.agent, Owner::Entry(session.life));
            let input = match message {
                AcceptorMessage::Welcome { life, runs } => {
                    Some(ServerAgentInput::Welcome(life, runs))
                }
                AcceptorMessage::HeartbeatAck { at, grant } => {
                    grant.map(|grant| ServerAgentInput::Granted(owner, at + grant))
                }
                AcceptorMessage::Order(order) => {
                    let is_start = matches!(order, AgentOrder::Start { .. });
                    self.start_orders += u64::from(is_start);
                    self.want_messages += u64::from(matches!(order, AgentOrder::Want(_)));
                    Some(ServerAgentInput::Order(owner, order))
                }
                AcceptorMessage::Recorded { life, upto } => {
                    Some(ServerAgentInput::Recorded { owner, life, upto })
                }
                _ => None,
            };
            if let Some(input) = input {
                self.agent_input(agent, input);
            }
        }
        while self.to_entries.front().is_some_and(|(at, ..)| *at < now) {
            let Some((_, id, message)) = self.to_entries.pop_front() else {
                break;
            };
            let Some(session) = self.sessions.iter().find(|s| s.id == id).cloned() else {
                continue;
            };
            let pair = (session.entry, session.agent);
            if !self.cut.contains(&pair) && !self.cut_to_entry.contains(&pair) {
                self.router_input(session.entry, CallRouterInput::Message(id, message));
            }
        }
    }

    /// Executes the calls to backend servers that are due.
    fn execute_calls(&mut self) {
        let now = self.now;
        let due = self.late_replies.extract_if(.., |(at, ..)| *at <= now);
        for (_, agent, id, reply) in due.collect::<Vec<_>>() {
            self.reply(agent, id, reply);
        }
        while let Some((_, agent, id)) = self.lost_calls.pop_front_if(|(at, ..)| *at <= now) {
            self.reply(agent, id, ServerReply::NoAnswer);
        }
        while let Some((_, agent, call)) = self.delayed_calls.pop_front_if(|(at, ..)| *at <= now) {
            self.agents[agent].server.call(now, &call);
        }
        while let Some((_, agent, call)) = self.calls.pop_front_if(|(at, ..)| *at < now) {
            let is_start = matches!(call.kind, fulmardrift::ServerCallKind::Start { .. });
            self.server_calls += 1;
            if !is_start && self.agents[agent].unanswered_calls > 0 {
                self.agents[agent].unanswered_calls -= 1;
                self.lost_calls
                    .push_back((now + CALL_TIMEOUT, agent, call.id));
                continue;
            }
            if self.agents[agent].mute {
                let reply = self.agents[agent].server.call(now, &call);
                if reply == ServerReply::Unreachable {
                    self.reply(agent, call.id, reply);
                } else {
                    self.lost_calls
                        .push_back((now + CALL_TIMEOUT, agent, call.id));
                }
                continue;
            }
            let reply = match self.agents[agent].start_delay {
                Some(delay) if is_start => {
                    self.delayed_calls
                        .push_back((now + delay, agent, call.clone()));
                    ServerReply::NoAnswer
                }
                _ => self.agents[agent].server.call(now, &call),
            };
            let delay = self.agents[agent].answer_delay;
            if delay > Millis(0) {
                let reply = if delay < call.wait {
                    reply
                } else {
                    ServerReply::NoAnswer
                };
                let at = now + delay.min(call.wait);
                self.late_replies.push((at, agent, call.id, reply));
                continue;
            }
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
            if !self.entries[entry].frozen {
                self.router_input(entry, CallRouterInput::Tick);
            }
        }
    }

    fn send_announcements(&mut self) {
        for agent in 0..self.agents.len() {
            if !self.now.0.is_multiple_of(self.announcement_interval_ms) {
                break;
            }
            if self.agents[agent].server.is_down() {
                continue;
            }
            let heartbeat = self.agents[agent].server.heartbeat();
            self.agent_input(agent, ServerAgentInput::Heartbeat(heartbeat));
        }
    }

    fn send_heartbeats(&mut self) {
        for session in self.sessions.clone() {
            if !self.agents[session.agent].frozen {
                self.to_entries.push_back((
                    self.now,
                    session.id,
                    InitiatorMessage::Heartbeat(self.now),
                ));
            }
            let silent = self.now.0 - session.last_heard_at > SESSION_TIMEOUT_MS;
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

    /// Returns all runs, in order of their starts.
    pub fn spans(&self) -> Vec<Span> {
        let mut spans: Vec<Span> = Vec::new();
        for slot in &self.agents {
            spans.extend_from_slice(&slot.server.spans);
        }
        spans.sort_by_key(|span| span.started_at);
        spans
    }

    /// Returns the pairs of runs of one task that overlap.
    pub fn overlaps(&self) -> Vec<(Span, Span)> {
        let spans = self.spans();
        let mut pairs = Vec::new();
        for (i, a) in spans.iter().enumerate() {
            for b in &spans[i + 1..] {
                let apart = a.ended_at.is_some_and(|end| end <= b.started_at);
                if a.task == b.task && !apart {
                    pairs.push((*a, *b));
                }
            }
        }
        pairs
    }
}
