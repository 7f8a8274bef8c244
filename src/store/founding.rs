//! Remembers on disk that an instance may found the group.
//!
//! The settings allow this at the very first start only. An instance that is restarted before the
//! group exists still has to take part in founding it.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::SocketAddrV4;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::control::log::DiskId;

const MARK_FILE: &str = "founder";
const NEW_MARK_FILE: &str = "founder.new";

/// What an instance with an empty log was told at its first start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FounderMark {
    /// Identity of the disk; a replaced disk has another one, and its instance founds nothing.
    pub disk: DiskId,
    /// The instances that found the group. With other seeds a second group might be founded beside
    /// the first.
    pub seeds: Vec<SocketAddrV4>,
}

impl FounderMark {
    /// Returns true if this instance may found the group: `first_start` says so, which is kept in
    /// the data directory from then on, or an earlier start with this disk and these seeds did.
    #[must_use]
    pub fn may_found(&self, data: &Path, first_start: bool) -> bool {
        if first_start {
            if let Err(error) = self.write(data) {
                log::warn!("cannot keep that this instance may found the group: {error}");
            }
            return true;
        }
        let bytes = match fs::read(data.join(MARK_FILE)) {
            Ok(bytes) => bytes,
            Err(error) => {
                if error.kind() != io::ErrorKind::NotFound {
                    log::warn!("cannot read whether this instance may found the group: {error}");
                }
                return false;
            }
        };
        match serde_json::from_slice::<Self>(&bytes) {
            Ok(kept) => kept == *self,
            Err(error) => {
                // A crash interrupted the first start.
                log::warn!("the founder mark cannot be decoded, so none is assumed: {error}");
                false
            }
        }
    }

    fn write(&self, data: &Path) -> io::Result<()> {
        let mut file = File::create(data.join(NEW_MARK_FILE))?;
        file.write_all(&serde_json::to_vec(self)?)?;
        file.sync_all()?;
        fs::rename(data.join(NEW_MARK_FILE), data.join(MARK_FILE))?;
        File::open(data)?.sync_all()
    }
}
