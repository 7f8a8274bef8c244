//! The log file in a data directory.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use super::wal::Storage;

const LOG_FILE: &str = "log";
const NEW_LOG_FILE: &str = "log.new";
/// A damaged log, kept for operators.
const DAMAGED_FILE: &str = "log.damaged";
/// A longer file is not read into memory, in bytes.
const MAX_FILE_LEN: u64 = 1 << 30;

/// A data directory that holds the log file.
#[derive(Debug)]
pub struct LogDirectory {
    path: PathBuf,
    file: Option<File>,
}

impl LogDirectory {
    /// Opens the directory, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// The directory cannot be created, or a file that a crash left cannot be removed.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let directory = Self {
            path: path.to_owned(),
            file: None,
        };
        directory.remove_new()?;
        Ok(directory)
    }

    /// Removes a new file that was not completed, as it takes room.
    fn remove_new(&self) -> io::Result<()> {
        match fs::remove_file(self.path.join(NEW_LOG_FILE)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Renames a damaged log, in place of an earlier one, so that the directory holds no log.
    pub(crate) fn set_aside(&self) -> io::Result<()> {
        fs::rename(self.log_path(), self.path.join(DAMAGED_FILE))?;
        self.sync_directory()
    }

    /// True if a damaged log is kept here.
    pub(crate) fn has_damaged(&self) -> bool {
        self.path.join(DAMAGED_FILE).exists()
    }

    fn write_new(&self, bytes: &[u8]) -> io::Result<()> {
        let mut file = File::create(self.path.join(NEW_LOG_FILE))?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn log_path(&self) -> PathBuf {
        self.path.join(LOG_FILE)
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl Storage for LogDirectory {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let path = self.log_path();
        let len = fs::metadata(&path).map_or(0, |found| found.len());
        if len > MAX_FILE_LEN {
            let text = format!("the file has {len} bytes, more than {MAX_FILE_LEN}");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        match fs::read(path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            other => other,
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        match File::open(self.log_path()) {
            Ok(file) => file.sync_all()?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(error),
        }
        self.sync_directory()
    }

    fn truncate(&mut self, len: usize) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(self.log_path())?;
        file.set_len(len as u64)?;
        file.sync_all()
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.file.is_none() {
            self.file = Some(OpenOptions::new().append(true).open(self.log_path())?);
        }
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.write_new(bytes) {
            if let Err(left) = self.remove_new() {
                log::warn!("cannot remove an incomplete file: {left}");
            }
            return Err(error);
        }
        fs::rename(self.path.join(NEW_LOG_FILE), self.log_path())?;
        self.sync_directory()?;
        self.file = None;
        Ok(())
    }
}
