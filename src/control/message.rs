//! Messages between the replicas of a control group.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::log::{DiskId, LogEntry, Position, ReplicaId, Snapshot, Term, Voter};
use crate::control::log::Index;
use crate::core::clock::Millis;

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sending replica.
    pub from: ReplicaId,
    /// Identity of the sender's disk.
    pub disk: DiskId,
    /// The receiving replica.
    pub to: ReplicaId,
    /// The content.
    pub body: Body,
}

/// Why a candidate requests votes. Some causes let a voter agree although it heard from a leader
/// less than an election timeout ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ElectionCause {
    /// The election timeout passed; a voter that still supports a leader refuses.
    Timeout,
    /// The stopping leader asked the candidate to take over.
    Handover,
    /// Every voter has restarted, and has heard from no leader since or has lost its disk. A leader
    /// that still held a lease would be one of these voters, so there is none.
    Leaderless,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Position of the last entry that the snapshot covers.
    pub position: Position,
    /// The voters at that entry.
    pub voters: Vec<Voter>,
    /// Number of bytes of the encoded state before `data`.
    pub offset: u64,
    /// Length of the encoded state in bytes.
    pub total: u64,
    /// The part of the encoded state.
    pub data: Bytes,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in `term`; no vote is cast.
    PreVote {
        /// The term of the election that the sender would start.
        term: Term,
        /// Position of the sender's last entry.
        last: Position,
    },
    /// Answer to [`Body::PreVote`].
    PreVoted {
        /// The term of the request.
        term: Term,
        /// Whether the sender grants the vote.
        granted: bool,
        /// The sender's current term.
        current_term: Term,
        /// True when the sender has heard from no leader since it started, and only the wait after
        /// its start may keep it from granting the vote.
        leaderless: bool,
    },
    /// Requests a vote.
    Vote {
        /// The term of the election.
        term: Term,
        /// Position of the sender's last entry.
        last: Position,
        /// The cause of the election.
        cause: ElectionCause,
    },
    /// Answer to [`Body::Vote`].
    Voted {
        /// The sender's current term.
        term: Term,
        /// Whether the sender grants the vote.
        granted: bool,
    },
    /// Entries from the leader. A heartbeat without new entries carries none.
    Append {
        /// The leader's term.
        term: Term,
        /// Position of the entry before `entries`.
        prev: Position,
        /// The entries, in log order.
        entries: Vec<LogEntry>,
        /// Index of the leader's last committed entry.
        commit: Index,
        /// The leader's clock at sending, to be returned in the answer.
        leader_time: Millis,
    },
    /// Answer to [`Body::Append`] and [`Body::Install`], and to the last [`Body::InstallChunk`].
    Appended {
        /// The sender's current term.
        term: Term,
        /// False when the sender's log does not contain the entry at `prev`, or when the sender is
        /// in a newer term than the leader.
        accepted: bool,
        /// Index up to which the sender's durable log equals the leader's; after a refusal, the
        /// index to continue from.
        matched: Index,
        /// The leader's clock, as received in the request.
        leader_time: Millis,
    },
    /// A snapshot from the leader.
    Install {
        /// The leader's term.
        term: Term,
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's clock at sending, to be returned in the answer.
        leader_time: Millis,
    },
    /// The leader is stopping and asks the receiver to start an election at once.
    Handover {
        /// The leader's term.
        term: Term,
    },
    /// A replica with an empty log announces itself, or a peer answers such an announcement.
    Hello {
        /// True when the sender's log is empty.
        empty: bool,
        /// Identity of the receiver's disk, if the sender knows it.
        known_disk: Option<DiskId>,
    },
    /// Founds a group that nobody joins, with these voters as the first entry of its log. Ignored
    /// where replicas may join: only former versions send it there.
    FoundGroup {
        /// The voters.
        voters: Vec<Voter>,
    },
    /// A part of a snapshot that is too long for one message.
    InstallChunk {
        /// The leader's term.
        term: Term,
        /// The part.
        chunk: SnapshotChunk,
        /// The leader's clock at sending, to be returned in the answer.
        leader_time: Millis,
    },
    /// Answer to [`Body::InstallChunk`], unless the snapshot is complete: it is then answered as
    /// [`Body::Install`].
    ChunkStored {
        /// The sender's current term.
        term: Term,
        /// Position of the snapshot.
        position: Position,
        /// Number of bytes from the start that the sender holds.
        offset: u64,
        /// The leader's clock, as received in the request.
        leader_time: Millis,
    },
}
