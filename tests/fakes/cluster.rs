//! A cluster of real processes on loopback, with a temporary folder for its files.

#![allow(dead_code)]

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Longest time that a test waits for a condition; generous, for slow machines.
const TIMEOUT: Duration = Duration::from_mins(1);

pub struct Cluster {
    pub folder: tempfile::TempDir,
    pub group: Vec<u16>,
    pub admin: Vec<u16>,
    pub callers: Vec<u16>,
    pub servers: Vec<u16>,
    pub running: Vec<(String, Child)>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, child) in &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The ports lie below the range that the system uses for outgoing connections.
const FIRST_PORT: u16 = 12_000;
const PORTS_PER_PROCESS: u16 = 200;
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns ports on which nothing listens, each only once in this process.
fn free_ports(count: usize) -> Vec<u16> {
    let block = u16::try_from(std::process::id() % 100).unwrap();
    let first = FIRST_PORT + block * PORTS_PER_PROCESS;
    let mut free = Vec::new();
    while free.len() < count {
        let port = first + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            free.push(port);
        }
    }
    free
}

/// Status and body of an HTTP response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    pub status: u16,
    pub body: String,
}

impl Cluster {
    /// Starts three control instances, two entries, and an agent with a backend server for each of
    /// `speeds`, each in a data centre of its own. Returns once both entries can run a job.
    pub fn start(speeds: &[f64]) -> Self {
        let mut cluster = Self {
            folder: tempfile::tempdir().unwrap(),
            group: free_ports(3),
            admin: free_ports(3),
            callers: free_ports(2),
            servers: free_ports(speeds.len()),
            running: Vec::new(),
        };
        for i in 0..3 {
            cluster.spawn(&format!("control-{}", i + 1));
        }
        for i in 0..2 {
            let [peers] = free_ports(1)[..] else {
                unreachable!()
            };
            let role = format!(
                "[entry]\ncallers = \"127.0.0.1:{}\"\npeers = \"127.0.0.1:{peers}\"\n",
                cluster.callers[i]
            );
            cluster.write_config(&format!("entry-{i}"), "dc0", &role);
            cluster.spawn(&format!("entry-{i}"));
        }
        for (i, speed) in speeds.iter().enumerate() {
            let [peers, announce] = free_ports(2)[..] else {
                unreachable!()
            };
            let data_centre = format!("dc{i}");
            let agent = format!(
                "[agent]\npeers = \"127.0.0.1:{peers}\"\nannounce = \"127.0.0.1:{announce}\"\n"
            );
            cluster.write_config(&format!("agent-{i}"), &data_centre, &agent);
            cluster.spawn(&format!("agent-{i}"));
            let server = format!(
                "[stand_in]\nlisten = \"127.0.0.1:{}\"\nagent = \"127.0.0.1:{announce}\"\n\
                 service = \"proof\"\nslots = 4\nspeed = {speed:.1}\n",
                cluster.servers[i]
            );
            cluster.write_config(&format!("stand-in-{i}"), &data_centre, &server);
            cluster.spawn(&format!("stand-in-{i}"));
        }
        let members = 2 + speeds.len();
        cluster.wait_until("every process has joined", |s| {
            let status = s.run_tool(&["status", "--json"]);
            let text = String::from_utf8_lossy(&status.stdout).into_owned();
            text.matches("\"incarnation\"").count() == members
        });
        for i in 0..2 {
            cluster.wait_until("an entry reaches backend servers", |s| {
                let job = r#"{"service":"proof","tasks":[{"payload":"x"}]}"#;
                s.submit(i, None, job).is_some_and(|a| a.status == 200)
            });
        }
        cluster
    }

    fn write_config(&self, name: &str, data_centre: &str, role: &str) {
        let mut text = format!(
            "name = \"{name}\"\nregion = \"r1\"\ndata_centre = \"{data_centre}\"\n\
             log_level = \"debug\"\n"
        );
        for (i, port) in self.group.iter().enumerate() {
            let id = i + 1;
            write!(
                text,
                "[[group]]\nid = {id}\naddress = \"127.0.0.1:{port}\"\n"
            )
            .unwrap();
        }
        std::fs::write(self.path(name, "toml"), text + role).unwrap();
    }

    fn path(&self, name: &str, kind: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.{kind}"))
    }

    /// Starts a process. A control instance's configuration is written first.
    pub fn spawn(&mut self, name: &str) {
        if let Some(id) = name.strip_prefix("control-") {
            let at = id.parse::<usize>().unwrap() - 1;
            let role = format!(
                "[control]\nid = {id}\nadmin = \"127.0.0.1:{}\"\ndata = \"{}\"\n",
                self.admin[at],
                self.path(name, "data").display()
            );
            self.write_config(name, &format!("dc{at}"), &role);
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.path(name, "log"))
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_fulmardriftd"))
            .arg("run")
            .arg(self.path(name, "toml"))
            .stderr(log)
            .spawn()
            .unwrap();
        self.running.push((name.to_owned(), child));
    }

    pub fn log_text(&self, name: &str) -> String {
        std::fs::read_to_string(self.path(name, "log")).unwrap_or_default()
    }

    pub fn signal(&self, name: &str, signal: &str) {
        let (_, child) = self.running.iter().find(|(n, _)| n == name).unwrap();
        let id = child.id().to_string();
        assert!(
            Command::new("kill")
                .args([signal, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Kills a process and removes it from the list.
    pub fn kill(&mut self, name: &str) {
        let at = self.running.iter().position(|(n, _)| n == name).unwrap();
        let (_, mut child) = self.running.remove(at);
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Waits until a process has exited by itself, and returns its exit code.
    pub fn wait_for_exit(&mut self, name: &str) -> Option<i32> {
        let at = self.running.iter().position(|(n, _)| n == name).unwrap();
        let (_, mut child) = self.running.remove(at);
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::yield_now();
        }
        let _ = child.kill();
        panic!("{name} did not end: {}", self.log_text(name));
    }

    pub fn wait_until(&self, what: &str, done: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !done(self) {
            assert!(start.elapsed() < TIMEOUT, "timed out: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn run_tool(&self, args: &[&str]) -> Output {
        let control: Vec<String> = self
            .admin
            .iter()
            .map(|p| format!("127.0.0.1:{p}"))
            .collect();
        Command::new(env!("CARGO_BIN_EXE_fulmardrift"))
            .args(args)
            .env("FULMARDRIFT_CONTROL", control.join(","))
            .env("USER", "ana")
            .stdin(Stdio::null())
            .output()
            .unwrap()
    }

    pub fn leader(&self) -> String {
        let status = self.run_tool(&["status", "--json"]);
        let status: serde_json::Value = serde_json::from_slice(&status.stdout).unwrap();
        format!("control-{}", status["leader"])
    }

    pub fn submit(&self, entry: usize, key: Option<&str>, body: &str) -> Option<HttpResponse> {
        let key = key
            .map(|k| format!("idempotency-key: {k}\r\n"))
            .unwrap_or_default();
        send_http(self.callers[entry], "POST", "/v1/jobs?wait=60s", &key, body)
    }

    pub fn get(&self, entry: usize, path: &str) -> Option<HttpResponse> {
        send_http(self.callers[entry], "GET", path, "", "")
    }

    /// Sum of a count over all backend servers.
    pub fn sum_of_counts(&self, name: &str) -> u64 {
        let counts = self.servers.iter().map(|port| {
            let answer = send_http(*port, "GET", "/counts", "", "").unwrap();
            let value: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
            value[name].as_u64().unwrap()
        });
        counts.sum()
    }
}

/// Sends one request over a new connection; `None` when it gets no complete response.
pub fn send_http(
    port: u16,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> Option<HttpResponse> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let body = answer.split_once("\r\n\r\n")?.1.to_owned();
    Some(HttpResponse { status, body })
}

/// The body of a job with `count` tasks of `work_ms` milliseconds each.
pub fn job_body(count: usize, work_ms: u64) -> String {
    let tasks: Vec<String> = (0..count)
        .map(|i| format!(r#"{{"payload":"{{\"work_ms\":{work_ms},\"i\":{i}}}"}}"#))
        .collect();
    format!(r#"{{"service":"proof","tasks":[{}]}}"#, tasks.join(","))
}
