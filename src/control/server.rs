//! A control instance: the replicated log, the state machine on top of it, and the leases of the
//! processes.

use std::collections::VecDeque;

use bytes::Bytes;
use snafu::{ResultExt, Snafu};

use super::command::{Command, CommandReply, TimestampedCommand};
use super::log::{Index, LogEntry, Position, ReplicaId, Snapshot, Term, committed_command};
use super::raft::{Raft, RaftGuard, RaftInput, RaftOutput};
use super::renewals::Renewals;
use super::state_machine::StateMachine;
use crate::core::clock::Millis;
use crate::core::ids::{Incarnation, Revision};

/// A snapshot replaces the log once it has this many entries.
const SNAPSHOT_THRESHOLD: usize = 20_000;
/// A process is declared dead this long after its lease ended, by the leader's clock.
const DEAD_MARGIN: Millis = Millis(2_000);

/// Id of a request to a control instance, unique within its process. The code that passes the
/// request to [`Control::step`] chooses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A command or snapshot that cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// A committed command or snapshot does not decode.
    #[snafu(display("log entry {}: {source}", index.0))]
    Decode {
        /// Index of the entry, or of the snapshot's last entry.
        index: Index,
        /// The decoder's error.
        source: postcard::Error,
    },
    /// A command does not encode.
    #[snafu(display("command: {source}"))]
    Encode {
        /// The encoder's error.
        source: postcard::Error,
    },
}

/// An input to a control instance.
#[derive(Debug, Clone)]
pub enum ControlInput {
    /// An input to the replicated log.
    Raft(RaftInput),
    /// A command to commit; the answer carries the same request id.
    Propose(RequestId, TimestampedCommand),
    /// A process renews its lease.
    Renew {
        /// Id of the request.
        request_id: RequestId,
        /// The process that renews.
        incarnation: Incarnation,
        /// The settings revision that the process has in force.
        revision: Revision,
    },
    /// Asks whether this instance may read its state as the latest.
    Read(RequestId),
    /// Regular call to check the timers. The wall-clock time is for commands that the leader
    /// proposes itself.
    Tick(Millis),
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlAnswer {
    /// The command was committed, with this reply.
    Reply(CommandReply),
    /// This instance is the leader: its state is the latest, and a lease of this length runs from
    /// the time of the request.
    LeaderConfirmed {
        /// False when the renewing incarnation is dead; it then has no lease.
        alive: bool,
        /// Length of the lease, in milliseconds.
        lease: Millis,
    },
    /// This instance is not the leader; the given replica is, if known.
    NotLeader(Option<ReplicaId>),
}

/// An action for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlOutput {
    /// A write or a message of the replicated log.
    Raft(RaftOutput),
    /// Answer a request.
    Answer(RequestId, ControlAnswer),
}

/// A control instance.
#[derive(Debug, Clone)]
pub struct Control {
    raft: Raft,
    state_machine: StateMachine,
    renewals: Renewals,
    // The term in which the renewals were last reset.
    renewals_term: Term,
    // Proposals without an answer, in log order.
    pending: VecDeque<(Position, RequestId)>,
    // Incarnations for which a command that declares them dead is proposed.
    proposed_dead: Vec<Incarnation>,
    raft_outputs: Vec<RaftOutput>,
}

impl Control {
    /// Creates an instance on top of a replica that has just started.
    ///
    /// # Errors
    ///
    /// The snapshot does not decode.
    pub fn new(raft: Raft) -> Result<Self, ControlError> {
        let state_machine = decode_state(raft.snapshot())?;
        Ok(Self {
            raft,
            state_machine,
            renewals: Renewals::default(),
            renewals_term: Term(0),
            pending: VecDeque::new(),
            proposed_dead: Vec::new(),
            raft_outputs: Vec::new(),
        })
    }

    /// Processes one input at `now` and appends the resulting actions to `out`.
    ///
    /// # Errors
    ///
    /// A committed entry does not decode. The instance must stop, because its state can no longer
    /// follow the group's. A command that does not encode is an error too.
    pub fn step(
        &mut self,
        now: Millis,
        input: ControlInput,
        out: &mut Vec<ControlOutput>,
    ) -> Result<(), ControlError> {
        match input {
            ControlInput::Raft(input) => {
                let mut outputs = std::mem::take(&mut self.raft_outputs);
                self.raft.step(now, input, &mut outputs);
                self.raft_outputs = outputs;
            }
            ControlInput::Propose(id, command) => self.propose(now, id, &command, out)?,
            ControlInput::Renew {
                request_id,
                incarnation,
                revision,
            } => {
                self.renew(now, request_id, incarnation, revision, out);
            }
            ControlInput::Read(request_id) => {
                let answer = self.confirm_leader(now, true);
                out.push(ControlOutput::Answer(request_id, answer));
            }
            ControlInput::Tick(wall_clock) => self.tick(now, wall_clock)?,
        }
        self.process_raft_outputs(now, out)
    }

    fn propose(
        &mut self,
        now: Millis,
        request_id: RequestId,
        timestamped: &TimestampedCommand,
        out: &mut Vec<ControlOutput>,
    ) -> Result<(), ControlError> {
        let command = postcard::to_stdvec(timestamped).context(EncodeSnafu)?;
        let mut outputs = std::mem::take(&mut self.raft_outputs);
        let position = self
            .raft
            .propose(now, vec![Bytes::from(command)], &mut outputs);
        self.raft_outputs = outputs;
        if let Some(position) = position {
            self.pending.push_back((position, request_id));
        } else {
            let answer = ControlAnswer::NotLeader(self.raft.leader());
            out.push(ControlOutput::Answer(request_id, answer));
        }
        Ok(())
    }

    fn renew(
        &mut self,
        now: Millis,
        request_id: RequestId,
        incarnation: Incarnation,
        revision: Revision,
        out: &mut Vec<ControlOutput>,
    ) {
        let process = self.state_machine.processes().get(&incarnation);
        let alive = process.is_some_and(|p| p.alive) && !self.proposed_dead.contains(&incarnation);
        let answer = self.confirm_leader(now, alive);
        if alive && matches!(answer, ControlAnswer::LeaderConfirmed { .. }) {
            self.renewals
                .renew(now, self.lease(), incarnation, revision);
        }
        out.push(ControlOutput::Answer(request_id, answer));
    }

    fn confirm_leader(&self, now: Millis, alive: bool) -> ControlAnswer {
        if self.raft.holds_lease(now) {
            ControlAnswer::LeaderConfirmed {
                alive,
                lease: self.lease(),
            }
        } else {
            ControlAnswer::NotLeader(self.raft.leader())
        }
    }

    fn lease(&self) -> Millis {
        Millis(self.state_machine.settings().number("", "lease_ms"))
    }

    fn tick(&mut self, now: Millis, wall_clock: Millis) -> Result<(), ControlError> {
        let mut outputs = std::mem::take(&mut self.raft_outputs);
        self.raft.step(now, RaftInput::Tick, &mut outputs);
        self.raft_outputs = outputs;
        if !self.raft.holds_lease(now) {
            return Ok(());
        }
        if self.renewals_term != self.raft.term() {
            self.renewals_term = self.raft.term();
            let longest = self.state_machine.longest_lease();
            self.renewals.reset(now, longest, &self.live_processes());
            self.proposed_dead.clear();
        }
        for incarnation in self.renewals.lapsed(now, DEAD_MARGIN) {
            self.renewals.remove(incarnation);
            self.proposed_dead.push(incarnation);
            let timestamped = TimestampedCommand {
                at: wall_clock,
                command: Command::Dead(incarnation),
            };
            let command = postcard::to_stdvec(&timestamped).context(EncodeSnafu)?;
            let mut outputs = std::mem::take(&mut self.raft_outputs);
            self.raft
                .propose(now, vec![Bytes::from(command)], &mut outputs);
            self.raft_outputs = outputs;
        }
        Ok(())
    }

    fn live_processes(&self) -> Vec<Incarnation> {
        let alive = self
            .state_machine
            .processes()
            .iter()
            .filter(|(_, p)| p.alive);
        alive.map(|(incarnation, _)| *incarnation).collect()
    }

    fn process_raft_outputs(
        &mut self,
        now: Millis,
        out: &mut Vec<ControlOutput>,
    ) -> Result<(), ControlError> {
        for output in std::mem::take(&mut self.raft_outputs) {
            match output {
                RaftOutput::Commit(entries) => {
                    for entry in entries {
                        self.apply(now, &entry, out)?;
                    }
                }
                RaftOutput::Restore(snapshot) => self.state_machine = decode_state(&snapshot)?,
                other => out.push(ControlOutput::Raft(other)),
            }
        }
        if !self.raft.is_leader() {
            let leader = self.raft.leader();
            for (_, request_id) in self.pending.drain(..) {
                // The command may or may not be committed: the proposer must send it again.
                out.push(ControlOutput::Answer(
                    request_id,
                    ControlAnswer::NotLeader(leader),
                ));
            }
        }
        self.compact(out)
    }

    fn apply(
        &mut self,
        now: Millis,
        entry: &LogEntry,
        out: &mut Vec<ControlOutput>,
    ) -> Result<(), ControlError> {
        let index = entry.position.index;
        let Some(command) = committed_command(entry) else {
            return Ok(());
        };
        let timestamped: TimestampedCommand =
            postcard::from_bytes(command).context(DecodeSnafu { index })?;
        let dead = match &timestamped.command {
            Command::Dead(incarnation) => Some(*incarnation),
            _ => None,
        };
        let reply = self.state_machine.apply(index, timestamped);
        if let CommandReply::Joined(incarnation) = &reply {
            self.renewals
                .renew(now, self.lease(), *incarnation, Revision(0));
        }
        if let Some(incarnation) = dead {
            self.renewals.remove(incarnation);
            self.proposed_dead.retain(|i| *i != incarnation);
        }
        while let Some((at, request_id)) = self.pending.front().copied() {
            if at.index > index {
                break;
            }
            self.pending.pop_front();
            let answer = if at == entry.position {
                ControlAnswer::Reply(reply.clone())
            } else {
                // Another leader's entry was committed at this index.
                ControlAnswer::NotLeader(self.raft.leader())
            };
            out.push(ControlOutput::Answer(request_id, answer));
        }
        Ok(())
    }

    fn compact(&mut self, out: &mut Vec<ControlOutput>) -> Result<(), ControlError> {
        if !self.raft.wants_snapshot(SNAPSHOT_THRESHOLD)
            || self.raft.committed() != self.state_machine.applied()
        {
            return Ok(());
        }
        let data = postcard::to_stdvec(&self.state_machine).context(EncodeSnafu)?;
        let mut outputs = Vec::new();
        self.raft.compact(
            self.state_machine.applied(),
            Bytes::from(data),
            &mut outputs,
        );
        out.extend(outputs.into_iter().map(ControlOutput::Raft));
        Ok(())
    }

    /// The state machine, as far as this instance has applied the log.
    #[must_use]
    pub fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    /// Disables a rule of the replicated log, so that a model checker can show that it is needed.
    pub fn disable(&mut self, guard: RaftGuard) {
        self.raft.disable(guard);
    }

    /// The replicated log.
    #[must_use]
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Live processes that still have an older revision in force.
    #[must_use]
    pub fn lagging_processes(&self, now: Millis, revision: Revision) -> Vec<Incarnation> {
        self.renewals.lagging(now, revision)
    }

    /// True when no proposal is waiting for its commit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }
}

fn decode_state(snapshot: &Snapshot) -> Result<StateMachine, ControlError> {
    if snapshot.data.is_empty() {
        return Ok(StateMachine::default());
    }
    let index = snapshot.position.index;
    postcard::from_bytes(&snapshot.data).context(DecodeSnafu { index })
}
