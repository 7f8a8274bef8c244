//! What a leader knows about the log of another replica.

use std::fmt;

use super::log::{DiskId, Index, ReplicaId};
use super::raft::Raft;
use crate::core::clock::Millis;

/// A replica without a vote is listed this long after its last answer.
const LISTED_FOR: Millis = Millis(10_000);

/// The state of a replica's log as its leader knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Follower {
    /// The replica.
    pub id: ReplicaId,
    /// Its disk, if known.
    pub disk: Option<DiskId>,
    /// True when the log names the replica as a voter, with this disk if it is known.
    pub is_voter: bool,
    /// Index up to which it has acknowledged the log.
    pub acked: Index,
    /// Number of entries that it has not acknowledged.
    pub missing: u64,
    /// Their size in bytes, with the snapshot if it needs that too.
    pub missing_bytes: usize,
    /// When the leader sent the last message that the replica has answered.
    pub answered_at: Option<Millis>,
}

impl Follower {
    pub(crate) fn new(raft: &Raft, id: ReplicaId, ack: &Ack) -> Self {
        let (disk, acked) = (ack.disk, ack.index);
        let mut voters = raft.voters().iter();
        Self {
            id,
            disk,
            is_voter: voters.any(|v| v.id == id && disk.is_none_or(|disk| disk == v.disk)),
            acked,
            missing: raft.last().index.0.saturating_sub(acked.0),
            missing_bytes: raft.bytes_after(acked),
            answered_at: ack.answered_at,
        }
    }
}

/// What a replica has acknowledged to its leader.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ack {
    pub(crate) disk: Option<DiskId>,
    pub(crate) index: Index,
    pub(crate) answered_at: Option<Millis>,
}

impl fmt::Display for Follower {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "replica={} voter={} acked={} missing={} missing_bytes={} disk={:x}",
            self.id.0,
            self.is_voter,
            self.acked.0,
            self.missing,
            self.missing_bytes,
            self.disk.map_or(0, |disk| disk.0)
        )
    }
}

impl Raft {
    /// The other voters and the replicas that are about to join, as this leader knows them; none if
    /// this replica does not lead.
    #[must_use]
    pub fn followers(&self, now: Millis) -> Vec<Follower> {
        if !self.is_leader() {
            return Vec::new();
        }
        let mut followers = Vec::new();
        for (id, ack) in self.acks() {
            let is_voter = self.voters().iter().any(|v| v.id == id);
            let is_present = match ack.answered_at {
                Some(at) => now.since(at) <= LISTED_FOR,
                None => self.empty_peers.get(&id).is_some(),
            };
            if is_voter || is_present {
                followers.push(Follower::new(self, id, &ack));
            }
        }
        followers
    }

    /// What the replicas that this leader knows have acknowledged.
    pub(crate) fn acks(&self) -> impl Iterator<Item = (ReplicaId, Ack)> {
        self.progress.iter().map(|(id, progress)| {
            let ack = Ack {
                disk: progress.disk,
                index: progress.matched,
                answered_at: progress.echoed_time,
            };
            (*id, ack)
        })
    }

    /// Bytes of the log after `index`, the snapshot included if `index` is before its end.
    pub(crate) fn bytes_after(&self, index: Index) -> usize {
        let snapshot = &self.log.snapshot;
        if index < snapshot.position.index {
            return snapshot.data.len() + self.log.bytes();
        }
        self.log.bytes_from(index.next())
    }
}
