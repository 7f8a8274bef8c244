//! What was sent, answered and run, with the time since the start of the play.

use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// What an executor has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// A start was carried out.
    Start,
    /// A run has ended in this way, under this number.
    End(&'static str, u64),
    /// Ends up to this number were taken note of.
    Noted(u64),
    /// The lease has lapsed.
    Lapsed,
    /// The executor has crashed.
    Crash,
}

#[derive(Debug, Clone)]
pub struct Event {
    pub at: u64,
    pub executor: String,
    pub seen: Seen,
    pub task: String,
    pub run: u64,
}

#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
            events: Arc::default(),
        }
    }

    /// Milliseconds since the start of the play.
    pub fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn note(&self, text: impl Into<String>) {
        let line = (self.now(), text.into());
        println!("{:>7} {}", line.0, line.1);
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line);
    }

    pub fn see(&self, executor: &str, seen: Seen, task: &str, run: u64) {
        let at = self.now();
        let text = format!("executor {executor} {seen:?} {task} {run}");
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push((at, text));
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.push(Event {
            at,
            executor: executor.to_owned(),
            seen,
            task: task.to_owned(),
            run,
        });
    }

    pub fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:>7} {line}\n"))
            .collect();
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("cannot write {}: {error}", path.display());
        }
    }
}
