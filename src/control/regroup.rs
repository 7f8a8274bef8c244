//! Making one replica the only voter of its group, after a majority of the disks was lost.

use super::log::{LogEntry, Payload, Position, Record, ReplicaId, Term, Voter};
use super::raft::{Durable, Raft, RaftTiming};
use crate::core::clock::Millis;

/// What makes a replica the only voter of its group.
#[derive(Debug, Clone)]
pub struct Regrouping {
    /// The replica with its disk.
    pub survivor: Voter,
    /// The voters that its log names.
    pub former_voters: Vec<Voter>,
    /// Position of its last entry.
    pub last: Position,
    /// Records to write to its log.
    pub records: Vec<Record>,
}

/// Returns the records that make the stopped replica `id` the only voter of its group; `None` when
/// its log is empty. Everything in its log then counts as committed. The caller must make sure that
/// the other voters never run again with their disks.
#[must_use]
pub fn regroup(id: ReplicaId, durable: Durable) -> Option<Regrouping> {
    // No timer runs: the replica only reads the records.
    let timing = RaftTiming {
        election: Millis(0),
        heartbeat: Millis(0),
        margin: Millis(0),
    };
    let raft = Raft::new(id, Vec::new(), timing, durable, Millis(0), 0);
    let last = raft.log.last();
    let former_voters = raft.log.voters().0.to_vec();
    if former_voters.is_empty() {
        return None;
    }
    let survivor = Voter {
        id,
        disk: raft.disk,
    };
    let term = Term(raft.term.0 + 1);
    let entry = LogEntry {
        position: Position {
            term,
            index: last.index.next(),
        },
        payload: Payload::Voters(vec![survivor]),
    };
    let records = vec![Record::Vote(term, None), Record::Entries(vec![entry])];
    Some(Regrouping {
        survivor,
        former_voters,
        last,
        records,
    })
}
