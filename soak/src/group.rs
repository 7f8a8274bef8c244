//! The processes of a control group.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

use rustix::process::Signal;
use tempfile::TempDir;

use crate::Options;
use crate::plan::SLOTS;
use crate::process::{Process, keep_logs};
use crate::settings::{SESSION_PORT, Settings};

/// Port at which instances serve operators.
const CONTROL_PORT: u16 = 8166;
const ZONE: &str = "zone-a";
/// Last part of the address that reserves a run's addresses.
const GUARD_HOST: u8 = 254;
/// One instance and, while it runs, its process.
#[derive(Debug)]
pub(crate) struct Instance {
    /// Last part of its address.
    host: u8,
    process: Process,
}

/// The instances of a group, at addresses of their own.
#[derive(Debug)]
pub(crate) struct Group {
    slots: Vec<Instance>,
    /// Former instances that were told to stop.
    leaving: Vec<Instance>,
    network: [u8; 2],
    next_host: u8,
    directory: TempDir,
    program: PathBuf,
    /// End of the names of machines and paths.
    suffix: &'static str,
    disk_mb: u64,
    resend: Duration,
    // Holds the addresses of the run as long as it lasts.
    _guard: TcpListener,
}

impl Group {
    /// The first instances; none has started.
    pub(crate) fn new(options: &Options) -> io::Result<Self> {
        let (network, guard) = reserve_network()?;
        let first = (0..SLOTS).zip(1..).map(|(_, host)| Instance {
            host,
            process: Process::default(),
        });
        let slots: Vec<Instance> = first.collect();
        let suffix = options.first_start.suffix();
        Ok(Self {
            next_host: slots.last().map_or(1, |last| last.host + 1),
            slots,
            leaving: Vec::new(),
            network,
            directory: TempDir::with_prefix(format!("soak{suffix}-"))?,
            suffix,
            program: options.program.clone(),
            disk_mb: options.disk_mb,
            resend: options.resend,
            _guard: guard,
        })
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], host)
    }

    fn home(&self, host: u8) -> PathBuf {
        self.directory
            .path()
            .join(instance_name(host) + self.suffix)
    }

    /// A file on the disk of the instances.
    pub(crate) fn probe_file(&self) -> PathBuf {
        self.directory.path().join("probe")
    }

    /// Addresses for operators of the instances that were not replaced.
    pub(crate) fn addresses(&self) -> Vec<SocketAddrV4> {
        let slots = self.slots.iter();
        slots.map(|slot| self.address(slot.host)).collect()
    }

    pub(crate) fn name(&self, slot: usize) -> String {
        instance_name(self.slots[slot].host)
    }

    /// Names of the former instances that have not ended.
    pub(crate) fn leaving_names(&self) -> String {
        let names = self.leaving.iter().map(|i| format!("core-{}", i.host));
        names.collect::<Vec<_>>().join(" ")
    }

    /// True when all instances run.
    pub(crate) fn all_up(&self) -> bool {
        self.slots.iter().all(|i| i.process.is_up())
    }

    /// Starts the process of a slot with what is on its disk.
    pub(crate) fn start(&mut self, slot: usize, first: bool) -> io::Result<()> {
        let host = self.slots[slot].host;
        let home = self.home(host);
        let settings = self.settings(host, &home, first);
        let process = &mut self.slots[slot].process;
        process.start(&self.program, &home, &settings)
    }

    fn settings(&self, host: u8, home: &Path, first: bool) -> String {
        let ip = self.ip(host);
        let seeds: Vec<_> = if first {
            (1..).take(SLOTS).map(|h| self.address(h)).collect()
        } else {
            self.addresses()
        };
        Settings {
            name: &format!("{}{}", instance_name(host), self.suffix),
            serves: "control_plane",
            ip,
            bind_ip: None,
            zone: ZONE,
            seeds: &seeds,
            bootstrap: first,
            data_dir: Some(&home.join("data")),
            app: None,
            listen: &[("control", self.address(host))],
            disk_mb: self.disk_mb,
            machines: 1,
            resend: self.resend,
        }
        .text()
    }

    fn address(&self, host: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), CONTROL_PORT)
    }

    /// Kills the process of a slot.
    pub(crate) async fn kill(&mut self, slot: usize) -> io::Result<()> {
        self.slots[slot].process.kill().await
    }

    /// Kills the processes of all slots, without a pause between them.
    pub(crate) async fn kill_all(&mut self) -> io::Result<()> {
        for instance in &mut self.slots {
            instance.process.start_kill()?;
        }
        for instance in &mut self.slots {
            instance.process.kill().await?;
        }
        Ok(())
    }

    pub(crate) fn wipe(&self, slot: usize) -> io::Result<()> {
        let data = self.home(self.slots[slot].host).join("data");
        match fs::remove_dir_all(data) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Starts an empty successor at another address; a former instance that runs is left running.
    pub(crate) fn replace(&mut self, slot: usize) -> io::Result<()> {
        let successor = Instance {
            host: self.next_host,
            process: Process::default(),
        };
        self.next_host += 1;
        let former = std::mem::replace(&mut self.slots[slot], successor);
        if former.process.exists() {
            self.leaving.push(former);
        }
        self.start(slot, false)
    }

    /// Sends SIGTERM to the former instances.
    pub(crate) fn dismiss(&mut self) -> io::Result<()> {
        let mut leaving = self.leaving.iter();
        leaving.try_for_each(|i| i.process.signal(Signal::TERM))
    }

    /// Kills the former instances that are still there, and returns their number.
    pub(crate) async fn end_leaving(&mut self) -> io::Result<usize> {
        let mut killed = 0;
        for mut instance in std::mem::take(&mut self.leaving) {
            if instance.process.ended()?.is_none() {
                killed += 1;
                instance.process.kill().await?;
            }
        }
        Ok(killed)
    }

    pub(crate) fn freeze(&mut self, slot: usize, frozen: bool) -> io::Result<()> {
        self.slots[slot].process.freeze(frozen)
    }

    /// Processes that ended without being killed, and how.
    pub(crate) fn ended(&mut self) -> io::Result<Vec<(usize, String)>> {
        let mut ended = Vec::new();
        for (slot, instance) in self.slots.iter_mut().enumerate() {
            if let Some(status) = instance.process.ended()? {
                ended.push((slot, format!("core-{}: {status}", instance.host)));
            }
        }
        Ok(ended)
    }

    /// Size in bytes of the largest data directory.
    pub(crate) fn largest_disk(&self) -> io::Result<u64> {
        let mut sizes = self.slots.iter().map(|slot| size(&self.home(slot.host)));
        sizes.try_fold(0, |largest, size| Ok(largest.max(size?)))
    }

    /// Copies settings and logs of all instances to `target`.
    pub(crate) fn keep_logs(&self, target: &Path) -> io::Result<()> {
        for host in 1..self.next_host {
            keep_logs(&self.home(host), target, &instance_name(host))?;
        }
        Ok(())
    }
}

fn instance_name(host: u8) -> String {
    format!("core-{host}")
}

/// Size of the files in an instance's data directory; files may vanish meanwhile.
fn size(home: &Path) -> io::Result<u64> {
    let Ok(entries) = fs::read_dir(home.join("data")) else {
        return Ok(0);
    };
    let mut total = 0;
    for entry in entries {
        if let Ok(found) = entry?.metadata() {
            total += found.len();
        }
    }
    Ok(total)
}

/// Finds a /24 network on loopback that no other run uses.
pub(crate) fn reserve_network() -> io::Result<([u8; 2], TcpListener)> {
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
