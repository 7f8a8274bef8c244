//! What was sent, answered and run, in the order in which it was seen.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::process::ChildStdout;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A line of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    pub at: u64,
    pub executor: String,
    pub what: What,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum What {
    Beat,
    Start { task: String, run: u64 },
    End { task: String, run: u64, how: String },
}

struct Shared {
    file: File,
    events: Vec<Event>,
}

/// The record of one test, shared by its threads.
#[derive(Clone)]
pub struct Record {
    shared: Arc<Mutex<Shared>>,
    started: u64,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = File::create(path)?;
        let shared = Shared {
            file,
            events: Vec::new(),
        };
        Ok(Self {
            shared: Arc::new(Mutex::new(shared)),
            started: unix_ms(),
        })
    }

    /// Milliseconds since the test began.
    pub fn now(&self) -> u64 {
        unix_ms() - self.started
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} ms  {text}", self.now());
        println!("{line}");
        let mut shared = self
            .shared
            .lock()
            .expect("no thread panics with the record");
        writeln!(shared.file, "{line}").expect("the record can be written");
    }

    /// Follows the output of an executor.
    pub fn follow(&self, output: ChildStdout) {
        let record = self.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Some(event) = record.read(&line) {
                    record.add(event);
                }
            }
        });
    }

    fn read(&self, line: &str) -> Option<Event> {
        let mut words = line.split(' ');
        let at = words
            .next()?
            .parse::<u64>()
            .ok()?
            .saturating_sub(self.started);
        let executor = words.next()?.to_owned();
        let kind = words.next()?;
        let mut value = || Some(words.next()?.split_once('=')?.1.to_owned());
        let what = match kind {
            "start" => What::Start {
                task: value()?,
                run: value()?.parse().ok()?,
            },
            "end" => What::End {
                task: value()?,
                run: value()?.parse().ok()?,
                how: value()?,
            },
            "beat" => What::Beat,
            _ => return None,
        };
        Some(Event { at, executor, what })
    }

    fn add(&self, event: Event) {
        let (at, executor) = (event.at, &event.executor);
        let line = match &event.what {
            What::Beat => None,
            What::Start { task, run } => {
                Some(format!("task {task} run {run} starts on {executor}"))
            }
            What::End { task, run, how } => {
                Some(format!("task {task} run {run} ends on {executor}: {how}"))
            }
        };
        let mut shared = self
            .shared
            .lock()
            .expect("no thread panics with the record");
        if let Some(line) = line {
            writeln!(shared.file, "{at:>7} ms  {line}").expect("the record can be written");
        }
        shared.events.push(event);
    }

    /// Notes that an executor was killed: what ran on it has ended.
    pub fn killed(&self, executor: &str) {
        for (task, run) in self.running_on(executor) {
            let what = What::End {
                task,
                run,
                how: "killed with its executor".to_owned(),
            };
            self.add(Event {
                at: self.now(),
                executor: executor.to_owned(),
                what,
            });
        }
    }

    pub fn events(&self) -> Vec<Event> {
        self.shared
            .lock()
            .expect("no thread panics with the record")
            .events
            .clone()
    }

    /// When a heartbeat of an executor was last acknowledged.
    pub fn last_beat(&self, executor: &str) -> u64 {
        let events = self.events().into_iter();
        let beats = events.filter(|e| e.executor == executor && e.what == What::Beat);
        beats.map(|beat| beat.at).max().unwrap_or(0)
    }

    /// The tasks and runs that run on an executor now.
    pub fn running_on(&self, executor: &str) -> Vec<(String, u64)> {
        let mut running = Vec::new();
        for event in self.events().into_iter().filter(|e| e.executor == executor) {
            match event.what {
                What::Start { task, run } => running.push((task, run)),
                What::End { task, run, .. } => running.retain(|r| *r != (task.clone(), run)),
                What::Beat => {}
            }
        }
        running
    }
}
