//! A process of the program under test.

use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// Environment variable with the path of the settings file.
const FILE_VARIABLE: &str = "FULMARDRIFT_NODE_FILE";
/// Name of the log in a process's directory.
pub(crate) const LOG: &str = "log";
/// Name of the settings file in a process's directory.
pub(crate) const SETTINGS: &str = "settings.toml";

/// A process while it runs, or the place of one that does not.
#[derive(Debug, Default)]
pub(crate) struct Process {
    child: Option<Child>,
    frozen: bool,
}

impl Process {
    /// Writes the settings into its directory and starts it.
    pub(crate) fn start(&mut self, program: &Path, home: &Path, settings: &str) -> io::Result<()> {
        fs::create_dir_all(home)?;
        let file = home.join(SETTINGS);
        fs::write(&file, settings)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(home.join(LOG))?;
        let child = Command::new(program)
            .env_clear()
            .env(FILE_VARIABLE, &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        self.frozen = false;
        Ok(())
    }

    /// True while there is a process, frozen or not.
    pub(crate) fn exists(&self) -> bool {
        self.child.is_some()
    }

    /// True while it runs and is not frozen.
    pub(crate) fn is_up(&self) -> bool {
        self.child.is_some() && !self.frozen
    }

    /// Sends SIGKILL and does not wait.
    pub(crate) fn start_kill(&mut self) -> io::Result<()> {
        self.child.as_mut().map_or(Ok(()), Child::start_kill)
    }

    /// Sends SIGKILL and waits for the end.
    pub(crate) async fn kill(&mut self) -> io::Result<()> {
        self.frozen = false;
        match self.child.take() {
            Some(mut child) => child.kill().await,
            None => Ok(()),
        }
    }

    /// Sends SIGTERM, and SIGKILL if it is still there after the grace period.
    pub(crate) async fn stop(&mut self, grace: Duration) -> io::Result<()> {
        self.signal(Signal::TERM)?;
        if let Some(child) = &mut self.child
            && timeout(grace, child.wait()).await.is_err()
        {
            child.kill().await?;
        }
        self.child = None;
        Ok(())
    }

    pub(crate) fn freeze(&mut self, frozen: bool) -> io::Result<()> {
        self.frozen = frozen;
        self.signal(if frozen { Signal::STOP } else { Signal::CONT })
    }

    /// How it ended, if it has ended by itself since the last look.
    pub(crate) fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = self.child.as_mut().map(Child::try_wait).transpose()?;
        let status = status.flatten();
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    pub(crate) fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = self.child.as_ref().and_then(Child::id);
        let id = id.and_then(|id| Pid::from_raw(id.cast_signed()));
        match id {
            Some(id) => Ok(kill_process(id, signal)?),
            None => Ok(()),
        }
    }
}
