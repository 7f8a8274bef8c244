//! Holds each process to its share of processor time: once it has used its quota of a period, it is
//! stopped until the period ends.

use std::fmt;
use std::fs;
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Pid;

use crate::layout::{Class, Host};
use crate::process::Handle;

/// Period of the quotas, as schedulers have it by default.
const PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two looks at a process. What it uses beyond its quota until then counts
/// towards the next period.
const LOOK: Duration = Duration::from_millis(2);
/// Shares of the entries of the users' sites, in thousandths of a core. Each entry draws its own.
pub const ENTRY_SHARES: (u32, u32) = (90, 300);
/// Shares of the others, in thousandths of a core.
const CONTROL: u32 = 400;
const AGENT: u32 = 150;

/// Use of their shares by the processes of a class.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ShareUse {
    /// Periods in which a process was there.
    periods: u32,
    /// Those of them in which it was stopped.
    used_up: u32,
    /// Processor time of all.
    time: Duration,
}

impl fmt::Display for ShareUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (used_up, periods) = (self.used_up, self.periods);
        let cores = self.time.as_secs_f64() / (PERIOD * periods.max(1)).as_secs_f64();
        write!(
            f,
            "shares used up in {used_up} of {periods} periods, {cores:.3} cores"
        )
    }
}

/// Uses by class, sorted.
pub(crate) type Uses = Vec<(Class, ShareUse)>;

/// Holds processes to their shares until it is stopped or dropped.
#[derive(Debug)]
pub(crate) struct Keeper {
    ends: Sender<()>,
    thread: JoinHandle<io::Result<Uses>>,
}

impl Keeper {
    pub(crate) fn start(seed: u64, entry: (u32, u32), handles: Vec<(Host, Handle)>) -> Self {
        let (ends, ended) = channel();
        // A thread of its own: its looks must not delay the backend servers' answers.
        let thread = thread::spawn(move || keep(seed, entry, handles, &ended));
        Self { ends, thread }
    }

    pub(crate) fn stop(self) -> io::Result<Uses> {
        drop(self.ends);
        let ended = self.thread.join();
        ended.unwrap_or_else(|_| Err(io::Error::other("the shares were not kept")))
    }
}

fn keep(
    seed: u64,
    entry: (u32, u32),
    handles: Vec<(Host, Handle)>,
    ended: &Receiver<()>,
) -> io::Result<Uses> {
    let now = Instant::now();
    let mut uses = [Class::Control, Class::Entry, Class::Agent].map(|c| (c, ShareUse::default()));
    let count = u32::try_from(handles.len()).unwrap_or(u32::MAX);
    let meter = |(number, (host, handle)): (u32, (Host, Handle))| Meter {
        quota: PERIOD * share(seed, entry, host) / 1_000,
        host,
        handle,
        id: None,
        // The periods do not all begin at the same moment.
        ends: now + PERIOD * number / count,
        base: Duration::ZERO,
        used: Duration::ZERO,
        held: false,
        used_up: false,
        due: now,
    };
    let mut meters: Vec<Meter> = (0..).zip(handles).map(meter).collect();
    while ended.recv_timeout(LOOK) == Err(RecvTimeoutError::Timeout) {
        for meter in &mut meters {
            let now = Instant::now();
            if meter.due <= now
                && let Ok(at) = uses.binary_search_by_key(&meter.host.class, |(c, _)| *c)
            {
                meter.look(now, &mut uses[at].1)?;
            }
        }
    }
    Ok(uses.to_vec())
}

fn share(seed: u64, entry: (u32, u32), host: Host) -> u32 {
    match host.class {
        Class::Control => CONTROL,
        Class::Entry => {
            let seed = seed ^ u64::from(host.number).rotate_left(40);
            Pcg64::seed_from_u64(seed).random_range(entry.0..=entry.1)
        }
        Class::Agent | Class::Backend | Class::Caller => AGENT,
    }
}

/// What a process has used of its quota.
#[derive(Debug)]
struct Meter {
    host: Host,
    handle: Handle,
    quota: Duration,
    id: Option<Pid>,
    /// End of the period.
    ends: Instant,
    /// Processor time that earlier periods account for.
    base: Duration,
    /// Processor time since the process's start.
    used: Duration,
    held: bool,
    /// True if it was stopped in this period.
    used_up: bool,
    due: Instant,
}

impl Meter {
    fn look(&mut self, now: Instant, total: &mut ShareUse) -> io::Result<()> {
        let id = self.handle.id();
        if id != self.id {
            (self.id, self.held) = (id, false);
            (self.base, self.used) = (Duration::ZERO, Duration::ZERO);
        }
        // The time of a thread that has ended is no longer listed.
        let used = id.map_or(Duration::ZERO, processor_time).max(self.used);
        total.time += used.saturating_sub(self.used);
        self.used = used;
        while self.ends <= now {
            self.ends += PERIOD;
            self.base = used.min(self.base + self.quota);
            total.periods += u32::from(id.is_some());
            total.used_up += u32::from(self.used_up);
            self.used_up = false;
        }
        let left = self.quota.saturating_sub(used.saturating_sub(self.base));
        let held = id.is_some() && left.is_zero();
        self.used_up |= held;
        if held != self.held {
            self.handle.hold(held)?;
            self.held = held;
        }
        self.due = if held {
            self.ends
        } else {
            self.ends.min(now + LOOK.max(left / 2))
        };
        Ok(())
    }
}

/// Processor time of all threads of a process; zero once it has ended.
fn processor_time(id: Pid) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{}/task", id.as_raw_nonzero())) else {
        return Duration::ZERO;
    };
    let nanos = threads.flatten().filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}
