//! A control instance: the replicated log, the state machine over it, and the
//! leases it hands out.

use std::collections::VecDeque;

use bytes::Bytes;
use snafu::{ResultExt, Snafu};

use super::command::{Command, CommandReply, TimestampedCommand};
use super::log::{Index, LogEntry, Payload, Position, ReplicaId, Snapshot, Term};
use super::raft::{Raft, RaftGuard, RaftInput, RaftOutput};
use super::renewals::Renewals;
use super::state_machine::StateMachine;
use crate::core::clock::Millis;
use crate::core::ids::{Incarnation, Revision};

/// Entries after which the log is replaced by a snapshot.
const SNAPSHOT_AFTER: usize = 20_000;
/// A process counts as dead so long after its lease ended, by the leader's clock.
const DEAD_MARGIN: Millis = Millis(2_000);

/// A call's number within this process, chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What a control instance cannot make sense of.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// A committed command or snapshot does not decode.
    #[snafu(display("log entry {}: {source}", index.0))]
    Decode {
        /// Where.
        index: Index,
        /// What the decoder found.
        source: postcard::Error,
    },
    /// A command does not encode.
    #[snafu(display("command: {source}"))]
    Encode {
        /// What the encoder found.
        source: postcard::Error,
    },
}

/// What reaches a control instance.
#[derive(Debug, Clone)]
pub enum ControlInput {
    /// For the replicated log.
    Raft(RaftInput),
    /// A command to be committed; answered by its request id.
    Propose(RequestId, TimestampedCommand),
    /// A process renews its lease.
    Renew {
        /// The call.
        request_id: RequestId,
        /// Who renews.
        incarnation: Incarnation,
        /// The revision it has in force.
        revision: Revision,
    },
    /// May the state be read as the latest?
    Read(RequestId),
    /// Time has passed; the wall clock stamps what the leader proposes itself.
    Tick(Millis),
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlAnswer {
    /// The command's reply.
    Reply(CommandReply),
    /// The state may be read, and a lease of this length runs from when the
    /// caller asked; false when its incarnation is dead.
    LeaderConfirmed {
        /// Whether the incarnation is alive.
        alive: bool,
        /// Length of the lease.
        lease: Millis,
    },
    /// Ask this replica, or any other.
    NotLeader(Option<ReplicaId>),
}

/// What a control instance does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlOutput {
    /// For the replicated log: write or send.
    Raft(RaftOutput),
    /// Answer a call.
    Answer(RequestId, ControlAnswer),
}

/// One control instance.
#[derive(Debug, Clone)]
pub struct Control {
    raft: Raft,
    machine: StateMachine,
    renewals: Renewals,
    // The term in which the renewals were last reset.
    reset: Term,
    // Proposals in log order.
    pending: VecDeque<(Position, RequestId)>,
    // Incarnations whose death is proposed.
    dying: Vec<Incarnation>,
    scratch: Vec<RaftOutput>,
}

impl Control {
    /// An instance over a log as it comes up.
    ///
    /// # Errors
    ///
    /// The snapshot does not decode.
    pub fn new(raft: Raft) -> Result<Self, ControlError> {
        let machine = decode_machine(raft.snapshot())?;
        Ok(Self {
            raft,
            machine,
            renewals: Renewals::default(),
            reset: Term(0),
            pending: VecDeque::new(),
            dying: Vec::new(),
            scratch: Vec::new(),
        })
    }

    /// Takes one input at `now` and appends what is to be done to `out`.
    ///
    /// # Errors
    ///
    /// A committed entry does not decode: the instance must stop, since it can no
    /// longer follow the group.
    pub fn step(
        &mut self,
        now: Millis,
        input: ControlInput,
        out: &mut Vec<ControlOutput>,
    ) -> Result<(), ControlError> {
        match input {
            ControlInput::Raft(input) => {
                let mut raw = std::mem::take(&mut self.scratch);
                self.raft.step(now, input, &mut raw);
                self.scratch = raw;
            }
            ControlInput::Propose(request_id, stamped) => {
                self.propose(now, request_id, &stamped, out)?
            }
            ControlInput::Renew {
                request_id,
                incarnation,
                revision,
            } => {
                self.renew(now, request_id, incarnation, revision, out);
            }
            ControlInput::Read(request_id) => {
                let answer = self.fresh(now, true);
                out.push(ControlOutput::Answer(request_id, answer));
            }
            ControlInput::Tick(wall) => self.tick(now, wall)?,
        }
        self.take_raft(now, out)
    }

    fn propose(
        &mut self,
        now: Millis,
        request_id: RequestId,
        stamped: &TimestampedCommand,
        out: &mut Vec<ControlOutput>,
    ) -> Result<(), ControlError> {
        let command = postcard::to_stdvec(stamped).context(EncodeSnafu)?;
        let mut raw = std::mem::take(&mut self.scratch);
        let position = self.raft.propose(now, vec![Bytes::from(command)], &mut raw);
        self.scratch = raw;
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
        let process = self.machine.processes().get(&incarnation);
        let alive = process.is_some_and(|p| p.alive) && !self.dying.contains(&incarnation);
        let answer = self.fresh(now, alive);
        if alive && matches!(answer, ControlAnswer::LeaderConfirmed { .. }) {
            self.renewals
                .renew(now, self.lease(), incarnation, revision);
        }
        out.push(ControlOutput::Answer(request_id, answer));
    }

    fn fresh(&self, now: Millis, alive: bool) -> ControlAnswer {
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
        Millis(self.machine.settings().number("", "lease_ms"))
    }

    fn tick(&mut self, now: Millis, wall: Millis) -> Result<(), ControlError> {
        let mut raw = std::mem::take(&mut self.scratch);
        self.raft.step(now, RaftInput::Tick, &mut raw);
        self.scratch = raw;
        if !self.raft.holds_lease(now) {
            return Ok(());
        }
        if self.reset != self.raft.term() {
            self.reset = self.raft.term();
            let longest = self.machine.longest_lease();
            self.renewals.reset(now, longest, &self.live());
            self.dying.clear();
        }
        for incarnation in self.renewals.lapsed(now, DEAD_MARGIN) {
            self.renewals.remove(incarnation);
            self.dying.push(incarnation);
            let stamped = TimestampedCommand {
                at: wall,
                command: Command::Dead(incarnation),
            };
            let command = postcard::to_stdvec(&stamped).context(EncodeSnafu)?;
            let mut raw = std::mem::take(&mut self.scratch);
            self.raft.propose(now, vec![Bytes::from(command)], &mut raw);
            self.scratch = raw;
        }
        Ok(())
    }

    fn live(&self) -> Vec<Incarnation> {
        let live = self.machine.processes().iter().filter(|(_, p)| p.alive);
        live.map(|(incarnation, _)| *incarnation).collect()
    }

    fn take_raft(&mut self, now: Millis, out: &mut Vec<ControlOutput>) -> Result<(), ControlError> {
        for output in std::mem::take(&mut self.scratch) {
            match output {
                RaftOutput::Commit(entries) => {
                    for entry in entries {
                        self.apply(now, &entry, out)?;
                    }
                }
                RaftOutput::Restore(snapshot) => self.machine = decode_machine(&snapshot)?,
                other => out.push(ControlOutput::Raft(other)),
            }
        }
        if !self.raft.is_leader() {
            let leader = self.raft.leader();
            for (_, request_id) in self.pending.drain(..) {
                // It may or may not be committed: the caller must ask again.
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
        let Payload::Command(command) = &entry.payload else {
            return Ok(());
        };
        let stamped: TimestampedCommand =
            postcard::from_bytes(command).context(DecodeSnafu { index })?;
        let buried = match &stamped.command {
            Command::Dead(incarnation) => Some(*incarnation),
            _ => None,
        };
        let reply = self.machine.apply(index, stamped);
        if let CommandReply::Joined(incarnation) = &reply {
            self.renewals
                .renew(now, self.lease(), *incarnation, Revision(0));
        }
        if let Some(incarnation) = buried {
            self.renewals.remove(incarnation);
            self.dying.retain(|i| *i != incarnation);
        }
        while let Some((at, request_id)) = self.pending.front().copied() {
            if at.index > index {
                break;
            }
            self.pending.pop_front();
            let answer = if at == entry.position {
                ControlAnswer::Reply(reply.clone())
            } else {
                // Another leader's entry stands at its place.
                ControlAnswer::NotLeader(self.raft.leader())
            };
            out.push(ControlOutput::Answer(request_id, answer));
        }
        Ok(())
    }

    fn compact(&mut self, out: &mut Vec<ControlOutput>) -> Result<(), ControlError> {
        if self.raft.backlog() < SNAPSHOT_AFTER || self.raft.committed() != self.machine.applied() {
            return Ok(());
        }
        let data = postcard::to_stdvec(&self.machine).context(EncodeSnafu)?;
        let mut raw = Vec::new();
        self.raft
            .compact(self.machine.applied(), Bytes::from(data), &mut raw);
        out.extend(raw.into_iter().map(ControlOutput::Raft));
        Ok(())
    }

    /// The state machine, as far as this instance has it.
    #[must_use]
    pub fn state_machine(&self) -> &StateMachine {
        &self.machine
    }

    /// Turns a rule of the replicated log off, for a checker.
    pub fn disable(&mut self, guard: RaftGuard) {
        self.raft.disable(guard);
    }

    /// The replicated log.
    #[must_use]
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Processes that still act under an older revision.
    #[must_use]
    pub fn lagging_processes(&self, now: Millis, revision: Revision) -> Vec<Incarnation> {
        self.renewals.lagging(now, revision)
    }

    /// True when nothing awaits a commit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }
}

fn decode_machine(snapshot: &Snapshot) -> Result<StateMachine, ControlError> {
    if snapshot.data.is_empty() {
        return Ok(StateMachine::default());
    }
    let index = snapshot.position.index;
    postcard::from_bytes(&snapshot.data).context(DecodeSnafu { index })
}
