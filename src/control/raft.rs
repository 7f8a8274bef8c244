//! The replication protocol (Raft), as run by one replica.
//!
//! Leader-based log replication with terms, pre-vote, quorum check and leader lease. A message that
//! another replica may rely on is held back until the write that it reports is synced, that is,
//! until [`RaftInput::Synced`].

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::elect::PreVote;
use super::log::{
    DiskId, Index, Log, LogEntry, Payload, Position, Record, ReplicaId, Snapshot, Term, Voter,
};
use super::message::{Body, ElectionCause, Message};
use super::progress::Progress;
use super::transfer::PartialSnapshot;
use crate::core::clock::Millis;
use crate::core::table::Table;

/// Rotates the seed before it is combined with the disk identity, so that equal values do not
/// cancel out.
const SEED_SHIFT: u32 = 32;

/// Time limits of the protocol, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct RaftTiming {
    /// Election timeout. A follower starts an election after a random time between one and two
    /// timeouts without a message from a leader, and votes for no other candidate before one has
    /// passed, except for the causes that [`ElectionCause`] names.
    pub election: Millis,
    /// Interval between the leader's heartbeats.
    pub heartbeat: Millis,
    /// Subtracted from the leader lease to allow for clock drift.
    pub margin: Millis,
}

/// The current role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RaftRole {
    /// Receives entries from a leader.
    Follower,
    /// Asks the voters whether it could win an election.
    PreCandidate,
    /// Has requested votes.
    Candidate,
    /// Replicates its log to the others.
    Leader,
}

/// An input to the protocol.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RaftInput {
    /// A message from a peer.
    Receive(Message),
    /// A session with this peer has opened: what was sent to it before may be lost.
    Connected(ReplicaId),
    /// All writes up to this write number are durable.
    Synced(u64),
    /// A write has failed, and is tried again until it is synced: a leader hands leadership over, and
    /// the replica does not lead before that.
    DiskFailed,
    /// This replica stops: a leader hands leadership over first.
    Stop,
    /// Regular call to check the timers.
    Tick,
}

/// An action for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RaftOutput {
    /// Write these records durably, then report [`RaftInput::Synced`] with this write number.
    Write(u64, Vec<Record>),
    /// Send a message.
    Send(Message),
    /// These entries are committed, in order.
    Commit(Vec<LogEntry>),
    /// Replace the state of the state machine by this snapshot.
    Restore(Snapshot),
}

/// A safety rule of the protocol. Each can be disabled, so that a model checker can show that it is
/// needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RaftGuard {
    /// Elections and commits need a majority of the voters.
    Quorum,
    /// A replica counts as a voter only with the disk that the log names for it.
    DiskIdentity,
    /// A replica that heard from a leader within the election timeout votes for no other candidate.
    LeaderStickiness,
    /// A leader gets an acknowledgement only once the replica's durable vote names it.
    FollowerVote,
    /// The wait for a possible lease is skipped only for the replica that the voter's vote names.
    NamedCandidate,
    /// The wait after a restart is skipped only when all voters have restarted and heard from no
    /// leader.
    AllLeaderless,
    /// Changes are accepted only once the group has had the voters that the tolerated losses need.
    EnoughVoters,
    /// The number of voters stays at the target size: a newcomer replaces a silent voter.
    TargetSize,
    /// Only a newcomer that still answers becomes a voter.
    LiveNewcomer,
    /// A chunk of a snapshot is added only where the part that is held ends.
    ChunkOrder,
    /// The chunks of a snapshot are of one leader's snapshot at one position.
    ChunkSource,
}

/// Whether the replica's writes succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum DiskHealth {
    Writable,
    /// A write has failed and is not synced yet.
    Failed,
}

/// One replica of the replicated log.
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
    // The last other leader, and when this replica heard from it.
    pub(crate) former_leader: Option<(ReplicaId, Millis)>,
    pub(crate) commit_index: Index,
    // Index of the last entry that is durable on this replica.
    pub(crate) synced_index: Index,
    // When this replica last heard from a leader, or its start.
    pub(crate) last_heard_at: Millis,
    pub(crate) election_due_at: Millis,
    // When this replica last asked for pre-votes.
    pub(crate) pre_vote_at: Millis,
    // Votes or pre-votes for this replica.
    pub(crate) votes: Vec<Voter>,
    // The empty peers that know this replica's disk, where nobody joins and its own log is empty.
    pub(crate) confirmations: Vec<Voter>,
    // Voters that have heard from no leader since they started; `None` once this replica has heard
    // from one.
    pub(crate) leaderless_voters: Option<Vec<Voter>>,
    pub(crate) progress: Table<ReplicaId, Progress>,
    // The snapshot that a leader is sending.
    pub(crate) partial: Option<PartialSnapshot>,
    pub(crate) last_heartbeat_at: Millis,
    // Index of the first entry of this replica's own term, while it leads.
    pub(crate) term_start: Index,
    pub(crate) stopping: bool,
    pub(crate) disk_health: DiskHealth,
    // The disks of the peers that said, since this replica started, that their logs are empty.
    pub(crate) empty_peers: Table<ReplicaId, DiskId>,
    // Number of the last write requested.
    pub(crate) last_write: u64,
    // Messages held back, each with the number of the write that must be synced first.
    pub(crate) pending_messages: Vec<(u64, Message)>,
    // Unsynced writes of entries: write number and index of the last entry.
    pub(crate) unsynced_appends: Vec<(u64, Index)>,
    // Why this replica last requested votes.
    pub(crate) election_cause: ElectionCause,
    // Number of the write that holds this replica's vote for itself.
    pub(crate) vote_write: u64,
    // Number of the last write that holds the term.
    pub(crate) term_write: u64,
    pub(crate) synced_write: u64,
    pub(crate) rng: Pcg64Mcg,
    // Rules that are disabled; empty except in a model checker.
    pub(crate) disabled_guards: Vec<RaftGuard>,
    // Whether replicas that are not configured as peers may join.
    pub(crate) joining_allowed: bool,
    // Whether this replica may found a group.
    pub(crate) founder: bool,
    // Number of voters that the group should have.
    pub(crate) target_size: usize,
}

/// The durable state that a replica starts from, as read from its data directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Durable {
    /// Identity of the disk.
    pub disk: DiskId,
    /// All records in the order in which they were written.
    pub records: Vec<Record>,
}

impl Raft {
    /// Creates a replica that starts at `now`.
    ///
    /// `peers` are all other replicas of the group. Which entries after the snapshot are committed
    /// is not stored; the replica learns it again from the group. The caller must restore the state
    /// from the snapshot in `durable`, which [`Raft::snapshot`] returns.
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
        let target_size = peers.len() + 1;
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
            former_leader: None,
            commit_index: Index(0),
            synced_index: Index(0),
            // Before the restart this replica may have supported a leader's lease.
            last_heard_at: now,
            election_due_at: now,
            pre_vote_at: now,
            votes: Vec::new(),
            confirmations: Vec::new(),
            leaderless_voters: Some(Vec::new()),
            progress: Table::default(),
            partial: None,
            last_heartbeat_at: now,
            term_start: Index(0),
            stopping: false,
            disk_health: DiskHealth::Writable,
            empty_peers: Table::default(),
            last_write: 0,
            pending_messages: Vec::new(),
            unsynced_appends: Vec::new(),
            election_cause: ElectionCause::Timeout,
            vote_write: 0,
            term_write: 0,
            synced_write: 0,
            rng: Pcg64Mcg::seed_from_u64(seed.rotate_left(SEED_SHIFT) ^ durable.disk.0),
            disabled_guards: Vec::new(),
            joining_allowed: false,
            founder: true,
            target_size,
        };
        for record in durable.records {
            raft.replay(record);
        }
        raft.synced_index = raft.log.last().index;
        raft.commit_index = raft.log.snapshot.position.index;
        raft.reset_pre_vote_timer(now);
        if raft.voted_for_itself() {
            // It may have led before the restart: the others need not wait for its lease.
            raft.election_due_at = now;
        }
        raft
    }

    fn replay(&mut self, record: Record) {
        match record {
            Record::Disk(disk) => self.disk = disk,
            Record::Vote(term, vote) => {
                self.term = term;
                self.vote = vote;
            }
            Record::Entries(entries) => self.log.replace_from(&entries),
            Record::Snapshot(snapshot) => self.log.install(snapshot),
        }
    }

    /// Processes one input at `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Millis, input: RaftInput, out: &mut Vec<RaftOutput>) {
        match input {
            RaftInput::Receive(message) => self.receive(now, message, out),
            RaftInput::Connected(peer) => self.repeat_request(peer, out),
            RaftInput::Synced(number) => self.on_synced(now, number, out),
            RaftInput::DiskFailed => self.on_disk_failed(now, out),
            RaftInput::Stop => self.stop(out),
            RaftInput::Tick => self.tick(now, out),
        }
    }

    fn receive(&mut self, now: Millis, message: Message, out: &mut Vec<RaftOutput>) {
        if message.to != self.id || !self.accepts_from(now, message.from) {
            return;
        }
        let Message {
            from, disk, body, ..
        } = message;
        if self
            .empty_peers
            .get(&from)
            .is_some_and(|known| *known != disk)
        {
            self.empty_peers.remove(&from);
        }
        match body {
            Body::PreVote { term, last } => self.on_pre_vote(now, from, term, last, out),
            Body::PreVoted {
                term,
                granted,
                current_term,
                leaderless,
            } => {
                let voter = Voter { id: from, disk };
                let answer = PreVote {
                    term,
                    granted,
                    leaderless,
                };
                self.on_pre_voted(now, voter, answer, current_term, out);
            }
            Body::Vote { term, last, cause } => {
                self.on_vote(now, from, term, last, cause, out);
            }
            Body::Voted { term, granted } => {
                self.on_voted(now, Voter { id: from, disk }, term, granted, out);
            }
            Body::Append {
                term,
                prev,
                entries,
                commit,
                leader_time,
            } => {
                if self.follow(now, from, term, leader_time, out) {
                    self.on_append(from, prev, &entries, commit, leader_time, out);
                }
            }
            Body::Install {
                term,
                snapshot,
                leader_time,
            } => {
                if self.follow(now, from, term, leader_time, out) {
                    self.on_install(from, snapshot, leader_time, out);
                }
            }
            Body::Appended {
                term,
                accepted,
                matched,
                leader_time,
            } => {
                if self.leads_in(now, term, out) {
                    let voter = Voter { id: from, disk };
                    self.on_appended(now, voter, accepted, matched, leader_time, out);
                }
            }
            Body::InstallChunk {
                term,
                chunk,
                leader_time,
            } => {
                if self.follow(now, from, term, leader_time, out) {
                    self.on_install_chunk(from, &chunk, leader_time, out);
                }
            }
            Body::ChunkStored {
                term,
                position,
                offset,
                leader_time,
            } => {
                if self.leads_in(now, term, out) {
                    let voter = Voter { id: from, disk };
                    self.on_chunk_stored(now, voter, position, offset, leader_time, out);
                }
            }
            Body::Handover { term } => {
                if term == self.term && self.leader == Some(from) {
                    self.start_election(now, ElectionCause::Handover, out);
                }
            }
            Body::Hello { empty, known_disk } => {
                self.on_hello(now, Voter { id: from, disk }, empty, known_disk, out);
            }
            Body::FoundGroup { voters } => self.on_found_group(voters, out),
        }
    }

    /// True if an answer of this term is for this leader. A newer term is adopted.
    fn leads_in(&mut self, now: Millis, term: Term, out: &mut Vec<RaftOutput>) -> bool {
        if term > self.term {
            self.adopt_term(now, term, out);
        }
        self.is_leader() && term == self.term
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        self.add_voters_as_peers(now);
        if self.log.is_empty() {
            self.empty_replica_tick(now, out);
            if !self.is_voter() {
                return;
            }
        }
        match self.role {
            RaftRole::Leader => self.leader_tick(now, out),
            RaftRole::Follower | RaftRole::PreCandidate | RaftRole::Candidate => {
                if !self.is_voter() {
                    self.announce_non_voter(now, out);
                } else if now >= self.election_due_at && self.may_lead() {
                    self.start_pre_vote(now, out);
                }
            }
        }
    }

    /// Proposes commands and returns the position of the first. A command is committed once
    /// [`RaftOutput::Commit`] returns it at its position.
    ///
    /// Returns `None` when this replica is not the leader or is handing leadership over.
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

    /// Appends entries of the current term as the leader, and returns the position of the first.
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
        self.send_to_followers(now, out);
        first
    }

    /// Appends entries to the log and requests a durable write; returns its write number.
    pub(crate) fn append(&mut self, entries: Vec<LogEntry>, out: &mut Vec<RaftOutput>) -> u64 {
        if let Some(first) = entries.first() {
            let before = Index(first.position.index.0 - 1);
            self.synced_index = self.synced_index.min(before);
            self.unsynced_appends.retain(|(_, index)| *index <= before);
        }
        self.log.replace_from(&entries);
        let number = self.write(vec![Record::Entries(entries)], out);
        self.unsynced_appends.push((number, self.log.last().index));
        number
    }

    pub(crate) fn write(&mut self, records: Vec<Record>, out: &mut Vec<RaftOutput>) -> u64 {
        self.last_write += 1;
        out.push(RaftOutput::Write(self.last_write, records));
        self.last_write
    }

    pub(crate) fn write_vote(&mut self, out: &mut Vec<RaftOutput>) -> u64 {
        self.term_write = self.write(vec![Record::Vote(self.term, self.vote)], out);
        self.term_write
    }

    fn on_synced(&mut self, now: Millis, number: u64, out: &mut Vec<RaftOutput>) {
        self.synced_write = self.synced_write.max(number);
        self.disk_health = DiskHealth::Writable;
        for (write, index) in &self.unsynced_appends {
            if *write <= number {
                self.synced_index = self.synced_index.max(*index);
            }
        }
        self.unsynced_appends.retain(|(write, _)| *write > number);
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_messages)
            .into_iter()
            .partition(|(write, _)| *write <= number);
        self.pending_messages = waiting;
        out.extend(
            ready
                .into_iter()
                .map(|(_, message)| RaftOutput::Send(message)),
        );
        match self.role {
            RaftRole::Candidate => self.count_votes(now, out),
            RaftRole::Leader => self.advance_commit(now, out),
            RaftRole::Follower | RaftRole::PreCandidate => {}
        }
    }

    /// Sends the message at once. It must not report a write that is not yet synced.
    pub(crate) fn send(&self, to: ReplicaId, body: Body, out: &mut Vec<RaftOutput>) {
        out.push(RaftOutput::Send(self.message(to, body)));
    }

    /// Answers a leader's message without a write of its own, once the vote for it is durable.
    pub(crate) fn acknowledge(&mut self, to: ReplicaId, body: Body, out: &mut Vec<RaftOutput>) {
        self.send_after(self.term_write, to, body, out);
    }

    /// Sends the message once the write with this number is durable.
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
            self.pending_messages.push((write, message));
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

    /// Disables a rule, so that a model checker can show that it is needed.
    pub fn disable(&mut self, guard: RaftGuard) {
        self.disabled_guards.push(guard);
    }

    pub(crate) fn is_enabled(&self, guard: RaftGuard) -> bool {
        !self.disabled_guards.contains(&guard)
    }

    /// Sets the election due after a random time between one and two election timeouts.
    pub(crate) fn reset_election_timer(&mut self, now: Millis) {
        let election = self.timing.election.0;
        let extra = self.rng.random_range(0..=election);
        self.election_due_at = now + Millis(election + extra);
    }

    /// Sets the next pre-vote due. A replica that has heard from no leader since its start asks
    /// again within two heartbeats: a pre-vote changes no voter's state, and all voters may have
    /// restarted. If it may have led before, it asks again within one.
    pub(crate) fn reset_pre_vote_timer(&mut self, now: Millis) {
        if self.leaderless_voters.is_none() {
            self.reset_election_timer(now);
            return;
        }
        let heartbeat = self.timing.heartbeat.0;
        let shortest = if self.voted_for_itself() {
            heartbeat / 2
        } else {
            heartbeat
        };
        let extra = self.rng.random_range(0..=shortest);
        self.election_due_at = now + Millis(shortest + extra);
    }
}
