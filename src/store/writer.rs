//! The thread that writes and syncs the log of a replica.

use std::sync::mpsc::{Sender, channel};

use super::log_directory::LogDirectory;
use super::wal::Wal;
use crate::control::log::Record;
use crate::control::raft::RaftInput;
use crate::events;

/// The records of one write, with its number.
pub(crate) struct Batch {
    pub(crate) number: u64,
    pub(crate) records: Vec<Record>,
}

/// Starts the thread, which writes all waiting batches with one sync. It calls `done` after each
/// sync or, after a failed write, to stop the replica; it ends when `done` returns false.
pub(crate) fn start_writer(
    mut wal: Wal<LogDirectory>,
    done: impl Fn(RaftInput) -> bool + Send + 'static,
) -> Sender<Batch> {
    let (tx, rx) = channel::<Batch>();
    std::thread::spawn(move || {
        while let Ok(first) = rx.recv() {
            let mut number = first.number;
            let mut records = first.records;
            while let Ok(next) = rx.try_recv() {
                number = next.number;
                records.extend(next.records);
            }
            let input = match wal.write(&records) {
                Ok(()) => RaftInput::Synced(number),
                Err(error) => {
                    events::LOG_FAILED.log(format_args!("{error}"));
                    // No further write is acknowledged, so another replica must take over the
                    // leadership.
                    RaftInput::Stop
                }
            };
            if !done(input) {
                return;
            }
        }
    });
    tx
}
