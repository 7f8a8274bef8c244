//! A process of the program under test.

use std::fs::{self, File};
use std::io;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::io::Errno;
use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// Environment variable with the path of the settings file.
const FILE_VARIABLE: &str = "FULMARDRIFT_NODE_FILE";
/// Name of the log in a process's directory.
pub(crate) const LOG: &str = "log";
/// Name of the settings file in a process's directory.
const SETTINGS: &str = "settings.toml";

/// A process while it runs, or the place of one that does not.
#[derive(Debug, Default)]
pub(crate) struct Process {
    child: Option<Child>,
    handle: Handle,
}

/// A process that runs, and why it is stopped, if it is.
#[derive(Debug, Default)]
struct Running {
    id: Option<(Pid, OwnedFd)>,
    /// By the schedule of faults.
    frozen: bool,
    /// As its share of processor time is used up.
    held: bool,
}

/// Stops and continues a process, also while its lock is held to wait for its end.
#[derive(Debug, Clone, Default)]
pub(crate) struct Handle(Arc<Mutex<Running>>);

impl Handle {
    fn running(&self) -> MutexGuard<'_, Running> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn id(&self) -> Option<Pid> {
        self.running().id.as_ref().map(|(id, _)| *id)
    }

    /// Stops it for its share, or ends this. A frozen process stays stopped.
    pub(crate) fn hold(&self, held: bool) -> io::Result<()> {
        self.change(|running| running.held = held)
    }

    fn change(&self, change: impl FnOnce(&mut Running)) -> io::Result<()> {
        let mut running = self.running();
        let stopped = running.frozen || running.held;
        change(&mut running);
        match (stopped, running.frozen || running.held) {
            (false, true) => running.signal(Signal::STOP),
            (true, false) => running.signal(Signal::CONT),
            _ => Ok(()),
        }
    }
}

impl Running {
    fn signal(&self, signal: Signal) -> io::Result<()> {
        let sent = self
            .id
            .as_ref()
            .map(|(_, fd)| pidfd_send_signal(fd, signal));
        match sent {
            // Its end is noted elsewhere.
            None | Some(Ok(()) | Err(Errno::SRCH)) => Ok(()),
            Some(Err(error)) => Err(error.into()),
        }
    }
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
        let id = child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        let id = id.map(|id| Ok::<_, Errno>((id, pidfd_open(id, PidfdFlags::empty())?)));
        *self.handle.running() = Running {
            id: id.transpose()?,
            ..Running::default()
        };
        self.child = Some(child);
        Ok(())
    }

    /// True while there is a process, frozen or not.
    pub(crate) fn exists(&self) -> bool {
        self.child.is_some()
    }

    /// True while it runs and is not frozen.
    pub(crate) fn is_up(&self) -> bool {
        self.child.is_some() && !self.handle.running().frozen
    }

    /// Sends SIGKILL and does not wait.
    pub(crate) fn start_kill(&mut self) -> io::Result<()> {
        self.child.as_mut().map_or(Ok(()), Child::start_kill)
    }

    /// Sends SIGKILL and waits for the end.
    pub(crate) async fn kill(&mut self) -> io::Result<()> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        let killed = child.kill().await;
        self.clear();
        killed
    }

    /// Sends SIGTERM, and SIGKILL if it is still there after the grace period.
    pub(crate) async fn stop(&mut self, grace: Duration) -> io::Result<()> {
        self.signal(Signal::TERM)?;
        if let Some(child) = &mut self.child
            && timeout(grace, child.wait()).await.is_err()
        {
            child.kill().await?;
        }
        self.clear();
        Ok(())
    }

    fn clear(&mut self) {
        self.child = None;
        *self.handle.running() = Running::default();
    }

    pub(crate) fn handle(&self) -> Handle {
        self.handle.clone()
    }

    pub(crate) fn freeze(&mut self, frozen: bool) -> io::Result<()> {
        self.handle.change(|running| running.frozen = frozen)
    }

    /// How it ended, if it has ended by itself since the last look.
    pub(crate) fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = self.child.as_mut().map(Child::try_wait).transpose()?;
        let status = status.flatten();
        if status.is_some() {
            self.clear();
        }
        Ok(status)
    }

    pub(crate) fn signal(&self, signal: Signal) -> io::Result<()> {
        self.handle.running().signal(signal)
    }
}

/// Copies settings and log of a process, if it was ever started.
pub(crate) fn keep_logs(home: &Path, target: &Path, name: &str) -> io::Result<()> {
    for file in [LOG, SETTINGS] {
        let from = home.join(file);
        if from.exists() {
            fs::copy(from, target.join(format!("{name}.{file}")))?;
        }
    }
    Ok(())
}
