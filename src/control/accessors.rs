//! Read access to the state of a replica.

use super::leader_watch::{MissingVote, VoteCount};
use super::log::{DiskId, Index, LogEntry, Position, ReplicaId, Snapshot, Term, Voter};
use super::progress::FollowerState;
use super::raft::{Raft, RaftRole};
use crate::core::clock::Millis;

impl Raft {
    /// True while this replica is the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == RaftRole::Leader
    }

    /// The current role.
    #[must_use]
    pub fn role(&self) -> RaftRole {
        self.role
    }

    /// The leader of the current term, if this replica knows it.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Index of the last entry that this replica knows to be committed.
    #[must_use]
    pub fn committed(&self) -> Index {
        self.commit_index
    }

    /// Position of the last entry.
    #[must_use]
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// The voters by the latest entry that names them, committed or not.
    #[must_use]
    pub fn voters(&self) -> &[Voter] {
        self.log.voters().0
    }

    /// The snapshot that the log starts from.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.log.snapshot
    }

    /// Identity of this replica's disk.
    #[must_use]
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// The entry at `index`, unless a snapshot has replaced it.
    #[must_use]
    pub fn entry(&self, index: Index) -> Option<&LogEntry> {
        self.log.get(index)
    }

    /// Number of entries since the last snapshot.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.log.len()
    }

    /// Size of the log's entries since the snapshot, in bytes.
    #[must_use]
    pub fn backlog_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Bytes that a follower lacks by its last acknowledgement, the snapshot included if it needs
    /// it; `None` if this replica does not lead, or does not know the follower.
    #[must_use]
    pub fn missing_bytes(&self, follower: ReplicaId) -> Option<usize> {
        let progress = self.progress.get(&follower).filter(|_| self.is_leader())?;
        if let FollowerState::Snapshot(transfer) = &progress.state {
            let next = transfer.position().index.next();
            return Some(transfer.missing() + self.log.bytes_from(next));
        }
        let snapshot = &self.log.snapshot;
        if self.log.kept_term(progress.matched).is_none() {
            return Some(snapshot.data.len() + self.log.bytes());
        }
        Some(self.log.bytes_from(progress.matched.next()))
    }

    /// True while no other replica can have committed anything: this replica leads and is not
    /// stopping, it has committed an entry of its own term, and a quorum confirmed it less than the
    /// election timeout minus the margin ago.
    #[must_use]
    pub fn holds_lease(&self, now: Millis) -> bool {
        self.is_leader()
            && !self.stopping
            && self.commit_index >= self.term_start
            && now < self.quorum_confirmed_at(now) + self.timing.election - self.timing.margin
    }

    /// The votes for this replica, and the voters whose votes it lacks. A vote counts only if it was
    /// given with the disk that the log names. A replica that asks for no votes has none.
    #[must_use]
    pub fn vote_count(&self) -> VoteCount {
        let is_asking = matches!(self.role, RaftRole::PreCandidate | RaftRole::Candidate);
        let own = Voter {
            id: self.id,
            disk: self.disk,
        };
        // A candidate's vote for itself is not in `votes`, and counts once it is durable.
        let own_vote = self.role == RaftRole::Candidate && self.synced_write >= self.vote_write;
        let mut count = VoteCount::default();
        for voter in self.voters() {
            let cast = self.votes.iter().find(|v| v.id == voter.id);
            let disk = match cast {
                Some(vote) if is_asking => Some(vote.disk),
                _ if *voter == own && own_vote => Some(own.disk),
                _ => None,
            };
            if self.is_configured_disk(*voter, disk) {
                count.given.push(voter.id);
                continue;
            }
            let known = disk.or_else(|| self.other_disk(*voter));
            let why = known.map_or(MissingVote::NotGiven, MissingVote::OtherDisk);
            count.missing.push((voter.id, why));
        }
        count
    }

    /// The disk with which a voter runs, if it is known to be another than the log names.
    fn other_disk(&self, voter: Voter) -> Option<DiskId> {
        let own = (self.id == voter.id).then_some(self.disk);
        let disk = own.or_else(|| self.empty_peers.get(&voter.id).copied());
        disk.filter(|disk| *disk != voter.disk)
    }
}
