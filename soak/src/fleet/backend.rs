//! A stand-in for a backend server: its runs, its lease and its ends.

use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::fleet::judge::{End, Judge};

/// Longest lease.
const MAX_LEASE: Duration = Duration::from_secs(1);
/// Time that a stop takes.
const STOP: Duration = Duration::from_millis(20);
/// Number of ends that one answer lists.
const MAX_ENDS: usize = 500;
/// Capacity, in thousandths of a core.
pub(crate) const CPU: u64 = 64_000;

/// A run that has not ended.
#[derive(Debug)]
struct Run {
    task: String,
    id: u64,
    cpu: u64,
    started: Instant,
    /// When its work is done.
    finish: Instant,
    stop_at: Option<Instant>,
}

/// An end that was not acknowledged.
#[derive(Debug)]
struct Ended {
    number: u64,
    task: String,
    run: u64,
    at: Instant,
    end: End,
}

/// One life of a backend server.
#[derive(Debug)]
pub(crate) struct Life {
    pub(crate) number: u32,
    pub(crate) born_ms: u64,
    pub(crate) sequence: u64,
    backend: u8,
    born: Instant,
    token: u64,
    lease_until: Instant,
    last_lapse: Option<Instant>,
    running: Vec<Run>,
    ended: Vec<Ended>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended.
    closed: HashMap<String, u64>,
}

/// Status and body of an answer.
pub(crate) type Reply = (u16, Value);

impl Life {
    pub(crate) fn new(backend: u8, number: u32) -> Self {
        let now = Instant::now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            number,
            born_ms: unix.map_or(0, whole_millis),
            sequence: 0,
            backend,
            born: now,
            token: 0,
            lease_until: now,
            last_lapse: None,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
        }
    }

    pub(crate) fn id(&self) -> String {
        format!("i-{:04x}{:04x}", self.backend, self.number)
    }

    pub(crate) fn clock_ms(&self) -> u64 {
        whole_millis(self.born.elapsed())
    }

    pub(crate) fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Ends all runs: the process is killed.
    pub(crate) fn kill(&mut self, judge: &Judge) {
        let now = Instant::now();
        self.settle(now, judge);
        for run in self.running.drain(..) {
            judge.ended(&run.task, run.id, self.backend, now, End::Killed);
        }
    }

    /// Carries out a call; the answer to a hold call may come later.
    pub(crate) fn carry_out(&mut self, path: &str, body: &Value, judge: &Judge) -> Reply {
        let now = Instant::now();
        self.settle(now, judge);
        let token = number(body, "fencing_token").unwrap_or(0);
        if token < self.token {
            return self.denied("fence");
        }
        self.token = token;
        match path {
            "/run-start" => self.start(body, now, judge),
            "/run-stop" => self.stop(body, now),
            "/hold" => self.hold(body, now, judge),
            _ => (404, Value::Null),
        }
    }

    fn ok(&self) -> Reply {
        (200, json!({"clock_ms": self.clock_ms()}))
    }

    fn denied(&self, reason: &str) -> Reply {
        let body = json!({"clock_ms": self.clock_ms(), "reason": reason});
        (409, body)
    }

    fn extend_lease(&mut self, until_ms: u64, now: Instant) {
        let until = self.born + Duration::from_millis(until_ms);
        let until = until.min(now + MAX_LEASE);
        self.lease_until = self.lease_until.max(until);
    }

    fn start(&mut self, body: &Value, now: Instant, judge: &Judge) -> Reply {
        let fields = (
            body["task"].as_str(),
            number(body, "run"),
            body["spec"].as_str(),
            number(body, "until_ms"),
        );
        let (Some(task), Some(run), Some(spec), Some(until)) = fields else {
            return (400, Value::Null);
        };
        if self.running.iter().any(|r| r.task == task && r.id == run) {
            return self.ok();
        }
        if until <= self.clock_ms() {
            return self.denied("late");
        }
        self.extend_lease(until, now);
        if self.closed.get(task).is_some_and(|closed| run <= *closed) {
            return self.denied("old");
        }
        let cpu = word(spec, "cpu");
        let used: u64 = self.running.iter().map(|r| r.cpu).sum();
        if used + cpu > CPU {
            return self.denied("room");
        }
        judge.started(task, run, self.backend, now);
        self.running.push(Run {
            task: task.to_owned(),
            id: run,
            cpu,
            started: now,
            finish: now + Duration::from_millis(word(spec, "work")),
            stop_at: None,
        });
        self.ok()
    }

    fn stop(&mut self, body: &Value, now: Instant) -> Reply {
        let (Some(task), Some(run)) = (body["task"].as_str(), number(body, "run")) else {
            return (400, Value::Null);
        };
        let mut running = self.running.iter_mut();
        match running.find(|r| r.task == task && r.id == run) {
            Some(found) => {
                found.stop_at.get_or_insert(now + STOP);
            }
            None => self.close(task, run),
        }
        self.ok()
    }

    /// Extends the lease and forgets acknowledged ends.
    fn hold(&mut self, body: &Value, now: Instant, judge: &Judge) -> Reply {
        if let Some(until) = number(body, "until_ms") {
            self.extend_lease(until, now);
        }
        let seen = number(body, "last_seen").unwrap_or(0);
        for ended in self.ended.iter().filter(|ended| ended.number <= seen) {
            let lapsed = self.last_lapse.is_some_and(|lapse| lapse >= ended.at);
            if !lapsed {
                judge.noted(&ended.task, ended.run, self.backend);
            }
        }
        self.ended.retain(|ended| ended.number > seen);
        self.lists()
    }

    /// The answer to a hold call.
    pub(crate) fn lists(&self) -> Reply {
        let running = self.running.iter().map(|r| {
            let work = r.finish - r.started;
            let percent = 100 * whole_millis(r.started.elapsed()) / whole_millis(work).max(1);
            json!([r.task, r.id, "", percent.min(99), r.cpu])
        });
        let ended = self.ended.iter().take(MAX_ENDS).map(|e| {
            let how = match e.end {
                End::Done => "done",
                End::Stopped => "stopped",
                End::Lapsed | End::Killed => "lapsed",
            };
            json!([e.number, e.task, e.run, how, ""])
        });
        let body = json!({
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            "running": running.collect::<Vec<_>>(),
            "finished": ended.collect::<Vec<_>>(),
        });
        (200, body)
    }

    fn close(&mut self, task: &str, run: u64) {
        let closed = self.closed.entry(task.to_owned()).or_insert(run);
        *closed = run.max(*closed);
    }

    /// Ends the runs whose time has come, each at its exact time. Also has to be called before the
    /// lease is extended.
    pub(crate) fn settle(&mut self, now: Instant, judge: &Judge) {
        let lease = self.lease_until;
        if now > lease {
            self.last_lapse = Some(lease);
        }
        let (mut due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .map(|run| (run.end(lease), run))
            .partition(|((at, _), _)| *at <= now);
        self.running = rest.into_iter().map(|(_, run)| run).collect();
        due.sort_by_key(|((at, _), _)| *at);
        for ((at, end), run) in due {
            judge.ended(&run.task, run.id, self.backend, at, end);
            self.close(&run.task, run.id);
            self.last_end += 1;
            self.ended.push(Ended {
                number: self.last_end,
                task: run.task,
                run: run.id,
                at,
                end,
            });
        }
    }
}

impl Run {
    /// When and how it ends if the lease is not extended.
    fn end(&self, lease: Instant) -> (Instant, End) {
        match self.stop_at {
            Some(stop) if stop <= self.finish && stop <= lease => (stop, End::Stopped),
            _ if self.finish <= lease => (self.finish, End::Done),
            _ => (lease, End::Lapsed),
        }
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn number(body: &Value, name: &str) -> Option<u64> {
    body.get(name)?.as_u64()
}

/// The number after `name=` in the text of a job.
fn word(spec: &str, name: &str) -> u64 {
    let mut words = spec
        .split_whitespace()
        .filter_map(|word| word.split_once('='));
    let found = words.find(|(key, _)| *key == name);
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}
