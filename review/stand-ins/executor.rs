//! An executor: it announces itself to the agent on its machine, and runs what that tells it to.
//!
//! The text of a job says what its tasks do: `work=MS` is how long one takes, `cpu=N` what it
//! takes of the capacity, `fails=1` that it ends `failed`.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Value};
use crate::record::unix_ms;

/// Longest lease, `hold_max_ms`.
const MAX_LEASE_MS: u64 = 1_000;
/// Time that a stop takes; at most `stop_ms`.
const STOP_MS: u64 = 20;
/// Longest wait of a hold call.
const MAX_WAIT_MS: u64 = 2_000;
/// Ends that one answer lists.
const MAX_ENDS: usize = 500;
/// Interval between announcements, `heartbeat_ms`, and pause after one that was not acknowledged.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HEARTBEAT_RETRY: Duration = Duration::from_millis(150);
/// A heartbeat must be acknowledged within this time.
const ACK_LIMIT: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
pub struct Options {
    pub id: String,
    pub address: SocketAddrV4,
    pub agent: SocketAddrV4,
    pub zone: String,
    pub service: String,
    pub cpu: u64,
    pub labels: Vec<String>,
}

impl Options {
    pub fn to_args(&self) -> Vec<String> {
        vec![
            "executor".to_owned(),
            self.id.clone(),
            self.address.to_string(),
            self.agent.to_string(),
            self.zone.clone(),
            self.service.clone(),
            self.cpu.to_string(),
            self.labels.join(","),
        ]
    }

    pub fn from_args(args: &[String]) -> Option<Self> {
        let [id, address, agent, zone, service, cpu, labels] = args else {
            return None;
        };
        Some(Self {
            id: id.clone(),
            address: address.parse().ok()?,
            agent: agent.parse().ok()?,
            zone: zone.clone(),
            service: service.clone(),
            cpu: cpu.parse().ok()?,
            labels: labels.split(',').map(str::to_owned).collect(),
        })
    }
}

#[derive(Debug, Clone)]
struct Run {
    task: String,
    run: u64,
    cpu: u64,
    fails: bool,
    started: u64,
    work: u64,
    stop_at: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    token: u64,
    lease_until: u64,
    running: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_number: u64,
    // The highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
}

pub struct Executor {
    options: Options,
    born: u64,
    started: Instant,
    state: Mutex<State>,
    ended: Condvar,
}

/// Runs an executor until its process is killed. Each start and end is a line on standard output.
pub fn run(options: Options) -> std::io::Result<()> {
    let listener = TcpListener::bind(options.address)?;
    let executor = Arc::new(Executor {
        options,
        born: unix_ms(),
        started: Instant::now(),
        state: Mutex::default(),
        ended: Condvar::new(),
    });
    let announcing = Arc::clone(&executor);
    thread::spawn(move || announcing.announce());
    let ticking = Arc::clone(&executor);
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(2));
            ticking.settle(&mut ticking.lock());
        }
    });
    for stream in listener.incoming() {
        let (stream, executor) = (stream?, Arc::clone(&executor));
        thread::spawn(move || {
            if let Err(error) = executor.serve(stream) {
                eprintln!("connection: {error}");
            }
        });
    }
    Ok(())
}

impl Executor {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the state")
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn announce(&self) {
        let options = &self.options;
        let labels: Vec<String> = options.labels.iter().map(|l| format!("\"{l}\"")).collect();
        let mut sequence = 0;
        loop {
            sequence += 1;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\
                 \"mem_mb\":65536,\"gpu\":0}},\"labels\":[{}],\"clock_ms\":{},\"sequence\":{sequence},\
                 \"born\":{}}}",
                options.service,
                options.address,
                options.zone,
                options.cpu,
                labels.join(","),
                self.clock(),
                self.born
            );
            let path = format!("/instances/{}", options.id);
            let answer = http::request(options.agent, "PUT", &path, &[], &body, ACK_LIMIT);
            let acked = answer.is_ok_and(|answer| (200..300).contains(&answer.status()));
            if acked {
                self.log(format_args!("beat"));
            }
            thread::sleep(if acked { HEARTBEAT } else { HEARTBEAT_RETRY });
        }
    }

    fn log(&self, text: std::fmt::Arguments<'_>) {
        println!("{} {} {text}", unix_ms(), self.options.id);
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read_message(&mut reader)? {
            let expected = request.header("x-expect-instance");
            let (status, body) = if expected.is_some_and(|id| id != self.options.id) {
                (421, String::new())
            } else {
                let path = request.start.split(' ').nth(1).unwrap_or_default();
                let body = json::parse(&request.body);
                self.answer(path, body.as_ref())
            };
            http::respond(&mut stream, status, &body)?;
        }
        Ok(())
    }

    fn answer(&self, path: &str, body: Option<&Value>) -> (u16, String) {
        let Some(body) = body else {
            return (if path == "/healthz" { 200 } else { 400 }, String::new());
        };
        let mut state = self.lock();
        self.settle(&mut state);
        let token = body.number("fencing_token").unwrap_or(0);
        if token < state.token {
            return (
                409,
                format!("{{\"clock_ms\":{},\"reason\":\"fence\"}}", self.clock()),
            );
        }
        state.token = token;
        match path {
            "/run-start" => self.start(&mut state, body),
            "/run-stop" => self.stop(&mut state, body),
            "/hold" => self.hold(state, body),
            _ => (404, String::new()),
        }
    }

    fn extend_lease(&self, state: &mut State, until: u64) {
        let longest = self.clock() + MAX_LEASE_MS;
        state.lease_until = state.lease_until.max(until.min(longest));
    }

    fn start(&self, state: &mut State, body: &Value) -> (u16, String) {
        let clock = self.clock();
        let ok = (200, format!("{{\"clock_ms\":{clock}}}"));
        let denied = |why: &str| {
            (
                409,
                format!("{{\"clock_ms\":{clock},\"reason\":\"{why}\"}}"),
            )
        };
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return (400, String::new());
        };
        let (Some(spec), Some(until)) = (body.text("spec"), body.number("until_ms")) else {
            return (400, String::new());
        };
        if state.running.iter().any(|r| r.task == task && r.run == run) {
            return ok;
        }
        if until <= clock {
            return denied("late");
        }
        self.extend_lease(state, until);
        if state.closed.get(task).is_some_and(|closed| run <= *closed) {
            return denied("old");
        }
        let cpu = word(spec, "cpu");
        let used: u64 = state.running.iter().map(|r| r.cpu).sum();
        if used + cpu > self.options.cpu {
            return denied("room");
        }
        self.log(format_args!("start task={task} run={run}"));
        state.running.push(Run {
            task: task.to_owned(),
            run,
            cpu,
            fails: word(spec, "fails") > 0,
            started: clock,
            work: word(spec, "work"),
            stop_at: None,
        });
        ok
    }

    fn stop(&self, state: &mut State, body: &Value) -> (u16, String) {
        let clock = self.clock();
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return (400, String::new());
        };
        let found = state
            .running
            .iter_mut()
            .find(|r| r.task == task && r.run == run);
        if let Some(found) = found {
            found.stop_at.get_or_insert(clock + STOP_MS);
        } else {
            close(state, task, run);
        }
        (200, format!("{{\"clock_ms\":{clock}}}"))
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Value) -> (u16, String) {
        if let Some(until) = body.number("until_ms") {
            self.extend_lease(&mut state, until);
        }
        let seen = body.number("last_seen").unwrap_or(0);
        state.ended.retain(|(number, ..)| *number > seen);
        let wait = body.number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let deadline = Instant::now() + Duration::from_millis(wait);
        while state.ended.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.ended.wait_timeout(state, left);
            state = waited.expect("no thread panics while it holds the state").0;
        }
        let clock = self.clock();
        let running = state.running.iter().map(|r| {
            let percent = (clock - r.started) * 100 / r.work.max(1);
            let (task, run) = (&r.task, r.run);
            format!("[\"{task}\",{run},\"\",{},{}]", percent.min(99), r.cpu)
        });
        let running: Vec<String> = running.collect();
        let ended = state
            .ended
            .iter()
            .take(MAX_ENDS)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"));
        let ended: Vec<String> = ended.collect();
        let text = format!(
            "{{\"clock_ms\":{clock},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.born,
            running.join(","),
            ended.join(",")
        );
        (200, text)
    }

    /// Ends the runs whose time has come.
    fn settle(&self, state: &mut State) {
        let clock = self.clock();
        let lapsed = clock > state.lease_until;
        let mut at = 0;
        while let Some(run) = state.running.get(at) {
            let how = match run.stop_at {
                Some(stop) if clock >= stop => "stopped",
                _ if clock >= run.started + run.work && run.fails => "failed",
                _ if clock >= run.started + run.work => "done",
                _ if lapsed => "lapsed",
                _ => {
                    at += 1;
                    continue;
                }
            };
            let run = state.running.remove(at);
            self.log(format_args!(
                "end task={} run={} how={how}",
                run.task, run.run
            ));
            close(state, &run.task, run.run);
            state.last_number += 1;
            let number = state.last_number;
            state.ended.push((number, run.task, run.run, how));
            self.ended.notify_all();
        }
    }
}

fn close(state: &mut State, task: &str, run: u64) {
    let closed = state.closed.entry(task.to_owned()).or_insert(run);
    *closed = run.max(*closed);
}

/// The number after `name=` in the text of a job.
fn word(spec: &str, name: &str) -> u64 {
    let mut words = spec
        .split_whitespace()
        .filter_map(|word| word.split_once('='));
    let found = words.find(|(key, _)| *key == name);
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}
