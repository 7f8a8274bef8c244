//! One run: a group, its operators and the schedule of one seed.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::Options;
use crate::client::{Answer, Caller};
use crate::document::Documents;
use crate::first::{self, FirstStart};
use crate::group::Group;
use crate::ledger::{Ledger, Report};
use crate::plan::{self, Action};
use crate::settings::GRACE_S;
use crate::stalls::Stalls;

/// Number of operators that send at the same time.
const OPERATORS: usize = 3;
/// Shortest and longest pause of an operator after a change, in ms.
const CHANGE_PAUSE: (u64, u64) = (20, 200);
/// Shortest and longest pause after a call without a clear response.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));
/// Pause between two reads.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two looks at the processes.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Delay after which a process that ended by itself is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// One in so many changes is invalid.
const INVALID: u32 = 20;
/// Pause between the loss of all processes and their start.
const POWER_PAUSE: Duration = Duration::from_millis(300);

/// Why a run cannot be carried out. A finding is no such error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SoakError {
    /// A process or a file cannot be used.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was to be done.
        what: &'static str,
        /// The I/O error.
        source: io::Error,
    },
}

/// What the tasks of a run share.
#[derive(Debug)]
struct Shared {
    options: Options,
    seed: u64,
    documents: Documents,
    ledger: Mutex<Ledger>,
    group: tokio::sync::Mutex<Group>,
    /// When all instances were last seen to be up; `None` while one is not.
    up_since: Mutex<Option<Instant>>,
    stalls: Stalls,
    /// Number of acknowledgements.
    acks: watch::Sender<u64>,
}

/// Runs one seed.
///
/// ```no_run
/// # async fn soak(options: fulmardrift_soak::Options) -> Result<(), fulmardrift_soak::SoakError> {
/// let report = fulmardrift_soak::run(options, 1).await?;
/// assert!(report.findings.is_empty(), "{}", report.trace);
/// # Ok(())
/// # }
/// ```
///
/// # Errors
///
/// A process cannot be started or a file cannot be written.
pub async fn run(options: Options, seed: u64) -> Result<Report, SoakError> {
    let group = Group::new(&options).context(IoSnafu { what: "set up" })?;
    let documents = Documents {
        seed,
        routes: options.routes,
        queues: false,
    };
    let shared = Arc::new(Shared {
        documents,
        ledger: Mutex::new(Ledger::new(documents)),
        group: tokio::sync::Mutex::new(group),
        up_since: Mutex::new(None),
        stalls: Stalls::new(),
        acks: watch::Sender::new(0),
        options,
        seed,
    });
    let mut watchers = JoinSet::new();
    let machine = Arc::clone(&shared);
    watchers.spawn(async move {
        let probe = machine.group.lock().await.probe_file();
        machine.stalls.watch(probe, &machine.ledger).await;
    });
    watchers.spawn(watch_processes(Arc::clone(&shared)));
    watchers.spawn(read(Arc::clone(&shared)));
    let mut operators = JoinSet::new();
    for number in 0..OPERATORS {
        operators.spawn(operate(Arc::clone(&shared), number));
    }
    let recovered_in = play(&shared, &mut watchers, &mut operators)
        .await
        .context(IoSnafu { what: "fault" })?;
    watchers.shutdown().await;
    report(&shared, recovered_in).await
}

async fn report(shared: &Shared, recovered_in: Option<Duration>) -> Result<Report, SoakError> {
    let mut group = shared.group.lock().await;
    group.kill_all().await.context(IoSnafu { what: "stop" })?;
    let ledger = shared.ledger();
    let counts = format!(
        "first_start={} acknowledged={} refused={} reads={} longest_gap_ms={} stalls={} recovered_ms={}",
        shared.options.first_start,
        ledger.acknowledgements(),
        ledger.refusals(),
        ledger.reads,
        ledger.longest_gap.as_millis(),
        shared.stalls.count(),
        millis(recovered_in),
    );
    let target = shared.options.logs.as_ref();
    let target = target.map(|logs| logs.join(format!("seed-{}", shared.seed)));
    let copy = |target: &std::path::Path| group.keep_logs(target);
    let report = ledger.report(shared.seed, counts, target, false, copy);
    report.context(IoSnafu { what: "logs" })
}

/// A measured time for a report.
pub(crate) fn millis(time: Option<Duration>) -> String {
    time.map_or("never".to_owned(), |time| time.as_millis().to_string())
}

/// Carries out the schedule, then loses a disk right after an acknowledgement while all processes
/// are killed. Returns how long the first read took after that.
async fn play(
    shared: &Arc<Shared>,
    watchers: &mut JoinSet<()>,
    operators: &mut JoinSet<()>,
) -> io::Result<Option<Duration>> {
    let options = &shared.options;
    if !shared.start_all(watchers).await? {
        return Ok(None);
    }
    let (steps, (last, slot)) = plan::plan(shared.seed, options.length, options.catch_up);
    let mut before = 0;
    let mut done = Instant::now();
    for (at, action) in steps {
        // Counted from the end of the step before, so that pauses are never shorter than planned.
        sleep_until(done + Duration::from_millis(at - before)).await;
        before = at;
        if action.loses_disk() {
            shared.stalls.wait(options.catch_up).await?;
        }
        shared.carry_out(action).await?;
        done = Instant::now();
    }
    sleep_until(done + Duration::from_millis(last.saturating_sub(before))).await;
    shared.stalls.wait(options.catch_up).await?;
    let mut acks = shared.acks.subscribe();
    if timeout(options.recovery, acks.changed()).await.is_err() {
        shared
            .ledger()
            .note("no acknowledgement before the last fault");
    }
    shared.lose_power_and_disk(slot).await?;
    operators.shutdown().await;
    let up = Instant::now();
    let recovered = shared.read_back(up).await;
    shared.change_again(up).await;
    Ok(recovered)
}

impl Shared {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn up_since(&self) -> MutexGuard<'_, Option<Instant>> {
        self.up_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts all instances, and waits until a change is acknowledged if their start is disturbed.
    async fn start_all(self: &Arc<Self>, tasks: &mut JoinSet<()>) -> io::Result<bool> {
        let (kind, recovery) = (self.options.first_start, self.options.recovery);
        let first = first::plan(kind, self.seed, plan::SLOTS, plan::SLOTS);
        let whole = Instant::now() + first.whole;
        if kind == FirstStart::Together {
            self.play_first(first.steps).await?;
            return Ok(true);
        }
        let shared = Arc::clone(self);
        tasks.spawn(async move {
            if let Err(error) = shared.play_first(first.steps).await {
                shared.ledger().find(format!("cannot start: {error}"));
            }
        });
        let mut acks = self.acks.subscribe();
        let founded = acks.wait_for(|count| *count > 0);
        if timeout_at(whole + recovery, founded).await.is_err() {
            let finding = "FAULT: no configuration acknowledged after the start";
            self.ledger().find(finding.to_owned());
            return Ok(false);
        }
        if let Some((_, step)) = first.missing {
            self.play_first(vec![(0, step)]).await?;
        }
        // The first step of the schedule may lose a disk.
        sleep(self.options.catch_up).await;
        Ok(true)
    }

    async fn play_first(&self, steps: Vec<(u64, first::Step)>) -> io::Result<()> {
        let began = Instant::now();
        for (at, step) in steps {
            sleep_until(began + Duration::from_millis(at)).await;
            let mut group = self.group.lock().await;
            self.ledger().note(&format!("first start: {step:?}"));
            match step {
                first::Step::Start(slot, first) => group.start(slot, first)?,
                first::Step::Kill(slot) => group.kill(slot).await?,
                first::Step::Wipe(slot) => group.wipe(slot)?,
                first::Step::Freeze(slot) => group.freeze(slot, true)?,
                first::Step::Thaw(slot) => group.freeze(slot, false)?,
            }
            *self.up_since() = group.all_up().then(Instant::now);
        }
        Ok(())
    }

    async fn carry_out(self: &Arc<Self>, action: Action) -> io::Result<()> {
        let mut group = self.group.lock().await;
        self.restart_ended(&mut group).await;
        let name = match action {
            Action::KillAll | Action::StartAll => String::new(),
            Action::Kill(slot)
            | Action::KillForGood(slot)
            | Action::Start(slot)
            | Action::StartEmpty(slot)
            | Action::Replace(slot)
            | Action::Freeze(slot)
            | Action::Thaw(slot)
            | Action::Prepare(slot) => group.name(slot),
            Action::Leave(_) => group.leaving_names(),
        };
        self.ledger().note(&format!("{action:?} {name}"));
        match action {
            Action::Kill(slot) | Action::KillForGood(slot) => group.kill(slot).await?,
            Action::Start(slot) => group.start(slot, false)?,
            Action::StartEmpty(slot) => {
                group.wipe(slot)?;
                group.start(slot, false)?;
            }
            Action::Replace(slot) | Action::Prepare(slot) => group.replace(slot)?,
            Action::Freeze(slot) => group.freeze(slot, true)?,
            Action::Thaw(slot) => group.freeze(slot, false)?,
            Action::Leave(_) => {
                group.dismiss()?;
                tokio::spawn(Arc::clone(self).end_leaving());
            }
            Action::KillAll => group.kill_all().await?,
            Action::StartAll => {
                for slot in 0..plan::SLOTS {
                    group.start(slot, false)?;
                }
            }
        }
        *self.up_since() = group.all_up().then(Instant::now);
        Ok(())
    }

    /// Restarts processes that ended by themselves; each is a finding.
    async fn restart_ended(&self, group: &mut Group) {
        let ended = group.ended().unwrap_or_else(|error| {
            self.ledger()
                .find(format!("cannot watch a process: {error}"));
            Vec::new()
        });
        for (slot, how) in ended {
            self.ledger().find(format!("a process ended: {how}"));
            *self.up_since() = None;
            sleep(RESTART_DELAY).await;
            if let Err(error) = group.start(slot, false) {
                self.ledger().find(format!("restart: {error}"));
            }
            *self.up_since() = group.all_up().then(Instant::now);
        }
    }

    /// Kills the leaving processes that are still there after the grace period.
    async fn end_leaving(self: Arc<Self>) {
        sleep(Duration::from_secs(GRACE_S)).await;
        let killed = self.group.lock().await.end_leaving().await;
        match killed {
            Ok(0) => {}
            Ok(count) => self.ledger().note(&format!("{count} killed after SIGTERM")),
            Err(error) => self.ledger().note(&format!("after SIGTERM: {error}")),
        }
    }

    async fn lose_power_and_disk(&self, slot: usize) -> io::Result<()> {
        let mut group = self.group.lock().await;
        self.restart_ended(&mut group).await;
        group.kill_all().await?;
        *self.up_since() = None;
        let (floor, name) = (self.ledger().floor(), group.name(slot));
        self.ledger()
            .note(&format!("all killed, disk of {name} lost, floor={floor}"));
        group.wipe(slot)?;
        sleep(POWER_PAUSE).await;
        for slot in 0..plan::SLOTS {
            group.start(slot, false)?;
        }
        Ok(())
    }

    /// Reads until a document comes, for as long as the recovery may take.
    async fn read_back(&self, up: Instant) -> Option<Duration> {
        let caller = Caller::new();
        while self.stalls.undisturbed_since(up).elapsed() < self.options.recovery {
            for address in self.addresses().await {
                let floor = self.ledger().floor();
                if let Answer::Accepted(document) = caller.get(address).await {
                    self.ledger().check_read(floor, &document);
                    self.ledger().note("read back after the last fault");
                    return Some(up.elapsed());
                }
            }
            sleep(READ_PAUSE).await;
        }
        let finding = format!(
            "no configuration read back within {:?} after the last fault",
            self.options.recovery
        );
        self.ledger().find(finding);
        None
    }

    async fn change_again(&self, up: Instant) {
        let caller = Caller::new();
        let version = self.ledger().next_version(1);
        let document = self.documents.valid(version);
        while self.stalls.undisturbed_since(up).elapsed() < 2 * self.options.recovery {
            for address in self.addresses().await {
                if let Answer::Accepted(_) = caller.put(address, document.clone()).await {
                    self.ledger().acknowledged(version);
                    return;
                }
            }
            sleep(READ_PAUSE).await;
        }
        self.ledger()
            .find("no change acknowledged after the last fault".to_owned());
    }

    async fn addresses(&self) -> Vec<std::net::SocketAddrV4> {
        self.group.lock().await.addresses()
    }
}

/// An operator that sends one configuration after the other.
async fn operate(shared: Arc<Shared>, number: usize) {
    let mut rng = Pcg64::seed_from_u64(shared.seed.rotate_left(16) ^ number as u64);
    let caller = Caller::new();
    loop {
        let version = shared.ledger().next_version(rng.random_range(1..5));
        let valid = rng.random_range(0..INVALID) > 0;
        let document = if valid {
            shared.documents.valid(version)
        } else {
            shared.documents.invalid(version)
        };
        send(&shared, &caller, &mut rng, version, valid, document).await;
        let pause = rng.random_range(CHANGE_PAUSE.0..CHANGE_PAUSE.1);
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Sends a change until it has a clear response.
async fn send(
    shared: &Shared,
    caller: &Caller,
    rng: &mut Pcg64,
    version: u64,
    valid: bool,
    document: bytes::Bytes,
) {
    let mut pause = RETRY_PAUSE.0;
    let mut unclear = false;
    loop {
        let addresses = shared.addresses().await;
        let to = addresses[rng.random_range(0..addresses.len())];
        match caller.put(to, document.clone()).await {
            Answer::Accepted(_) => {
                let mut ledger = shared.ledger();
                ledger.acknowledged(version);
                if !valid {
                    ledger.find(format!("invalid version {version} was acknowledged"));
                }
                drop(ledger);
                shared.acks.send_modify(|count| *count += 1);
                return;
            }
            Answer::Refused(status) => {
                let mut ledger = shared.ledger();
                ledger.refused(version);
                match status {
                    StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY if valid => {
                        ledger.find(format!("valid version {version} refused: {status}"));
                    }
                    _ if valid => ledger.note(&format!("version {version} refused: {status}")),
                    _ => {}
                }
                return;
            }
            Answer::Unavailable => {
                shared
                    .ledger()
                    .note(&format!("version {version}: not stored"));
                // Given up, it must not come into force, unless an earlier call has stored it.
                if !unclear && rng.random() {
                    shared.ledger().refused(version);
                    return;
                }
            }
            Answer::Unclear(why) => {
                unclear = true;
                log_unclear(shared, version, &why);
            }
        }
        sleep(pause).await;
        pause = (pause * 2).min(RETRY_PAUSE.1);
    }
}

fn log_unclear(shared: &Shared, version: u64, why: &str) {
    shared
        .ledger()
        .note(&format!("version {version}: no clear response: {why}"));
}

/// Reads the configuration at any instance, and checks that it can be read while all are up.
async fn read(shared: Arc<Shared>) {
    let mut rng = Pcg64::seed_from_u64(!shared.seed);
    let caller = Caller::new();
    let mut silent = false;
    loop {
        sleep(READ_PAUSE).await;
        let addresses = shared.addresses().await;
        let to = addresses[rng.random_range(0..addresses.len())];
        let floor = shared.ledger().floor();
        if let Answer::Accepted(document) = caller.get(to).await {
            shared.ledger().check_read(floor, &document);
            silent = false;
            continue;
        }
        let Some(up) = *shared.up_since() else {
            continue;
        };
        let last = shared.ledger().last_read().map(Instant::from_std);
        let since = last.map_or(up, |last| up.max(last));
        let since = shared.stalls.undisturbed_since(since);
        let nothing_stored = shared.ledger().floor() == 0;
        if !silent && !nothing_stored && since.elapsed() > shared.options.recovery {
            silent = true;
            let up = up.elapsed().as_secs_f64();
            let finding = format!("no configuration could be read, all up for {up:.1} s");
            shared.ledger().find(finding);
        }
    }
}

/// Restarts processes that end by themselves, and watches the size of their files.
async fn watch_processes(shared: Arc<Shared>) {
    loop {
        sleep(WATCH_PAUSE).await;
        let mut group = shared.group.lock().await;
        shared.restart_ended(&mut group).await;
        let bound = shared.options.file_bound;
        match group.largest_disk() {
            Ok(size) if bound > 0 && size > bound => {
                let finding = format!("files of an instance: {size} bytes");
                shared.ledger().find(finding);
                return;
            }
            Ok(_) => {}
            Err(error) => shared.ledger().note(&format!("file sizes: {error}")),
        }
    }
}
