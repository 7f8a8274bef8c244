//! Opens the log of a control instance at its start.

use std::io;
use std::path::Path;
use std::time::Duration;

use tokio::time::sleep;

use crate::control::log::DiskId;
use crate::control::raft::Durable;
use crate::events;
use crate::store::founding::FounderMark;
use crate::store::frame::FrameError;
use crate::store::log_directory::LogDirectory;
use crate::store::wal::{Wal, WalError};

/// Time between two tries to open a log on a full disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The log's files may take three eighths of the disk.
const DISK_SHARE: (u64, u64) = (3, 8);
/// Assumed size of a disk whose size cannot be found, in bytes.
const DEFAULT_DISK_SIZE: u64 = 128_000_000;

/// An opened log.
pub(crate) struct OpenLog {
    pub(crate) wal: Wal<LogDirectory>,
    pub(crate) durable: Durable,
}

/// What a new log's identity depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NewDisk {
    /// An identity that no other disk has.
    pub(crate) random: DiskId,
    /// The identity of the first disk, if this instance is a founder.
    pub(crate) first: Option<DiskId>,
    /// True at the very first start.
    pub(crate) is_first_start: bool,
}

/// Opens the log in the data directory. Waits while the disk is full. A damaged log is set aside:
/// its disk counts as lost, and the empty log gets a random identity, so that no vote rests on what
/// the damaged one held. A log of a version that this one does not know is left alone.
pub(crate) async fn open_log(data: &Path, new_disk: NewDisk) -> Result<OpenLog, WalError> {
    let mut is_first_try = true;
    loop {
        match try_open(data, new_disk) {
            Err(error) if is_full(&error) => {
                if is_first_try {
                    events::LOG_FAILED.log(format_args!("{error}"));
                }
                is_first_try = false;
                sleep(RETRY_INTERVAL).await;
            }
            other => return other,
        }
    }
}

fn try_open(data: &Path, new_disk: NewDisk) -> Result<OpenLog, WalError> {
    let directory = open_directory(data)?;
    let identity = choose_identity(data, &directory, new_disk)?;
    let (wal, durable) = match Wal::open(directory, identity) {
        Err(
            error @ WalError::Damage {
                source: FrameError::Damaged { .. },
            },
        ) => {
            // First, as a crash may come in between: the identity of a lost log is not used again.
            take_back_mark(data)?;
            let directory = open_directory(data)?;
            directory
                .set_aside()
                .map_err(|source| io_error("set aside", source))?;
            events::LOG_DAMAGED.log(format_args!("{error}"));
            Wal::open(directory, new_disk.random)?
        }
        other => other?,
    };
    take_back_mark(data)?;
    Ok(OpenLog { wal, durable })
}

/// The identity for a log that does not exist yet.
fn choose_identity(
    data: &Path,
    directory: &LogDirectory,
    new_disk: NewDisk,
) -> Result<DiskId, WalError> {
    let Some(disk) = new_disk.first.filter(|_| !directory.has_damaged()) else {
        return Ok(new_disk.random);
    };
    let mark = FounderMark { disk };
    let is_unused = mark
        .is_unused(data, new_disk.is_first_start)
        .map_err(|source| io_error("read or write the mark of", source))?;
    Ok(if is_unused { disk } else { new_disk.random })
}

fn take_back_mark(data: &Path) -> Result<(), WalError> {
    FounderMark::take_back(data).map_err(|source| io_error("take back the mark of", source))
}

fn open_directory(data: &Path) -> Result<LogDirectory, WalError> {
    LogDirectory::open(data).map_err(|source| io_error("open the directory of", source))
}

fn io_error(operation: &'static str, source: io::Error) -> WalError {
    WalError::Io { operation, source }
}

fn is_full(error: &WalError) -> bool {
    let WalError::Io { source, .. } = error else {
        return false;
    };
    matches!(
        source.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge
    )
}

/// Largest size of the log's files together, in bytes: a part of the disk's size.
pub(crate) fn file_bound(disk: Option<u64>, data: &Path) -> usize {
    let size = disk.or_else(|| match rustix::fs::statvfs(data) {
        Ok(found) => Some(found.f_blocks.saturating_mul(found.f_frsize)),
        Err(error) => {
            log::warn!("cannot read the size of the disk: {error}");
            None
        }
    });
    let (part, whole) = DISK_SHARE;
    let bound = size.unwrap_or(DEFAULT_DISK_SIZE) / whole * part;
    usize::try_from(bound).unwrap_or(usize::MAX)
}
