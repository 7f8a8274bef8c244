//! The thread that writes and syncs the log of a replica.

use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::time::Duration;

use super::wal::{Storage, Wal, WalError};
use crate::control::log::Record;
use crate::control::raft::RaftInput;
use crate::events;
use crate::shell::clock::Clock;

/// Time between two tries of a failed write.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The records of one write, with its number.
#[derive(Debug)]
pub struct Batch {
    /// Number of the write; each is higher than the one before.
    pub number: u64,
    /// What to write, in order.
    pub records: Vec<Record>,
}

/// Starts the thread, which writes all waiting batches with one sync. It calls `done` after each
/// sync or, after a failed write, to have another replica lead. A failed write is tried again until
/// it succeeds, as a full disk may have room later. The thread ends when `done` returns false.
pub fn start_writer<S: Storage + 'static>(
    wal: Wal<S>,
    done: impl Fn(RaftInput) -> bool + Send + 'static,
) -> Sender<Batch> {
    let (tx, rx) = channel::<Batch>();
    let mut writer = Writer { wal, rx };
    std::thread::spawn(move || writer.run(done));
    tx
}

struct Writer<S> {
    wal: Wal<S>,
    rx: Receiver<Batch>,
}

impl<S: Storage> Writer<S> {
    fn run(&mut self, done: impl Fn(RaftInput) -> bool) {
        while let Ok(mut batch) = self.rx.recv() {
            if self.collect(&mut batch).is_err() {
                log::debug!("the replica has stopped, writing its last records");
            }
            let input = match self.wal.write(&batch.records) {
                Ok(()) => RaftInput::Synced(batch.number),
                Err(error @ WalError::Io { .. }) => {
                    events::LOG_FAILED.log(format_args!("{error}"));
                    if !done(RaftInput::DiskFailed) || self.retry(&mut batch).is_err() {
                        return;
                    }
                    RaftInput::Synced(batch.number)
                }
                Err(error) => {
                    events::LOG_FAILED.log(format_args!("{error}"));
                    // Another try would fail as well.
                    RaftInput::Stop
                }
            };
            self.count_bytes();
            if !done(input) {
                return;
            }
        }
    }

    // A log has far fewer bytes than a float can hold exactly.
    #[allow(clippy::cast_precision_loss)]
    fn count_bytes(&self) {
        metrics::gauge!("fulmardrift_log_bytes").set(self.wal.file_len() as f64);
    }

    /// Adds the waiting batches. Returns an error if the replica is gone.
    fn collect(&self, batch: &mut Batch) -> Result<(), TryRecvError> {
        loop {
            match self.rx.try_recv() {
                Ok(next) => {
                    batch.number = next.number;
                    batch.records.extend(next.records);
                }
                Err(TryRecvError::Empty) => return Ok(()),
                Err(gone) => return Err(gone),
            }
        }
    }

    /// Tries a failed write, with what has come since, until it succeeds. Returns an error if the
    /// replica is gone.
    fn retry(&mut self, batch: &mut Batch) -> Result<(), TryRecvError> {
        // Starts at the first failure.
        let clock = Clock::new();
        loop {
            std::thread::sleep(RETRY_INTERVAL);
            self.collect(batch)?;
            let recovered = self.wal.recover();
            match recovered.and_then(|()| self.wal.write(&batch.records)) {
                Ok(()) => {
                    events::LOG_RECOVERED.log(format_args!(
                        "write={} records={} failed_ms={}",
                        batch.number,
                        batch.records.len(),
                        clock.now().0
                    ));
                    return Ok(());
                }
                Err(error) => log::debug!("the log still cannot be written: {error}"),
            }
        }
    }
}
