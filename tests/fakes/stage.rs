//! Real processes on loopback, with a work folder of their own.

#![allow(dead_code)]

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Longest that anything awaited may take on a slow machine.
const PATIENCE: Duration = Duration::from_mins(1);

pub struct Stage {
    pub folder: tempfile::TempDir,
    pub group: Vec<u16>,
    pub admin: Vec<u16>,
    pub callers: Vec<u16>,
    pub servers: Vec<u16>,
    pub running: Vec<(String, Child)>,
}

impl Drop for Stage {
    fn drop(&mut self) {
        for (_, child) in &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Below the range that the system takes for outgoing connections.
const FIRST_PORT: u16 = 12_000;
const PORTS_A_PROCESS: u16 = 200;
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Ports that nothing listens at, each given out once in this process.
fn ports(count: usize) -> Vec<u16> {
    let block = u16::try_from(std::process::id() % 100).unwrap();
    let first = FIRST_PORT + block * PORTS_A_PROCESS;
    let mut free = Vec::new();
    while free.len() < count {
        let port = first + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            free.push(port);
        }
    }
    free
}

/// An HTTP answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Stage {
    /// Three control instances, two entries, and a backend server of each speed,
    /// one in each data centre.
    pub fn start(speeds: &[f64]) -> Self {
        let mut stage = Self {
            folder: tempfile::tempdir().unwrap(),
            group: ports(3),
            admin: ports(3),
            callers: ports(2),
            servers: ports(speeds.len()),
            running: Vec::new(),
        };
        for i in 0..3 {
            stage.run(&format!("control-{}", i + 1));
        }
        for i in 0..2 {
            let [peers] = ports(1)[..] else {
                unreachable!()
            };
            let role = format!(
                "[entry]\ncallers = \"127.0.0.1:{}\"\npeers = \"127.0.0.1:{peers}\"\n",
                stage.callers[i]
            );
            stage.write(&format!("entry-{i}"), "dc0", &role);
            stage.run(&format!("entry-{i}"));
        }
        for (i, speed) in speeds.iter().enumerate() {
            let [peers, announce] = ports(2)[..] else {
                unreachable!()
            };
            let data_centre = format!("dc{i}");
            let agent = format!(
                "[agent]\npeers = \"127.0.0.1:{peers}\"\nannounce = \"127.0.0.1:{announce}\"\n"
            );
            stage.write(&format!("agent-{i}"), &data_centre, &agent);
            stage.run(&format!("agent-{i}"));
            let server = format!(
                "[stand_in]\nlisten = \"127.0.0.1:{}\"\nagent = \"127.0.0.1:{announce}\"\n\
                 service = \"proof\"\nslots = 4\nspeed = {speed:.1}\n",
                stage.servers[i]
            );
            stage.write(&format!("stand-in-{i}"), &data_centre, &server);
            stage.run(&format!("stand-in-{i}"));
        }
        let members = 2 + speeds.len();
        stage.until("every process has joined", |s| {
            let status = s.tool(&["status", "--json"]);
            let text = String::from_utf8_lossy(&status.stdout).into_owned();
            text.matches("\"incarnation\"").count() == members
        });
        for i in 0..2 {
            stage.until("an entry reaches backend servers", |s| {
                let job = r#"{"service":"proof","tasks":[{"payload":"x"}]}"#;
                s.submit(i, None, job).is_some_and(|a| a.status == 200)
            });
        }
        stage
    }

    fn write(&self, name: &str, data_centre: &str, role: &str) {
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

    /// Starts a process; a control instance's settings are written here.
    pub fn run(&mut self, name: &str) {
        if let Some(id) = name.strip_prefix("control-") {
            let at = id.parse::<usize>().unwrap() - 1;
            let role = format!(
                "[control]\nid = {id}\nadmin = \"127.0.0.1:{}\"\ndata = \"{}\"\n",
                self.admin[at],
                self.path(name, "data").display()
            );
            self.write(name, &format!("dc{at}"), &role);
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

    pub fn log(&self, name: &str) -> String {
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

    /// Kills a process and forgets it.
    pub fn kill(&mut self, name: &str) {
        let at = self.running.iter().position(|(n, _)| n == name).unwrap();
        let (_, mut child) = self.running.remove(at);
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Waits for a process to end by itself, and returns its exit code.
    pub fn wait(&mut self, name: &str) -> Option<i32> {
        let at = self.running.iter().position(|(n, _)| n == name).unwrap();
        let (_, mut child) = self.running.remove(at);
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::yield_now();
        }
        let _ = child.kill();
        panic!("{name} did not end: {}", self.log(name));
    }

    pub fn until(&self, what: &str, done: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !done(self) {
            assert!(start.elapsed() < PATIENCE, "never: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn tool(&self, args: &[&str]) -> Output {
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
        let status = self.tool(&["status", "--json"]);
        let status: serde_json::Value = serde_json::from_slice(&status.stdout).unwrap();
        format!("control-{}", status["leader"])
    }

    pub fn submit(&self, entry: usize, key: Option<&str>, body: &str) -> Option<Answer> {
        let key = key
            .map(|k| format!("idempotency-key: {k}\r\n"))
            .unwrap_or_default();
        http(self.callers[entry], "POST", "/v1/jobs?wait=60s", &key, body)
    }

    pub fn get(&self, entry: usize, path: &str) -> Option<Answer> {
        http(self.callers[entry], "GET", path, "", "")
    }

    /// Sum of a count over all stand-ins.
    pub fn count(&self, name: &str) -> u64 {
        let counts = self.servers.iter().map(|port| {
            let answer = http(*port, "GET", "/counts", "", "").unwrap();
            let value: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
            value[name].as_u64().unwrap()
        });
        counts.sum()
    }
}

/// One request over a connection of its own.
pub fn http(port: u16, method: &str, path: &str, headers: &str, body: &str) -> Option<Answer> {
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
    Some(Answer { status, body })
}

/// A job of `count` tasks of `work_ms` each.
pub fn job(count: usize, work_ms: u64) -> String {
    let tasks: Vec<String> = (0..count)
        .map(|i| format!(r#"{{"payload":"{{\"work_ms\":{work_ms},\"i\":{i}}}"}}"#))
        .collect();
    format!(r#"{{"service":"proof","tasks":[{}]}}"#, tasks.join(","))
}
