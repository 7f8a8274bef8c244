//! Three replicas that store jobs, an agent and its backend server, in virtual time.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};

use fulmardrift::{
    AcceptorMessage, AgentOrder, AgentReport, Call, CallReply, ClientAction, DiskId, Durable,
    Initiator, InitiatorMessage, JobGuard, JobId, Millis, Owner, Raft, RaftOutput, RaftTiming,
    Record, Replica, ReplicaId, ReplicaInput, ReplicaOutput, ReplicaTimes, Resources, Server,
    ServerAgent, ServerAgentInput, ServerAgentOutput, ServerReply, SessionId, Term, Times,
    first_disk,
};

use super::fleet::config;
use super::server::FakeServer;

const TIMES: ReplicaTimes = ReplicaTimes {
    keep: Millis(120_000),
};
const TIMING: RaftTiming = RaftTiming {
    election: Millis(450),
    heartbeat: Millis(90),
    margin: Millis(60),
};
/// Duration of a disk sync, in milliseconds.
const SYNC_MS: u64 = 9;
/// With more calls than this, a test's agent calls without end: one is handled in each millisecond.
const MAX_CALLS: usize = 2_000;
const AGENT_SESSION: SessionId = SessionId(1);
const OTHER_AGENT: SessionId = SessionId(2);
/// Incarnation number of an entry that keeps its session with the agent.
const ENTRY_LIFE: u64 = 77;
const ENTRY_GRANT: Millis = Millis(800);

pub struct Slot {
    pub replica: Option<Replica>,
    pub disk: DiskId,
    pub records: Vec<Record>,
    pub unsynced: VecDeque<(u64, u64, Vec<Record>)>,
}

/// A control group, and an agent that has a session with every replica.
pub struct TestGroup {
    pub now: Millis,
    pub slots: Vec<Slot>,
    pub net: VecDeque<(u64, ReplicaId, ReplicaInput)>,
    pub agent: ServerAgent,
    pub server: FakeServer,
    pub leader: Option<(usize, Term)>,
    pub calls: VecDeque<fulmardrift::ServerCall>,
    pub replies: BTreeMap<u64, CallReply>,
    pub last_token: u64,
    /// The agent's sessions with the replicas are cut; its session with the entry is not.
    pub agent_cut_off: bool,
    /// Safety rules that are turned off.
    pub disabled: Vec<JobGuard>,
    /// The backend server executes all calls, but its answers do not arrive.
    pub is_mute: bool,
    /// Number of the next start calls that are lost and get no answer.
    pub lost_starts: u32,
    /// Messages on sessions of other agents, which a test plays itself.
    pub other_messages: Vec<(SessionId, AcceptorMessage)>,
}

impl TestGroup {
    pub fn new(work: u64) -> Self {
        Self::with_disabled(work, &[])
    }

    /// Creates a group and an agent for which some safety rules are turned off.
    pub fn with_disabled(work: u64, disabled: &[JobGuard]) -> Self {
        let mut group = Self {
            now: Millis(1),
            slots: Vec::new(),
            net: VecDeque::new(),
            agent: ServerAgent::new(Times::default()),
            server: FakeServer::new("s0", "dc0", Millis(work)),
            leader: None,
            calls: VecDeque::new(),
            replies: BTreeMap::new(),
            last_token: 0,
            agent_cut_off: false,
            disabled: disabled.to_vec(),
            is_mute: false,
            lost_starts: 0,
            other_messages: Vec::new(),
        };
        for guard in disabled {
            group.agent.disable(*guard);
        }
        let founders = [1, 2, 3].map(ReplicaId);
        for id in founders {
            let disk = first_disk(&founders, id);
            group.slots.push(Slot {
                replica: None,
                disk,
                records: vec![Record::Disk(disk)],
                unsynced: VecDeque::new(),
            });
        }
        for at in 0..3 {
            group.start(at);
        }
        let heartbeat = group.server.heartbeat();
        group.agent_input(ServerAgentInput::Heartbeat(heartbeat));
        group.run(2_500);
        assert_eq!(
            group.ask(&Call::PutConfig(Some(config(1)))),
            CallReply::Done
        );
        group
    }

    pub fn start(&mut self, at: usize) {
        let id = ReplicaId(at as u64 + 1);
        let peers = (1..=3).map(ReplicaId).filter(|peer| *peer != id).collect();
        let slot = &mut self.slots[at];
        let durable = Durable {
            disk: slot.disk,
            records: slot.records.clone(),
        };
        let raft = Raft::new(id, peers, TIMING, durable, self.now, id.0).allow_joining(3);
        let mut replica = Replica::new(raft, TIMES).unwrap();
        for guard in &self.disabled {
            replica.disable(*guard);
        }
        slot.replica = Some(replica);
        let hello = InitiatorMessage::Hello(Initiator::Agent("agent".to_owned()));
        self.input(at, ReplicaInput::Message(AGENT_SESSION, hello));
    }

    /// Kills a replica's process, and loses what its disk had not synced.
    pub fn kill(&mut self, at: usize) {
        self.slots[at].replica = None;
        self.slots[at].unsynced.clear();
        if self.leader.is_some_and(|(leader, _)| leader == at) {
            self.leader = None;
            self.agent_input(ServerAgentInput::Leader(None));
        }
    }

    /// Kills a replica's process and replaces its disk with an empty one.
    pub fn wipe(&mut self, at: usize) {
        self.kill(at);
        let disk = DiskId(self.slots[at].disk.0 + 1_000);
        self.slots[at].disk = disk;
        self.slots[at].records = vec![Record::Disk(disk)];
    }

    /// Cuts the agent off from the group, while an entry goes on granting it the right to act.
    pub fn cut_off_agent(&mut self) {
        self.agent_cut_off = true;
        self.leader = None;
        self.agent_input(ServerAgentInput::Leader(None));
        self.agent_input(ServerAgentInput::Welcome(ENTRY_LIFE, Vec::new()));
        for at in 0..3 {
            self.input(at, ReplicaInput::Closed(AGENT_SESSION));
        }
    }

    pub fn reconnect_agent(&mut self) {
        self.agent_cut_off = false;
        for at in 0..3 {
            let hello = InitiatorMessage::Hello(Initiator::Agent("agent".to_owned()));
            self.input(at, ReplicaInput::Message(AGENT_SESSION, hello));
        }
    }

    /// Restarts the agent's process. Its backend server runs on and announces itself at once.
    pub fn restart_agent(&mut self) {
        self.agent = ServerAgent::new(Times::default());
        for guard in &self.disabled {
            self.agent.disable(*guard);
        }
        self.calls.clear();
        self.leader = None;
        for at in 0..3 {
            self.input(at, ReplicaInput::Closed(AGENT_SESSION));
        }
        self.reconnect_agent();
        let heartbeat = self.server.heartbeat();
        self.agent_input(ServerAgentInput::Heartbeat(heartbeat));
    }

    pub fn input(&mut self, at: usize, input: ReplicaInput) {
        let now = self.now;
        let Some(replica) = &mut self.slots[at].replica else {
            return;
        };
        let mut out = Vec::new();
        replica.step(now, input, &mut out).unwrap();
        replica.flush(now, &mut out).unwrap();
        for output in out {
            self.handle_output(at, output);
        }
    }

    pub fn handle_output(&mut self, at: usize, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Raft(RaftOutput::Write(number, records)) => {
                let due = self.now.0 + SYNC_MS;
                self.slots[at].unsynced.push_back((due, number, records));
            }
            ReplicaOutput::Raft(RaftOutput::Send(message)) => {
                let to = message.to;
                let input = ReplicaInput::Message(SessionId(90), InitiatorMessage::Peer(message));
                self.net.push_back((self.now.0 + 1, to, input));
            }
            ReplicaOutput::Message(AGENT_SESSION, message) if !self.agent_cut_off => {
                self.deliver_to_agent(at, message);
            }
            ReplicaOutput::Message(session, message) if session != AGENT_SESSION => {
                self.other_messages.push((session, message));
            }
            ReplicaOutput::Raft(_) | ReplicaOutput::Message(..) => {}
            ReplicaOutput::Reply(token, reply) => {
                self.replies.insert(token, reply);
            }
        }
    }

    pub fn deliver_to_agent(&mut self, at: usize, message: AcceptorMessage) {
        let leads = self.leader.is_some_and(|(leader, _)| leader == at);
        let input = match message {
            AcceptorMessage::Status {
                leads: true, term, ..
            } if self.leader.is_none_or(|(_, known)| known < term) => {
                self.leader = Some((at, term));
                ServerAgentInput::Leader(Some(term))
            }
            AcceptorMessage::HeartbeatAck {
                at,
                grant: Some(grant),
            } if leads => ServerAgentInput::Granted(Owner::Group, at + grant),
            AcceptorMessage::Order(order) if leads => ServerAgentInput::Order(Owner::Group, order),
            AcceptorMessage::Recorded { life, upto } if leads => ServerAgentInput::Recorded {
                owner: Owner::Group,
                life,
                upto,
            },
            AcceptorMessage::Evacuated(index, data_centres) => {
                ServerAgentInput::Evacuated(index, data_centres)
            }
            _ => return,
        };
        self.agent_input(input);
    }

    pub fn agent_input(&mut self, input: ServerAgentInput) {
        let mut out = Vec::new();
        self.agent.step(self.now, input, &mut out);
        for output in out {
            match output {
                ServerAgentOutput::Call(call) => self.calls.push_back(call),
                ServerAgentOutput::Report(Owner::Group, report) => {
                    if let Some((leader, _)) = self.leader {
                        self.input(
                            leader,
                            ReplicaInput::Message(AGENT_SESSION, InitiatorMessage::Report(report)),
                        );
                    }
                }
                ServerAgentOutput::Report(..) => {}
            }
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = Millis(self.now.0 + 1);
            let now = self.now;
            for at in 0..3 {
                while let Some((_, number, records)) = self.slots[at]
                    .unsynced
                    .pop_front_if(|(due, ..)| *due <= now.0)
                {
                    self.slots[at].records.extend(records);
                    let synced = fulmardrift::RaftInput::Synced(number);
                    self.input(at, ReplicaInput::Raft(synced));
                }
            }
            while let Some((_, to, input)) = self.net.pop_front_if(|(due, ..)| *due <= now.0) {
                self.input(usize::try_from(to.0).unwrap() - 1, input);
            }
            while let Some(call) = self.calls.pop_front() {
                let is_start = matches!(call.kind, fulmardrift::ServerCallKind::Start { .. });
                let reply = if is_start && self.lost_starts > 0 {
                    self.lost_starts -= 1;
                    ServerReply::NoAnswer
                } else {
                    let reply = self.server.call(now, &call);
                    if self.is_mute {
                        ServerReply::NoAnswer
                    } else {
                        reply
                    }
                };
                self.agent_input(ServerAgentInput::Replied(call.id, reply));
                if self.calls.len() > MAX_CALLS {
                    break;
                }
                if matches!(call.kind, fulmardrift::ServerCallKind::Hold { .. }) {
                    // A hold call takes time: the next call is handled in the next millisecond.
                    break;
                }
            }
            if now.0.is_multiple_of(250) && !self.server.is_down() {
                let heartbeat = self.server.heartbeat();
                self.agent_input(ServerAgentInput::Heartbeat(heartbeat));
            }
            if now.0.is_multiple_of(20) {
                self.server.tick(now);
                for at in 0..3 {
                    self.input(at, ReplicaInput::Tick);
                }
                self.agent_input(ServerAgentInput::Tick);
            }
            if now.0.is_multiple_of(250) && self.agent_cut_off {
                let until = now + ENTRY_GRANT;
                self.agent_input(ServerAgentInput::Granted(Owner::Entry(ENTRY_LIFE), until));
            } else if now.0.is_multiple_of(250) {
                for at in 0..3 {
                    self.input(
                        at,
                        ReplicaInput::Message(AGENT_SESSION, InitiatorMessage::Heartbeat(now)),
                    );
                }
            }
        }
    }

    /// Sends a call to one replica after the other until the leader has replied.
    pub fn ask(&mut self, call: &Call) -> CallReply {
        for _ in 0..200 {
            for at in 0..3 {
                self.last_token += 1;
                let token = self.last_token;
                self.input(at, ReplicaInput::Call(token, call.clone()));
                self.run(60);
                match self.replies.get(&token) {
                    None | Some(CallReply::NotLeader | CallReply::Unknown) => {}
                    Some(reply) => return reply.clone(),
                }
            }
        }
        panic!("no leader answered");
    }

    /// Another agent, whose worker is idle, connects to a replica that leads. It sends some reports
    /// before and after its inventory.
    pub fn connect_other_agent(
        &mut self,
        leader: usize,
        before: &[AgentReport],
        after: &[AgentReport],
    ) {
        let raft = self.slots[leader].replica.as_ref().unwrap().raft();
        let inventory = AgentReport::Inventory {
            epoch: raft.term().0,
            server: Some(Server {
                life: 2,
                id: "s1".to_owned(),
                service: "desk".to_owned(),
                data_centre: "dc0".to_owned(),
                capacity: Resources {
                    cpu: 4_000,
                    memory: 4_000,
                    gpu: 0,
                },
                labels: Vec::new(),
                leaving: false,
            }),
            runs: Vec::new(),
        };
        let hello = InitiatorMessage::Hello(Initiator::Agent("other".to_owned()));
        self.input(leader, ReplicaInput::Message(OTHER_AGENT, hello));
        for report in before.iter().chain([&inventory]).chain(after) {
            let report = InitiatorMessage::Report(report.clone());
            self.input(leader, ReplicaInput::Message(OTHER_AGENT, report));
        }
    }

    /// The other agent sends a heartbeat to a replica.
    pub fn send_other_heartbeat(&mut self, leader: usize) {
        let heartbeat = InitiatorMessage::Heartbeat(self.now);
        self.input(leader, ReplicaInput::Message(OTHER_AGENT, heartbeat));
    }

    /// True once the other agent was ordered to start a run.
    pub fn other_agent_has_order(&self) -> bool {
        let is_start = |(_, message): &(SessionId, AcceptorMessage)| {
            matches!(message, AcceptorMessage::Order(AgentOrder::Start { .. }))
        };
        self.other_messages.iter().any(is_start)
    }

    /// True while a replica leads and may act as the leader.
    pub fn is_led(&self) -> bool {
        let mut replicas = self.slots.iter().filter_map(|s| s.replica.as_ref());
        replicas.any(|r| r.raft().holds_lease(self.now))
    }

    pub fn leader(&self) -> usize {
        let leads = |slot: &Slot| slot.replica.as_ref().is_some_and(|r| r.raft().is_leader());
        self.slots.iter().position(leads).unwrap()
    }

    pub fn job_status(&mut self, id: JobId) -> CallReply {
        self.ask(&Call::Client {
            host: "desk.example".to_owned(),
            path: format!("/jobs/{id}"),
            action: ClientAction::Query,
        })
    }

    /// Returns true if no two runs of a task overlap, and no run follows one that succeeded and
    /// whose end was confirmed to the backend server while its lease lasted.
    pub fn runs_each_task_once(&self) -> bool {
        for (i, a) in self.server.spans.iter().enumerate() {
            for b in &self.server.spans[i + 1..] {
                let done = a.outcome == Some(fulmardrift::RunOutcome::Done) && a.confirmed;
                let ended_before = a.ended_at.is_some_and(|end| end <= b.started_at);
                if a.task == b.task && (!ended_before || done) {
                    return false;
                }
            }
        }
        true
    }
}
