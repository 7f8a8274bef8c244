//! A stand-in executor that runs tasks under a lease, as the users' protocol says.
//!
//! The text of a job tells it how much CPU a task takes and for how long it runs, as in
//! `cpu=100 ms=600`.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::record::{Record, Seen};

/// Longest lease, in milliseconds: `hold_max_ms`.
const HOLD_MAX_MS: u64 = 1_000;
/// Longest wait of a hold call, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;
/// Ends in one answer.
const ENDS_AT_A_TIME: usize = 500;
/// Time between two looks at the clock, in milliseconds.
const TURN: Duration = Duration::from_millis(2);

/// Set once an executor has crashed by it.
pub type Trigger = Arc<AtomicBool>;

/// How an executor announces itself.
#[derive(Debug, Clone)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Rejects what does not fit.
    pub guards: bool,
    pub heartbeat: Duration,
}

#[derive(Debug)]
struct Run {
    run: u64,
    cpu: u64,
    started: Instant,
    length: Duration,
}

#[derive(Debug, Default)]
struct State {
    token: u64,
    // On the executor's clock, in milliseconds.
    lease_until: u64,
    runs: BTreeMap<String, Run>,
    // Number, task, run, how.
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    noted: u64,
    // The highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
    streams: Vec<Arc<TcpStream>>,
    down: bool,
    // The executor crashes when a start of this job arrives.
    crash_on: Option<(String, Trigger)>,
}

#[derive(Debug)]
struct Shared {
    kind: Kind,
    record: Record,
    born: u64,
    booted: Instant,
    state: Mutex<State>,
    ended: Condvar,
}

/// One life of an executor.
#[derive(Debug, Clone)]
pub struct Executor {
    shared: Arc<Shared>,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or_default()
}

impl Executor {
    /// Starts an executor at `app` that sends its heartbeats to `control`, both on the machine `ip`.
    pub fn start(kind: Kind, ip: Ipv4Addr, ports: (u16, u16), record: &Record) -> Self {
        let app = SocketAddrV4::new(ip, ports.0);
        let listener = TcpListener::bind(app).unwrap_or_else(|error| {
            eprintln!("cannot listen on {app}: {error}");
            std::process::exit(2);
        });
        let shared = Arc::new(Shared {
            kind,
            record: record.clone(),
            born: unix_ms(),
            booted: Instant::now(),
            state: Mutex::default(),
            ended: Condvar::new(),
        });
        let executor = Self { shared };
        let (accepting, beating, working) = (executor.clone(), executor.clone(), executor.clone());
        thread::spawn(move || accepting.accept(&listener));
        thread::spawn(move || beating.beat(app, SocketAddrV4::new(ip, ports.1)));
        thread::spawn(move || working.work());
        executor
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn clock(&self) -> u64 {
        u64::try_from(self.shared.booted.elapsed().as_millis()).unwrap_or(u64::MAX) + 1
    }

    fn see(&self, seen: Seen, task: &str, run: u64) {
        self.shared
            .record
            .see(&self.shared.kind.id, seen, task, run);
    }

    /// Ends the process: nothing runs any more, and all connections are closed.
    fn crash(&self, state: &mut State) {
        if state.down {
            return;
        }
        state.down = true;
        for stream in state.streams.drain(..) {
            // The other side may have closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        for (task, run) in std::mem::take(&mut state.runs) {
            self.see(Seen::Crash, &task, run.run);
        }
        self.see(Seen::Crash, "", 0);
        self.shared.ended.notify_all();
    }

    /// Crashes when it receives a start of this job, unless another one that shares the trigger has
    /// crashed.
    pub fn crash_on(&self, job: &str, trigger: &Trigger) {
        self.state().crash_on = Some((job.to_owned(), Arc::clone(trigger)));
    }

    pub fn is_down(&self) -> bool {
        self.state().down
    }

    /// CPU in use, in thousandths of a core.
    pub fn used(&self) -> u64 {
        self.state().runs.values().map(|run| run.cpu).sum()
    }

    pub fn running(&self) -> Vec<String> {
        self.state().runs.keys().cloned().collect()
    }

    fn accept(&self, listener: &TcpListener) {
        if listener.set_nonblocking(true).is_err() {
            return;
        }
        loop {
            if self.is_down() {
                return;
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_micros(300));
                continue;
            };
            if stream.set_nonblocking(false).is_err() {
                continue;
            }
            let stream = Arc::new(stream);
            self.state().streams.push(Arc::clone(&stream));
            let executor = self.clone();
            let spawned = thread::Builder::new().stack_size(128 << 10);
            if spawned.spawn(move || executor.serve(&stream)).is_err() {
                eprintln!("cannot start a thread");
            }
        }
    }

    fn serve(&self, stream: &TcpStream) {
        // Without it, answers are only later.
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let Some((status, body)) = self.handle(&request) else {
                return;
            };
            if http::write_response(stream, status, &body).is_err() {
                return;
            }
        }
    }

    /// The answer to a call; `None` if the process has ended.
    fn handle(&self, request: &Request) -> Option<(u16, String)> {
        let expected = http::header(&request.headers, "x-expect-instance");
        if expected.is_some_and(|id| id != self.shared.kind.id) {
            return Some((421, String::new()));
        }
        match format!("{} {}", request.method, request.path).as_str() {
            "POST /run-start" => self.run_start(&request.body),
            "POST /run-stop" => self.run_stop(&request.body),
            "POST /hold" => self.hold(&request.body),
            "GET /healthz" => Some((200, String::new())),
            _ => Some((404, String::new())),
        }
    }

    fn answer(&self, reason: Option<&str>) -> Option<(u16, String)> {
        let (clock, born) = (self.clock(), self.shared.born);
        Some(match reason {
            None => (200, format!("{{\"clock_ms\":{clock},\"born\":{born}}}")),
            Some(reason) => (
                409,
                format!("{{\"clock_ms\":{clock},\"born\":{born},\"reason\":\"{reason}\"}}"),
            ),
        })
    }

    /// Checks the fencing token; true if the call is of a former holder.
    fn is_fenced(state: &mut State, body: &str) -> bool {
        let token = http::number(body, "fencing_token").unwrap_or(0);
        if token < state.token {
            return true;
        }
        state.token = token;
        false
    }

    fn extend(state: &mut State, now: u64, until: u64) {
        state.lease_until = state.lease_until.max(until.min(now + HOLD_MAX_MS));
    }

    fn run_start(&self, body: &str) -> Option<(u16, String)> {
        let task = http::string(body, "task")?;
        let run = http::number(body, "run")?;
        let spec = http::string(body, "spec").unwrap_or_default();
        let until = http::number(body, "until_ms").unwrap_or(0);
        let mut state = self.state();
        if state.down {
            return None;
        }
        let job = task.split('.').next().unwrap_or_default().to_owned();
        let is_hit =
            |(hit, trigger): &(String, Trigger)| *hit == job && !trigger.swap(true, Relaxed);
        if state.crash_on.as_ref().is_some_and(is_hit) {
            self.shared.record.note(format!(
                "executor {} crashes as it receives the start of {task}",
                self.shared.kind.id
            ));
            self.crash(&mut state);
            return None;
        }
        if Self::is_fenced(&mut state, body) {
            return self.answer(Some("fence"));
        }
        let now = self.clock();
        if until <= now {
            return self.answer(Some("late"));
        }
        Self::extend(&mut state, now, until);
        if state.runs.get(&task).is_some_and(|known| known.run == run) {
            return self.answer(None);
        }
        if state.over.get(&task).is_some_and(|over| run <= *over) {
            return self.answer(Some("old"));
        }
        let cpu = word(&spec, "cpu").unwrap_or(0);
        let used: u64 = state.runs.values().map(|run| run.cpu).sum();
        if self.shared.kind.guards && used + cpu > self.shared.kind.cpu {
            return self.answer(Some("room"));
        }
        let length = Duration::from_millis(word(&spec, "ms").unwrap_or(100));
        let started = Instant::now();
        state.runs.insert(
            task.clone(),
            Run {
                run,
                cpu,
                started,
                length,
            },
        );
        self.see(Seen::Start, &task, run);
        self.answer(None)
    }

    fn run_stop(&self, body: &str) -> Option<(u16, String)> {
        let task = http::string(body, "task")?;
        let run = http::number(body, "run")?;
        let mut state = self.state();
        if state.down {
            return None;
        }
        if Self::is_fenced(&mut state, body) {
            return self.answer(Some("fence"));
        }
        if state.runs.get(&task).is_some_and(|known| known.run == run) {
            self.end(&mut state, &task, "stopped");
        }
        let over = state.over.entry(task).or_default();
        *over = run.max(*over);
        self.answer(None)
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.last_end += 1;
        let number = state.last_end;
        let over = state.over.entry(task.to_owned()).or_default();
        *over = run.run.max(*over);
        state.ends.push((number, task.to_owned(), run.run, how));
        self.see(Seen::End(how, number), task, run.run);
        self.shared.ended.notify_all();
    }

    fn hold(&self, body: &str) -> Option<(u16, String)> {
        let mut state = self.state();
        if state.down {
            return None;
        }
        if Self::is_fenced(&mut state, body) {
            return self.answer(Some("fence"));
        }
        let now = self.clock();
        if let Some(until) = http::number(body, "until_ms") {
            Self::extend(&mut state, now, until);
        }
        let noted = http::number(body, "last_seen").unwrap_or(0);
        if noted > state.noted {
            state.noted = noted;
            state.ends.retain(|(number, ..)| *number > noted);
            self.see(Seen::Noted(noted), "", 0);
        }
        let wait = http::number(body, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let waited_until = Instant::now() + Duration::from_millis(wait);
        while state.ends.is_empty() && !state.down {
            let left = waited_until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waiting = self.shared.ended.wait_timeout(state, left);
            state = waiting.unwrap_or_else(PoisonError::into_inner).0;
        }
        if state.down {
            return None;
        }
        let running: Vec<String> = state
            .runs
            .iter()
            .map(|(task, run)| {
                let done = run.started.elapsed().as_millis() * 100 / run.length.as_millis().max(1);
                format!("[\"{task}\",{},\"\",{}]", run.run, done.min(99))
            })
            .collect();
        let ends = state.ends.iter().take(ENDS_AT_A_TIME);
        let ends: Vec<String> = ends
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        Some((
            200,
            format!(
                "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                self.clock(),
                self.shared.born,
                running.join(","),
                ends.join(",")
            ),
        ))
    }

    /// Ends the runs whose time has come, and all of them when the lease lapses.
    fn work(&self) {
        loop {
            thread::sleep(TURN);
            let mut state = self.state();
            if state.down {
                return;
            }
            let is_done = |run: &Run| run.started.elapsed() >= run.length;
            let done = state.runs.iter().filter(|(_, run)| is_done(run));
            let done: Vec<String> = done.map(|(task, _)| task.clone()).collect();
            for task in done {
                self.end(&mut state, &task, "done");
            }
            if state.lease_until > 0 && self.clock() > state.lease_until {
                state.lease_until = 0;
                self.see(Seen::Lapsed, "", 0);
                let left: Vec<String> = state.runs.keys().cloned().collect();
                for task in left {
                    self.end(&mut state, &task, "lapsed");
                }
            }
        }
    }

    fn beat(&self, app: SocketAddrV4, control: SocketAddrV4) {
        let kind = &self.shared.kind;
        let mut sequence = 0;
        loop {
            if self.is_down() {
                return;
            }
            sequence += 1;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{app}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\
                 \"mem_mb\":{},\"gpu\":0}},\"labels\":[\"a\",\"r1-0\"],\"clock_ms\":{},\
                 \"sequence\":{sequence},\"born\":{}}}",
                kind.service,
                kind.zone,
                kind.cpu,
                kind.mem_mb,
                self.clock(),
                self.shared.born
            );
            let path = format!("/instances/{}", kind.id);
            let sent = http::call(control, ("PUT", &path), &[], &body, Duration::from_secs(1));
            let is_noted = sent.is_ok_and(|reply| (200..300).contains(&reply.status));
            // One that was not acknowledged is sent again soon.
            thread::sleep(if is_noted {
                kind.heartbeat
            } else {
                Duration::from_millis(200)
            });
        }
    }
}

fn word(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
    let (_, value) = words.find(|(known, _)| *known == name)?;
    value.parse().ok()
}
