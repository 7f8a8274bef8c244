//! Small fakes at the interfaces: entries, agents and the state machine of
//! control as they are, with messages delivered in any order a test likes.

#![allow(dead_code)]

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
/// Ticks without a message after which nothing more is expected.
const QUIET_TICKS: u32 = 5;
/// Length of the leases given.
pub const TERM: Millis = Millis(3_000);
/// Start window of the gates.
pub const WINDOW: Millis = Millis(2_000);

/// A message or call on its way.
#[derive(Debug, Clone, PartialEq)]
pub enum Wire {
    Dispatch(Dispatch),
    Verdict(Incarnation, Verdict),
    Ask(Incarnation, Vec<Dispatch>),
    Cancel(Incarnation, JobKey, Generation),
    Claim(Incarnation, JobHandle, JobKey, Vec<u8>),
    Claimed(Incarnation, JobHandle, ClaimResult),
    Inventory(Incarnation, JobHandle, Incarnation, JobKey, Generation),
    Inventoried(Incarnation, JobHandle, Incarnation, Vec<Verdict>),
    Attach(Incarnation, JobHandle, JobKey),
    Record(Incarnation, JobKey, Generation, JobState),
    /// An agent hears that an entry is dead.
    Buried(Incarnation, Incarnation),
}

#[derive(Debug, Clone)]
pub struct World {
    pub now: Millis,
    pub entries: BTreeMap<Incarnation, Entry>,
    pub agents: BTreeMap<Incarnation, Agent>,
    pub machine: StateMachine,
    pub index: u64,
    pub wires: Vec<Wire>,
    /// Tasks at backend servers, with the agent's incarnation.
    pub running: Vec<Dispatch>,
    pub starts: BTreeMap<(JobKey, u32), u32>,
    pub answers: BTreeMap<(Incarnation, JobHandle), Answer>,
    /// Entries that neither act nor hear.
    pub frozen: Vec<Incarnation>,
    pub handles: u64,
    /// New lives of agents that were restarted.
    pub reborn: BTreeMap<Incarnation, Incarnation>,
    /// When the data centre was taken out.
    pub out_at: Option<Millis>,
    /// Starts after it was out and the lease term had passed.
    pub late: u32,
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
    pub fn new(entries: usize, agents: usize, slots: u32, off: &[StartGuard]) -> Self {
        let mut world = Self {
            now: Millis(1),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            machine: StateMachine::default(),
            index: 0,
            wires: Vec::new(),
            running: Vec::new(),
            starts: BTreeMap::new(),
            answers: BTreeMap::new(),
            frozen: Vec::new(),
            handles: 0,
            reborn: BTreeMap::new(),
            out_at: None,
            late: 0,
        };
        for i in 0..agents {
            world.add_agent(&format!("agent-{i}"), slots, off);
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
        let joining = Registration {
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
        match self.apply(Command::Join(request, joining)) {
            CommandReply::Joined(incarnation) => incarnation,
            other => panic!("join got {other:?}"),
        }
    }

    pub fn add_agent(&mut self, name: &str, slots: u32, off: &[StartGuard]) -> Incarnation {
        let incarnation = self.join(ProcessRole::Agent, name);
        let mut agent = Agent::new(incarnation, limits()).unwrap();
        for guard in off {
            agent.disable(*guard);
        }
        self.agents.insert(incarnation, agent);
        self.agent(incarnation, AgentInput::Announce(slots));
        self.lease_agent(incarnation);
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
        self.lease_entry(incarnation);
        let agents: Vec<Incarnation> = self.agents.keys().copied().collect();
        for agent in agents {
            self.link(incarnation, agent);
        }
        incarnation
    }

    pub fn lease_agent(&mut self, agent: Incarnation) {
        let allowed = !self.machine.settings().is_evacuated("r1/dc1");
        let revision = self.machine.revision();
        let lease = Lease {
            revision,
            expires_at: self.now + TERM,
            allowed,
            window: WINDOW,
        };
        self.agent(agent, AgentInput::Lease(lease));
    }

    pub fn lease_entry(&mut self, entry: Incarnation) {
        self.entry(entry, EntryInput::Lease(self.now + TERM));
    }

    /// Shows an agent to an entry and links them, anew if they were linked.
    pub fn link(&mut self, entry: Incarnation, agent: Incarnation) {
        let up = EntryInput::AgentUp {
            agent,
            service: SERVICE.to_owned(),
            data_centre: "dc1".to_owned(),
            open: true,
        };
        self.entry(entry, up);
        let Some(slots) = self.agents.get(&agent).map(Agent::slots) else {
            return;
        };
        self.entry(entry, EntryInput::Unlinked(agent));
        self.entry(entry, EntryInput::Linked(agent, slots, self.now));
        self.agent(agent, AgentInput::Connected(entry));
    }

    pub fn submit(&mut self, entry: Incarnation, mut submission: Submission) -> JobHandle {
        self.handles += 1;
        submission.handle = JobHandle(self.handles);
        let handle = submission.handle;
        self.entry(entry, EntryInput::Submit(submission));
        handle
    }

    pub fn entry(&mut self, incarnation: Incarnation, input: EntryInput) {
        if self.frozen.contains(&incarnation) {
            return;
        }
        let Some(entry) = self.entries.get_mut(&incarnation) else {
            return;
        };
        let mut out = Vec::new();
        entry.step(self.now, input, &mut out).unwrap();
        for output in out {
            self.entry_says(incarnation, output);
        }
    }

    fn entry_says(&mut self, from: Incarnation, output: EntryOutput) {
        match output {
            EntryOutput::Claim(handle, key, digest) => {
                self.wires.push(Wire::Claim(from, handle, key, digest));
            }
            EntryOutput::Dispatch(_, _, dispatch) => self.wires.push(Wire::Dispatch(dispatch)),
            EntryOutput::Ask(agent, dispatches) => self.wires.push(Wire::Ask(agent, dispatches)),
            // Credits are not what the promises rest on: they travel at once.
            EntryOutput::Want(agent, count) => self.agent(agent, AgentInput::Want(from, count)),
            EntryOutput::GiveBack(agent, count) => {
                self.agent(agent, AgentInput::GiveBack(from, count));
            }
            EntryOutput::Cancel(agent, key, generation) => {
                self.wires.push(Wire::Cancel(agent, key, generation));
            }
            EntryOutput::Inventory(handle, agent, key, generation) => {
                self.wires
                    .push(Wire::Inventory(from, handle, agent, key, generation));
            }
            EntryOutput::Attach(handle, key) => self.wires.push(Wire::Attach(from, handle, key)),
            EntryOutput::Record {
                key,
                generation,
                outcome,
                ..
            } => {
                self.wires
                    .push(Wire::Record(from, key, generation, outcome));
            }
            EntryOutput::Answer(handle, answer) => {
                let before = self.answers.insert((from, handle), answer.clone());
                assert!(
                    before.is_none(),
                    "two answers to one caller: {before:?}, {answer:?}"
                );
            }
        }
    }

    pub fn agent(&mut self, incarnation: Incarnation, input: AgentInput) {
        let Some(agent) = self.agents.get_mut(&incarnation) else {
            return;
        };
        let mut out = Vec::new();
        // What a chart refuses is ignored, as the process does.
        let _ = agent.step(self.now, input, &mut out);
        for output in out {
            self.agent_says(incarnation, output);
        }
    }

    fn agent_says(&mut self, from: Incarnation, output: AgentOutput) {
        match output {
            AgentOutput::Start(dispatch) => {
                self.late += u32::from(self.out_at.is_some_and(|at| self.now >= at + TERM));
                *self
                    .starts
                    .entry((dispatch.job.clone(), dispatch.task))
                    .or_default() += 1;
                self.running.push(Dispatch {
                    agent: from,
                    ..dispatch
                });
            }
            AgentOutput::Verdict(entry, verdict) => self.wires.push(Wire::Verdict(entry, verdict)),
            AgentOutput::ChangeCredits(entry, CreditChange::Give(count)) => {
                self.entry(entry, EntryInput::Credits(from, count, self.now));
            }
            AgentOutput::ChangeCredits(entry, CreditChange::Recall(count)) => {
                self.entry(entry, EntryInput::Recall(from, count));
            }
            AgentOutput::Inventory(_) => unreachable!("taken by the caller"),
        }
    }

    /// Delivers one message; false when it cannot be delivered yet.
    pub fn deliver(&mut self, at: usize) -> bool {
        let wire = self.wires.remove(at);
        match wire {
            Wire::Dispatch(dispatch) => {
                // A restarted agent listens at the same address.
                let agent = self.reborn.get(&dispatch.agent).unwrap_or(&dispatch.agent);
                self.agent(*agent, AgentInput::Dispatch(dispatch));
            }
            Wire::Verdict(entry, verdict) => self.entry(entry, EntryInput::Verdict(verdict)),
            Wire::Ask(agent, dispatches) => self.agent(agent, AgentInput::Ask(dispatches)),
            Wire::Cancel(agent, key, generation) => {
                self.agent(agent, AgentInput::Cancel(key, generation));
            }
            Wire::Claim(entry, handle, key, digest) => {
                let service = SERVICE.to_owned();
                let command = Command::Claim {
                    key,
                    service,
                    digest,
                    owner: entry,
                };
                let CommandReply::Claim(answer) = self.apply(command) else {
                    panic!("claim got another reply");
                };
                if let Some(claimed) = claimed(answer) {
                    self.wires.push(Wire::Claimed(entry, handle, claimed));
                }
            }
            Wire::Claimed(entry, handle, claimed) => {
                self.entry(entry, EntryInput::Claimed(handle, claimed));
            }
            Wire::Inventory(entry, handle, agent, key, generation) => {
                self.inventory(entry, handle, agent, key, generation);
            }
            Wire::Inventoried(entry, handle, agent, tasks) => {
                self.entry(entry, EntryInput::Inventory(handle, agent, Some(tasks)));
            }
            Wire::Attach(entry, handle, key) => {
                if !self.attach(entry, handle, &key) {
                    self.wires.insert(at, Wire::Attach(entry, handle, key));
                    return false;
                }
            }
            Wire::Record(owner, key, generation, state) => {
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
            Wire::Buried(agent, entry) => self.agent(agent, AgentInput::EntryDead(entry)),
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
            self.entry(entry, EntryInput::Inventory(handle, to, None));
            return;
        };
        let mut out = Vec::new();
        agent
            .step(self.now, AgentInput::Inventory(key, generation), &mut out)
            .unwrap();
        for output in out {
            match output {
                AgentOutput::Inventory(tasks) => {
                    self.wires.push(Wire::Inventoried(entry, handle, to, tasks));
                }
                other => self.agent_says(to, other),
            }
        }
    }

    fn attach(&mut self, entry: Incarnation, handle: JobHandle, key: &JobKey) -> bool {
        let Some((owner, _)) = self.machine.owner(key) else {
            return false;
        };
        let alive = self
            .machine
            .processes()
            .get(&owner)
            .is_some_and(|p| p.alive);
        if !alive {
            self.entry(entry, EntryInput::Reclaim(handle));
            return true;
        }
        let state = self.entries.get(&owner).and_then(|e| e.state(key));
        let settled = self.answers.keys().any(|(e, _)| *e == owner);
        match state {
            Some(JobState::Complete) if settled => {
                self.entry(entry, EntryInput::Relayed(handle, 200, Bytes::new()));
                true
            }
            Some(JobState::Failed | JobState::Refused) if settled => {
                self.entry(entry, EntryInput::Relayed(handle, 500, Bytes::new()));
                true
            }
            _ => false,
        }
    }

    /// The backend server answers one running task.
    pub fn finish(&mut self, at: usize) {
        let dispatch = self.running.remove(at);
        let status = TaskStatus::Done {
            body: dispatch.payload.clone(),
            run: Millis(10),
        };
        self.agent(
            dispatch.agent,
            AgentInput::Finished(dispatch.job, dispatch.task, status),
        );
    }

    pub fn fail(&mut self, at: usize) {
        let dispatch = self.running.remove(at);
        let status = TaskStatus::Failed {
            reason: "broken".to_owned(),
            run: Millis(10),
        };
        self.agent(
            dispatch.agent,
            AgentInput::Finished(dispatch.job, dispatch.task, status),
        );
    }

    /// An entry's lease has run out for sure, and control says that it is dead.
    pub fn declare_dead(&mut self, entry: Incarnation) {
        self.now = self.now + TERM + TERM;
        let agents: Vec<Incarnation> = self.agents.keys().copied().collect();
        for agent in agents {
            self.lease_agent(agent);
            self.wires.push(Wire::Buried(agent, entry));
        }
        let others: Vec<Incarnation> = self
            .entries
            .keys()
            .copied()
            .filter(|e| *e != entry)
            .collect();
        for other in others {
            self.lease_entry(other);
        }
        self.apply(Command::Dead(entry));
    }

    /// An entry leaves by itself: control hears it at once, no lease runs out.
    pub fn leave(&mut self, entry: Incarnation) {
        self.entries.remove(&entry);
        self.apply(Command::Dead(entry));
        let agents: Vec<Incarnation> = self.agents.keys().copied().collect();
        for agent in agents {
            self.wires.push(Wire::Buried(agent, entry));
        }
    }

    /// The data centre is taken out; agents learn it with their next lease.
    pub fn take_out(&mut self) {
        let change = fulmardrift::SettingChange {
            path: "r1/dc1".to_owned(),
            key: "out".to_owned(),
            value: Some("true".to_owned()),
        };
        self.apply(Command::Change(fulmardrift::ChangeRequest {
            operator: "ana".to_owned(),
            request: "out".to_owned(),
            expected: None,
            changes: vec![change],
        }));
        self.out_at = Some(self.now);
    }

    /// An agent dies and comes back under a new incarnation.
    pub fn restart_agent(&mut self, agent: Incarnation, off: &[StartGuard]) {
        let slots = self.agents[&agent].slots();
        self.kill_agent(agent);
        let fresh = self.add_agent("again", slots, off);
        self.reborn.insert(agent, fresh);
    }

    /// An agent's process is gone, and control says so.
    pub fn kill_agent(&mut self, agent: Incarnation) {
        self.agents.remove(&agent);
        // What its backend server runs goes on without it.
        self.running.retain(|d| d.agent != agent);
        self.apply(Command::Dead(agent));
        let entries: Vec<Incarnation> = self.entries.keys().copied().collect();
        for entry in entries {
            self.entry(entry, EntryInput::AgentDead(agent));
        }
    }

    /// An entry hears every agent's clock.
    pub fn hear(&mut self, entry: Incarnation) {
        let agents: Vec<Incarnation> = self.agents.keys().copied().collect();
        for agent in agents {
            self.entry(entry, EntryInput::Credits(agent, 0, self.now));
        }
    }

    /// A little time passes at the entries.
    pub fn tick(&mut self) {
        self.now = self.now + Millis(20);
        let entries: Vec<Incarnation> = self.entries.keys().copied().collect();
        for entry in entries {
            self.entry(entry, EntryInput::Tick);
        }
    }

    /// Delivers and finishes everything in order until nothing is left to do.
    pub fn settle(&mut self) {
        let mut quiet = 0;
        for _ in 0..100_000 {
            if let Some(at) = (0..self.wires.len()).find(|at| self.deliver(*at)) {
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
        panic!("no end: {:?}", self.wires);
    }

    pub fn answer(&self, entry: Incarnation, handle: JobHandle) -> Option<&Answer> {
        self.answers.get(&(entry, handle))
    }

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

fn claimed(answer: ClaimAnswer) -> Option<ClaimResult> {
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
