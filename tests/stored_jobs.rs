//! Stored jobs: three replicas, an agent and its backend server, in virtual time.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;

use std::collections::{BTreeMap, VecDeque};

use fulmardrift::{
    AcceptorMessage, AgentTimes, Call, CallReply, ClientAction, DiskId, Durable, Initiator,
    InitiatorMessage, JobGuard, JobId, JobStatus, Millis, OperatorConfig, Owner, Raft, RaftOutput,
    RaftTiming, Record, Replica, ReplicaId, ReplicaInput, ReplicaOutput, ReplicaTimes, ServerAgent,
    ServerAgentInput, ServerAgentOutput, SessionId, Term,
};

use fleet::{HOLD, job, setup, submit};
use server::FakeServer;

const TIMES: ReplicaTimes = ReplicaTimes {
    keep: Millis(120_000),
};
const TIMING: RaftTiming = RaftTiming {
    election: Millis(450),
    heartbeat: Millis(90),
    margin: Millis(60),
};
/// A sync of a disk.
const SYNC: u64 = 9;
const AGENT: SessionId = SessionId(1);
/// The life of an entry that keeps its session with the agent.
const ENTRY: u64 = 77;
const ENTRY_GRANT: Millis = Millis(800);

struct Slot {
    replica: Option<Replica>,
    disk: DiskId,
    records: Vec<Record>,
    unsynced: VecDeque<(u64, u64, Vec<Record>)>,
}

/// The group; its agent has a session with every replica.
struct Group {
    now: Millis,
    slots: Vec<Slot>,
    net: VecDeque<(u64, ReplicaId, ReplicaInput)>,
    agent: ServerAgent,
    server: FakeServer,
    leader: Option<(usize, Term)>,
    calls: VecDeque<fulmardrift::ServerCall>,
    replies: BTreeMap<u64, CallReply>,
    tokens: u64,
    /// The agent reaches no replica, but an entry.
    cut: bool,
    /// Rules that are turned off.
    off: Vec<JobGuard>,
}

impl Group {
    fn new(work: u64) -> Self {
        Self::without(work, &[])
    }

    /// A group and an agent in which some rules are turned off.
    fn without(work: u64, off: &[JobGuard]) -> Self {
        let mut group = Self {
            now: Millis(1),
            slots: Vec::new(),
            net: VecDeque::new(),
            agent: ServerAgent::new(AgentTimes { max_lease: HOLD }),
            server: FakeServer::new("s0", "dc0", Millis(work)),
            leader: None,
            calls: VecDeque::new(),
            replies: BTreeMap::new(),
            tokens: 0,
            cut: false,
            off: off.to_vec(),
        };
        for guard in off {
            group.agent.disable(*guard);
        }
        for at in 0..3 {
            group.slots.push(Slot {
                replica: None,
                disk: DiskId(100 + at),
                records: vec![Record::Disk(DiskId(100 + at))],
                unsynced: VecDeque::new(),
            });
        }
        for at in 0..3 {
            group.start(at, true);
        }
        let beat = group.server.beat();
        group.agent_input(ServerAgentInput::Heartbeat(beat));
        group.run(2_500);
        assert_eq!(group.ask(&Call::PutConfig(Some(setup(1)))), CallReply::Done);
        group
    }

    fn start(&mut self, at: usize, founder: bool) {
        let id = ReplicaId(at as u64 + 1);
        let peers = (1..=3).map(ReplicaId).filter(|peer| *peer != id).collect();
        let slot = &mut self.slots[at];
        let durable = Durable {
            disk: slot.disk,
            records: slot.records.clone(),
        };
        let raft = Raft::new(id, peers, TIMING, durable, self.now, id.0).allow_joining(founder);
        let mut replica = Replica::new(raft, TIMES).unwrap();
        for guard in &self.off {
            replica.disable(*guard);
        }
        slot.replica = Some(replica);
        let hello = InitiatorMessage::Hello(Initiator::Agent("agent".to_owned()));
        self.input(at, ReplicaInput::Message(AGENT, hello));
    }

    /// Loses a replica's process, and what its disk had not synced.
    fn kill(&mut self, at: usize) {
        self.slots[at].replica = None;
        self.slots[at].unsynced.clear();
        if self.leader.is_some_and(|(leader, _)| leader == at) {
            self.leader = None;
            self.agent_input(ServerAgentInput::Leader(None));
        }
    }

    /// Loses a replica's disk as well.
    fn wipe(&mut self, at: usize) {
        self.kill(at);
        let disk = DiskId(self.slots[at].disk.0 + 1_000);
        self.slots[at].disk = disk;
        self.slots[at].records = vec![Record::Disk(disk)];
    }

    /// Cuts the agent off from the group, and lets an entry grant it on.
    fn cut_agent(&mut self) {
        self.cut = true;
        self.leader = None;
        self.agent_input(ServerAgentInput::Leader(None));
        self.agent_input(ServerAgentInput::Welcome(ENTRY, Vec::new()));
        for at in 0..3 {
            self.input(at, ReplicaInput::Closed(AGENT));
        }
    }

    fn heal_agent(&mut self) {
        self.cut = false;
        for at in 0..3 {
            let hello = InitiatorMessage::Hello(Initiator::Agent("agent".to_owned()));
            self.input(at, ReplicaInput::Message(AGENT, hello));
        }
    }

    fn input(&mut self, at: usize, input: ReplicaInput) {
        let now = self.now;
        let Some(replica) = &mut self.slots[at].replica else {
            return;
        };
        let mut out = Vec::new();
        replica.step(now, input, &mut out).unwrap();
        replica.flush(now, &mut out).unwrap();
        for output in out {
            self.put(at, output);
        }
    }

    fn put(&mut self, at: usize, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Raft(RaftOutput::Write(number, records)) => {
                let due = self.now.0 + SYNC;
                self.slots[at].unsynced.push_back((due, number, records));
            }
            ReplicaOutput::Raft(RaftOutput::Send(message)) => {
                let to = message.to;
                let input = ReplicaInput::Message(SessionId(90), InitiatorMessage::Peer(message));
                self.net.push_back((self.now.0 + 1, to, input));
            }
            ReplicaOutput::Message(AGENT, down) if !self.cut => self.tell_agent(at, down),
            ReplicaOutput::Raft(_) | ReplicaOutput::Message(..) => {}
            ReplicaOutput::Reply(token, reply) => {
                self.replies.insert(token, reply);
            }
        }
    }

    fn tell_agent(&mut self, at: usize, down: AcceptorMessage) {
        let leads = self.leader.is_some_and(|(leader, _)| leader == at);
        let input = match down {
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

    fn agent_input(&mut self, input: ServerAgentInput) {
        let mut out = Vec::new();
        self.agent.step(self.now, input, &mut out);
        for output in out {
            match output {
                ServerAgentOutput::Call(call) => self.calls.push_back(call),
                ServerAgentOutput::Report(Owner::Group, report) => {
                    if let Some((leader, _)) = self.leader {
                        self.input(
                            leader,
                            ReplicaInput::Message(AGENT, InitiatorMessage::Report(report)),
                        );
                    }
                }
                ServerAgentOutput::Report(..) => {}
            }
        }
    }

    fn run(&mut self, ms: u64) {
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
                let reply = self.server.call(now, &call);
                self.agent_input(ServerAgentInput::Replied(call.id, reply));
                if self.calls.len() > 64 {
                    break;
                }
                if matches!(call.kind, fulmardrift::ServerCallKind::Hold { .. }) {
                    // A look takes time; the next one is for the next millisecond.
                    break;
                }
            }
            if now.0.is_multiple_of(20) {
                self.server.tick(now);
                for at in 0..3 {
                    self.input(at, ReplicaInput::Tick);
                }
                self.agent_input(ServerAgentInput::Tick);
            }
            if now.0.is_multiple_of(250) && self.cut {
                let until = now + ENTRY_GRANT;
                self.agent_input(ServerAgentInput::Granted(Owner::Entry(ENTRY), until));
            } else if now.0.is_multiple_of(250) {
                for at in 0..3 {
                    self.input(
                        at,
                        ReplicaInput::Message(AGENT, InitiatorMessage::Heartbeat(now)),
                    );
                }
            }
        }
    }

    /// Asks every replica until one that leads has answered.
    fn ask(&mut self, call: &Call) -> CallReply {
        for _ in 0..200 {
            for at in 0..3 {
                self.tokens += 1;
                let token = self.tokens;
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

    fn leader(&self) -> usize {
        let leads = |slot: &Slot| slot.replica.as_ref().is_some_and(|r| r.raft().is_leader());
        self.slots.iter().position(leads).unwrap()
    }

    fn look(&mut self, id: JobId) -> CallReply {
        self.ask(&Call::Client {
            host: "desk.example".to_owned(),
            path: format!("/jobs/{id}"),
            action: ClientAction::Query,
        })
    }

    /// No two runs of a task overlap, and none follows one that ended with success
    /// and whose end was confirmed to the backend server while its lease lasted.
    fn is_once(&self) -> bool {
        for (i, a) in self.server.spans.iter().enumerate() {
            for b in &self.server.spans[i + 1..] {
                let done = a.how == Some(fulmardrift::RunOutcome::Done) && a.confirmed;
                let over = a.to.is_some_and(|to| to <= b.from);
                if a.task == b.task && (!over || done) {
                    return false;
                }
            }
        }
        true
    }
}

const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);

#[test]
fn a_stored_job_is_accepted_run_and_shown() {
    let mut group = Group::new(100);
    assert_eq!(
        group.ask(&submit(JobId(1), job(3, 100, false))),
        CallReply::Done
    );
    assert_eq!(
        group.ask(&submit(JobId(1), job(3, 100, false))),
        CallReply::Done
    );
    group.run(500);
    assert_eq!(group.look(JobId(1)), COMPLETED);
    assert_eq!(group.look(JobId(2)), CallReply::NoJob);
    assert_eq!(group.server.spans.len(), 3);
}

#[test]
fn a_new_leader_finishes_what_the_former_one_accepted() {
    for wait in [10, 60, 150, 400, 900] {
        let mut group = Group::new(300);
        assert_eq!(
            group.ask(&submit(JobId(1), job(4, 300, false))),
            CallReply::Done
        );
        group.run(wait);
        let leader = group.leader();
        group.kill(leader);
        group.run(6_000);
        assert_eq!(group.look(JobId(1)), COMPLETED, "killed after {wait} ms");
        assert!(group.is_once(), "{:?}", group.server.spans);
    }
}

#[test]
fn jobs_survive_the_loss_of_all_processes() {
    let mut group = Group::new(300);
    assert_eq!(
        group.ask(&submit(JobId(1), job(4, 300, false))),
        CallReply::Done
    );
    for at in 0..3 {
        group.kill(at);
    }
    group.run(500);
    for at in 0..3 {
        group.start(at, false);
    }
    group.run(6_000);
    assert_eq!(group.look(JobId(1)), COMPLETED);
    assert!(group.is_once(), "{:?}", group.server.spans);
}

#[test]
fn a_wiped_leader_loses_nothing() {
    let mut group = Group::new(100);
    assert_eq!(group.ask(&Call::PutConfig(Some(setup(5)))), CallReply::Done);
    let leader = group.leader();
    group.wipe(leader);
    group.run(200);
    group.start(leader, false);
    group.run(4_000);
    assert_eq!(
        group.ask(&Call::GetConfig),
        CallReply::Document(setup(5).document)
    );
    let voters = group.slots[group.leader()]
        .replica
        .as_ref()
        .unwrap()
        .raft()
        .voters()
        .len();
    assert_eq!(voters, 3, "the new disk has taken the old one's place");
}

#[test]
fn a_cancelled_job_is_stopped_and_starts_no_more() {
    let mut group = Group::new(2_000);
    assert_eq!(
        group.ask(&submit(JobId(1), job(8, 2_000, false))),
        CallReply::Done
    );
    group.run(100);
    let cancel = Call::Client {
        host: "desk.example".to_owned(),
        path: format!("/jobs/{}", JobId(1)),
        action: ClientAction::Cancel,
    };
    assert_eq!(group.ask(&cancel), CallReply::Done);
    let begun = group.server.spans.len();
    group.run(1_000);
    assert_eq!(group.look(JobId(1)), CallReply::State(JobStatus::Cancelled));
    assert_eq!(group.server.runs(), 0);
    assert_eq!(group.server.spans.len(), begun);
}

#[test]
fn the_highest_version_wins_and_other_content_under_it_is_refused() {
    let mut group = Group::new(100);
    assert_eq!(group.ask(&Call::PutConfig(Some(setup(7)))), CallReply::Done);
    assert_eq!(group.ask(&Call::PutConfig(Some(setup(3)))), CallReply::Done);
    assert_eq!(group.ask(&Call::PutConfig(Some(setup(7)))), CallReply::Done);
    let other = OperatorConfig {
        document: b"something else".to_vec(),
        ..setup(7)
    };
    assert_eq!(
        group.ask(&Call::PutConfig(Some(other))),
        CallReply::Conflict
    );
    assert!(matches!(
        group.ask(&Call::PutConfig(None)),
        CallReply::Invalid(_)
    ));
    assert_eq!(
        group.ask(&Call::GetConfig),
        CallReply::Document(setup(7).document)
    );
}

#[test]
fn nothing_starts_in_a_data_centre_that_is_out() {
    let mut group = Group::new(100);
    assert_eq!(
        group.ask(&Call::Evacuate("dc0".to_owned(), true)),
        CallReply::Done
    );
    assert_eq!(
        group.ask(&submit(JobId(1), job(2, 100, false))),
        CallReply::Done
    );
    group.run(1_000);
    assert_eq!(group.server.spans, []);
    assert_eq!(
        group.ask(&Call::Evacuate("dc0".to_owned(), false)),
        CallReply::Done
    );
    group.run(500);
    assert_eq!(group.look(JobId(1)), COMPLETED);
}

/// Cuts the agent off for all kinds of times; how often a task ran twice.
fn repeated_behind_a_cut(off: &[JobGuard]) -> usize {
    let mut repeated = 0;
    for (before, work) in [(10, 300), (100, 300), (200, 1_200), (200, 2_000)] {
        for cut in [600, 1_200, 1_600, 2_200, 2_600, 2_900, 3_300, 5_000] {
            let mut group = Group::without(work, off);
            assert_eq!(
                group.ask(&submit(JobId(1), job(3, work, false))),
                CallReply::Done
            );
            group.run(before);
            group.cut_agent();
            group.run(cut);
            group.heal_agent();
            group.run(5_000);
            assert_eq!(group.look(JobId(1)), COMPLETED, "cut for {cut} ms");
            repeated += usize::from(!group.is_once());
        }
    }
    repeated
}

#[test]
fn a_run_behind_a_cut_is_not_repeated_once_its_end_is_confirmed() {
    assert_eq!(repeated_behind_a_cut(&[]), 0);
}

/// Takes the power from all replicas around the time of the first end; how often a
/// task ran twice.
fn repeated_after_a_kill(off: &[JobGuard]) -> usize {
    let mut repeated = 0;
    for wait in 200..320 {
        let mut group = Group::without(300, off);
        assert_eq!(
            group.ask(&submit(JobId(1), job(4, 300, false))),
            CallReply::Done
        );
        group.run(wait);
        for at in 0..3 {
            group.kill(at);
        }
        group.run(200);
        for at in 0..3 {
            group.start(at, false);
        }
        group.run(4_000);
        assert_eq!(group.look(JobId(1)), COMPLETED, "killed after {wait} ms");
        repeated += usize::from(!group.is_once());
    }
    repeated
}

#[test]
fn an_end_is_confirmed_only_once_it_is_on_record() {
    assert_eq!(repeated_after_a_kill(&[]), 0);
    assert!(repeated_after_a_kill(&[JobGuard::Record]) > 0);
}

#[test]
fn jobs_that_have_not_begun_are_counted_by_a_new_leader() {
    let mut group = Group::new(100);
    assert_eq!(
        group.ask(&Call::Evacuate("dc0".to_owned(), true)),
        CallReply::Done
    );
    for id in 1..=5 {
        assert_eq!(
            group.ask(&submit(JobId(id), job(1, 100, false))),
            CallReply::Done
        );
    }
    let queue = Call::Client {
        host: "desk.example".to_owned(),
        path: "/jobs/".to_owned(),
        action: ClientAction::Query,
    };
    assert_eq!(group.ask(&queue), CallReply::Pending(5));
    group.kill(group.leader());
    group.run(3_000);
    assert_eq!(group.ask(&queue), CallReply::Pending(5));
}

#[test]
fn a_failed_run_that_two_leaders_record_counts_once() {
    // The former leader records the end, and is lost before the agent hears so.
    for wait in 0..60 {
        let mut group = Group::new(200);
        group.server.fails = 2;
        assert_eq!(
            group.ask(&submit(JobId(1), job(1, 200, false))),
            CallReply::Done
        );
        group.run(140 + wait);
        let leader = group.leader();
        group.kill(leader);
        group.run(200);
        group.start(leader, false);
        group.run(6_000);
        assert_eq!(group.look(JobId(1)), COMPLETED, "killed after {wait} ms");
    }
}
