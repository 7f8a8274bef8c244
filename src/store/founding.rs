//! Remembers on disk that the first log of an instance has not been used yet.
//!
//! The identity of a founder's first disk must not be used by a second disk, nor by a second log on
//! the same disk. The settings allow it at the very first start only, and an instance may be killed
//! before its log exists. So a mark is written before the log, and is durably taken back after the
//! log exists and before anything is done with the identity.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::control::log::DiskId;

/// Allows a log with the identity that it contains.
const MARK_FILE: &str = "founder";
const NEW_MARK_FILE: &str = "founder.new";
/// The mark once such a log may exist.
const USED_MARK_FILE: &str = "founder.used";

/// Allows the first log in a data directory to have an identity that can be computed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FounderMark {
    /// The identity, which depends on the instances that found the group.
    pub disk: DiskId,
}

impl FounderMark {
    /// Returns true if a new log in this directory may have the identity: no log with an identity of
    /// this kind has been here, and `first_start` says so, which is kept in the directory from then
    /// on, or an earlier start did.
    ///
    /// # Errors
    ///
    /// The mark cannot be read or written.
    pub fn is_unused(&self, data: &Path, first_start: bool) -> io::Result<bool> {
        if data.join(USED_MARK_FILE).try_exists()? {
            return Ok(false);
        }
        match fs::read(data.join(MARK_FILE)) {
            Ok(bytes) => Ok(self.is_in(&bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                if first_start {
                    self.write(data)?;
                }
                Ok(first_start)
            }
            Err(error) => Err(error),
        }
    }

    fn is_in(&self, bytes: &[u8]) -> bool {
        match serde_json::from_slice::<Self>(bytes) {
            Ok(kept) => kept == *self,
            Err(error) => {
                // A power loss interrupted the first start.
                log::warn!("the founder mark cannot be decoded, so none is assumed: {error}");
                false
            }
        }
    }

    /// The mark gets its name before it is synced, as the process may be killed meanwhile.
    fn write(&self, data: &Path) -> io::Result<()> {
        let mut file = File::create(data.join(NEW_MARK_FILE))?;
        file.write_all(&serde_json::to_vec(self)?)?;
        fs::rename(data.join(NEW_MARK_FILE), data.join(MARK_FILE))?;
        file.sync_all()?;
        File::open(data)?.sync_all()
    }

    /// Durably takes back the mark in a directory, if there is one: a log exists, or existed.
    ///
    /// # Errors
    ///
    /// The mark may not be taken back.
    pub fn take_back(data: &Path) -> io::Result<()> {
        match fs::rename(data.join(MARK_FILE), data.join(USED_MARK_FILE)) {
            // An earlier start took it back, but may have been killed before its sync.
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            other => other?,
        }
        File::open(data)?.sync_all()
    }
}
