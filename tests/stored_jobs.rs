//! Tests of stored jobs with three replicas, one agent and its backend server, in virtual time.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;

use std::collections::{BTreeMap, VecDeque};

use fulmardrift::{
    AcceptorMessage, AgentTimes, Call, CallReply, ClientAction, DiskId, Durable, Initiator,
    InitiatorMessage, JobGuard, JobId, JobStatus, Millis, OperatorConfig, Owner, Raft, RaftOutput,
    RaftTiming, Record, Replica, ReplicaId, ReplicaInput, ReplicaOutput, ReplicaTimes, RunId,
    ServerAgent, ServerAgentInput, ServerAgentOutput, SessionId, TaskId, Term,
};

use fleet::{MAX_LEASE, config, job, submit};
use server::FakeServer;

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
const AGENT_SESSION: SessionId = SessionId(1);
/// Incarnation number of an entry that keeps its session with the agent.
const ENTRY_LIFE: u64 = 77;
const ENTRY_GRANT: Millis = Millis(800);

struct Slot {
    replica: Option<Replica>,
    disk: DiskId,
    records: Vec<Record>,
    unsynced: VecDeque<(u64, u64, Vec<Record>)>,
}

/// A control group, and an agent that has a session with every replica.
struct TestGroup {
    now: Millis,
    slots: Vec<Slot>,
    net: VecDeque<(u64, ReplicaId, ReplicaInput)>,
    agent: ServerAgent,
    server: FakeServer,
    leader: Option<(usize, Term)>,
    calls: VecDeque<fulmardrift::ServerCall>,
    replies: BTreeMap<u64, CallReply>,
    last_token: u64,
    /// The agent's sessions with the replicas are cut; its session with the entry is not.
    agent_cut_off: bool,
    /// Safety rules that are turned off.
    disabled: Vec<JobGuard>,
}

impl TestGroup {
    fn new(work: u64) -> Self {
        Self::with_disabled(work, &[])
    }

    /// Creates a group and an agent for which some safety rules are turned off.
    fn with_disabled(work: u64, disabled: &[JobGuard]) -> Self {
        let mut group = Self {
            now: Millis(1),
            slots: Vec::new(),
            net: VecDeque::new(),
            agent: ServerAgent::new(AgentTimes {
                max_lease: MAX_LEASE,
            }),
            server: FakeServer::new("s0", "dc0", Millis(work)),
            leader: None,
            calls: VecDeque::new(),
            replies: BTreeMap::new(),
            last_token: 0,
            agent_cut_off: false,
            disabled: disabled.to_vec(),
        };
        for guard in disabled {
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
        let heartbeat = group.server.heartbeat();
        group.agent_input(ServerAgentInput::Heartbeat(heartbeat));
        group.run(2_500);
        assert_eq!(
            group.ask(&Call::PutConfig(Some(config(1)))),
            CallReply::Done
        );
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
        let raft = Raft::new(id, peers, TIMING, durable, self.now, id.0).allow_joining(founder, 3);
        let mut replica = Replica::new(raft, TIMES).unwrap();
        for guard in &self.disabled {
            replica.disable(*guard);
        }
        slot.replica = Some(replica);
        let hello = InitiatorMessage::Hello(Initiator::Agent("agent".to_owned()));
        self.input(at, ReplicaInput::Message(AGENT_SESSION, hello));
    }

    /// Kills a replica's process, and loses what its disk had not synced.
    fn kill(&mut self, at: usize) {
        self.slots[at].replica = None;
        self.slots[at].unsynced.clear();
        if self.leader.is_some_and(|(leader, _)| leader == at) {
            self.leader = None;
            self.agent_input(ServerAgentInput::Leader(None));
        }
    }

    /// Kills a replica's process and replaces its disk with an empty one.
    fn wipe(&mut self, at: usize) {
        self.kill(at);
        let disk = DiskId(self.slots[at].disk.0 + 1_000);
        self.slots[at].disk = disk;
        self.slots[at].records = vec![Record::Disk(disk)];
    }

    /// Cuts the agent off from the group, while an entry goes on granting it the right to act.
    fn cut_off_agent(&mut self) {
        self.agent_cut_off = true;
        self.leader = None;
        self.agent_input(ServerAgentInput::Leader(None));
        self.agent_input(ServerAgentInput::Welcome(ENTRY_LIFE, Vec::new()));
        for at in 0..3 {
            self.input(at, ReplicaInput::Closed(AGENT_SESSION));
        }
    }

    fn reconnect_agent(&mut self) {
        self.agent_cut_off = false;
        for at in 0..3 {
            let hello = InitiatorMessage::Hello(Initiator::Agent("agent".to_owned()));
            self.input(at, ReplicaInput::Message(AGENT_SESSION, hello));
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
            self.handle_output(at, output);
        }
    }

    fn handle_output(&mut self, at: usize, output: ReplicaOutput) {
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
            ReplicaOutput::Raft(_) | ReplicaOutput::Message(..) => {}
            ReplicaOutput::Reply(token, reply) => {
                self.replies.insert(token, reply);
            }
        }
    }

    fn deliver_to_agent(&mut self, at: usize, message: AcceptorMessage) {
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
                            ReplicaInput::Message(AGENT_SESSION, InitiatorMessage::Report(report)),
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
                    // A hold call takes time: the next call is handled in the next millisecond.
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
    fn ask(&mut self, call: &Call) -> CallReply {
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

    fn leader(&self) -> usize {
        let leads = |slot: &Slot| slot.replica.as_ref().is_some_and(|r| r.raft().is_leader());
        self.slots.iter().position(leads).unwrap()
    }

    fn job_status(&mut self, id: JobId) -> CallReply {
        self.ask(&Call::Client {
            host: "desk.example".to_owned(),
            path: format!("/jobs/{id}"),
            action: ClientAction::Query,
        })
    }

    /// Returns true if no two runs of a task overlap, and no run follows one that succeeded and
    /// whose end was confirmed to the backend server while its lease lasted.
    fn runs_each_task_once(&self) -> bool {
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

const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);

#[test]
fn a_stored_job_is_accepted_run_and_shown() {
    let mut group = TestGroup::new(100);
    assert_eq!(
        group.ask(&submit(JobId(1), job(3, 100, false))),
        CallReply::Done
    );
    assert_eq!(
        group.ask(&submit(JobId(1), job(3, 100, false))),
        CallReply::Done
    );
    group.run(500);
    assert_eq!(group.job_status(JobId(1)), COMPLETED);
    assert_eq!(group.job_status(JobId(2)), CallReply::NoJob);
    assert_eq!(group.server.spans.len(), 3);
}

#[test]
fn a_new_leader_finishes_what_the_former_one_accepted() {
    for wait in [10, 60, 150, 400, 900] {
        let mut group = TestGroup::new(300);
        assert_eq!(
            group.ask(&submit(JobId(1), job(4, 300, false))),
            CallReply::Done
        );
        group.run(wait);
        let leader = group.leader();
        group.kill(leader);
        group.run(6_000);
        assert_eq!(
            group.job_status(JobId(1)),
            COMPLETED,
            "killed after {wait} ms"
        );
        assert!(group.runs_each_task_once(), "{:?}", group.server.spans);
    }
}

#[test]
fn jobs_survive_the_loss_of_all_processes() {
    let mut group = TestGroup::new(300);
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
    assert_eq!(group.job_status(JobId(1)), COMPLETED);
    assert!(group.runs_each_task_once(), "{:?}", group.server.spans);
}

#[test]
fn a_wiped_leader_loses_nothing() {
    let mut group = TestGroup::new(100);
    assert_eq!(
        group.ask(&Call::PutConfig(Some(config(5)))),
        CallReply::Done
    );
    let leader = group.leader();
    group.wipe(leader);
    group.run(200);
    group.start(leader, false);
    group.run(4_000);
    assert_eq!(
        group.ask(&Call::GetConfig),
        CallReply::Document(config(5).document)
    );
    let voters = group.slots[group.leader()]
        .replica
        .as_ref()
        .unwrap()
        .raft()
        .voters()
        .len();
    assert_eq!(voters, 3, "the new disk replaced the old one");
}

#[test]
fn a_cancelled_job_is_stopped_and_starts_no_more() {
    let mut group = TestGroup::new(2_000);
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
    let started = group.server.spans.len();
    group.run(1_000);
    assert_eq!(
        group.job_status(JobId(1)),
        CallReply::State(JobStatus::Cancelled)
    );
    assert_eq!(group.server.run_count(), 0);
    assert_eq!(group.server.spans.len(), started);
}

#[test]
fn the_highest_version_wins_and_other_content_under_it_is_refused() {
    let mut group = TestGroup::new(100);
    assert_eq!(
        group.ask(&Call::PutConfig(Some(config(7)))),
        CallReply::Done
    );
    assert_eq!(
        group.ask(&Call::PutConfig(Some(config(3)))),
        CallReply::Done
    );
    assert_eq!(
        group.ask(&Call::PutConfig(Some(config(7)))),
        CallReply::Done
    );
    let other = OperatorConfig {
        document: b"something else".to_vec(),
        ..config(7)
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
        CallReply::Document(config(7).document)
    );
}

#[test]
fn nothing_starts_in_a_data_centre_that_is_out() {
    let mut group = TestGroup::new(100);
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
    assert_eq!(group.job_status(JobId(1)), COMPLETED);
}

/// Cuts the agent off at several times and for several durations. Returns in how many trials a task
/// was repeated.
fn repeats_after_cut_off(disabled: &[JobGuard]) -> usize {
    let mut repeats = 0;
    for (before, work) in [(10, 300), (100, 300), (200, 1_200), (200, 2_000)] {
        for cut in [600, 1_200, 1_600, 2_200, 2_600, 2_900, 3_300, 5_000] {
            let mut group = TestGroup::with_disabled(work, disabled);
            assert_eq!(
                group.ask(&submit(JobId(1), job(3, work, false))),
                CallReply::Done
            );
            group.run(before);
            group.cut_off_agent();
            group.run(cut);
            group.reconnect_agent();
            group.run(5_000);
            assert_eq!(
                group.job_status(JobId(1)),
                COMPLETED,
                "cut off for {cut} ms"
            );
            repeats += usize::from(!group.runs_each_task_once());
        }
    }
    repeats
}

#[test]
fn a_run_behind_a_cut_is_not_repeated_once_its_end_is_confirmed() {
    assert_eq!(repeats_after_cut_off(&[]), 0);
}

/// Kills all replicas at times around the first end of a run. Returns in how many trials a task was
/// repeated.
fn repeats_after_kill(disabled: &[JobGuard]) -> usize {
    let mut repeats = 0;
    for wait in 200..320 {
        let mut group = TestGroup::with_disabled(300, disabled);
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
        assert_eq!(
            group.job_status(JobId(1)),
            COMPLETED,
            "killed after {wait} ms"
        );
        repeats += usize::from(!group.runs_each_task_once());
    }
    repeats
}

#[test]
fn an_end_is_confirmed_only_once_it_is_on_record() {
    assert_eq!(repeats_after_kill(&[]), 0);
    assert!(repeats_after_kill(&[JobGuard::Record]) > 0);
}

#[test]
fn jobs_that_have_not_begun_are_counted_by_a_new_leader() {
    let mut group = TestGroup::new(100);
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
    // The former leader records the end, and is killed before the agent learns of it. The new
    // leader records the same end again.
    for wait in 0..60 {
        let mut group = TestGroup::new(200);
        group.server.failures_to_come = 2;
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
        assert_eq!(
            group.job_status(JobId(1)),
            COMPLETED,
            "killed after {wait} ms"
        );
    }
}

/// Ids that grew beyond their term could win over those of a later leader.
#[test]
fn a_run_id_refused_as_stale_keeps_later_ids_within_the_term() {
    const TERM_SHIFT: u32 = 32;
    let mut group = TestGroup::new(100);
    let (_, term) = group.leader.unwrap();
    let task = TaskId {
        job: JobId(1),
        step: 0,
        index: 0,
    };
    // The backend server refuses the first ids of this leader.
    let refused = RunId((term.0 << TERM_SHIFT) + 5);
    group.server.revoke(task, refused);
    assert_eq!(
        group.ask(&submit(JobId(1), job(1, 100, false))),
        CallReply::Done
    );
    group.run(3_000);
    assert_eq!(group.job_status(JobId(1)), COMPLETED);
    for span in &group.server.spans {
        assert_eq!(span.run.0 >> TERM_SHIFT, term.0, "{span:?}");
    }
}
