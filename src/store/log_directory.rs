//! The log file in a data directory.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use super::wal::Storage;

const LOG_FILE: &str = "log";
const NEW_LOG_FILE: &str = "log.new";

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
    /// The directory cannot be created.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self {
            path: path.to_owned(),
            file: None,
        })
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
        match fs::read(self.log_path()) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            other => other,
        }
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
        let new_path = self.path.join(NEW_LOG_FILE);
        let mut file = File::create(&new_path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new_path, self.log_path())?;
        self.sync_directory()?;
        self.file = None;
        Ok(())
    }
}
