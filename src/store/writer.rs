//! The thread that writes and syncs a replica's log.

use std::sync::mpsc::{Sender, channel};

use super::log_directory::LogDirectory;
use super::wal::Wal;
use crate::control::log::Record;
use crate::control::raft::RaftInput;
use crate::events;

/// Records under the number of their write.
pub(crate) struct Batch {
    pub(crate) number: u64,
    pub(crate) records: Vec<Record>,
}

/// Starts the thread; one sync serves all that is waiting. `done` is told of each
/// sync, or that the replica must stop, and returns false once nobody listens.
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
                    // Nothing more is acknowledged; let another lead.
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
