//! Messages between the replicas of a control group.

use serde::{Deserialize, Serialize};

use super::log::{DiskId, LogEntry, Position, ReplicaId, Snapshot, Term, Voter};
use crate::control::log::Index;
use crate::core::clock::Millis;

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Who sends.
    pub from: ReplicaId,
    /// The sender's disk.
    pub disk: DiskId,
    /// Who is meant.
    pub to: ReplicaId,
    /// What it says.
    pub body: Body,
}

/// What allows a vote before the time has passed in which a leader may rely on the
/// voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ElectionCause {
    /// Nothing.
    Timeout,
    /// The leader asked the candidate to take over.
    Handover,
    /// Every voter has started anew and has heard no leader since: a lease would be
    /// held by one of them.
    Leaderless,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Would you vote for me in this term?
    PreVote {
        /// The term to be.
        term: Term,
        /// The sender's last entry.
        last: Position,
    },
    /// Answer to [`Body::PreVote`].
    PreVoted {
        /// The term asked about.
        term: Term,
        /// True for yes.
        granted: bool,
        /// The sender's own term.
        current: Term,
        /// True when the sender has heard no leader since it started, and holds
        /// nothing against the vote but its own caution.
        leaderless: bool,
    },
    /// Vote for me.
    Vote {
        /// The term.
        term: Term,
        /// The sender's last entry.
        last: Position,
        /// Why loyalty to a leader need not be waited out.
        leave: ElectionCause,
    },
    /// Answer to [`Body::Vote`].
    Voted {
        /// The sender's term.
        term: Term,
        /// True for yes.
        granted: bool,
    },
    /// Entries from the leader; none in a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before the first one.
        prev: Position,
        /// The entries.
        entries: Vec<LogEntry>,
        /// Up to where the log is committed.
        commit: Index,
        /// The leader's clock, to be echoed.
        asked: Millis,
    },
    /// Answer to [`Body::Append`] and [`Body::Install`].
    Appended {
        /// The sender's term.
        term: Term,
        /// False when the entry before the first one is not the sender's.
        accepted: bool,
        /// Up to where the sender's durable log is the leader's; after a refusal,
        /// where to try next.
        matched: Index,
        /// The leader's clock as it came.
        asked: Millis,
    },
    /// A snapshot from the leader.
    Install {
        /// The leader's term.
        term: Term,
        /// The state.
        snapshot: Snapshot,
        /// The leader's clock, to be echoed.
        asked: Millis,
    },
    /// Start an election now: the leader stops.
    Handover {
        /// The leader's term.
        term: Term,
    },
    /// An empty replica introduces itself, or a peer answers it.
    Hello {
        /// True when the sender's log is empty.
        empty: bool,
        /// The receiver's disk, as far as the sender knows it.
        echo: Option<DiskId>,
    },
    /// The first entry of a new group's log.
    Found {
        /// The first voters.
        voters: Vec<Voter>,
    },
}
