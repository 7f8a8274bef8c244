//! Callers: they submit jobs, send again what got no answer, and ask for the state of stored jobs.

use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::document::{HOST, QUEUE};
use crate::fleet::Shared;
use crate::fleet::judge::STORED;
use crate::layout::{Class, Host};

/// How long a caller waits for a response.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Number of times a stored job is sent, and its state asked for.
const ATTEMPTS: usize = 6;
/// The state of a stored job is asked for this long after its acceptance.
const ASK_AFTER: Duration = Duration::from_secs(6);
const ASK_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two readiness checks of an entry, and the time for its answer.
const CHECK_PAUSE: Duration = Duration::from_secs(1);
/// An entry gets no new requests after so many checks without success.
const MISSES: usize = 2;
/// Processor need of a task, in thousandths of a core.
const TASK_CPU: u64 = 5_500;
/// One in so many jobs is stored.
const STORED_SHARE: u64 = 20;
/// The users' mix repeats after so many jobs.
const USERS_JOBS: u64 = 1_000;
/// Without a common factor with `USERS_JOBS`, so that equal jobs do not follow each other.
const USERS_STRIDE: u64 = 617;

/// Jobs that are later than this are skipped.
const LATE: Duration = Duration::from_millis(5);
/// Number of a job with eight short tasks, and the pause before it is submitted again, from the start
/// until one is served.
const FIRST: u64 = 2;
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Kinds of jobs and their shares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mix {
    /// Includes jobs that cannot end before their deadline.
    #[default]
    Own,
    /// The jobs of the users' largest site.
    Users,
}

impl Mix {
    /// Number of tasks of a transient job, and their time in ms.
    fn tasks(self, number: u64) -> (u64, u64) {
        match self {
            Self::Own => match number % 17 {
                0 if number.is_multiple_of(3) => (4, 3_600),
                0 => (4, 1_700),
                1 => (4, 900),
                2..=4 => (8, 60),
                _ => (2, 200),
            },
            Self::Users => match number * USERS_STRIDE % USERS_JOBS {
                0..244 => (8, 60),
                244..288 => (4, 900),
                _ => (2, 200),
            },
        }
    }
}

impl FromStr for Mix {
    type Err = &'static str;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "own" => Ok(Self::Own),
            "users" => Ok(Self::Users),
            _ => Err("not a mix: own or users"),
        }
    }
}

/// What the callers got.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Jobs that can end before their deadline, once their callers have done with them.
    pub(crate) finished: AtomicUsize,
    /// Those of them that were answered with success.
    pub(crate) served: AtomicUsize,
    /// All jobs that were answered with success.
    pub(crate) all_served: AtomicUsize,
    pub(crate) sent: AtomicUsize,
    /// Served and finished jobs of the last window.
    pub(crate) last: Mutex<(usize, usize)>,
}

/// Readiness of an entry, as the platform sees it.
#[derive(Debug, Default)]
pub(crate) struct Rotation {
    out: AtomicBool,
    ready: AtomicBool,
    misses: AtomicUsize,
}

impl Rotation {
    pub(crate) fn is_in(&self) -> bool {
        !self.out.load(Ordering::Relaxed)
    }

    /// True if the last check succeeded.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    fn checked(&self, ready: bool) {
        let misses = if ready {
            0
        } else {
            self.misses.load(Ordering::Relaxed) + 1
        };
        self.ready.store(ready, Ordering::Relaxed);
        self.misses.store(misses, Ordering::Relaxed);
        self.out.store(misses >= MISSES, Ordering::Relaxed);
    }
}

/// A job: one step of equal tasks.
#[derive(Debug)]
struct Job {
    path: String,
    tasks: u64,
    work_ms: u64,
    stored: bool,
}

impl Job {
    /// The job of a number. Tasks of 1.7 s and 3.6 s cannot end before their deadline.
    fn new(mix: Mix, number: u64, rng: &mut Pcg64) -> Self {
        let stored = number % STORED_SHARE == 7;
        let (tasks, work_ms) = if stored { (2, 200) } else { mix.tasks(number) };
        let first = if stored { STORED } else { '0' };
        let id: u64 = rng.random_range(0..1 << 60);
        Self {
            path: format!("{QUEUE}{first}{id:015x}"),
            tasks,
            work_ms,
            stored,
        }
    }

    fn body(&self) -> Bytes {
        let mut body = json!({
            "spec": format!("work={} cpu={TASK_CPU}", self.work_ms),
            "phases": [{"count": self.tasks, "cpu": TASK_CPU, "mem_mb": 64,
                "estimate_ms": self.work_ms}],
        });
        if !self.stored {
            body["best_effort"] = Value::Bool(true);
        }
        Bytes::from(body.to_string())
    }
}

/// Sends jobs at a steady rate until its task is aborted.
pub(crate) async fn call(shared: Arc<Shared>) {
    let mut rng = Pcg64::seed_from_u64(shared.seed.rotate_left(24));
    let mut next = Instant::now();
    let mut jobs = JoinSet::new();
    for number in 0.. {
        sleep_until(next).await;
        let gap = Duration::from_secs(1) / shared.rate.load(Ordering::Relaxed).max(1);
        next += gap;
        let now = Instant::now();
        if next + LATE < now {
            next = now;
        }
        while jobs.try_join_next().is_some() {}
        let job = Job::new(shared.options.mix, number, &mut rng);
        let entry = rng.random_range(0..usize::MAX / 2);
        if job.stored {
            jobs.spawn(Arc::clone(&shared).store(job, entry));
        } else {
            jobs.spawn(Arc::clone(&shared).submit(job, entry));
        }
    }
}

/// Submits a job again and again until one is served, and returns the time since the start.
pub(crate) async fn first(shared: Arc<Shared>, began: Instant) -> Duration {
    let mut rng = Pcg64::seed_from_u64(!shared.seed.rotate_left(24));
    loop {
        let job = Job::new(Mix::Own, FIRST, &mut rng);
        let posted = shared.post(&job, rng.random_range(0..usize::MAX / 2)).await;
        if matches!(posted, Ok((StatusCode::OK, body)) if state(&body).as_deref() == Some("completed"))
        {
            let took = began.elapsed();
            shared.note(&format!("first job served after {} ms", took.as_millis()));
            return took;
        }
        sleep(FIRST_PAUSE).await;
    }
}

impl Shared {
    /// Submits a transient job, and a second time if there was no answer.
    async fn submit(self: Arc<Self>, job: Job, entry: usize) {
        self.tally.sent.fetch_add(1, Ordering::Relaxed);
        let mut served = false;
        for attempt in 0..2 {
            match self.post(&job, entry + attempt).await {
                Ok((StatusCode::OK, body)) => served = state(&body).as_deref() == Some("completed"),
                Err(_) | Ok((StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT, _))
                    if attempt == 0 =>
                {
                    sleep(self.options.resend).await;
                    continue;
                }
                _ => {}
            }
            break;
        }
        let all = usize::from(served);
        self.tally.all_served.fetch_add(all, Ordering::Relaxed);
        if Duration::from_millis(job.work_ms) < DEADLINE {
            self.tally.served.fetch_add(all, Ordering::Relaxed);
            self.tally.finished.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Submits a stored job until it is accepted or refused, and asks for its state later.
    async fn store(self: Arc<Self>, job: Job, entry: usize) {
        let mut accepted = None;
        for attempt in 0..ATTEMPTS {
            match self.post(&job, entry + attempt).await {
                Ok((status, _)) if status.is_success() => {
                    accepted = Some(Instant::now());
                    break;
                }
                Err(_) | Ok((StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT, _)) => {
                    sleep(self.options.resend).await;
                }
                Ok(_) => return,
            }
        }
        let Some(accepted) = accepted else {
            return;
        };
        sleep(ASK_AFTER).await;
        for attempt in 0..ATTEMPTS {
            let to = self.layout.callers(self.entry(entry + attempt));
            let asked = self
                .caller
                .send(Method::GET, to, HOST, &job.path, DEADLINE, Bytes::new());
            match asked.await {
                Ok((StatusCode::GONE, _)) => {
                    let age = accepted.elapsed().as_secs_f64();
                    self.find(format!(
                        "LOST: {} is not known {age:.1} s after its acceptance",
                        job.path
                    ));
                    return;
                }
                Ok((StatusCode::OK, body)) if state(&body).as_deref() == Some("completed") => {
                    return;
                }
                _ => sleep(ASK_PAUSE).await,
            }
        }
        let (path, age) = (&job.path, accepted.elapsed().as_secs_f64());
        self.note(&format!(
            "{path} not shown as completed {age:.1} s after its acceptance"
        ));
    }

    async fn post(&self, job: &Job, entry: usize) -> Result<(StatusCode, Bytes), String> {
        let to = self.layout.callers(self.entry(entry));
        self.caller
            .send(Method::POST, to, HOST, &job.path, DEADLINE, job.body())
            .await
    }

    /// The entry that the platform chooses: one in rotation, unless fewer than half are.
    fn entry(&self, draw: usize) -> Host {
        let entries: Vec<_> = self.layout.sizes.hosts(Class::Entry).collect();
        let is_in = |host: &&Host| {
            let rotation = self.rotations.get(usize::from(host.number));
            rotation.is_some_and(Rotation::is_in)
        };
        let ready: Vec<_> = entries.iter().filter(is_in).copied().collect();
        let chosen = if ready.len() * 2 < entries.len() {
            entries
        } else {
            ready
        };
        chosen[draw % chosen.len()]
    }
}

/// Checks the readiness of an entry as the platform does, until its task is aborted.
pub(crate) async fn check(shared: Arc<Shared>, number: usize) {
    let Some(host) = shared.layout.sizes.hosts(Class::Entry).nth(number) else {
        return;
    };
    let to = shared.layout.readiness(host);
    let name = to.to_string();
    loop {
        let sent = shared
            .caller
            .send(Method::GET, to, &name, "/readyz", CHECK_PAUSE, Bytes::new());
        let ready = matches!(sent.await, Ok((StatusCode::OK, _)));
        shared.rotations[number].checked(ready);
        sleep(CHECK_PAUSE).await;
    }
}

fn state(body: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(body).ok()?;
    value.get("state")?.as_str().map(str::to_owned)
}
