//! The processes of one small deployment, on loopback addresses, and those who call them.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::executor::{HEARTBEAT, MUTE_HEADER, Options};
use crate::http::{self, Message};
use crate::record::{Record, unix_ms};

pub const SERVICE: &str = "monogram-desk";
pub const HOST: &str = "orders.example";
/// Path prefix of the only queue.
pub const QUEUE: &str = "/queue/";

const DEPLOY_FILE: &str = "deploy/system.toml";
const CONTROLS: u8 = 3;
const ZONES: [&str; 3] = ["loom-a", "loom-b", "loom-c"];
/// Ports from the base port on: `internal_ports`, and then one for each interface.
const INTERNAL: u16 = 16;
const CONTROL: u16 = 16;
const FRONTEND: u16 = 17;
const READINESS: u16 = 18;
const APP: u16 = 19;
const METRICS_PORT: u16 = 9464;
/// The part of the settings that is the same for all processes.
const LIMITS: &str = "[fault_tolerance]
machines = 1
zones = 1
regions = 0

[bounds]
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
evacuate_ms = 5000
recovery_s = 12
hold_max_ms = 1000
stop_ms = 50
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
lease_ms = 3000
resend_ms = 1300
";
/// Longest time that a caller of the control plane or of readiness waits.
const CALL_WAIT: Duration = Duration::from_secs(1);
const START_LIMIT: Duration = Duration::from_secs(20);
/// A process is killed this long after SIGTERM, `grace_s`.
const GRACE: Duration = Duration::from_secs(6);
const POLL: Duration = Duration::from_millis(100);

/// Whether a process is an executor or one of the project's own.
enum Program {
    Project {
        words: Vec<String>,
        settings: PathBuf,
    },
    Executor(Options),
}

struct Process {
    program: Program,
    child: Option<Child>,
    log: PathBuf,
}

/// How large the deployment is.
pub struct Size {
    pub entries: u8,
    pub executors: u8,
    /// Capacity of each executor, in thousandths of a core.
    pub cpu: u64,
}

pub struct Fleet {
    pub record: Record,
    size: Size,
    folder: PathBuf,
    // The first two bytes after 127 of all addresses.
    net: (u8, u8),
    port: u16,
    processes: HashMap<String, Process>,
    lives: HashMap<u8, u32>,
}

impl Fleet {
    /// Starts the control instances, the entries, and executors with their agents, and waits until
    /// they can serve.
    pub fn start(record: Record, size: Size) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (net, port) = find_addresses(&size)?;
        let mut fleet = Self {
            record,
            size,
            folder,
            net,
            port,
            processes: HashMap::new(),
            lives: HashMap::new(),
        };
        let commands = deploy_commands()?;
        for number in 1..=CONTROLS {
            fleet.add_project(&commands, "control_plane", "core", number)?;
        }
        for number in 1..=fleet.size.entries {
            fleet.add_project(&commands, "frontend", "frontend", number)?;
        }
        for number in 1..=fleet.size.executors {
            fleet.add_project(&commands, "side", "side", number)?;
            fleet.start_executor(number)?;
            // Their heartbeats are spread over the interval.
            thread::sleep(HEARTBEAT / u32::from(fleet.size.executors));
        }
        fleet.put_config(1)?;
        fleet.wait_until_ready()?;
        // Each agent has heard its executor by then.
        thread::sleep(Duration::from_millis(2_500));
        fleet.record.note("the deployment is up");
        Ok(fleet)
    }

    fn ip(&self, class: &str, number: u8) -> Ipv4Addr {
        address_of(self.net, class, number)
    }

    fn at(&self, class: &str, number: u8, offset: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(class, number), self.port + offset)
    }

    /// Address at which an entry takes requests of clients.
    pub fn entry(&self, number: u8) -> SocketAddrV4 {
        self.at("frontend", number, FRONTEND)
    }

    fn add_project(
        &mut self,
        commands: &HashMap<String, String>,
        serves: &str,
        class: &str,
        number: u8,
    ) -> io::Result<()> {
        let name = format!("{class}-{number}");
        let command = commands.get(serves).ok_or(ErrorKind::NotFound)?;
        let words = command.split_whitespace().map(str::to_owned).collect();
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(serves, class, number))?;
        let process = Process {
            program: Program::Project { words, settings },
            child: None,
            log: self.folder.join(format!("{name}.log")),
        };
        self.processes.insert(name.clone(), process);
        self.start_process(&name)
    }

    fn settings(&self, serves: &str, class: &str, number: u8) -> String {
        let ip = self.ip(class, number);
        let zone = ZONES[usize::from(number - 1) % ZONES.len()];
        let seeds: Vec<String> = (1..=CONTROLS)
            .map(|number| format!("\"{}\"", self.at("core", number, CONTROL)))
            .collect();
        let mut own = String::new();
        let mut listen = format!("control = \"{}\"\n", self.at(class, number, CONTROL));
        match class {
            "core" => {
                let data = self.folder.join(format!("data-{number}"));
                own = format!("data_dir = \"{}\"\n", data.display());
            }
            "side" => own = format!("app = \"{}\"\n", self.at(class, number, APP)),
            _ => {
                let (frontend, ready) = (self.entry(number), self.at(class, number, READINESS));
                listen = format!("frontend = \"{frontend}\"\nreadiness = \"{ready}\"\n");
            }
        }
        let (first, last) = (self.port, self.port + INTERNAL - 1);
        let counts = class == "core";
        format!(
            "node_name = \"{class}-{zone}-{number}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"fraser-west\"\n\
             internal_ports = [{first},{last}]\nseeds = [{}]\nbootstrap = true\n\
             counts_as_loss = {counts}\n{own}discovery = \"local\"\nentry = \"vip\"\n\
             heartbeat_ms = 1500\nconfig_mode = \"highest\"\ncommands = \"invocation\"\n\n\
             [listen_addresses]\n{listen}\n{LIMITS}",
            seeds.join(",")
        )
    }

    /// Starts a process that is not running, with the settings that it had.
    pub fn start_process(&mut self, name: &str) -> io::Result<()> {
        let process = self.processes.get_mut(name).ok_or(ErrorKind::NotFound)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(&process.log)?;
        let mut command = match &process.program {
            Program::Project { words, settings } => {
                let mut command = Command::new(&words[0]);
                command.args(&words[1..]).env_clear();
                for kept in ["PATH", "HOME", "LANG"] {
                    if let Some(value) = std::env::var_os(kept) {
                        command.env(kept, value);
                    }
                }
                command
                    .env("FULMARDRIFT_NODE_FILE", settings)
                    .stdout(log.try_clone()?);
                command
            }
            Program::Executor(options) => {
                let mut command = Command::new(std::env::current_exe()?);
                command.args(options.to_args()).stdout(Stdio::piped());
                command
            }
        };
        let mut child = command.stdin(Stdio::null()).stderr(log).spawn()?;
        if let Some(output) = child.stdout.take() {
            self.record.follow(output);
        }
        process.child = Some(child);
        Ok(())
    }

    /// Ends a process with SIGKILL.
    pub fn kill(&mut self, name: &str) -> io::Result<()> {
        let process = self.processes.get_mut(name).ok_or(ErrorKind::NotFound)?;
        if let Some(mut child) = process.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Ends a process with SIGTERM and waits until it has ended.
    pub fn terminate(&mut self, name: &str) -> io::Result<()> {
        let process = self.processes.get_mut(name).ok_or(ErrorKind::NotFound)?;
        if let Some(mut child) = process.child.take() {
            let id = child.id().to_string();
            Command::new("kill").args(["-TERM", &id]).status()?;
            let limit = Instant::now() + GRACE;
            while child.try_wait()?.is_none() {
                if Instant::now() > limit {
                    child.kill()?;
                }
                thread::sleep(POLL);
            }
        }
        Ok(())
    }

    /// The control instance that answers for the group.
    pub fn leader(&self) -> Option<u8> {
        (1..=CONTROLS).find(|number| {
            let to = self.at("core", *number, CONTROL);
            let answer = http::request(to, "GET", "/config", &[], "", CALL_WAIT);
            answer.is_ok_and(|answer| answer.status() == 200)
        })
    }

    /// Has an executor answer nothing for a while; it does what it is told to.
    pub fn mute_executor(&self, number: u8, wait: Duration) -> io::Result<()> {
        let to = self.at("side", number, APP);
        let wait = wait.as_millis().to_string();
        let headers = [(MUTE_HEADER, wait.as_str())];
        http::request(to, "POST", "/mute", &headers, "", CALL_WAIT).map(|_| ())
    }

    /// Starts the next life of an executor.
    pub fn start_executor(&mut self, number: u8) -> io::Result<()> {
        let life = self.lives.entry(number).or_insert(0);
        *life += 1;
        let id = format!("i-{number:04x}{life:04x}");
        let zone = ZONES[usize::from(number - 1) % ZONES.len()];
        let options = Options {
            id,
            address: self.at("side", number, APP),
            agent: self.at("side", number, CONTROL),
            zone: zone.to_owned(),
            service: SERVICE.to_owned(),
            cpu: self.size.cpu,
            labels: vec!["a".to_owned(), format!("r1-{number}")],
        };
        let name = executor_name(number);
        let process = Process {
            program: Program::Executor(options),
            child: None,
            log: self.folder.join(format!("{name}.log")),
        };
        self.processes.insert(name.clone(), process);
        self.start_process(&name)
    }

    /// The id of an executor's present life.
    pub fn executor_id(&self, number: u8) -> String {
        match &self.processes[&executor_name(number)].program {
            Program::Executor(options) => options.id.clone(),
            Program::Project { .. } => unreachable!("executors are named apart"),
        }
    }

    /// The executor on which a task of the job runs.
    pub fn executor_of(&self, job: &str) -> Option<u8> {
        (1..=self.size.executors).find(|number| {
            let running = self.record.running_on(&self.executor_id(*number));
            running.iter().any(|(task, _)| task.starts_with(job))
        })
    }

    /// The executor whose next heartbeat is due first.
    pub fn next_to_beat(&self) -> u8 {
        let beats = |number: &u8| self.record.last_beat(&self.executor_id(*number));
        (1..=self.size.executors).min_by_key(beats).unwrap_or(1)
    }

    /// True if nothing runs on any executor.
    pub fn is_idle(&self) -> bool {
        let mut ids = (1..=self.size.executors).map(|number| self.executor_id(number));
        ids.all(|id| self.record.running_on(&id).is_empty())
    }

    /// Has the operator send a configuration until it is acknowledged.
    pub fn put_config(&self, version: u64) -> io::Result<()> {
        let body = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
             \"path_prefix\":\"{QUEUE}\",\"kind\":\"non_idempotent\",\"timeout_ms\":1500,\
             \"target_latency_ms\":60,\"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":3,\
             \"slack_factor\":1.6}}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health_path\":\"/healthz\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"enforces_capacity\":true,\
             \"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        );
        let limit = Instant::now() + START_LIMIT;
        let mut node = 0;
        while Instant::now() < limit {
            node = node % CONTROLS + 1;
            let mut to = self.at("core", node, CONTROL);
            // The first call and two redirects.
            for _ in 0..3 {
                let Ok(answer) = http::request(to, "PUT", "/config", &[], &body, CALL_WAIT) else {
                    break;
                };
                if answer.status() == 200 {
                    self.record
                        .note(&format!("operator: configuration {version} acknowledged"));
                    return Ok(());
                }
                match redirect(&answer) {
                    Some(target) if answer.status() == 307 => to = target,
                    _ => break,
                }
            }
            thread::sleep(POLL);
        }
        Err(ErrorKind::TimedOut.into())
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let limit = Instant::now() + START_LIMIT;
        for number in 1..=self.size.entries {
            let to = self.at("frontend", number, READINESS);
            loop {
                let answer = http::request(to, "GET", "/readyz", &[], "", CALL_WAIT);
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > limit {
                    return Err(ErrorKind::TimedOut.into());
                }
                thread::sleep(POLL);
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            if let Some(child) = &mut process.child {
                // It may have ended by itself.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn executor_name(number: u8) -> String {
    format!("executor-{number}")
}

fn address_of(net: (u8, u8), class: &str, number: u8) -> Ipv4Addr {
    let base = match class {
        "core" => 10,
        "frontend" => 20,
        _ => 30,
    };
    Ipv4Addr::new(127, net.0, net.1, base + number)
}

/// Finds loopback addresses and ports that nothing listens on.
fn find_addresses(size: &Size) -> io::Result<((u8, u8), u16)> {
    // Tests that run at the same time get different addresses.
    let process = u64::from(std::process::id());
    for attempt in 0..50 {
        let net = (64 + (process / 250 % 60) as u8, 1 + (process % 250) as u8);
        let port = 20_000 + ((unix_ms() + attempt) % 300) as u16 * 32;
        let classes = [
            ("core", CONTROLS),
            ("frontend", size.entries),
            ("side", size.executors),
        ];
        let mut free = true;
        for (class, count) in classes {
            for number in 1..=count {
                let ip = address_of(net, class, number);
                for port in (port..=port + APP).chain([METRICS_PORT]) {
                    free &= TcpListener::bind((ip, port)).is_ok();
                }
            }
        }
        if free {
            return Ok((net, port));
        }
    }
    Err(ErrorKind::AddrInUse.into())
}

/// The command of each role, by what it serves.
fn deploy_commands() -> io::Result<HashMap<String, String>> {
    let text = fs::read_to_string(DEPLOY_FILE)?;
    let mut commands = HashMap::new();
    let mut run = String::new();
    for line in text.lines() {
        if let Some(value) = line.strip_prefix("run = ") {
            value.trim_matches('"').clone_into(&mut run);
        }
        if let Some(list) = line.strip_prefix("serves = [") {
            for word in list.trim_end_matches(']').split(',') {
                commands.insert(word.trim().trim_matches('"').to_owned(), run.clone());
            }
        }
    }
    Ok(commands)
}

fn redirect(answer: &Message) -> Option<SocketAddrV4> {
    let location = answer.header("location")?.strip_prefix("http://")?;
    location.split('/').next()?.parse().ok()
}
