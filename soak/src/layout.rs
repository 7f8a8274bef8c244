//! Addresses, names, directories and settings files of the hosts of a run.

use std::fmt;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use tempfile::TempDir;

use crate::first::FOUNDERS;
use crate::process::{Process, keep_logs};
use crate::proxy::{Path, Proxy};
use crate::settings::{SESSION_PORT, Settings};

/// Port at which an agent serves its backend server, and a control instance its operators.
const CONTROL_PORT: u16 = 8166;
const CALLER_PORT: u16 = 8161;
const READINESS_PORT: u16 = 8167;
const BACKEND_PORT: u16 = 8080;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Number of workers in a rack.
const RACK: u8 = 8;
/// Last part of the address that reserves a run's addresses.
const GUARD_HOST: u8 = 254;

/// Kind of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Class {
    Control,
    Entry,
    Agent,
    Backend,
    /// All callers and operators.
    Caller,
}

/// A host, by its class and its number from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Host {
    pub(crate) class: Class,
    pub(crate) number: u8,
}

impl Host {
    pub(crate) fn new(class: Class, number: u8) -> Self {
        Self { class, number }
    }

    /// Index of its zone, and the zone's name.
    pub(crate) fn zone(self) -> &'static str {
        ZONES[usize::from(self.number) % ZONES.len()]
    }

    /// Labels of a worker: its kind and its rack.
    pub(crate) fn labels(self) -> [String; 2] {
        ["a".to_owned(), format!("r1-{}", self.number / RACK)]
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Control => "control",
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::Backend => "backend",
            Self::Caller => "caller",
        })
    }
}

impl fmt::Display for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.class, self.number)
    }
}

/// Number of hosts of each class. A backend server runs beside each agent.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Control instances, at most 20.
    pub controls: u8,
    /// Entries, at most 20.
    pub entries: u8,
    /// Agents, at most 100.
    pub agents: u8,
}

impl Sizes {
    pub(crate) fn hosts(self, class: Class) -> impl Iterator<Item = Host> {
        let count = match class {
            Class::Control => self.controls,
            Class::Entry => self.entries,
            Class::Agent | Class::Backend => self.agents,
            Class::Caller => 1,
        };
        (0..count).map(move |number| Host::new(class, number))
    }

    /// All hosts.
    pub(crate) fn all(self) -> impl Iterator<Item = Host> {
        let others = [Class::Backend, Class::Caller];
        let others = others.into_iter().flat_map(move |class| self.hosts(class));
        self.processes().chain(others)
    }

    /// All hosts with a process of their own.
    pub(crate) fn processes(self) -> impl Iterator<Item = Host> {
        let classes = [Class::Control, Class::Entry, Class::Agent];
        classes.into_iter().flat_map(move |class| self.hosts(class))
    }
}

/// What all processes of a run have in common.
#[derive(Debug)]
pub(crate) struct Place {
    /// The program `fulmardrift-platform`.
    pub(crate) program: PathBuf,
    /// End of the names of machines and paths.
    pub(crate) suffix: &'static str,
    /// Size of a disk, in MB.
    pub(crate) disk_mb: u64,
    /// Time after which callers send a job again.
    pub(crate) resend: Duration,
}

/// Where the hosts of a run are.
#[derive(Debug)]
pub(crate) struct Layout {
    pub(crate) sizes: Sizes,
    network: [u8; 2],
    directory: TempDir,
    place: Place,
    /// Paths between the hosts, if they can be cut.
    pub(crate) proxy: Option<Proxy>,
    // Holds the addresses of the run as long as it lasts.
    _guard: TcpListener,
}

impl Layout {
    pub(crate) fn reserve(sizes: Sizes, proxied: bool, place: Place) -> io::Result<Self> {
        let (network, guard) = reserve_network()?;
        Ok(Self {
            sizes,
            network,
            directory: TempDir::with_prefix(format!("soak{}-", place.suffix))?,
            place,
            proxy: proxied.then(Proxy::new),
            _guard: guard,
        })
    }

    /// Has the proxy listen at the addresses by which others know the hosts.
    pub(crate) async fn open(&self) -> io::Result<()> {
        let Some(proxy) = &self.proxy else {
            return Ok(());
        };
        for host in self.sizes.all() {
            let (ip, bind_ip) = (self.ip(host), self.bind_ip(host));
            proxy.add_host(ip, bind_ip);
            let ports: &[u16] = match host.class {
                Class::Control => &[CONTROL_PORT, SESSION_PORT],
                Class::Entry => &[CALLER_PORT, READINESS_PORT, SESSION_PORT],
                Class::Agent => &[CONTROL_PORT],
                Class::Backend => &[BACKEND_PORT],
                Class::Caller => &[],
            };
            for port in ports {
                let front = SocketAddrV4::new(ip, *port);
                proxy.open(front, SocketAddrV4::new(bind_ip, *port)).await?;
            }
        }
        Ok(())
    }

    /// Sets the paths from some hosts to others.
    pub(crate) fn cut(&self, from: &[Host], to: &[Host], path: Path) {
        let Some(proxy) = &self.proxy else {
            return;
        };
        let ips = |hosts: &[Host], others: &[Host]| {
            let backend = others.iter().any(|host| host.class == Class::Backend);
            let agent = |host: &&Host| host.class == Class::Agent && backend;
            let mut ips: Vec<_> = hosts.iter().map(|host| self.ip(*host)).collect();
            // An agent's calls to its backend server, on its own machine, have no source address.
            ips.extend(hosts.iter().find(agent).map(|_| Ipv4Addr::LOCALHOST));
            ips
        };
        proxy.set(&ips(from, to), &ips(to, from), path);
    }

    /// The address by which others know a host.
    pub(crate) fn ip(&self, host: Host) -> Ipv4Addr {
        let first = match host.class {
            Class::Control => 1,
            Class::Entry => 21,
            Class::Agent => 41,
            Class::Backend => 141,
            Class::Caller => 250,
        };
        Ipv4Addr::new(127, self.network[0], self.network[1], first + host.number)
    }

    /// The address at which a host listens and from which it connects.
    pub(crate) fn bind_ip(&self, host: Host) -> Ipv4Addr {
        let [first, second, third, last] = self.ip(host).octets();
        let behind = u8::from(self.proxy.is_some());
        Ipv4Addr::new(first, second + behind, third, last)
    }

    /// Where an agent serves its backend server, or a control instance its operators.
    pub(crate) fn control(&self, host: Host) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), CONTROL_PORT)
    }

    pub(crate) fn callers(&self, host: Host) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), CALLER_PORT)
    }

    pub(crate) fn readiness(&self, host: Host) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), READINESS_PORT)
    }

    /// Where the backend server of a number is known to be.
    pub(crate) fn backend(&self, number: u8) -> SocketAddrV4 {
        let host = Host::new(Class::Backend, number);
        SocketAddrV4::new(self.ip(host), BACKEND_PORT)
    }

    /// Where the backend server of a number listens.
    pub(crate) fn backend_bind(&self, number: u8) -> SocketAddrV4 {
        let host = Host::new(Class::Backend, number);
        SocketAddrV4::new(self.bind_ip(host), BACKEND_PORT)
    }

    fn name(&self, host: Host) -> String {
        format!("{host}{}", self.place.suffix)
    }

    /// Directory of a process.
    pub(crate) fn home(&self, host: Host) -> PathBuf {
        self.directory.path().join(self.name(host))
    }

    /// Disk of a control instance.
    pub(crate) fn data(&self, host: Host) -> PathBuf {
        self.home(host).join("data")
    }

    /// A file on the disk of the processes.
    pub(crate) fn probe_file(&self) -> PathBuf {
        self.directory.path().join("probe")
    }

    /// Empties the disk of a control instance.
    pub(crate) fn wipe(&self, host: Host) -> io::Result<()> {
        match fs::remove_dir_all(self.data(host)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Copies settings and log of a process to `target`.
    pub(crate) fn keep_logs(&self, host: Host, target: &std::path::Path) -> io::Result<()> {
        keep_logs(&self.home(host), target, &host.to_string())
    }

    /// Addresses of the control instances that may found the group.
    pub(crate) fn founders(&self) -> Vec<SocketAddrV4> {
        let controls = self.sizes.hosts(Class::Control).take(FOUNDERS);
        controls.map(|host| self.control(host)).collect()
    }

    /// Starts a process with what is on its disk.
    pub(crate) fn start(
        &self,
        process: &mut Process,
        host: Host,
        first: bool,
        seeds: &[SocketAddrV4],
    ) -> io::Result<()> {
        let settings = self.settings(host, first, seeds);
        process.start(&self.place.program, &self.home(host), &settings)
    }

    /// The settings file of a process.
    fn settings(&self, host: Host, first: bool, seeds: &[SocketAddrV4]) -> String {
        let bind_ip = self.bind_ip(host);
        let listen = |port| SocketAddrV4::new(bind_ip, port);
        let callers = [
            ("frontend", listen(CALLER_PORT)),
            ("readiness", listen(READINESS_PORT)),
        ];
        let control = [("control", listen(CONTROL_PORT))];
        let data = self.data(host);
        let (serves, data_dir, app, listen): (_, _, _, &[_]) = match host.class {
            Class::Control => ("control_plane", Some(data.as_path()), None, &control),
            Class::Entry => ("frontend", None, None, &callers),
            Class::Agent | Class::Backend | Class::Caller => {
                ("side", None, Some(self.backend(host.number)), &control)
            }
        };
        Settings {
            name: &self.name(host),
            serves,
            ip: self.ip(host),
            bind_ip: self.proxy.is_some().then_some(bind_ip),
            zone: host.zone(),
            seeds,
            bootstrap: first,
            data_dir,
            app,
            listen,
            disk_mb: self.place.disk_mb,
            machines: (self.sizes.controls - 1) / 2,
            resend: self.place.resend,
        }
        .text()
    }
}

/// Finds a /24 network on loopback that no other run uses.
fn reserve_network() -> io::Result<([u8; 2], TcpListener)> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for second in 20..=250 {
        let guard = Ipv4Addr::new(127, 77, second, GUARD_HOST);
        match TcpListener::bind((guard, SESSION_PORT)) {
            Ok(listener) => return Ok(([77, second], listener)),
            Err(error) => last = error,
        }
    }
    Err(last)
}
