//! Replacing the log by a snapshot.

use bytes::Bytes;

use super::log::{Index, Position, Record, Snapshot};
use super::raft::{Raft, RaftOutput};

/// Size of the log's entries at which a snapshot replaces them, in bytes.
const SNAPSHOT_BYTES: usize = 4 << 20;
/// The entries must also be this many times as large as the last snapshot, which bounds the share of
/// the writes that are snapshots.
const SNAPSHOT_FACTOR: usize = 2;

impl Raft {
    /// True once the committed entries since the snapshot are `max_entries`, or take more bytes than
    /// a log may: then a snapshot should replace them. Entries that are not committed yet do not
    /// count, as a snapshot cannot replace them.
    pub(crate) fn wants_snapshot(&self, max_entries: usize) -> bool {
        let from = self.commit_index.next();
        let entries = self.log.len() - self.log.slice(from, usize::MAX).len();
        let max_bytes = SNAPSHOT_BYTES.max(SNAPSHOT_FACTOR * self.log.snapshot.data.len());
        entries >= max_entries || self.covered_bytes() >= max_bytes
    }

    /// Size of the entries that a snapshot taken now would replace, in bytes.
    pub(crate) fn covered_bytes(&self) -> usize {
        self.log.bytes() - self.log.bytes_from(self.commit_index.next())
    }

    /// Replaces the log up to the applied entry `index` by a snapshot with the encoded state
    /// `data`, unless a snapshot already covers `index`.
    pub fn compact(&mut self, index: Index, data: Bytes, out: &mut Vec<RaftOutput>) {
        let index = index.min(self.commit_index);
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
        let first = self.first_kept(index, snapshot.data.len());
        self.log.compact(snapshot.clone(), first);
        self.write_snapshot(snapshot, out);
    }

    /// Writes a snapshot together with all other records that a new log file needs.
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
