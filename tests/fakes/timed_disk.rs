//! A disk with a rate, a sync time and a size, in virtual time.

#![allow(dead_code)]

use fulmardrift::{DiskId, Durable, Millis, RaftInput, Record};

use super::session::encoded_len;

/// Duration of a sync.
const SYNC: Millis = Millis(9);
/// Bytes written in a millisecond: 120 MB/s.
const DISK_RATE: usize = 120_000;
/// Size of a disk in bytes.
pub const DISK_SIZE: usize = 128_000_000;
/// Bytes of a record's length and checksum in the file.
const RECORD_HEADER: usize = 8;
/// Time between two tries of a failed write.
const RETRY_INTERVAL: Millis = Millis(100);

/// When a file that a snapshot replaces is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OldFile {
    /// Once the new one is synced, as in `src/store`.
    KeptUntilSynced,
    /// Before that, for a checker to find.
    DroppedFirst,
}

#[derive(Debug, Default)]
struct Write {
    number: u64,
    records: Vec<Record>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DiskState {
    Idle,
    Writing { done_at: Millis },
    Failed { retry_at: Millis },
}

/// A disk with the log file of one replica.
#[derive(Debug)]
pub struct TimedDisk {
    pub id: DiskId,
    /// Records in the file.
    records: Vec<Record>,
    /// Size of the file in bytes, and the largest size of all files that were there at a time.
    pub file_len: usize,
    pub most_used: usize,
    /// Bytes that other files take.
    pub taken: usize,
    old_file: OldFile,
    state: DiskState,
    current: Write,
    waiting: Write,
}

impl TimedDisk {
    pub fn new(id: DiskId, old_file: OldFile) -> Self {
        let identity = Record::Disk(id);
        Self {
            id,
            file_len: record_len(&identity),
            records: vec![identity],
            most_used: 0,
            taken: 0,
            old_file,
            state: DiskState::Idle,
            current: Write::default(),
            waiting: Write::default(),
        }
    }

    pub fn durable(&self) -> Durable {
        Durable {
            disk: self.id,
            records: self.records.clone(),
        }
    }

    /// Loses everything that is not synced.
    pub fn crash(&mut self) {
        self.state = DiskState::Idle;
        self.current = Write::default();
        self.waiting = Write::default();
    }

    /// Loses power: of the write that is not synced, so many percent of the records stay. A snapshot stays
    /// as a whole or not at all.
    pub fn lose_power(&mut self, percent: usize) {
        let is_writing = matches!(self.state, DiskState::Writing { .. });
        let count = self.current.records.len();
        let kept = (count * percent + 50) / 100;
        if is_writing && (kept == count || self.snapshot_at().is_none()) {
            self.current.records.truncate(kept);
            self.finish();
        }
        self.crash();
    }

    pub fn write(&mut self, number: u64, records: Vec<Record>) {
        self.waiting.number = number;
        self.waiting.records.extend(records);
    }

    /// Goes on with the writes; returns what the replica learns.
    pub fn run(&mut self, now: Millis) -> Option<RaftInput> {
        match self.state {
            DiskState::Writing { done_at } if now >= done_at => {
                self.finish();
                Some(RaftInput::Synced(self.current.number))
            }
            DiskState::Idle if !self.waiting.records.is_empty() => {
                self.current = std::mem::take(&mut self.waiting);
                self.begin(now)
            }
            DiskState::Failed { retry_at } if now >= retry_at => {
                let waiting = std::mem::take(&mut self.waiting);
                if !waiting.records.is_empty() {
                    self.current.number = waiting.number;
                    self.current.records.extend(waiting.records);
                }
                // The replica has learnt of the failure already.
                self.begin(now);
                None
            }
            DiskState::Idle | DiskState::Writing { .. } | DiskState::Failed { .. } => None,
        }
    }

    pub fn writes_snapshot(&self) -> bool {
        let writes = matches!(self.state, DiskState::Writing { .. });
        writes && self.snapshot_at().is_some()
    }

    fn begin(&mut self, now: Millis) -> Option<RaftInput> {
        let len = self.new_len();
        if self.taken + self.file_len + len > DISK_SIZE {
            let retry_at = now + RETRY_INTERVAL;
            self.state = DiskState::Failed { retry_at };
            return Some(RaftInput::DiskFailed);
        }
        self.most_used = self.most_used.max(self.file_len + len);
        if self.old_file == OldFile::DroppedFirst && self.snapshot_at().is_some() {
            self.records.truncate(1);
        }
        let time = Millis((len / DISK_RATE) as u64);
        let done_at = now + SYNC + time;
        self.state = DiskState::Writing { done_at };
        None
    }

    /// The last snapshot among the current records, which starts a new file.
    fn snapshot_at(&self) -> Option<usize> {
        let is_snapshot = |r: &Record| matches!(r, Record::Snapshot(_));
        self.current.records.iter().rposition(is_snapshot)
    }

    /// Bytes that the current write adds to the files.
    fn new_len(&self) -> usize {
        let from = self.snapshot_at().unwrap_or(0);
        self.current.records[from..].iter().map(record_len).sum()
    }

    fn finish(&mut self) {
        let len = self.new_len();
        if let Some(at) = self.snapshot_at() {
            self.records = vec![Record::Disk(self.id)];
            self.file_len = record_len(&self.records[0]);
            self.current.records.drain(..at);
        }
        self.records.append(&mut self.current.records);
        self.file_len += len;
        self.state = DiskState::Idle;
    }
}

fn record_len(record: &Record) -> usize {
    RECORD_HEADER + encoded_len(record)
}
