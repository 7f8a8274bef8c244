//! The log's file in a data folder.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use super::wal::Storage;

const LOG: &str = "log";
const NEW_LOG: &str = "log.new";

/// A data folder.
#[derive(Debug)]
pub struct LogDirectory {
    path: PathBuf,
    file: Option<File>,
}

impl LogDirectory {
    /// Opens the folder, and makes it when it is not there.
    ///
    /// # Errors
    ///
    /// It cannot be made.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self {
            path: path.to_owned(),
            file: None,
        })
    }

    fn log(&self) -> PathBuf {
        self.path.join(LOG)
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl Storage for LogDirectory {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        match fs::read(self.log()) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            other => other,
        }
    }

    fn truncate(&mut self, len: usize) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(self.log())?;
        file.set_len(len as u64)?;
        file.sync_all()
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.file.is_none() {
            self.file = Some(OpenOptions::new().append(true).open(self.log())?);
        }
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let new = self.path.join(NEW_LOG);
        let mut file = File::create(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new, self.log())?;
        self.sync_folder()?;
        self.file = None;
        Ok(())
    }
}
