//! Writes log lines to standard output through a bounded queue, without ever blocking the logger.

use std::io::Write;
use std::sync::OnceLock;
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

/// Longest wait of a process that ends for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Exit code of a process that ends because of a fault.
const FAILURE: i32 = 1;

/// The queue, for the last lines of a process.
static QUEUE: OnceLock<SyncSender<Output>> = OnceLock::new();

enum Output {
    Line(String),
    /// Answered once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Starts logging to standard output at a level such as `info`.
///
/// # Errors
///
/// A logger is installed already.
pub fn start_output(level: log::LevelFilter) -> Result<(), log::SetLoggerError> {
    let (tx, rx) = sync_channel(LINE_QUEUE_LEN);
    if QUEUE.set(tx.clone()).is_ok() {
        std::thread::spawn(move || write_lines(&rx));
    }
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

/// Ends the process when any of its tasks or threads panics, after a line with the place. Without
/// it, the process would run on without that part.
pub fn end_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        let place_and_message = info.to_string().replace('\n', " ");
        events::PANICKED.log(format_args!("{place_and_message}"));
        flush_output();
        std::process::exit(FAILURE);
    }));
}

/// Waits until the lines logged so far are written, at most half a second.
pub fn flush_output() {
    let (tx, rx) = sync_channel(1);
    // A full queue is not being read, so there is nothing to wait for.
    if let Some(queue) = QUEUE.get()
        && queue.try_send(Output::Flush(tx)).is_ok()
    {
        // The loss of the last lines is not reported: standard error may be the same stalled pipe.
        let _ = rx.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn enqueue(tx: &SyncSender<Output>, record: &log::Record<'_>) {
    let line = Output::Line(format!("{}\n", record.args()));
    if tx.try_send(line).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(rx: &Receiver<Output>) {
    let mut out = std::io::stdout();
    while let Ok(first) = rx.recv() {
        std::thread::sleep(WRITE_INTERVAL);
        let mut buf = String::new();
        let mut flushed = Vec::new();
        let mut next = Some(first);
        while let Some(output) = next {
            match output {
                Output::Line(line) => buf.push_str(&line),
                Output::Flush(done) => flushed.push(done),
            }
            next = rx.try_recv().ok();
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            events::LOG_DROPPED.log(format_args!("lines={dropped}"));
        }
        if out.write_all(buf.as_bytes()).is_err() {
            // Standard output is closed, so the error cannot be reported anywhere.
            return;
        }
        for done in flushed {
            // The process that waited for it may have ended its wait.
            let _ = done.send(());
        }
    }
}
