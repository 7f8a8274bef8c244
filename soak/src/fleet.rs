//! One run of a whole deployment: processes of all roles, backend servers, callers and operators.

mod backend;
mod callers;
mod faults;
mod judge;
mod operate;
mod plan;
mod server;
mod shares;

use std::fmt::Write;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use snafu::ResultExt;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

use crate::client::Caller;
use crate::document::Documents;
use crate::first::{self, FirstStart};
use crate::fleet::callers::{Rotation, Tally};
use crate::fleet::faults::Calm;
use crate::fleet::judge::Judge;
use crate::fleet::server::Server;
use crate::fleet::shares::{Keeper, Uses};
use crate::layout::{Class, Host, Layout, Place};
use crate::ledger::{Ledger, Report};
use crate::process::Process;
use crate::run::{IoSnafu, SoakError, millis};
use crate::stalls::Stalls;

pub use crate::layout::Sizes;
pub use callers::Mix;
pub use shares::ENTRY_SHARES;

/// Number of operators that send at the same time.
const OPERATORS: u64 = 2;
/// Longest time in which the agents hear their backend servers for the first time.
const SETTLE: Duration = Duration::from_millis(2_500);
/// Size of a disk, in MB.
const DISK_MB: u64 = 192;
const POLL: Duration = Duration::from_millis(100);
/// Time over which the callers' success is counted.
const WINDOW: Duration = Duration::from_secs(4);

/// What a run does.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// The program `fulmardrift-platform`.
    pub program: PathBuf,
    /// Number of hosts of each class.
    pub sizes: Sizes,
    /// How the processes start for the first time.
    pub first_start: FirstStart,
    /// Time in which faults begin.
    pub length: Duration,
    /// True if the schedule has faults.
    pub faults: bool,
    /// True if connections are cut too. The program then has to know the setting `bind_ip`.
    pub cuts: bool,
    /// Number of jobs a second.
    pub per_second: u32,
    /// Number of jobs a second once all are healed.
    pub then: u32,
    /// Kinds of jobs.
    pub mix: Mix,
    /// Time after which callers send a job again that got no answer.
    pub resend: Duration,
    /// Smallest and largest share of an entry, in thousandths of a core, if each process is held to its
    /// share of processor time.
    pub shares: Option<(u32, u32)>,
    /// Smallest and largest number of routes in a configuration, besides those for the jobs.
    pub routes: (u32, u32),
    /// Time after which a change is acknowledged while the control group is whole.
    pub ack: Duration,
    /// Time after which the entries serve by an acknowledged configuration.
    pub apply: Duration,
    /// Time after which an undisturbed process counts as in touch with the others.
    pub contact: Duration,
    /// Time after the start, or the last fault, in which all serve.
    pub recovery: Duration,
    /// Time after which a disk counts as back, and the next may be lost.
    pub catch_up: Duration,
    /// Directory for the logs of runs with findings.
    pub logs: Option<PathBuf>,
    /// True to keep the logs of all runs.
    pub keep: bool,
}

/// What the tasks of a run share.
#[derive(Debug)]
pub(crate) struct Shared {
    options: FleetOptions,
    seed: u64,
    layout: Layout,
    /// Processes by host, sorted.
    processes: Vec<(Host, tokio::sync::Mutex<Process>)>,
    /// When each host was last disturbed, sorted by host.
    calm: Mutex<Vec<Calm>>,
    servers: Vec<Arc<Server>>,
    judge: Arc<Judge>,
    documents: Documents,
    ledger: Mutex<Ledger>,
    caller: Caller,
    /// Number of jobs a second.
    rate: AtomicU32,
    tally: Tally,
    rotations: Vec<Rotation>,
    stalls: Stalls,
}

/// Runs one seed on a whole deployment.
///
/// # Errors
///
/// A process cannot be started or a file cannot be written.
pub async fn run_fleet(options: FleetOptions, seed: u64) -> Result<Report, SoakError> {
    let shared = Arc::new(Shared::new(options, seed).context(IoSnafu { what: "set up" })?);
    let opened = shared.layout.open().await;
    opened.context(IoSnafu { what: "proxy" })?;
    let mut backends = JoinSet::new();
    for server in &shared.servers {
        server.spawn(&mut backends);
    }
    backends.spawn(server::tick(shared.servers.clone()));
    let began = Instant::now();
    let spread = shared.options.first_start == FirstStart::Spread;
    let entry = spread.then_some(ENTRY_SHARES);
    let keeper = if let Some(entry) = shared.options.shares.or(entry) {
        let mut handles = Vec::new();
        for (host, process) in &shared.processes {
            handles.push((*host, process.lock().await.handle()));
        }
        Some(Keeper::start(seed, entry, handles))
    } else {
        None
    };
    let mut tasks = JoinSet::new();
    let machine = Arc::clone(&shared);
    tasks.spawn(async move {
        let probe = machine.layout.probe_file();
        machine.stalls.watch(probe, &machine.ledger).await;
    });
    tasks.spawn(Arc::clone(&shared).watch());
    for number in 0..shared.rotations.len() {
        tasks.spawn(callers::check(Arc::clone(&shared), number));
    }
    let first = tokio::spawn(callers::first(Arc::clone(&shared), began));
    let recovered_in = shared.play_all(&mut tasks).await;
    tasks.shutdown().await;
    first.abort();
    let first_served = first.await.ok();
    shared.find_ended();
    let uses = keeper.map_or(Ok(Vec::new()), Keeper::stop);
    let uses = uses.context(IoSnafu { what: "shares" })?;
    for (_, process) in &shared.processes {
        let killed = process.lock().await.kill().await;
        killed.context(IoSnafu { what: "stop" })?;
    }
    for server in &shared.servers {
        server.settle();
    }
    backends.shutdown().await;
    let report = shared.report(recovered_in, first_served, &uses);
    report.context(IoSnafu { what: "logs" })
}

impl Shared {
    fn new(options: FleetOptions, seed: u64) -> io::Result<Self> {
        let place = Place {
            program: options.program.clone(),
            suffix: options.first_start.suffix(),
            disk_mb: DISK_MB,
            resend: options.resend,
        };
        let layout = Layout::reserve(options.sizes, options.cuts, place)?;
        let documents = Documents {
            seed,
            routes: options.routes,
            queues: true,
        };
        let judge = Arc::new(Judge::new());
        let servers = (0..options.sizes.agents)
            .map(|number| Server::new(&layout, number, seed, Arc::clone(&judge)))
            .collect();
        let hosts: Vec<Host> = options.sizes.processes().collect();
        let callers = Host::new(Class::Caller, 0);
        let calm = |host| Calm {
            host,
            faults: 0,
            since: Instant::now(),
        };
        Ok(Self {
            seed,
            processes: hosts
                .iter()
                .map(|host| (*host, tokio::sync::Mutex::default()))
                .collect(),
            calm: Mutex::new(options.sizes.all().map(calm).collect()),
            servers,
            judge,
            documents,
            ledger: Mutex::new(Ledger::new(documents)),
            caller: Caller::at(layout.bind_ip(callers)),
            rate: AtomicU32::new(options.per_second),
            tally: Tally::default(),
            rotations: options
                .sizes
                .hosts(Class::Entry)
                .map(|_| Rotation::default())
                .collect(),
            stalls: Stalls::new(),
            layout,
            options,
        })
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn calm(&self) -> MutexGuard<'_, Vec<Calm>> {
        self.calm.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, line: &str) {
        self.ledger().note(line);
    }

    fn find(&self, finding: String) {
        self.ledger().find(finding);
    }

    /// Starts callers and operators, plays the faults, and waits for the recovery.
    async fn play_all(self: &Arc<Self>, tasks: &mut JoinSet<()>) -> Option<Duration> {
        if !self.start_all(tasks).await {
            return None;
        }
        self.note("all up");
        sleep(SETTLE).await;
        tasks.spawn(callers::call(Arc::clone(self)));
        tasks.spawn(operate::read(Arc::clone(self)));
        for number in 0..OPERATORS {
            tasks.spawn(operate::operate(Arc::clone(self), number));
        }
        if self.options.faults {
            let options = &self.options;
            let steps = plan::plan(
                self.seed,
                options.length,
                options.sizes,
                options.catch_up,
                options.cuts,
            );
            self.play(steps).await;
            if !self.wait_until_up(Instant::now(), None).await {
                return None;
            }
            if let Err(error) = self.kill_after_change().await {
                self.find(format!("cannot kill all after a change: {error}"));
            }
        } else {
            sleep(self.options.length).await;
        }
        let healed = Instant::now();
        self.rate.store(self.options.then, Ordering::Relaxed);
        self.note("all healed");
        if !self.wait_until_up(healed, None).await {
            return None;
        }
        let served = self.wait_until_served(healed).await;
        served.then(|| healed.elapsed())
    }

    /// Starts all processes, and waits until they serve.
    async fn start_all(self: &Arc<Self>, tasks: &mut JoinSet<()>) -> bool {
        let (kind, sizes) = (self.options.first_start, self.layout.sizes);
        let controls = usize::from(sizes.controls);
        let first = first::plan(kind, self.seed, controls, self.processes.len());
        let whole = Instant::now() + first.whole;
        let missing = first
            .missing
            .map(|(number, step)| (self.processes[number].0, step));
        if let Some((host, _)) = missing {
            self.disturb(host, true);
        }
        let steps = self.first_steps(first.steps);
        tasks.spawn(Arc::clone(self).carry_out_all(steps));
        let mut rng = Pcg64::seed_from_u64(self.seed);
        let version = self.ledger().next_version(1);
        let founded = self.change(version, &mut rng);
        let bound = match kind {
            FirstStart::Together => 2 * self.options.recovery,
            _ => self.options.recovery,
        };
        if timeout_at(whole + bound, founded).await.is_err() {
            self.find("FAULT: no configuration acknowledged after the start".to_owned());
            return false;
        }
        if !self
            .wait_until_up(whole, missing.map(|(host, _)| host))
            .await
        {
            return false;
        }
        if let Some((_, step)) = missing {
            self.note("up but for one");
            let steps = self.first_steps(vec![(0, step)]);
            Arc::clone(self).carry_out_all(steps).await;
            if !self.wait_until_up(Instant::now(), None).await {
                return false;
            }
        }
        if kind != FirstStart::Together {
            // A disk may be lost once all have caught up.
            sleep(self.options.catch_up).await;
        }
        true
    }

    /// Waits until all processes are up, all entries are ready and a configuration can be
    /// read; `but` may be missing.
    async fn wait_until_up(&self, since: Instant, but: Option<Host>) -> bool {
        loop {
            let mut missing: Vec<String> = Vec::new();
            for (host, process) in &self.processes {
                if Some(*host) != but && !process.lock().await.is_up() {
                    missing.push(host.to_string());
                }
            }
            for (host, rotation) in self.layout.sizes.hosts(Class::Entry).zip(&self.rotations) {
                if !rotation.is_ready() {
                    missing.push(format!("{host}'s readiness"));
                }
            }
            let mut read = false;
            for host in self.layout.sizes.hosts(Class::Control) {
                read = read || self.read_back(host).await;
            }
            if !read {
                missing.push("a configuration".to_owned());
            }
            if missing.is_empty() {
                return true;
            }
            if self.stalls.undisturbed_since(since).elapsed() > self.options.recovery {
                let missing = missing.join(", ");
                self.find(format!(
                    "FAULT: not up {:.1} s after the start or the last fault: {missing}",
                    since.elapsed().as_secs_f64()
                ));
                return false;
            }
            sleep(POLL).await;
        }
    }

    /// Waits until four fifths of the jobs that end in a while are answered with success.
    async fn wait_until_served(&self, since: Instant) -> bool {
        let count = || {
            let served = self.tally.served.load(Ordering::Relaxed);
            (self.tally.finished.load(Ordering::Relaxed), served)
        };
        loop {
            let (finished, served) = count();
            sleep(WINDOW).await;
            let (finished_after, served_after) = count();
            let (finished, served) = (finished_after - finished, served_after - served);
            self.note(&format!("{served} of {finished} jobs served"));
            *self
                .tally
                .last
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = (served, finished);
            if finished > 0 && served * 5 >= finished * 4 {
                return true;
            }
            if self.stalls.undisturbed_since(since).elapsed() > self.options.recovery {
                self.find(format!(
                    "SHORT: {served} of {finished} jobs served, all healed for {:.1} s",
                    since.elapsed().as_secs_f64()
                ));
                return false;
            }
        }
    }

    fn report(
        &self,
        recovered_in: Option<Duration>,
        first_served: Option<Duration>,
        uses: &Uses,
    ) -> io::Result<Report> {
        for doubled in self.judge.doubled() {
            self.find(doubled);
        }
        let ledger = self.ledger();
        let load = |count: &AtomicUsize| count.load(Ordering::Relaxed);
        let (served, finished) = *self
            .tally
            .last
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut counts = format!(
            "first_start={} sent={} served={} served_at_the_end={served} of {finished} starts={} acknowledged={} \
             stalls={} first_served_ms={} recovered_ms={}",
            self.options.first_start,
            load(&self.tally.sent),
            load(&self.tally.all_served),
            self.judge.starts(),
            ledger.acknowledgements(),
            self.stalls.count(),
            millis(first_served),
            millis(recovered_in),
        );
        for (class, used) in uses {
            // Writing to a string does not fail.
            let _ = write!(counts, " {class}: {used}");
        }
        let target = self.options.logs.as_ref();
        let target = target.map(|logs| logs.join(format!("fleet-{}", self.seed)));
        let copy = |target: &std::path::Path| {
            for (host, _) in &self.processes {
                self.layout.keep_logs(*host, target)?;
            }
            Ok(())
        };
        ledger.report(self.seed, counts, target, self.options.keep, copy)
    }
}
