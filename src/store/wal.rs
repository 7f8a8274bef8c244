//! The write-ahead log of a replica.

use snafu::{ResultExt, Snafu};

use super::frame::{self, FrameError};
use crate::control::log::{DiskId, Record};
use crate::control::raft::Durable;

/// Where the log's bytes are kept. The one real medium is a folder; tests bring
/// their own.
pub trait Storage: Send {
    /// All bytes of the current file; empty when there is none.
    ///
    /// # Errors
    ///
    /// The file cannot be read.
    fn read(&mut self) -> std::io::Result<Vec<u8>>;

    /// Cuts the current file to `len` bytes, durably.
    ///
    /// # Errors
    ///
    /// It cannot be done.
    fn truncate(&mut self, len: usize) -> std::io::Result<()>;

    /// Appends to the current file, durably when it returns.
    ///
    /// # Errors
    ///
    /// The bytes may or may not be on disk.
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()>;

    /// Replaces the current file by another with this content, durably and at
    /// once.
    ///
    /// # Errors
    ///
    /// The former file may still be the current one.
    fn replace(&mut self, bytes: &[u8]) -> std::io::Result<()>;
}

/// What can go wrong with the log.
#[derive(Debug, Snafu)]
pub enum WalError {
    /// The medium failed.
    #[snafu(display("cannot {doing} the log: {source}"))]
    Io {
        /// What was being done.
        doing: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// The content is damaged.
    #[snafu(display("the log is damaged, replace this replica's disk: {source}"))]
    Damage {
        /// Where and how.
        source: FrameError,
    },
    /// The file does not start with a disk's identity.
    #[snafu(display("the log does not start with a disk identity"))]
    NoIdentity,
    /// An earlier write failed; what is on disk is not known.
    #[snafu(display("an earlier write failed, restart the instance"))]
    Broken,
}

/// An open log.
#[derive(Debug)]
pub struct Wal<M> {
    medium: M,
    disk: DiskId,
    broken: bool,
}

impl<M: Storage> Wal<M> {
    /// Opens the log, or starts an empty one with the identity `fresh`.
    ///
    /// # Errors
    ///
    /// The medium fails, or its content is damaged.
    pub fn open(mut medium: M, fresh: DiskId) -> Result<(Self, Durable), WalError> {
        let bytes = medium.read().context(IoSnafu { doing: "read" })?;
        let frames = frame::decode_records(&bytes).context(DamageSnafu)?;
        if frames.valid_len < bytes.len() {
            medium
                .truncate(frames.valid_len)
                .context(IoSnafu { doing: "truncate" })?;
        }
        let mut records = frames.records;
        let disk = match records.first() {
            None => {
                let mut buf = Vec::new();
                frame::encode_record(&Record::Disk(fresh), &mut buf).context(DamageSnafu)?;
                medium.replace(&buf).context(IoSnafu { doing: "create" })?;
                records.push(Record::Disk(fresh));
                fresh
            }
            Some(Record::Disk(disk)) => *disk,
            Some(_) => return NoIdentitySnafu.fail(),
        };
        let wal = Self {
            medium,
            disk,
            broken: false,
        };
        Ok((wal, Durable { disk, records }))
    }

    /// Makes records durable, in order. After an error nothing more is taken: the
    /// caller cannot know what is on disk.
    ///
    /// # Errors
    ///
    /// The medium fails, or failed before.
    pub fn write(&mut self, records: &[Record]) -> Result<(), WalError> {
        if self.broken {
            return BrokenSnafu.fail();
        }
        // Until the write is known to be whole.
        self.broken = true;
        let is_snapshot = |r: &Record| matches!(r, Record::Snapshot(_));
        match records.iter().rposition(is_snapshot) {
            None => {
                let buf = encode_all(records)?;
                self.medium
                    .append(&buf)
                    .context(IoSnafu { doing: "append to" })?;
            }
            Some(at) => {
                let mut buf = encode_all(&[Record::Disk(self.disk)])?;
                buf.extend(encode_all(&records[at..])?);
                self.medium
                    .replace(&buf)
                    .context(IoSnafu { doing: "replace" })?;
            }
        }
        self.broken = false;
        Ok(())
    }
}

fn encode_all(records: &[Record]) -> Result<Vec<u8>, WalError> {
    let mut buf = Vec::new();
    for record in records {
        frame::encode_record(record, &mut buf).context(DamageSnafu)?;
    }
    Ok(buf)
}
