//! A control instance: the replicated log, the book over it, and, while it leads,
//! the dispatcher.

use std::collections::VecDeque;

use bytes::Bytes;
use snafu::{ResultExt, Snafu};

use super::call::{Call, CallReply, ClientAction};
use super::dispatcher::{DispatchOutput, Dispatcher, GROUP_GRANT};
use super::guard::{Guards, JobGuard};
use super::pending_reply::{Origin, PendingReply, answer, settle};
use super::replicated_state::{Job, ReplicatedState, StateChange, StateCommand};
use super::routes::{self, Target};
use super::spec::{JobId, JobSpec, JobStatus, OperatorConfig, QueueSettings};
use super::wire::{AcceptorMessage, Initiator, InitiatorMessage};
use super::worker::SessionId;
use crate::control::log::{Index, LogEntry, Payload, ReplicaId, Snapshot, Term};
use crate::control::raft::{Raft, RaftInput, RaftOutput};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// Entries after which the log is replaced by a snapshot.
const SNAPSHOT_AFTER: usize = 8_000;
/// Kept beyond the time that callers may ask for an outcome.
const KEEP_MARGIN: Millis = Millis(10_000);
/// What a caller is told to wait when a call was not taken.
const RETRY_AFTER: Millis = Millis(1_000);

/// What a control instance cannot make sense of.
#[derive(Debug, Snafu)]
pub enum ReplicaError {
    /// A committed entry or the snapshot does not decode.
    #[snafu(display("log entry {}: {source}", index.0))]
    Decode {
        /// Where.
        index: Index,
        /// What the decoder found.
        source: postcard::Error,
    },
    /// An entry does not encode.
    #[snafu(display("entry: {source}"))]
    Encode {
        /// What the encoder found.
        source: postcard::Error,
    },
}

/// What reaches a control instance.
#[derive(Debug)]
pub enum ReplicaInput {
    /// For the replicated log.
    Raft(RaftInput),
    /// A message on a session.
    Message(SessionId, InitiatorMessage),
    /// A session is gone.
    Closed(SessionId),
    /// A call that this process received, under its number.
    Call(u64, Call),
    /// Time has passed.
    Tick,
}

/// What a control instance does.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaOutput {
    /// For the replicated log: write or send.
    Raft(RaftOutput),
    /// Send on a session.
    Message(SessionId, AcceptorMessage),
    /// Answer a call of this process.
    Reply(u64, CallReply),
}

/// Times that the users' settings give.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaTimes {
    /// How long an outcome is kept.
    pub keep: Millis,
}

/// One control instance.
#[derive(Debug)]
pub struct Replica {
    pub(crate) raft: Raft,
    pub(crate) state: ReplicatedState,
    pub(crate) times: ReplicaTimes,
    pub(crate) dispatcher: Option<Dispatcher>,
    pub(crate) sessions: Table<SessionId, Initiator>,
    // Proposals in log order.
    pub(crate) pending: VecDeque<(Index, PendingReply)>,
    // Entries for the next batch.
    pub(crate) batch: Vec<(StateCommand, PendingReply)>,
    // What was last told to all sessions.
    pub(crate) sent_status: Option<(bool, Term, Vec<u64>)>,
    pub(crate) raw: Vec<RaftOutput>,
    pub(crate) actions: Vec<DispatchOutput>,
    // What was last told of data centres, configuration and entries.
    pub(crate) sent_evacuated: Option<Vec<String>>,
    pub(crate) sent_config_version: Option<u64>,
    pub(crate) sent_entries: Vec<u64>,
    pub(crate) guards: Guards,
}

impl Replica {
    /// An instance over a log as it comes up.
    ///
    /// # Errors
    ///
    /// The snapshot does not decode.
    pub fn new(raft: Raft, times: ReplicaTimes) -> Result<Self, ReplicaError> {
        let state = decode_state(raft.snapshot())?;
        Ok(Self {
            raft,
            state,
            times,
            dispatcher: None,
            sessions: Table::default(),
            pending: VecDeque::new(),
            batch: Vec::new(),
            sent_status: None,
            raw: Vec::new(),
            actions: Vec::new(),
            sent_evacuated: None,
            sent_config_version: None,
            sent_entries: Vec::new(),
            guards: Guards::default(),
        })
    }

    /// Turns a rule off, so that a checker can show that it is needed.
    pub fn disable(&mut self, guard: JobGuard) {
        self.guards.disable(guard);
    }

    /// The replicated log.
    #[must_use]
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// True when nothing awaits a commit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.batch.is_empty()
    }

    /// Takes one input at `now` and appends what is to be done to `out`. What it
    /// proposes waits for [`Replica::flush`].
    ///
    /// # Errors
    ///
    /// A committed entry does not decode: the instance must stop.
    pub fn step(
        &mut self,
        now: Millis,
        input: ReplicaInput,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        match input {
            ReplicaInput::Raft(input) => {
                let mut raw = std::mem::take(&mut self.raw);
                self.raft.step(now, input, &mut raw);
                self.raw = raw;
            }
            ReplicaInput::Message(session, up) => self.on_up(now, session, up, out),
            ReplicaInput::Closed(session) => {
                self.sessions.remove(&session);
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.disconnected(session);
                }
            }
            ReplicaInput::Call(token, call) => self.call(now, Origin::Local(token), call, out),
            ReplicaInput::Tick => self.tick(now),
        }
        self.take_raft(now, out)
    }

    pub(crate) fn tick(&mut self, now: Millis) {
        let mut raw = std::mem::take(&mut self.raw);
        self.raft.step(now, RaftInput::Tick, &mut raw);
        self.raw = raw;
        if self.raft.holds_lease(now)
            && let Some(dispatcher) = &mut self.dispatcher
        {
            let keep = self.times.keep + KEEP_MARGIN;
            dispatcher.tick(now, keep, &mut self.actions);
        }
    }

    /// Ends a turn: tells what changed, starts tasks, proposes what has gathered.
    ///
    /// # Errors
    ///
    /// As for [`Replica::step`].
    pub fn flush(&mut self, now: Millis, out: &mut Vec<ReplicaOutput>) -> Result<(), ReplicaError> {
        self.start_dispatcher(now);
        // News first: an agent must not get an order before what allows it.
        self.broadcast_status(out);
        self.broadcast_changes(out);
        if self.raft.holds_lease(now)
            && let Some(dispatcher) = &mut self.dispatcher
        {
            dispatcher.place(now, Millis(0), &self.state.evacuated, &mut self.actions);
        }
        self.take_actions(out);
        self.propose(now, out)?;
        self.take_raft(now, out)?;
        self.take_actions(out);
        self.compact(out)
    }

    /// Becomes the dispatcher once all entries of former terms are applied.
    pub(crate) fn start_dispatcher(&mut self, now: Millis) {
        let term = self.raft.term();
        if !self.raft.is_leader() {
            if self.dispatcher.take().is_some() {
                events::LEADER.log(format_args!("leads=false term={}", term.0));
            }
            return;
        }
        if self.dispatcher.is_some() || !self.raft.holds_lease(now) {
            return;
        }
        events::LEADER.log(format_args!("leads=true term={}", term.0));
        let mut dispatcher = Dispatcher::take_over(term, &self.state, now, &self.guards);
        for (session, who) in self.sessions.iter() {
            if let Initiator::Agent(name) = who {
                let _ = dispatcher.connected(now, name, *session);
            }
        }
        self.dispatcher = Some(dispatcher);
    }

    pub(crate) fn on_up(
        &mut self,
        now: Millis,
        session: SessionId,
        up: InitiatorMessage,
        out: &mut Vec<ReplicaOutput>,
    ) {
        match up {
            InitiatorMessage::Hello(who) => {
                if let (Initiator::Agent(name), Some(dispatcher)) = (&who, &mut self.dispatcher) {
                    // The group's runs are settled by the agent's inventory.
                    let _ = dispatcher.connected(now, name, session);
                }
                let (leads, term, members) = self.status();
                let down = AcceptorMessage::Status {
                    leads,
                    term,
                    members,
                };
                out.push(ReplicaOutput::Message(session, down));
                self.send_initial_state(session, &who, out);
                self.sessions.insert(session, who);
            }
            InitiatorMessage::Heartbeat(at) => {
                let leads = self.raft.holds_lease(now);
                let known = match &mut self.dispatcher {
                    Some(dispatcher) if leads => dispatcher.beat(now, session),
                    _ => false,
                };
                let grant = known.then_some(GROUP_GRANT);
                out.push(ReplicaOutput::Message(
                    session,
                    AcceptorMessage::HeartbeatAck { at, grant },
                ));
            }
            InitiatorMessage::Call(number, call) => {
                self.call(now, Origin::Session(session, number), call, out)
            }
            InitiatorMessage::Report(report) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.report(now, Some(&self.state), session, report, &mut self.actions);
                }
            }
            InitiatorMessage::Peer(message) => {
                let mut raw = std::mem::take(&mut self.raw);
                self.raft.step(now, RaftInput::Receive(message), &mut raw);
                self.raw = raw;
            }
        }
    }

    pub(crate) fn call(
        &mut self,
        now: Millis,
        origin: Origin,
        call: Call,
        out: &mut Vec<ReplicaOutput>,
    ) {
        if self.dispatcher.is_none() || !self.raft.holds_lease(now) {
            out.push(answer(origin, CallReply::NotLeader));
            return;
        }
        let reply = match call {
            Call::Client { host, path, action } => self.client(origin, &host, &path, action),
            Call::PutConfig(None) => {
                Some(CallReply::Invalid("not a valid configuration".to_owned()))
            }
            Call::PutConfig(Some(config)) => self.put_config(origin, config),
            Call::GetConfig => Some(match &self.state.config {
                Some(config) => CallReply::Document(config.document.clone()),
                None => CallReply::NoConfig,
            }),
            Call::Evacuate(data_centre, evacuated) => {
                events::EVACUATE.log(format_args!("data_centre={data_centre} out={evacuated}"));
                self.batch.push((
                    StateCommand::Evacuate(data_centre, evacuated),
                    PendingReply::Call(origin),
                ));
                None
            }
        };
        if let Some(reply) = reply {
            out.push(answer(origin, reply));
        }
    }

    pub(crate) fn put_config(
        &mut self,
        origin: Origin,
        config: OperatorConfig,
    ) -> Option<CallReply> {
        let held = self.state.config.as_ref();
        if held.is_some_and(|held| held.version > config.version) {
            return Some(CallReply::Done);
        }
        let waiter = PendingReply::Config(origin, config.version, config.document.clone());
        self.batch.push((StateCommand::Config(config), waiter));
        None
    }

    pub(crate) fn client(
        &mut self,
        origin: Origin,
        host: &str,
        path: &str,
        action: ClientAction,
    ) -> Option<CallReply> {
        let Some(config) = &self.state.config else {
            return Some(CallReply::NoConfig);
        };
        match (routes::find(config, host, path), action) {
            (Target::Unknown, _) => Some(CallReply::NoQueue),
            (Target::Queue(queue), ClientAction::Query) => {
                let name = queue.settings.clone();
                Some(CallReply::Pending(self.count_pending(&name)))
            }
            (Target::Job(_, id), ClientAction::Query) => Some(self.job_status(id)),
            (Target::Job(_, id), ClientAction::Cancel) => self.cancel(origin, id),
            (Target::Job(queue, id), ClientAction::Submit(Some(spec))) => {
                let settings = queue.settings.clone();
                if self.state.jobs.get(&id).is_some() {
                    return Some(CallReply::Done);
                }
                if let Some(what) = &spec.unsupported {
                    events::REFUSED.log(format_args!("job={id} unsupported={what}"));
                    return Some(CallReply::Refused(RETRY_AFTER));
                }
                if spec.transient {
                    // An entry without a configuration sent it here.
                    return Some(CallReply::NotLeader);
                }
                self.accept(origin, id, settings, spec);
                None
            }
            (_, ClientAction::Submit(_)) => Some(CallReply::Invalid("not a job".to_owned())),
            (Target::NotAJob(_), _) | (Target::Queue(_), ClientAction::Cancel) => {
                Some(CallReply::NoJob)
            }
        }
    }

    pub(crate) fn accept(
        &mut self,
        origin: Origin,
        id: JobId,
        settings: QueueSettings,
        spec: JobSpec,
    ) {
        let pending = self.pending.iter_mut().map(|(_, waiter)| waiter);
        let batched = self.batch.iter_mut().map(|(_, waiter)| waiter);
        for waiter in pending.chain(batched) {
            if let PendingReply::Accept(known, origins) = waiter
                && *known == id
            {
                origins.push(origin);
                return;
            }
        }
        let entry = StateCommand::Accept(id, settings, spec);
        self.batch
            .push((entry, PendingReply::Accept(id, vec![origin])));
    }

    pub(crate) fn cancel(&mut self, origin: Origin, id: JobId) -> Option<CallReply> {
        match self.state.jobs.get(&id) {
            None => Some(CallReply::NoJob),
            Some(Job::Ended(_)) => Some(CallReply::Done),
            Some(Job::Open(_)) => {
                events::CANCELLED.log(format_args!("job={id}"));
                self.batch
                    .push((StateCommand::Cancel(id), PendingReply::Call(origin)));
                None
            }
        }
    }

    pub(crate) fn job_status(&self, id: JobId) -> CallReply {
        match self.state.jobs.get(&id) {
            None => CallReply::NoJob,
            Some(Job::Ended(status)) => CallReply::State(*status),
            Some(Job::Open(_)) => {
                let started = self.dispatcher.as_ref().is_some_and(|l| l.has_started(id));
                CallReply::State(if started {
                    JobStatus::Running
                } else {
                    JobStatus::Queued
                })
            }
        }
    }

    /// Jobs with these terms of which no task has started.
    pub(crate) fn count_pending(&self, settings: &QueueSettings) -> u64 {
        let Some(dispatcher) = &self.dispatcher else {
            return 0;
        };
        dispatcher.count_pending(settings)
    }

    pub(crate) fn propose(
        &mut self,
        now: Millis,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        if self.batch.is_empty() {
            return Ok(());
        }
        let mut commands = Vec::with_capacity(self.batch.len());
        let mut waiters = Vec::with_capacity(self.batch.len());
        for (entry, waiter) in self.batch.drain(..) {
            commands.push(Bytes::from(
                postcard::to_stdvec(&entry).context(EncodeSnafu)?,
            ));
            waiters.push(waiter);
        }
        let mut raw = std::mem::take(&mut self.raw);
        let first = self.raft.propose(now, commands, &mut raw);
        self.raw = raw;
        let Some(first) = first else {
            for waiter in waiters {
                settle(waiter, &CallReply::NotLeader, out);
            }
            return Ok(());
        };
        let mut index = first.index;
        for waiter in waiters {
            self.pending.push_back((index, waiter));
            index = index.next();
        }
        Ok(())
    }

    pub(crate) fn take_actions(&mut self, out: &mut Vec<ReplicaOutput>) {
        for action in self.actions.drain(..) {
            match action {
                // Only entries run jobs that are not stored.
                DispatchOutput::Ended(..) => {}
                DispatchOutput::Propose(entry) => self.batch.push((entry, PendingReply::Nobody)),
                DispatchOutput::Message(session, down) => {
                    out.push(ReplicaOutput::Message(session, down))
                }
            }
        }
    }

    pub(crate) fn take_raft(
        &mut self,
        now: Millis,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        for output in std::mem::take(&mut self.raw) {
            match output {
                RaftOutput::Commit(entries) => {
                    for entry in entries {
                        self.apply(now, &entry, out)?;
                    }
                }
                RaftOutput::Restore(snapshot) => self.state = decode_state(&snapshot)?,
                other => out.push(ReplicaOutput::Raft(other)),
            }
        }
        if !self.raft.is_leader() {
            for (_, waiter) in self.pending.drain(..) {
                settle(waiter, &CallReply::Unknown, out);
            }
        }
        Ok(())
    }

    pub(crate) fn apply(
        &mut self,
        now: Millis,
        entry: &LogEntry,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        let index = entry.position.index;
        self.state.applied = index.0;
        let Payload::Command(command) = &entry.payload else {
            return Ok(());
        };
        let command: StateCommand = postcard::from_bytes(command).context(DecodeSnafu { index })?;
        let roster = matches!(command, StateCommand::Enroll(_) | StateCommand::Dismiss(_));
        let mut changes = Vec::new();
        self.state.apply(command, &mut changes);
        if let Some(dispatcher) = &mut self.dispatcher {
            for change in &changes {
                dispatcher.changed(now, &self.state, change, &mut self.actions);
            }
            if roster {
                dispatcher.enrolled(&self.state);
            }
        }
        while let Some((at, _)) = self.pending.front()
            && *at <= index
        {
            if let Some((at, waiter)) = self.pending.pop_front() {
                let reply = if at == index {
                    self.outcome(&waiter, &changes)
                } else {
                    CallReply::Unknown
                };
                settle(waiter, &reply, out);
            }
        }
        Ok(())
    }

    pub(crate) fn outcome(&self, waiter: &PendingReply, changes: &[StateChange]) -> CallReply {
        match waiter {
            PendingReply::Config(_, version, document) => {
                let held = self.state.config.as_ref();
                let same = held.is_some_and(|h| h.version > *version || h.document == *document);
                events::SETUP.log(format_args!("version={version} taken={same}"));
                if same {
                    CallReply::Done
                } else {
                    CallReply::Conflict
                }
            }
            PendingReply::Accept(id, _) => {
                let tasks = self
                    .state
                    .open(*id)
                    .map_or(0, |j| j.tasks.iter().map(Vec::len).sum());
                events::ACCEPTED.log(format_args!(
                    "job={id} tasks={tasks} changes={}",
                    changes.len()
                ));
                CallReply::Done
            }
            PendingReply::Nobody | PendingReply::Call(_) => CallReply::Done,
        }
    }

    pub(crate) fn compact(&mut self, out: &mut Vec<ReplicaOutput>) -> Result<(), ReplicaError> {
        let applied = Index(self.state.applied);
        if self.raft.backlog() < SNAPSHOT_AFTER || self.raft.committed() != applied {
            return Ok(());
        }
        let data = postcard::to_stdvec(&self.state).context(EncodeSnafu)?;
        events::SNAPSHOT.log(format_args!("index={} bytes={}", applied.0, data.len()));
        let mut raw = Vec::new();
        self.raft.compact(applied, Bytes::from(data), &mut raw);
        out.extend(raw.into_iter().map(ReplicaOutput::Raft));
        Ok(())
    }

    /// The leader, as far as this instance knows.
    pub(crate) fn leader(&self) -> Option<ReplicaId> {
        self.raft.leader()
    }
}

fn decode_state(snapshot: &Snapshot) -> Result<ReplicatedState, ReplicaError> {
    if snapshot.data.is_empty() {
        return Ok(ReplicatedState::default());
    }
    let index = snapshot.position.index;
    postcard::from_bytes(&snapshot.data).context(DecodeSnafu { index })
}
