//! Answers to hold calls that are late or incomplete. Guards against a list of runs that is older than
//! an end which its agent already knows: the run would seem to be there, and then to be gone.

#[path = "fakes/server.rs"]
mod server;

use fulmardrift::{
    AgentOrder, AgentReport, CallId, HoldReply, JobId, Millis, Owner, Resources, RunId, RunOutcome,
    ServerAgent, ServerAgentInput, ServerAgentOutput, ServerCallKind, ServerReply, TaskId, Term,
    Times,
};

const LIFE: u64 = 1_000;
const ENTRY: Owner = Owner::Entry(7);
/// Runs of transient jobs are numbered from here.
const TRANSIENT_RUN: u64 = 1 << 50;

type Listed = (TaskId, RunId);
/// A row of a list of ends: the number of the end, the run, and how it ended.
type End = (u64, Listed, RunOutcome);

fn task(index: u32) -> TaskId {
    let (job, step) = (JobId(1), 0);
    TaskId { job, step, index }
}

/// An agent of which a test plays the dispatchers and the backend server.
struct Harness {
    agent: ServerAgent,
    now: u64,
    outputs: Vec<ServerAgentOutput>,
}

impl Harness {
    fn new() -> Self {
        Self {
            agent: ServerAgent::new(Times::default()),
            now: 0,
            outputs: Vec::new(),
        }
    }

    /// Processes an input a millisecond later, and keeps only what follows from it.
    fn step(&mut self, input: ServerAgentInput) {
        self.now += 1;
        self.outputs.clear();
        self.agent.step(Millis(self.now), input, &mut self.outputs);
    }

    /// Answers a hold call with all ends that wait.
    fn answer(&mut self, id: CallId, running: &[Listed], ended: &[End]) {
        self.reply(id, running, ended, false);
    }

    /// Answers a hold call with a full list of ends, behind which others wait.
    fn answer_with_full_list(&mut self, id: CallId, running: &[Listed], ended: &[End]) {
        self.reply(id, running, ended, true);
    }

    fn reply(&mut self, id: CallId, running: &[Listed], ended: &[End], may_have_more_ends: bool) {
        let row = |(number, (task, run), outcome): &End| (*number, *task, *run, *outcome);
        let listing = HoldReply {
            clock: Millis(5_000 + self.now),
            started_at: Some(LIFE),
            running: running
                .iter()
                .map(|(task, run)| (*task, *run, 10))
                .collect(),
            ended: ended.iter().map(row).collect(),
            may_have_more_ends,
        };
        self.step(ServerAgentInput::Replied(
            id,
            ServerReply::HoldReply(listing),
        ));
    }

    /// The last call of a kind that followed from the latest input.
    fn call(&self, is_wanted: fn(&ServerCallKind) -> bool) -> Option<CallId> {
        let mut calls = self.outputs.iter().filter_map(|output| match output {
            ServerAgentOutput::Call(call) if is_wanted(&call.kind) => Some(call.id),
            _ => None,
        });
        calls.next_back()
    }

    fn hold(&self) -> Option<CallId> {
        self.call(|kind| matches!(kind, ServerCallKind::Hold { .. }))
    }

    fn start_call(&self) -> Option<CallId> {
        self.call(|kind| matches!(kind, ServerCallKind::Start { .. }))
    }

    /// Advances time until the agent makes a hold call of its own accord.
    fn next_hold(&mut self) -> CallId {
        for _ in 0..400 {
            self.step(ServerAgentInput::Tick);
            if let Some(id) = self.hold() {
                return id;
            }
        }
        panic!("no hold call");
    }

    fn order_start(&mut self, owner: Owner, (task, run): Listed) {
        let need = Resources {
            cpu: 1_000,
            memory: 10,
            gpu: 0,
        };
        let order = AgentOrder::Start {
            life: LIFE,
            task,
            run,
            need,
            payload: "".into(),
        };
        self.step(ServerAgentInput::Order(owner, order));
    }

    /// The reports that followed from the latest input.
    fn reports(&self) -> Vec<&AgentReport> {
        let reports = self.outputs.iter().filter_map(|output| match output {
            ServerAgentOutput::Report(_, report) => Some(report),
            ServerAgentOutput::Call(_) => None,
        });
        reports.collect()
    }

    /// The runs in an inventory for the leader.
    fn inventory(&self) -> Option<Vec<Listed>> {
        self.outputs.iter().find_map(|output| match output {
            ServerAgentOutput::Report(Owner::Group, AgentReport::Inventory { runs, .. }) => {
                Some(runs.clone())
            }
            _ => None,
        })
    }

    fn lead(&mut self, term: u64) {
        self.step(ServerAgentInput::Leader(Some(Term(term))));
    }

    fn grant(&mut self, owner: Owner) {
        let until = Millis(self.now + 3_000);
        self.step(ServerAgentInput::Granted(owner, until));
    }
}

/// An agent with sessions of a leader and an entry, the run that it holds for one of them, and two
/// open hold calls, the earlier one first.
fn agent_with_a_run(owner: Owner, key: Listed) -> (Harness, CallId, CallId) {
    let mut agent = Harness::new();
    let heartbeat = server::FakeServer::new("s0", "dc0", Millis(300)).heartbeat();
    agent.step(ServerAgentInput::Heartbeat(heartbeat));
    let first = agent.hold().unwrap();
    agent.answer(first, &[], &[]);
    let earlier = agent.hold().unwrap();
    agent.lead(1);
    let listing = agent.hold().unwrap();
    agent.answer(listing, &[], &[]);
    assert_eq!(agent.inventory(), Some(Vec::new()));
    agent.step(ServerAgentInput::Welcome(7, Vec::new()));
    agent.grant(Owner::Group);
    agent.grant(ENTRY);
    agent.order_start(owner, key);
    let start = agent.start_call().expect("the start is ordered");
    let clock = Millis(5_000 + agent.now);
    agent.step(ServerAgentInput::Replied(
        start,
        ServerReply::Started { clock },
    ));
    let later = agent.next_hold();
    assert!(earlier < later);
    (agent, earlier, later)
}

/// The later hold call is executed while the run is there, and the earlier one after its end; the
/// answer of the earlier one arrives first.
fn overtake(owner: Owner, key: Listed, outcome: RunOutcome) -> Harness {
    let (mut agent, earlier, later) = agent_with_a_run(owner, key);
    agent.answer(earlier, &[], &[(1, key, outcome)]);
    let is_end = |report: &&AgentReport| matches!(report, AgentReport::Ends { .. });
    assert!(agent.reports().iter().any(is_end));
    agent.answer(later, &[key], &[]);
    agent
}

#[test]
fn a_run_that_has_ended_is_not_reported_as_gone() {
    for owner in [Owner::Group, ENTRY] {
        for outcome in [RunOutcome::Done, RunOutcome::Failed, RunOutcome::Lost] {
            let run = if owner == ENTRY { TRANSIENT_RUN } else { 5 };
            let key = (task(0), RunId(run));
            let mut agent = overtake(owner, key, outcome);
            for _ in 0..3 {
                let hold = agent.next_hold();
                agent.answer(hold, &[], &[(1, key, outcome)]);
                let is_denial = |r: &&AgentReport| matches!(r, AgentReport::NotStarted { .. });
                let denial = agent.reports().into_iter().find(is_denial);
                assert_eq!(denial, None, "{owner:?} {outcome:?}");
            }
        }
    }
}

#[test]
fn a_new_leader_does_not_get_a_run_that_has_ended() {
    let key = (task(0), RunId(5));
    let (mut agent, earlier, _) = agent_with_a_run(Owner::Group, key);
    agent.lead(2);
    let later = agent.hold().unwrap();
    let ends = [(1, key, RunOutcome::Lost)];
    agent.answer(earlier, &[], &ends);
    agent.answer(later, &[key], &[]);
    assert_eq!(agent.inventory(), Some(Vec::new()));
}

#[test]
fn a_run_that_has_ended_keeps_no_other_from_starting() {
    let key = (task(0), RunId(TRANSIENT_RUN));
    let mut agent = overtake(ENTRY, key, RunOutcome::Done);
    agent.grant(ENTRY);
    agent.order_start(ENTRY, (task(1), RunId(TRANSIENT_RUN + 1)));
    assert!(agent.start_call().is_some(), "{:?}", agent.outputs);
}

#[test]
fn a_restarted_agent_sends_no_inventory_by_a_list_of_before_an_end() {
    let keys: Vec<Listed> = (0..600)
        .map(|i| (task(i), RunId(u64::from(i) + 5)))
        .collect();
    let mut agent = Harness::new();
    let heartbeat = server::FakeServer::new("s0", "dc0", Millis(300)).heartbeat();
    agent.step(ServerAgentInput::Heartbeat(heartbeat));
    let earlier = agent.hold().unwrap();
    agent.lead(1);
    let later = agent.hold().unwrap();
    let done = |(key, number): (&Listed, u64)| (number, *key, RunOutcome::Done);
    let ends: Vec<_> = keys.iter().zip(1..).map(done).collect();
    // All runs have ended, and the list has room for the first 500 ends.
    agent.answer_with_full_list(earlier, &[], &ends[..500]);
    assert_eq!(agent.inventory(), None);
    // That was executed before: the agent must not take it for the present state.
    agent.answer(later, &keys, &[]);
    assert!(agent.inventory().is_none());
    let recorded = ServerAgentInput::Recorded {
        owner: Owner::Group,
        life: LIFE,
        upto: 500,
    };
    agent.step(recorded);
    let hold = agent.hold().unwrap_or_else(|| agent.next_hold());
    agent.answer(hold, &[], &ends[500..]);
    let mut numbers = Vec::new();
    for report in agent.reports() {
        if let AgentReport::Ends { ends, .. } = report {
            numbers.extend(ends.iter().map(|(number, _)| *number));
        }
    }
    assert_eq!(numbers, (501..=600).collect::<Vec<u64>>());
    assert_eq!(agent.inventory(), Some(Vec::new()));
}

#[test]
fn a_stopped_start_whose_end_is_behind_a_full_list_is_not_denied() {
    let (first, key) = ((task(0), RunId(5)), (task(1), RunId(6)));
    let (mut agent, earlier, _) = agent_with_a_run(Owner::Group, first);
    agent.order_start(Owner::Group, key);
    let start = agent.start_call().unwrap();
    agent.step(ServerAgentInput::Replied(start, ServerReply::NoAnswer));
    let hold = agent.hold().unwrap();
    // The start was executed, and the run has ended. Its end is not in the list yet.
    let done = (1, first, RunOutcome::Done);
    agent.answer_with_full_list(hold, &[], &[done]);
    // That call was made when the start was given up. The next list decides about it.
    let hold = agent.next_hold();
    agent.answer_with_full_list(hold, &[], &[done]);
    let stop = agent.call(|kind| matches!(kind, ServerCallKind::Stop { .. }));
    agent.step(ServerAgentInput::Replied(
        stop.unwrap(),
        ServerReply::Stopped,
    ));
    let hold = agent.hold().unwrap();
    agent.answer_with_full_list(hold, &[], &[done]);
    let hold = agent.next_hold();
    agent.answer_with_full_list(hold, &[], &[done]);
    let is_denial = |r: &&AgentReport| matches!(r, AgentReport::NotStarted { .. });
    assert_eq!(agent.reports().into_iter().find(is_denial), None);
    agent.answer(earlier, &[], &[done, (2, key, RunOutcome::Done)]);
    let is_end = |report: &&AgentReport| {
        matches!(report, AgentReport::Ends { ends, .. }
        if ends.iter().any(|(_, end)| end.run == key.1 && end.outcome == RunOutcome::Done))
    };
    assert!(agent.reports().iter().any(is_end));
    assert_eq!(agent.reports().into_iter().find(is_denial), None);
}
