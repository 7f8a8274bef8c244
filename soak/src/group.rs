//! The processes of a control group.

use std::fs;
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use rustix::process::Signal;

use crate::Options;
use crate::layout::{Class, Host, Layout, Place, Sizes};
use crate::plan::INSTANCES;
use crate::process::Process;

/// One instance and, while it runs, its process.
#[derive(Debug)]
pub(crate) struct Instance {
    host: Host,
    process: Process,
}

/// The instances of a group, at addresses of their own.
#[derive(Debug)]
pub(crate) struct Group {
    slots: Vec<Instance>,
    /// Former instances that were told to stop.
    leaving: Vec<Instance>,
    /// Number of the next successor.
    next: u8,
    layout: Layout,
}

impl Group {
    /// The first instances; none has started.
    pub(crate) fn new(options: &Options) -> io::Result<Self> {
        let sizes = Sizes {
            controls: INSTANCES,
            entries: 0,
            agents: 0,
        };
        let place = Place {
            program: options.program.clone(),
            suffix: options.first_start.suffix(),
            disk_mb: options.disk_mb,
            resend: options.resend,
        };
        let slots = sizes.processes().map(|host| Instance {
            host,
            process: Process::default(),
        });
        Ok(Self {
            slots: slots.collect(),
            leaving: Vec::new(),
            next: INSTANCES,
            layout: Layout::reserve(sizes, false, place)?,
        })
    }

    /// A file on the disk of the instances.
    pub(crate) fn probe_file(&self) -> PathBuf {
        self.layout.probe_file()
    }

    /// Addresses for operators of the instances that were not replaced.
    pub(crate) fn addresses(&self) -> Vec<SocketAddrV4> {
        let slots = self.slots.iter();
        slots.map(|slot| self.layout.control(slot.host)).collect()
    }

    pub(crate) fn name(&self, slot: usize) -> String {
        self.slots[slot].host.to_string()
    }

    /// Names of the former instances that have not ended.
    pub(crate) fn leaving_names(&self) -> String {
        let names = self.leaving.iter().map(|i| i.host.to_string());
        names.collect::<Vec<_>>().join(" ")
    }

    /// True when all instances run.
    pub(crate) fn all_up(&self) -> bool {
        self.slots.iter().all(|i| i.process.is_up())
    }

    /// Starts the process of a slot with what is on its disk.
    pub(crate) fn start(&mut self, slot: usize, first: bool) -> io::Result<()> {
        let seeds = if first {
            self.layout.founders()
        } else {
            self.addresses()
        };
        let Instance { host, process } = &mut self.slots[slot];
        self.layout.start(process, *host, first, &seeds)
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
        self.layout.wipe(self.slots[slot].host)
    }

    /// Starts an empty successor at another address; a former instance that runs is left running.
    pub(crate) fn replace(&mut self, slot: usize) -> io::Result<()> {
        let successor = Instance {
            host: Host::new(Class::Control, self.next),
            process: Process::default(),
        };
        self.next += 1;
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
                ended.push((slot, format!("{}: {status}", instance.host)));
            }
        }
        Ok(ended)
    }

    /// Size in bytes of the largest data directory.
    pub(crate) fn largest_disk(&self) -> io::Result<u64> {
        let mut sizes = self
            .slots
            .iter()
            .map(|slot| size(&self.layout.data(slot.host)));
        sizes.try_fold(0, |largest, size| Ok(largest.max(size?)))
    }

    /// Copies settings and logs of all instances to `target`.
    pub(crate) fn keep_logs(&self, target: &Path) -> io::Result<()> {
        let mut hosts = (0..self.next).map(|number| Host::new(Class::Control, number));
        hosts.try_for_each(|host| self.layout.keep_logs(host, target))
    }
}

/// Size of the files in an instance's data directory; files may vanish meanwhile.
fn size(data: &Path) -> io::Result<u64> {
    let Ok(entries) = fs::read_dir(data) else {
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
