//! The write-ahead log of a replica.

use snafu::{ResultExt, Snafu};

use super::frame::{self, FrameError};
use crate::control::log::{DiskId, Record};
use crate::control::raft::Durable;

/// The storage of a log's bytes: a data directory or, in tests, a fake.
pub trait Storage: Send {
    /// Reads all bytes of the current file; empty when there is none.
    ///
    /// # Errors
    ///
    /// The file cannot be read.
    fn read(&mut self) -> std::io::Result<Vec<u8>>;

    /// Makes the current file, its name and the absence of others durable. What an earlier process
    /// wrote and did not sync reads the same as what it synced.
    ///
    /// # Errors
    ///
    /// The file may not be durable.
    fn sync(&mut self) -> std::io::Result<()>;

    /// Truncates the current file to `len` bytes, durably.
    ///
    /// # Errors
    ///
    /// The file cannot be truncated.
    fn truncate(&mut self, len: usize) -> std::io::Result<()>;

    /// Appends to the current file; the bytes are durable when this returns.
    ///
    /// # Errors
    ///
    /// The bytes may or may not be on disk.
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()>;

    /// Atomically and durably replaces the current file by one with this content.
    ///
    /// # Errors
    ///
    /// Either file may be the current one.
    fn replace(&mut self, bytes: &[u8]) -> std::io::Result<()>;
}

/// Why the log cannot be opened or written.
#[derive(Debug, Snafu)]
pub enum WalError {
    /// The storage failed.
    #[snafu(display("cannot {operation} the log: {source}"))]
    Io {
        /// The operation that failed, as a verb.
        operation: &'static str,
        /// The error of the storage.
        source: std::io::Error,
    },
    /// The content is damaged, or a record does not encode.
    #[snafu(display("the log is damaged, replace this replica's disk: {source}"))]
    Damage {
        /// The position and kind of the damage.
        source: FrameError,
    },
    /// The file does not start with a disk identity.
    #[snafu(display("the log does not start with a disk identity"))]
    NoIdentity,
    /// An earlier write failed, and what it left has not been removed.
    #[snafu(display("an earlier write failed"))]
    Failed,
}

/// A write that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailedWrite {
    /// Part of the bytes may stand at the end of the file.
    Append,
    /// Either file may be the current one.
    Replace,
}

/// An open write-ahead log.
#[derive(Debug)]
pub struct Wal<S> {
    storage: S,
    disk: DiskId,
    /// Length in bytes of what was written with success.
    valid_len: usize,
    failed: Option<FailedWrite>,
}

impl<S: Storage> Wal<S> {
    /// Opens the log, or creates an empty one with the disk identity `new_disk`. An incomplete
    /// record at the end is cut off.
    ///
    /// # Errors
    ///
    /// The storage fails, or the log is damaged or has no disk identity.
    pub fn open(mut storage: S, new_disk: DiskId) -> Result<(Self, Durable), WalError> {
        storage.sync().context(IoSnafu { operation: "sync" })?;
        let bytes = storage.read().context(IoSnafu { operation: "read" })?;
        let frames = frame::decode_records(&bytes).context(DamageSnafu)?;
        if frames.valid_len < bytes.len() {
            storage.truncate(frames.valid_len).context(IoSnafu {
                operation: "truncate",
            })?;
        }
        let mut valid_len = frames.valid_len;
        let mut records = frames.records;
        let disk = match records.first() {
            None => {
                let buf = encode_write(&[Record::Disk(new_disk)])?;
                storage.replace(&buf).context(IoSnafu {
                    operation: "create",
                })?;
                records.push(Record::Disk(new_disk));
                valid_len = buf.len();
                new_disk
            }
            Some(Record::Disk(disk)) => *disk,
            Some(_) => return NoIdentitySnafu.fail(),
        };
        let wal = Self {
            storage,
            disk,
            valid_len,
            failed: None,
        };
        Ok((wal, Durable { disk, records }))
    }

    /// Makes records durable, in order. If they contain a snapshot, a new file replaces the current
    /// one and holds the records from the last snapshot on. After an error of the storage, writes
    /// fail until [`Wal::recover`] has succeeded, because the content of the disk is unknown.
    ///
    /// # Errors
    ///
    /// The storage fails, a record does not encode, or an earlier write failed.
    pub fn write(&mut self, records: &[Record]) -> Result<(), WalError> {
        let is_snapshot = |r: &Record| matches!(r, Record::Snapshot(_));
        match (records.iter().rposition(is_snapshot), self.failed) {
            (None, None) => self.append(&encode_write(records)?),
            // Whichever file is the current one, it is replaced.
            (Some(at), None | Some(FailedWrite::Replace)) => {
                let mut buf = encode_write(&[Record::Disk(self.disk)])?;
                buf.extend(encode_write(&records[at..])?);
                self.replace(&buf)
            }
            (_, Some(_)) => FailedSnafu.fail(),
        }
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), WalError> {
        // Reset below, once the write has succeeded.
        self.failed = Some(FailedWrite::Append);
        self.storage.append(bytes).context(IoSnafu {
            operation: "append to",
        })?;
        self.failed = None;
        self.valid_len += bytes.len();
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> Result<(), WalError> {
        self.failed = Some(FailedWrite::Replace);
        self.storage.replace(bytes).context(IoSnafu {
            operation: "replace",
        })?;
        self.failed = None;
        self.valid_len = bytes.len();
        Ok(())
    }

    /// Length of the file in bytes, without what a failed write may have left.
    #[must_use]
    pub fn file_len(&self) -> usize {
        self.valid_len
    }

    /// Removes what a failed write may have left, so that its records can be written again. A
    /// snapshot whose write failed must be a part of the next write.
    ///
    /// # Errors
    ///
    /// The storage fails.
    pub fn recover(&mut self) -> Result<(), WalError> {
        if self.failed == Some(FailedWrite::Append) {
            self.storage.truncate(self.valid_len).context(IoSnafu {
                operation: "truncate",
            })?;
            self.failed = None;
        }
        Ok(())
    }
}

fn encode_write(records: &[Record]) -> Result<Vec<u8>, WalError> {
    frame::encode_write(records).context(DamageSnafu)
}
