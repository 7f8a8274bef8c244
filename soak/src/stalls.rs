//! Times at which the machine itself stood still, which count as a freeze of all instances.

use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task::spawn_blocking;
use tokio::time::{Instant, sleep};

use crate::ledger::Ledger;

/// Pause between two probes.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// A probe that takes longer shows a stall: sessions are closed after less.
const STALL: Duration = Duration::from_millis(900);
/// A run is given up when the machine has stood still again and again for this long.
const MAX_WAIT: Duration = Duration::from_mins(2);

/// What is known of the machine.
#[derive(Debug, Clone, Copy)]
struct Probe {
    last: Instant,
    /// End of the last stall.
    stalled: Option<Instant>,
    count: usize,
}

/// Watches the machine.
#[derive(Debug)]
pub(crate) struct Stalls(Mutex<Probe>);

impl Stalls {
    pub(crate) fn new() -> Self {
        Self(Mutex::new(Probe {
            last: Instant::now(),
            stalled: None,
            count: 0,
        }))
    }

    fn probe(&self) -> MutexGuard<'_, Probe> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of stalls.
    pub(crate) fn count(&self) -> usize {
        self.probe().count
    }

    /// The later of `since` and the end of the last stall; now while the machine stands still.
    pub(crate) fn undisturbed_since(&self, since: Instant) -> Instant {
        let probe = *self.probe();
        if probe.last.elapsed() > STALL {
            return Instant::now();
        }
        probe.stalled.map_or(since, |stalled| stalled.max(since))
    }

    /// Waits until the machine has not stood still for `calm`.
    pub(crate) async fn wait(&self, calm: Duration) -> io::Result<()> {
        let began = Instant::now();
        let Some(before) = began.checked_sub(calm) else {
            return Ok(());
        };
        while self.undisturbed_since(before).elapsed() < calm {
            if began.elapsed() > MAX_WAIT {
                return Err(io::Error::other("the machine stands still too often"));
            }
            sleep(PROBE_PAUSE).await;
        }
        Ok(())
    }

    /// Writes to a file and syncs it, again and again; notes each stall.
    pub(crate) async fn watch(&self, path: PathBuf, ledger: &Mutex<Ledger>) {
        loop {
            sleep(PROBE_PAUSE).await;
            let path = path.clone();
            let written = spawn_blocking(move || write_and_sync(path)).await;
            let now = Instant::now();
            let took = {
                let mut probe = self.probe();
                let took = now - probe.last;
                probe.last = now;
                if took > STALL {
                    probe.stalled = Some(now);
                    probe.count += 1;
                }
                took
            };
            if took > STALL || !matches!(written, Ok(Ok(()))) {
                let millis = took.as_millis();
                let mut ledger = ledger.lock().unwrap_or_else(PoisonError::into_inner);
                ledger.note(&format!("the machine stood still for {millis} ms"));
            }
        }
    }
}

fn write_and_sync(path: PathBuf) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(b"probe")?;
    file.sync_all()
}
