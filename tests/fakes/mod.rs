//! A simulated system: the real state machines of entries, agents and the control group, with fake
//! messages that a test delivers in any order.

#![allow(dead_code)]

mod faults;

use std::collections::BTreeMap;

use bytes::Bytes;
use fulmardrift::{
    Agent, AgentInput, AgentLimits, AgentOutput, Answer, ClaimAnswer, ClaimResult, Command,
    CommandReply, CreditChange, Dispatch, Entry, EntryInput, EntryLimits, EntryOutput, Generation,
    Incarnation, Index, JobHandle, JobKey, JobKind, JobOutcome, JobState, Lease, Millis,
    ProcessRole, Registration, Revision, StartGuard, StateMachine, Submission, TaskSpec,
    TaskStatus, TimestampedCommand, Verdict,
};

pub const SERVICE: &str = "proof";
/// When no message can be delivered and no task runs, `settle` ticks. It returns after this many
/// ticks in all.
const QUIET_TICKS: u32 = 5;
/// Length of the leases of entries and agents.
pub const LEASE_DURATION: Millis = Millis(3_000);
/// Start window in the agents' leases.
pub const START_WINDOW: Millis = Millis(2_000);

/// A message that has not been delivered.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    Dispatch(Dispatch),
    Verdict(Incarnation, Verdict),
    Ask(Incarnation, Vec<Dispatch>),
    Cancel(Incarnation, JobKey, Generation),
    Claim(Incarnation, JobHandle, JobKey, Vec<u8>),
    Claimed(Incarnation, JobHandle, ClaimResult),
    Inventory(Incarnation, JobHandle, Incarnation, JobKey, Generation),
    InventoryReply(Incarnation, JobHandle, Incarnation, Vec<Verdict>),
    Attach(Incarnation, JobHandle, JobKey),
    Record(Incarnation, JobKey, Generation, JobState),
    /// Tells an agent that an entry is dead.
    EntryDead(Incarnation, Incarnation),
}

#[derive(Debug, Clone)]
/// The simulated system.
pub struct World {
    pub now: Millis,
    pub entries: BTreeMap<Incarnation, Entry>,
    pub agents: BTreeMap<Incarnation, Agent>,
    pub machine: StateMachine,
    /// Index of the last applied command.
    pub index: u64,
    pub messages: Vec<Message>,
    /// Tasks that run at backend servers. `Dispatch::agent` is the agent that started them.
    pub running: Vec<Dispatch>,
    /// Number of starts of each task.
    pub starts: BTreeMap<(JobKey, u32), u32>,
    pub answers: BTreeMap<(Incarnation, JobHandle), Answer>,
    /// Entries that ignore every input.
    pub frozen: Vec<Incarnation>,
    pub last_handle: u64,
    /// The new incarnation of each restarted agent, by the old one.
    pub replacements: BTreeMap<Incarnation, Incarnation>,
    /// When the data centre was evacuated.
    pub evacuated_at: Option<Millis>,
    /// Number of starts at least a lease duration after the evacuation.
    pub late_starts: u32,
}

pub fn key(id: &str) -> JobKey {
    JobKey {
        team: "desk".to_owned(),
        id: id.to_owned(),
    }
}

pub fn submission(key: &JobKey, keyed: bool, tasks: u32) -> Submission {
    Submission {
        handle: JobHandle(0),
        key: key.clone(),
        digest: keyed.then(|| vec![1]),
        service: SERVICE.to_owned(),
        kind: JobKind::Job,
        tasks: (0..tasks)
            .map(|i| TaskSpec {
                payload: Bytes::from(format!("{i}")),
                declared: None,
            })
            .collect(),
        deadline: Millis(1_000_000),
    }
}

fn limits() -> AgentLimits {
    AgentLimits {
        heartbeat_timeout: Millis(1_000_000),
        keep_settled: Millis(5_000),
        keep_unsettled: Millis(5_000),
    }
}

impl World {
    pub fn new(entries: usize, agents: usize, slots: u32, disabled: &[StartGuard]) -> Self {
        let mut world = Self {
            now: Millis(1),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            machine: StateMachine::default(),
            index: 0,
            messages: Vec::new(),
            running: Vec::new(),
            starts: BTreeMap::new(),
            answers: BTreeMap::new(),
            frozen: Vec::new(),
            last_handle: 0,
            replacements: BTreeMap::new(),
            evacuated_at: None,
            late_starts: 0,
        };
        for i in 0..agents {
            world.add_agent(&format!("agent-{i}"), slots, disabled);
        }
        for i in 0..entries {
            world.add_entry(&format!("entry-{i}"));
        }
        world
    }

    pub fn apply(&mut self, command: Command) -> CommandReply {
        self.index += 1;
        self.machine.apply(
            Index(self.index),
            TimestampedCommand {
                at: self.now,
                command,
            },
        )
    }

    fn join(&mut self, role: ProcessRole, name: &str) -> Incarnation {
        let registration = Registration {
            role,
            name: name.to_owned(),
            place: "r1/dc1".to_owned(),
            address: name.to_owned(),
            service: if role == ProcessRole::Agent {
                SERVICE.to_owned()
            } else {
                String::new()
            },
        };
        let request = format!("{name}-{}", self.index);
        match self.apply(Command::Join(request, registration)) {
            CommandReply::Joined(incarnation) => incarnation,
            other => panic!("join got {other:?}"),
        }
    }

    pub fn add_agent(&mut self, name: &str, slots: u32, disabled: &[StartGuard]) -> Incarnation {
        let incarnation = self.join(ProcessRole::Agent, name);
        let mut agent = Agent::new(incarnation, limits()).unwrap();
        for guard in disabled {
            agent.disable(*guard);
        }
        self.agents.insert(incarnation, agent);
        self.agent_input(incarnation, AgentInput::Announce(slots));
        self.renew_agent_lease(incarnation);
        let entries: Vec<Incarnation> = self.entries.keys().copied().collect();
        for entry in entries {
            self.link(entry, incarnation);
        }
        incarnation
    }

    pub fn add_entry(&mut self, name: &str) -> Incarnation {
        let incarnation = self.join(ProcessRole::Entry, name);
        let entry = Entry::new(incarnation, "dc1", EntryLimits::default()).unwrap();
        self.entries.insert(incarnation, entry);
        self.renew_entry_lease(incarnation);
        let agents: Vec<Incarnation> = self.agents.keys().copied().collect();
        for agent in agents {
            self.link(incarnation, agent);
        }
        incarnation
    }

    pub fn renew_agent_lease(&mut self, agent: Incarnation) {
        let allowed = !self.machine.settings().is_evacuated("r1/dc1");
        let revision = self.machine.revision();
        let lease = Lease {
            revision,
            expires_at: self.now + LEASE_DURATION,
            allowed,
            window: START_WINDOW,
        };
        self.agent_input(agent, AgentInput::Lease(lease));
    }

    pub fn renew_entry_lease(&mut self, entry: Incarnation) {
        self.entry_input(entry, EntryInput::Lease(self.now + LEASE_DURATION));
    }

    /// Announces an agent to an entry and opens a link between them. An existing link is replaced.
    pub fn link(&mut self, entry: Incarnation, agent: Incarnation) {
        let up = EntryInput::AgentUp {
            agent,
            service: SERVICE.to_owned(),
            data_centre: "dc1".to_owned(),
            open: true,
        };
        self.entry_input(entry, up);
        let Some(slots) = self.agents.get(&agent).map(Agent::slots) else {
            return;
        };
        self.entry_input(entry, EntryInput::Unlinked(agent));
        self.entry_input(entry, EntryInput::Linked(agent, slots, self.now));
        self.agent_input(agent, AgentInput::Connected(entry));
    }

    pub fn submit(&mut self, entry: Incarnation, mut submission: Submission) -> JobHandle {
        self.last_handle += 1;
        submission.handle = JobHandle(self.last_handle);
        let handle = submission.handle;
        self.entry_input(entry, EntryInput::Submit(submission));
        handle
    }

    pub fn entry_input(&mut self, incarnation: Incarnation, input: EntryInput) {
        if self.frozen.contains(&incarnation) {
            return;
        }
        let Some(entry) = self.entries.get_mut(&incarnation) else {
            return;
        };
        let mut out = Vec::new();
        entry.step(self.now, input, &mut out).unwrap();
        for output in out {
            self.handle_entry_output(incarnation, output);
        }
    }

    fn handle_entry_output(&mut self, from: Incarnation, output: EntryOutput) {
        match output {
            EntryOutput::Claim(handle, key, digest) => {
                self.messages
                    .push(Message::Claim(from, handle, key, digest));
            }
            EntryOutput::Dispatch(_, _, dispatch) => {
                self.messages.push(Message::Dispatch(dispatch));
            }
            EntryOutput::Ask(agent, dispatches) => {
                self.messages.push(Message::Ask(agent, dispatches));
            }
            // Credits arrive at once, because safety does not depend on them.
            EntryOutput::Want(agent, count) => {
                self.agent_input(agent, AgentInput::Want(from, count));
            }
            EntryOutput::GiveBack(agent, count) => {
                self.agent_input(agent, AgentInput::GiveBack(from, count));
            }
            EntryOutput::Cancel(agent, key, generation) => {
                self.messages.push(Message::Cancel(agent, key, generation));
            }
            EntryOutput::Inventory(handle, agent, key, generation) => {
                self.messages
                    .push(Message::Inventory(from, handle, agent, key, generation));
            }
            EntryOutput::Attach(handle, key) => {
                self.messages.push(Message::Attach(from, handle, key));
            }
            EntryOutput::Record {
                key,
                generation,
                outcome,
                ..
            } => {
                self.messages
                    .push(Message::Record(from, key, generation, outcome));
            }
            EntryOutput::Answer(handle, answer) => {
                let former = self.answers.insert((from, handle), answer.clone());
                assert!(
                    former.is_none(),
                    "two answers to one caller: {former:?}, {answer:?}"
                );
            }
        }
    }

    pub fn agent_input(&mut self, incarnation: Incarnation, input: AgentInput) {
        let Some(agent) = self.agents.get_mut(&incarnation) else {
            return;
        };
        let mut out = Vec::new();
        // An input that the state chart does not allow is ignored, as in the real process.
        let _ = agent.step(self.now, input, &mut out);
        for output in out {
            self.handle_agent_output(incarnation, output);
        }
    }

    fn handle_agent_output(&mut self, from: Incarnation, output: AgentOutput) {
        match output {
            AgentOutput::Start(dispatch) => {
                self.late_starts += u32::from(
                    self.evacuated_at
                        .is_some_and(|at| self.now >= at + LEASE_DURATION),
                );
                *self
                    .starts
                    .entry((dispatch.job.clone(), dispatch.task))
                    .or_default() += 1;
                self.running.push(Dispatch {
                    agent: from,
                    ..dispatch
                });
            }
            AgentOutput::Verdict(entry, verdict) => {
                self.messages.push(Message::Verdict(entry, verdict));
            }
            AgentOutput::ChangeCredits(entry, CreditChange::Give(count)) => {
                self.entry_input(entry, EntryInput::Credits(from, count, self.now));
            }
            AgentOutput::ChangeCredits(entry, CreditChange::Recall(count)) => {
                self.entry_input(entry, EntryInput::Recall(from, count));
            }
            AgentOutput::Inventory(_) => unreachable!("inventories are handled by the caller"),
        }
    }

    /// Delivers one message. Returns false when it cannot be delivered yet.
    pub fn deliver(&mut self, at: usize) -> bool {
        let message = self.messages.remove(at);
        match message {
            Message::Dispatch(dispatch) => {
                // A restarted agent listens at its former address, so the dispatch reaches it.
                let agent = self
                    .replacements
                    .get(&dispatch.agent)
                    .unwrap_or(&dispatch.agent);
                self.agent_input(*agent, AgentInput::Dispatch(dispatch));
            }
            Message::Verdict(entry, verdict) => {
                self.entry_input(entry, EntryInput::Verdict(verdict));
            }
            Message::Ask(agent, dispatches) => self.agent_input(agent, AgentInput::Ask(dispatches)),
            Message::Cancel(agent, key, generation) => {
                self.agent_input(agent, AgentInput::Cancel(key, generation));
            }
            Message::Claim(entry, handle, key, digest) => {
                let service = SERVICE.to_owned();
                let command = Command::Claim {
                    key,
                    service,
                    digest,
                    owner: entry,
                };
                let CommandReply::Claim(answer) = self.apply(command) else {
                    panic!("a claim got a reply of another kind");
                };
                if let Some(claimed) = claim_result(answer) {
                    self.messages.push(Message::Claimed(entry, handle, claimed));
                }
            }
            Message::Claimed(entry, handle, claimed) => {
                self.entry_input(entry, EntryInput::Claimed(handle, claimed));
            }
            Message::Inventory(entry, handle, agent, key, generation) => {
                self.inventory(entry, handle, agent, key, generation);
            }
            Message::InventoryReply(entry, handle, agent, tasks) => {
                self.entry_input(entry, EntryInput::Inventory(handle, agent, Some(tasks)));
            }
            Message::Attach(entry, handle, key) => {
                if !self.try_attach(entry, handle, &key) {
                    self.messages
                        .insert(at, Message::Attach(entry, handle, key));
                    return false;
                }
            }
            Message::Record(owner, key, generation, state) => {
                let outcome = match state {
                    JobState::Complete => JobOutcome::Complete,
                    JobState::Refused => JobOutcome::Refused,
                    _ => JobOutcome::Failed,
                };
                self.apply(Command::Record {
                    key,
                    generation,
                    owner,
                    outcome,
                });
            }
            Message::EntryDead(agent, entry) => {
                self.agent_input(agent, AgentInput::EntryDead(entry));
            }
        }
        true
    }

    fn inventory(
        &mut self,
        entry: Incarnation,
        handle: JobHandle,
        to: Incarnation,
        key: JobKey,
        generation: Generation,
    ) {
        let Some(agent) = self.agents.get_mut(&to) else {
            self.entry_input(entry, EntryInput::Inventory(handle, to, None));
            return;
        };
        let mut out = Vec::new();
        agent
            .step(self.now, AgentInput::Inventory(key, generation), &mut out)
            .unwrap();
        for output in out {
            match output {
                AgentOutput::Inventory(tasks) => {
                    self.messages
                        .push(Message::InventoryReply(entry, handle, to, tasks));
                }
                other => self.handle_agent_output(to, other),
            }
        }
    }

    /// Answers an attached caller from its job's owner. Returns false while the job is open.
    fn try_attach(&mut self, entry: Incarnation, handle: JobHandle, key: &JobKey) -> bool {
        let Some((owner, _)) = self.machine.owner(key) else {
            return false;
        };
        let alive = self
            .machine
            .processes()
            .get(&owner)
            .is_some_and(|p| p.alive);
        if !alive {
            self.entry_input(entry, EntryInput::Reclaim(handle));
            return true;
        }
        let state = self.entries.get(&owner).and_then(|e| e.state(key));
        let settled = self.answers.keys().any(|(e, _)| *e == owner);
        match state {
            Some(JobState::Complete) if settled => {
                self.entry_input(entry, EntryInput::Relayed(handle, 200, Bytes::new()));
                true
            }
            Some(JobState::Failed | JobState::Refused) if settled => {
                self.entry_input(entry, EntryInput::Relayed(handle, 500, Bytes::new()));
                true
            }
            _ => false,
        }
    }

    /// Ends a running task successfully.
    pub fn finish(&mut self, at: usize) {
        let dispatch = self.running.remove(at);
        let status = TaskStatus::Done {
            body: dispatch.payload.clone(),
            run: Millis(10),
        };
        self.agent_input(
            dispatch.agent,
            AgentInput::Finished(dispatch.job, dispatch.task, status),
        );
    }

    /// Sends an entry the clock of every agent.
    pub fn send_agent_clocks(&mut self, entry: Incarnation) {
        let agents: Vec<Incarnation> = self.agents.keys().copied().collect();
        for agent in agents {
            self.entry_input(entry, EntryInput::Credits(agent, 0, self.now));
        }
    }

    /// Advances time by 20 ms and ticks every entry.
    pub fn tick(&mut self) {
        self.now = self.now + Millis(20);
        let entries: Vec<Incarnation> = self.entries.keys().copied().collect();
        for entry in entries {
            self.entry_input(entry, EntryInput::Tick);
        }
    }

    /// Delivers all messages and finishes all tasks in order, until nothing is left to do.
    pub fn settle(&mut self) {
        let mut quiet = 0;
        for _ in 0..100_000 {
            if let Some(at) = (0..self.messages.len()).find(|at| self.deliver(*at)) {
                let _ = at;
                continue;
            }
            if !self.running.is_empty() {
                self.finish(0);
                continue;
            }
            if quiet == QUIET_TICKS {
                return;
            }
            quiet += 1;
            self.tick();
        }
        panic!("the system does not settle: {:?}", self.messages);
    }

    pub fn answer(&self, entry: Incarnation, handle: JobHandle) -> Option<&Answer> {
        self.answers.get(&(entry, handle))
    }

    /// The number of starts of the task that was started most often.
    pub fn most_starts(&self) -> u32 {
        self.starts.values().copied().max().unwrap_or(0)
    }

    pub fn total_starts(&self) -> u32 {
        self.starts.values().sum()
    }

    pub fn revision(&self) -> Revision {
        self.machine.revision()
    }
}

/// Converts the control group's answer to the entry's input. A claim whose owner is dead is not
/// answered.
fn claim_result(answer: ClaimAnswer) -> Option<ClaimResult> {
    match answer {
        ClaimAnswer::Granted(generation) => Some(ClaimResult::Granted(generation)),
        ClaimAnswer::Attached { .. } => Some(ClaimResult::Attached),
        ClaimAnswer::Conflict => Some(ClaimResult::Conflict),
        ClaimAnswer::TakenOver {
            generation,
            agents,
            lost,
            settled,
            age,
        } => Some(ClaimResult::TakenOver {
            generation,
            agents,
            lost,
            settled,
            age,
        }),
        ClaimAnswer::DeadOwner => None,
    }
}
