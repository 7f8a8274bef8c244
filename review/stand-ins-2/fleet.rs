//! A small deployment on loopback addresses: the project's program in its three roles, stand-in
//! executors, a client and an operator.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::executor::{Executor, Kind};
use crate::http::{self, Reply};
use crate::record::Record;

const PROGRAM: &str = "target/release/fulmardrift-platform";
const CONTROL_PORT: u16 = 8166;
const CALLER_PORT: u16 = 8161;
const READINESS_PORT: u16 = 8167;
const APP_PORT: u16 = 8165;
const METRICS_PORT: u16 = 9464;
const SESSION_PORTS: (u16, u16) = (7720, 7735);
const ZONES: [&str; 3] = ["loom-a", "loom-b", "loom-c"];
/// Machines that a settings file names as seeds.
const SEEDS: u8 = 3;
/// How long a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// A client without an answer sends its job again after this time: `resend_ms`.
const RESEND: Duration = Duration::from_millis(1_300);
/// The play is given up after this time.
const MAX_PLAY: Duration = Duration::from_secs(112);

/// The class of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Core,
    Frontend,
    Side,
}

impl Class {
    fn first_host(self) -> u8 {
        match self {
            Self::Core => 1,
            Self::Frontend => 21,
            Self::Side => 41,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Core => "core",
            Self::Frontend => "frontend",
            Self::Side => "side",
        }
    }
}

/// A machine, by its class and its number from 0.
pub type Machine = (Class, u8);

/// What the deployment has.
#[derive(Debug, Clone)]
pub struct Sizes {
    pub cores: u8,
    pub frontends: u8,
    /// Executors, each with its machine of class `side`.
    pub executors: Vec<Kind>,
}

type Children = Arc<Mutex<Vec<(Machine, Child)>>>;

pub struct Fleet {
    pub record: Record,
    pub executors: Vec<Executor>,
    sizes: Sizes,
    network: [u8; 2],
    directory: PathBuf,
    children: Children,
    case: PathBuf,
}

/// Ends with this code after all processes have ended.
fn end(children: &Children, directory: &PathBuf, code: i32) -> ! {
    let mut children = children.lock().unwrap_or_else(PoisonError::into_inner);
    for (_, child) in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(directory);
    } else {
        println!("logs: {}", directory.display());
    }
    exit(code)
}

impl Fleet {
    /// Starts all processes, and waits until the frontends are ready with the first configuration.
    pub fn start(case: PathBuf, sizes: Sizes, config: &str) -> Self {
        let fleet = Self::begin(case, sizes);
        fleet.configure(config);
        fleet.await_ready();
        fleet
    }

    /// Starts all processes.
    pub fn begin(case: PathBuf, sizes: Sizes) -> Self {
        let record = Record::new();
        let network = free_network(&sizes);
        let directory = std::env::temp_dir().join(format!("play-{}", std::process::id()));
        let mut fleet = Self {
            record,
            executors: Vec::new(),
            sizes,
            network,
            directory,
            children: Children::default(),
            case,
        };
        if let Err(error) = fs::create_dir_all(&fleet.directory) {
            fleet.give_up(&format!("no temporary folder: {error}"));
        }
        let (children, directory) = (Arc::clone(&fleet.children), fleet.directory.clone());
        thread::spawn(move || {
            thread::sleep(MAX_PLAY);
            eprintln!("the play takes too long");
            end(&children, &directory, 2);
        });
        for number in 0..fleet.sizes.cores {
            fleet.spawn((Class::Core, number), true);
        }
        for number in 0..fleet.sizes.frontends {
            fleet.spawn((Class::Frontend, number), true);
        }
        for number in 0..fleet.side_count() {
            fleet.spawn((Class::Side, number), true);
            let executor = fleet.start_executor(number);
            fleet.executors.push(executor);
        }
        fleet
    }

    fn side_count(&self) -> u8 {
        u8::try_from(self.sizes.executors.len()).unwrap_or(u8::MAX)
    }

    /// Starts a life of the executor on a machine of class `side`.
    pub fn start_executor(&self, number: u8) -> Executor {
        let kind = self.sizes.executors[usize::from(number)].clone();
        let ip = self.ip((Class::Side, number));
        self.record.note(format!("executor {} starts", kind.id));
        Executor::start(kind, ip, (APP_PORT, CONTROL_PORT), &self.record)
    }

    /// Ends the play as one that could not run.
    pub fn give_up(&self, why: &str) -> ! {
        self.record.note(format!("cannot run: {why}"));
        self.record.write(&self.case.join("record.txt"));
        end(&self.children, &self.directory, 2)
    }

    /// Ends the play with a verdict.
    pub fn finish(&self, is_broken: bool, verdict: &str) -> ! {
        self.record.note(format!(
            "verdict: {}: {verdict}",
            if is_broken { "BROKEN" } else { "held" }
        ));
        self.record.write(&self.case.join("record.txt"));
        end(&self.children, &self.directory, i32::from(is_broken))
    }

    pub fn ip(&self, (class, number): Machine) -> Ipv4Addr {
        let [a, b] = self.network;
        Ipv4Addr::new(127, a, b, class.first_host() + number)
    }

    fn settings(&self, machine: Machine, is_first: bool) -> String {
        let (class, number) = machine;
        let ip = self.ip(machine);
        let zone = zone(number);
        let name = name(machine);
        let seeds: Vec<String> = (0..SEEDS)
            .map(|core| format!("\"{}:{CONTROL_PORT}\"", self.ip((Class::Core, core))))
            .collect();
        let (serves, listen, rest) = match class {
            Class::Core => (
                "control_plane",
                format!("\"control\":\"{ip}:{CONTROL_PORT}\""),
                format!("\"data_dir\":\"{}/{name}\",", self.directory.display()),
            ),
            Class::Frontend => (
                "frontend",
                format!(
                    "\"frontend\":\"{ip}:{CALLER_PORT}\",\"readiness\":\"{ip}:{READINESS_PORT}\""
                ),
                "\"data_dir\":null,".to_owned(),
            ),
            Class::Side => (
                "side",
                format!("\"control\":\"{ip}:{CONTROL_PORT}\""),
                format!("\"app\":\"{ip}:{APP_PORT}\","),
            ),
        };
        let (memory, fds, disk) = match class {
            Class::Core => (256, 4_096, 128),
            Class::Frontend => (260, 4_100, 0),
            Class::Side => (128, 4_096, 0),
        };
        let is_core = class == Class::Core;
        format!(
            "{{\"node_name\":\"{name}\",\"role\":\"{}\",\"machine_class\":\"{}\",\
             \"serves\":[\"{serves}\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\
             \"region\":\"fraser-west\",\"internal_ports\":[{},{}],\"seeds\":[{}],\
             \"bootstrap\":{is_first},\"counts_as_loss\":{is_core},{rest}\
             \"listen_addresses\":{{{listen}}},\"heartbeat_ms\":1500,\
             \"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":{memory},\
             \"max_fds\":{fds},\"link_mbps\":1000.0,\"disk_mb\":{disk}}},\
             \"fault_tolerance\":{{\"machines\":{},\"zones\":1,\"regions\":0}},\
             \"bounds\":{{\"contact_ms\":3000,\"ack_ms\":4000,\"grace_s\":6,\
             \"config_apply_ms\":2000,\"hold_max_ms\":1000,\"stop_ms\":50,\"cancel_ms\":3000,\
             \"visible_ms\":3000,\"finish_s\":14,\"status_s\":120,\"resend_ms\":1300}},\
             \"config_mode\":\"highest\",\"commands\":\"invocation\"}}",
            class.name(),
            class.name(),
            SESSION_PORTS.0,
            SESSION_PORTS.1,
            seeds.join(","),
            self.sizes.cores / 2,
        )
    }

    /// Starts the process of a machine; `is_first` when the whole system starts.
    pub fn spawn(&self, machine: Machine, is_first: bool) {
        let (class, number) = machine;
        let file = self
            .directory
            .join(format!("{}-{number}.json", class.name()));
        let log = self
            .directory
            .join(format!("{}-{number}.log", class.name()));
        let opened = fs::write(&file, self.settings(machine, is_first))
            .and_then(|()| File::options().create(true).append(true).open(&log))
            .and_then(|log| Ok((log.try_clone()?, log)));
        let (out, errors) = match opened {
            Ok(files) => files,
            Err(error) => self.give_up(&format!("files of a process: {error}")),
        };
        let spawned = Command::new(PROGRAM)
            .env("FULMARDRIFT_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(errors)
            .spawn();
        match spawned {
            Ok(child) => {
                self.record
                    .note(format!("{}-{number} starts", class.name()));
                let mut children = self.children.lock().unwrap_or_else(PoisonError::into_inner);
                children.push((machine, child));
            }
            Err(error) => self.give_up(&format!("{PROGRAM}: {error}")),
        }
    }

    /// Kills the process of a machine.
    pub fn kill(&self, machine: Machine) {
        let (class, number) = machine;
        self.record
            .note(format!("{}-{number} is killed", class.name()));
        let mut children = self.children.lock().unwrap_or_else(PoisonError::into_inner);
        children.retain_mut(|(known, child)| {
            if *known == machine {
                let _ = child.kill();
                let _ = child.wait();
            }
            *known != machine
        });
    }

    /// Removes the files of a core whose process has been killed.
    pub fn lose_disk(&self, core: u8) {
        self.record.note(format!("core-{core} has lost its disk"));
        if let Err(error) = fs::remove_dir_all(self.directory.join(name((Class::Core, core)))) {
            self.give_up(&format!("a disk cannot be removed: {error}"));
        }
    }

    /// One call of the operator to one core, without following a redirect.
    pub fn operate_at(&self, core: u8, call: (&str, &str), body: &str) -> std::io::Result<Reply> {
        http::call(self.control(core), call, &[], body, Duration::from_secs(1))
    }

    fn control(&self, core: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip((Class::Core, core)), CONTROL_PORT)
    }

    /// The operator's call: goes to any core, follows redirects, and is sent again without a clear
    /// answer.
    pub fn operate(&self, method: &str, path: &str, body: &str) -> Reply {
        let wait = Duration::from_secs(1);
        for attempt in 0..100_u8 {
            let mut to = self.control(attempt % self.sizes.cores);
            for _ in 0..3 {
                let Ok(reply) = http::call(to, (method, path), &[], body, wait) else {
                    break;
                };
                if reply.status == 307 {
                    let place = reply.location.as_deref().unwrap_or_default();
                    let place = place.trim_start_matches("http://");
                    match place.split('/').next().and_then(|text| text.parse().ok()) {
                        Some(next) => to = next,
                        None => break,
                    }
                    continue;
                }
                if reply.status < 500 {
                    return reply;
                }
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.give_up(&format!("{method} {path} has no clear answer"))
    }

    /// Puts a configuration in force.
    pub fn configure(&self, config: &str) {
        let reply = self.operate("PUT", "/config", config);
        let version = http::number(config, "version").unwrap_or(0);
        self.record
            .note(format!("PUT /config version {version}: {}", reply.status));
        if reply.status != 200 {
            self.give_up("a configuration is refused");
        }
    }

    fn await_ready(&self) {
        for number in 0..self.sizes.frontends {
            let at = SocketAddrV4::new(self.ip((Class::Frontend, number)), READINESS_PORT);
            let mut tries = 0;
            loop {
                let answer = http::call(at, ("GET", "/readyz"), &[], "", Duration::from_secs(1));
                if answer.is_ok_and(|reply| reply.status == 200) {
                    break;
                }
                tries += 1;
                if tries > 150 {
                    self.give_up("a frontend is not ready");
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        // All executors are known by then.
        thread::sleep(Duration::from_secs(3));
        self.record.note("all are ready");
    }

    /// A call of a client to a frontend.
    pub fn client(&self, frontend: u8, call: (&str, &str), body: &str) -> std::io::Result<Reply> {
        let to = SocketAddrV4::new(self.ip((Class::Frontend, frontend)), CALLER_PORT);
        let wait = DEADLINE.as_millis().to_string();
        let headers = [("host", "nony24.example"), ("x-deadline-ms", wait.as_str())];
        http::call(to, call, &headers, body, DEADLINE)
    }

    /// Hands a job in until it is accepted: after no answer, 502, 503 or 504 once more, at the next
    /// frontend.
    pub fn submit(&self, path: &str, body: &str) {
        for attempt in 0..10_u8 {
            let frontend = attempt % self.sizes.frontends;
            let reply = self.client(frontend, ("POST", path), body);
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            self.record.note(format!(
                "client POST {path} at frontend-{frontend}: {status}"
            ));
            match status {
                200..300 => return,
                0 | 429 | 502..=504 => thread::sleep(RESEND),
                _ => self.give_up("a job is refused"),
            }
        }
        self.give_up("a job is not accepted")
    }

    /// The state of a job as a client reads it; empty if there is no clear answer.
    pub fn state(&self, path: &str) -> String {
        for frontend in 0..self.sizes.frontends {
            match self.client(frontend, ("GET", path), "") {
                Ok(reply) if reply.status == 200 => {
                    return http::string(&reply.body, "state").unwrap_or_default();
                }
                Ok(reply) if reply.status == 410 => return "410".to_owned(),
                _ => {}
            }
        }
        String::new()
    }

    /// Waits for a state of a job, at most for this many milliseconds. Returns the last one read.
    pub fn await_state(&self, path: &str, wanted: &[&str], wait_ms: u64) -> String {
        let until = self.record.now() + wait_ms;
        let mut last = String::new();
        loop {
            let state = self.state(path);
            if state != last {
                self.record.note(format!("client GET {path}: {state:?}"));
                last.clone_from(&state);
            }
            if wanted.contains(&state.as_str()) || self.record.now() >= until {
                return last;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

fn zone(number: u8) -> &'static str {
    ZONES[usize::from(number) % ZONES.len()]
}

/// The name of a machine, which is also that of its disk.
fn name((class, number): Machine) -> String {
    format!("{}-{}-{number}", class.name(), zone(number))
}

/// Two numbers of a loopback network whose addresses are free.
fn free_network(sizes: &Sizes) -> [u8; 2] {
    let seed = std::process::id();
    for step in 0..200 {
        let [a, b, ..] =
            (seed.wrapping_mul(2_654_435_761).wrapping_add(step * 7_919)).to_le_bytes();
        let network = [1 + a % 250, b];
        let [a, b] = network;
        let mut hosts: Vec<u8> = (1..=sizes.cores).collect();
        hosts.extend(21..21 + sizes.frontends);
        hosts.extend(
            (0..)
                .zip(&sizes.executors)
                .map(|(number, _): (u8, _)| 41 + number),
        );
        let ports = [
            CONTROL_PORT,
            CALLER_PORT,
            READINESS_PORT,
            APP_PORT,
            METRICS_PORT,
            SESSION_PORTS.0,
        ];
        let is_free = hosts.iter().all(|host| {
            let ip = Ipv4Addr::new(127, a, b, *host);
            ports
                .iter()
                .all(|port| TcpListener::bind(SocketAddrV4::new(ip, *port)).is_ok())
        });
        if is_free {
            return network;
        }
    }
    eprintln!("no free loopback addresses");
    exit(2)
}
