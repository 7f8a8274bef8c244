//! Entries of the replicated log, and the part of it held in memory.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Number of a leader's reign.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// Place of an entry in the log, from 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Index(pub u64);

impl Index {
    /// The place after this one.
    ///
    /// ```
    /// assert_eq!(fulmardrift::Index(1).next(), fulmardrift::Index(2));
    /// ```
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Term and place of an entry; ordered as logs are compared in elections.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term it was proposed in.
    pub term: Term,
    /// Its place.
    pub index: Index,
}

/// A control instance, as numbered in the settings files.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);

/// One life of a replica's disk; a lost or replaced disk gets another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DiskId(pub u64);

/// A replica that votes and counts, with the disk it does so with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// The replica.
    pub id: ReplicaId,
    /// Its disk.
    pub disk: DiskId,
}

/// What an entry of the log says.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader's first entry.
    Noop,
    /// The voters from here on.
    Voters(Vec<Voter>),
    /// An encoded command for the state machine.
    Command(Bytes),
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogEntry {
    /// Where it stands.
    pub position: Position,
    /// What it says.
    pub payload: Payload,
}

/// The state that the log up to a position leads to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry it holds.
    pub position: Position,
    /// The voters at that entry.
    pub voters: Vec<Voter>,
    /// The encoded state machine.
    pub data: Bytes,
}

/// A change of the durable state, in the order in which it must be written.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The identity of the disk; first in every file.
    Disk(DiskId),
    /// The term, and whom the replica voted for in it.
    Vote(Term, Option<ReplicaId>),
    /// Entries; whatever was at the first one's place or behind it is void.
    Entries(Vec<LogEntry>),
    /// A snapshot in place of all entries up to its position. It opens a new
    /// file, and the records written with it are all that file needs.
    Snapshot(Snapshot),
}

/// The log since the last snapshot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    entries: Vec<LogEntry>,
    // Places of the entries that name voters, rising.
    naming: Vec<Index>,
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
            naming: Vec::new(),
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

    /// The term of the entry at `index`; `None` when it is not known here.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.position.index {
            return Some(self.snapshot.position.term);
        }
        self.get(index).map(|e| e.position.term)
    }

    /// Entries from `index`, at most `count`.
    pub(crate) fn slice(&self, index: Index, count: usize) -> &[LogEntry] {
        let Some(from) = self.offset(index) else {
            return &[];
        };
        let from = from.min(self.entries.len());
        let to = from.saturating_add(count).min(self.entries.len());
        &self.entries[from..to]
    }

    /// Puts entries in, dropping whatever stands at the first one's place or
    /// behind it.
    pub(crate) fn put(&mut self, entries: &[LogEntry]) {
        let Some(first) = entries.first() else {
            return;
        };
        if let Some(at) = self.offset(first.position.index) {
            self.entries.truncate(at);
            self.entries.extend_from_slice(entries);
            self.naming.retain(|index| *index < first.position.index);
            let naming = |e: &&LogEntry| matches!(e.payload, Payload::Voters(_));
            let places = entries.iter().filter(naming).map(|e| e.position.index);
            self.naming.extend(places);
        }
    }

    /// Replaces everything up to the snapshot's position; what follows stays only
    /// when it continues the same history.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let at = snapshot.position;
        let same = self.term(at.index) == Some(at.term);
        if same {
            self.entries.retain(|e| e.position.index > at.index);
            self.naming.retain(|index| *index > at.index);
        } else {
            self.entries.clear();
            self.naming.clear();
        }
        self.snapshot = snapshot;
    }

    /// The voters by the latest entry that names them, and where it stands.
    pub(crate) fn voters(&self) -> (&[Voter], Index) {
        self.named_by(self.naming.len())
    }

    pub(crate) fn voters_at(&self, index: Index) -> Vec<Voter> {
        let upto = self.naming.partition_point(|at| *at <= index);
        self.named_by(upto).0.to_vec()
    }

    /// The voters that the latest of the first `count` naming entries names.
    fn named_by(&self, count: usize) -> (&[Voter], Index) {
        let at = count.checked_sub(1).map(|last| self.naming[last]);
        if let Some(index) = at
            && let Some(entry) = self.get(index)
            && let Payload::Voters(voters) = &entry.payload
        {
            return (voters, index);
        }
        (&self.snapshot.voters, self.snapshot.position.index)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
