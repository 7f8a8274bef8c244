//! What a replica shows of itself.

use super::log::{DiskId, Index, LogEntry, Position, ReplicaId, Snapshot, Term, Voter};
use super::raft::{Raft, RaftRole};
use crate::core::clock::Millis;

impl Raft {
    /// True while this replica leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == RaftRole::Leader
    }

    /// What the replica is at the moment.
    #[must_use]
    pub fn role(&self) -> RaftRole {
        self.role
    }

    /// The leader, as far as this replica knows.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Up to where the log is committed, as far as this replica knows.
    #[must_use]
    pub fn committed(&self) -> Index {
        self.commit
    }

    /// The last entry's position.
    #[must_use]
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// The voters by the latest entry.
    #[must_use]
    pub fn voters(&self) -> &[Voter] {
        self.log.voters().0
    }

    /// The snapshot the log starts from.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.log.snapshot
    }

    /// This replica's disk.
    #[must_use]
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// The entry at `index`, while it is still in the log.
    #[must_use]
    pub fn entry(&self, index: Index) -> Option<&LogEntry> {
        self.log.get(index)
    }

    /// Number of entries since the last snapshot.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.log.len()
    }

    /// True while no other replica can have committed anything: a quorum confirmed
    /// this leader recently enough, and it has committed an entry of its own.
    #[must_use]
    pub fn holds_lease(&self, now: Millis) -> bool {
        self.is_leader()
            && !self.stopping
            && self.commit >= self.reign
            && now < self.confirmed(now) + self.timing.election - self.timing.margin
    }
}
