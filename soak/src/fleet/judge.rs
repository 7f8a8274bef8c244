//! What backend servers ran, and the check that no task ran twice.

use std::collections::HashMap;
use std::fmt::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// First digit of the ids of stored jobs; those of transient jobs begin with another.
pub(crate) const STORED: char = 'f';

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    Done,
    Stopped,
    /// The lease expired.
    Lapsed,
    /// The backend server was killed.
    Killed,
}

/// One start of a task.
#[derive(Debug)]
struct Run {
    id: u64,
    backend: u8,
    started: Instant,
    ended: Option<(Instant, End)>,
    /// True when the end was acknowledged, with no lapse of the lease in between.
    noted: bool,
}

/// All runs, by the names of their tasks.
#[derive(Debug)]
pub(crate) struct Judge {
    began: Instant,
    tasks: Mutex<HashMap<String, Vec<Run>>>,
}

impl Judge {
    pub(crate) fn new() -> Self {
        Self {
            began: Instant::now(),
            tasks: Mutex::default(),
        }
    }

    fn tasks(&self) -> MutexGuard<'_, HashMap<String, Vec<Run>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn started(&self, task: &str, run: u64, backend: u8, started: Instant) {
        self.tasks().entry(task.to_owned()).or_default().push(Run {
            id: run,
            backend,
            started,
            ended: None,
            noted: false,
        });
    }

    pub(crate) fn ended(&self, task: &str, run: u64, backend: u8, at: Instant, end: End) {
        self.update(task, run, backend, |found| found.ended = Some((at, end)));
    }

    pub(crate) fn noted(&self, task: &str, run: u64, backend: u8) {
        self.update(task, run, backend, |found| found.noted = true);
    }

    fn update(&self, task: &str, run: u64, backend: u8, change: impl FnOnce(&mut Run)) {
        let mut tasks = self.tasks();
        let runs = tasks.get_mut(task).into_iter().flatten();
        let mut matching = runs.filter(|r| r.id == run && r.backend == backend);
        if let Some(found) = matching.next_back() {
            change(found);
        }
    }

    /// Number of starts.
    pub(crate) fn starts(&self) -> usize {
        self.tasks().values().map(Vec::len).sum()
    }

    /// The tasks that ran twice, each with all its runs.
    pub(crate) fn doubled(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (task, runs) in &mut *self.tasks() {
            runs.sort_by_key(|run| run.started);
            let stored = task.starts_with(STORED);
            let pairs = runs
                .iter()
                .enumerate()
                .flat_map(|(at, first)| runs[at + 1..].iter().map(move |second| (first, second)));
            if let Some(why) = pairs
                .map(|(a, b)| doubles(a, b, stored))
                .find(Option::is_some)
            {
                found.push(self.describe(task, runs, why.unwrap_or_default()));
            }
        }
        found.sort();
        found
    }

    fn describe(&self, task: &str, runs: &[Run], why: &str) -> String {
        let seconds = |at: Instant| (at - self.began).as_secs_f64();
        let mut text = format!("TWICE: {why}: task {task}");
        for run in runs {
            // Writing to a string does not fail.
            let _ = write!(
                text,
                "; run {} on backend-{} from {:.3}",
                run.id,
                run.backend,
                seconds(run.started)
            );
            let _ = match run.ended {
                Some((at, end)) => write!(text, " to {:.3} {end:?}", seconds(at)),
                None => write!(text, " on"),
            };
            if run.noted {
                text.push_str(" noted");
            }
        }
        text
    }
}

/// Why the second of two runs should not have started.
fn doubles(first: &Run, second: &Run, stored: bool) -> Option<&'static str> {
    match first.ended {
        None => Some("two runs at the same time"),
        Some((at, _)) if at > second.started => Some("two runs at the same time"),
        Some((_, End::Done)) if stored && first.noted => Some("a start after a noted end"),
        Some(_) => None,
    }
}
