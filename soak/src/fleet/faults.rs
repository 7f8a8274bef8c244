//! Carries out the schedule, and watches the processes.

use std::fs::{self, File};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::{Instant, sleep, sleep_until};

use crate::first;
use crate::fleet::Shared;
use crate::fleet::plan::Step;
use crate::layout::{Class, Host};
use crate::process::{LOG, Process};
use crate::proxy::Path;
use crate::settings::GRACE_S;

/// Pause between two looks at the processes.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Time after which an answer that a killed process sent has arrived.
const IN_FLIGHT: Duration = Duration::from_millis(300);
/// Name of a control instance's log in its data directory.
const CONTROL_LOG: &str = "log";
/// Number of lines of a log that a finding quotes.
const QUOTED: usize = 4;

/// When a host was last disturbed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Calm {
    pub(crate) host: Host,
    /// Number of faults that it is under.
    pub(crate) faults: u32,
    pub(crate) since: Instant,
}

impl Calm {
    fn since(self) -> Option<Instant> {
        (self.faults == 0).then_some(self.since)
    }
}

impl Shared {
    /// Carries out a schedule.
    pub(crate) async fn play(self: &Arc<Self>, steps: Vec<(u64, Step)>) {
        Arc::clone(self).carry_out_all(steps).await;
        if let Some(proxy) = &self.layout.proxy {
            proxy.heal();
        }
        // A planned stop may still take its grace period.
        for (host, process) in &self.processes {
            if !process.lock().await.is_up() {
                self.note(&format!("{host} is not up after the last fault"));
            }
        }
    }

    /// The steps of a first start.
    pub(crate) fn first_steps(&self, steps: Vec<(u64, first::Step)>) -> Vec<(u64, Step)> {
        let host = |number: usize| self.processes[number].0;
        let step = |step| match step {
            first::Step::Start(number, true) => Step::Found(host(number)),
            first::Step::Start(number, false) => Step::Start(host(number)),
            first::Step::Kill(number) => Step::Kill(host(number)),
            first::Step::Wipe(number) => Step::Wipe(host(number)),
            first::Step::Freeze(number) => Step::Freeze(host(number)),
            first::Step::Thaw(number) => Step::Thaw(host(number)),
        };
        steps.into_iter().map(|(at, s)| (at, step(s))).collect()
    }

    /// Carries out steps at their times.
    pub(crate) async fn carry_out_all(self: Arc<Self>, steps: Vec<(u64, Step)>) {
        let began = Instant::now();
        for (at, step) in steps {
            sleep_until(began + Duration::from_millis(at)).await;
            let what = describe(&step);
            self.note(&what);
            if let Err(error) = self.carry_out(step).await {
                self.find(format!("cannot {what}: {error}"));
            }
        }
    }

    /// All processes are killed the moment a change is acknowledged, and as many control instances as
    /// is tolerated lose their disks. Of the other logs, what was written after that is cut off in
    /// part, as it may not have been synced.
    pub(crate) async fn kill_after_change(&self) -> io::Result<()> {
        // A disk may be lost once those lost before are back.
        sleep(self.options.catch_up).await;
        let mut rng = Pcg64::seed_from_u64(self.seed.rotate_left(32));
        let version = self.ledger().next_version(1);
        self.change(version, &mut rng).await;
        let acknowledged = self.ledger().acknowledgements();
        let controls: Vec<Host> = self.layout.sizes.hosts(Class::Control).collect();
        let log = |host: Host| self.layout.data(host).join(CONTROL_LOG);
        let logs: Vec<_> = controls
            .iter()
            .map(|host| fs::metadata(log(*host)))
            .collect();
        let mut processes = Vec::new();
        for (host, process) in &self.processes {
            processes.push(process.lock().await);
            self.disturb(*host, true);
        }
        for process in &mut processes {
            process.start_kill()?;
        }
        for process in &mut processes {
            process.kill().await?;
        }
        drop(processes);
        self.note(&format!("kill all, version {version} is acknowledged"));
        sleep(IN_FLIGHT).await;
        // What is acknowledged later may stand behind the lengths that were read.
        let may_cut = self.ledger().acknowledgements() == acknowledged;
        let lost = controls.iter().sample(&mut rng, controls.len() / 2);
        for (host, before) in controls.iter().zip(logs) {
            if lost.contains(&host) {
                self.note(&describe(&Step::Wipe(*host)));
                self.layout.wipe(*host)?;
            } else if may_cut {
                let (before, now) = (before?, fs::metadata(log(*host))?);
                if before.ino() == now.ino() && before.len() < now.len() {
                    let len = rng.random_range(before.len()..=now.len());
                    self.note(&format!("cut the log of {host} to {len} of {}", now.len()));
                    File::options().write(true).open(log(*host))?.set_len(len)?;
                }
            }
        }
        for (host, _) in &self.processes {
            self.start(*host, false).await?;
            self.disturb(*host, false);
        }
        Ok(())
    }

    async fn carry_out(self: &Arc<Self>, step: Step) -> io::Result<()> {
        match step {
            Step::Kill(host) => {
                self.disturb(host, true);
                self.process(host)?.lock().await.kill().await
            }
            Step::Found(host) => self.start(host, true).await,
            Step::Start(host) => {
                let started = self.start(host, false).await;
                self.disturb(host, false);
                started
            }
            Step::Restart(host) => {
                self.disturb(host, true);
                tokio::spawn(Arc::clone(self).restart(host));
                Ok(())
            }
            Step::Freeze(host) => {
                self.disturb(host, true);
                self.process(host)?.lock().await.freeze(true)
            }
            Step::Thaw(host) => {
                let thawed = self.process(host)?.lock().await.freeze(false);
                self.disturb(host, false);
                thawed
            }
            Step::Wipe(host) => self.layout.wipe(host),
            Step::Backend(number, mode) => {
                self.servers[usize::from(number)].set(mode);
                Ok(())
            }
            Step::Cut(from, to, path) => {
                for host in from.iter().chain(&to) {
                    self.disturb(*host, path != Path::Open);
                }
                self.layout.cut(&from, &to, path);
                Ok(())
            }
        }
    }

    async fn restart(self: Arc<Self>, host: Host) {
        let stopped = async {
            let mut process = self.process(host)?.lock().await;
            process.stop(Duration::from_secs(GRACE_S)).await?;
            self.layout
                .start(&mut process, host, false, &self.layout.founders())
        };
        if let Err(error) = stopped.await {
            self.find(format!("FAULT: restart of {host}: {error}"));
        }
        self.disturb(host, false);
    }

    pub(crate) async fn start(&self, host: Host, first: bool) -> io::Result<()> {
        let mut process = self.process(host)?.lock().await;
        let seeds = self.layout.founders();
        self.layout.start(&mut process, host, first, &seeds)
    }

    fn process(&self, host: Host) -> io::Result<&tokio::sync::Mutex<Process>> {
        let found = self.processes.binary_search_by_key(&host, |(h, _)| *h);
        let at = found.map_err(|_| io::Error::from(io::ErrorKind::NotFound))?;
        Ok(&self.processes[at].1)
    }

    /// Notes that a fault has begun or ended at a host.
    pub(crate) fn disturb(&self, host: Host, begins: bool) {
        let mut calm = self.calm();
        if let Ok(at) = calm.binary_search_by_key(&host, |calm| calm.host) {
            let calm = &mut calm[at];
            calm.since = Instant::now();
            calm.faults = if begins {
                calm.faults + 1
            } else {
                calm.faults.saturating_sub(1)
            };
        }
    }

    /// Since when a host is undisturbed.
    pub(crate) fn calm_since(&self, host: Host) -> Option<Instant> {
        let calm = self.calm();
        let found = calm.binary_search_by_key(&host, |calm| calm.host);
        found.ok().map(|at| calm[at]).and_then(Calm::since)
    }

    /// Since when the control group is undisturbed.
    pub(crate) fn group_calm_since(&self) -> Option<Instant> {
        let hosts = self.layout.sizes.hosts(Class::Control);
        let since = hosts.map(|host| self.calm_since(host));
        let since = since.collect::<Option<Vec<_>>>()?;
        let last = since.into_iter().max()?;
        Some(self.stalls.undisturbed_since(last))
    }

    /// Finds processes that end by themselves, and starts them again.
    pub(crate) async fn watch(self: Arc<Self>) {
        loop {
            sleep(WATCH_PAUSE).await;
            for host in self.find_ended() {
                if let Err(error) = self.start(host, false).await {
                    self.find(format!("FAULT: start of {host}: {error}"));
                }
            }
        }
    }

    /// The processes that ended by themselves since the last look; each is a finding.
    pub(crate) fn find_ended(&self) -> Vec<Host> {
        let mut ended = Vec::new();
        for (host, process) in &self.processes {
            // A process that is being stopped holds its lock.
            let Ok(mut process) = process.try_lock() else {
                continue;
            };
            match process.ended() {
                Ok(None) => {}
                Ok(Some(status)) => {
                    let log = last_lines(&self.layout.home(*host).join(LOG));
                    self.find(format!("FAULT: {host} ended by itself: {status}: {log}"));
                    ended.push(*host);
                }
                Err(error) => self.note(&format!("{host}: {error}")),
            }
        }
        ended
    }
}

fn last_lines(log: &std::path::Path) -> String {
    let text = fs::read(log).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(QUOTED)..].join(" | ")
}

fn describe(step: &Step) -> String {
    match step {
        Step::Kill(host) => format!("kill {host}"),
        Step::Found(host) => format!("start {host} for the first time"),
        Step::Start(host) => format!("start {host}"),
        Step::Restart(host) => format!("stop and start {host}"),
        Step::Freeze(host) => format!("freeze {host}"),
        Step::Thaw(host) => format!("thaw {host}"),
        Step::Wipe(host) => format!("lose the disk of {host}"),
        Step::Backend(number, mode) => format!("set backend-{number} {mode:?}"),
        Step::Cut(from, to, path) => {
            format!("set path {path:?} from {} to {}", names(from), names(to))
        }
    }
}

fn names(hosts: &[Host]) -> String {
    let names: Vec<String> = hosts.iter().map(Host::to_string).collect();
    names.join(" ")
}
