//! The replicated log's protocol, one replica's side.
//!
//! Leader-based log replication with terms, pre-vote, a check of the quorum and
//! a leader lease. Nothing that another replica may rely on is sent before the
//! write behind it is synced: such messages wait for [`RaftInput::Synced`].

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::elect::PreVote;
use super::log::{
    DiskId, Index, Log, LogEntry, Payload, Position, Record, ReplicaId, Snapshot, Term, Voter,
};
use super::message::{Body, ElectionCause, Message};
use crate::core::clock::Millis;
use crate::core::table::Table;

/// Keeps seed and disk identity from cancelling each other out.
const SEED_SHIFT: u32 = 32;

/// Times of the protocol.
#[derive(Debug, Clone, Copy)]
pub struct RaftTiming {
    /// A follower stands for election after between one and two of these in
    /// silence, and helps no one else to before one has passed.
    pub election: Millis,
    /// The leader's heartbeat.
    pub heartbeat: Millis,
    /// Taken off the leader lease for clocks that drift.
    pub margin: Millis,
}

/// What a replica is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RaftRole {
    /// Takes entries from a leader.
    Follower,
    /// Asks whether it could win.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// What reaches a replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RaftInput {
    /// A message from a peer.
    Receive(Message),
    /// Writes up to this number are durable.
    Synced(u64),
    /// Hand leadership over: this instance stops.
    Stop,
    /// Time has passed.
    Tick,
}

/// What a replica does.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RaftOutput {
    /// Write these durably, then say [`RaftInput::Synced`] with the number.
    Write(u64, Vec<Record>),
    /// Send a message.
    Send(Message),
    /// These entries are committed, in order.
    Commit(Vec<LogEntry>),
    /// Replace the state machine's state.
    Restore(Snapshot),
}

/// A rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RaftGuard {
    /// A majority must agree.
    Quorum,
    /// Only the disk that the log names counts.
    DiskIdentity,
    /// A follower that hears a leader helps no one else.
    LeaderStickiness,
    /// Only when all voters have started anew need none of them wait.
    AllLeaderless,
}

/// What a leader knows of a peer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Progress {
    pub(crate) disk: Option<DiskId>,
    pub(crate) next: Index,
    pub(crate) matched: Index,
    // The latest of the leader's own clock readings that the peer echoed.
    pub(crate) echoed: Option<Millis>,
    // Batches sent and not yet answered.
    pub(crate) flying: u32,
    pub(crate) sent: Millis,
}

impl Progress {
    pub(crate) fn new(next: Index, now: Millis) -> Self {
        Self {
            disk: None,
            next,
            matched: Index(0),
            echoed: None,
            flying: 0,
            sent: now,
        }
    }
}

/// One replica.
#[derive(Debug, Clone)]
pub struct Raft {
    pub(crate) id: ReplicaId,
    pub(crate) disk: DiskId,
    pub(crate) peers: Vec<ReplicaId>,
    pub(crate) timing: RaftTiming,
    pub(crate) term: Term,
    pub(crate) vote: Option<ReplicaId>,
    pub(crate) log: Log,
    pub(crate) role: RaftRole,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) commit: Index,
    // Own entries durable up to here.
    pub(crate) synced: Index,
    pub(crate) heard: Millis,
    pub(crate) due: Millis,
    pub(crate) votes: Vec<Voter>,
    // Until a leader is heard: voters that have heard none either since they
    // started.
    pub(crate) leaderless: Option<Vec<Voter>>,
    pub(crate) progress: Table<ReplicaId, Progress>,
    pub(crate) beat: Millis,
    // First entry of the own term, while leading.
    pub(crate) reign: Index,
    pub(crate) stopping: bool,
    // Peers heard while this replica is empty: their disks.
    pub(crate) greeted: Table<ReplicaId, DiskId>,
    pub(crate) writes: u64,
    pub(crate) waiting: Vec<(u64, Message)>,
    pub(crate) unsynced: Vec<(u64, Index)>,
    // Number of the write that holds the own vote.
    pub(crate) vote_write: u64,
    pub(crate) synced_write: u64,
    pub(crate) rng: Pcg64Mcg,
    // Rules turned off; empty outside of a checker.
    pub(crate) off: Vec<RaftGuard>,
    // Replicas that are not in the settings may join.
    pub(crate) open: bool,
    // This replica may found a group.
    pub(crate) founder: bool,
}

/// What a replica starts from, as read from its data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Durable {
    /// The disk's identity.
    pub disk: DiskId,
    /// Everything written, in order.
    pub records: Vec<Record>,
}

impl Raft {
    /// A replica as it comes up at `now`.
    ///
    /// `peers` are all replicas of the group but this one. The committed entries
    /// are learned anew; a snapshot in `durable` is for the caller to restore
    /// with [`Raft::snapshot`].
    ///
    /// ```
    /// use fulmardrift::{DiskId, Durable, Millis, Raft, RaftTiming, ReplicaId};
    /// let timing = RaftTiming {
    ///     election: Millis(500),
    ///     heartbeat: Millis(100),
    ///     margin: Millis(50),
    /// };
    /// let durable = Durable { disk: DiskId(1), records: Vec::new() };
    /// let raft = Raft::new(ReplicaId(1), Vec::new(), timing, durable, Millis(0), 1);
    /// assert!(!raft.is_leader());
    /// ```
    #[must_use]
    pub fn new(
        id: ReplicaId,
        peers: Vec<ReplicaId>,
        timing: RaftTiming,
        durable: Durable,
        now: Millis,
        seed: u64,
    ) -> Self {
        let mut raft = Self {
            id,
            disk: durable.disk,
            peers,
            timing,
            term: Term(0),
            vote: None,
            log: Log::default(),
            role: RaftRole::Follower,
            leader: None,
            commit: Index(0),
            synced: Index(0),
            // Before the restart it may have supported a leader's lease.
            heard: now,
            due: now,
            votes: Vec::new(),
            leaderless: Some(Vec::new()),
            progress: Table::default(),
            beat: now,
            reign: Index(0),
            stopping: false,
            greeted: Table::default(),
            writes: 0,
            waiting: Vec::new(),
            unsynced: Vec::new(),
            vote_write: 0,
            synced_write: 0,
            rng: Pcg64Mcg::seed_from_u64(seed.rotate_left(SEED_SHIFT) ^ durable.disk.0),
            off: Vec::new(),
            open: false,
            founder: true,
        };
        for record in durable.records {
            raft.replay(record);
        }
        raft.synced = raft.log.last().index;
        raft.commit = raft.log.snapshot.position.index;
        raft.rest_before_asking(now);
        raft
    }

    fn replay(&mut self, record: Record) {
        match record {
            Record::Disk(disk) => self.disk = disk,
            Record::Vote(term, vote) => {
                self.term = term;
                self.vote = vote;
            }
            Record::Entries(entries) => self.log.put(&entries),
            Record::Snapshot(snapshot) => self.log.install(snapshot),
        }
    }

    /// Takes one input at `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Millis, input: RaftInput, out: &mut Vec<RaftOutput>) {
        match input {
            RaftInput::Receive(message) => self.receive(now, message, out),
            RaftInput::Synced(number) => self.on_synced(now, number, out),
            RaftInput::Stop => self.stop(out),
            RaftInput::Tick => self.tick(now, out),
        }
    }

    fn receive(&mut self, now: Millis, message: Message, out: &mut Vec<RaftOutput>) {
        if message.to != self.id || !self.knows(now, message.from) {
            return;
        }
        let Message {
            from, disk, body, ..
        } = message;
        match body {
            Body::PreVote { term, last } => self.on_pre_vote(now, from, term, last, out),
            Body::PreVoted {
                term,
                granted,
                current,
                leaderless,
            } => {
                let voter = Voter { id: from, disk };
                let said = PreVote {
                    term,
                    granted,
                    leaderless,
                };
                self.on_pre_voted(now, voter, said, current, out);
            }
            Body::Vote { term, last, leave } => {
                self.on_vote(now, from, term, last, leave, out);
            }
            Body::Voted { term, granted } => {
                self.on_voted(now, Voter { id: from, disk }, term, granted, out);
            }
            Body::Append {
                term,
                prev,
                entries,
                commit,
                asked,
            } => {
                if self.follow(now, from, term, asked, out) {
                    self.on_append(from, prev, &entries, commit, asked, out);
                }
            }
            Body::Install {
                term,
                snapshot,
                asked,
            } => {
                if self.follow(now, from, term, asked, out) {
                    self.on_install(from, snapshot, asked, out);
                }
            }
            Body::Appended {
                term,
                accepted,
                matched,
                asked,
            } => {
                if term > self.term {
                    self.adopt_term(now, term, out);
                } else if self.is_leader() && term == self.term {
                    let voter = Voter { id: from, disk };
                    self.on_appended(now, voter, accepted, matched, asked, out);
                }
            }
            Body::Handover { term } => {
                if term == self.term && self.leader == Some(from) {
                    self.stand(now, ElectionCause::Handover, out);
                }
            }
            Body::Hello { empty, echo } => {
                self.on_hello(Voter { id: from, disk }, empty, echo, out);
            }
            Body::Found { voters } => self.on_found(voters, out),
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        self.meet_voters(now);
        if self.log.is_empty() {
            self.greet(now, out);
            return;
        }
        match self.role {
            RaftRole::Leader => self.lead(now, out),
            RaftRole::Follower | RaftRole::PreCandidate | RaftRole::Candidate => {
                if now >= self.due && self.is_voter() && !self.stopping {
                    self.pre_stand(now, out);
                }
            }
        }
    }

    /// Proposes a command; committed it is when it comes out as
    /// [`RaftOutput::Commit`] at the position returned.
    ///
    /// `None` when this replica does not lead, or hands leadership over.
    pub fn propose(
        &mut self,
        now: Millis,
        commands: Vec<Bytes>,
        out: &mut Vec<RaftOutput>,
    ) -> Option<Position> {
        if !self.is_leader() || self.stopping {
            return None;
        }
        let payloads = commands.into_iter().map(Payload::Command).collect();
        Some(self.append_own(now, payloads, out))
    }

    /// Appends entries of the own term, and returns the first one's position.
    pub(crate) fn append_own(
        &mut self,
        now: Millis,
        payloads: Vec<Payload>,
        out: &mut Vec<RaftOutput>,
    ) -> Position {
        let first = Position {
            term: self.term,
            index: self.log.last().index.next(),
        };
        let mut at = first;
        let mut entries = Vec::with_capacity(payloads.len());
        for payload in payloads {
            entries.push(LogEntry {
                position: at,
                payload,
            });
            at.index = at.index.next();
        }
        self.append(entries, out);
        self.send_all(now, out);
        first
    }

    /// Puts entries into the log and asks for them to be made durable.
    pub(crate) fn append(&mut self, entries: Vec<LogEntry>, out: &mut Vec<RaftOutput>) -> u64 {
        if let Some(first) = entries.first() {
            let before = Index(first.position.index.0 - 1);
            self.synced = self.synced.min(before);
            self.unsynced.retain(|(_, index)| *index <= before);
        }
        self.log.put(&entries);
        let number = self.write(vec![Record::Entries(entries)], out);
        self.unsynced.push((number, self.log.last().index));
        number
    }

    pub(crate) fn write(&mut self, records: Vec<Record>, out: &mut Vec<RaftOutput>) -> u64 {
        self.writes += 1;
        out.push(RaftOutput::Write(self.writes, records));
        self.writes
    }

    pub(crate) fn write_vote(&mut self, out: &mut Vec<RaftOutput>) -> u64 {
        self.write(vec![Record::Vote(self.term, self.vote)], out)
    }

    fn on_synced(&mut self, now: Millis, number: u64, out: &mut Vec<RaftOutput>) {
        self.synced_write = self.synced_write.max(number);
        for (write, index) in &self.unsynced {
            if *write <= number {
                self.synced = self.synced.max(*index);
            }
        }
        self.unsynced.retain(|(write, _)| *write > number);
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(write, _)| *write <= number);
        self.waiting = waiting;
        out.extend(
            ready
                .into_iter()
                .map(|(_, message)| RaftOutput::Send(message)),
        );
        match self.role {
            RaftRole::Candidate => self.count_votes(now, out),
            RaftRole::Leader => self.advance(now, out),
            RaftRole::Follower | RaftRole::PreCandidate => {}
        }
    }

    /// Sends at once; use it only for what rests on nothing unsynced.
    pub(crate) fn send(&self, to: ReplicaId, body: Body, out: &mut Vec<RaftOutput>) {
        out.push(RaftOutput::Send(self.message(to, body)));
    }

    /// Sends once the write with this number is durable.
    pub(crate) fn send_after(
        &mut self,
        write: u64,
        to: ReplicaId,
        body: Body,
        out: &mut Vec<RaftOutput>,
    ) {
        let message = self.message(to, body);
        if write <= self.synced_write {
            out.push(RaftOutput::Send(message));
        } else {
            self.waiting.push((write, message));
        }
    }

    fn message(&self, to: ReplicaId, body: Body) -> Message {
        Message {
            from: self.id,
            disk: self.disk,
            to,
            body,
        }
    }

    pub(crate) fn is_voter(&self) -> bool {
        let (voters, _) = self.log.voters();
        voters.contains(&Voter {
            id: self.id,
            disk: self.disk,
        })
    }

    /// Turns a rule off, so that a checker can show that it is needed.
    pub fn disable(&mut self, guard: RaftGuard) {
        self.off.push(guard);
    }

    pub(crate) fn on(&self, guard: RaftGuard) -> bool {
        !self.off.contains(&guard)
    }

    /// True when a disk is the one that the log names for its replica.
    pub(crate) fn is_named(&self, voter: Voter, disk: Option<DiskId>) -> bool {
        disk == Some(voter.disk) || (disk.is_some() && !self.on(RaftGuard::DiskIdentity))
    }

    /// Voters of the latest configuration, and how many of them are in `given`.
    fn count(&self, given: &[Voter]) -> (usize, usize) {
        let (voters, _) = self.log.voters();
        let agrees = |v: &&Voter| {
            let of_same = given.iter().filter(|g| g.id == v.id);
            of_same
                .into_iter()
                .any(|g| self.is_named(**v, Some(g.disk)))
        };
        (voters.len(), voters.iter().filter(agrees).count())
    }

    /// True when `given` holds a majority of the latest configuration.
    pub(crate) fn is_quorum(&self, given: &[Voter]) -> bool {
        let (voters, count) = self.count(given);
        count * 2 > voters || (count > 0 && !self.on(RaftGuard::Quorum))
    }

    /// True when `given` holds all voters of the latest configuration.
    pub(crate) fn is_all(&self, given: &[Voter]) -> bool {
        let (voters, count) = self.count(given);
        count == voters || (!self.on(RaftGuard::AllLeaderless) && self.is_quorum(given))
    }

    /// Waits a random while for a leader before standing.
    pub(crate) fn rest(&mut self, now: Millis) {
        let election = self.timing.election.0;
        let extra = self.rng.random_range(0..=election);
        self.due = now + Millis(election + extra);
    }

    /// Waits a little before asking the voters whether they would vote. Until it
    /// has heard a leader it asks often: it costs nothing, and all may have started
    /// anew.
    pub(crate) fn rest_before_asking(&mut self, now: Millis) {
        if self.leaderless.is_none() {
            self.rest(now);
            return;
        }
        let beat = self.timing.heartbeat.0;
        let extra = self.rng.random_range(0..=beat);
        self.due = now + Millis(beat + extra);
    }

    /// Replaces the log up to the applied entry `index` by its state.
    pub fn compact(&mut self, index: Index, data: Bytes, out: &mut Vec<RaftOutput>) {
        let index = index.min(self.commit);
        let Some(term) = self.log.term(index) else {
            return;
        };
        if index <= self.log.snapshot.position.index {
            return;
        }
        let voters = self.log.voters_at(index);
        let snapshot = Snapshot {
            position: Position { term, index },
            voters,
            data,
        };
        self.log.install(snapshot.clone());
        self.write_snapshot(snapshot, out);
    }

    /// Writes everything that a new file must hold to stand alone.
    pub(crate) fn write_snapshot(&mut self, snapshot: Snapshot, out: &mut Vec<RaftOutput>) -> u64 {
        let from = snapshot.position.index.next();
        let tail = self.log.slice(from, usize::MAX).to_vec();
        let mut records = vec![
            Record::Snapshot(snapshot),
            Record::Vote(self.term, self.vote),
        ];
        if !tail.is_empty() {
            records.push(Record::Entries(tail));
        }
        self.write(records, out)
    }
}
