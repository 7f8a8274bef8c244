//! Entries of the replicated log, and the part of the log held in memory.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::events;

/// Election term; each term has at most one leader.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// Index of an entry in the log, counted from 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Index(pub u64);

impl Index {
    /// The index after this one.
    ///
    /// ```
    /// assert_eq!(fulmardrift::Index(1).next(), fulmardrift::Index(2));
    /// ```
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Term and index of an entry, ordered as elections compare logs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term in which the entry was proposed.
    pub term: Term,
    /// The index of the entry.
    pub index: Index,
}

/// Number of a control instance, as in the configuration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);

/// Identity of a replica's disk; a lost or replaced disk gets a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DiskId(pub u64);

/// A voting replica together with its disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// The replica.
    pub id: ReplicaId,
    /// Its disk.
    pub disk: DiskId,
}

impl std::fmt::Display for Voter {
    /// Writes the id and the disk, as in `3@9f02`.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{:x}", self.id.0, self.disk.0)
    }
}

/// The voters as a log line names them.
pub(crate) fn list_voters(voters: &[Voter]) -> String {
    let names: Vec<String> = voters.iter().map(Voter::to_string).collect();
    names.join(",")
}

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// No operation: the first entry of a new leader.
    Noop,
    /// The voters from this entry on.
    Voters(Vec<Voter>),
    /// An encoded command for the state machine.
    Command(Bytes),
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term and index.
    pub position: Position,
    /// The content.
    pub payload: Payload,
}

/// Bytes of an entry's position and kind, rounded up.
const ENTRY_HEADER_LEN: usize = 16;

impl LogEntry {
    /// About the number of bytes that this entry takes in a file or a message.
    pub(crate) fn size(&self) -> usize {
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Voters(voters) => std::mem::size_of_val(voters.as_slice()),
            Payload::Command(command) => command.len(),
        };
        ENTRY_HEADER_LEN + payload
    }
}

/// The state that results from the log up to a position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that the snapshot covers.
    pub position: Position,
    /// The voters at that entry.
    pub voters: Vec<Voter>,
    /// The encoded state machine.
    pub data: Bytes,
}

/// A change of the durable state. Records must be written in the order in which they are issued.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The identity of the disk; the first record of every file.
    Disk(DiskId),
    /// The current term, and the replica voted for in it.
    Vote(Term, Option<ReplicaId>),
    /// Entries, which replace all earlier ones from the index of the first.
    Entries(Vec<LogEntry>),
    /// A snapshot that replaces all entries up to its position. It starts a new file, and the
    /// records written with it are all that this file needs.
    Snapshot(Snapshot),
}

/// The log since the last snapshot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    entries: Vec<LogEntry>,
    // Entries up to the snapshot that followers still need, and the position before the first.
    kept: Vec<LogEntry>,
    kept_after: Position,
    // Size of the entries since the snapshot, in bytes.
    bytes: usize,
    // Indexes of the entries that name voters, in ascending order.
    voter_entries: Vec<Index>,
}

impl Default for Log {
    fn default() -> Self {
        let snapshot = Snapshot {
            position: Position::default(),
            voters: Vec::new(),
            data: Bytes::new(),
        };
        Self {
            snapshot,
            entries: Vec::new(),
            kept: Vec::new(),
            kept_after: Position::default(),
            bytes: 0,
            voter_entries: Vec::new(),
        }
    }
}

impl Log {
    pub(crate) fn last(&self) -> Position {
        self.entries
            .last()
            .map_or(self.snapshot.position, |e| e.position)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.last() == Position::default()
    }

    fn offset(&self, index: Index) -> Option<usize> {
        let base = self.snapshot.position.index.0;
        let ahead = index.0.checked_sub(base + 1)?;
        usize::try_from(ahead).ok()
    }

    pub(crate) fn get(&self, index: Index) -> Option<&LogEntry> {
        self.entries.get(self.offset(index)?)
    }

    /// The term of the entry at `index`; `None` when this log does not hold it.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.position.index {
            return Some(self.snapshot.position.term);
        }
        self.get(index).map(|e| e.position.term)
    }

    /// At most `count` entries from `index` on.
    pub(crate) fn slice(&self, index: Index, count: usize) -> &[LogEntry] {
        let Some(from) = self.offset(index) else {
            return &[];
        };
        let from = from.min(self.entries.len());
        let to = from.saturating_add(count).min(self.entries.len());
        &self.entries[from..to]
    }

    /// The entries from `index` on, with those kept for followers.
    fn entries_from(&self, index: Index) -> impl Iterator<Item = &LogEntry> {
        let first = self.kept.partition_point(|e| e.position.index < index);
        let after = self.snapshot.position.index.next();
        self.kept[first..]
            .iter()
            .chain(self.slice(index.max(after), usize::MAX))
    }

    /// The entries from `index` on that have at most `bytes` bytes together, and at least one if
    /// there is one.
    pub(crate) fn slice_within(&self, index: Index, bytes: usize) -> Vec<LogEntry> {
        let mut total = 0;
        let mut entries = Vec::new();
        for entry in self.entries_from(index) {
            total += entry.size();
            if total > bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Size of the entries from `first` to `last`, in bytes.
    pub(crate) fn bytes_between(&self, first: Index, last: Index) -> usize {
        let entries = self.entries_from(first);
        let entries = entries.take_while(|e| e.position.index <= last);
        entries.map(LogEntry::size).sum()
    }

    /// The term of the entry at `index`, if this log or the entries kept for followers go on from it.
    pub(crate) fn kept_term(&self, index: Index) -> Option<Term> {
        if self.kept.is_empty() || index >= self.snapshot.position.index {
            return self.term(index);
        }
        if index == self.kept_after.index {
            return Some(self.kept_after.term);
        }
        let at = self.kept.binary_search_by_key(&index, |e| e.position.index);
        at.ok().map(|at| self.kept[at].position.term)
    }

    /// Drops the entries before `first` that were kept for followers.
    pub(crate) fn keep_from(&mut self, first: Index) {
        let count = self.kept.partition_point(|e| e.position.index < first);
        if let Some(last) = self.kept.drain(..count).next_back() {
            self.kept_after = last.position;
        }
    }

    /// Replaces everything up to the snapshot's position, but keeps the entries from `first` on for
    /// followers. The log holds the entry at that position.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, first: Index) {
        let last = snapshot.position.index;
        let before = Index(first.0.saturating_sub(1));
        let after = self.kept_term(before);
        let entries = self.entries_from(first);
        let kept: Vec<_> = entries
            .take_while(|e| e.position.index <= last)
            .cloned()
            .collect();
        self.install(snapshot);
        if let Some(term) = after {
            self.kept = kept;
            self.kept_after = Position {
                term,
                index: before,
            };
        }
    }

    /// Appends entries after dropping everything from the index of the first one on.
    pub(crate) fn replace_from(&mut self, entries: &[LogEntry]) {
        let Some(first) = entries.first() else {
            return;
        };
        if let Some(at) = self.offset(first.position.index) {
            let dropped = self.entries.drain(at.min(self.entries.len())..);
            self.bytes -= dropped.map(|e| e.size()).sum::<usize>();
            self.entries.extend_from_slice(entries);
            self.bytes += entries.iter().map(LogEntry::size).sum::<usize>();
            self.voter_entries
                .retain(|index| *index < first.position.index);
            let names_voters = |e: &&LogEntry| matches!(e.payload, Payload::Voters(_));
            let indexes = entries
                .iter()
                .filter(names_voters)
                .map(|e| e.position.index);
            self.voter_entries.extend(indexes);
        }
    }

    /// Replaces everything up to the snapshot's position. Later entries stay only if the log holds
    /// the entry at that position with the same term.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let at = snapshot.position;
        let same = self.term(at.index) == Some(at.term);
        if same {
            self.entries.retain(|e| e.position.index > at.index);
            self.voter_entries.retain(|index| *index > at.index);
        } else {
            self.entries.clear();
            self.voter_entries.clear();
        }
        self.bytes = self.entries.iter().map(LogEntry::size).sum();
        self.kept.clear();
        self.snapshot = snapshot;
    }

    /// The voters by the latest entry that names them, and the index of that entry.
    pub(crate) fn voters(&self) -> (&[Voter], Index) {
        self.voters_of_first(self.voter_entries.len())
    }

    pub(crate) fn voters_at(&self, index: Index) -> Vec<Voter> {
        let count = self.voter_entries.partition_point(|at| *at <= index);
        self.voters_of_first(count).0.to_vec()
    }

    /// The voters that the last of the first `count` entries with voters names, and its index; the
    /// snapshot's voters and index when `count` is 0.
    fn voters_of_first(&self, count: usize) -> (&[Voter], Index) {
        let at = count.checked_sub(1).map(|last| self.voter_entries[last]);
        if let Some(index) = at
            && let Some(entry) = self.get(index)
            && let Payload::Voters(voters) = &entry.payload
        {
            return (voters, index);
        }
        (&self.snapshot.voters, self.snapshot.position.index)
    }

    /// Largest number of voters that the snapshot, or an entry up to `last`, names.
    pub(crate) fn most_voters(&self, last: Index) -> usize {
        let entries = self.voter_entries.iter().filter(|index| **index <= last);
        let in_entries = entries.filter_map(|index| match &self.get(*index)?.payload {
            Payload::Voters(voters) => Some(voters.len()),
            Payload::Noop | Payload::Command(_) => None,
        });
        in_entries
            .max()
            .unwrap_or(0)
            .max(self.snapshot.voters.len())
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Size of the entries since the snapshot, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Size of the entries from `index` on, in bytes.
    pub(crate) fn bytes_from(&self, index: Index) -> usize {
        self.entries_from(index).map(LogEntry::size).sum()
    }
}

/// The command of a committed entry; `None` if it holds none. A change of the voters is logged.
pub(crate) fn committed_command(entry: &LogEntry) -> Option<&Bytes> {
    match &entry.payload {
        Payload::Command(command) => Some(command),
        Payload::Voters(voters) => {
            let (index, voters) = (entry.position.index, list_voters(voters));
            events::VOTERS.log(format_args!("index={} voters={voters}", index.0));
            None
        }
        Payload::Noop => None,
    }
}
