//! Writes log lines to standard output through a bounded queue, without ever blocking the logger.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use crate::events;
use crate::shell::clock::unix_now;

/// Number of lines that may wait for standard output; further ones are dropped and counted.
const LINE_QUEUE_LEN: usize = 8_192;
/// Lines are collected for this long and then written in one call.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging to standard output at a level such as `info`.
///
/// # Errors
///
/// A logger is installed already.
pub fn start_output(level: log::LevelFilter) -> Result<(), log::SetLoggerError> {
    let (tx, rx) = sync_channel(LINE_QUEUE_LEN);
    std::thread::spawn(move || write_lines(&rx));
    fern::Dispatch::new()
        .level(level)
        .format(|out, message, record| {
            out.finish(format_args!(
                "at={} level={} {message}",
                unix_now().0,
                record.level()
            ));
        })
        .chain(fern::Output::call(move |record| enqueue(&tx, record)))
        .apply()
}

fn enqueue(tx: &SyncSender<String>, record: &log::Record<'_>) {
    if tx.try_send(format!("{}\n", record.args())).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(rx: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(first) = rx.recv() {
        std::thread::sleep(WRITE_INTERVAL);
        let mut buf = first;
        while let Ok(line) = rx.try_recv() {
            buf.push_str(&line);
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            events::LOG_DROPPED.log(format_args!("lines={dropped}"));
        }
        if out.write_all(buf.as_bytes()).is_err() {
            // Standard output is closed, so the error cannot be reported anywhere.
            return;
        }
    }
}
