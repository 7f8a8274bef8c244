//! A control instance: the replicated log, the state built from it, and the dispatcher while this
//! instance leads.

use std::collections::VecDeque;

use bytes::Bytes;
use snafu::{ResultExt, Snafu};

use super::call::{Call, CallReply};
use super::dispatcher::{DispatchOutput, Dispatcher};
use super::guard::{Guards, JobGuard};
use super::pending_reply::{Origin, PendingReply, send_replies};
use super::replica_calls::RETRY_AFTER;
use super::replicated_state::{ReplicatedState, StateChange, StateCommand};
use super::room::Room;
use super::times::GROUP_GRANT;
use super::wire::{AcceptorMessage, Initiator, InitiatorMessage};
use super::worker::SessionId;
use crate::control::follower_watch::FollowerWatch;
use crate::control::leader_watch::LeaderWatch;
use crate::control::log::{Index, LogEntry, Payload, ReplicaId, Snapshot, Term, committed_command};
use crate::control::raft::{Raft, RaftInput, RaftOutput};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// Number of log entries after which they are replaced by a snapshot.
const SNAPSHOT_AFTER: usize = 8_000;
/// Ended jobs are kept this much longer than callers may ask for their outcome, in milliseconds.
const KEEP_MARGIN: Millis = Millis(10_000);

/// Errors after which a control instance must stop.
#[derive(Debug, Snafu)]
pub enum ReplicaError {
    /// A committed log entry or the snapshot cannot be decoded.
    #[snafu(display("log entry {} cannot be decoded: {source}", index.0))]
    Decode {
        /// Index of the log entry, or of the last entry in the snapshot.
        index: Index,
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// A command, or the state for a snapshot, cannot be encoded.
    #[snafu(display("state cannot be encoded: {source}"))]
    Encode {
        /// Error of the encoder.
        source: postcard::Error,
    },
}

/// Inputs of a control instance.
#[derive(Debug)]
pub enum ReplicaInput {
    /// Input for the replicated log.
    Raft(RaftInput),
    /// A message on a session.
    Message(SessionId, InitiatorMessage),
    /// A session has closed.
    Closed(SessionId),
    /// A call that this process received itself, with the number that identifies it.
    Call(u64, Call),
    /// Periodic tick.
    Tick,
}

/// Actions that a control instance requests.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaOutput {
    /// Output of the replicated log: data to write or messages to send.
    Raft(RaftOutput),
    /// Send a message on a session.
    Message(SessionId, AcceptorMessage),
    /// Answer the call with this number, which this process received itself.
    Reply(u64, CallReply),
}

/// Durations from the settings.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaTimes {
    /// How long the outcome of an ended job is kept, in milliseconds.
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
    // Replies that wait for a proposed log entry to be committed, in log order.
    pub(crate) pending: VecDeque<(Index, PendingReply)>,
    // Commands to propose at the next flush.
    pub(crate) batch: Vec<(StateCommand, PendingReply)>,
    // Status that was last sent on all sessions.
    pub(crate) sent_status: Option<(bool, Term, Vec<u64>)>,
    pub(crate) raft_outputs: Vec<RaftOutput>,
    pub(crate) actions: Vec<DispatchOutput>,
    // Evacuated data centres, configuration version and entries that were last broadcast.
    pub(crate) sent_evacuated: Option<Vec<String>>,
    pub(crate) sent_config_version: Option<u64>,
    pub(crate) sent_entries: Vec<u64>,
    pub(crate) leader_watch: LeaderWatch,
    pub(crate) follower_watch: FollowerWatch,
    pub(crate) guards: Guards,
    pub(crate) room: Room,
    // Changes that come before the group has had its voters, and until when each is held back.
    pub(crate) held: VecDeque<(Millis, Origin, Call)>,
    // Number of voters that the group must have had before it accepts changes.
    pub(crate) needed_voters: usize,
}

impl Replica {
    /// Creates an instance on top of a replicated log, with the state of the log's snapshot.
    ///
    /// # Errors
    ///
    /// The snapshot cannot be decoded.
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
            raft_outputs: Vec::new(),
            actions: Vec::new(),
            sent_evacuated: None,
            sent_config_version: None,
            sent_entries: Vec::new(),
            leader_watch: LeaderWatch::default(),
            follower_watch: FollowerWatch::default(),
            guards: Guards::default(),
            room: Room::default(),
            held: VecDeque::new(),
            needed_voters: 0,
        })
    }

    /// Sets how many bytes the files of the log may have, the new one included while it replaces the
    /// old one. New configurations and jobs are refused when they would take more.
    #[must_use]
    pub fn with_file_bound(mut self, bytes: usize) -> Self {
        self.room = Room::new(bytes);
        self
    }

    /// Accepts changes only once the group has had the voters that so many losses at a time need:
    /// with fewer, what was acknowledged might be lost with the tolerated number of disks.
    #[must_use]
    pub fn with_tolerated_losses(mut self, losses: usize) -> Self {
        self.needed_voters = 2 * losses + 1;
        self
    }

    /// Turns a rule off, so that a checker can show that the rule is needed.
    pub fn disable(&mut self, guard: JobGuard) {
        self.guards.disable(guard);
    }

    /// The replicated log.
    #[must_use]
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns true if no command is held back, or waits to be proposed or committed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.batch.is_empty() && self.held.is_empty()
    }

    /// Processes one input at time `now` and appends the resulting actions to `out`. Commands are
    /// only proposed by [`Replica::flush`].
    ///
    /// # Errors
    ///
    /// A committed log entry, or a snapshot from the leader, cannot be decoded: the instance must
    /// stop.
    pub fn step(
        &mut self,
        now: Millis,
        input: ReplicaInput,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        match input {
            ReplicaInput::Raft(input) => self.step_raft(now, input),
            ReplicaInput::Message(session, message) => self.on_message(now, session, message, out),
            ReplicaInput::Closed(session) => {
                self.sessions.remove(&session);
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.agent_disconnected(session);
                }
            }
            ReplicaInput::Call(token, call) => self.on_call(now, Origin::Local(token), call, out),
            ReplicaInput::Tick => self.tick(now),
        }
        self.handle_raft_outputs(now, out)
    }

    fn step_raft(&mut self, now: Millis, input: RaftInput) {
        let mut raft_outputs = std::mem::take(&mut self.raft_outputs);
        self.raft.step(now, input, &mut raft_outputs);
        self.raft_outputs = raft_outputs;
    }

    pub(crate) fn tick(&mut self, now: Millis) {
        self.leader_watch.tick(now, &self.raft);
        self.follower_watch.tick(now, &self.raft);
        self.step_raft(now, RaftInput::Tick);
        if self.raft.holds_lease(now)
            && let Some(dispatcher) = &mut self.dispatcher
        {
            let keep = self.times.keep + KEEP_MARGIN;
            dispatcher.tick(now, keep, &mut self.actions);
        }
    }

    /// Ends a batch of inputs: broadcasts what changed, starts tasks, and proposes the collected
    /// commands.
    ///
    /// # Errors
    ///
    /// As for [`Replica::step`], or a command or the state cannot be encoded.
    pub fn flush(&mut self, now: Millis, out: &mut Vec<ReplicaOutput>) -> Result<(), ReplicaError> {
        self.start_dispatcher(now);
        // An agent must learn what allows it to start a run before it receives the order.
        self.broadcast_status(out);
        self.broadcast_changes(out);
        self.release_held(now, out);
        if self.raft.holds_lease(now)
            && let Some(dispatcher) = &mut self.dispatcher
        {
            dispatcher.place_jobs(now, Millis(0), &self.state.evacuated, &mut self.actions);
        }
        self.handle_actions(out);
        self.propose(now, out)?;
        self.handle_raft_outputs(now, out)?;
        self.handle_actions(out);
        self.compact(now, out)
    }

    /// Starts the dispatcher when this instance leads and has applied all entries of former terms;
    /// drops it when the instance no longer leads.
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
        for (session, initiator) in self.sessions.iter() {
            if let Initiator::Agent(name) = initiator {
                let _ = dispatcher.agent_connected(now, name, *session);
            }
        }
        self.dispatcher = Some(dispatcher);
    }

    pub(crate) fn on_message(
        &mut self,
        now: Millis,
        session: SessionId,
        message: InitiatorMessage,
        out: &mut Vec<ReplicaOutput>,
    ) {
        match message {
            InitiatorMessage::Hello(initiator) => {
                if let (Initiator::Agent(name), Some(dispatcher)) =
                    (&initiator, &mut self.dispatcher)
                {
                    // The agent's inventory will show which runs it holds, so the list is not
                    // needed.
                    let _ = dispatcher.agent_connected(now, name, session);
                }
                let (leads, term, members) = self.status();
                let message = AcceptorMessage::Status {
                    leads,
                    term,
                    members,
                };
                out.push(ReplicaOutput::Message(session, message));
                self.send_initial_state(session, &initiator, out);
                if let Initiator::Replica(id) = initiator {
                    self.step_raft(now, RaftInput::Connected(ReplicaId(id)));
                }
                self.sessions.insert(session, initiator);
            }
            InitiatorMessage::Heartbeat(at) => {
                let leads = self.raft.holds_lease(now);
                let known = match &mut self.dispatcher {
                    Some(dispatcher) if leads => dispatcher.on_heartbeat(now, session, at),
                    _ => false,
                };
                let grant = known.then_some(GROUP_GRANT);
                out.push(ReplicaOutput::Message(
                    session,
                    AcceptorMessage::HeartbeatAck { at, grant },
                ));
            }
            InitiatorMessage::Call(number, call) => {
                self.on_call(now, Origin::Session(session, number), call, out);
            }
            InitiatorMessage::Report(report) => {
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.on_report(
                        now,
                        Some(&self.state),
                        session,
                        report,
                        &mut self.actions,
                    );
                }
            }
            InitiatorMessage::Peer(message) => {
                self.follower_watch.heard(now, &message);
                self.step_raft(now, RaftInput::Receive(message));
            }
        }
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
        let mut pending_replies = Vec::with_capacity(self.batch.len());
        let mut batched = 0;
        for (command, pending) in self.batch.drain(..) {
            let encoded = postcard::to_stdvec(&command).context(EncodeSnafu)?;
            let len = encoded.len();
            if !self.room.admits(&self.raft, &command, len, &mut batched) {
                events::REFUSED.log(format_args!("way=room bytes={len}"));
                send_replies(pending, &CallReply::Refused(RETRY_AFTER), out);
                continue;
            }
            commands.push(Bytes::from(encoded));
            pending_replies.push(pending);
        }
        if commands.is_empty() {
            return Ok(());
        }
        let mut raft_outputs = std::mem::take(&mut self.raft_outputs);
        let first = self.raft.propose(now, commands, &mut raft_outputs);
        self.raft_outputs = raft_outputs;
        let Some(first) = first else {
            for pending in pending_replies {
                send_replies(pending, &CallReply::NotLeader, out);
            }
            return Ok(());
        };
        let mut index = first.index;
        for pending in pending_replies {
            self.pending.push_back((index, pending));
            index = index.next();
        }
        Ok(())
    }

    pub(crate) fn handle_actions(&mut self, out: &mut Vec<ReplicaOutput>) {
        for action in self.actions.drain(..) {
            match action {
                // Only entries run transient jobs.
                DispatchOutput::Ended(..) | DispatchOutput::GivenUp(_) => {}
                DispatchOutput::Propose(command) => self.batch.push((command, PendingReply::None)),
                DispatchOutput::Message(session, message) => {
                    out.push(ReplicaOutput::Message(session, message));
                }
            }
        }
    }

    pub(crate) fn handle_raft_outputs(
        &mut self,
        now: Millis,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        for output in std::mem::take(&mut self.raft_outputs) {
            match output {
                RaftOutput::Commit(entries) => {
                    for entry in entries {
                        self.apply(now, &entry, out)?;
                    }
                }
                RaftOutput::Restore(snapshot) => self.state = decode_state(&snapshot)?,
                RaftOutput::Send(message) => {
                    self.follower_watch.sent(&message);
                    out.push(ReplicaOutput::Raft(RaftOutput::Send(message)));
                }
                other @ RaftOutput::Write(..) => out.push(ReplicaOutput::Raft(other)),
            }
        }
        if !self.raft.is_leader() {
            for (_, pending) in self.pending.drain(..) {
                send_replies(pending, &CallReply::Unknown, out);
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
        if let Payload::Voters(voters) = &entry.payload {
            self.state.most_voters = self.state.most_voters.max(voters.len());
        }
        let Some(command) = committed_command(entry) else {
            return Ok(());
        };
        let command: StateCommand = postcard::from_bytes(command).context(DecodeSnafu { index })?;
        let changes_agents = matches!(command, StateCommand::Enroll(_) | StateCommand::Dismiss(_));
        let mut changes = Vec::new();
        self.room.applied(&command);
        self.state.apply(command, &mut changes);
        if let Some(dispatcher) = &mut self.dispatcher {
            for change in &changes {
                dispatcher.apply_change(now, &self.state, change, &mut self.actions);
            }
            if changes_agents {
                dispatcher.update_enrolled(&self.state);
            }
        }
        while let Some((at, _)) = self.pending.front()
            && *at <= index
        {
            if let Some((at, pending)) = self.pending.pop_front() {
                let reply = if at == index {
                    self.reply_for(&pending, &changes)
                } else {
                    CallReply::Unknown
                };
                send_replies(pending, &reply, out);
            }
        }
        Ok(())
    }

    pub(crate) fn reply_for(&self, pending: &PendingReply, changes: &[StateChange]) -> CallReply {
        match pending {
            PendingReply::Config(_, version, document) => {
                let current = self.state.config.as_ref();
                let same = current.is_some_and(|h| h.version > *version || h.document == *document);
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
                    .open_job(*id)
                    .map_or(0, |j| j.tasks.iter().map(Vec::len).sum());
                events::ACCEPTED.log(format_args!(
                    "job={id} tasks={tasks} changes={}",
                    changes.len()
                ));
                CallReply::Done
            }
            PendingReply::None | PendingReply::Call(_) => CallReply::Done,
        }
    }

    pub(crate) fn compact(
        &mut self,
        now: Millis,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        self.room.update(&self.raft);
        let applied = Index(self.state.applied);
        let is_due =
            self.raft.wants_snapshot(SNAPSHOT_AFTER) || self.room.wants_snapshot(now, &self.raft);
        if !is_due || self.raft.committed() != applied {
            return Ok(());
        }
        let data = postcard::to_stdvec(&self.state).context(EncodeSnafu)?;
        events::SNAPSHOT.log(format_args!("index={} bytes={}", applied.0, data.len()));
        let mut raft_outputs = Vec::new();
        self.raft
            .compact(applied, Bytes::from(data), &mut raft_outputs);
        self.room.snapshot_taken(now);
        self.room.update(&self.raft);
        out.extend(raft_outputs.into_iter().map(ReplicaOutput::Raft));
        Ok(())
    }

    /// Id of the leader, as far as this instance knows.
    pub(crate) fn leader(&self) -> Option<ReplicaId> {
        self.raft.leader()
    }
}

fn decode_state(snapshot: &Snapshot) -> Result<ReplicatedState, ReplicaError> {
    if snapshot.data.is_empty() {
        return Ok(ReplicatedState::default());
    }
    let index = snapshot.position.index;
    ReplicatedState::decode(&snapshot.data).context(DecodeSnafu { index })
}
